/**
 * The tree cut into parts that are stored as single values, and the head that names a version and its parts.
 *
 * An edit writes the head, the parts that it touched and its audit entry in one transaction.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type NodePath, parsePath } from "./path.js";
import type { Tree } from "./tree.js";

/** Workspaces are spread over this many parts; at 3,200 of them a part holds 50. */
export const WORKSPACE_PARTS = 64;
const HASH_LENGTH = 16;

/** Name of a part, such as `tree` or `workspace-07`. */
export type PartName = string;

/** What names one version of the whole tree. */
export interface Head {
    readonly version: number;
    /** Content hash of each part. */
    readonly parts: Readonly<Record<PartName, string>>;
    /** Hash over all parts. */
    readonly hash: string;
}

function shortHash(value: string): string {
    return createHash("sha256").update(value).digest("hex").slice(0, HASH_LENGTH);
}

/**
 * The part that a node is stored in: by kind, workspaces and keys by a hash of the workspace's name.
 *
 * @example
 * ```ts
 * partOf("endpoint/e1"); // "endpoint"
 * ```
 */
export function partOf(path: NodePath): PartName {
    const parsed = parsePath(path);
    if (parsed?.kind !== "workspace" && parsed?.kind !== "key") return parsed?.kind ?? "root";
    const name = parsed.workspace ?? parsed.name ?? "";
    const slot = createHash("sha256").update(name).digest().readUInt16BE(0) % WORKSPACE_PARTS;
    return `${parsed.kind}-${String(slot).padStart(2, "0")}`;
}

/**
 * Cuts a tree into its parts.
 *
 * @example
 * ```ts
 * Object.keys(splitTree(tree)); // ["root", "hall", "workspace-12", ...]
 * ```
 */
export function splitTree(tree: Tree): Readonly<Record<PartName, Tree>> {
    const partTrees: Record<PartName, Record<NodePath, Tree[string]>> = {};
    for (const path of Object.keys(tree).sort()) (partTrees[partOf(path)] ??= {})[path] = tree[path]!;
    return partTrees;
}

/**
 * A part as it is stored: JSON with its keys in a fixed order, so that equal parts have equal hashes.
 *
 * @example
 * ```ts
 * encodePart({ root: { attempts: "2" } }); // '{"root":{"attempts":"2"}}'
 * ```
 */
export function encodePart(part: Tree): string {
    const sorted = Object.keys(part).sort().map(path => {
        const node = part[path]!;
        return [path, Object.fromEntries(Object.keys(node).sort().map(key => [key, node[key]!]))];
    });
    return JSON.stringify(Object.fromEntries(sorted));
}

/** The content hash of an encoded part. */
export function hashPart(encoded: string): string {
    return shortHash(encoded);
}

/**
 * The head of a version, from its encoded parts.
 *
 * @example
 * ```ts
 * headOf(7, { root: encodePart(part) }).hash;
 * ```
 */
export function headOf(version: number, encoded: Readonly<Record<PartName, string>>): Head {
    const parts = Object.fromEntries(Object.keys(encoded).sort().map(name => [name, hashPart(encoded[name]!)]));
    return { version, parts, hash: shortHash(JSON.stringify(parts)) };
}

/** One version as a whole: its head and its encoded parts. */
export interface Snapshot {
    readonly head: Head;
    readonly parts: Readonly<Record<PartName, string>>;
}

/** A snapshot whose parts are not what its head names. */
export interface SnapshotError {
    readonly kind: "corruptSnapshot";
    readonly part: PartName;
}

/** A snapshot read: the tree of each part, and all of them together. */
export interface JoinedSnapshot {
    readonly partTrees: Readonly<Record<PartName, Tree>>;
    readonly tree: Tree;
}

/** Parts that were read and checked before, by their hash. */
export interface VerifiedParts {
    readonly head: Head;
    readonly partTrees: Readonly<Record<PartName, Tree>>;
}

/**
 * Puts the parts of a snapshot together again, after checking each against the head. Parts that are known from before
 * are not read again: a version differs from the last one in few of them.
 *
 * @example
 * ```ts
 * joinSnapshot(snapshotOf(3, tree)); // { ok: true, joined: { tree, partTrees } }
 * ```
 */
export function joinSnapshot(
    { head, parts }: Snapshot,
    known?: VerifiedParts,
): { readonly ok: true; readonly joined: JoinedSnapshot } | { readonly ok: false; readonly err: SnapshotError } {
    const partTrees: Record<PartName, Tree> = {};
    for (const [name, hash] of Object.entries(head.parts)) {
        const knownPart = known?.head.parts[name] === hash ? known.partTrees[name] : undefined;
        const part = knownPart ?? parseVerifiedPart(parts[name], hash);
        if (!part) return { ok: false, err: { kind: "corruptSnapshot", part: name } };
        partTrees[name] = part;
    }
    return { ok: true, joined: { partTrees, tree: Object.assign({}, ...Object.values(partTrees)) as Tree } };
}

function parseVerifiedPart(encoded: string | undefined, hash: string): Tree | undefined {
    return encoded !== undefined && hashPart(encoded) === hash ? JSON.parse(encoded) as Tree : undefined;
}

/**
 * A tree as a snapshot of a version.
 *
 * @example
 * ```ts
 * snapshotOf(1, { root: {} }).head.version; // 1
 * ```
 */
export function snapshotOf(version: number, tree: Tree): Snapshot {
    const encoded = Object.entries(splitTree(tree)).map(([name, part]) => [name, encodePart(part)] as const);
    const parts = Object.fromEntries(encoded);
    return { head: headOf(version, parts), parts };
}
