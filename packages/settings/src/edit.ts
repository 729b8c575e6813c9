/**
 * Edits of the tree: the difference between two trees as a list of changes, how changes are applied, reversed and
 * rebased, and the audit trail of accepted edits.
 *
 * @module
 */
import type { NodePath } from "./path.js";
import type { Tree } from "./tree.js";

/**
 * A key of one node before and after an edit; undefined where it is not set. The key `""` stands for the node itself:
 * its value is `""` if the node exists.
 */
export interface Change {
    readonly path: NodePath;
    readonly key: string;
    readonly before?: string | undefined;
    readonly after?: string | undefined;
}

/** Who made an edit, when and why. */
export interface Authorship {
    /** Chosen by the client. A retry carries the same id, so that it does not count as a second edit. */
    readonly editId: string;
    readonly who: string;
    readonly why: string;
    /** Milliseconds since 1970, on the clock of the host that received the edit. */
    readonly at: number;
}

/** The record of one accepted edit in the audit trail. */
export interface AuditEntry extends Authorship {
    readonly version: number;
    readonly changes: readonly Change[];
}

/** A change that cannot be applied because another edit has changed the same key. */
export interface EditConflict {
    readonly kind: "conflict";
    readonly path: NodePath;
    readonly key: string;
    /** The value that the change was made against. */
    readonly expected: string | undefined;
    /** The current value. */
    readonly found: string | undefined;
}

/** The result of applying changes to a tree: either all of them were applied, or none. */
export type ApplyResult =
    | { readonly ok: true; readonly tree: Tree }
    | { readonly ok: false; readonly conflicts: readonly EditConflict[] };

/**
 * Returns the changes that turn one tree into another, sorted by path and key.
 *
 * @example
 * ```ts
 * diffTrees({ root: {} }, { root: { attempts: "2" } }); // [{ path: "root", key: "attempts", after: "2" }]
 * ```
 */
export function diffTrees(from: Tree, to: Tree): readonly Change[] {
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

/** Returns the value that a tree has now for the key of a change. */
function currentValue(tree: Tree, change: Change): string | undefined {
    const node = tree[change.path];
    if (change.key === "") return node ? "" : undefined;
    return node?.[change.key];
}

/**
 * Applies changes if the current value of each key is the one that the change was made against. An edit therefore
 * rebases without conflict onto a tree in which only other keys have changed. A key that already has the new value is
 * no conflict.
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
 * Returns the changes that undo an edit.
 *
 * @example
 * ```ts
 * reverseChanges(entry.changes); // the changes of a new edit that restores the values before
 * ```
 */
export function reverseChanges(changes: readonly Change[]): readonly Change[] {
    return changes.toReversed().map(({ path, key, before, after }) => ({ path, key, before: after, after: before }));
}

/**
 * Applies the edits of an audit trail to the empty tree, in order. The trail must start at version 1 and have no gap.
 *
 * @example
 * ```ts
 * replayAuditTrail(entries).ok; // false if the trail has a gap, or if an entry conflicts with those before it
 * ```
 */
export function replayAuditTrail(trail: readonly AuditEntry[]): ApplyResult {
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
