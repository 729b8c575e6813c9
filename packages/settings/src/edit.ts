/**
 * Edits: a difference between two trees as a value, how it is applied, reversed and rebased, and its audit entry.
 *
 * @module
 */
import type { NodePath } from "./path.js";
import type { Tree } from "./tree.js";

/** One key of one node before and after an edit; undefined where it is not set. A key of `""` is the node itself. */
export interface Change {
    readonly path: NodePath;
    readonly key: string;
    readonly before?: string | undefined;
    readonly after?: string | undefined;
}

/** Who asked for an edit, when and why. */
export interface Authorship {
    /** Made by the one who asks; a retry carries the same id and is one edit. */
    readonly editId: string;
    readonly who: string;
    readonly why: string;
    /** Milliseconds since 1970, on the clock of the host that took the edit in. */
    readonly at: number;
}

/** What the audit trail keeps of one accepted edit. */
export interface AuditEntry extends Authorship {
    readonly version: number;
    readonly changes: readonly Change[];
}

/** Two edits that touch the same key. */
export interface EditConflict {
    readonly kind: "conflict";
    readonly path: NodePath;
    readonly key: string;
    /** What the editor saw. */
    readonly expected: string | undefined;
    /** What stands there now. */
    readonly found: string | undefined;
}

/** The result of applying changes to a tree. */
export type ApplyResult =
    | { readonly ok: true; readonly tree: Tree }
    | { readonly ok: false; readonly conflicts: readonly EditConflict[] };

/**
 * The changes that lead from one tree to another, in a fixed order.
 *
 * @example
 * ```ts
 * diff({ root: {} }, { root: { attempts: "2" } }); // [{ path: "root", key: "attempts", after: "2" }]
 * ```
 */
export function diff(from: Tree, to: Tree): readonly Change[] {
    const changes: Change[] = [];
    const paths = [...new Set([...Object.keys(from), ...Object.keys(to)])].sort();
    for (const path of paths) {
        const [before, after] = [from[path], to[path]];
        if (!before) changes.push({ path, key: "", before: undefined, after: "" });
        const keys = [...new Set([...Object.keys(before ?? {}), ...Object.keys(after ?? {})])].sort();
        for (const key of keys) {
            if (before?.[key] !== after?.[key]) changes.push({ path, key, before: before?.[key], after: after?.[key] });
        }
        if (!after) changes.push({ path, key: "", before: "", after: undefined });
    }
    return changes;
}

function currentValue(tree: Tree, change: Change): string | undefined {
    const node = tree[change.path];
    if (change.key === "") return node ? "" : undefined;
    return node?.[change.key];
}

/**
 * Applies changes where each finds what it expects (an edit that touches other keys than those changed since rebases by
 * itself); a change that already holds is no conflict.
 *
 * @example
 * ```ts
 * applyChanges({ root: {} }, [{ path: "root", key: "attempts", after: "2" }]);
 * ```
 */
export function applyChanges(tree: Tree, changes: readonly Change[]): ApplyResult {
    const conflicts: EditConflict[] = [];
    const next: Record<NodePath, Record<string, string>> = {};
    for (const [path, node] of Object.entries(tree)) next[path] = { ...node };
    for (const change of changes) {
        const current = currentValue(next, change);
        if (current !== change.before && current !== change.after) {
            conflicts.push({
                kind: "conflict",
                path: change.path,
                key: change.key,
                expected: change.before,
                found: current,
            });
            continue;
        }
        applyChange(next, change);
    }
    return conflicts.length > 0 ? { ok: false, conflicts } : { ok: true, tree: next };
}

function applyChange(tree: Record<NodePath, Record<string, string>>, { path, key, after }: Change): void {
    if (key === "") {
        if (after === undefined) delete tree[path];
        else tree[path] ??= {};
    }
    else if (after === undefined) delete tree[path]?.[key];
    else (tree[path] ??= {})[key] = after;
}

/**
 * The changes that undo an edit.
 *
 * @example
 * ```ts
 * reverse(entry.changes); // a new edit, forwards, that restores what stood before
 * ```
 */
export function reverse(changes: readonly Change[]): readonly Change[] {
    return changes.toReversed().map(({ path, key, before, after }) => ({ path, key, before: after, after: before }));
}

/**
 * The tree that a complete trail yields. The trail must start at version 1 and have no gap.
 *
 * @example
 * ```ts
 * replay(entries).ok; // false where the trail has a gap or an entry does not fit
 * ```
 */
export function replay(trail: readonly AuditEntry[]): ApplyResult {
    let tree: Tree = {};
    for (const [index, entry] of trail.entries()) {
        if (entry.version !== index + 1) {
            const gapConflict = {
                kind: "conflict",
                path: "",
                key: "version",
                expected: String(index + 1),
                found: String(entry.version),
            };
            return { ok: false, conflicts: [gapConflict as EditConflict] };
        }
        const next = applyChanges(tree, entry.changes);
        if (!next.ok) return next;
        tree = next.tree;
    }
    return { ok: true, tree };
}
