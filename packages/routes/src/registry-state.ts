/**
 * The state of the registry: what a host knows of endpoints and evacuated halls from the platform's store.
 *
 * @module
 */
import type { EndpointEntry } from "./deployment.js";
import { type HallEvacuationChange, type HallEvacuations, NO_EVACUATIONS } from "./evacuation.js";

/** An endpoint whose registration exists or may have lapsed during an outage of the store. */
export interface RegisteredEndpoint {
    readonly entry: EndpointEntry;
    /** When the registration vanished, if an outage of the store may be the cause; undefined while it exists. */
    readonly lapsedAt: number | undefined;
    /** When the host learnt of the registration's current `state` and `coldMs`. */
    readonly announcedAt: number;
}

/** All endpoints, and the state of the store that lists them. */
export interface Registry {
    /** By incarnation; contains only the latest incarnation of each endpoint. */
    readonly endpoints: ReadonlyMap<string, RegisteredEndpoint>;
    /** Endpoints whose registration is gone, by incarnation. They receive no new calls. */
    readonly departed: ReadonlyMap<string, DepartedEndpoint>;
    /** The latest known incarnation of each endpoint, by id. Includes departed endpoints, so that no earlier incarnation is accepted again. */
    readonly latest: ReadonlyMap<string, EndpointEntry>;
    /** Whether the last call to the store failed. */
    readonly isStoreAway: boolean;
    /** When the store had last answered before it failed; undefined if it never failed. */
    readonly awaySince: number | undefined;
    /** When the store last answered again after an outage in which registrations may have lapsed; undefined if there was none. */
    readonly storeBackAt: number | undefined;
    /** When the host last found the store restored from an older copy; undefined if it never was. */
    readonly restoredAt: number | undefined;
    /** Changes that contradict later knowledge and come from such a copy; see {@link SETTLE_MS}. */
    readonly deferred: readonly RegistryChange[];
    /** The evacuated halls, which receive no new calls. */
    readonly halls: HallEvacuations;
}

/** An endpoint whose registration is gone. */
export interface DepartedEndpoint {
    readonly entry: EndpointEntry;
    readonly at: number;
    /** Whether a later incarnation has replaced this one, which ends its calls. Calls at other departed endpoints may still finish. */
    readonly isOver: boolean;
}

/** A change of an endpoint's registration or of a hall's evacuation. */
export type RegistryChange =
    | HallEvacuationChange
    | { readonly kind: "registered"; readonly entry: EndpointEntry }
    /** The registration was deleted, or its lease expired. */
    | { readonly kind: "gone"; readonly id: string }
    /** The registration exists but cannot be decoded: the endpoint receives no new calls; running ones continue. */
    | { readonly kind: "unreadable"; readonly id: string };

/** A registry without endpoints. */
export const EMPTY_REGISTRY: Registry = {
    endpoints: new Map(),
    departed: new Map(),
    latest: new Map(),
    isStoreAway: false,
    awaySince: undefined,
    storeBackAt: undefined,
    restoredAt: undefined,
    deferred: [],
    halls: NO_EVACUATIONS,
};
