/**
 * How a call is given up for what it holds, before and after it has ended.
 *
 * @module
 */
import { FailCode, type NotRunError } from "@drumpaddle/request";
import type { ServerResponse } from "node:http";
import type { CallMemory, GivenUp, SlowReader } from "../runtime/call-memory.js";
import type { CallerQueue } from "./caller-queue.js";
import { breakAnswer } from "./forward-reply.js";
import type { OpenRun, OpenRuns } from "./host.js";

/** Readers that hold a host's memory are slow by seconds: who comes back sooner meets them again. */
export const MEMORY_RETRY_MS = 1_000;

/** What is left of a call that has ended while its caller still reads: nothing of it waits for anything here. */
const DELIVERING = { event: () => undefined, woke: () => undefined } as const satisfies OpenRun;

/** Keeps a call open until its caller has taken all of its answer, so that a stop cuts none. */
export function deliver(runs: OpenRuns, out: ServerResponse, memory: CallMemory, queue: CallerQueue): void {
    const delivering: OpenRun = { ...DELIVERING };
    memory.onGiveUp = () => {
        queue.drop();
        breakAnswer(out);
    };
    runs.add(delivering);
    queue.whenFlushed(() => runs.delete(delivering));
}

/** A call that was given up, as its request's decisions hear of it. */
export function errorOf({ unreadBy, detail }: GivenUp): Pick<NotRunError, "code" | "detail" | "retryAfterMs"> {
    const code = unreadBy === undefined ? FailCode.MemoryFull : UNREAD_CODE[unreadBy];
    return { code, detail, retryAfterMs: MEMORY_RETRY_MS };
}

const UNREAD_CODE = {
    caller: FailCode.CallerUnread,
    endpoint: FailCode.EndpointUnread,
} as const satisfies Record<SlowReader, FailCode>;
