/**
 * A connection of a caller, on which several requests may be open: HTTP/1.1 lets a caller send further ones without waiting
 * for the answers, which are sent in the order of the requests.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

const connections = new WeakMap<Socket, CallerConnection>();

/** The answers of one connection that are open. */
export class CallerConnection {
    private readonly answers = new Set<ServerResponse>();
    /** The answer to the request that was read last. */
    private last: ServerResponse | undefined;
    private endsAfterAnswer = false;

    private constructor(socket: Socket) {
        socket.once("close", () => this.closeWaiting());
    }

    /**
     * Returns the connection of an answer.
     *
     * @example
     * ```ts
     * CallerConnection.of(res).add(res);
     * res.on("close", () => release()); // also if the caller leaves while earlier answers are still to be sent
     * ```
     */
    static of({ req: { socket } }: ServerResponse): CallerConnection {
        const known = connections.get(socket);
        if (known) return known;
        const connection = new CallerConnection(socket);
        connections.set(socket, connection);
        return connection;
    }

    /** Whether no answer on a socket is open. */
    static isIdle(this: void, socket: Socket): boolean {
        return (connections.get(socket)?.size ?? 0) === 0;
    }

    /** Whether an answer on a socket was begun and is open: nothing else may be written there. */
    static hasBegunAnswer(socket: Socket): boolean {
        return [...connections.get(socket)?.answers ?? []].some(({ headersSent }) => headersSent);
    }

    /** Number of requests whose answers are open. */
    get size(): number {
        return this.answers.size;
    }

    /** Adds the answer to a request that was read, so that it closes with the connection. */
    add(res: ServerResponse): void {
        this.answers.add(res);
        this.last = res;
        res.once("close", () => this.answers.delete(res));
    }

    /** Whether an answer was begun that ends the connection: requests read behind it get no answer, so they must not run. */
    get isEnding(): boolean {
        return this.endsAfterAnswer;
    }

    /** Notes that the connection ends with an answer that is begun now. */
    end(): void {
        this.endsAfterAnswer = true;
    }

    /**
     * Ends the connection with an answer that is begun now, unless a request behind it waits for its own; returns whether it does.
     *
     * @example
     * ```ts
     * const fields = connection.endAfter(res) ? ["Connection", "close"] : [];
     * ```
     */
    endAfter(res: ServerResponse): boolean {
        if (this.last !== res) return false;
        this.end();
        return true;
    }

    /** Closes the answers that waited for earlier ones. Node closes only the answer that has the socket. */
    private closeWaiting(): void {
        const waiting = [...this.answers].filter(res => !res.socket && !res.writableFinished);
        for (const res of waiting) {
            res.destroy();
            res.emit("close");
        }
    }
}
