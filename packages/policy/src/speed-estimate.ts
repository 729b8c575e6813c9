/**
 * Estimates how slow one endpoint is from its streams: a weighted mean on a logarithmic scale.
 *
 * Samples that lie close together share a momentary cause. They count as one, with the weight of the best of them;
 * otherwise a busy moment would pass for certainty. Within such a window each host counts once; otherwise a host that
 * errs often would decide.
 *
 * @module
 */

/**
 * Length of the window in which samples count as one, in milliseconds: the streams of an endpoint are slowed together
 * for about as long.
 */
const WINDOW_MS = 600;
/**
 * After this many more windows a window still weighs a third: some ten seconds of a busy endpoint, as long as a long
 * stream runs.
 */
const DECAY_WINDOWS = 16;
/**
 * Evidence of this age weighs a third even without newer samples, in milliseconds: endpoints warm up, are moved and are
 * throttled.
 */
const DECAY_MS = 120_000;

/** Samples of one host within a window. */
interface HostSamples {
    readonly count: number;
    readonly sum: number;
    /** Weight of the best sample, and so of all of them together. */
    readonly maxWeight: number;
}

/** Samples that count as one. The weight of a sample is the inverse of its variance. */
interface SampleWindow {
    readonly since: number;
    /** When the latest sample came. */
    readonly at: number;
    /** Samples by host. */
    readonly hosts: ReadonlyMap<string, HostSamples>;
}

/** Evidence of an endpoint's speed. Values are natural logarithms of its time for the same work relative to others'. */
export interface SpeedEvidence {
    /** Decayed sums of weights and weighted values over closed windows, as of `at`. */
    readonly weight: number;
    readonly sum: number;
    readonly at: number;
    /** The window that is still open; undefined before the first sample. */
    readonly window: SampleWindow | undefined;
}

/** One sample as a deviation from expectation. */
export interface Residual {
    /** Natural logarithm of the observed time relative to that expected of the mean endpoint, clipped. */
    readonly value: number;
    /** Deviation from the endpoint's own mean. */
    readonly deviation: number;
    /** Inverse variance of such a sample. */
    readonly weight: number;
}

/** An estimate: a mean and its weight, the inverse of its variance; weight 0 without samples. */
export interface SpeedEstimate {
    readonly mean: number;
    readonly weight: number;
}

/** An owner's estimate of an endpoint's speed, as sent to other hosts. */
export interface OwnerSpeed {
    /** Natural logarithm of its time for the same work relative to others'. */
    readonly value: number;
    /** Inverse variance of the value when the endpoint was last sampled. */
    readonly weight: number;
    readonly ageMs: number;
}

/** No evidence. */
export const UNKNOWN_SPEED: SpeedEvidence = { weight: 0, sum: 0, at: 0, window: undefined };

/** Bound on a received estimate: no endpoint counts as more than 32 times slower or faster than others. */
const MAX_OWNER_LOG_RATIO = Math.log(32);
/** Bound on the weight of a received estimate: that of 100 samples with a deviation of a tenth. */
const MAX_OWNER_WEIGHT = 10_000;

/**
 * Adds a sample to the evidence.
 *
 * @param host The host that saw it.
 *
 * @example
 * ```ts
 * const residual = { value: Math.log(2), weight: 4, deviation: 0 };
 * speedEstimateOf(observeSpeed(UNKNOWN_SPEED, residual, "k1-a", now), now).mean; // 0.69
 * ```
 */
export function observeSpeed(speed: SpeedEvidence, residual: Residual, host: string, now: number): SpeedEvidence {
    const { window } = speed;
    if (window && now - window.since < WINDOW_MS) {
        return { ...speed, window: addToWindow(window, residual, host, now) };
    }
    const fresh = { since: now, at: now, hosts: new Map() };
    return { ...closedSums(speed, now), window: addToWindow(fresh, residual, host, now) };
}

function addToWindow(window: SampleWindow, { value, weight }: Residual, host: string, now: number): SampleWindow {
    const { count, sum, maxWeight } = window.hosts.get(host) ?? { count: 0, sum: 0, maxWeight: 0 };
    const added = { count: count + 1, sum: sum + value, maxWeight: Math.max(maxWeight, weight) };
    return { ...window, at: now, hosts: new Map(window.hosts).set(host, added) };
}

/** Estimate of one window: the mean over its hosts, each weighted by its best sample. */
function windowEstimate({ hosts }: SampleWindow): SpeedEstimate {
    let weights = 0;
    let sum = 0;
    let weight = 0;
    for (const host of hosts.values()) {
        weights += host.maxWeight;
        sum += host.maxWeight * host.sum / host.count;
        weight = Math.max(weight, host.maxWeight);
    }
    return { mean: sum / weights, weight };
}

/** Returns the decayed sums with the open window closed. */
function closedSums(speed: SpeedEvidence, now: number): Omit<SpeedEvidence, "window"> {
    const { window } = speed;
    const kept = Math.exp(-Math.max(0, now - speed.at) / DECAY_MS);
    if (!window) return { weight: speed.weight * kept, sum: speed.sum * kept, at: now };
    const { mean, weight } = windowEstimate(window);
    const added = weight * Math.exp(-Math.max(0, now - window.at) / DECAY_MS);
    const past = kept * Math.exp(-1 / DECAY_WINDOWS);
    return { weight: speed.weight * past + added, sum: speed.sum * past + added * mean, at: now };
}

/** Current estimate of an endpoint's speed. */
export function speedEstimateOf(speed: SpeedEvidence, now: number): SpeedEstimate {
    const { weight, sum } = closedSums(speed, now);
    return { mean: weight > 0 ? sum / weight : 0, weight };
}

/** Returns the estimate that an owner sends to other hosts; undefined without samples. */
export function ownerSpeedOf(speed: SpeedEvidence, now: number): OwnerSpeed | undefined {
    const ageMs = speedAgeMs(speed, now);
    if (ageMs === undefined) return undefined;
    const { mean, weight } = speedEstimateOf(speed, now - ageMs);
    return { value: mean, weight, ageMs };
}

/**
 * Turns an estimate received from an owner into evidence. Values are bounded, as a host may send wrong ones.
 *
 * @example
 * ```ts
 * speedFromOwner({ value: 0.5, weight: 40, ageMs: 200 }, now);
 * ```
 */
export function speedFromOwner({ value, weight, ageMs }: OwnerSpeed, now: number): SpeedEvidence {
    const mean = Math.min(MAX_OWNER_LOG_RATIO, Math.max(-MAX_OWNER_LOG_RATIO, value));
    const known = Math.min(MAX_OWNER_WEIGHT, Math.max(0, weight));
    return { weight: known, sum: known * mean, at: now - Math.max(0, ageMs), window: undefined };
}

/** Time since an endpoint's last sample, in milliseconds; undefined without samples. */
export function speedAgeMs({ weight, at, window }: SpeedEvidence, now: number): number | undefined {
    if (window) return now - window.at;
    return weight > 0 ? now - at : undefined;
}
