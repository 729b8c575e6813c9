/**
 * Derives from the platform's store which endpoints exist and which of them accept new calls.
 *
 * A registration that vanishes during an outage of the store, or just after, may have expired because the endpoint could not
 * reach the store. It is kept for {@link LAPSE_GRACE_MS} after the store answers again, unless the endpoint had announced
 * that it is leaving.
 *
 * An endpoint that restarts under the same id begins a new incarnation. The earlier one is over as soon as the host learns
 * of the later one from any source; late reports of the earlier one are ignored.
 *
 * The functions are pure and return the next state. Times are milliseconds on any one clock.
 *
 * @module
 */
import { type EndpointEntry, EndpointState } from "./deployment.js";
import { applyEvacuationChange, type HallEvacuationChange, replaceEvacuations } from "./evacuation.js";
import { compareIncarnations, type IncarnationId, incarnationOf, IncarnationOrder } from "./incarnation.js";
import type { DepartedEndpoint, RegisteredEndpoint, Registry, RegistryChange } from "./registry-state.js";
import { reconcileContents, remainingDeferred, RESTORE_GRACE_MS } from "./store-restore.js";

/** After an outage of the store, live endpoints have registered again within about two seconds. */
export const LAPSE_GRACE_MS = 2_000;

/** How long departed endpoints are remembered: the time in which they may still finish their calls. */
export const DEPARTED_TTL_MS = 30_000;

/**
 * A waiting watch may be cut at any time, although the store answers the next call at once. If it is all that got no answer, it is no
 * outage unless nobody heard of the store for this long.
 */
const MIN_OUTAGE_MS = 1_400;

/**
 * Records that a call to the store failed.
 *
 * @param answeredAt When the store had last answered, if the call was a waiting watch. Any other failed call shows an outage.
 */
export function storeFailed(registry: Registry, answeredAt = -Infinity): Registry {
    const awaySince = registry.isStoreAway ? Math.min(registry.awaySince ?? -Infinity, answeredAt) : answeredAt;
    const isKnown = registry.isStoreAway && awaySince === registry.awaySince;
    return isKnown ? registry : { ...registry, isStoreAway: true, awaySince };
}

/** Records that the store answered. */
export function storeAnswered(registry: Registry, now: number): Registry {
    if (!registry.isStoreAway) return registry;
    const hasLapsing = now - (registry.awaySince ?? -Infinity) >= MIN_OUTAGE_MS;
    return { ...registry, isStoreAway: false, storeBackAt: hasLapsing ? now : registry.storeBackAt };
}

/** Records that the store was restored from an older copy, which lacks what was written since. */
export function storeRestored(registry: Registry, now: number): Registry {
    return { ...registry, isStoreAway: false, storeBackAt: now, restoredAt: now, deferred: [] };
}

/** Whether an outage of the store may be the reason why a registration vanishes now. */
function mayHaveLapsed(registry: Registry, now: number): boolean {
    const { isStoreAway, storeBackAt } = registry;
    return isStoreAway || storeBackAt !== undefined && now - storeBackAt < LAPSE_GRACE_MS;
}

/**
 * Applies changes that the store has reported. Registrations of earlier incarnations than the latest known are ignored.
 *
 * @example
 * ```ts
 * applyChanges(registry, [{ kind: "gone", id: "i-7" }], now).endpoints.has("i-7");
 * ```
 */
export function applyChanges(registry: Registry, changes: readonly RegistryChange[], now: number): Registry {
    const isEvacuationChange = (change: RegistryChange): change is HallEvacuationChange =>
        change.kind === "evacuated" || change.kind === "reopened";
    const evacuationChanges = changes.filter(isEvacuationChange);
    const halls = evacuationChanges.reduce((sum, change) => applyEvacuationChange(sum, change, now), registry.halls);
    const deferred = remainingDeferred(registry.deferred, changes);
    const draft = draftOf(registry);
    for (const change of changes) if (!isEvacuationChange(change)) applyChange(draft, change, now);
    return withEndpoints({ ...registry, halls, deferred }, draft, now);
}

/** Mutable copies of the maps that a series of changes modifies. */
interface RegistryDraft {
    readonly registry: Registry;
    readonly endpoints: Map<string, RegisteredEndpoint>;
    readonly latest: Map<string, EndpointEntry>;
}

function draftOf(registry: Registry): RegistryDraft {
    return { registry, endpoints: new Map(registry.endpoints), latest: new Map(registry.latest) };
}

function applyChange(draft: RegistryDraft, change: Exclude<RegistryChange, HallEvacuationChange>, now: number): void {
    if (change.kind === "registered") return addRegistration(draft, change.entry, now);
    const known = draft.latest.get(change.id);
    if (known) removeRegistration(draft, known.incarnation, change.kind === "gone", now);
}

function addRegistration({ registry, endpoints, latest }: RegistryDraft, entry: EndpointEntry, now: number): void {
    const known = latest.get(entry.id);
    const order = known ? compareIncarnations(entry, known) : IncarnationOrder.Later;
    if (order === IncarnationOrder.Earlier) return;
    // An entry without a start time keeps the name under which its incarnation is already known.
    const accepted = known && order === IncarnationOrder.Same
        ? { ...entry, incarnation: known.incarnation, born: known.born ?? entry.born }
        : entry;
    if (known && order === IncarnationOrder.Later) endpoints.delete(known.incarnation);
    endpoints.set(accepted.incarnation, {
        entry: accepted,
        lapsedAt: undefined,
        announcedAt: announcedAtOf(registry, accepted, now),
    });
    latest.set(accepted.id, accepted);
}

/** When the entry's `state` and `coldMs` became known: now, unless the known registration already has both. */
function announcedAtOf({ endpoints }: Registry, { incarnation, coldMs, state }: EndpointEntry, now: number): number {
    const known = endpoints.get(incarnation);
    return known && known.entry.coldMs === coldMs && known.entry.state === state ? known.announcedAt : now;
}

function removeRegistration(
    { registry, endpoints }: RegistryDraft,
    incarnation: string,
    mayLapse: boolean,
    now: number,
): void {
    const known = endpoints.get(incarnation);
    if (!known || mayLapse && known.lapsedAt !== undefined) return;
    if (mayLapse && isKeptWhenGone(registry, known, now)) endpoints.set(incarnation, { ...known, lapsedAt: now });
    else endpoints.delete(incarnation);
}

/** Whether an endpoint stays in use for a while although its registration is gone. */
function isKeptWhenGone(registry: Registry, { entry }: RegisteredEndpoint, now: number): boolean {
    return mayHaveLapsed(registry, now) && entry.state === EndpointState.Ready;
}

/** Replaces the endpoints; those that are missing from the new ones have departed. */
function withEndpoints(
    registry: Registry,
    { endpoints, latest }: Pick<RegistryDraft, "endpoints" | "latest">,
    now: number,
): Registry {
    const isOver = (entry: EndpointEntry): boolean => latest.get(entry.id)?.incarnation !== entry.incarnation;
    const departed = new Map<string, DepartedEndpoint>();
    for (const [incarnation, { entry, at }] of registry.departed) {
        const isBack = endpoints.has(incarnation);
        if (!isBack && now - at < DEPARTED_TTL_MS) departed.set(incarnation, { entry, at, isOver: isOver(entry) });
    }
    for (const [incarnation, { entry }] of registry.endpoints) {
        if (!endpoints.has(incarnation)) departed.set(incarnation, { entry, at: now, isOver: isOver(entry) });
    }
    const remembered = new Set([...endpoints.values(), ...departed.values()].map(({ entry }) => entry.id));
    const kept = [...latest].filter(([id]) => remembered.has(id));
    return { ...registry, endpoints, departed, latest: new Map(kept) };
}

/**
 * Applies a complete read of the store: registrations that it lacks have vanished.
 *
 * @param unreadable Ids of endpoints whose registrations exist but cannot be decoded.
 * @param evacuated Halls that are evacuated according to the store.
 */
export function replaceRegistrations(
    registry: Registry,
    entries: readonly EndpointEntry[],
    unreadable: readonly string[],
    evacuated: readonly string[],
    now: number,
): Registry {
    const contents = reconcileContents(registry, { entries, evacuated }, now);
    const halls = replaceEvacuations(registry.halls, contents.evacuated, now);
    const present = new Set([...entries.map(({ id }) => id), ...unreadable]);
    const missing = [...registry.endpoints.values()].filter(({ entry }) => !present.has(entry.id));
    const next = applyChanges({ ...registry, halls }, [
        ...missing.map(({ entry: { id } }): RegistryChange => ({ kind: "gone", id })),
        ...unreadable.map((id): RegistryChange => ({ kind: "unreadable", id })),
        ...contents.entries.map((entry): RegistryChange => ({ kind: "registered", entry })),
    ], now);
    return { ...next, deferred: contents.deferred };
}

/**
 * Adopts the registrations that a peer which can reach the store has read there. Those that the peer lacks have vanished, as in a
 * read of this host. Later incarnations that this host knows are kept.
 */
export function adoptPeerEndpoints(
    registry: Registry,
    entries: readonly EndpointEntry[],
    evacuated: readonly string[],
    now: number,
): Registry {
    const contents = reconcileContents(registry, { entries, evacuated }, now);
    const halls = replaceEvacuations(registry.halls, contents.evacuated, now);
    const draft: RegistryDraft = { registry, endpoints: new Map(), latest: new Map(registry.latest) };
    for (const entry of contents.entries) {
        addRegistration(draft, entry, now);
        const latest = draft.latest.get(entry.id)!;
        const known = registry.endpoints.get(latest.incarnation);
        if (known && !draft.endpoints.has(latest.incarnation)) draft.endpoints.set(latest.incarnation, known);
    }
    const present = new Set(contents.entries.map(({ id }) => id));
    for (const [incarnation, known] of registry.endpoints) {
        if (!present.has(known.entry.id) && isKeptWhenGone(registry, known, now)) {
            draft.endpoints.set(incarnation, { ...known, lapsedAt: known.lapsedAt ?? now });
        }
    }
    return withEndpoints({ ...registry, halls, deferred: contents.deferred }, draft, now);
}

/**
 * Records an incarnation that the endpoint itself or a peer has reported. If it is later than the known one, it replaces that one,
 * with the known registration's data until its own registration arrives; otherwise nothing changes.
 *
 * @example
 * ```ts
 * meetLife(registry, { id: "i-7", born: 1700 }, now).endpoints.has("i-7@1700");
 * ```
 */
export function learnIncarnation(registry: Registry, incarnationId: IncarnationId, now: number): Registry {
    const known = registry.latest.get(incarnationId.id);
    if (!known || compareIncarnations(incarnationId, known) !== IncarnationOrder.Later) return registry;
    // The later incarnation has not declared yet how long it is cold.
    const entry = {
        ...known,
        ...incarnationId,
        incarnation: incarnationOf(incarnationId),
        state: EndpointState.Ready,
        coldMs: undefined,
    };
    const draft = draftOf(registry);
    // A departed endpoint is not registered again; the host only learns that its earlier incarnation is over.
    if (draft.endpoints.has(known.incarnation)) addRegistration(draft, entry, now);
    else draft.latest.set(incarnationId.id, entry);
    return withEndpoints(registry, draft, now);
}

/** Drops lapsed registrations and applies deferred changes whose grace period has ended. Called even when no change arrives. */
export function expireGracePeriods(registry: Registry, now: number): Registry {
    return registry.isStoreAway ? registry : expireLapsed(applyDeferred(registry, now), now);
}

function applyDeferred(registry: Registry, now: number): Registry {
    const { deferred, restoredAt } = registry;
    if (deferred.length === 0 || restoredAt === undefined || now - restoredAt < RESTORE_GRACE_MS) return registry;
    return applyChanges(registry, deferred, now);
}

function expireLapsed(registry: Registry, now: number): Registry {
    const storeBackAt = registry.storeBackAt ?? -Infinity;
    const kept = [...registry.endpoints].filter(([, { lapsedAt }]) =>
        lapsedAt === undefined || now - storeBackAt < LAPSE_GRACE_MS
    );
    if (kept.length === registry.endpoints.size) return registry;
    return withEndpoints(registry, { endpoints: new Map(kept), latest: new Map(registry.latest) }, now);
}
