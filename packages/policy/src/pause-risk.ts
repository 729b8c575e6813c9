/**
 * Chance that a stream pauses for longer than its target. A table counts, over stretches of streams (the pieces between
 * two progress reports), how many times the expected gap the longest pause was.
 *
 * @module
 */

/**
 * Width of a bucket as a natural logarithm. A sample counts only if the endpoint's expected gap is known at least this
 * precisely.
 */
export const BUCKET_LOG = Math.LN2 / 4;
/**
 * Buckets for each doubling of the ratio of the longest pause to the expected gap, and the number of doublings: ratios
 * from 1 to 64.
 */
const BUCKETS_PER_DOUBLING = 4;
const DOUBLINGS = 6;
const BUCKETS = BUCKETS_PER_DOUBLING * DOUBLINGS + 1;
/** After 500 more stretches a sample still weighs a third. */
const DECAY = 0.998;

/** Decayed counts of stretches by the ratio of their longest pause to the expected gap. */
export interface PauseTable {
    /** Decayed count of pieces over all stretches. */
    readonly pieces: number;
    /** Stretches whose longest pause was at least `2 ** (at / BUCKETS_PER_DOUBLING)` times the expected gap. */
    readonly reached: Float64Array;
}

/** A table without samples: no pause is expected. */
export const NO_PAUSES: PauseTable = { pieces: 0, reached: new Float64Array(BUCKETS) };

/**
 * Adds one stretch of a stream to the table.
 *
 * @param ratio Its longest pause as a multiple of the expected gap.
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
 * Chance that at least one pause of a stream exceeds `ratio` times its expected gap.
 *
 * @example
 * ```ts
 * pauseChance(table, 180 / 70, 190);
 * ```
 */
export function pauseChance({ pieces, reached }: PauseTable, ratio: number, piecesAhead: number): number {
    if (pieces <= 0 || piecesAhead <= 0) return 0;
    // Only the longest pause of a stretch counts: pauses come in groups while an endpoint is slow.
    return -Math.expm1(-reachedAt(reached, ratio) / pieces * piecesAhead);
}

/**
 * Number of stretches whose longest pause was at least `ratio` times the expected gap, interpolated between buckets.
 */
function reachedAt(reached: Float64Array, ratio: number): number {
    const place = BUCKETS_PER_DOUBLING * Math.log2(Math.max(1, ratio));
    const low = Math.floor(place);
    if (low >= BUCKETS) return 0;
    const above = reached[low + 1] ?? 0;
    return reached[low]! + (place - low) * (above - reached[low]!);
}
