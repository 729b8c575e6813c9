/**
 * The results of commands, their exit codes (on which scripts rely) and the formatting of their output.
 *
 * @module
 */
import type { Change } from "@drumpaddle/settings";
import Table from "cli-table3";

/** Exit codes of `drumpaddle`. */
export const Exit = { Done: 0, Failed: 1, Usage: 2, Unknown: 3 } as const;
/** One of {@link Exit}. */
export type Exit = typeof Exit[keyof typeof Exit];

/** The result of a command: the text to print, or with `--json` the data, and the exit code. */
export interface CommandResult {
    readonly exit: Exit;
    readonly text: string;
    readonly data: unknown;
}

/** Returns a result. Without `data`, `--json` prints the text as `message`. */
export function resultOf(exit: Exit, text: string, data: unknown = { message: text }): CommandResult {
    return { exit, text, data };
}

/**
 * Formats rows as a table for the terminal.
 *
 * @example
 * ```ts
 * formatTable(["host", "version"], [["k1-a", "7"]]);
 * ```
 */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const table = new Table({ head: [...head], style: { head: [], border: [], compact: true } });
    for (const row of rows) table.push([...row]);
    return table.toString();
}

/**
 * Formats changes as a difference for people, grouped by node.
 *
 * @example
 * ```ts
 * formatChanges([{ path: "root", key: "attempts", before: "2", after: "3" }]); // "[root]\n  ~ attempts = 2 -> 3"
 * ```
 */
export function formatChanges(changes: readonly Change[]): string {
    const lines: string[] = [];
    let path = "";
    for (const change of changes) {
        if (change.path !== path) lines.push(`[${change.path}]`);
        path = change.path;
        lines.push(`  ${formatChange(change)}`);
    }
    return lines.join("\n");
}

function formatChange({ key, before, after }: Change): string {
    if (key === "") return after === undefined ? "- the node" : "+ the node";
    if (before === undefined) return `+ ${key} = ${after}`;
    return after === undefined ? `- ${key} = ${before}` : `~ ${key} = ${before} -> ${after}`;
}

/** Returns the message of a host's error answer. */
export function errorMessageOf(body: Record<string, unknown>): string {
    const { error } = body as { readonly error?: { readonly message?: string } };
    return error?.message ?? "the host answered with an error";
}
