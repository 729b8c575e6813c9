/**
 * Log lines that tell what became of endpoints' registrations, however this host learnt of it.
 *
 * @module
 */
import { compareLives, type EndpointEntry, LifeOrder, type Registry, type RegistryChange } from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";

/** A change as it was told, with the store's revision that it belongs to. */
export interface ToldChange {
    readonly change: RegistryChange;
    readonly revision: number;
}

/**
 * Logs a change that the store or a watcher told.
 */
export function logChange(log: Log, { change, revision }: ToldChange, { latest }: Registry): void {
    // Told as it comes into force, whoever tells of it.
    if (change.kind === "evacuated" || change.kind === "reopened") return;
    if (change.kind !== "registered") return logGone(log, change.id, change.kind, revision);
    const { entry } = change;
    const known = latest.get(entry.id);
    const isEarlier = known !== undefined && compareLives(entry, known) === LifeOrder.Earlier;
    logRegistered(log, entry, isEarlier ? "earlier_life" : entry.state, revision);
}

/** All endpoints as they were told at once, by a read of the whole store or by a peer. */
export interface Whole {
    readonly before: Registry;
    readonly after: Registry;
    /** The store's revision that they belong to. */
    readonly revision: number | undefined;
    /** Ids of those whose registrations stand there and cannot be read. */
    readonly unreadable: readonly string[];
}

/**
 * Logs what differs from what was known, where no single change was told.
 *
 * @example
 * ```ts
 * logDifferences(log, { before, after: replaceAll(before, entries, [], [], now), revision: 42, unreadable: [] });
 * ```
 */
export function logDifferences(log: Log, { before, after, revision, unreadable }: Whole): void {
    for (const [name, { entry, lapsedAt }] of after.endpoints) {
        const known = before.endpoints.get(name);
        const isBack = known?.lapsedAt !== undefined && lapsedAt === undefined;
        if (isBack || known?.entry.state !== entry.state) logRegistered(log, entry, entry.state, revision);
    }
    for (const [name, { entry, lapsedAt }] of before.endpoints) {
        if (lapsedAt !== undefined || !isGone(after, name, entry.id)) continue;
        logGone(log, entry.id, unreadable.includes(entry.id) ? "unreadable" : "gone", revision);
    }
}

/** Whether a registration is gone, also where its endpoint is kept for a while as one that may be back. */
function isGone({ endpoints, latest }: Registry, name: string, id: string): boolean {
    const known = endpoints.get(name);
    if (known) return known.lapsedAt !== undefined;
    // A later life that took the place of this one is told itself.
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

function logGone(log: Log, id: string, state: "gone" | "unreadable", revision: number | undefined): void {
    log.info({ endpoint: id, state, revision }, "endpoint_changed");
}
