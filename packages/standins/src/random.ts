/**
 * Seeded random numbers.
 *
 * @module
 */
import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

export { type RandomGenerator, xoroshiro128plus };

const BITS = 0x3fff_ffff;

/**
 * A number from 0 up to, but not with, 1. Advances the generator.
 *
 * @example
 * ```ts
 * uniformFloat64(xoroshiro128plus(42));
 * ```
 */
export function uniformFloat64(random: RandomGenerator): number {
    return unsafeUniformIntDistribution(0, BITS, random) / (BITS + 1);
}
