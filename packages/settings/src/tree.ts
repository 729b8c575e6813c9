/**
 * The tree of settings, and the values that apply to a scope.
 *
 * @module
 */
import { applicablePaths, type NodePath, parsePath, type Scope } from "./path.js";
import { INHERITED_KEYS, type InheritedKey, type InheritedValue, keyDef, NodeKind } from "./schema.js";

/** The values of one node by key, as written by an operator. */
export type TreeNode = Readonly<Record<string, string>>;
/** All nodes by path. Values are kept as text, so that a difference between two trees shows what an operator typed. */
export type Tree = Readonly<Record<NodePath, TreeNode>>;

/** The value of a key that applies to a scope, with the node that sets it. */
export interface ExplainedValue {
    readonly key: string;
    readonly value: string;
    /** Path of the node that sets the value, or `default` if no node sets it. */
    readonly from: NodePath;
    /** The nodes of lower precedence that set the key too, in order of precedence. */
    readonly overridden: readonly { readonly path: NodePath; readonly value: string }[];
}

/** The value of every inherited key for one scope. */
export type Settings = { readonly [K in InheritedKey]: InheritedValue<K> };

/** A tree without nodes. */
export const EMPTY_TREE: Tree = Object.freeze({});

/**
 * Returns the value of a key for a scope, the node that sets it, and the values that it overrides.
 *
 * @example
 * ```ts
 * explainValue({ root: { attempts: "2" } }, "attempts", {}).from; // "root"
 * ```
 */
export function explainValue(tree: Tree, key: InheritedKey, scope: Scope): ExplainedValue {
    const candidates = applicablePaths(scope).flatMap(path => {
        const value = tree[path]?.[key];
        return value === undefined ? [] : [{ path, value }];
    });
    const [nearest, ...overridden] = candidates;
    if (!nearest) return { key, value: String(INHERITED_KEYS[key].defaultValue), from: "default", overridden };
    return { key, value: nearest.value, from: nearest.path, overridden };
}

/**
 * Returns all inherited settings for a scope. An invalid value, which a checked tree does not have, is
 * replaced by the default of its key.
 *
 * @example
 * ```ts
 * settingsAt({ root: { attempts: "2" } }, { hall: "k1" }).attempts; // 2
 * ```
 */
export function settingsAt(tree: Tree, scope: Scope): Settings {
    const paths = applicablePaths(scope);
    const entries = (Object.keys(INHERITED_KEYS) as InheritedKey[]).map(key => {
        const rawValue = paths.map(path => tree[path]?.[key]).find(value => value !== undefined);
        const read = rawValue === undefined ? undefined : INHERITED_KEYS[key].type.read(rawValue);
        return [key, read?.ok ? read.value : INHERITED_KEYS[key].defaultValue];
    });
    return Object.fromEntries(entries) as Settings;
}

/** A node with its name and its parsed values. */
export interface NamedNode {
    /** The name that the path contains, such as `e1` in `endpoint/e1`. */
    readonly name: string;
    readonly values: Readonly<Record<string, unknown>>;
}

/**
 * Returns all nodes of a kind with their parsed values. It is meant for kinds that take no part in inheritance: models,
 * endpoints, keys, operators. Invalid values are left out.
 *
 * @example
 * ```ts
 * namedNodes(tree, "endpoint").map(node => node.values["url"]);
 * ```
 */
export function namedNodes(tree: Tree, kind: NodeKind): readonly NamedNode[] {
    const nodes: NamedNode[] = [];
    for (const [path, node] of Object.entries(tree)) {
        // Skips most nodes without the cost of parsing their paths.
        if (!path.startsWith(kind)) continue;
        const parsed = parsePath(path);
        if (parsed?.kind !== kind) continue;
        const name = parsed.name ?? parsed.workspace ?? parsed.service ?? parsed.hall ?? NodeKind.Root;
        nodes.push({ name, values: readValues(kind, node) });
    }
    return nodes;
}

function readValues(kind: NodeKind, node: TreeNode): Readonly<Record<string, unknown>> {
    const values: Record<string, unknown> = {};
    for (const [key, rawValue] of Object.entries(node)) {
        const read = keyDef(kind, key)?.type.read(rawValue);
        if (read?.ok) values[key] = read.value;
    }
    return values;
}
