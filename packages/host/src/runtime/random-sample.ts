/**
 * Random samples, by which a host chooses the peers that it sends its news to.
 *
 * @module
 */

/**
 * Draws up to `count` of the names without replacement, each with the same probability.
 *
 * @param random Uniform in [0, 1).
 *
 * @example
 * ```ts
 * randomSample(["a", "b", "c"], 2).length; // 2
 * ```
 */
export function randomSample(
    names: readonly string[],
    count: number,
    random: () => number = Math.random,
): readonly string[] {
    const shuffled = [...names];
    for (let at = 0; at < Math.min(count, shuffled.length); at++) {
        const other = at + Math.floor(random() * (shuffled.length - at));
        [shuffled[at], shuffled[other]] = [shuffled[other]!, shuffled[at]!];
    }
    return shuffled.slice(0, count);
}
