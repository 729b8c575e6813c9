/**
 * Tells from the daemons' log lines which calls were not served in time, by route, hall of their last endpoint, moment and reason:
 * where to look first after a bad day.
 *
 * @module
 */
import { type LogLine, readLogFiles } from "./explain.js";
import { type CommandResult, Exit, formatTable, resultOf } from "./output.js";

/** Calls of one route and hall that were not served in time for one reason, at one moment. */
export interface Loss {
    readonly route: string;
    /** Hall of the last endpoint; `-` where the calls reached none. */
    readonly hall: string;
    /** Start of the moment, in seconds after the first line of the logs. */
    readonly fromS: number;
    /** Code of a failure, or `late: first` or `late: pause`. */
    readonly reason: string;
    readonly calls: number;
}

/** Moments are told in steps of this many seconds, unless another step is asked for. */
export const DEFAULT_STEP_S = 5;

/** Why a call counts as lost; undefined where it was served in time. */
function lossReasonOf({ fields: pairs }: LogLine): string | undefined {
    const outcome = pairs.get("outcome");
    if (outcome !== "whole") return outcome ?? "unknown";
    const late = pairs.get("late");
    return late === undefined ? undefined : `late: ${late}`;
}

/**
 * Counts the calls that ended and were not served in time. A call counts at the moment at which it came.
 *
 * @param stepS Length of a moment, in seconds.
 *
 * @example
 * ```ts
 * lossesOf(lines).filter(loss => loss.reason === "endpoint_lost");
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

/** The command: reads log files and prints the table. */
export function losses(files: readonly string[], stepS = DEFAULT_STEP_S): CommandResult {
    if (!(stepS > 0)) return resultOf(Exit.Usage, "the length of a moment is a number of seconds above 0");
    const read = readLogFiles(files);
    if (!read.ok) return read.outcome;
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
