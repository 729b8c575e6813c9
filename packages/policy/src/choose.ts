/**
 * Which endpoint, if any, a request goes to: admission by the memory peak and the pace, then a weighted score.
 *
 * @module
 */
import { probit } from "simple-statistics";
import { mayUse } from "./breaker.js";
import { type Curve, peakOf, streamCurve } from "./curve.js";
import { type EndpointView, plannedShare, stalledStreams, streamCount, unreadTokens } from "./endpoint.js";
import type { Survival } from "./estimate.js";
import type { Job, Variant } from "./job.js";
import { batchWithin } from "./pace.js";

/**
 * So many prompt tokens that are still to be read count as much as a whole engine's memory: an engine of the users' reads
 * 14 a millisecond, so they take as long as a third of the time to the first token that counts in full.
 */
const UNREAD_SCALE = 8_000;
/** What an engine of another hall costs in the score: a stream there is lost when the halls lose each other. */
const AWAY_COST = 0.25;
/** The same for plain services, in open calls: less than one, so that it decides between equals only. */
const AWAY_CALLS = 0.5;
/** What an engine costs in the score where streams wait too long for their first token: above all else but no room at all. */
const STALLED_COST = 3;
/** Share of an engine's memory that is never planned with: its own watermark and rounding to blocks. */
const MEMORY_RESERVE = 0.03;
/** A new or returning endpoint takes this many streams at once, and more as it proves itself. */
const RAMP_START = 8;
const RAMP_MS = 10_000;
const RAMP_FULL = 256;
/** Endpoints of a model that are ejected at the same time, at most; beyond that ejection is ignored. */
const MOST_EJECTED_SHARE = 0.5;

/** An endpoint that would take a request, with what speaks for it; a lower score is better. */
export interface Candidate {
    readonly id: string;
    readonly score: number;
    /** Whether so much of it is planned that other hosts' choices of this moment matter. */
    readonly crowded: boolean;
}

/** What a request asks of an endpoint; hosts tell it to owners. */
export interface Demand {
    readonly model: string;
    readonly promptTokens: number;
    readonly prefix: string;
    readonly prefixTokens: number;
    readonly gapTargetMs: number;
    readonly weightTail: number;
    readonly weightStall: number;
    readonly weightPrefix: number;
}

/** A request with what is the same for every endpoint, worked out once. */
export interface Wanted {
    readonly demand: Demand;
    readonly curve: Curve;
    /** Standard deviations at which the peak is asked for. */
    readonly z: number;
}

/** What a request asks of an endpoint. */
export function demandOf({ group, promptTokens, prefix, prefixTokens, policy }: Job): Demand {
    const { gapTargetMs, weightTail, weightStall, weightPrefix } = policy;
    return {
        model: group.model,
        promptTokens,
        prefix,
        prefixTokens,
        gapTargetMs,
        weightTail,
        weightStall,
        weightPrefix,
    };
}

/**
 * A request as it is held against endpoints.
 *
 * @example
 * ```ts
 * assess(view, wantedOf(job, lengths), DEFAULT_VARIANT, 3, now);
 * ```
 */
export function wantedOf(job: Job, survival: Survival): Wanted {
    const curve = streamCurve(survival, job.promptTokens, 0);
    return { demand: demandOf(job), curve, z: probit(job.policy.quantile) };
}

/** From this share of its bounds on, an endpoint counts as crowded. */
const CROWDED_SHARE = 0.5;

/**
 * Endpoints that may be given a request at all: they run the model, are not leaving and not ejected. Where more than
 * half of a model's endpoints are ejected, ejection is ignored: the fault is then hardly theirs.
 *
 * @example
 * ```ts
 * usable(views, "m", [], now).length;
 * ```
 */
export function usable(
    views: Iterable<EndpointView>,
    model: string,
    avoid: readonly string[],
    now: number,
): readonly EndpointView[] {
    const serving = [...views].filter(view => view.leavingBy.length === 0 && view.cfg.models.includes(model));
    const closed = serving.filter(view => mayUse(view.breaker, now));
    // What cannot be reached stays out, however many they are: a hall may be cut off from the others.
    const reachable = serving.filter(view => view.breaker.unreachable !== true || mayUse(view.breaker, now));
    const known = reachable.length > 0 ? reachable : serving;
    const kept = closed.length >= known.length * (1 - MOST_EJECTED_SHARE) ? closed : known;
    const fresh = kept.filter(view => !avoid.includes(view.cfg.id));
    return fresh.length > 0 ? fresh : kept;
}

/** Backups are placed while memory is planned up to this share; what is above is for streams that run. */
export const BACKUP_ROOM_SHARE = 0.75;

/** A stream whose endpoint is about to leave is copied while memory is planned up to this share: it will run there soon. */
export const RESCUE_ROOM_SHARE = 0.9;

/**
 * The endpoint that keeps a copy of a stream: the one with the most room, if any has some to spare.
 *
 * @param primary Where the stream runs.
 * @param roomShare Share of an endpoint's memory that may be planned with the copy.
 *
 * @example
 * ```ts
 * chooseBackup(views, wantedOf(job, lengths), "engine-1", now); // "engine-4"
 * ```
 */
export function chooseBackup(
    views: Iterable<EndpointView>,
    { demand, curve, z }: Wanted,
    primary: string,
    now: number,
    hall?: string,
    roomShare = BACKUP_ROOM_SHARE,
): string | undefined {
    let chosen: { readonly id: string; readonly cost: number } | undefined;
    for (const view of usable(views, demand.model, [primary], now)) {
        if (view.cfg.id === primary) continue;
        const used = peakOf([view.curve, view.others.curve, curve], z) / view.cfg.memoryTokens;
        const cost = used + (hall !== undefined && hall !== view.cfg.hall ? AWAY_COST : 0);
        if (used <= roomShare && cost < (chosen?.cost ?? Infinity)) chosen = { id: view.cfg.id, cost };
    }
    return chosen?.id;
}

/** How many streams an endpoint may have now, by pace and by how long it has been there. */
function streamLimit(view: EndpointView, gapTargetMs: number, variant: Variant, now: number): number {
    const ramp = RAMP_START + (RAMP_FULL - RAMP_START) * Math.max(0, now - view.since) / RAMP_MS;
    const pace = variant.pace ? batchWithin(view.pace, gapTargetMs) : Number.MAX_SAFE_INTEGER;
    return Math.min(ramp, pace);
}

/**
 * The endpoint as a candidate, or undefined where the request must not be added to it now.
 *
 * @param hosts Live hosts of the hall, this one included.
 * @param hall Hall that endpoints are preferred of; none where it is absent.
 *
 * @example
 * ```ts
 * assess(view, wantedOf(job, lengths), DEFAULT_VARIANT, 3, now)?.score;
 * ```
 */
export function assess(
    view: EndpointView,
    wanted: Wanted,
    variant: Variant,
    hosts: number,
    now: number,
    hall?: string,
): Candidate | undefined {
    const { demand, curve, z } = wanted;
    const { gapTargetMs, promptTokens, weightTail, weightStall, weightPrefix } = demand;
    if (variant.admission === "none") {
        const away = hall !== undefined && hall !== view.cfg.hall ? AWAY_CALLS : 0;
        return { id: view.cfg.id, score: streamCount(view) + away, crowded: false };
    }
    const share = variant.share === "owner" ? plannedShare(view, hosts, now) : 1;
    const limit = share * streamLimit(view, gapTargetMs, variant, now);
    const streams = streamCount(view) + 1;
    if (streams > Math.max(1, limit)) return undefined;
    const room = share * view.cfg.memoryTokens * (1 - MEMORY_RESERVE);
    const peak = variant.admission === "free"
        ? view.curve.mean[0]! + view.others.curve.mean[0]! + promptTokens
        : peakOf([view.curve, view.others.curve, curve], z);
    // A request that is larger than any plan allows still runs, alone.
    if (peak > room && streams > 1) return undefined;
    const cached = variant.prefix && view.prefixes.has(demand.prefix)
        ? demand.prefixTokens / Math.max(1, promptTokens)
        : 0;
    const unread = unreadTokens(view) + view.others.unread;
    const away = hall !== undefined && hall !== view.cfg.hall ? AWAY_COST : 0;
    const stalled = stalledStreams(view, now) + view.others.stalled > 0 ? STALLED_COST : 0;
    const score = stalled + unread / UNREAD_SCALE + away + weightTail * streams / Math.min(limit, RAMP_FULL)
        + weightStall * peak / room
        - weightPrefix * cached;
    const crowded = peak > CROWDED_SHARE * room || streams > CROWDED_SHARE * limit;
    return { id: view.cfg.id, score, crowded };
}
