/**
 * Measures how late this process's timers fire. A host whose event loop is held up, by its own work or because it gets no processor
 * time, reads answers late and takes that time for theirs.
 *
 * @module
 */
import type { Clock } from "@drumpaddle/protocol";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";

/** Dependencies of {@link watchLoopDelay}. */
export interface LoopDelayDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Pick<Metrics, "loopDelay">;
    readonly signal: AbortSignal;
}

const INTERVAL_MS = 50;
/** Shorter delays do not make a call late. */
const MIN_LOGGED_MS = 100;
const LOG_INTERVAL_MS = 1_000;

/**
 * Records the delay of a regular timer in the metrics, and logs long delays: one line per second with the longest and the sum.
 * A suspension of the host is no delay.
 *
 * @example
 * ```ts
 * watchLoopDelay({ clock, log, metrics, signal });
 * ```
 */
export function watchLoopDelay({ clock, log, metrics, signal }: LoopDelayDeps): void {
    let dueAt = clock.awakeMs() + INTERVAL_MS;
    let loggedAt = clock.awakeMs();
    let longestMs = 0;
    let totalMs = 0;
    const timer = setInterval(() => {
        const now = clock.awakeMs();
        const delayMs = Math.max(0, now - dueAt);
        dueAt = now + INTERVAL_MS;
        metrics.loopDelay.record(delayMs);
        longestMs = Math.max(longestMs, delayMs);
        totalMs += delayMs;
        if (now - loggedAt < LOG_INTERVAL_MS) return;
        if (longestMs >= MIN_LOGGED_MS) {
            const fields = { longest_ms: longestMs, total_ms: totalMs, within_ms: now - loggedAt };
            log.info(roundAll(fields), "event_loop_delayed");
        }
        loggedAt = now;
        longestMs = 0;
        totalMs = 0;
    }, INTERVAL_MS);
    signal.addEventListener("abort", () => clearInterval(timer), { once: true });
}

function roundAll(fields: Readonly<Record<string, number>>): Readonly<Record<string, number>> {
    return Object.fromEntries(Object.entries(fields).map(([name, ms]) => [name, Math.round(ms)]));
}
