/**
 * Compact encoding of what hosts tell each other of endpoints' speeds: lists of integers instead of records.
 *
 * @module
 */
import type { OwnerSpeed, SpeedSums } from "@drumpaddle/policy";

/** Sums of speed samples, in the order of {@link encodeSamples}. Times are in tenths of a millisecond. */
export type EncodedSamples = readonly number[];
/** An endpoint's slowness in thousandths, the weight of the estimate, and its age in milliseconds. */
export type EncodedSpeed = readonly [value: number, weight: number, ageMs: number];

/** Number of integers in {@link EncodedSamples}. */
export const ENCODED_SAMPLES_LENGTH = 7;
/** Gaps between pieces are a few milliseconds long, so they are sent in tenths. */
const UNITS_PER_MS = 10;
/** A slowness is sent in thousandths, which is far below the uncertainty of any estimate. */
const UNITS_PER_SLOWNESS = 1_000;

/** Encodes sums of speed samples. */
export function encodeSamples(
    { firsts, unread, firstMs, stretches, pieces, gapMs, longestMs }: SpeedSums,
): EncodedSamples {
    const times = [firstMs, gapMs, longestMs].map(ms => Math.round(ms * UNITS_PER_MS));
    return [firsts, Math.round(unread), stretches, Math.round(pieces), ...times];
}

/** Decodes sums of speed samples. */
export function decodeSamples(encoded: EncodedSamples): SpeedSums {
    const [firsts = 0, unread = 0, stretches = 0, pieces = 0, ...times] = encoded;
    const [firstMs = 0, gapMs = 0, longestMs = 0] = times.map(units => units / UNITS_PER_MS);
    return { firsts, unread, firstMs, stretches, pieces, gapMs, longestMs };
}

/**
 * Encodes an estimate of an endpoint's slowness.
 *
 * @example
 * ```ts
 * encodeSpeed({ value: 0.4704, weight: 61.3, ageMs: 20.5 }); // [470, 61, 21]
 * ```
 */
export function encodeSpeed({ value, weight, ageMs }: OwnerSpeed): EncodedSpeed {
    return [Math.round(value * UNITS_PER_SLOWNESS), Math.round(weight), Math.round(ageMs)];
}

/** Decodes an estimate of an endpoint's slowness. */
export function decodeSpeed([value, weight, ageMs]: EncodedSpeed): OwnerSpeed {
    return { value: value / UNITS_PER_SLOWNESS, weight, ageMs };
}
