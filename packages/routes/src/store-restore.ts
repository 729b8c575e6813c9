/**
 * Reconciles the registry with a store that was restored from an older copy. The copy may contain endpoints that have left since and
 * lack current evacuations. Entries that contradict what the host learnt later are deferred until their key is written again, or for
 * {@link RESTORE_GRACE_MS}, by which time registrations that no endpoint renews have expired.
 *
 * The functions are pure. Times are milliseconds on any one clock.
 *
 * @module
 */
import { type EndpointEntry, EndpointState } from "./deployment.js";
import { compareIncarnations, IncarnationOrder } from "./incarnation.js";
import type { Registry, RegistryChange } from "./registry-state.js";

/** Longer than three heartbeats of an endpoint, within which every live writer has written its keys again. */
export const RESTORE_GRACE_MS = 5_000;

/** The endpoints and evacuations in the store. */
export interface StoreContents {
    readonly entries: readonly EndpointEntry[];
    /** Halls that are evacuated. */
    readonly evacuated: readonly string[];
}

/** The contents to apply now, and the changes to defer. */
export interface ReconciledContents extends StoreContents {
    readonly deferred: readonly RegistryChange[];
}

/**
 * Divides what was read from the store into the contents to apply now and the changes to defer.
 *
 * @example
 * ```ts
 * const { entries, evacuated, deferred } = reconcileContents(registry, { entries: read, evacuated: [] }, now);
 * ```
 */
export function reconcileContents(
    registry: Registry,
    { entries, evacuated }: StoreContents,
    now: number,
): ReconciledContents {
    const { restoredAt } = registry;
    if (restoredAt === undefined || now - restoredAt >= RESTORE_GRACE_MS) return { entries, evacuated, deferred: [] };
    const kept: EndpointEntry[] = [];
    const deferred: RegistryChange[] = [];
    for (const entry of entries) {
        const accepted = reconcileEntry(registry, entry, restoredAt);
        if (accepted) kept.push(accepted);
        if (accepted !== entry) deferred.push({ kind: "registered", entry });
    }
    const missingEvacuations = [...registry.halls.evacuated].filter(hall => !evacuated.includes(hall));
    for (const hall of missingEvacuations) deferred.push({ kind: "reopened", hall });
    return { entries: kept, evacuated: [...evacuated, ...missingEvacuations], deferred };
}

/** Returns the entry unless the host knows more: as leaving if the endpoint had announced that, undefined if it had departed. */
function reconcileEntry(
    { endpoints, latest, departed }: Registry,
    entry: EndpointEntry,
    restoredAt: number,
): EndpointEntry | undefined {
    const known = latest.get(entry.id);
    if (!known || compareIncarnations(entry, known) !== IncarnationOrder.Same) return entry;
    const departure = endpoints.has(known.incarnation) ? undefined : departed.get(known.incarnation);
    if (departure && departure.at < restoredAt) return undefined;
    const isKnownLeaving = known.state === EndpointState.Leaving && entry.state !== EndpointState.Leaving;
    return isKnownLeaving ? { ...entry, state: EndpointState.Leaving } : entry;
}

/** Drops the deferred changes whose endpoint or hall the store has reported again. */
export function remainingDeferred(
    deferred: readonly RegistryChange[],
    changes: readonly RegistryChange[],
): readonly RegistryChange[] {
    if (deferred.length === 0) return deferred;
    const rewritten = new Set(changes.map(subjectOf));
    return deferred.filter(change => !rewritten.has(subjectOf(change)));
}

/** Names the hall or endpoint that a change is about. */
function subjectOf(change: RegistryChange): string {
    if (change.kind === "evacuated" || change.kind === "reopened") return `hall ${change.hall}`;
    return `endpoint ${change.kind === "registered" ? change.entry.id : change.id}`;
}
