/**
 * Delays attempts until what they depend on is known, such as whether their endpoint has restarted.
 *
 * @module
 */
import type { AttemptPlan, AttemptRunner } from "./request-driver.js";

/**
 * Wraps a runner so that an attempt starts once a doubt is settled, unless the attempt was given up by then.
 *
 * @param settle Returns a promise that resolves when it is settled; undefined if there is no doubt.
 *
 * @example
 * ```ts
 * const runner = settledRunner(plainRunner, ({ endpoint }) => suspicions.settleBeforeCall(endpoint));
 * ```
 */
export function settledRunner<T>(
    runner: AttemptRunner<T>,
    settle: (plan: AttemptPlan) => Promise<void> | undefined,
): AttemptRunner<T> {
    return {
        ...runner,
        start: (plan, sink, signal) => {
            const settled = settle(plan);
            if (!settled) return runner.start(plan, sink, signal);
            void settled.then(() => {
                if (!signal.aborted) runner.start(plan, sink, signal);
            });
        },
    };
}
