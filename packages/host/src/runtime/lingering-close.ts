/**
 * Closes the connections of an HTTP server without a reset. The system resets a connection that is closed while bytes of the other
 * side are unread, or that gets more of them later, and a reset discards what the other side has yet to read. So the host ends its
 * own side first, then reads and discards until the other side has ended too (RFC 9112, section 9.6).
 *
 * @module
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { Server as TlsServer } from "node:tls";

/** The connections of one server. */
export class LingeringClose {
    private readonly open = new Set<Socket>();
    /** Those that this host has ended, with the timers that bound how long it still reads from them. */
    private readonly lingering = new Map<Socket, NodeJS.Timeout>();

    private constructor(private readonly maxMs: number) {}

    /**
     * Takes over how a server closes connections: after an answer that ends its connection, and after the idle time.
     *
     * @param maxMs How long the other side may take to end an ended connection, in milliseconds.
     *
     * @example
     * ```ts
     * const closing = LingeringClose.of(server, 10_000);
     * closing.closeAll(socket => !isAnswering(socket));
     * while (closing.size > 0) await pause(50);
     * ```
     */
    static of(server: Server, maxMs: number): LingeringClose {
        const closing = new LingeringClose(maxMs);
        const connected = server instanceof TlsServer ? "secureConnection" : "connection";
        server.on(connected, (socket: Socket) => closing.add(socket));
        // With a listener, Node leaves it to the server to close connections whose idle time is over.
        server.on("timeout", (socket: Socket) => closing.close(socket));
        return closing;
    }

    /** Number of connections that this host has ended and the other side has not. */
    get size(): number {
        return this.lingering.size;
    }

    /** Ends a connection after what was written to it and `lastBytes`. What still comes is discarded; a second call does nothing. */
    close(socket: Socket, lastBytes = ""): void {
        if (socket.destroyed || this.lingering.has(socket)) return;
        this.lingering.set(socket, setTimeout(() => socket.destroy(), this.maxMs));
        socket.setTimeout(0);
        if (socket.writable) socket.end(lastBytes);
        socket.resume();
        // Resumes an HTTP parser that holds the socket back, which takes effect in the next tick.
        process.nextTick(discardInput, socket);
    }

    /** Ends all connections for which `isIdle` holds. */
    closeAll(isIdle: (socket: Socket) => boolean): void {
        for (const socket of this.open) if (isIdle(socket)) this.close(socket);
    }

    /** Gives up what lingers, so that its descriptors are free. */
    destroyLingering(): void {
        for (const socket of this.lingering.keys()) socket.destroy();
    }

    private add(socket: Socket): void {
        this.open.add(socket);
        socket.destroySoon = () => this.close(socket);
        socket.once("close", () => {
            clearTimeout(this.lingering.get(socket));
            this.lingering.delete(socket);
            this.open.delete(socket);
        });
    }
}

/** Takes a socket from its HTTP parser, and discards what comes. */
function discardInput(socket: Socket): void {
    socket.removeAllListeners("data");
    socket.on("data", () => undefined);
}
