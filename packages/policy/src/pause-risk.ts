/**
 * How likely a stream pauses beyond its target: a table of how often the longest pause of a stretch of pieces was how many
 * times as long as the gap that was expected there.
 *
 * @module
 */

/** Width of a bucket, as a natural logarithm: an expected gap must be known as well as that. */
export const BUCKET_LOG = Math.LN2 / 4;
/** Buckets a doubling of the ratio of a pause to the expected gap, and doublings in all: from 1 to 64 times. */
const BUCKETS_PER_DOUBLING = 4;
const DOUBLINGS = 6;
const BUCKETS = BUCKETS_PER_DOUBLING * DOUBLINGS + 1;
/** Of 500 stretches back, a sample still weighs a third. */
const DECAY = 0.998;

/** Decayed counts of stretches by the ratio of their longest pause to the expected gap. */
export interface PauseTable {
    /** Pieces in all stretches. */
    readonly pieces: number;
    /** Stretches whose longest pause was at least `2 ** (at / BUCKETS_PER_DOUBLING)` times the expected gap. */
    readonly reached: Float64Array;
}

/** Nothing seen: no pause is expected. */
export const NO_PAUSES: PauseTable = { pieces: 0, reached: new Float64Array(BUCKETS) };

/**
 * The table after a stretch of a stream.
 *
 * @param ratio Its longest pause as a multiple of the gap that was expected.
 *
 * @example
 * ```ts
 * observePauses(NO_PAUSES, 16, 3.7).pieces; // 16
 * ```
 */
export function observePauses(table: PauseTable, pieces: number, ratio: number): PauseTable {
    if (!(pieces > 0) || !(ratio > 0)) return table;
    const last = Math.floor(BUCKETS_PER_DOUBLING * Math.log2(ratio));
    return {
        pieces: table.pieces * DECAY + pieces,
        reached: table.reached.map((count, at) => count * DECAY + (at <= last ? 1 : 0)),
    };
}

/**
 * The chance that a stream of so many pieces pauses once for longer than `ratio` times its expected gap.
 *
 * @example
 * ```ts
 * pauseChance(table, 180 / 70, 190);
 * ```
 */
export function pauseChance({ pieces, reached }: PauseTable, ratio: number, piecesAhead: number): number {
    if (pieces <= 0 || piecesAhead <= 0) return 0;
    // One pause of a stretch is counted, the longest: pauses come in groups, when an endpoint is slow for a while.
    return -Math.expm1(-reachedAt(reached, ratio) / pieces * piecesAhead);
}

/** Stretches whose longest pause was at least so many times the expected gap. */
function reachedAt(reached: Float64Array, ratio: number): number {
    const place = BUCKETS_PER_DOUBLING * Math.log2(Math.max(1, ratio));
    const low = Math.floor(place);
    if (low >= BUCKETS) return 0;
    const above = reached[low + 1] ?? 0;
    return reached[low]! + (place - low) * (above - reached[low]!);
}
