/**
 * What the endpoints of one kind have in common: how long the mean endpoint takes, how far samples scatter, and how far the
 * endpoints differ from each other beyond that.
 *
 * An endpoint's own estimate is drawn towards the mean of its kind by as much as it is uncertain (empirical Bayes); whether the
 * endpoints differ at all is tested as for studies that are pooled (Cochran 1954, DerSimonian and Laird 1986). Where they do not,
 * all count as alike.
 *
 * @module
 */
import { observePace, type PaceFit, paceLine, paceOfSample } from "./pace.js";
import { BUCKET_LOG, NO_PAUSES, observePauses, type PauseTable } from "./pause-risk.js";
import { estimateOf, type Residual, type SpeedEstimate, type SpeedEvidence } from "./speed-estimate.js";
import type { SpeedSample, StretchSample } from "./speed-samples.js";

/** Of 500 samples back, a sample still weighs a third. */
const DECAY = 0.998;
/** Until enough was seen, a sample is taken to be off by half, with the strength of so many samples. */
const PRIOR_VARIANCE = 0.25;
const PRIOR_SAMPLES = 4;
/** A sample counts as no further off than so many deviations: wild ones must not decide (Huber 1964, for normal samples). */
const HUBER_DEVIATIONS = 1.345;
/** Mean square of normal deviates that are so bounded: without it the bound would shrink with the scatter that it leaves. */
const CLIPPED_MEAN_SQUARE = 0.71;
/** Deviations beyond what chance gives from which endpoints count as uneven: a fleet of alike ones is served as such. */
const SIGNIFICANT_DEVIATIONS = 3;

/** Finer than pauses are told apart an endpoint need not be known; and one whose samples hardly scatter may still change. */
const MIN_VARIANCE = BUCKET_LOG ** 2;

/** A decayed sum and its weight. */
interface DecayedMean {
    readonly weight: number;
    readonly sum: number;
}

/** What is known of all endpoints of a kind. */
export interface SpeedPool {
    /** Mean logarithms: of a first token's time per unread token, and of a gap against the line over the batch. */
    readonly levels: { readonly [K in SpeedSample["kind"]]: DecayedMean };
    /** Squared deviations of samples from their endpoint's mean. */
    readonly noise: { readonly [K in SpeedSample["kind"]]: DecayedMean };
    /** Gaps of the mean endpoint over its batch; undefined before any. */
    readonly pace: PaceFit | undefined;
    readonly pauses: PauseTable;
    /** Weighted mean of the endpoints' estimates. */
    readonly mean: number;
    /** Variance between endpoints beyond that of samples; 0 where they may well be alike. */
    readonly variance: number;
    /** When the endpoints were last compared. */
    readonly comparedAt: number;
}

/** What is known of endpoints' speeds, by the kind of endpoint. */
export type SpeedPools = ReadonlyMap<string, SpeedPool>;

/** An endpoint's slowness against the mean of its kind. */
export interface Slowness {
    /** Natural logarithm of its time for the same work; 0 where it is not known to differ. */
    readonly log: number;
    /** Standard deviation of that. */
    readonly deviation: number;
}

const NO_VALUES: DecayedMean = { weight: 0, sum: 0 };
const PRIOR_NOISE: DecayedMean = { weight: PRIOR_SAMPLES, sum: PRIOR_SAMPLES * PRIOR_VARIANCE };

/** Endpoints of which nothing was seen. */
export const EMPTY_POOL: SpeedPool = {
    levels: { first: NO_VALUES, stretch: NO_VALUES },
    noise: { first: PRIOR_NOISE, stretch: PRIOR_NOISE },
    pace: undefined,
    pauses: NO_PAUSES,
    mean: 0,
    variance: 0,
    comparedAt: -Infinity,
};

const NO_DIFFERENCE: Slowness = { log: 0, deviation: 0 };

function addValue({ weight, sum }: DecayedMean, value: number): DecayedMean {
    return { weight: weight * DECAY + 1, sum: sum * DECAY + value };
}

function meanOf({ weight, sum }: DecayedMean): number {
    return weight > 0 ? sum / weight : 0;
}

/** Variance of a sample of an endpoint, on the logarithmic scale. */
export function noiseOf(pool: SpeedPool, kind: SpeedSample["kind"]): number {
    return Math.max(MIN_VARIANCE, meanOf(pool.noise[kind]));
}

/**
 * How slow an endpoint is against the mean of its kind, drawn towards it by as much as it is uncertain.
 *
 * @example
 * ```ts
 * Math.exp(slownessOf(pool, view.speed, now).log); // 1.67 where it takes two thirds longer
 * ```
 */
export function slownessOf({ mean, variance }: SpeedPool, speed: SpeedEvidence, now: number): Slowness {
    if (variance === 0) return NO_DIFFERENCE;
    const known = estimateOf(speed, now);
    if (known.weight === 0) return { log: 0, deviation: Math.sqrt(variance) };
    const share = known.weight * variance / (known.weight * variance + 1);
    return { log: share * (known.mean - mean), deviation: Math.sqrt(variance * (1 - share)) };
}

/**
 * The gap that is expected of an endpoint's streams, in milliseconds; undefined before any was seen.
 *
 * @param log The endpoint's slowness, as a natural logarithm.
 */
export function expectedGapMs({ pace }: SpeedPool, log: number, batch: number): number | undefined {
    if (!pace) return undefined;
    const { base, perStream } = paceLine(pace);
    return (base + perStream * batch) * Math.exp(log);
}

/**
 * The time that an endpoint is expected to take for unread tokens, in milliseconds; undefined before any was seen.
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

/** What a sample of an endpoint says; undefined where it says nothing. */
export function residualOf(
    pool: SpeedPool,
    speed: SpeedEvidence,
    batch: number,
    sample: SpeedSample,
    now: number,
): Residual | undefined {
    const observed = logTimeOf(pool, batch, sample);
    if (observed === undefined) return undefined;
    const known = estimateOf(speed, now);
    const noise = noiseOf(pool, sample.kind);
    const centre = known.weight > 0 ? known.mean : pool.mean;
    const uncertainty = known.weight > 0 ? 1 / known.weight : Math.max(noise, pool.variance);
    const bound = HUBER_DEVIATIONS * Math.sqrt(noise + uncertainty);
    const deviation = Math.min(bound, Math.max(-bound, observed - meanOf(pool.levels[sample.kind]) - centre));
    return { value: centre + deviation, deviation, weight: 1 / noise };
}

/** A sample's time on the logarithmic scale: per unread token, or against the line over the batch. */
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
 * The pool after a sample of an endpoint; the first one of a kind sets its level.
 *
 * @param speed What is known of the endpoint, before the sample.
 * @param batch Streams that run there.
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
    const adjusted = level + residual.value - slowness.log;
    return {
        ...pool,
        levels: { ...pool.levels, [kind]: addValue(pool.levels[kind], adjusted) },
        noise: { ...pool.noise, [kind]: observeNoise(pool, speed, kind, residual, now) },
        ...(sample.kind === "stretch" ? observeGap(pool, batch, sample, adjusted) : {}),
        pauses: observePausesOf(pool, estimateOf(speed, now), batch, sample),
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

/** A deviation from a mean of few samples is larger than that from the true mean. */
function observeNoise(
    pool: SpeedPool,
    speed: SpeedEvidence,
    kind: SpeedSample["kind"],
    { deviation }: Residual,
    now: number,
): DecayedMean {
    const { weight } = estimateOf(speed, now);
    const noise = pool.noise[kind];
    if (weight === 0) return noise;
    const samples = weight * noiseOf(pool, kind);
    return addValue(noise, deviation * deviation / CLIPPED_MEAN_SQUARE * samples / (samples + 1));
}

/** The line after a stretch. `plain` is its gap's logarithm against the line, as of the mean endpoint. */
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

/** The pauses after a sample of an endpoint whose own gap is well known; what else is seen has no measure. */
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
 * The pool after its endpoints' estimates were compared.
 *
 * @example
 * ```ts
 * comparePool(pool, views.map(view => estimateOf(view.speed, now))).variance; // 0 where they may well be alike
 * ```
 */
export function comparePool(pool: SpeedPool, estimates: readonly SpeedEstimate[]): SpeedPool {
    const known = estimates.filter(({ weight }) => weight > 0);
    const sum = known.reduce((total, { weight }) => total + weight, 0);
    if (known.length < 2) return { ...pool, variance: 0 };
    const mean = known.reduce((total, estimate) => total + estimate.weight * estimate.mean, 0) / sum;
    const squares = known.reduce((total, estimate) => total + estimate.weight * (estimate.mean - mean) ** 2, 0);
    const byChance = known.length - 1;
    const isSure = squares > byChance + SIGNIFICANT_DEVIATIONS * Math.sqrt(2 * byChance);
    if (!isSure) return { ...pool, mean, variance: 0 };
    const scale = sum - known.reduce((total, { weight }) => total + weight * weight, 0) / sum;
    const variance = (squares - byChance) / scale;
    return { ...pool, mean: meanOfUneven(known, variance), variance };
}

/** The mean of endpoints that differ: one that was seen often counts for little more than another. */
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
