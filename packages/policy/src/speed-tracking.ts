/**
 * Records speed samples of endpoints: from this host's streams, from other hosts if this one is the owner, and from the
 * owner's estimate.
 *
 * @module
 */
import { type EndpointView, streamCount } from "./endpoint.js";
import { type SchedulerState, updateEndpoint } from "./scheduler-state.js";
import { observeSpeed, type OwnerSpeed, speedAgeMs, speedEstimateOf, speedFromOwner } from "./speed-estimate.js";
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
import { addSpeedSample, samplesFromSums, type SpeedSample, type SpeedSums } from "./speed-samples.js";

/** Key of this host among the hosts that contribute samples. */
const OWN_HOST = "";
/**
 * Minimum time between two comparisons of a pool's endpoints, in milliseconds. An owner of many endpoints receives
 * samples more often.
 */
const COMPARE_INTERVAL_MS = 100;

/** Key of an endpoint's pool. Endpoints that run the same models form a pool and are compared with each other. */
export function poolKeyOf({ cfg }: EndpointView): string {
    return cfg.models.join(" ");
}

/** The pool of an endpoint. */
export function poolOf(pools: SpeedPools, view: EndpointView): SpeedPool {
    return pools.get(poolKeyOf(view)) ?? EMPTY_POOL;
}

/** Records a sample of an own stream; its sums are later sent to the endpoint's owner. */
export function recordOwnSample(
    state: SchedulerState,
    endpoint: string,
    sample: SpeedSample,
    now: number,
): SchedulerState {
    const estimatesHere = state.hosts <= 1 || state.owned.has(endpoint);
    const counted = updateEndpoint(
        state,
        endpoint,
        view => ({ ...view, ownSpeedSums: addSpeedSample(view.ownSpeedSums, sample) }),
    );
    return recordSamples(counted, endpoint, [sample], estimatesHere ? OWN_HOST : undefined, now);
}

/** Records, as the endpoint's owner, the sums that another host sent. */
export function recordPeerSums(
    state: SchedulerState,
    host: string,
    endpoint: string,
    shown: SpeedSums,
    now: number,
): SchedulerState {
    return recordSamples(state, endpoint, samplesFromSums(shown), host, now);
}

/** Takes the speed estimate that the endpoint's owner sent. */
export function applyOwnerSpeed(
    state: SchedulerState,
    endpoint: string,
    told: OwnerSpeed,
    now: number,
): SchedulerState {
    if (state.owned.has(endpoint)) return state;
    return refreshPool(
        updateEndpoint(state, endpoint, view => ({ ...view, speed: speedFromOwner(told, now) })),
        endpoint,
        now,
    );
}

/**
 * @param host The host that saw the samples; undefined if this host does not estimate the speed itself but receives it
 * from the owner.
 */
function recordSamples(
    state: SchedulerState,
    endpoint: string,
    samples: readonly SpeedSample[],
    host: string | undefined,
    now: number,
): SchedulerState {
    const view = state.endpoints.get(endpoint);
    // An endpoint that is no longer declared has no models and belongs to no pool.
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

/** Compares the endpoints of an endpoint's pool, unless they were compared just before. */
function refreshPool(state: SchedulerState, endpoint: string, now: number): SchedulerState {
    const view = state.endpoints.get(endpoint);
    if (!view) return state;
    const key = poolKeyOf(view);
    const known = poolOf(state.speeds, view);
    if (now - known.comparedAt < COMPARE_INTERVAL_MS) return state;
    const estimates = state.endpoints.values()
        .filter(other => poolKeyOf(other) === key)
        .map(({ speed }) => speedEstimateOf(speed, now));
    const pool = { ...comparePool(known, estimates), comparedAt: now };
    return { ...state, speeds: new Map(state.speeds).set(key, pool) };
}

/** An endpoint's slowness as shown to operators. */
export interface EndpointSlowness extends Slowness {
    /** Time since its last sample, in milliseconds; undefined if there was none. */
    readonly ageMs: number | undefined;
}

/**
 * An endpoint's slowness relative to the mean of its pool.
 *
 * @example
 * ```ts
 * Math.exp(endpointSlowness(state, view, now).logRatio); // 0.6 if it takes six tenths of the time
 * ```
 */
export function endpointSlowness(
    { speeds }: Pick<SchedulerState, "speeds">,
    view: EndpointView,
    now: number,
): EndpointSlowness {
    return { ...slownessOf(poolOf(speeds, view), view.speed, now), ageMs: speedAgeMs(view.speed, now) };
}
