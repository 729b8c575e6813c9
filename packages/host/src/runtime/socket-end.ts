/**
 * Tells how a socket ended, and resets sockets that are given up.
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

/**
 * Makes `destroy` reset a connection. After an orderly close the system still delivers what was written, however long a cut link
 * holds it up: a call that was given up would arrive and run. A reset discards it, and also what the other side has yet to read, so
 * this is for connections on which nothing is wanted any more once they are destroyed.
 *
 * @example
 * ```ts
 * resetWhenDestroyed(socket);
 * socket.destroy(); // ECONNRESET at the other side
 * ```
 */
export function resetWhenDestroyed(socket: Socket): void {
    socket.destroy = function(this: Socket, err?: Error) {
        Reflect.deleteProperty(this, "destroy");
        // A connection whose own end is on its way cannot be reset; then all bytes have been handed over before.
        const isEnding = this.writableEnded && !this.writableFinished;
        if (this.destroyed || isEnding) return this.destroy(err);
        // `resetAndDestroy` takes no error, and calls `destroy`.
        this.destroy = () => {
            Reflect.deleteProperty(this, "destroy");
            return this.destroy(err);
        };
        return this.resetAndDestroy();
    };
}
