/**
 * Splits the tree into parts, each of which is stored as one value, and describes a version by a head with the hashes
 * of its parts.
 *
 * An edit writes the head, the parts that it changed and its audit entry in one transaction.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type NodePath, parsePath } from "./path.js";
import type { Tree } from "./tree.js";

/**
 * The number of parts over which all workspaces are spread by a hash; all keys are spread over as many parts of their own. With
 * 3,200 workspaces a part holds 50 on average.
 */
export const PARTS_PER_HASHED_KIND = 64;
const HASH_LENGTH = 16;

/** Name of a part, such as `root` or `workspace-07`. */
export type PartName = string;

/** Identifies one version of the tree and the contents of its parts. */
export interface SnapshotHead {
    readonly version: number;
    /** Content hash of each part. */
    readonly parts: Readonly<Record<PartName, string>>;
    /** Hash over the names and hashes of all parts. */
    readonly hash: string;
}

function shortHash(value: string): string {
    return createHash("sha256").update(value).digest("hex").slice(0, HASH_LENGTH);
}

/**
 * Returns the part that a node is stored in. Each kind of node has one part, except workspaces (with their
 * combinations) and keys, which are spread by a hash of their name. An invalid path belongs to the part `root`.
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
    const slot = createHash("sha256").update(name).digest().readUInt16BE(0) % PARTS_PER_HASHED_KIND;
    return `${parsed.kind}-${String(slot).padStart(2, "0")}`;
}

/**
 * Splits a tree into its parts.
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
 * Encodes a part as it is stored: JSON with its keys sorted, so that equal parts have equal hashes.
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

/** Returns the content hash of an encoded part. */
export function hashPart(encoded: string): string {
    return shortHash(encoded);
}

/**
 * Returns the head of a version with these encoded parts.
 *
 * @example
 * ```ts
 * headOf(7, { root: encodePart(part) }).hash;
 * ```
 */
export function headOf(version: number, encoded: Readonly<Record<PartName, string>>): SnapshotHead {
    const parts = Object.fromEntries(Object.keys(encoded).sort().map(name => [name, hashPart(encoded[name]!)]));
    return { version, parts, hash: shortHash(JSON.stringify(parts)) };
}

/** A complete version: its head and its encoded parts. */
export interface Snapshot {
    readonly head: SnapshotHead;
    readonly parts: Readonly<Record<PartName, string>>;
}

/** A part of a snapshot is missing, or does not match its hash in the head. */
export interface SnapshotError {
    readonly kind: "corruptSnapshot";
    readonly part: PartName;
}

/** A decoded snapshot: the tree of each part, and the whole tree. */
export interface JoinedSnapshot {
    readonly partTrees: Readonly<Record<PartName, Tree>>;
    readonly tree: Tree;
}

/** Parts that were decoded and checked before, with the head that has their hashes. */
export interface VerifiedParts {
    readonly head: SnapshotHead;
    readonly partTrees: Readonly<Record<PartName, Tree>>;
}

/**
 * Joins the parts of a snapshot into one tree, after checking each against its hash in the head. Parts in `known` with
 * the same hash are not decoded again, because a version differs from the one before it in only a few.
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
 * Encodes a tree as the snapshot of a version.
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
