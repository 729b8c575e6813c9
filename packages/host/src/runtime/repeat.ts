/**
 * Periodic work with a delay that may change.
 *
 * @module
 */

/**
 * Runs a task at once and then after each delay, until the signal. A delay begins when the task has finished.
 *
 * @example
 * ```ts
 * repeat(() => sendHeartbeats(), () => 500 * live.length, signal);
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
