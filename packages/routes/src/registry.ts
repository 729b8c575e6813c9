/**
 * Which endpoints are there, by the word of the platform's store, and which of them take new work.
 *
 * Registrations that vanish while the store is away, or just after, may have lapsed because their owners could not reach
 * it: they are kept for {@link LAPSE_GRACE_MS} after its return, unless the endpoint had said that it leaves.
 *
 * An endpoint that starts again under its id begins a new life: the earlier one is over at once, whoever tells of the later
 * one, and an earlier one that is told late changes nothing.
 *
 * Pure: each function returns the next state. Times are milliseconds on one clock of the caller's choice.
 *
 * @module
 */
import { type EndpointEntry, EndpointState } from "./deployment.js";
import { type HallChange, orderHall, replaceOrders } from "./evacuation.js";
import { compareLives, type Life, LifeOrder, nameOfLife } from "./incarnation.js";
import type { Departed, Registered, Registry, RegistryChange } from "./registry-state.js";
import { SETTLE_MS, settleContent, stillDeferred } from "./store-restore.js";

/** Registrations of servers that live are back within about two seconds of the store's return (letter 2). */
export const LAPSE_GRACE_MS = 2_000;

/** Departed endpoints are remembered for as long as they may still finish what they run. */
export const DEPARTED_KEPT_MS = 30_000;

/** The registry when a call to the store failed. */
export function storeFailed(registry: Registry): Registry {
    return registry.storeAway ? registry : { ...registry, storeAway: true };
}

/** The registry when the store answered. */
export function storeAnswered(registry: Registry, now: number): Registry {
    return registry.storeAway ? { ...registry, storeAway: false, storeBackAt: now } : registry;
}

/** The registry when the store was found to have come back from an older copy: it lacks what was written since. */
export function storeRestored(registry: Registry, now: number): Registry {
    return { ...registry, storeAway: false, storeBackAt: now, restoredAt: now, deferred: [] };
}

/** Whether a registration that vanishes now may have lapsed for the store's reasons. */
function mayBeLapse(registry: Registry, now: number): boolean {
    const { storeAway, storeBackAt } = registry;
    return storeAway || storeBackAt !== undefined && now - storeBackAt < LAPSE_GRACE_MS;
}

/**
 * The registry after changes that the store told. A life that is earlier than the latest one known changes nothing.
 *
 * @example
 * ```ts
 * applyChanges(registry, [{ kind: "gone", id: "i-7" }], now).endpoints.has("i-7");
 * ```
 */
export function applyChanges(registry: Registry, changes: readonly RegistryChange[], now: number): Registry {
    const isOrder = (change: RegistryChange): change is HallChange =>
        change.kind === "evacuated" || change.kind === "reopened";
    const orders = changes.filter(isOrder);
    const halls = orders.reduce((sum, change) => orderHall(sum, change, now), registry.halls);
    const deferred = stillDeferred(registry.deferred, changes);
    const draft = draftOf(registry);
    for (const change of changes) if (!isOrder(change)) applyChange(draft, change, now);
    return withEndpoints({ ...registry, halls, deferred }, draft, now);
}

/** What changes while changes are taken in, one after another. */
interface Draft {
    readonly registry: Registry;
    readonly endpoints: Map<string, Registered>;
    readonly latest: Map<string, EndpointEntry>;
}

function draftOf(registry: Registry): Draft {
    return { registry, endpoints: new Map(registry.endpoints), latest: new Map(registry.latest) };
}

function applyChange(draft: Draft, change: Exclude<RegistryChange, HallChange>, now: number): void {
    if (change.kind === "registered") return register(draft, change.entry, now);
    const known = draft.latest.get(change.id);
    if (known) vanish(draft, known.incarnation, change.kind === "gone", now);
}

function register({ registry, endpoints, latest }: Draft, entry: EndpointEntry, now: number): void {
    const known = latest.get(entry.id);
    const order = known ? compareLives(entry, known) : LifeOrder.Later;
    if (order === LifeOrder.Earlier) return;
    // One that does not say when it began goes by the name that its life has here already.
    const taken = known && order === LifeOrder.Same
        ? { ...entry, incarnation: known.incarnation, born: known.born ?? entry.born }
        : entry;
    if (known && order === LifeOrder.Later) endpoints.delete(known.incarnation);
    endpoints.set(taken.incarnation, { entry: taken, lapsedAt: undefined, saidAt: saidAt(registry, taken, now) });
    latest.set(taken.id, taken);
}

/** A registration that is told again says nothing new. */
function saidAt({ endpoints }: Registry, { incarnation, coldMs, state }: EndpointEntry, now: number): number {
    const known = endpoints.get(incarnation);
    return known && known.entry.coldMs === coldMs && known.entry.state === state ? known.saidAt : now;
}

function vanish({ registry, endpoints }: Draft, incarnation: string, mayLapse: boolean, now: number): void {
    const known = endpoints.get(incarnation);
    if (!known || mayLapse && known.lapsedAt !== undefined) return;
    const stays = mayLapse && mayBeLapse(registry, now) && known.entry.state === EndpointState.Ready;
    if (stays) endpoints.set(incarnation, { ...known, lapsedAt: now });
    else endpoints.delete(incarnation);
}

/** The registry with other endpoints; those that it had and has no more have departed. */
function withEndpoints(
    registry: Registry,
    { endpoints, latest }: Pick<Draft, "endpoints" | "latest">,
    now: number,
): Registry {
    const isOver = (entry: EndpointEntry): boolean => latest.get(entry.id)?.incarnation !== entry.incarnation;
    const departed = new Map<string, Departed>();
    for (const [incarnation, { entry, at }] of registry.departed) {
        const isBack = endpoints.has(incarnation);
        if (!isBack && now - at < DEPARTED_KEPT_MS) departed.set(incarnation, { entry, at, isOver: isOver(entry) });
    }
    for (const [incarnation, { entry }] of registry.endpoints) {
        if (!endpoints.has(incarnation)) departed.set(incarnation, { entry, at: now, isOver: isOver(entry) });
    }
    const remembered = new Set([...endpoints.values(), ...departed.values()].map(({ entry }) => entry.id));
    const kept = [...latest].filter(([id]) => remembered.has(id));
    return { ...registry, endpoints, departed, latest: new Map(kept) };
}

/**
 * The registry after all registrations were read: what is not among them has vanished.
 *
 * @param unreadable Ids of endpoints whose registrations stand there and cannot be read.
 * @param evacuated Halls whose evacuation stands there.
 */
export function replaceAll(
    registry: Registry,
    entries: readonly EndpointEntry[],
    unreadable: readonly string[],
    evacuated: readonly string[],
    now: number,
): Registry {
    const content = settleContent(registry, { entries, evacuated }, now);
    const halls = replaceOrders(registry.halls, content.evacuated, now);
    const present = new Set([...entries.map(({ id }) => id), ...unreadable]);
    const missing = [...registry.endpoints.values()].filter(({ entry }) => !present.has(entry.id));
    const next = applyChanges({ ...registry, halls }, [
        ...missing.map(({ entry: { id } }): RegistryChange => ({ kind: "gone", id })),
        ...unreadable.map((id): RegistryChange => ({ kind: "unreadable", id })),
        ...content.entries.map((entry): RegistryChange => ({ kind: "registered", entry })),
    ], now);
    return { ...next, deferred: content.deferred };
}

/**
 * The registry with the endpoints of a host that the store answers, taken over as they are: which of them have lapsed was
 * judged there. Where a later life is known here than there, it stays.
 */
export function adoptEndpoints(
    registry: Registry,
    entries: readonly EndpointEntry[],
    evacuated: readonly string[],
    now: number,
): Registry {
    const content = settleContent(registry, { entries, evacuated }, now);
    const halls = replaceOrders(registry.halls, content.evacuated, now);
    const draft: Draft = { registry, endpoints: new Map(), latest: new Map(registry.latest) };
    for (const entry of content.entries) {
        register(draft, entry, now);
        const latest = draft.latest.get(entry.id)!;
        const known = registry.endpoints.get(latest.incarnation);
        if (known && !draft.endpoints.has(latest.incarnation)) draft.endpoints.set(latest.incarnation, known);
    }
    return withEndpoints({ ...registry, halls, deferred: content.deferred }, draft, now);
}

/**
 * The registry after an endpoint was found to have begun a later life than the one known, by its own word or a peer's: it goes
 * on under that life's name until its registration says more. Any other life changes nothing.
 *
 * @example
 * ```ts
 * meetLife(registry, { id: "i-7", born: 1700 }, now).endpoints.has("i-7@1700");
 * ```
 */
export function meetLife(registry: Registry, life: Life, now: number): Registry {
    const known = registry.latest.get(life.id);
    if (!known || compareLives(life, known) !== LifeOrder.Later) return registry;
    // How cold it is, the later life has not said.
    const entry = {
        ...known,
        ...life,
        incarnation: nameOfLife(life),
        state: EndpointState.Ready,
        coldMs: undefined,
    };
    const draft = draftOf(registry);
    // Of one that has departed no more is learnt than that its earlier life is over.
    if (draft.endpoints.has(known.incarnation)) register(draft, entry, now);
    else draft.latest.set(life.id, entry);
    return withEndpoints(registry, draft, now);
}

/** The registry when nothing was told for a while: what was kept or deferred for a time goes by the store's word when that is over. */
export function settle(registry: Registry, now: number): Registry {
    return registry.storeAway ? registry : expireLapsed(applyDeferred(registry, now), now);
}

function applyDeferred(registry: Registry, now: number): Registry {
    const { deferred, restoredAt } = registry;
    if (deferred.length === 0 || restoredAt === undefined || now - restoredAt < SETTLE_MS) return registry;
    return applyChanges(registry, deferred, now);
}

function expireLapsed(registry: Registry, now: number): Registry {
    const since = registry.storeBackAt ?? -Infinity;
    const kept = [...registry.endpoints].filter(([, { lapsedAt }]) =>
        lapsedAt === undefined || now - since < LAPSE_GRACE_MS
    );
    if (kept.length === registry.endpoints.size) return registry;
    return withEndpoints(registry, { endpoints: new Map(kept), latest: new Map(registry.latest) }, now);
}
