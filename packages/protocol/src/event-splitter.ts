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

/** Splits chunks of bytes into complete events and keeps the rest for the next chunk. */
export class EventSplitter {
    private pending: Buffer = EMPTY;

    /**
     * Returns the events that this chunk completes.
     *
     * @example
     * ```ts
     * new EventSplitter().push(Buffer.from("id: 1\ndata: x\n\nid: 2"))[0]?.id; // "1"
     * ```
     */
    push(chunk: Buffer): readonly ServerSentEvent[] {
        const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const events: ServerSentEvent[] = [];
        let start = 0;
        for (;;) {
            const end = endOfEvent(bytes, start);
            if (end === undefined) break;
            const event = bytes.subarray(start, end);
            events.push({ bytes: event, ...fieldsOf(event) });
            start = end;
        }
        this.pending = bytes.subarray(start);
        return events;
    }

    /** The bytes received after the last complete event. */
    get unfinished(): Buffer {
        return this.pending;
    }
}

/** Returns the end of the event that begins at `start`, after its first blank line; undefined if it is incomplete. */
function endOfEvent(bytes: Buffer, start: number): number | undefined {
    let lineStart = start;
    for (;;) {
        const lf = bytes.indexOf(LF, lineStart);
        if (lf < 0) return undefined;
        const blank = lf === lineStart || lf === lineStart + 1 && bytes[lineStart] === CR;
        if (blank) return lf + 1;
        lineStart = lf + 1;
    }
}

function fieldsOf(event: Buffer): Pick<ServerSentEvent, "id" | "hasData"> {
    const lines = event.toString("latin1").split(/\r?\n/);
    const id = lines.find(line => line.startsWith("id:"))?.slice("id:".length).trim();
    return { id, hasData: lines.some(line => line.startsWith("data")) };
}
