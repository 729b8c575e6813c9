/**
 * Statistics over a pool, the endpoints that run the same models: how long the mean endpoint takes, how far samples
 * scatter, and how far the endpoints differ beyond that scatter.
 *
 * An endpoint's own estimate is shrunk towards the pool's mean according to its uncertainty (empirical Bayes). Whether
 * the endpoints differ at all is tested as in a meta-analysis of studies (Cochran 1954, DerSimonian and Laird 1986); if
 * they do not, all count as equal.
 *
 * @module
 */
import { observePace, type PaceFit, paceLine, paceOfSample } from "./pace.js";
import { BUCKET_LOG, NO_PAUSES, observePauses, type PauseTable } from "./pause-risk.js";
import { type Residual, type SpeedEstimate, speedEstimateOf, type SpeedEvidence } from "./speed-estimate.js";
import type { SpeedSample, StretchSample } from "./speed-samples.js";

/** After 500 more samples a sample still weighs a third. */
const DECAY = 0.998;
/** Prior variance of a sample, and its weight in samples: a sample is taken to be off by half. */
const PRIOR_VARIANCE = 0.25;
const PRIOR_SAMPLES = 4;
/**
 * Deviations are clipped to this number of standard deviations, so that outliers do not decide (Huber 1964, for normal
 * samples).
 */
const HUBER_DEVIATIONS = 1.345;
/**
 * Mean square of standard normal deviates that are clipped in this way. Without this correction the bound would shrink
 * with the scatter that it leaves.
 */
const CLIPPED_MEAN_SQUARE = 0.71;
/**
 * Endpoints count as different once their differences exceed chance by this many standard deviations, so that a uniform
 * fleet is treated as uniform.
 */
const SIGNIFICANT_DEVIATIONS = 3;

/**
 * Minimum variance of a sample: the pause table cannot resolve finer differences, and an endpoint whose samples hardly
 * scatter may still change.
 */
const MIN_VARIANCE = BUCKET_LOG ** 2;

/** A decayed sum and its weight, which together give a mean. */
interface DecayedMean {
    readonly weight: number;
    readonly sum: number;
}

/** Statistics over all endpoints of a pool. */
export interface SpeedPool {
    /**
     * Mean logarithms: of the time to first token per prompt token to prefill, and of a gap relative to the line over
     * the batch size.
     */
    readonly levels: { readonly [K in SpeedSample["kind"]]: DecayedMean };
    /** Squared deviations of samples from their endpoint's mean. */
    readonly noise: { readonly [K in SpeedSample["kind"]]: DecayedMean };
    /** Gaps of the mean endpoint by batch size; undefined before the first sample. */
    readonly pace: PaceFit | undefined;
    readonly pauses: PauseTable;
    /** Weighted mean of the endpoints' speed estimates. */
    readonly mean: number;
    /** Variance between endpoints beyond the scatter of samples; 0 if they may well be equal. */
    readonly variance: number;
    /** When the endpoints were last compared. */
    readonly comparedAt: number;
}

/** Pools by the models that their endpoints run. */
export type SpeedPools = ReadonlyMap<string, SpeedPool>;

/** An endpoint's slowness relative to the mean of its pool. */
export interface Slowness {
    /** Natural logarithm of its relative time for the same work; 0 if it is not known to differ. */
    readonly logRatio: number;
    /** Standard deviation of the logarithm. */
    readonly deviation: number;
}

const NO_VALUES: DecayedMean = { weight: 0, sum: 0 };
const PRIOR_NOISE: DecayedMean = { weight: PRIOR_SAMPLES, sum: PRIOR_SAMPLES * PRIOR_VARIANCE };

/** A pool without samples. */
export const EMPTY_POOL: SpeedPool = {
    levels: { first: NO_VALUES, stretch: NO_VALUES },
    noise: { first: PRIOR_NOISE, stretch: PRIOR_NOISE },
    pace: undefined,
    pauses: NO_PAUSES,
    mean: 0,
    variance: 0,
    comparedAt: -Infinity,
};

const NO_DIFFERENCE: Slowness = { logRatio: 0, deviation: 0 };

function addValue({ weight, sum }: DecayedMean, value: number): DecayedMean {
    return { weight: weight * DECAY + 1, sum: sum * DECAY + value };
}

function meanOf({ weight, sum }: DecayedMean): number {
    return weight > 0 ? sum / weight : 0;
}

/** Variance of an endpoint's samples, on the logarithmic scale. */
export function noiseOf(pool: SpeedPool, kind: SpeedSample["kind"]): number {
    return Math.max(MIN_VARIANCE, meanOf(pool.noise[kind]));
}

/**
 * Estimates an endpoint's slowness relative to the mean of its pool, shrunk towards that mean according to its
 * uncertainty.
 *
 * @example
 * ```ts
 * Math.exp(slownessOf(pool, view.speed, now).logRatio); // 1.67 if it takes two thirds longer
 * ```
 */
export function slownessOf({ mean, variance }: SpeedPool, speed: SpeedEvidence, now: number): Slowness {
    if (variance === 0) return NO_DIFFERENCE;
    const known = speedEstimateOf(speed, now);
    if (known.weight === 0) return { logRatio: 0, deviation: Math.sqrt(variance) };
    const share = known.weight * variance / (known.weight * variance + 1);
    return { logRatio: share * (known.mean - mean), deviation: Math.sqrt(variance * (1 - share)) };
}

/**
 * Expected gap of an endpoint's streams, in milliseconds; undefined before the first sample.
 *
 * @param log The endpoint's slowness, as a natural logarithm.
 */
export function expectedGapMs({ pace }: SpeedPool, log: number, batch: number): number | undefined {
    if (!pace) return undefined;
    const { base, perStream } = paceLine(pace);
    return (base + perStream * batch) * Math.exp(log);
}

/**
 * Expected time of an endpoint to prefill so many prompt tokens, in milliseconds; undefined before the first sample.
 *
 * @param log The endpoint's slowness, as a natural logarithm.
 */
export function expectedFirstTokenMs(
    { levels: { first } }: SpeedPool,
    log: number,
    unread: number,
): number | undefined {
    return first.weight > 0 ? unread * Math.exp(meanOf(first) + log) : undefined;
}

/** Computes a sample's deviation from expectation; undefined if the sample is unusable or the pool has no level yet. */
export function residualOf(
    pool: SpeedPool,
    speed: SpeedEvidence,
    batch: number,
    sample: SpeedSample,
    now: number,
): Residual | undefined {
    const observed = logTimeOf(pool, batch, sample);
    if (observed === undefined) return undefined;
    const known = speedEstimateOf(speed, now);
    const noise = noiseOf(pool, sample.kind);
    const centre = known.weight > 0 ? known.mean : pool.mean;
    const uncertainty = known.weight > 0 ? 1 / known.weight : Math.max(noise, pool.variance);
    const bound = HUBER_DEVIATIONS * Math.sqrt(noise + uncertainty);
    const deviation = Math.min(bound, Math.max(-bound, observed - meanOf(pool.levels[sample.kind]) - centre));
    return { value: centre + deviation, deviation, weight: 1 / noise };
}

/** A sample's time on the logarithmic scale: per prompt token, or relative to the line over the batch size. */
function logTimeOf({ pace, levels }: SpeedPool, batch: number, sample: SpeedSample): number | undefined {
    if (sample.kind === "first") {
        if (!(sample.unread > 0) || !(sample.ms > 0)) return undefined;
        const log = Math.log(sample.ms / sample.unread);
        return levels.first.weight > 0 ? log : undefined;
    }
    if (!(sample.meanGapMs > 0) || !pace) return undefined;
    const { base, perStream } = paceLine(pace);
    return Math.log(sample.meanGapMs / (base + perStream * batch));
}

/**
 * Adds a sample of an endpoint to the pool; the first sample of each kind sets its level.
 *
 * @param speed Evidence of the endpoint's speed before the sample.
 * @param batch Number of streams running there.
 */
export function observePool(
    pool: SpeedPool,
    speed: SpeedEvidence,
    batch: number,
    sample: SpeedSample,
    now: number,
): SpeedPool {
    const residual = residualOf(pool, speed, batch, sample, now);
    if (!residual) return startFrom(pool, batch, sample);
    const { kind } = sample;
    const slowness = slownessOf(pool, speed, now);
    const level = meanOf(pool.levels[kind]);
    const adjusted = level + residual.value - slowness.logRatio;
    return {
        ...pool,
        levels: { ...pool.levels, [kind]: addValue(pool.levels[kind], adjusted) },
        noise: { ...pool.noise, [kind]: observeNoise(pool, speed, kind, residual, now) },
        ...(sample.kind === "stretch" ? observeGap(pool, batch, sample, adjusted) : {}),
        pauses: observePausesOf(pool, speedEstimateOf(speed, now), batch, sample),
    };
}

function startFrom(pool: SpeedPool, batch: number, sample: SpeedSample): SpeedPool {
    if (sample.kind === "first") {
        if (!(sample.unread > 0) || !(sample.ms > 0)) return pool;
        const level = addValue(NO_VALUES, Math.log(sample.ms / sample.unread));
        return { ...pool, levels: { ...pool.levels, first: level } };
    }
    if (!(sample.meanGapMs > 0) || pool.pace) return pool;
    return { ...pool, pace: paceOfSample(batch, sample.meanGapMs) };
}

/**
 * Adds a sample's squared deviation to the noise. A deviation from a mean of few samples is larger than one from the
 * true mean; the factor `samples / (samples + 1)` corrects for that.
 */
function observeNoise(
    pool: SpeedPool,
    speed: SpeedEvidence,
    kind: SpeedSample["kind"],
    { deviation }: Residual,
    now: number,
): DecayedMean {
    const { weight } = speedEstimateOf(speed, now);
    const noise = pool.noise[kind];
    if (weight === 0) return noise;
    const samples = weight * noiseOf(pool, kind);
    return addValue(noise, deviation * deviation / CLIPPED_MEAN_SQUARE * samples / (samples + 1));
}

/**
 * Adds a stretch to the line. `adjusted` is the logarithm of its gap relative to the line, adjusted to the mean
 * endpoint.
 */
function observeGap(
    { pace }: SpeedPool,
    batch: number,
    { longestMs }: StretchSample,
    adjusted: number,
): Partial<SpeedPool> {
    if (!pace) return {};
    const { base, perStream } = paceLine(pace);
    const gapMs = (base + perStream * batch) * Math.exp(adjusted);
    return { pace: observePace(pace, batch, gapMs, longestMs) };
}

/**
 * Adds a stretch to the pause table if the endpoint's own gap is known precisely enough to measure the pause against.
 */
function observePausesOf(
    pool: SpeedPool,
    { mean, weight }: SpeedEstimate,
    batch: number,
    sample: SpeedSample,
): PauseTable {
    const { pauses } = pool;
    if (sample.kind === "first" || weight * BUCKET_LOG ** 2 < 1) return pauses;
    const gapMs = expectedGapMs(pool, mean - pool.mean, batch);
    return gapMs === undefined ? pauses : observePauses(pauses, sample.pieces, sample.longestMs / gapMs);
}

/**
 * Compares the estimates of a pool's endpoints and updates its mean and variance.
 *
 * @example
 * ```ts
 * comparePool(pool, views.map(view => speedEstimateOf(view.speed, now))).variance; // 0 if they may well be equal
 * ```
 */
export function comparePool(pool: SpeedPool, estimates: readonly SpeedEstimate[]): SpeedPool {
    const known = estimates.filter(({ weight }) => weight > 0);
    const sum = known.reduce((total, { weight }) => total + weight, 0);
    if (known.length < 2) return { ...pool, variance: 0 };
    const mean = known.reduce((total, estimate) => total + estimate.weight * estimate.mean, 0) / sum;
    const squares = known.reduce((total, estimate) => total + estimate.weight * (estimate.mean - mean) ** 2, 0);
    const byChance = known.length - 1;
    const isSignificant = squares > byChance + SIGNIFICANT_DEVIATIONS * Math.sqrt(2 * byChance);
    if (!isSignificant) return { ...pool, mean, variance: 0 };
    const scale = sum - known.reduce((total, { weight }) => total + weight * weight, 0) / sum;
    const variance = (squares - byChance) / scale;
    return { ...pool, mean: meanOfUneven(known, variance), variance };
}

/** Mean of endpoints that differ: an endpoint with many samples counts for little more than another. */
function meanOfUneven(known: readonly SpeedEstimate[], variance: number): number {
    let sum = 0;
    let total = 0;
    for (const { mean, weight } of known) {
        const share = 1 / (variance + 1 / weight);
        sum += share * mean;
        total += share;
    }
    return sum / total;
}
