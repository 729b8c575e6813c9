/**
 * Cuts a stream of server-sent events into whole events, bytes unchanged, so that what breaks off inside an event is
 * never passed on.
 *
 * @module
 */

/** One whole event as it came. */
export interface WholeEvent {
    /** All its bytes, the blank line at its end included. */
    readonly bytes: Buffer;
    /** Its `id` field; undefined if it has none. */
    readonly id: string | undefined;
    /** Whether it carries data: one that does not, such as a comment, says nothing to the caller. */
    readonly hasData: boolean;
}

const LF = 10;
const CR = 13;
const EMPTY = Buffer.alloc(0);

/** Takes bytes as they come and gives whole events. */
export class EventSplitter {
    private rest: Buffer = EMPTY;

    /**
     * Events that are whole with this chunk.
     *
     * @example
     * ```ts
     * new EventSplitter().push(Buffer.from("id: 1\ndata: x\n\nid: 2"))[0]?.id; // "1"
     * ```
     */
    push(chunk: Buffer): readonly WholeEvent[] {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: WholeEvent[] = [];
        let start = 0;
        for (;;) {
            const end = endOfEvent(bytes, start);
            if (end === undefined) break;
            const event = bytes.subarray(start, end);
            events.push({ bytes: event, ...fieldsOf(event) });
            start = end;
        }
        this.rest = bytes.subarray(start);
        return events;
    }

    /** What came after the last whole event. */
    get unfinished(): Buffer {
        return this.rest;
    }
}

/** Where the event that begins at `start` ends: after its first blank line. */
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

function fieldsOf(event: Buffer): Pick<WholeEvent, "id" | "hasData"> {
    const lines = event.toString("latin1").split(/\r?\n/);
    const id = lines.find(line => line.startsWith("id:"))?.slice("id:".length).trim();
    return { id, hasData: lines.some(line => line.startsWith("data")) };
}
