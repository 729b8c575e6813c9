/**
 * What a host knows of endpoints and evacuated halls by the word of the platform's store.
 *
 * @module
 */
import type { EndpointEntry } from "./deployment.js";
import { type HallChange, type HallOrders, NO_ORDERS } from "./evacuation.js";

/** One endpoint that is or may be there. */
export interface Registered {
    readonly entry: EndpointEntry;
    /** When its registration vanished for a reason that may be the store's; undefined while it stands. */
    readonly lapsedAt: number | undefined;
    /** When its registration was last heard to say what it says of its state and warmth. */
    readonly saidAt: number;
}

/** All endpoints, and what is known of the store that names them. */
export interface Registry {
    /** By the names of their lives; of one endpoint no more than its latest. */
    readonly endpoints: ReadonlyMap<string, Registered>;
    /** Endpoints whose registration is gone, by the names of their lives: nothing new is sent to them. */
    readonly departed: ReadonlyMap<string, Departed>;
    /** The latest life that is known of each endpoint, by its id; also of one that has departed, so that none comes back. */
    readonly latest: ReadonlyMap<string, EndpointEntry>;
    /** Whether the store has answered since it last failed to. */
    readonly storeAway: boolean;
    /** When the store came back last; undefined if it was never away. */
    readonly storeBackAt: number | undefined;
    /** When the store was last found to have come back from an older copy; undefined if it never was. */
    readonly restoredAt: number | undefined;
    /** What such a copy says against what is known, until its writers have written again. */
    readonly deferred: readonly RegistryChange[];
    /** Halls that take nothing new. */
    readonly halls: HallOrders;
}

/** An endpoint whose registration is gone. */
export interface Departed {
    readonly entry: EndpointEntry;
    readonly at: number;
    /** Whether it has begun a later life, so that nothing of this one is left; what runs at others may go on for a while. */
    readonly isOver: boolean;
}

/** What became of an endpoint's registration, or of a hall's evacuation. */
export type RegistryChange =
    | HallChange
    | { readonly kind: "registered"; readonly entry: EndpointEntry }
    /** It was deleted, or ran out. */
    | { readonly kind: "gone"; readonly id: string }
    /** It stands there and cannot be read: the endpoint takes nothing new, and what runs there goes on. */
    | { readonly kind: "unreadable"; readonly id: string };

/** A registry that knows of no endpoint. */
export const EMPTY_REGISTRY: Registry = {
    endpoints: new Map(),
    departed: new Map(),
    latest: new Map(),
    storeAway: false,
    storeBackAt: undefined,
    restoredAt: undefined,
    deferred: [],
    halls: NO_ORDERS,
};
