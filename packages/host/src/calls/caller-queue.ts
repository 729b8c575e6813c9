/**
 * Queues the part of an answer that a slow caller has not read yet. The queue is kept here rather than in the socket's
 * own buffer, so that the host knows exactly how many bytes it holds, and sees each part that the caller reads.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { CallMemory } from "../runtime/call-memory.js";

/** The response that a queue writes to. */
export type QueueTarget = Pick<
    ServerResponse,
    | "write"
    | "end"
    | "on"
    | "once"
    | "destroyed"
    | "socket"
    | "writableNeedDrain"
    | "writableLength"
    | "writableHighWaterMark"
>;

/** Memory of a piece in addition to its bytes: the objects of its buffer. */
export const PIECE_OVERHEAD_BYTES = 256;
/** Pieces are written in parts of at most this size, so that the progress of a slow caller is visible. */
const PART_BYTES = 65_536;

/** The write queue of one answer. */
export class CallerQueue {
    private waiting: Buffer[] = [];
    private waitingBytes = 0;
    private endsWhenEmpty = false;
    private hasEnded = false;
    private isAwaitingRoom = false;

    constructor(private readonly out: QueueTarget, private readonly memory: CallMemory) {
        out.on("close", () => this.discard());
    }

    /** Whether the caller has not yet taken all that was written. */
    get hasBacklog(): boolean {
        return this.waiting.length > 0 || !this.hasRoom;
    }

    /**
     * Whether earlier answers of the connection are still to be sent. What is written then would fill a buffer of the connection,
     * and Node reads from a connection whose buffer is full no further, so that it would not notice that the caller leaves.
     */
    private get isBehind(): boolean {
        return this.out.socket === null;
    }

    private get hasRoom(): boolean {
        return !this.out.writableNeedDrain && !this.isBehind;
    }

    /** Writes bytes, or queues them until the caller has taken what was written before. */
    write(bytes: Buffer): void {
        if (bytes.length === 0 || this.out.destroyed) return;
        if (!this.hasBacklog && bytes.length <= PART_BYTES) this.out.write(bytes);
        else {
            this.enqueue(bytes);
            this.writeQueued();
        }
        if (this.hasBacklog) this.updateAccount(false);
    }

    /** Ends the answer once the queue is empty. */
    end(): void {
        if (this.waiting.length > 0) this.endsWhenEmpty = true;
        else this.finish();
    }

    private finish(): void {
        this.endsWhenEmpty = false;
        this.hasEnded = true;
        this.out.end();
    }

    /** Discards the queue, as the answer is aborted. */
    discard(): void {
        this.waiting = [];
        this.waitingBytes = 0;
        this.endsWhenEmpty = false;
        this.memory.setUnread(0, false);
    }

    private enqueue(bytes: Buffer): void {
        for (let at = 0; at < bytes.length; at += PART_BYTES) {
            const part = bytes.subarray(at, at + PART_BYTES);
            this.waiting.push(part);
            this.waitingBytes += part.length + PIECE_OVERHEAD_BYTES;
        }
    }

    private writeQueued(): void {
        let at = 0;
        while (at < this.waiting.length && this.hasRoom) {
            const part = this.waiting[at]!;
            this.out.write(part);
            this.waitingBytes -= part.length + PIECE_OVERHEAD_BYTES;
            at += 1;
        }
        if (at > 0) this.waiting = this.waiting.slice(at);
    }

    /** Updates the call's memory account, and waits for the caller to read more. */
    private updateAccount(hasDrained: boolean): void {
        // After its end an answer emits no more `drain`: bytes in the socket's buffer count until the connection
        // closes.
        const socketBytes = this.out.writableNeedDrain || this.hasEnded ? this.out.writableLength : 0;
        // As much as a socket's buffer takes does not pause the source while the caller has other answers to read.
        const isShort = this.isBehind && this.waitingBytes <= this.out.writableHighWaterMark;
        if (!isShort) this.memory.setUnread(this.waitingBytes + socketBytes, hasDrained);
        if (!this.isAwaitingRoom && !this.hasRoom) this.awaitRoom();
    }

    private awaitRoom(): void {
        this.isAwaitingRoom = true;
        // Only after this event does Node write what it holds of the answer itself.
        if (this.isBehind) this.out.once("socket", () => queueMicrotask(() => this.onRoom()));
        else this.out.once("drain", () => this.onRoom());
    }

    private onRoom(): void {
        this.isAwaitingRoom = false;
        if (this.out.destroyed) return;
        this.writeQueued();
        if (this.waiting.length === 0 && this.endsWhenEmpty) this.finish();
        this.updateAccount(true);
    }
}
