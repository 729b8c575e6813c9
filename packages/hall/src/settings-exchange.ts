/**
 * How versions of the settings travel between hosts: probes name the version in force; a host that hears of a newer
 * one asks for the parts that it lacks.
 *
 * @module
 */
import {
    completeSnapshot,
    type Head,
    type InForce,
    type PartName,
    partsToRead,
    type Snapshot,
} from "@drumpaddle/settings";

/** What a probe says of the sender's settings. */
export interface VersionNews {
    readonly version: number;
    readonly hash: string;
}

/** Asks for the newest version, naming the hashes of the parts that are already held. */
export interface SettingsAsk {
    readonly have: Readonly<Record<PartName, string>>;
}

/** A version with the parts that the asker lacked. */
export interface SettingsGive {
    readonly head: Head;
    readonly parts: Readonly<Record<PartName, string>>;
}

/** What a probe says of the version in force. */
export function newsOf(inForce: InForce | undefined): VersionNews {
    const head = inForce?.snapshot.head;
    return { version: head?.version ?? 0, hash: head?.hash ?? "" };
}

/**
 * The question to ask after hearing of a version, or undefined where it is not newer.
 *
 * @example
 * ```ts
 * const ask = askAfter(feed.inForce, message.settings);
 * ```
 */
export function askAfter(inForce: InForce | undefined, news: VersionNews): SettingsAsk | undefined {
    const head = inForce?.snapshot.head;
    return news.version > (head?.version ?? 0) ? { have: head?.parts ?? {} } : undefined;
}

/** The answer to a question: the newest head and the parts that the asker lacks; undefined where nothing is known. */
export function give(inForce: InForce | undefined, ask: SettingsAsk): SettingsGive | undefined {
    if (!inForce) return undefined;
    const { head, parts } = inForce.snapshot;
    const lacking = Object.keys(head.parts).filter(name => ask.have[name] !== head.parts[name]);
    return { head, parts: Object.fromEntries(lacking.map(name => [name, parts[name]!])) };
}

/** An answer put together with what is already held; it is judged like any other offer. */
export function takeGiven(inForce: InForce | undefined, given: SettingsGive): Snapshot {
    const missing = partsToRead(inForce, given.head);
    const read = Object.fromEntries(
        missing.flatMap(name => given.parts[name] === undefined ? [] : [[name, given.parts[name]]]),
    );
    return completeSnapshot(inForce, given.head, read);
}
