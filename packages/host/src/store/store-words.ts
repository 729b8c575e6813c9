/**
 * What hosts say to each other of the store: how far they are with its changes, and what they hold by its word.
 *
 * @module
 */
import type { KvChange } from "@drumpaddle/protocol";

/** Messages by which hosts share what they hear of the store. */
export type StorePeerMessage =
    /** Told by a watcher of the store: how far it is, and what has just changed. */
    | { readonly kind: "storeWord" } & StoreWord
    /** Asks for all that a peer knows, if it is further than this revision; the deployment, if newer than this version. */
    | { readonly kind: "storeAsk"; readonly revision: number; readonly version: number }
    | { readonly kind: "storeState" } & StoreState
    /** An endpoint has told the sender of a later life than was known. */
    | { readonly kind: "lifeMet"; readonly id: string; readonly born: number };

/** How far a host is with the store's changes. */
export interface StoreStamp {
    /** Below 0 where it knows none. */
    readonly revision: number;
    /** How long ago the store is known to have answered it, or one that it follows, in milliseconds. */
    readonly ageMs: number;
}

/** What a host that watches the store says of it. */
export interface StoreWord {
    /** The store's revision that it is up to date with. */
    readonly revision: number;
    /** Whether the store answers it. */
    readonly hears: boolean;
    /** Where it stood before `changes`. */
    readonly after: number;
    readonly changes: readonly KvChange[];
}

/** All that a host knows by the store's word. */
export interface StoreState {
    readonly revision: number;
    /** How long ago the store is known to have answered the sender, or one that it follows, in milliseconds. */
    readonly ageMs: number;
    /** The deployment in force, as the store holds it; absent where the asker has it. */
    readonly deployment?: string;
    /** The endpoints, as the package `routes` writes them. */
    readonly endpoints: string;
    /** Halls whose evacuation stands. */
    readonly evacuated: readonly string[];
}
