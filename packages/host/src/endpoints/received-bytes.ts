/**
 * Limits what an endpoint in trouble may send that is no answer: a head, interim answers or a chunk's extension without end. The HTTP
 * client reads all of these without a word until the call's deadline.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/** Size and line ends of a chunk, with some room for an extension. */
const CHUNK_FRAME_BYTES = 64;

/** A connection brought more bytes than an answer can have. */
export class TooManyBytesError extends Error {
    override readonly name = "TooManyBytesError";

    constructor(readonly bytes: number) {
        super(`${bytes} bytes that belong to no answer`);
    }
}

/** Counts the bytes that one connection has brought since its current call was sent. */
export class ReceivedBytes {
    /** Bytes that were received, less those of the answer's body. */
    private surplus = 0;

    /** @param maxSurplus How many bytes may come beside the body and the frames of its chunks. */
    constructor(private readonly maxSurplus: number) {}

    /** Starts to count for another call. */
    reset(): void {
        this.surplus = 0;
    }

    /** Counts bytes as they are read from the socket. Returns an error once there are too many. */
    add(bytes: number): TooManyBytesError | undefined {
        this.surplus += bytes;
        return this.surplus > this.maxSurplus ? new TooManyBytesError(this.surplus) : undefined;
    }

    /** Takes a part of a body off the count, and what frames it. */
    acceptBody(bytes: number): void {
        this.surplus = Math.max(0, this.surplus - bytes - CHUNK_FRAME_BYTES);
    }
}

/**
 * Calls back with the number of bytes each time some are read from a socket, before they are parsed.
 *
 * @example
 * ```ts
 * onBytesRead(socket, bytes => total += bytes);
 * ```
 */
export function onBytesRead(socket: Socket, onBytes: (bytes: number) => void): void {
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
        const chunk = read(size) as Buffer | null;
        if (chunk !== null) onBytes(chunk.length);
        return chunk;
    };
}

/**
 * Wraps a connector for calls with short answers: a connection that brings more bytes for one request is destroyed.
 *
 * @example
 * ```ts
 * new Agent({ connect: limitAnswers(dialer.usual, 1_000_000) });
 * ```
 */
export function limitAnswers(connector: buildConnector.connector, maxBytes: number): buildConnector.connector {
    return (options, callback) =>
        connector(options, (...result) => {
            const [, socket] = result;
            if (socket) limitSocket(socket, maxBytes);
            callback(...result);
        });
}

function limitSocket(socket: Socket, maxBytes: number): void {
    const received = new ReceivedBytes(maxBytes);
    const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
    socket.write = (...args: unknown[]): boolean => {
        received.reset();
        return write(...args);
    };
    onBytesRead(socket, bytes => destroyOnError(socket, received.add(bytes)));
}

/** Destroys a socket after what was just read from it is parsed: the parser must not lose its socket meanwhile. */
export function destroyOnError(socket: Socket, err: Error | undefined): void {
    if (err) setImmediate(() => void socket.destroy(err));
}
