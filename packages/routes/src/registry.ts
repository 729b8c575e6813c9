/**
 * Which endpoints are there, by the word of the platform's store, and which of them take new work.
 *
 * Registrations that vanish while the store is away, or just after, may have lapsed because their owners could not reach
 * it: they are kept for {@link LAPSE_GRACE_MS} after its return, unless the endpoint had said that it leaves.
 *
 * Pure: each function returns the next state. Times are milliseconds on one clock of the caller's choice.
 *
 * @module
 */
import { type EndpointEntry, EndpointState } from "./deployment.js";

/** Registrations of servers that live are back within about two seconds of the store's return (letter 2). */
export const LAPSE_GRACE_MS = 2_000;

/** One endpoint that is or may be there. */
export interface Registered {
    readonly entry: EndpointEntry;
    /** When its registration vanished for a reason that may be the store's; undefined while it stands. */
    readonly lapsedAt: number | undefined;
}

/** All endpoints, and what is known of the store that names them. */
export interface Registry {
    readonly endpoints: ReadonlyMap<string, Registered>;
    /** Endpoints whose registration is gone: what runs there may go on for a while, but nothing new is sent. */
    readonly departed: ReadonlyMap<string, Departed>;
    /** Whether the store has answered since it last failed to. */
    readonly storeAway: boolean;
    /** When the store came back last; undefined if it was never away. */
    readonly storeBackAt: number | undefined;
}

/** An endpoint whose registration is gone. */
export interface Departed {
    readonly entry: EndpointEntry;
    readonly at: number;
}

/** Departed endpoints are remembered for as long as they may still finish what they run. */
export const DEPARTED_KEPT_MS = 30_000;

/** A registration that was written or, with no entry, deleted. */
export interface RegistryChange {
    readonly incarnation: string;
    readonly entry: EndpointEntry | undefined;
}

/** A registry that knows of no endpoint. */
export const EMPTY_REGISTRY: Registry = {
    endpoints: new Map(),
    departed: new Map(),
    storeAway: false,
    storeBackAt: undefined,
};

/** The registry when a call to the store failed. */
export function storeFailed(registry: Registry): Registry {
    return registry.storeAway ? registry : { ...registry, storeAway: true };
}

/** The registry when the store answered. */
export function storeAnswered(registry: Registry, now: number): Registry {
    return registry.storeAway ? { ...registry, storeAway: false, storeBackAt: now } : registry;
}

/** Whether a registration that vanishes now may have lapsed for the store's reasons. */
function mayBeLapse(registry: Registry, now: number): boolean {
    const { storeAway, storeBackAt } = registry;
    return storeAway || storeBackAt !== undefined && now - storeBackAt < LAPSE_GRACE_MS;
}

/**
 * The registry after changes that the store told.
 *
 * @example
 * ```ts
 * applyChanges(registry, [{ incarnation: "i-7", entry: undefined }], now).endpoints.has("i-7");
 * ```
 */
export function applyChanges(registry: Registry, changes: readonly RegistryChange[], now: number): Registry {
    const endpoints = new Map(registry.endpoints);
    for (const { incarnation, entry } of changes) {
        if (entry) endpoints.set(incarnation, { entry, lapsedAt: undefined });
        else vanish(registry, endpoints, incarnation, now);
    }
    return withEndpoints(registry, endpoints, now);
}

/** The registry with other endpoints; those that it had and has no more have departed. */
function withEndpoints(registry: Registry, endpoints: ReadonlyMap<string, Registered>, now: number): Registry {
    const departed = new Map([...registry.departed].filter(([, { at }]) => now - at < DEPARTED_KEPT_MS));
    for (const [incarnation, { entry }] of registry.endpoints) {
        if (!endpoints.has(incarnation)) departed.set(incarnation, { entry, at: now });
    }
    return { ...registry, endpoints, departed };
}

function vanish(registry: Registry, endpoints: Map<string, Registered>, incarnation: string, now: number): void {
    const known = endpoints.get(incarnation);
    if (!known || known.lapsedAt !== undefined) return;
    const stays = mayBeLapse(registry, now) && known.entry.state === EndpointState.Ready;
    if (stays) endpoints.set(incarnation, { ...known, lapsedAt: now });
    else endpoints.delete(incarnation);
}

/** The registry after all registrations were read: what is not among them has vanished. */
export function replaceAll(registry: Registry, entries: readonly EndpointEntry[], now: number): Registry {
    const present = new Set(entries.map(entry => entry.incarnation));
    const missing = [...registry.endpoints.keys()].filter(incarnation => !present.has(incarnation));
    return applyChanges(registry, [
        ...missing.map(incarnation => ({ incarnation, entry: undefined })),
        ...entries.map(entry => ({ incarnation: entry.incarnation, entry })),
    ], now);
}

/**
 * The registry with the endpoints of a host that the store answers, taken over as they are: which of them have lapsed was
 * judged there.
 */
export function adoptEndpoints(registry: Registry, entries: readonly EndpointEntry[], now: number): Registry {
    const endpoints = new Map(entries.map(entry => [entry.incarnation, { entry, lapsedAt: undefined }]));
    return withEndpoints(registry, endpoints, now);
}

/** The registry without the lapsed registrations whose time to come back is over. */
export function expireLapsed(registry: Registry, now: number): Registry {
    if (registry.storeAway) return registry;
    const since = registry.storeBackAt ?? -Infinity;
    const kept = [...registry.endpoints].filter(([, { lapsedAt }]) =>
        lapsedAt === undefined || now - since < LAPSE_GRACE_MS
    );
    return kept.length === registry.endpoints.size ? registry : withEndpoints(registry, new Map(kept), now);
}
