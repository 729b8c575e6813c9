/**
 * Distribution of settings between hosts. Probes carry the sender's version in force. A host that hears of a newer version requests the
 * parts that it lacks.
 *
 * @module
 */
import {
    completeSnapshot,
    type PartName,
    partsToRead,
    type SettingsInForce,
    type Snapshot,
    type SnapshotHead,
} from "@drumpaddle/settings";

/** The sender's version of the settings, as a probe carries it. */
export interface VersionNews {
    readonly version: number;
    readonly hash: string;
}

/** Requests the newest version. */
export interface SettingsRequest {
    /** Hashes of the parts that the sender already has. */
    readonly have: Readonly<Record<PartName, string>>;
}

/** A version with the parts that the requester lacked. */
export interface SettingsResponse {
    readonly head: SnapshotHead;
    readonly parts: Readonly<Record<PartName, string>>;
}

/** Returns the version in force for a probe. */
export function versionNews(inForce: SettingsInForce | undefined): VersionNews {
    const head = inForce?.snapshot.head;
    return { version: head?.version ?? 0, hash: head?.hash ?? "" };
}

/**
 * Returns the request to send to a peer that has a newer version, or undefined if its version is not newer.
 *
 * @example
 * ```ts
 * const request = settingsRequestFor(feed.inForce, message.settings);
 * ```
 */
export function settingsRequestFor(
    inForce: SettingsInForce | undefined,
    news: VersionNews,
): SettingsRequest | undefined {
    const head = inForce?.snapshot.head;
    return news.version > (head?.version ?? 0) ? { have: head?.parts ?? {} } : undefined;
}

/** Answers a request with the newest head and the parts that the requester lacks, or undefined if no version is in force. */
export function give(inForce: SettingsInForce | undefined, ask: SettingsRequest): SettingsResponse | undefined {
    if (!inForce) return undefined;
    const { head, parts } = inForce.snapshot;
    const lacking = Object.keys(head.parts).filter(name => ask.have[name] !== head.parts[name]);
    return { head, parts: Object.fromEntries(lacking.map(name => [name, parts[name]!])) };
}

/** Assembles a snapshot from a response and the parts in force. The caller validates it like any other offered snapshot. */
export function snapshotFromResponse(inForce: SettingsInForce | undefined, given: SettingsResponse): Snapshot {
    const missing = partsToRead(inForce, given.head);
    const read = Object.fromEntries(
        missing.flatMap(name => given.parts[name] === undefined ? [] : [[name, given.parts[name]]]),
    );
    return completeSnapshot(inForce, given.head, read);
}
