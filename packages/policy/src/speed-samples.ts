/**
 * What an endpoint's streams showed of its speed: samples, and the sums of them that hosts tell owners.
 *
 * @module
 */

/** The time that a request's first token took. */
export interface FirstTokenSample {
    readonly kind: "first";
    /** Prompt tokens that were unread when it was sent, its own included. */
    readonly unread: number;
    readonly ms: number;
}

/** A stretch of a stream between two reports of its progress. Times are milliseconds. */
export interface StretchSample {
    readonly kind: "stretch";
    /** Pauses in it, one for each piece. */
    readonly pieces: number;
    readonly meanGapMs: number;
    readonly longestMs: number;
}

/** One sample of an endpoint's speed. */
export type SpeedSample = FirstTokenSample | StretchSample;

/** Sums of samples: they only grow, so that what is new is a difference. Times are milliseconds. */
export interface Shown {
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

/** No sample. */
export const NOTHING_SHOWN: Shown = {
    firsts: 0,
    unread: 0,
    firstMs: 0,
    stretches: 0,
    pieces: 0,
    gapMs: 0,
    longestMs: 0,
};

/** The sums with one more sample. */
export function addSpeedSample(shown: Shown, sample: SpeedSample): Shown {
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
 * What was added since some sums were told; undefined where nothing was. Sums that are smaller than what was told are of an
 * endpoint that was declared anew.
 *
 * @example
 * ```ts
 * shownSince(addShown(told, sample), told)?.firsts; // 1
 * ```
 */
export function shownSince(shown: Shown, told: Shown): Shown | undefined {
    const wasReset = shown.firsts < told.firsts || shown.stretches < told.stretches;
    const base = wasReset ? NOTHING_SHOWN : told;
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

/** Streams report their progress at least after so many pieces. */
const MAX_PIECES = 64;

/** Told sums as samples: one of each kind at most, and of no more pieces than there can be, whatever a host claims to have seen. */
export function samplesFromSums(
    { firsts, unread, firstMs, stretches, pieces, gapMs, longestMs }: Shown,
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
