/**
 * Logs changes of endpoints' registrations, whether the store or a peer reported them.
 *
 * @module
 */
import {
    compareIncarnations,
    type EndpointEntry,
    IncarnationOrder,
    type Registry,
    type RegistryChange,
} from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";

/** A change of the registry, with the store's revision that made it. */
export interface ChangeAtRevision {
    readonly change: RegistryChange;
    readonly revision: number;
}

/** Logs a single change that the store or a watching peer reported. */
export function logChange(log: Log, { change, revision }: ChangeAtRevision, { latest }: Registry): void {
    // The feed logs evacuations itself when they come into force.
    if (change.kind === "evacuated" || change.kind === "reopened") return;
    if (change.kind !== "registered") return logRemoved(log, change.id, change.kind, revision);
    const { entry } = change;
    const known = latest.get(entry.id);
    const isEarlier = known !== undefined && compareIncarnations(entry, known) === IncarnationOrder.Earlier;
    logRegistered(log, entry, isEarlier ? "earlier_life" : entry.state, revision);
}

/** The registry before and after a read of the whole store, or a peer's whole state, replaced it. */
export interface RegistryDifference {
    readonly before: Registry;
    readonly after: Registry;
    /** The store's revision that `after` belongs to. */
    readonly revision: number | undefined;
    /** Ids of endpoints whose registrations exist but cannot be decoded. */
    readonly unreadable: readonly string[];
}

/**
 * Logs the differences between two registries, where the single changes are not known.
 *
 * @example
 * ```ts
 * logDifferences(log, { before, after: replaceAll(before, entries, [], [], now), revision: 42, unreadable: [] });
 * ```
 */
export function logDifferences(log: Log, { before, after, revision, unreadable }: RegistryDifference): void {
    for (const [name, { entry, lapsedAt }] of after.endpoints) {
        const known = before.endpoints.get(name);
        const isBack = known?.lapsedAt !== undefined && lapsedAt === undefined;
        if (isBack || known?.entry.state !== entry.state) logRegistered(log, entry, entry.state, revision);
    }
    for (const [name, { entry, lapsedAt }] of before.endpoints) {
        if (lapsedAt !== undefined || !isRemoved(after, name, entry.id)) continue;
        logRemoved(log, entry.id, unreadable.includes(entry.id) ? "unreadable" : "gone", revision);
    }
}

/** Whether a registration is gone, even if the registry keeps the lapsed endpoint for a while in case it returns. */
function isRemoved({ endpoints, latest }: Registry, name: string, id: string): boolean {
    const known = endpoints.get(name);
    if (known) return known.lapsedAt !== undefined;
    // A later incarnation that replaced this one has a log line of its own.
    const later = latest.get(id)?.incarnation;
    return later === undefined || !endpoints.has(later);
}

function logRegistered(
    log: Log,
    { incarnation, hall }: EndpointEntry,
    state: string,
    revision: number | undefined,
): void {
    log.info({ endpoint: incarnation, state, hall, revision }, "endpoint_changed");
}

function logRemoved(log: Log, id: string, state: "gone" | "unreadable", revision: number | undefined): void {
    log.info({ endpoint: id, state, revision }, "endpoint_changed");
}
