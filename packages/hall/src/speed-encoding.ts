/**
 * What hosts tell of endpoints' speeds, packed small: lists of whole numbers in place of records.
 *
 * @module
 */
import type { Shown, ToldSpeed } from "@drumpaddle/policy";

/** Sums of samples in the order of {@link shownOf}; times in units of {@link UNITS_PER_MS}. */
export type ShownWords = readonly number[];
/** An endpoint's slowness in thousandths, its weight and its age in milliseconds. */
export type SpeedWords = readonly [value: number, weight: number, ageMs: number];

/** How many numbers {@link ShownWords} are. */
export const SHOWN_WORDS = 7;
/** Gaps of a few milliseconds are told to a tenth. */
const UNITS_PER_MS = 10;
/** A thousandth of a slowness is far below what is ever certain. */
const UNITS_OF_SLOWNESS = 1_000;

/** Sums of samples as they are sent. */
export function shownWords({ firsts, unread, firstMs, stretches, pieces, gapMs, longestMs }: Shown): ShownWords {
    const times = [firstMs, gapMs, longestMs].map(ms => Math.round(ms * UNITS_PER_MS));
    return [firsts, Math.round(unread), stretches, Math.round(pieces), ...times];
}

/** Sums of samples that were sent. */
export function shownOf(words: ShownWords): Shown {
    const [firsts = 0, unread = 0, stretches = 0, pieces = 0, ...times] = words;
    const [firstMs = 0, gapMs = 0, longestMs = 0] = times.map(units => units / UNITS_PER_MS);
    return { firsts, unread, firstMs, stretches, pieces, gapMs, longestMs };
}

/**
 * A slowness as it is sent.
 *
 * @example
 * ```ts
 * speedWords({ value: 0.4704, weight: 61.3, ageMs: 20.5 }); // [470, 61, 21]
 * ```
 */
export function speedWords({ value, weight, ageMs }: ToldSpeed): SpeedWords {
    return [Math.round(value * UNITS_OF_SLOWNESS), Math.round(weight), Math.round(ageMs)];
}

/** A slowness that was sent. */
export function speedOf([value, weight, ageMs]: SpeedWords): ToldSpeed {
    return { value: value / UNITS_OF_SLOWNESS, weight, ageMs };
}
