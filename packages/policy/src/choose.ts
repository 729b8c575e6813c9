/**
 * Judges endpoints for a request: admission by memory peak and pace, then a weighted score.
 *
 * @module
 */
import { allowsRequest } from "./breaker.js";
import { isBrittle } from "./brittle.js";
import type { Demand, RequestProfile } from "./demand.js";
import { isLimited } from "./endpoint-limit.js";
import {
    type EndpointView,
    isHallAllowed,
    pendingPrefill,
    plannedShare,
    stalledStreams,
    streamCount,
    takesNew,
} from "./endpoint.js";
import type { BrittleServices } from "./fleet.js";
import { startsInTime } from "./forecast.js";
import type { Variant } from "./job.js";
import { outlookAt } from "./lateness.js";
import { peakMemory } from "./memory-curve.js";
import { batchWithin } from "./pace.js";
import { prefillMs, type PrefillRate } from "./prefill-rate.js";
import type { SpeedPools } from "./speed-pool.js";
import { poolOf } from "./speed-tracking.js";

/** A prefill wait of this share of a request's objective costs as much as full memory. */
const WAIT_SCALE = 0.5;
/** Score cost of an endpoint in another hall: a stream there is lost if the halls lose contact. */
const REMOTE_HALL_COST = 0.5;
/** Cost of a limited endpoint as a standby: continuing there uses a request of its limit. */
const LIMITED_STANDBY_COST = 2;
/** Cost of another hall for plain services, in open calls: less than one, so that it only decides between equals. */
const REMOTE_HALL_CALLS = 0.5;
/**
 * Score cost of an endpoint with stalled streams, those that wait too long for their first token. It outweighs all else,
 * but not a lack of capacity.
 */
const STALLED_COST = 3;
/** Score cost of a request that is certain to be late: as much as an endpoint's whole memory. */
const LATE_COST = 1;
/** Share of an endpoint's memory that is never planned: its own watermark and its rounding to blocks. */
const MEMORY_RESERVE = 0.03;
/** Streams that all hosts together may run at a new or returning endpoint at first. */
const RAMP_START_STREAMS = 8;
/** Time in which that bound grows linearly to {@link RAMP_END_STREAMS}; afterwards it grows on at the same rate. */
const RAMP_MS = 10_000;
const RAMP_END_STREAMS = 256;
/** Largest share of a model's endpoints that may be ejected at the same time; beyond it ejection is ignored. */
const MAX_EJECTED_SHARE = 0.5;

/** An endpoint that could take a request, and its score; lower is better. */
export interface Candidate {
    readonly id: string;
    readonly score: number;
    /** Whether so much of it is planned that concurrent choices of other hosts matter. */
    readonly crowded: boolean;
    /** Chance that the request would be late there; 0 if the endpoints of its pool are not known to differ. */
    readonly lateness: number;
}

/** What is the same for every endpoint and every request. */
export interface PlacementContext {
    readonly variant: Variant;
    /** Live hosts of the hall, this one included. */
    readonly hosts: number;
    /** Hall whose endpoints are preferred; no preference if absent. */
    readonly hall?: string | undefined;
    readonly prefillRate: PrefillRate;
    readonly speeds: SpeedPools;
    /** Services whose endpoints count as brittle. */
    readonly brittleServices: BrittleServices;
}

/** Above this share of its bounds an endpoint counts as crowded. */
const CROWDED_SHARE = 0.5;

/**
 * Endpoints that may be given a request at all: they serve the model, are in an allowed hall, take new work and are not
 * ejected. If more than half of a model's endpoints are ejected, ejection is ignored, as the fault is then hardly
 * theirs. Endpoints in doubt, i.e. those that this host can probably not reach, are left out while others remain.
 *
 * @param includeInDoubt Whether endpoints in doubt are included nonetheless.
 *
 * @example
 * ```ts
 * usableEndpoints(views, { model: "m" }, [], now).length;
 * ```
 */
export function usableEndpoints(
    views: Iterable<EndpointView>,
    needs: Pick<Demand, "model" | "halls">,
    avoid: readonly string[],
    now: number,
    includeInDoubt = false,
): readonly EndpointView[] {
    const serving = [...views].filter(view => serves(view, needs));
    // Unreachable endpoints stay out, however many they are: a hall may be cut off from the others.
    const unreachable = unreachableHalls(serving, now);
    const reachable = serving.filter(view => !isUnreachable(view, now));
    const inReachableHalls = reachable.filter(view => !unreachable.has(view.cfg.hall));
    const notInDoubt = inReachableHalls.filter(view => !view.isInDoubt);
    const choices = includeInDoubt ? [reachable, serving] : [notInDoubt, inReachableHalls, reachable, serving];
    const known = choices.find(views => views.length > 0) ?? [];
    const notEjected = known.filter(view => allowsRequest(view.breaker, now));
    const kept = notEjected.length >= known.length * (1 - MAX_EJECTED_SHARE) ? notEjected : known;
    const notAvoided = kept.filter(view => !avoid.includes(view.cfg.id));
    return notAvoided.length > 0 ? notAvoided : kept;
}

/** Whether an endpoint serves requests of this model, leaving load and failures aside. */
export function serves(view: EndpointView, { model, halls }: Pick<Demand, "model" | "halls">): boolean {
    return takesNew(view) && view.cfg.models.includes(model) && isHallAllowed(view, halls);
}

/** Whether a connection to an endpoint failed so recently that its breaker lets no request through. */
export function isUnreachable({ breaker }: EndpointView, now: number): boolean {
    return breaker.unreachable === true && !allowsRequest(breaker, now);
}

/** A hall counts as unreachable if this share of its endpoints, and at least this number, cannot be reached. */
const UNREACHABLE_HALL_SHARE = 0.5;
const UNREACHABLE_HALL_MIN = 2;

/** Halls that count as unreachable by the failures at some of their endpoints, so that the others need not be tried. */
function unreachableHalls(views: readonly EndpointView[], now: number): ReadonlySet<string> {
    const halls = new Map<string, { endpoints: number; unreachable: number }>();
    for (const view of views) {
        const hall = halls.get(view.cfg.hall) ?? { endpoints: 0, unreachable: 0 };
        hall.endpoints += 1;
        if (isUnreachable(view, now)) hall.unreachable += 1;
        halls.set(view.cfg.hall, hall);
    }
    const cutOff = [...halls].filter(([, { endpoints, unreachable }]) =>
        unreachable >= UNREACHABLE_HALL_MIN && unreachable >= UNREACHABLE_HALL_SHARE * endpoints
    );
    return new Set(cutOff.map(([hall]) => hall));
}

/**
 * An endpoint is given standby copies while its planned memory stays below this share; the rest is for running streams. A
 * stream and its copy hold the same memory, so above half a copy takes the place of a stream to come. Compared with
 * 0.75, on a fleet whose streams alone take 70 to 95 % of the memory, the worth served rises by 0.05 (95 % interval:
 * 0.01 to 0.09; five days, paired by seed). Where memory is ample it makes no difference.
 */
export const BACKUP_MEMORY_SHARE = 0.5;

/**
 * A stream whose endpoint is about to leave is copied while planned memory stays below this share: it will run there
 * soon.
 */
export const EVACUATION_MEMORY_SHARE = 0.9;

/**
 * Chooses the standby for a stream's copy: the endpoint with the most free memory, if any has enough. A stream that
 * runs in another hall is lost if the halls lose contact, so its copy may use more of the own hall's memory.
 *
 * @param primary Endpoint where the stream runs.
 * @param roomShare Share of an endpoint's memory that may be planned, the copy included.
 *
 * @example
 * ```ts
 * chooseStandby(views, profileOf(job, lengths), "engine-1", now); // "engine-4"
 * ```
 */
export function chooseStandby(
    views: Iterable<EndpointView>,
    { demand, curve, z }: RequestProfile,
    primary: string,
    now: number,
    hall?: string,
    roomShare = BACKUP_MEMORY_SHARE,
): string | undefined {
    const known = [...views];
    const runsRemotely = hall !== undefined && known.find(view => view.cfg.id === primary)?.cfg.hall !== hall;
    let chosen: { readonly id: string; readonly cost: number } | undefined;
    for (const view of usableEndpoints(known, demand, [primary], now)) {
        if (view.cfg.id === primary) continue;
        const used = peakMemory([view.curve, view.others.curve, curve], z) / view.cfg.memoryTokens;
        const isRemote = hall !== undefined && hall !== view.cfg.hall;
        const cost = used + (isRemote ? REMOTE_HALL_COST : 0) + (isLimited(view) ? LIMITED_STANDBY_COST : 0);
        const maxUsed = runsRemotely && !isRemote ? Math.max(roomShare, EVACUATION_MEMORY_SHARE) : roomShare;
        if (used <= maxUsed && cost < (chosen?.cost ?? Infinity)) chosen = { id: view.cfg.id, cost };
    }
    return chosen?.id;
}

/** Number of streams that an endpoint may have now, by its pace and by the ramp since it joined. */
function streamLimit(view: EndpointView, gapTargetMs: number, variant: Variant, now: number): number {
    // An endpoint that declares how long it is cold is used in full as soon as it is warm.
    const ramp = view.cfg.cold
        ? RAMP_END_STREAMS
        : RAMP_START_STREAMS + (RAMP_END_STREAMS - RAMP_START_STREAMS) * Math.max(0, now - view.since) / RAMP_MS;
    const pace = variant.pace ? batchWithin(view.pace, gapTargetMs) : Number.MAX_SAFE_INTEGER;
    return Math.min(ramp, pace);
}

/** Whether one more stream would make an endpoint's pace, as far as it is known, too slow for a target. */
export function isAtPace(view: EndpointView, gapTargetMs: number, variant: Variant, now: number): boolean {
    return streamCount(view) + 1 > Math.max(1, streamLimit(view, gapTargetMs, variant, now));
}

/** An endpoint's streams and memory with a request added, and the bounds of both. */
interface Fit {
    readonly streams: number;
    readonly streamLimit: number;
    /** Planned tokens at the memory peak, and the tokens that may be planned. */
    readonly peak: number;
    readonly memoryLimit: number;
}

/** Computes how a request would fit an endpoint; undefined if it must not be added now. */
export function fitOf(
    view: EndpointView,
    { demand, curve, z }: RequestProfile,
    { variant, hosts, brittleServices }: PlacementContext,
    now: number,
): Fit | undefined {
    const share = variant.share === "owner" ? plannedShare(view, hosts, now) : 1;
    const limit = share * streamLimit(view, demand.gapTargetMs, variant, now);
    const streams = streamCount(view) + 1;
    if (streams > Math.max(1, limit)) return undefined;
    // Memory may have room for more requests than a brittle endpoint has places.
    const places = isBrittle(view, brittleServices, now) ? view.cfg.places ?? Infinity : Infinity;
    if (streams > Math.max(1, share * places)) return undefined;
    const memoryLimit = share * view.cfg.memoryTokens * (1 - MEMORY_RESERVE);
    const peak = variant.admission === "free"
        ? view.curve.mean[0]! + view.others.curve.mean[0]! + demand.promptTokens
        : peakMemory([view.curve, view.others.curve, curve], z);
    // A request that is too large for any plan still runs, alone.
    if (peak > memoryLimit && streams > 1) return undefined;
    return { streams, streamLimit: limit, peak, memoryLimit };
}

/**
 * Assesses an endpoint for a request; undefined if the request must not be added there now.
 *
 * @example
 * ```ts
 * assess(view, profileOf(job, lengths), state, now)?.score;
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
        const remoteCost = hall !== undefined && hall !== view.cfg.hall ? REMOTE_HALL_CALLS : 0;
        return { id: view.cfg.id, score: streamCount(view) + remoteCost, crowded: false, lateness: 0 };
    }
    const fit = fitOf(view, profile, context, now);
    if (!fit) return undefined;
    const outlook = variant.speeds ? outlookAt(view, demand, poolOf(speeds, view), now) : undefined;
    const firstTokenMs = outlook?.firstTokenMs ?? prefillMs(prefillRate, pendingPrefill(view) + promptTokens);
    if (variant.forecast && !startsInTime(view, firstTokenMs, demand.leftMs)) return undefined;
    const { streams, streamLimit: limit, peak, memoryLimit } = fit;
    const cachedShare = variant.prefix && view.prefixes.has(demand.prefix)
        ? demand.prefixTokens / Math.max(1, promptTokens)
        : 0;
    const remoteCost = hall !== undefined && hall !== view.cfg.hall ? REMOTE_HALL_COST : 0;
    // If the endpoints do not differ, prefilling the request's own prompt takes equally long at each.
    const waitMs = outlook?.firstTokenMs ?? prefillMs(prefillRate, pendingPrefill(view));
    const lateness = outlook?.lateness ?? 0;
    const wait = waitMs / (WAIT_SCALE * demand.objectiveMs);
    const stalled = stalledStreams(view, now) + view.others.stalled > 0 ? STALLED_COST : 0;
    const score = stalled + wait + remoteCost
        + weightTail * streams / Math.min(limit, RAMP_END_STREAMS)
        + weightStall * peak / memoryLimit
        - weightPrefix * cachedShare
        + LATE_COST * lateness;
    const crowded = peak > CROWDED_SHARE * memoryLimit || streams > CROWDED_SHARE * limit;
    return { id: view.cfg.id, score, crowded, lateness };
}
