/**
 * Takes in what streams show of endpoints' speeds: own streams as they run, those of other hosts as they are told, and what an
 * endpoint's owner makes of all.
 *
 * @module
 */
import { type EndpointView, streamCount } from "./endpoint.js";
import { type SchedulerState, updateEndpoint } from "./scheduler-state.js";
import { estimateOf, observeSpeed, speedAgeMs, speedFromTold, type ToldSpeed } from "./speed-estimate.js";
import {
    comparePool,
    EMPTY_POOL,
    observePool,
    residualOf,
    type Slowness,
    slownessOf,
    type SpeedPool,
    type SpeedPools,
} from "./speed-pool.js";
import { addSpeedSample, samplesFromSums, type Shown, type SpeedSample } from "./speed-samples.js";

/** This host among those that show something of an endpoint. */
const OWN_HOST = "";
/** Endpoints are compared this often at most, in milliseconds: rarer than samples come to an owner of many. */
const COMPARE_INTERVAL_MS = 100;

/** Endpoints of a kind run the same models, and are compared with each other. */
export function poolKeyOf({ cfg }: EndpointView): string {
    return cfg.models.join(" ");
}

/** What is known of the endpoints of this one's kind. */
export function poolOf(pools: SpeedPools, view: EndpointView): SpeedPool {
    return pools.get(poolKeyOf(view)) ?? EMPTY_POOL;
}

/** The state after an own stream showed something; it is told to the endpoint's owner as well. */
export function recordOwnSample(
    state: SchedulerState,
    endpoint: string,
    sample: SpeedSample,
    now: number,
): SchedulerState {
    const estimatesHere = state.hosts <= 1 || state.owned.has(endpoint);
    const shown = updateEndpoint(state, endpoint, view => ({ ...view, shown: addSpeedSample(view.shown, sample) }));
    return recordSamples(shown, endpoint, [sample], estimatesHere ? OWN_HOST : undefined, now);
}

/** The state after another host told, as to its owner, what its streams showed of an endpoint. */
export function recordPeerSums(
    state: SchedulerState,
    host: string,
    endpoint: string,
    shown: Shown,
    now: number,
): SchedulerState {
    return recordSamples(state, endpoint, samplesFromSums(shown), host, now);
}

/** The state after an owner told what it knows of an endpoint's speed. */
export function applyToldSpeed(state: SchedulerState, endpoint: string, told: ToldSpeed, now: number): SchedulerState {
    if (state.owned.has(endpoint)) return state;
    return refreshPool(
        updateEndpoint(state, endpoint, view => ({ ...view, speed: speedFromTold(told, now) })),
        endpoint,
        now,
    );
}

/** @param host The host that saw the samples; undefined where this one does not estimate the speed, but hears of it from the owner. */
function recordSamples(
    state: SchedulerState,
    endpoint: string,
    samples: readonly SpeedSample[],
    host: string | undefined,
    now: number,
): SchedulerState {
    const view = state.endpoints.get(endpoint);
    // What is declared no more is of no kind.
    if (!view || view.cfg.models.length === 0) return state;
    const batch = streamCount(view);
    let { speed } = view;
    let pool = poolOf(state.speeds, view);
    for (const sample of samples) {
        const residual = residualOf(pool, speed, batch, sample, now);
        pool = observePool(pool, speed, batch, sample, now);
        if (!residual || host === undefined) continue;
        speed = observeSpeed(speed, residual, host, now);
    }
    const speeds = new Map(state.speeds).set(poolKeyOf(view), pool);
    const next = updateEndpoint({ ...state, speeds }, endpoint, known => ({ ...known, speed }));
    return host !== undefined ? refreshPool(next, endpoint, now) : next;
}

/** The state after the endpoints of one's kind were compared, unless they just were. */
function refreshPool(state: SchedulerState, endpoint: string, now: number): SchedulerState {
    const view = state.endpoints.get(endpoint);
    if (!view) return state;
    const kind = poolKeyOf(view);
    const known = poolOf(state.speeds, view);
    if (now - known.comparedAt < COMPARE_INTERVAL_MS) return state;
    const estimates = state.endpoints.values()
        .filter(other => poolKeyOf(other) === kind)
        .map(({ speed }) => estimateOf(speed, now));
    const pool = { ...comparePool(known, estimates), comparedAt: now };
    return { ...state, speeds: new Map(state.speeds).set(kind, pool) };
}

/** What is known of an endpoint's speed, for those who look after it. */
export interface KnownSpeed extends Slowness {
    /** Time since its streams last showed something, in milliseconds; undefined where they never did. */
    readonly ageMs: number | undefined;
}

/**
 * What is known of an endpoint's speed against the mean of its kind.
 *
 * @example
 * ```ts
 * Math.exp(knownSpeed(state, view, now).log); // 0.6 where it takes six tenths of the time
 * ```
 */
export function knownSpeed({ speeds }: Pick<SchedulerState, "speeds">, view: EndpointView, now: number): KnownSpeed {
    return { ...slownessOf(poolOf(speeds, view), view.speed, now), ageMs: speedAgeMs(view.speed, now) };
}
