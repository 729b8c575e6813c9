/**
 * What waits for a caller that does not take its answer as fast as it comes. It is kept here and not in the connection's own
 * buffer, so that what is held is known exactly, and so that each part that the caller takes is noticed.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { CallMemory } from "../runtime/call-memory.js";

/** What a queue writes to. */
export type QueueOut = Pick<
    ServerResponse,
    "write" | "end" | "on" | "once" | "destroyed" | "writableNeedDrain" | "writableLength"
>;

/** What a piece costs beside its bytes: the objects of its buffer. */
export const PIECE_BYTES = 256;
/** Longer pieces are written in parts of this size, so that a slow caller's progress shows. */
const PART_BYTES = 65_536;

/** The queue of one answer. */
export class CallerQueue {
    private waiting: Buffer[] = [];
    private waitingBytes = 0;
    private isEnding = false;
    private hasEnded = false;
    private listens = false;
    private onFlushed: (() => void) | undefined;

    constructor(private readonly out: QueueOut, private readonly memory: CallMemory) {
        out.on("close", () => this.drop());
    }

    /** Whether something waits that the caller has not taken. */
    get isBehind(): boolean {
        return this.waiting.length > 0 || this.out.writableNeedDrain;
    }

    /** Passes bytes on, or keeps them until the caller takes what came before. */
    write(bytes: Buffer): void {
        if (bytes.length === 0 || this.out.destroyed) return;
        if (!this.isBehind && bytes.length <= PART_BYTES) this.out.write(bytes);
        else {
            this.keep(bytes);
            this.pump();
        }
        if (this.isBehind) this.note(false);
    }

    /** Ends the answer once all of it was taken. */
    end(): void {
        if (this.waiting.length > 0) this.isEnding = true;
        else this.finish();
    }

    private finish(): void {
        this.isEnding = false;
        this.hasEnded = true;
        this.out.end();
    }

    /** Calls back when nothing waits any more: at once, unless the caller is behind an answer that was to end. */
    whenFlushed(flushed: () => void): void {
        if (this.waiting.length === 0) flushed();
        else this.onFlushed = flushed;
    }

    /** Forgets what waits: the answer is broken off. */
    drop(): void {
        this.waiting = [];
        this.waitingBytes = 0;
        this.isEnding = false;
        this.memory.setUnread(0, false);
        this.flushed();
    }

    private keep(bytes: Buffer): void {
        for (let at = 0; at < bytes.length; at += PART_BYTES) {
            const part = bytes.subarray(at, at + PART_BYTES);
            this.waiting.push(part);
            this.waitingBytes += part.length + PIECE_BYTES;
        }
    }

    private pump(): void {
        let at = 0;
        while (at < this.waiting.length && !this.out.writableNeedDrain) {
            const part = this.waiting[at]!;
            this.out.write(part);
            this.waitingBytes -= part.length + PIECE_BYTES;
            at += 1;
        }
        if (at > 0) this.waiting = this.waiting.slice(at);
    }

    /** Counts what waits, and listens for the caller to take some of it. */
    private note(took: boolean): void {
        // What an ended answer has left in the connection counts until that closes: nothing more is told of it.
        const inSocket = this.out.writableNeedDrain || this.hasEnded ? this.out.writableLength : 0;
        this.memory.setUnread(this.waitingBytes + inSocket, took);
        if (this.listens || !this.out.writableNeedDrain) return;
        this.listens = true;
        this.out.once("drain", () => this.onDrain());
    }

    private onDrain(): void {
        this.listens = false;
        this.pump();
        if (this.waiting.length === 0 && this.isEnding) this.finish();
        this.note(true);
        if (this.waiting.length === 0) this.flushed();
    }

    private flushed(): void {
        const { onFlushed } = this;
        this.onFlushed = undefined;
        onFlushed?.();
    }
}
