/**
 * Tells how a socket ended.
 *
 * @module
 */
import type { Socket } from "node:net";

/**
 * Whether a socket that ended was reset. If a reset follows directly on data, Node emits `end` and no error; but the operating
 * system no longer knows the peer address of a connection that was reset.
 *
 * @example
 * ```ts
 * socket.on("end", () => wasReset(socket) ? fail() : finish());
 * ```
 */
export function wasReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}
