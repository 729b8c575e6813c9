/**
 * The tree of settings as a value, and what holds at a place in it.
 *
 * @module
 */
import { lineage, type NodePath, parsePath, type Scope } from "./path.js";
import { INHERITED, type InheritedKey, type InheritedValue, keyDef, NodeKind } from "./schema.js";

/** Written values of one node by key. */
export type TreeNode = Readonly<Record<string, string>>;
/** All nodes by path. Values stay as they were written, so that a difference shows what an operator typed. */
export type Tree = Readonly<Record<NodePath, TreeNode>>;

/** A value in force with the node that it came from. */
export interface ExplainedValue {
    readonly key: string;
    readonly value: string;
    /** Path of the node, or `default`. */
    readonly from: NodePath;
    /** Nodes further up that say something else, the nearest first. */
    readonly overridden: readonly { readonly path: NodePath; readonly value: string }[];
}

/** Every inherited key with its value at one place. */
export type Settings = { readonly [K in InheritedKey]: InheritedValue<K> };

/** The empty tree. */
export const EMPTY: Tree = Object.freeze({});

/**
 * Which value of a key holds at a place, and why.
 *
 * @example
 * ```ts
 * explain({ root: { attempts: "2" } }, "attempts", {}).from; // "root"
 * ```
 */
export function explain(tree: Tree, key: InheritedKey, scope: Scope): ExplainedValue {
    const setValues = lineage(scope).flatMap(path => {
        const value = tree[path]?.[key];
        return value === undefined ? [] : [{ path, value }];
    });
    const [nearest, ...overridden] = setValues;
    if (!nearest) return { key, value: String(INHERITED[key].fallback), from: "default", overridden };
    return { key, value: nearest.value, from: nearest.path, overridden };
}

/**
 * All inherited settings at a place. The tree must have been checked: a value that cannot be read falls back.
 *
 * @example
 * ```ts
 * settingsAt({ root: { attempts: "2" } }, { hall: "k1" }).attempts; // 2
 * ```
 */
export function settingsAt(tree: Tree, scope: Scope): Settings {
    const paths = lineage(scope);
    const entries = (Object.keys(INHERITED) as InheritedKey[]).map(key => {
        const rawValue = paths.map(path => tree[path]?.[key]).find(value => value !== undefined);
        const read = rawValue === undefined ? undefined : INHERITED[key].type.read(rawValue);
        return [key, read?.ok ? read.value : INHERITED[key].fallback];
    });
    return Object.fromEntries(entries) as Settings;
}

/** One node of a kind that has a name of its own, with its values read. */
export interface NamedNode {
    readonly name: string;
    readonly values: Readonly<Record<string, unknown>>;
}

/**
 * All nodes of a kind that is not inherited (models, endpoints, keys, operators), with their own values read.
 *
 * @example
 * ```ts
 * namedNodes(tree, "endpoint").map(node => node.values["url"]);
 * ```
 */
export function namedNodes(tree: Tree, kind: NodeKind): readonly NamedNode[] {
    const found: NamedNode[] = [];
    for (const [path, node] of Object.entries(tree)) {
        // The prefix tells most nodes apart without taking their paths apart.
        if (!path.startsWith(kind)) continue;
        const parsed = parsePath(path);
        if (parsed?.kind !== kind) continue;
        const name = parsed.name ?? parsed.workspace ?? parsed.service ?? parsed.hall ?? NodeKind.Root;
        found.push({ name, values: readValues(kind, node) });
    }
    return found;
}

function readValues(kind: NodeKind, node: TreeNode): Readonly<Record<string, unknown>> {
    const values: Record<string, unknown> = {};
    for (const [key, rawValue] of Object.entries(node)) {
        const read = keyDef(kind, key)?.type.read(rawValue);
        if (read?.ok) values[key] = read.value;
    }
    return values;
}
