/**
 * Messages by which hosts share the store's changes: how far each is with them, and the state that follows from them.
 *
 * @module
 */
import type { StorePosition, StoreProgress } from "@drumpaddle/hall";
import type { KvChange } from "@drumpaddle/protocol";

/** A message about the store from one host to another. */
export type StorePeerMessage =
    /** Sent by a watcher of the store: its position, and what has just changed. */
    | { readonly kind: "storeWord" } & StoreUpdate
    /** Asks for a peer's whole state if it is ahead of the sender; the deployment only if it is newer. */
    | { readonly kind: "storeAsk" } & StoreProgress
    /** The reply to `storeAsk`. */
    | { readonly kind: "storeState" } & StoreState
    /** An endpoint has reported a later incarnation to the sender than was known. */
    | { readonly kind: "lifeMet"; readonly id: string; readonly born: number };

/**
 * How far a host is with the store ({@link StoreProgress}), and how many milliseconds ago the store is known to have answered it or
 * a host that it follows. A tuple, to keep it small: every probe carries it.
 */
export type StoreStamp = readonly [epoch: number, revision: number, version: number, ageMs: number];

/** A watcher's update: its position, up to which it knows all changes, and the latest changes. */
export interface StoreUpdate extends StorePosition {
    /** Whether the store answers the watcher. */
    readonly hears: boolean;
    /** The revision, in the same epoch, up to which the watcher was up to date before `changes`. */
    readonly after: number;
    readonly changes: readonly KvChange[];
}

/** All that a host knows from the store, at a position in the store's history. */
export interface StoreState extends StorePosition {
    /** How many milliseconds ago the store is known to have answered the sender or a host that it follows. */
    readonly ageMs: number;
    /** The deployment in force, as the store holds it; absent if the asker has it. */
    readonly deployment?: string;
    /** The endpoints, as the package `routes` encodes them. */
    readonly endpoints: string;
    /** Halls that are evacuated. */
    readonly evacuated: readonly string[];
}
