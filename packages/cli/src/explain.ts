/**
 * Collects the daemons' log lines about one request: the decisions made for it, and the events of its endpoints while
 * it ran.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { type CommandResult, Exit, resultOf } from "./output.js";

/** A parsed log line. */
export interface LogLine {
    readonly atMs: number;
    readonly event: string;
    readonly fields: ReadonlyMap<string, string>;
    /** The whole line, unchanged. */
    readonly text: string;
}

/**
 * How long before a request's first line events of its endpoints are included. A call is logged when it ends, not when
 * it starts.
 */
const CONTEXT_BEFORE_MS = 60_000;

const LOG_LINE = /time=(\S+) level=\S+ event=(\S+)(.*)$/;
const LOG_FIELD = /([\w.-]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/**
 * Parses a line. Returns undefined if it is not a log line of a daemon. Text before the time, such as a log collector
 * adds, is ignored.
 *
 * @example
 * ```ts
 * parseLogLine("time=2026-01-01T00:00:00.000Z level=info event=call_ended req=r1")?.event; // "call_ended"
 * ```
 */
export function parseLogLine(text: string): LogLine | undefined {
    const match = LOG_LINE.exec(text);
    const atMs = Date.parse(match?.[1] ?? "");
    if (!match || Number.isNaN(atMs)) return undefined;
    const fields = new Map([...match[3]!.matchAll(LOG_FIELD)].map(([, key, value]) => [key!, value!] as const));
    return { atMs, event: match[2]!, fields, text };
}

/**
 * Returns the lines about a request, sorted by time: its own, the events during the request of the endpoints that these name, those
 * of the connection by which a peer relayed it, and those of the quarantine for which it was withheld.
 *
 * @example
 * ```ts
 * linesAboutRequest(lines, "9c41d07be2a35f68").map(line => line.text).join("\n");
 * ```
 */
export function linesAboutRequest(lines: readonly LogLine[], request: string): readonly LogLine[] {
    const own = lines.filter(line => line.fields.get("req") === request);
    if (own.length === 0) return [];
    const endpoints = new Set(
        own.flatMap(({ fields }) => ["endpoint", "from", "to"].flatMap(key => fields.get(key) ?? [])),
    );
    const relays = new Set(own.flatMap(({ fields }) => fields.get("relay") ?? []));
    const firstMs = Math.min(...own.map(line => line.atMs)) - CONTEXT_BEFORE_MS;
    const lastMs = Math.max(...own.map(line => line.atMs));
    const context = lines.filter(({ fields, atMs }) =>
        !fields.has("req") && endpoints.has(fields.get("endpoint") ?? "") && atMs >= firstMs && atMs <= lastMs
    );
    // A relayed connection may carry calls before and after this one.
    const relayed = lines.filter(({ fields }) => !fields.has("req") && relays.has(fields.get("relay") ?? ""));
    const quarantine = linesAboutQuarantine(lines, new Set(own.flatMap(({ fields }) => fields.get("by") ?? [])));
    return [...new Set([...own, ...context, ...relayed, ...quarantine])].sort((a, b) => a.atMs - b.atMs);
}

const QUARANTINE_EVENTS: ReadonlySet<string> = new Set(["request_quarantined", "request_quarantine_lifted"]);

/** Returns the lines on quarantined requests and parts, and the calls that were at the crashes on which these rest. */
function linesAboutQuarantine(lines: readonly LogLine[], names: ReadonlySet<string>): readonly LogLine[] {
    if (names.size === 0) return [];
    const decisions = lines.filter(({ event, fields }) =>
        QUARANTINE_EVENTS.has(event) && names.has(fields.get("fingerprint") ?? "")
    );
    const crashed = new Set(decisions.flatMap(({ fields }) => unquote(fields.get("endpoints")).split(",")));
    const calls = lines.filter(({ event, fields }) =>
        event === "call_at_ending" && crashed.has(fields.get("endpoint") ?? "")
        && namesOf(fields).some(name => names.has(name))
    );
    return [...decisions, ...calls];
}

/** The names under which a call that ran at a crashed endpoint may be held to blame. */
function namesOf(fields: LogLine["fields"]): readonly string[] {
    return [unquote(fields.get("fingerprint")), ...unquote(fields.get("parts")).split(",")];
}

function unquote(text = ""): string {
    return text.replace(/^"|"$/g, "");
}

/** The parsed lines of log files, or the command's result if a file cannot be read. */
export type LogFilesResult =
    | { readonly ok: true; readonly lines: readonly LogLine[] }
    | { readonly ok: false; readonly result: CommandResult };

/** Reads log files. Lines that are not a daemon's are left out. */
export function readLogFiles(files: readonly string[]): LogFilesResult {
    if (files.length === 0) return { ok: false, result: resultOf(Exit.Usage, "no log files given") };
    const lines: LogLine[] = [];
    for (const file of files) {
        let text: string;
        try {
            text = readFileSync(file, "utf8");
        }
        catch (err) {
            return { ok: false, result: resultOf(Exit.Failed, `${file}: ${(err as Error).message}`) };
        }
        for (const line of text.split("\n")) {
            const read = parseLogLine(line);
            if (read) lines.push(read);
        }
    }
    return { ok: true, lines };
}

/** The command `explain`: prints the lines of log files that are about a request. */
export function explainRequest(request: string, files: readonly string[]): CommandResult {
    const read = readLogFiles(files);
    if (!read.ok) return read.result;
    const found = linesAboutRequest(read.lines, request);
    if (found.length === 0) return resultOf(Exit.Failed, `none of ${read.lines.length} lines has request ${request}`);
    return {
        exit: Exit.Done,
        text: found.map(line => line.text).join("\n"),
        data: found.map(line => line.text),
    };
}
