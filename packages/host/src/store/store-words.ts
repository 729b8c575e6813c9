/**
 * What hosts say to each other of the store: how far they are with its changes, and what they hold by its word.
 *
 * @module
 */
import type { StorePosition, StoreProgress } from "@drumpaddle/hall";
import type { KvChange } from "@drumpaddle/protocol";

/** Messages by which hosts share what they hear of the store. */
export type StorePeerMessage =
    /** Told by a watcher of the store: how far it is, and what has just changed. */
    | { readonly kind: "storeWord" } & StoreWord
    /** Asks for all that a peer knows, if it is further than the asker; the deployment, if it is newer. */
    | { readonly kind: "storeAsk" } & StoreProgress
    | { readonly kind: "storeState" } & StoreState
    /** An endpoint has told the sender of a later life than was known. */
    | { readonly kind: "lifeMet"; readonly id: string; readonly born: number };

/**
 * How far a host is with what the store tells ({@link StoreProgress}), and how many milliseconds ago the store is known to have answered
 * it or one that it follows. Without names, as every probe carries it.
 */
export type StoreStamp = readonly [epoch: number, revision: number, version: number, ageMs: number];

/** What a host that watches the store says of it: its position is the one that the host is up to date with. */
export interface StoreWord extends StorePosition {
    /** Whether the store answers it. */
    readonly hears: boolean;
    /** The revision, in the same epoch, that it was up to date with before `changes`. */
    readonly after: number;
    readonly changes: readonly KvChange[];
}

/** All that a host knows by the store's word, up to a position. */
export interface StoreState extends StorePosition {
    /** How long ago the store is known to have answered the sender, or one that it follows, in milliseconds. */
    readonly ageMs: number;
    /** The deployment in force, as the store holds it; absent where the asker has it. */
    readonly deployment?: string;
    /** The endpoints, as the package `routes` writes them. */
    readonly endpoints: string;
    /** Halls whose evacuation stands. */
    readonly evacuated: readonly string[];
}
