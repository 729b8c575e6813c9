/**
 * Rate bounds on the requests of an endpoint, apart from its capacity: the bound while it is cold, the limit that it
 * announces, and the rest that it asks for. Each decision that sends a request counts it against these bounds.
 *
 * @module
 */
import { brittleAdmits, isBrittle } from "./brittle.js";
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
    return coldAdmits(view, times, state, now) && limitAdmits(view, times, state, now);
}

/**
 * Whether this host may send a request of its own now. An endpoint that asked this host for rest gets none of its
 * requests, but the host may still, as owner, admit those of other hosts.
 *
 * @param sharesLoad Whether the hosts tell each other what they hold at the endpoint. Otherwise each keeps to its share of the places
 * of a brittle one.
 */
export function maySend(
    state: AdmissionBounds,
    view: EndpointView,
    now: number,
    sharesLoad = true,
): boolean {
    if (isResting(view, now) || !mayAdmit(state, view, now)) return false;
    if (sharesLoad || !isBrittle(view, state.brittleServices, now)) return true;
    return brittleAdmits(view, state.letIn.get(view.cfg.id) ?? [], state.fleet, now);
}

/** Records one more request to an endpoint; returns the same value if no bound counts it. */
export function recordAdmission(
    { letIn: admissions, brittleServices }: AdmissionBounds,
    view: EndpointView | undefined,
    now: number,
): RecentAdmissions {
    const isBounded = view && (isCold(view, now) || isLimited(view) || isBrittle(view, brittleServices, now));
    if (!isBounded) return admissions;
    const counted = [...admissions].map(([id, times]) => [id, times.filter(at => now - at < RETAIN_MS)] as const)
        .filter(([, times]) => times.length > 0);
    const next = new Map(counted);
    return next.set(view.cfg.id, [...next.get(view.cfg.id) ?? [], now]);
}
