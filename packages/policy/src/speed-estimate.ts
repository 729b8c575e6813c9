/**
 * How slow one endpoint is by what its streams showed: a weighted mean on a logarithmic scale.
 *
 * Samples that lie close together share what slowed the endpoint for that moment. They count as one, the best of them, or
 * a busy moment would pass for certainty; and each host counts once among them, or one that errs often would decide.
 *
 * @module
 */

/** Samples of this time are taken as one, in milliseconds: streams of an endpoint are slowed together for about as long. */
const TOGETHER_MS = 600;
/** Of so many moments back, one still weighs a third: some ten seconds of a busy endpoint, as long as a long stream runs. */
const LASTING_MOMENTS = 16;
/** What was seen so long ago weighs a third whatever came since, in milliseconds: endpoints warm up, are moved and throttled. */
const LASTS_MS = 120_000;

/** Samples of one host. */
interface Weighted {
    readonly count: number;
    readonly sum: number;
    /** Weight of the best of them, which is what they weigh together. */
    readonly best: number;
}

/** Samples that are taken as one. Weights are one over the variance of a sample. */
interface Moment {
    readonly since: number;
    /** When the last of them came. */
    readonly at: number;
    /** What each host's samples came to. */
    readonly hosts: ReadonlyMap<string, Weighted>;
}

/** What is known of an endpoint's speed. Values are natural logarithms of its time for the same work against others'. */
export interface Speed {
    /** Decayed sums over moments that are past, as of `at`. */
    readonly weight: number;
    readonly sum: number;
    readonly at: number;
    /** The moment that is being seen; undefined before any sample. */
    readonly moment: Moment | undefined;
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
export interface Estimate {
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
export const UNKNOWN_SPEED: Speed = { weight: 0, sum: 0, at: 0, moment: undefined };

/** No endpoint is taken for more than so many times as slow, or as fast, as others by what a host tells. */
const MOST_TOLD = Math.log(32);
/** Nor is it taken for better known than by so many samples of a deviation of a tenth. */
const MOST_WEIGHT = 10_000;

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
export function observeSpeed(speed: Speed, residual: Residual, host: string, now: number): Speed {
    const { moment } = speed;
    if (moment && now - moment.since < TOGETHER_MS) {
        return { ...speed, moment: addTo(moment, residual, host, now) };
    }
    const fresh = { since: now, at: now, hosts: new Map() };
    return { ...pastOf(speed, now), moment: addTo(fresh, residual, host, now) };
}

function addTo(moment: Moment, { value, weight }: Residual, host: string, now: number): Moment {
    const { count, sum, best } = moment.hosts.get(host) ?? { count: 0, sum: 0, best: 0 };
    const added = { count: count + 1, sum: sum + value, best: Math.max(best, weight) };
    return { ...moment, at: now, hosts: new Map(moment.hosts).set(host, added) };
}

/** The mean over the hosts of a moment, each by its best sample, and what they weigh together. */
function momentOf({ hosts }: Moment): Estimate {
    let weights = 0;
    let sum = 0;
    let weight = 0;
    for (const host of hosts.values()) {
        weights += host.best;
        sum += host.best * host.sum / host.count;
        weight = Math.max(weight, host.best);
    }
    return { mean: sum / weights, weight };
}

/** Sums with the moment that is being seen closed. */
function pastOf(speed: Speed, now: number): Omit<Speed, "moment"> {
    const { moment } = speed;
    const kept = Math.exp(-Math.max(0, now - speed.at) / LASTS_MS);
    if (!moment) return { weight: speed.weight * kept, sum: speed.sum * kept, at: now };
    const { mean, weight } = momentOf(moment);
    const added = weight * Math.exp(-Math.max(0, now - moment.at) / LASTS_MS);
    const past = kept * Math.exp(-1 / LASTING_MOMENTS);
    return { weight: speed.weight * past + added, sum: speed.sum * past + added * mean, at: now };
}

/** The mean of what was seen of an endpoint, and how much it weighs by now. */
export function estimateOf(speed: Speed, now: number): Estimate {
    const { weight, sum } = pastOf(speed, now);
    return { mean: weight > 0 ? sum / weight : 0, weight };
}

/** What an owner tells of an endpoint's speed; undefined where nothing was seen. */
export function toldSpeedOf(speed: Speed, now: number): ToldSpeed | undefined {
    const ageMs = speedAge(speed, now);
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
export function takeToldSpeed({ value, weight, ageMs }: ToldSpeed, now: number): Speed {
    const mean = Math.min(MOST_TOLD, Math.max(-MOST_TOLD, value));
    const known = Math.min(MOST_WEIGHT, Math.max(0, weight));
    return { weight: known, sum: known * mean, at: now - Math.max(0, ageMs), moment: undefined };
}

/** Time since an endpoint's speed was last seen, in milliseconds; undefined where it never was. */
export function speedAge({ weight, at, moment }: Speed, now: number): number | undefined {
    if (moment) return now - moment.at;
    return weight > 0 ? now - at : undefined;
}
