/**
 * Structured logs by bunyan, one line of key=value pairs for each event.
 *
 * @module
 */
import bunyan from "bunyan";
import type { Writable } from "node:stream";

/** A logger. Its methods take the fields first, then the name of the event. */
export type Log = bunyan;

const LEVEL_NAME: Readonly<Record<number, string>> = bunyan.nameFromLevel;
const UNQUOTED_VALUE = /^[A-Za-z0-9_.:/@+-]+$/;
const MAX_VALUE_LENGTH = 500;
/** Fields that bunyan adds to each record, left out as they stand elsewhere in the line or are the same in all lines of a process. */
const BUNYAN_FIELDS: ReadonlySet<string> = new Set(["time", "level", "msg", "name", "hostname", "pid", "v"]);

/** Formats a value: quoted unless it has plain characters only, so that no value can forge a pair or a line. */
function formatValue(value: unknown): string {
    const text = typeof value === "string" ? value : JSON.stringify(value) ?? "undefined";
    const short = text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}...` : text;
    if (UNQUOTED_VALUE.test(short)) return short;
    return JSON.stringify(short).replace(
        /[\u007f-\uffff]/g,
        char => `\\u${char.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
}

/**
 * Formats a record as a line.
 *
 * @example
 * ```ts
 * formatRecord({ time: new Date(0), level: 30, msg: "started", port: 8080 });
 * // "time=1970-01-01T00:00:00.000Z level=info event=started port=8080"
 * ```
 */
export function formatRecord(record: Record<string, unknown>): string {
    const { time, level, msg } = record;
    const at = time instanceof Date ? time.toISOString() : String(time);
    const pairs = Object.entries(record).filter(([key, value]) => value !== undefined && !BUNYAN_FIELDS.has(key))
        .map(([key, value]) => `${key.replace(/[^A-Za-z0-9_.-]/g, "_")}=${formatValue(value)}`);
    return [`time=${at}`, `level=${LEVEL_NAME[Number(level)] ?? String(level)}`, `event=${formatValue(msg)}`, ...pairs]
        .join(" ");
}

/**
 * Creates a logger that writes to a stream.
 *
 * @example
 * ```ts
 * createLog("info", process.stdout).info({ port: 8080 }, "listening");
 * ```
 */
export function createLog(level: bunyan.LogLevelString, out: Writable): Log {
    const stream = { write: (record: unknown) => out.write(`${formatRecord(record as Record<string, unknown>)}\n`) };
    return bunyan.createLogger({
        name: "drumpaddled",
        level,
        streams: [{ type: "raw", level, stream }],
    });
}
