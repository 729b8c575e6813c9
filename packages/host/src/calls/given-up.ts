/**
 * Ends calls to free the memory that they hold, before and after their request has ended.
 *
 * @module
 */
import { FailCode, type NotRunError } from "@drumpaddle/request";
import type { ServerResponse } from "node:http";
import type { CallMemory, GiveUpReason, SlowReader } from "../runtime/call-memory.js";
import type { CallerQueue } from "./caller-queue.js";
import { whenDelivered } from "./delivery.js";
import { breakAnswer } from "./forward-reply.js";
import type { OpenRequest, OpenRequests } from "./host.js";

/** Slow readers hold a host's memory for seconds: a caller that retries sooner would be refused again. */
export const MEMORY_RETRY_MS = 1_000;

/** A call whose request has ended while its caller still reads has no timers or events to handle. */
const NO_HANDLERS = { handle: () => undefined, onWake: () => undefined } as const satisfies OpenRequest;

/**
 * Counts a call as open until its caller's connection has taken the whole answer, so that a shutdown does not cut it.
 *
 * @example
 * ```ts
 * trackDelivery(openRequests, res, memory, queue);
 * openRequests.delete(driver);
 * ```
 */
export function trackDelivery(
    openRequests: OpenRequests,
    out: ServerResponse,
    memory: CallMemory,
    queue: CallerQueue,
): void {
    const delivering: OpenRequest = { ...NO_HANDLERS };
    memory.onGiveUp = () => {
        queue.discard();
        breakAnswer(out);
    };
    openRequests.add(delivering);
    whenDelivered(out, () => openRequests.delete(delivering));
}

/** Returns the error of a call that the host ended for its memory. */
export function giveUpError({ unreadBy, detail }: GiveUpReason): Pick<NotRunError, "code" | "detail" | "retryAfterMs"> {
    const code = unreadBy === undefined ? FailCode.MemoryFull : CODE_OF_SLOW_READER[unreadBy];
    return { code, detail, retryAfterMs: MEMORY_RETRY_MS };
}

const CODE_OF_SLOW_READER = {
    caller: FailCode.CallerUnread,
    endpoint: FailCode.EndpointUnread,
} as const satisfies Record<SlowReader, FailCode>;
