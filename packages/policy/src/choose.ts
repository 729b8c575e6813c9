/**
 * Which endpoint, if any, a request goes to: admission by the memory peak and the pace, then a weighted score.
 *
 * @module
 */
import { allowsRequest } from "./breaker.js";
import type { Demand, RequestProfile } from "./demand.js";
import { isLimited } from "./endpoint-limit.js";
import {
    type EndpointView,
    isHallAllowed,
    plannedShare,
    stalledStreams,
    streamCount,
    takesNew,
    unreadAt,
} from "./endpoint.js";
import { startsInTime } from "./forecast.js";
import type { Variant } from "./job.js";
import { outlookAt } from "./lateness.js";
import { peakOf } from "./memory-curve.js";
import { batchWithin } from "./pace.js";
import { prefillMs, type PrefillRate } from "./prefill-rate.js";
import type { SpeedPools } from "./speed-pool.js";
import { poolOf } from "./speed-tracking.js";

/** A wait for prompts to be read of this share of a request's objective counts as much as full memory. */
const WAIT_SCALE = 0.5;
/** What an engine of another hall costs in the score: a stream there is lost when the halls lose each other. */
const REMOTE_HALL_COST = 0.5;
/** What one costs that names a limit, as the standby of a copy: going on there takes a request of its limit. */
const LIMITED_STANDBY_COST = 2;
/** The same for plain services, in open calls: less than one, so that it decides between equals only. */
const REMOTE_HALL_CALLS = 0.5;
/** What an engine costs in the score where streams wait too long for their first token: above all else but no room at all. */
const STALLED_COST = 3;
/** What a request that is certain to be late costs in the score: as much as an endpoint's whole memory. */
const LATE_COST = 1;
/** Share of an engine's memory that is never planned with: its own watermark and rounding to blocks. */
const MEMORY_RESERVE = 0.03;
/** A new or returning endpoint takes this many streams at once, and more as it proves itself. */
const RAMP_START = 8;
const RAMP_MS = 10_000;
const RAMP_END = 256;
/** Endpoints of a model that are ejected at the same time, at most; beyond that ejection is ignored. */
const MAX_EJECTED_SHARE = 0.5;

/** An endpoint that would take a request, with what speaks for it; a lower score is better. */
export interface Candidate {
    readonly id: string;
    readonly score: number;
    /** Whether so much of it is planned that other hosts' choices of this moment matter. */
    readonly crowded: boolean;
    /** Chance that the request would be late there; 0 where the endpoints are not known to differ. */
    readonly lateness: number;
}

/** What is the same for every endpoint, whatever the request. */
export interface PlacementContext {
    readonly variant: Variant;
    /** Live hosts of the hall, this one included. */
    readonly hosts: number;
    /** Hall that endpoints are preferred of; none where it is absent. */
    readonly hall?: string | undefined;
    readonly prefillRate: PrefillRate;
    readonly speeds: SpeedPools;
}

/** From this share of its bounds on, an endpoint counts as crowded. */
const CROWDED_SHARE = 0.5;

/**
 * Endpoints that may be given a request at all: they run the model, stand where the request may go, take new work and are
 * not ejected. Where more than half of a model's endpoints are ejected, ejection is ignored: the fault is then hardly
 * theirs. Those that can probably not be reached are left out while there are others.
 *
 * @param includeDoubted Whether endpoints of halls in doubt are among them all the same.
 *
 * @example
 * ```ts
 * usable(views, { model: "m" }, [], now).length;
 * ```
 */
export function usableEndpoints(
    views: Iterable<EndpointView>,
    wanted: Pick<Demand, "model" | "halls">,
    avoid: readonly string[],
    now: number,
    includeDoubted = false,
): readonly EndpointView[] {
    const serving = [...views].filter(view => serves(view, wanted));
    // What cannot be reached stays out, however many they are: a hall may be cut off from the others.
    const unreachable = unreachableHalls(serving, now);
    const reachable = serving.filter(view => !isUnreachable(view, now));
    const inReachableHalls = reachable.filter(view => !unreachable.has(view.cfg.hall));
    const undoubted = inReachableHalls.filter(view => !view.isInDoubt);
    const choices = includeDoubted ? [reachable, serving] : [undoubted, inReachableHalls, reachable, serving];
    const known = choices.find(views => views.length > 0) ?? [];
    const notEjected = known.filter(view => allowsRequest(view.breaker, now));
    const kept = notEjected.length >= known.length * (1 - MAX_EJECTED_SHARE) ? notEjected : known;
    const notAvoided = kept.filter(view => !avoid.includes(view.cfg.id));
    return notAvoided.length > 0 ? notAvoided : kept;
}

/** Whether an endpoint takes new requests of this kind, as far as it is not a matter of load or failures. */
export function serves(view: EndpointView, { model, halls }: Pick<Demand, "model" | "halls">): boolean {
    return takesNew(view) && view.cfg.models.includes(model) && isHallAllowed(view, halls);
}

/** Whether no connection to an endpoint came up lately. */
export function isUnreachable({ breaker }: EndpointView, now: number): boolean {
    return breaker.unreachable === true && !allowsRequest(breaker, now);
}

/** A hall is taken for cut off where this share of its endpoints, and at least so many, cannot be reached. */
const UNREACHABLE_HALL_SHARE = 0.5;
const UNREACHABLE_HALL_MIN = 2;

/** Halls that cannot be reached, by what was found out about some of their endpoints: the others need not be tried. */
function unreachableHalls(views: readonly EndpointView[], now: number): ReadonlySet<string> {
    const halls = new Map<string, { endpoints: number; lost: number }>();
    for (const view of views) {
        const hall = halls.get(view.cfg.hall) ?? { endpoints: 0, lost: 0 };
        hall.endpoints += 1;
        if (isUnreachable(view, now)) hall.lost += 1;
        halls.set(view.cfg.hall, hall);
    }
    const cut = [...halls].filter(([, { endpoints, lost }]) =>
        lost >= UNREACHABLE_HALL_MIN && lost >= UNREACHABLE_HALL_SHARE * endpoints
    );
    return new Set(cut.map(([hall]) => hall));
}

/**
 * Backups are placed while memory is planned up to this share; what is above is for streams that run. A stream and its copy
 * hold the same memory, so that above half a copy is in the place of a stream that comes. Against 0.75, on a fleet whose
 * streams alone take 70 to 95 % of the memory, the worth served rises by 0.05 (95 %: 0.01 to 0.09; five days, paired by seed);
 * where memory is ample it makes no difference.
 */
export const BACKUP_ROOM_SHARE = 0.5;

/** A stream whose endpoint is about to leave is copied while memory is planned up to this share: it will run there soon. */
export const EVACUATION_ROOM_SHARE = 0.9;

/**
 * The endpoint that keeps a copy of a stream: the one with the most room, if any has some to spare. A stream that runs in
 * another hall is lost when the halls lose each other: more of the own hall's memory is given to its copy.
 *
 * @param primary Where the stream runs.
 * @param roomShare Share of an endpoint's memory that may be planned with the copy.
 *
 * @example
 * ```ts
 * chooseBackup(views, wantedOf(job, lengths), "engine-1", now); // "engine-4"
 * ```
 */
export function chooseStandby(
    views: Iterable<EndpointView>,
    { demand, curve, z }: RequestProfile,
    primary: string,
    now: number,
    hall?: string,
    roomShare = BACKUP_ROOM_SHARE,
): string | undefined {
    const known = [...views];
    const runsRemotely = hall !== undefined && known.find(view => view.cfg.id === primary)?.cfg.hall !== hall;
    let chosen: { readonly id: string; readonly cost: number } | undefined;
    for (const view of usableEndpoints(known, demand, [primary], now)) {
        if (view.cfg.id === primary) continue;
        const used = peakOf([view.curve, view.others.curve, curve], z) / view.cfg.memoryTokens;
        const isRemote = hall !== undefined && hall !== view.cfg.hall;
        const cost = used + (isRemote ? REMOTE_HALL_COST : 0) + (isLimited(view) ? LIMITED_STANDBY_COST : 0);
        const maxUsed = runsRemotely && !isRemote ? Math.max(roomShare, EVACUATION_ROOM_SHARE) : roomShare;
        if (used <= maxUsed && cost < (chosen?.cost ?? Infinity)) chosen = { id: view.cfg.id, cost };
    }
    return chosen?.id;
}

/** How many streams an endpoint may have now, by pace and by how long it has been there. */
function streamLimit(view: EndpointView, gapTargetMs: number, variant: Variant, now: number): number {
    // One that says how long it is cold is used in full as soon as it is warm.
    const ramp = view.cfg.cold
        ? RAMP_END
        : RAMP_START + (RAMP_END - RAMP_START) * Math.max(0, now - view.since) / RAMP_MS;
    const pace = variant.pace ? batchWithin(view.pace, gapTargetMs) : Number.MAX_SAFE_INTEGER;
    return Math.min(ramp, pace);
}

/** How far an endpoint would be planned with a request added to it. */
interface Fit {
    readonly streams: number;
    readonly streamLimit: number;
    /** Tokens at the peak of the plan, and those that may be planned with. */
    readonly peak: number;
    readonly room: number;
}

/** How a request would fit an endpoint; undefined where it must not be added to it now. */
export function fitOf(
    view: EndpointView,
    { demand, curve, z }: RequestProfile,
    { variant, hosts }: PlacementContext,
    now: number,
): Fit | undefined {
    const share = variant.share === "owner" ? plannedShare(view, hosts, now) : 1;
    const limit = share * streamLimit(view, demand.gapTargetMs, variant, now);
    const streams = streamCount(view) + 1;
    if (streams > Math.max(1, limit)) return undefined;
    const room = share * view.cfg.memoryTokens * (1 - MEMORY_RESERVE);
    const peak = variant.admission === "free"
        ? view.curve.mean[0]! + view.others.curve.mean[0]! + demand.promptTokens
        : peakOf([view.curve, view.others.curve, curve], z);
    // A request that is larger than any plan allows still runs, alone.
    if (peak > room && streams > 1) return undefined;
    return { streams, streamLimit: limit, peak, room };
}

/**
 * The endpoint as a candidate, or undefined where the request must not be added to it now.
 *
 * @example
 * ```ts
 * assess(view, wantedOf(job, lengths), state, now)?.score;
 * ```
 */
export function assess(
    view: EndpointView,
    profile: RequestProfile,
    context: PlacementContext,
    now: number,
): Candidate | undefined {
    const { demand } = profile;
    const { variant, hall, prefillRate, speeds } = context;
    const { promptTokens, weightTail, weightStall, weightPrefix } = demand;
    if (variant.admission === "none") {
        const away = hall !== undefined && hall !== view.cfg.hall ? REMOTE_HALL_CALLS : 0;
        return { id: view.cfg.id, score: streamCount(view) + away, crowded: false, lateness: 0 };
    }
    const fit = fitOf(view, profile, context, now);
    if (!fit) return undefined;
    const outlook = variant.speeds ? outlookAt(view, demand, poolOf(speeds, view), now) : undefined;
    const firstTokenMs = outlook?.firstTokenMs ?? prefillMs(prefillRate, unreadAt(view) + promptTokens);
    if (variant.forecast && !startsInTime(view, firstTokenMs, demand.leftMs)) return undefined;
    const { streams, streamLimit: limit, peak, room } = fit;
    const cachedShare = variant.prefix && view.prefixes.has(demand.prefix)
        ? demand.prefixTokens / Math.max(1, promptTokens)
        : 0;
    const away = hall !== undefined && hall !== view.cfg.hall ? REMOTE_HALL_COST : 0;
    // Where endpoints are alike, its own prompt takes as long at each.
    const waitMs = outlook?.firstTokenMs ?? prefillMs(prefillRate, unreadAt(view));
    const lateness = outlook?.lateness ?? 0;
    const wait = waitMs / (WAIT_SCALE * demand.objectiveMs);
    const stalled = stalledStreams(view, now) + view.others.stalled > 0 ? STALLED_COST : 0;
    const score = stalled + wait + away
        + weightTail * streams / Math.min(limit, RAMP_END)
        + weightStall * peak / room
        - weightPrefix * cachedShare
        + LATE_COST * lateness;
    const crowded = peak > CROWDED_SHARE * room || streams > CROWDED_SHARE * limit;
    return { id: view.cfg.id, score, crowded, lateness };
}
