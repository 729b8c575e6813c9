/**
 * Splits a stream of server-sent events into complete events without changing their bytes, so that an event that breaks
 * off is never forwarded in part.
 *
 * @module
 */

/** One complete server-sent event as received. */
export interface ServerSentEvent {
    /** All bytes of the event, including the blank line that ends it. */
    readonly bytes: Buffer;
    /** The `id` field; undefined if the event has none. */
    readonly id: string | undefined;
    /** Whether the event has a `data` field; events without one, such as comments, carry nothing for the caller. */
    readonly hasData: boolean;
}

const LF = 10;
const CR = 13;
const EMPTY = Buffer.alloc(0);
/** The buffer of unfinished events grows by this factor, and is kept for the next one up to this size. */
const GROWTH = 1.5;
const MAX_KEPT_BYTES = 65_536;

/** Splits chunks of bytes into complete events and keeps the rest for the next chunk. */
export class EventSplitter {
    /** Holds the unfinished event in its first {@link length} bytes. Each byte is looked at once, however small the chunks are. */
    private buffer: Buffer = EMPTY;
    private length = 0;
    /** The line in which the unfinished event ends: how long it is, and whether it begins with a carriage return. */
    private lineLength = 0;
    private lineHasCr = false;

    /**
     * Returns the events that this chunk completes.
     *
     * @example
     * ```ts
     * new EventSplitter().push(Buffer.from("id: 1\ndata: x\n\nid: 2"))[0]?.id; // "1"
     * ```
     */
    push(chunk: Buffer): readonly ServerSentEvent[] {
        const events: ServerSentEvent[] = [];
        let start = 0;
        let lineStart = 0;
        for (let lf = chunk.indexOf(LF); lf >= 0; lf = chunk.indexOf(LF, lineStart)) {
            this.extendLine(chunk, lineStart, lf);
            const isBlank = this.lineLength === 0 || this.lineLength === 1 && this.lineHasCr;
            this.lineLength = 0;
            lineStart = lf + 1;
            if (!isBlank) continue;
            const event = this.finish(chunk.subarray(start, lineStart));
            events.push({ bytes: event, ...fieldsOf(event) });
            start = lineStart;
        }
        this.extendLine(chunk, lineStart, chunk.length);
        this.append(chunk.subarray(start));
        return events;
    }

    /** The bytes received after the last complete event. */
    get unfinished(): Buffer {
        return this.buffer.subarray(0, this.length);
    }

    private extendLine(chunk: Buffer, from: number, to: number): void {
        if (this.lineLength === 0) this.lineHasCr = from < to && chunk[from] === CR;
        this.lineLength += to - from;
    }

    private finish(rest: Buffer): Buffer {
        const event = this.length === 0 ? rest : Buffer.concat([this.unfinished, rest]);
        this.length = 0;
        if (this.buffer.length > MAX_KEPT_BYTES) this.buffer = EMPTY;
        return event;
    }

    private append(bytes: Buffer): void {
        const length = this.length + bytes.length;
        if (length > this.buffer.length) {
            const grown = Buffer.allocUnsafe(Math.max(length, Math.ceil(GROWTH * this.buffer.length)));
            this.unfinished.copy(grown);
            this.buffer = grown;
        }
        bytes.copy(this.buffer, this.length);
        this.length = length;
    }
}

function fieldsOf(event: Buffer): Pick<ServerSentEvent, "id" | "hasData"> {
    const lines = event.toString("latin1").split(/\r?\n/);
    const id = lines.find(line => line.startsWith("id:"))?.slice("id:".length).trim();
    return { id, hasData: lines.some(line => line.startsWith("data")) };
}
