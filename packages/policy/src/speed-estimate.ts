/**
 * How slow one endpoint is by what its streams showed: a weighted mean on a logarithmic scale.
 *
 * Samples that lie close together share what slowed the endpoint for that moment. They count as one, the best of them, or
 * a busy moment would pass for certainty; and each host counts once among them, or one that errs often would decide.
 *
 * @module
 */

/** Samples of this time are taken as one, in milliseconds: streams of an endpoint are slowed together for about as long. */
const WINDOW_MS = 600;
/** Of so many moments back, one still weighs a third: some ten seconds of a busy endpoint, as long as a long stream runs. */
const DECAY_WINDOWS = 16;
/** What was seen so long ago weighs a third whatever came since, in milliseconds: endpoints warm up, are moved and throttled. */
const DECAY_MS = 120_000;

/** Samples of one host. */
interface HostSamples {
    readonly count: number;
    readonly sum: number;
    /** Weight of the best of them, which is what they weigh together. */
    readonly maxWeight: number;
}

/** Samples that are taken as one. Weights are one over the variance of a sample. */
interface SampleWindow {
    readonly since: number;
    /** When the last of them came. */
    readonly at: number;
    /** What each host's samples came to. */
    readonly hosts: ReadonlyMap<string, HostSamples>;
}

/** What is known of an endpoint's speed. Values are natural logarithms of its time for the same work against others'. */
export interface SpeedEvidence {
    /** Decayed sums over moments that are past, as of `at`. */
    readonly weight: number;
    readonly sum: number;
    readonly at: number;
    /** The moment that is being seen; undefined before any sample. */
    readonly window: SampleWindow | undefined;
}

/** What one sample says. */
export interface Residual {
    /** Natural logarithm of the time that was seen against the one expected of the mean endpoint, bounded. */
    readonly value: number;
    /** What it deviates from its endpoint's mean. */
    readonly deviation: number;
    /** One over the variance of such a sample. */
    readonly weight: number;
}

/** An estimate: the mean of what was seen, and its weight, one over its variance; 0 where nothing was seen. */
export interface SpeedEstimate {
    readonly mean: number;
    readonly weight: number;
}

/** What an owner tells of an endpoint's speed. */
export interface ToldSpeed {
    /** Natural logarithm of its time for the same work against others'. */
    readonly value: number;
    /** One over the variance of the value, when it was seen. */
    readonly weight: number;
    readonly ageMs: number;
}

/** Nothing seen. */
export const UNKNOWN_SPEED: SpeedEvidence = { weight: 0, sum: 0, at: 0, window: undefined };

/** No endpoint is taken for more than so many times as slow, or as fast, as others by what a host tells. */
const MAX_TOLD_LOG_RATIO = Math.log(32);
/** Nor is it taken for better known than by so many samples of a deviation of a tenth. */
const MAX_TOLD_WEIGHT = 10_000;

/**
 * The speed after a sample.
 *
 * @param host The host that saw it.
 *
 * @example
 * ```ts
 * const residual = { value: Math.log(2), weight: 4, deviation: 0 };
 * estimateOf(observeSpeed(UNKNOWN_SPEED, residual, "k1-a", now), now).mean; // 0.69
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

/** The mean over the hosts of a moment, each by its best sample, and what they weigh together. */
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

/** Sums with the moment that is being seen closed. */
function closedSums(speed: SpeedEvidence, now: number): Omit<SpeedEvidence, "window"> {
    const { window } = speed;
    const kept = Math.exp(-Math.max(0, now - speed.at) / DECAY_MS);
    if (!window) return { weight: speed.weight * kept, sum: speed.sum * kept, at: now };
    const { mean, weight } = windowEstimate(window);
    const added = weight * Math.exp(-Math.max(0, now - window.at) / DECAY_MS);
    const past = kept * Math.exp(-1 / DECAY_WINDOWS);
    return { weight: speed.weight * past + added, sum: speed.sum * past + added * mean, at: now };
}

/** The mean of what was seen of an endpoint, and how much it weighs by now. */
export function estimateOf(speed: SpeedEvidence, now: number): SpeedEstimate {
    const { weight, sum } = closedSums(speed, now);
    return { mean: weight > 0 ? sum / weight : 0, weight };
}

/** What an owner tells of an endpoint's speed; undefined where nothing was seen. */
export function toldSpeedOf(speed: SpeedEvidence, now: number): ToldSpeed | undefined {
    const ageMs = speedAgeMs(speed, now);
    if (ageMs === undefined) return undefined;
    const { mean, weight } = estimateOf(speed, now - ageMs);
    return { value: mean, weight, ageMs };
}

/**
 * The speed that an owner told. What is told is bounded, as any host may err.
 *
 * @example
 * ```ts
 * takeToldSpeed({ value: 0.5, weight: 40, ageMs: 200 }, now);
 * ```
 */
export function speedFromTold({ value, weight, ageMs }: ToldSpeed, now: number): SpeedEvidence {
    const mean = Math.min(MAX_TOLD_LOG_RATIO, Math.max(-MAX_TOLD_LOG_RATIO, value));
    const known = Math.min(MAX_TOLD_WEIGHT, Math.max(0, weight));
    return { weight: known, sum: known * mean, at: now - Math.max(0, ageMs), window: undefined };
}

/** Time since an endpoint's speed was last seen, in milliseconds; undefined where it never was. */
export function speedAgeMs({ weight, at, window }: SpeedEvidence, now: number): number | undefined {
    if (window) return now - window.at;
    return weight > 0 ? now - at : undefined;
}
