/**
 * Seeded random number generation.
 *
 * @module
 */
import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

export { type RandomGenerator, xoroshiro128plus };

const BITS = 0x3fff_ffff;

/**
 * Draws a number from 0 (inclusive) to 1 (exclusive). Advances the generator.
 *
 * @example
 * ```ts
 * uniformFloat64(xoroshiro128plus(42));
 * ```
 */
export function uniformFloat64(random: RandomGenerator): number {
    return unsafeUniformIntDistribution(0, BITS, random) / (BITS + 1);
}
