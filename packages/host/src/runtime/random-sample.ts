/**
 * A few of many, drawn at random: whom a host tells its news.
 *
 * @module
 */

/**
 * Some of these names, each as likely as the others.
 *
 * @param random Uniform in [0, 1).
 *
 * @example
 * ```ts
 * someOf(["a", "b", "c"], 2).length; // 2
 * ```
 */
export function someOf(names: readonly string[], count: number, random: () => number = Math.random): readonly string[] {
    const shuffled = [...names];
    for (let at = 0; at < Math.min(count, shuffled.length); at++) {
        const other = at + Math.floor(random() * (shuffled.length - at));
        [shuffled[at], shuffled[other]] = [shuffled[other]!, shuffled[at]!];
    }
    return shuffled.slice(0, count);
}
