/**
 * Counts, from the daemons' log lines, the calls that failed or were late, by route, hall of the last endpoint, time
 * and reason. It shows where to begin the search for the cause of an incident.
 *
 * @module
 */
import { type LogLine, readLogFiles } from "./explain.js";
import { type CommandResult, Exit, formatTable, resultOf } from "./output.js";

/** The number of calls of one route and hall that failed or were late for one reason, in one time step. */
export interface Loss {
    readonly route: string;
    /** Hall of the last endpoint; `-` if the calls reached no endpoint. */
    readonly hall: string;
    /** Start of the time step, in seconds after the first line of the logs. */
    readonly fromS: number;
    /**
     * The failure's code, or what made a complete answer late: its first piece (`late: first`) or a gap (`late:
     * pause`).
     */
    readonly reason: string;
    readonly calls: number;
}

/** The length of a time step, in seconds, if the option `--step` is not given. */
export const DEFAULT_STEP_S = 5;

/** Returns why a call counts as lost, or undefined if it was answered completely and in time. */
function lossReasonOf({ fields }: LogLine): string | undefined {
    const outcome = fields.get("outcome");
    if (outcome !== "whole") return outcome ?? "unknown";
    const late = fields.get("late");
    return late === undefined ? undefined : `late: ${late}`;
}

/**
 * Counts the calls that failed or were late. A call belongs to the time step in which it arrived.
 *
 * @param stepS Length of a time step, in seconds.
 *
 * @example
 * ```ts
 * countLosses(lines).filter(loss => loss.reason === "endpoint_lost");
 * ```
 */
export function countLosses(lines: readonly LogLine[], stepS = DEFAULT_STEP_S): readonly Loss[] {
    const startMs = lines.reduce((least, line) => Math.min(least, line.atMs), Infinity);
    const counts = new Map<string, Loss>();
    for (const line of lines) {
        const reason = line.event === "call_ended" ? lossReasonOf(line) : undefined;
        if (reason === undefined) continue;
        const arrivedMs = Math.max(startMs, line.atMs - Number(line.fields.get("ms") ?? 0));
        const fromS = Math.floor((arrivedMs - startMs) / 1000 / stepS) * stepS;
        const route = line.fields.get("route") ?? "";
        const hall = line.fields.get("hall") ?? "-";
        const key = `${route} ${hall} ${fromS} ${reason}`;
        counts.set(key, { route, hall, fromS, reason, calls: (counts.get(key)?.calls ?? 0) + 1 });
    }
    return [...counts.values()].sort((a, b) =>
        a.route.localeCompare(b.route) || a.fromS - b.fromS || b.calls - a.calls || a.hall.localeCompare(b.hall)
    );
}

/** The command `losses`: prints a table of the losses in log files. */
export function losses(files: readonly string[], stepS = DEFAULT_STEP_S): CommandResult {
    if (!(stepS > 0)) return resultOf(Exit.Usage, "--step must be a number of seconds greater than 0");
    const read = readLogFiles(files);
    if (!read.ok) return read.result;
    const found = countLosses(read.lines, stepS);
    const rows = found.map(({ route, hall, fromS, reason, calls }) => [
        route,
        hall,
        String(fromS),
        reason,
        String(calls),
    ]);
    return {
        exit: Exit.Done,
        text: formatTable(["route", "hall", "from second", "reason", "calls"], rows),
        data: found,
    };
}
