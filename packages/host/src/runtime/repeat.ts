/**
 * Work that is done again and again, with a pause that may change.
 *
 * @module
 */

/**
 * Does something at once and then after each pause, until the signal. A pause begins when the work is done.
 *
 * @example
 * ```ts
 * repeat(() => beat(), () => 500 * stretch(live.length), signal);
 * ```
 */
export function repeat(run: () => void | Promise<void>, delayMs: () => number, signal: AbortSignal): void {
    let timer: NodeJS.Timeout | undefined;
    const runOnce = async (): Promise<void> => {
        await run();
        if (!signal.aborted) timer = setTimeout(() => void runOnce(), delayMs());
    };
    signal.addEventListener("abort", () => clearTimeout(timer), { once: true });
    void runOnce();
}
