/**
 * Tells a request's story from the daemons' log lines: what was decided for it, and what became of the endpoints that it
 * met while it ran.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { type CommandResult, Exit, resultOf } from "./output.js";

/** One log line, taken apart. */
export interface LogLine {
    readonly atMs: number;
    readonly event: string;
    readonly fields: ReadonlyMap<string, string>;
    /** The line as it stands in the log. */
    readonly text: string;
}

/** Lines of other events are of interest from this long before a request's first line: a call's line comes at its end. */
const CONTEXT_BEFORE_MS = 60_000;

const LOG_LINE = /time=(\S+) level=\S+ event=(\S+)(.*)$/;
const LOG_FIELD = /([\w.-]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/**
 * Takes a line apart; undefined for what is no log line of a daemon. Text before the time, as a collector may add, is
 * passed over.
 *
 * @example
 * ```ts
 * readLine("time=2026-01-01T00:00:00.000Z level=info event=call_ended req=r1")?.event; // "call_ended"
 * ```
 */
export function parseLogLine(text: string): LogLine | undefined {
    const match = LOG_LINE.exec(text);
    const atMs = Date.parse(match?.[1] ?? "");
    if (!match || Number.isNaN(atMs)) return undefined;
    const pairs = new Map([...match[3]!.matchAll(LOG_FIELD)].map(([, key, value]) => [key!, value!] as const));
    return { atMs, event: match[2]!, fields: pairs, text };
}

/**
 * The lines that tell a request's story, in order of time: its own, and those of the endpoints that they name.
 *
 * @example
 * ```ts
 * storyOf(lines, "9c41d07be2a35f68").map(line => line.text).join("\n");
 * ```
 */
export function linesAboutRequest(lines: readonly LogLine[], request: string): readonly LogLine[] {
    const own = lines.filter(line => line.fields.get("req") === request);
    if (own.length === 0) return [];
    const endpoints = new Set(
        own.flatMap(({ fields: pairs }) => ["endpoint", "from", "to"].flatMap(key => pairs.get(key) ?? [])),
    );
    const firstMs = Math.min(...own.map(line => line.atMs)) - CONTEXT_BEFORE_MS;
    const lastMs = Math.max(...own.map(line => line.atMs));
    const context = lines.filter(({ fields: pairs, atMs }) =>
        !pairs.has("req") && endpoints.has(pairs.get("endpoint") ?? "") && atMs >= firstMs && atMs <= lastMs
    );
    return [...own, ...context].sort((a, b) => a.atMs - b.atMs);
}

/** The lines of log files, or what the command says that cannot read them. */
export type LogFilesResult =
    | { readonly ok: true; readonly lines: readonly LogLine[] }
    | { readonly ok: false; readonly outcome: CommandResult };

/** Reads log files. */
export function readLogFiles(files: readonly string[]): LogFilesResult {
    if (files.length === 0) return { ok: false, outcome: resultOf(Exit.Usage, "name the log files to read") };
    const lines: LogLine[] = [];
    for (const file of files) {
        let text: string;
        try {
            text = readFileSync(file, "utf8");
        }
        catch (err) {
            return { ok: false, outcome: resultOf(Exit.Failed, `${file}: ${(err as Error).message}`) };
        }
        for (const line of text.split("\n")) {
            const read = parseLogLine(line);
            if (read) lines.push(read);
        }
    }
    return { ok: true, lines };
}

/** The command: reads log files and prints the story. */
export function explainRequest(request: string, files: readonly string[]): CommandResult {
    const read = readLogFiles(files);
    if (!read.ok) return read.outcome;
    const found = linesAboutRequest(read.lines, request);
    if (found.length === 0) return resultOf(Exit.Failed, `no line of ${read.lines.length} names request ${request}`);
    return {
        exit: Exit.Done,
        text: found.map(line => line.text).join("\n"),
        data: found.map(line => line.text),
    };
}
