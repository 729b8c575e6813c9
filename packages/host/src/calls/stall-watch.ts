/**
 * Watches a caller that does not take its answer.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { CallMemory } from "../runtime/call-memory.js";

/**
 * Back pressure from the caller: where it is too far behind, nothing is read for it, and after it has taken nothing for too long
 * it counts as gone.
 *
 * @param limitMs How long it may take nothing, in milliseconds.
 *
 * @example
 * ```ts
 * const stall = createStallWatch(out, memory, 30_000, () => run.event({ kind: "callerGone" }));
 * await stall.ready();
 * ```
 */
export function createStallWatch(
    out: ServerResponse,
    memory: CallMemory,
    limitMs: number,
    onStall: () => void,
): { ready: () => Promise<void> | undefined; end: () => void } {
    let timer: NodeJS.Timeout | undefined;
    const look = (): void => {
        timer = undefined;
        const leftMs = limitMs - memory.callerStuckMs;
        if (leftMs <= 0) onStall();
        else watch(leftMs);
    };
    const watch = (ms: number): void => {
        if (memory.held.unread > 0) timer ??= setTimeout(look, ms);
    };
    return {
        ready: () => {
            watch(limitMs);
            let resume = (): void => undefined;
            const reads = new Promise<void>(resolve => resume = resolve);
            const go = (): void => {
                out.off("close", go);
                resume();
            };
            if (memory.whenRoom(go)) return undefined;
            out.on("close", go);
            return reads;
        },
        end: () => clearTimeout(timer),
    };
}
