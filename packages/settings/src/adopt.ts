/**
 * Which version a host has in force, and when it takes another: only a newer and whole one. The decision is the same
 * wherever the version comes from, the platform's service or a peer.
 *
 * @module
 */
import { type Head, joinSnapshot, type PartName, type Snapshot } from "./parts.js";
import type { Tree } from "./tree.js";

/** The version in force at a host. */
export interface InForce {
    readonly snapshot: Snapshot;
    readonly partTrees: Readonly<Record<PartName, Tree>>;
    readonly tree: Tree;
    /** When it came into force, in milliseconds since 1970. */
    readonly since: number;
}

/** What became of an offered version. `fork`: the same number with other contents, which must never be. */
export type AdoptResult =
    | { readonly kind: "adopted"; readonly inForce: InForce }
    | { readonly kind: "same" }
    | { readonly kind: "older"; readonly offered: number; readonly inForce: number }
    | { readonly kind: "fork"; readonly version: number }
    | { readonly kind: "corrupt"; readonly part: PartName };

/**
 * Judges an offered version against the one in force.
 *
 * @example
 * ```ts
 * adopt(undefined, snapshotOf(1, tree), Date.now()).kind; // "adopted"
 * ```
 */
export function adopt(current: InForce | undefined, offered: Snapshot, now: number): AdoptResult {
    const rejection = judgeHead(current, offered.head);
    if (rejection) return rejection;
    const known = current && { head: current.snapshot.head, partTrees: current.partTrees };
    const joinResult = joinSnapshot(offered, known);
    if (!joinResult.ok) return { kind: "corrupt", part: joinResult.err.part };
    return { kind: "adopted", inForce: { snapshot: offered, ...joinResult.joined, since: now } };
}

/** Why a head need not be followed, or undefined where it is newer. */
export function judgeHead(
    current: InForce | undefined,
    head: Head,
): Exclude<AdoptResult, { kind: "adopted" }> | undefined {
    if (!current) return undefined;
    const active = current.snapshot.head;
    if (head.version < active.version) return { kind: "older", offered: head.version, inForce: active.version };
    if (head.version > active.version) return undefined;
    return head.hash === active.hash ? { kind: "same" } : { kind: "fork", version: head.version };
}

/**
 * The parts of a head that the version in force does not already hold.
 *
 * @example
 * ```ts
 * partsToRead(inForce, head); // ["workspace-12"] after an edit of one workspace
 * ```
 */
export function partsToRead(current: InForce | undefined, head: Head): readonly PartName[] {
    return Object.keys(head.parts).filter(name => current?.snapshot.head.parts[name] !== head.parts[name]);
}

/** A snapshot of a head from parts just read and parts already held. */
export function completeSnapshot(
    current: InForce | undefined,
    head: Head,
    fetched: Readonly<Record<PartName, string>>,
): Snapshot {
    const parts: Record<PartName, string> = {};
    for (const name of Object.keys(head.parts)) {
        const encoded = fetched[name] ?? current?.snapshot.parts[name];
        if (encoded !== undefined) parts[name] = encoded;
    }
    return { head, parts };
}
