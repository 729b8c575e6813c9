/**
 * Projected memory of an endpoint's running streams, as a curve over the tokens to come.
 *
 * At each point of the horizon a stream that is still running holds its prompt and the tokens that it has produced by
 * then. A sum over streams has a mean and a variance; the peak is taken at a quantile by the normal approximation.
 *
 * @module
 */
import { chanceToReach, type Survival } from "./length-estimate.js";

/** Points of the horizon, in tokens from now. The streams of one endpoint advance together, one token per step. */
export const HORIZON_TOKENS: readonly number[] = [0, 32, 96, 224, 480, 992, 2_016, 4_064, 8_160];

/** Mean and variance of the tokens held at each point of {@link HORIZON_TOKENS}. */
export interface MemoryCurve {
    readonly mean: Float64Array;
    readonly variance: Float64Array;
}

/** A curve without any memory. */
export function zeroCurve(): MemoryCurve {
    return { mean: new Float64Array(HORIZON_TOKENS.length), variance: new Float64Array(HORIZON_TOKENS.length) };
}

/**
 * Projects the memory of one stream.
 *
 * @param held Tokens that it holds now: prompt and produced output.
 * @param produced Output tokens so far.
 *
 * @example
 * ```ts
 * streamCurve(lengths, 1200, 40).mean[0]; // 1200
 * ```
 */
export function streamCurve(survival: Survival, held: number, produced: number): MemoryCurve {
    const curve = zeroCurve();
    for (const [at, ahead] of HORIZON_TOKENS.entries()) {
        const alive = chanceToReach(survival, produced, produced + ahead);
        const size = held + ahead;
        curve.mean[at] = alive * size;
        curve.variance[at] = alive * (1 - alive) * size * size;
    }
    return curve;
}

/**
 * Adds the second curve, weighted, to the first; a weight of `-1` subtracts it.
 *
 * @example
 * ```ts
 * addCurve(total, streamCurve(lengths, 100, 0), 1);
 * ```
 */
export function addCurve(a: MemoryCurve, b: MemoryCurve, weight: number): MemoryCurve {
    const sum = zeroCurve();
    for (let at = 0; at < HORIZON_TOKENS.length; at++) {
        sum.mean[at] = a.mean[at]! + weight * b.mean[at]!;
        sum.variance[at] = Math.max(0, a.variance[at]! + weight * b.variance[at]!);
    }
    return sum;
}

/**
 * Peak of several curves together over the horizon, `z` standard deviations above the mean.
 *
 * @example
 * ```ts
 * peakMemory([running, candidate], 1.28) <= memoryTokens;
 * ```
 */
export function peakMemory(curves: readonly MemoryCurve[], z: number): number {
    let peak = 0;
    for (let at = 0; at < HORIZON_TOKENS.length; at++) {
        let mean = 0;
        let variance = 0;
        for (const curve of curves) {
            mean += curve.mean[at]!;
            variance += curve.variance[at]!;
        }
        const size = mean + z * Math.sqrt(variance);
        if (size > peak) peak = size;
    }
    return peak;
}
