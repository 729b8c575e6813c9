/**
 * Checks of a whole tree, beyond its single values: references, required keys, overrides without effect, sizes.
 *
 * @module
 */
import type { ReadTree, SettingsError } from "./ini.js";
import { lineage, type NodePath, type ParsedPath, parsePath } from "./path.js";
import { INHERITED, NodeKind, REQUIRED } from "./schema.js";
import type { Tree } from "./tree.js";

/** Most nodes that a tree may have: the plan's 3,200 workspaces with room for services, halls, endpoints and keys. */
export const MAX_NODES = 40_000;

/**
 * All that is wrong with a tree as a whole, in the order of its nodes.
 *
 * @example
 * ```ts
 * checkTree(readFiles(files)).map(describeError);
 * ```
 */
export function checkTree(read: ReadTree): readonly SettingsError[] {
    const { tree, where } = read;
    const errors: SettingsError[] = [];
    const nodes = Object.keys(tree);
    if (nodes.length > MAX_NODES) {
        errors.push({ kind: "tooLarge", pos: where("root", ""), found: nodes.length, allowed: MAX_NODES });
    }
    for (const path of nodes) {
        const parsed = parsePath(path);
        if (!parsed) continue;
        errors.push(
            ...missing(read, path, parsed),
            ...references(read, path, parsed),
            ...deadOverrides(read, path, parsed),
        );
    }
    if (locksOut(tree)) errors.push({ kind: "lockout", pos: where("root", "") });
    return errors;
}

function isCombination(parsed: ParsedPath): boolean {
    return [parsed.workspace, parsed.service, parsed.hall].filter(part => part !== undefined).length > 1;
}

function missing({ tree, where }: ReadTree, path: NodePath, parsed: ParsedPath): SettingsError[] {
    if (isCombination(parsed)) return [];
    const absent = REQUIRED[parsed.kind].filter(key => tree[path]?.[key] === undefined);
    return absent.map(key => ({ kind: "missingKey", pos: where(path, key) }));
}

/** A reference from a node to another: the key that holds it and the path that must exist. */
function referencesOf(tree: Tree, path: NodePath, parsed: ParsedPath): readonly { key: string; target: NodePath }[] {
    const found: { key: string; target: NodePath }[] = [];
    if (isCombination(parsed)) {
        for (const part of ["workspace", "service", "hall"] as const) {
            if (parsed[part] !== undefined) found.push({ key: "", target: `${part}/${parsed[part]}` });
        }
        return found;
    }
    const node = tree[path] ?? {};
    for (const part of ["workspace", "service", "hall"] as const) {
        if (node[part] !== undefined) found.push({ key: part, target: `${part}/${node[part]}` });
    }
    const models = (node["models"] ?? "").split(",").map(name => name.trim()).filter(name => name !== "");
    return [...found, ...models.map(name => ({ key: "models", target: `model/${name}` }))];
}

function references({ tree, where }: ReadTree, path: NodePath, parsed: ParsedPath): SettingsError[] {
    const broken = referencesOf(tree, path, parsed).filter(({ target }) => tree[target] === undefined);
    return broken.map(({ key, target }) => ({
        kind: "badReference",
        pos: where(path, key),
        found: target,
        allowed: "a node that the tree declares",
    }));
}

function deadOverrides({ tree, where }: ReadTree, path: NodePath, parsed: ParsedPath): SettingsError[] {
    if (parsed.kind === NodeKind.Root) return [];
    const above = lineage(parsed).filter(other => other !== path);
    const errors: SettingsError[] = [];
    for (const [key, value] of Object.entries(tree[path] ?? {})) {
        if (!Object.hasOwn(INHERITED, key) || above.length === 0) continue;
        // Only a chain with one order is judged: below a combination, siblings may lie between.
        const speaking = above.filter(other => tree[other]?.[key] !== undefined);
        const same = speaking[0];
        if (
            speaking.length === 1 && same !== undefined && tree[same]?.[key] === value
            && !otherSpeaks(tree, path, key, same)
        ) {
            errors.push({ kind: "deadOverride", pos: where(path, key), same });
        }
    }
    return errors;
}

/** Whether any node besides the two sets the key, so that the override may matter at some place. */
function otherSpeaks(tree: Tree, path: NodePath, key: string, same: NodePath): boolean {
    return Object.entries(tree).some(([other, node]) => other !== path && other !== same && node[key] !== undefined);
}

/** A tree that names operators, but none who may edit, could never be edited again. */
function locksOut(tree: Tree): boolean {
    const operators = Object.keys(tree).filter(path => path.startsWith("operator/"));
    return operators.length > 0 && !operators.some(path => tree[path]?.["role"] === "edit");
}
