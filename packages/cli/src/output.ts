/**
 * What commands print, and the exit codes that scripts rely on.
 *
 * @module
 */
import type { Change } from "@drumpaddle/settings";
import Table from "cli-table3";

/** Exit codes of `drumpaddle`. */
export const Exit = { Done: 0, Failed: 1, Usage: 2, Unknown: 3 } as const;
/** One of {@link Exit}. */
export type Exit = typeof Exit[keyof typeof Exit];

/** What a command came to: what to print, and how to exit. `data` is printed instead with `--json`. */
export interface CommandResult {
    readonly exit: Exit;
    readonly text: string;
    readonly data: unknown;
}

/** An outcome that says one line. */
export function resultOf(exit: Exit, text: string, data: unknown = { message: text }): CommandResult {
    return { exit, text, data };
}

/**
 * Rows as a table for people.
 *
 * @example
 * ```ts
 * tableOf(["host", "version"], [["k1-a", "7"]]);
 * ```
 */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const table = new Table({ head: [...head], style: { head: [], border: [], compact: true } });
    for (const row of rows) table.push([...row]);
    return table.toString();
}

/**
 * Changes as a readable difference, a node at a time.
 *
 * @example
 * ```ts
 * showChanges([{ path: "root", key: "attempts", before: "2", after: "3" }]); // "[root]\n  ~ attempts = 2 -> 3"
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

/** What a host says of its own error. */
export function errorMessageOf(body: Record<string, unknown>): string {
    const { error } = body as { readonly error?: { readonly message?: string } };
    return error?.message ?? "the host answered with an error";
}
