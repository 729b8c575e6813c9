/**
 * Model of an endpoint's decode pace: the time between tokens as a linear function of the batch size, with a margin for
 * the tail, fitted per endpoint from its own streams.
 *
 * @module
 */

/** Decayed sums of a least-squares line, and a margin above it that follows a quantile. Times are milliseconds. */
export interface PaceFit {
    readonly weight: number;
    readonly sumBatch: number;
    readonly sumGap: number;
    readonly sumBatchSquared: number;
    readonly sumBatchGap: number;
    /** How far the largest gaps lie above the line; follows their {@link TAIL_SHARE} quantile. */
    readonly margin: number;
}

/** The fitted line: `base + perStream * batch`. */
export interface PaceLine {
    readonly base: number;
    readonly perStream: number;
}

const DECAY = 0.998;
/** Quantile of the largest gaps that the margin follows. */
export const TAIL_SHARE = 0.95;
const MARGIN_STEP_MS = 0.4;
const START_MARGIN_MS = 8;
/** Prior line, with the weight of {@link PRIOR_WEIGHT} samples at each of two batch sizes. */
const PRIOR: PaceLine = { base: 10, perStream: 0.3 };
const PRIOR_WEIGHT = 2;
const PRIOR_BATCHES = [1, 64] as const;

/** Returns the prior fit, before any sample. */
export function createPace(): PaceFit {
    let fit: PaceFit = {
        weight: 0,
        sumBatch: 0,
        sumGap: 0,
        sumBatchSquared: 0,
        sumBatchGap: 0,
        margin: START_MARGIN_MS,
    };
    for (const batch of PRIOR_BATCHES) {
        fit = addSample(fit, batch, PRIOR.base + PRIOR.perStream * batch, PRIOR_WEIGHT, 1);
    }
    return fit;
}

/** Returns a fit of one sample without the prior. */
export function paceOfSample(batch: number, gap: number): PaceFit {
    const nothing = { weight: 0, sumBatch: 0, sumGap: 0, sumBatchSquared: 0, sumBatchGap: 0, margin: START_MARGIN_MS };
    return addSample(nothing, batch, gap, 1, 1);
}

function addSample(fit: PaceFit, batch: number, gap: number, weight: number, decay: number): PaceFit {
    return {
        weight: fit.weight * decay + weight,
        sumBatch: fit.sumBatch * decay + weight * batch,
        sumGap: fit.sumGap * decay + weight * gap,
        sumBatchSquared: fit.sumBatchSquared * decay + weight * batch * batch,
        sumBatchGap: fit.sumBatchGap * decay + weight * batch * gap,
        margin: fit.margin,
    };
}

/**
 * Adds a stretch of a stream, the pieces between two progress reports: its mean and largest gap while about `batch`
 * streams ran.
 *
 * @example
 * ```ts
 * const fit = observePace(createPace(), 20, 16.5, 24);
 * ```
 */
export function observePace(fit: PaceFit, batch: number, meanGap: number, maxGap: number): PaceFit {
    const next = addSample(fit, batch, meanGap, 1, DECAY);
    const { base, perStream } = paceLine(next);
    const above = maxGap - (base + perStream * batch) > fit.margin;
    // Stochastic approximation of a quantile (Robbins and Monro 1951): the steps balance at TAIL_SHARE.
    const margin = fit.margin + MARGIN_STEP_MS * (above ? TAIL_SHARE : TAIL_SHARE - 1);
    return { ...next, margin: Math.max(0, margin) };
}

/** Returns the fitted line; neither coefficient is negative. */
export function paceLine(fit: PaceFit): PaceLine {
    const meanBatch = fit.sumBatch / fit.weight;
    const meanGap = fit.sumGap / fit.weight;
    const batchVariance = fit.sumBatchSquared / fit.weight - meanBatch * meanBatch;
    const covariance = fit.sumBatchGap / fit.weight - meanBatch * meanGap;
    const perStream = batchVariance > 1 ? Math.max(0, covariance / batchVariance) : PRIOR.perStream;
    return { base: Math.max(0, meanGap - perStream * meanBatch), perStream };
}

/**
 * Largest batch size whose time between tokens, including the margin, stays within a target; at least 1.
 *
 * @example
 * ```ts
 * batchWithin(fit, 44);
 * ```
 */
export function batchWithin(fit: PaceFit, targetMs: number): number {
    const { base, perStream } = paceLine(fit);
    const room = targetMs - fit.margin - base;
    if (room <= 0) return 1;
    return perStream === 0 ? Number.MAX_SAFE_INTEGER : Math.max(1, Math.floor(room / perStream));
}
