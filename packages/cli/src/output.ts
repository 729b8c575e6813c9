/**
 * The results of commands, their exit codes (on which scripts rely) and the formatting of their output.
 *
 * @module
 */
import type { Change } from "@drumpaddle/settings";
import Table from "cli-table3";

/** Exit codes of `drumpaddle`. `Unknown`: the host's answer was lost, so that the request may or may not have been applied. */
export const Exit = { Done: 0, Failed: 1, Usage: 2, Unknown: 3 } as const;
/** One of {@link Exit}. */
export type Exit = typeof Exit[keyof typeof Exit];

/** The result of a command: its exit code, and what it prints: the text, or with `--json` the data. */
export interface CommandResult {
    readonly exit: Exit;
    readonly text: string;
    readonly data: unknown;
}

/** Builds the result of a command. Without `data`, `--json` prints the text as `message`. */
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

/** Formats one change. The empty key stands for the node itself. */
function formatChange({ key, before, after }: Change): string {
    if (key === "") return after === undefined ? "- the node" : "+ the node";
    if (before === undefined) return `+ ${key} = ${after}`;
    return after === undefined ? `- ${key} = ${before}` : `~ ${key} = ${before} -> ${after}`;
}

/** Returns the message in the body of a host's error answer, or a general one if the body has none. */
export function errorMessageOf(body: Record<string, unknown>): string {
    const { error } = body as { readonly error?: { readonly message?: string } };
    return error?.message ?? "the host answered with an error";
}
