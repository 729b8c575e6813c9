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
export function someOf(names: readonly string[], most: number, random: () => number = Math.random): readonly string[] {
    const drawn = [...names];
    for (let at = 0; at < Math.min(most, drawn.length); at++) {
        const other = at + Math.floor(random() * (drawn.length - at));
        [drawn[at], drawn[other]] = [drawn[other]!, drawn[at]!];
    }
    return drawn.slice(0, most);
}
