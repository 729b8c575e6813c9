/**
 * Frames between hosts: a big-endian length of four bytes, then one message in CBOR. Every message has a `kind`. A frame
 * that is too long, is not CBOR or contains no message with a `kind` makes the rest of the connection unreadable.
 *
 * @module
 */
import { decode, encode } from "cbor-x";

/** Version of the messages between hosts; a peer with another version is refused. */
export const PEER_VERSION = 10;
/** Largest frame, which leaves ample room for a complete settings tree. */
export const MAX_FRAME_BYTES = 8_000_000;
const LENGTH_BYTES = 4;

/** Why bytes from a peer cannot be decoded. */
export type FrameError =
    | { readonly kind: "tooLong"; readonly bytes: number }
    | { readonly kind: "notCbor"; readonly detail: string }
    | { readonly kind: "notAMessage" };

/** Base of all messages between hosts. */
export interface FrameMessage {
    readonly kind: string;
}

/**
 * Encodes a message as a frame.
 *
 * @example
 * ```ts
 * socket.write(encodeFrame({ kind: "heartbeat", news: [] }));
 * ```
 */
export function encodeFrame(message: FrameMessage): Buffer {
    const body = encode(message);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, LENGTH_BYTES);
    return frame;
}

/** Decodes chunks of bytes into messages. After an error it returns no more messages. */
export class FrameReader {
    private chunks: Buffer[] = [];
    private bufferedBytes = 0;
    private failed = false;

    constructor(private readonly maxBytes = MAX_FRAME_BYTES) {}

    /** Returns the messages that this chunk completes, and the error if one follows them. */
    push(chunk: Buffer): { readonly messages: readonly FrameMessage[]; readonly err?: FrameError } {
        const messages: FrameMessage[] = [];
        this.append(chunk);
        for (let read = this.next(); read; read = this.next()) {
            if ("err" in read) return { messages, err: read.err };
            messages.push(read.message);
        }
        return { messages };
    }

    /** Adds a chunk without decoding it. */
    append(chunk: Buffer): void {
        if (this.failed) return;
        this.chunks.push(chunk);
        this.bufferedBytes += chunk.length;
    }

    /** Decodes the next message; undefined if there is no complete one. */
    next(): { readonly message: FrameMessage } | { readonly err: FrameError } | undefined {
        const length = this.peekLength();
        if (length === undefined) return undefined;
        if (length > this.maxBytes) return this.fail({ kind: "tooLong", bytes: length });
        if (this.bufferedBytes < LENGTH_BYTES + length) return undefined;
        const read = decodeMessage(this.consume(LENGTH_BYTES + length).subarray(LENGTH_BYTES));
        return "err" in read ? this.fail(read.err) : read;
    }

    /** Takes the bytes that follow the last message, when the connection goes on in another protocol. */
    takeRest(): Buffer {
        const rest = Buffer.concat(this.chunks);
        this.chunks = [];
        this.bufferedBytes = 0;
        return rest;
    }

    private fail(err: FrameError): { readonly err: FrameError } {
        this.failed = true;
        this.chunks = [];
        this.bufferedBytes = 0;
        return { err };
    }

    private peekLength(): number | undefined {
        if (this.bufferedBytes < LENGTH_BYTES) return undefined;
        if (this.chunks[0]!.length < LENGTH_BYTES) this.chunks = [Buffer.concat(this.chunks)];
        return this.chunks[0]!.readUInt32BE(0);
    }

    private consume(bytes: number): Buffer {
        const all = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
        const rest = all.subarray(bytes);
        this.chunks = rest.length > 0 ? [rest] : [];
        this.bufferedBytes = rest.length;
        return all.subarray(0, bytes);
    }
}

function decodeMessage(body: Buffer): { readonly message: FrameMessage } | { readonly err: FrameError } {
    try {
        const message = decode(body) as unknown;
        const kind = typeof message === "object" && message !== null ? (message as { kind?: unknown }).kind : undefined;
        return typeof kind === "string" ? { message: message as FrameMessage } : { err: { kind: "notAMessage" } };
    }
    catch (err) {
        return { err: { kind: "notCbor", detail: (err as Error).message } };
    }
}
