/**
 * Decides whether a host replaces its version of the settings by an offered one. It does so only if the offered version
 * is newer and all its parts match their hashes, whether the version was read from the store or sent by a peer.
 *
 * @module
 */
import { joinSnapshot, type PartName, type Snapshot, type SnapshotHead } from "./parts.js";
import type { Tree } from "./tree.js";

/** The version of the settings in force at a host. */
export interface SettingsInForce {
    readonly snapshot: Snapshot;
    readonly partTrees: Readonly<Record<PartName, Tree>>;
    readonly tree: Tree;
    /** When the version came into force at this host, in milliseconds since 1970. */
    readonly since: number;
}

/**
 * The result of offering a version to a host. `fork` means that two versions with the same number have different
 * contents, which must never happen.
 */
export type AdoptResult =
    | { readonly kind: "adopted"; readonly inForce: SettingsInForce }
    | { readonly kind: "same" }
    | { readonly kind: "older"; readonly offered: number; readonly inForce: number }
    | { readonly kind: "fork"; readonly version: number }
    | { readonly kind: "corrupt"; readonly part: PartName };

/**
 * Compares an offered version with the one in force and, if it is newer and complete, returns it as the one to put in
 * force. Without a version in force, any complete version is adopted.
 *
 * @example
 * ```ts
 * adoptSnapshot(undefined, snapshotOf(1, tree), Date.now()).kind; // "adopted"
 * ```
 */
export function adoptSnapshot(current: SettingsInForce | undefined, offered: Snapshot, now: number): AdoptResult {
    const rejection = checkHead(current, offered.head);
    if (rejection) return rejection;
    const known = current && { head: current.snapshot.head, partTrees: current.partTrees };
    const joinResult = joinSnapshot(offered, known);
    if (!joinResult.ok) return { kind: "corrupt", part: joinResult.err.part };
    return { kind: "adopted", inForce: { snapshot: offered, ...joinResult.joined, since: now } };
}

/**
 * Returns why a version with this head is not adopted; undefined if it is newer than the one in force, or if none is in
 * force.
 */
export function checkHead(
    current: SettingsInForce | undefined,
    head: SnapshotHead,
): Exclude<AdoptResult, { kind: "adopted" }> | undefined {
    if (!current) return undefined;
    const inForce = current.snapshot.head;
    if (head.version < inForce.version) return { kind: "older", offered: head.version, inForce: inForce.version };
    if (head.version > inForce.version) return undefined;
    return head.hash === inForce.hash ? { kind: "same" } : { kind: "fork", version: head.version };
}

/**
 * Returns the names of the parts whose contents differ from those in force, which must therefore be fetched.
 *
 * @example
 * ```ts
 * partsToRead(inForce, head); // ["workspace-12"] after an edit of one workspace
 * ```
 */
export function partsToRead(current: SettingsInForce | undefined, head: SnapshotHead): readonly PartName[] {
    return Object.keys(head.parts).filter(name => current?.snapshot.head.parts[name] !== head.parts[name]);
}

/** Builds the snapshot of a head from the parts that were just fetched and, for all others, the parts in force. */
export function completeSnapshot(
    current: SettingsInForce | undefined,
    head: SnapshotHead,
    fetched: Readonly<Record<PartName, string>>,
): Snapshot {
    const parts: Record<PartName, string> = {};
    for (const name of Object.keys(head.parts)) {
        const encoded = fetched[name] ?? current?.snapshot.parts[name];
        if (encoded !== undefined) parts[name] = encoded;
    }
    return { head, parts };
}
