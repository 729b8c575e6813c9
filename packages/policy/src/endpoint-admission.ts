/**
 * Bounds on what an endpoint is sent in a time, whatever room it has: what it bears while it is cold, the limit that it names,
 * and the rest that it asks for. What this host lets in is counted at each decision that sends a request there.
 *
 * @module
 */
import { coldAdmits, isCold } from "./cold.js";
import { isLimited, limitAdmits } from "./endpoint-limit.js";
import { type EndpointView, isResting } from "./endpoint.js";
import type { AdmissionBounds, RecentAdmissions } from "./fleet.js";

/** Nothing that was let in counts for longer. */
const RETAIN_MS = 10_000;

/**
 * Whether this host may send a request to an endpoint now, or let another host's in as its owner.
 *
 * @example
 * ```ts
 * const open = views.filter(view => mayLetIn(state, view, now));
 * ```
 */
export function mayAdmit(
    state: AdmissionBounds,
    view: EndpointView,
    now: number,
): boolean {
    const times = state.letIn.get(view.cfg.id) ?? [];
    return coldAdmits(view, times, state, now) && limitAdmits(view, times, state.fleet, now);
}

/**
 * Whether this host may send a request of its own to an endpoint now: one that has asked it for rest wants none of it, and may be
 * sent those of others.
 */
export function maySend(
    state: AdmissionBounds,
    view: EndpointView,
    now: number,
): boolean {
    return !isResting(view, now) && mayAdmit(state, view, now);
}

/** What was let in, with one more request to an endpoint; the same value where nothing bounds what it is sent. */
export function recordAdmission(
    admissions: RecentAdmissions,
    view: EndpointView | undefined,
    now: number,
): RecentAdmissions {
    if (!view || !isCold(view, now) && !isLimited(view)) return admissions;
    const counted = [...admissions].map(([id, times]) => [id, times.filter(at => now - at < RETAIN_MS)] as const)
        .filter(([, times]) => times.length > 0);
    const next = new Map(counted);
    return next.set(view.cfg.id, [...next.get(view.cfg.id) ?? [], now]);
}
