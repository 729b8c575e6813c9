/**
 * Watches for callers that do not read their answer.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { CallMemory } from "../runtime/call-memory.js";

/**
 * Applies backpressure from a caller: the engine's stream is paused while the caller is too far behind, and a caller
 * that has read nothing for too long counts as gone.
 *
 * @param limitMs How long the caller may read nothing, in milliseconds.
 *
 * @example
 * ```ts
 * const stall = createStallWatch(out, memory, 30_000, () => driver.handle({ kind: "callerGone" }));
 * await stall.whenCallerReads();
 * ```
 */
export function createStallWatch(
    out: ServerResponse,
    memory: CallMemory,
    limitMs: number,
    onStall: () => void,
): { whenCallerReads: () => Promise<void> | undefined; end: () => void } {
    let timer: NodeJS.Timeout | undefined;
    const checkProgress = (): void => {
        timer = undefined;
        const leftMs = limitMs - memory.callerStuckMs;
        if (leftMs <= 0) onStall();
        else watch(leftMs);
    };
    const watch = (ms: number): void => {
        if (memory.held.unread > 0) timer ??= setTimeout(checkProgress, ms);
    };
    return {
        whenCallerReads: () => {
            watch(limitMs);
            let resume = (): void => undefined;
            const readable = new Promise<void>(resolve => resume = resolve);
            const proceed = (): void => {
                out.off("close", proceed);
                resume();
            };
            if (memory.whenReadable(proceed)) return undefined;
            out.on("close", proceed);
            return readable;
        },
        end: () => clearTimeout(timer),
    };
}
