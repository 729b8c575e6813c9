/**
 * Checks of a whole tree, beyond those of single values: required keys, references, overrides without effect, the
 * number of nodes, and that an operator who may edit is left.
 *
 * @module
 */
import type { ParsedTree, SettingsError } from "./ini.js";
import { applicablePaths, type NodePath, type ParsedPath, parsePath } from "./path.js";
import { INHERITED_KEYS, NodeKind, REQUIRED_KEYS } from "./schema.js";
import type { Tree } from "./tree.js";

/**
 * The largest number of nodes in a tree: the planned 3,200 workspaces with room for services, halls, endpoints and
 * keys.
 */
export const MAX_NODES = 40_000;

/**
 * Returns all errors of a tree as a whole, in the order of its nodes. Errors of single values are in `read.errors`.
 *
 * @example
 * ```ts
 * checkTree(parseSettingsFiles(files)).map(describeError);
 * ```
 */
export function checkTree(read: ParsedTree): readonly SettingsError[] {
    const { tree, positionOf } = read;
    const errors: SettingsError[] = [];
    const paths = Object.keys(tree);
    if (paths.length > MAX_NODES) {
        errors.push({ kind: "tooLarge", pos: positionOf("root", ""), found: paths.length, allowed: MAX_NODES });
    }
    for (const path of paths) {
        const parsed = parsePath(path);
        if (!parsed) continue;
        errors.push(
            ...findMissingKeys(read, path, parsed),
            ...findBrokenReferences(read, path, parsed),
            ...findDeadOverrides(read, path, parsed),
        );
    }
    if (hasNoEditor(tree)) errors.push({ kind: "lockout", pos: positionOf("root", "") });
    return errors;
}

/** Whether a path names two or three of workspace, service and hall. */
function isCombination(parsed: ParsedPath): boolean {
    return [parsed.workspace, parsed.service, parsed.hall].filter(part => part !== undefined).length > 1;
}

function findMissingKeys({ tree, positionOf }: ParsedTree, path: NodePath, parsed: ParsedPath): SettingsError[] {
    if (isCombination(parsed)) return [];
    const missingKeys = REQUIRED_KEYS[parsed.kind].filter(key => tree[path]?.[key] === undefined);
    return missingKeys.map(key => ({ kind: "missingKey", pos: positionOf(path, key) }));
}

/**
 * Returns the references from a node to other nodes: the key that holds each, and the path that must exist. A
 * combination refers to each node that its path names; there the key is empty.
 */
function referencesOf(tree: Tree, path: NodePath, parsed: ParsedPath): readonly { key: string; target: NodePath }[] {
    const found: { key: string; target: NodePath }[] = [];
    if (isCombination(parsed)) {
        for (const kind of ["workspace", "service", "hall"] as const) {
            if (parsed[kind] !== undefined) found.push({ key: "", target: `${kind}/${parsed[kind]}` });
        }
        return found;
    }
    const node = tree[path] ?? {};
    for (const kind of ["workspace", "service", "hall"] as const) {
        if (node[kind] !== undefined) found.push({ key: kind, target: `${kind}/${node[kind]}` });
    }
    const models = (node["models"] ?? "").split(",").map(name => name.trim()).filter(name => name !== "");
    return [...found, ...models.map(name => ({ key: "models", target: `model/${name}` }))];
}

function findBrokenReferences({ tree, positionOf }: ParsedTree, path: NodePath, parsed: ParsedPath): SettingsError[] {
    const broken = referencesOf(tree, path, parsed).filter(({ target }) => tree[target] === undefined);
    return broken.map(({ key, target }) => ({
        kind: "badReference",
        pos: positionOf(path, key),
        found: target,
        allowed: "a node that the tree declares",
    }));
}

/** Finds the keys that repeat the value of the only other node that sets them, an ancestor. */
function findDeadOverrides({ tree, positionOf }: ParsedTree, path: NodePath, parsed: ParsedPath): SettingsError[] {
    if (parsed.kind === NodeKind.Root) return [];
    const ancestors = applicablePaths(parsed).filter(other => other !== path);
    const errors: SettingsError[] = [];
    for (const [key, value] of Object.entries(tree[path] ?? {})) {
        if (!Object.hasOwn(INHERITED_KEYS, key) || ancestors.length === 0) continue;
        // With a second ancestor or any other node that sets the key, the override may take effect in some scope.
        const settingAncestors = ancestors.filter(other => tree[other]?.[key] !== undefined);
        const ancestor = settingAncestors[0];
        if (
            settingAncestors.length === 1 && ancestor !== undefined && tree[ancestor]?.[key] === value
            && !isSetElsewhere(tree, path, key, ancestor)
        ) {
            errors.push({ kind: "deadOverride", pos: positionOf(path, key), same: ancestor });
        }
    }
    return errors;
}

/** Whether a node other than these two sets the key, so that the override may take effect in some scope. */
function isSetElsewhere(tree: Tree, path: NodePath, key: string, ancestor: NodePath): boolean {
    return Object.entries(tree).some(([other, node]) =>
        other !== path && other !== ancestor && node[key] !== undefined
    );
}

/** Whether a tree has operators but none with the role `edit`, so that nobody could ever edit it again. */
function hasNoEditor(tree: Tree): boolean {
    const operatorPaths = Object.keys(tree).filter(path => path.startsWith("operator/"));
    return operatorPaths.length > 0 && !operatorPaths.some(path => tree[path]?.["role"] === "edit");
}
