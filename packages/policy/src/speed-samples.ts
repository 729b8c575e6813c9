/**
 * Samples of an endpoint's speed, taken from its streams, and the sums of samples that hosts send to the endpoint's
 * owner.
 *
 * @module
 */

/** Time to a request's first token. */
export interface FirstTokenSample {
    readonly kind: "first";
    /** Prompt tokens that the endpoint still had to prefill when the request was sent, its own included. */
    readonly unread: number;
    readonly ms: number;
}

/** A stretch of a stream: the pieces between two progress reports. Times are milliseconds. */
export interface StretchSample {
    readonly kind: "stretch";
    /** Number of pieces, and so of gaps. */
    readonly pieces: number;
    readonly meanGapMs: number;
    readonly longestMs: number;
}

/** One sample of an endpoint's speed. */
export type SpeedSample = FirstTokenSample | StretchSample;

/** Sums of samples. They only grow, so what is new since the last message is a difference. Times are milliseconds. */
export interface SpeedSums {
    readonly firsts: number;
    readonly unread: number;
    readonly firstMs: number;
    readonly stretches: number;
    readonly pieces: number;
    /** Sum of the stretches' mean gaps. */
    readonly gapMs: number;
    /** Sum of the stretches' longest gaps. */
    readonly longestMs: number;
}

/** Sums without samples. */
export const NO_SPEED_SUMS: SpeedSums = {
    firsts: 0,
    unread: 0,
    firstMs: 0,
    stretches: 0,
    pieces: 0,
    gapMs: 0,
    longestMs: 0,
};

/** Adds one sample. */
export function addSpeedSample(shown: SpeedSums, sample: SpeedSample): SpeedSums {
    if (sample.kind === "first") {
        return {
            ...shown,
            firsts: shown.firsts + 1,
            unread: shown.unread + sample.unread,
            firstMs: shown.firstMs + sample.ms,
        };
    }
    return {
        ...shown,
        stretches: shown.stretches + 1,
        pieces: shown.pieces + sample.pieces,
        gapMs: shown.gapMs + sample.meanGapMs,
        longestMs: shown.longestMs + sample.longestMs,
    };
}

/**
 * Samples added since the sums that were last sent; undefined if there are none. Sums smaller than those last sent
 * belong to an endpoint that was declared anew.
 *
 * @example
 * ```ts
 * speedSumsSince(addSpeedSample(told, sample), told)?.firsts; // 1
 * ```
 */
export function speedSumsSince(shown: SpeedSums, told: SpeedSums): SpeedSums | undefined {
    const wasReset = shown.firsts < told.firsts || shown.stretches < told.stretches;
    const base = wasReset ? NO_SPEED_SUMS : told;
    if (shown.firsts === base.firsts && shown.stretches === base.stretches) return undefined;
    return {
        firsts: shown.firsts - base.firsts,
        unread: shown.unread - base.unread,
        firstMs: shown.firstMs - base.firstMs,
        stretches: shown.stretches - base.stretches,
        pieces: shown.pieces - base.pieces,
        gapMs: shown.gapMs - base.gapMs,
        longestMs: shown.longestMs - base.longestMs,
    };
}

/** Streams report their progress at least once in so many pieces. */
const MAX_PIECES = 64;

/**
 * Turns received sums into at most one sample of each kind. The number of pieces is bounded by what is possible, as a
 * host may send a wrong number.
 */
export function samplesFromSums(
    { firsts, unread, firstMs, stretches, pieces, gapMs, longestMs }: SpeedSums,
): readonly SpeedSample[] {
    const samples: SpeedSample[] = [];
    if (firsts > 0) samples.push({ kind: "first", unread: unread / firsts, ms: firstMs / firsts });
    if (stretches > 0) {
        samples.push({
            kind: "stretch",
            pieces: Math.min(MAX_PIECES, pieces / stretches),
            meanGapMs: gapMs / stretches,
            longestMs: longestMs / stretches,
        });
    }
    return samples;
}
