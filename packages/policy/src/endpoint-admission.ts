/**
 * Rate bounds on the requests of an endpoint, apart from its capacity: the bound while it is cold, the limit that it
 * announces, and the rest that it asks for. Each decision that sends a request counts it against these bounds.
 *
 * @module
 */
import { coldAdmits, isCold } from "./cold.js";
import { isLimited, limitAdmits } from "./endpoint-limit.js";
import { type EndpointView, isResting } from "./endpoint.js";
import type { AdmissionBounds, RecentAdmissions } from "./fleet.js";

/** Admissions count for no longer than this: the longest window of any bound. */
const RETAIN_MS = 10_000;

/**
 * Whether the cold bound and the announced limit allow one more request now, be it this host's own or, if it is the
 * owner, another host's.
 *
 * @example
 * ```ts
 * const open = views.filter(view => mayAdmit(state, view, now));
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
 * Whether this host may send a request of its own now. An endpoint that asked this host for rest gets none of its
 * requests, but the host may still, as owner, admit those of other hosts.
 */
export function maySend(
    state: AdmissionBounds,
    view: EndpointView,
    now: number,
): boolean {
    return !isResting(view, now) && mayAdmit(state, view, now);
}

/** Records one more request to an endpoint; returns the same value if the endpoint is neither cold nor limited. */
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
