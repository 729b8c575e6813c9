/**
 * What a host goes on to believe when the store comes back from an older copy: the copy may name endpoints that have left since
 * and lack evacuations that stand. What contradicts later knowledge is deferred until its writer has written again, or for
 * {@link SETTLE_MS}, after which a registration that nobody keeps has lapsed.
 *
 * Pure. Times are milliseconds on one clock of the caller's choice.
 *
 * @module
 */
import { type EndpointEntry, EndpointState } from "./deployment.js";
import { compareLives, LifeOrder } from "./incarnation.js";
import type { Registry, RegistryChange } from "./registry-state.js";

/** Above three heartbeats of an endpoint, and the time in which writers that live write again. */
export const SETTLE_MS = 5_000;

/** What a store holds of endpoints and evacuations. */
export interface StoreContent {
    readonly entries: readonly EndpointEntry[];
    /** Halls whose evacuation stands. */
    readonly evacuated: readonly string[];
}

/** What is taken of a store's content now, and what is deferred. */
export interface SettledContent extends StoreContent {
    readonly deferred: readonly RegistryChange[];
}

/**
 * Divides what was read from the store into what counts now and what waits.
 *
 * @example
 * ```ts
 * const { entries, evacuated, deferred } = settleContent(registry, { entries: read, evacuated: [] }, now);
 * ```
 */
export function settleContent(registry: Registry, { entries, evacuated }: StoreContent, now: number): SettledContent {
    const { restoredAt } = registry;
    if (restoredAt === undefined || now - restoredAt >= SETTLE_MS) return { entries, evacuated, deferred: [] };
    const kept: EndpointEntry[] = [];
    const deferred: RegistryChange[] = [];
    for (const entry of entries) {
        const settled = settleEntry(registry, entry, restoredAt);
        if (settled) kept.push(settled);
        if (settled !== entry) deferred.push({ kind: "registered", entry });
    }
    const standing = [...registry.halls.evacuated].filter(hall => !evacuated.includes(hall));
    for (const hall of standing) deferred.push({ kind: "reopened", hall });
    return { entries: kept, evacuated: [...evacuated, ...standing], deferred };
}

/** The entry itself where nothing later is known, the entry as leaving, or undefined for one that has departed. */
function settleEntry(
    { endpoints, latest, departed }: Registry,
    entry: EndpointEntry,
    restoredAt: number,
): EndpointEntry | undefined {
    const known = latest.get(entry.id);
    if (!known || compareLives(entry, known) !== LifeOrder.Same) return entry;
    const departure = endpoints.has(known.incarnation) ? undefined : departed.get(known.incarnation);
    if (departure && departure.at < restoredAt) return undefined;
    const hasLeft = known.state === EndpointState.Leaving && entry.state !== EndpointState.Leaving;
    return hasLeft ? { ...entry, state: EndpointState.Leaving } : entry;
}

/** What is still deferred after the store told changes: one that was written again is known by what was written. */
export function stillDeferred(
    deferred: readonly RegistryChange[],
    told: readonly RegistryChange[],
): readonly RegistryChange[] {
    if (deferred.length === 0) return deferred;
    const subjects = new Set(told.map(subjectOf));
    return deferred.filter(change => !subjects.has(subjectOf(change)));
}

function subjectOf(change: RegistryChange): string {
    if (change.kind === "evacuated" || change.kind === "reopened") return `hall ${change.hall}`;
    return `endpoint ${change.kind === "registered" ? change.entry.id : change.id}`;
}
