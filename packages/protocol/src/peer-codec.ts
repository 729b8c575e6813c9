/**
 * Frames between hosts: a length of four bytes, then one message in CBOR. Every message names its kind; a frame that is
 * too long, not CBOR, or of no known kind is an error of the connection.
 *
 * @module
 */
import { decode, encode } from "cbor-x";

/** Version of the messages between hosts; another one is refused. */
export const PEER_VERSION = 10;
/** Largest frame: a whole tree of settings with room to spare. */
export const MAX_FRAME_BYTES = 8_000_000;
const LENGTH_BYTES = 4;

/** Why bytes from a peer are not understood. */
export type FrameError =
    | { readonly kind: "tooLong"; readonly bytes: number }
    | { readonly kind: "notCbor"; readonly detail: string }
    | { readonly kind: "notAMessage" };

/** Anything that travels in a frame. */
export interface FrameMessage {
    readonly kind: string;
}

/**
 * A message as a frame.
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

/** Takes bytes as they come and gives whole messages. After an error it gives nothing more. */
export class FrameReader {
    private chunks: Buffer[] = [];
    private held = 0;
    private failed = false;

    constructor(private readonly maxBytes = MAX_FRAME_BYTES) {}

    /** Messages that are whole now, or what is wrong. */
    push(chunk: Buffer): { readonly messages: readonly FrameMessage[]; readonly err?: FrameError } {
        const messages: FrameMessage[] = [];
        if (this.failed) return { messages };
        this.chunks.push(chunk);
        this.held += chunk.length;
        for (;;) {
            const length = this.peekLength();
            if (length !== undefined && length > this.maxBytes) {
                return this.fail(messages, { kind: "tooLong", bytes: length });
            }
            if (length === undefined || this.held < LENGTH_BYTES + length) return { messages };
            const read = readMessage(this.take(LENGTH_BYTES + length).subarray(LENGTH_BYTES));
            if ("err" in read) return this.fail(messages, read.err);
            messages.push(read.message);
        }
    }

    private fail(
        messages: readonly FrameMessage[],
        err: FrameError,
    ): { messages: readonly FrameMessage[]; err: FrameError } {
        this.failed = true;
        this.chunks = [];
        return { messages, err };
    }

    private peekLength(): number | undefined {
        if (this.held < LENGTH_BYTES) return undefined;
        if (this.chunks[0]!.length < LENGTH_BYTES) this.chunks = [Buffer.concat(this.chunks)];
        return this.chunks[0]!.readUInt32BE(0);
    }

    private take(bytes: number): Buffer {
        const all = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
        const rest = all.subarray(bytes);
        this.chunks = rest.length > 0 ? [rest] : [];
        this.held = rest.length;
        return all.subarray(0, bytes);
    }
}

function readMessage(body: Buffer): { readonly message: FrameMessage } | { readonly err: FrameError } {
    try {
        const message = decode(body) as unknown;
        const kind = typeof message === "object" && message !== null ? (message as { kind?: unknown }).kind : undefined;
        return typeof kind === "string" ? { message: message as FrameMessage } : { err: { kind: "notAMessage" } };
    }
    catch (err) {
        return { err: { kind: "notCbor", detail: (err as Error).message } };
    }
}
