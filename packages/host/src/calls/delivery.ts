/**
 * Tells when an answer has left the host: its caller's connection has taken the last byte, or has ended.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/**
 * Calls back once the caller's connection has taken the last byte of an answer, or has ended; at once if that is so now.
 *
 * @example
 * ```ts
 * whenDelivered(res, () => openRequests.delete(delivering));
 * ```
 */
export function whenDelivered(out: ServerResponse, callback: () => void): void {
    if (out.writableFinished || out.destroyed) return callback();
    // An answer that waits behind another one has no connection yet, and emits nothing if the connection ends meanwhile.
    const { socket } = out.req;
    const settle = (): void => {
        out.off("finish", settle);
        out.off("close", settle);
        socket.off("close", settle);
        callback();
    };
    out.once("finish", settle);
    out.once("close", settle);
    if (!out.socket) socket.once("close", settle);
}
