/**
 * Bounds on what an endpoint is sent in a time, whatever room it has: what it bears while it is cold, the limit that it names,
 * and the rest that it asks for. What this host lets in is counted at each decision that sends a request there.
 *
 * @module
 */
import { coldLetsIn, isCold } from "./cold.js";
import { isLimited, limitLetsIn } from "./endpoint-limit.js";
import { type EndpointView, isResting } from "./endpoint.js";
import type { LetIn, SendBounds } from "./fleet.js";

/** Nothing that was let in counts for longer. */
const KEPT_MS = 10_000;

/**
 * Whether this host may send a request to an endpoint now, or let another host's in as its owner.
 *
 * @example
 * ```ts
 * const open = views.filter(view => mayLetIn(state, view, now));
 * ```
 */
export function mayLetIn(
    state: SendBounds,
    view: EndpointView,
    now: number,
): boolean {
    const times = state.letIn.get(view.cfg.id) ?? [];
    return coldLetsIn(view, times, state, now) && limitLetsIn(view, times, state.fleet, now);
}

/**
 * Whether this host may send a request of its own to an endpoint now: one that has asked it for rest wants none of it, and may be
 * sent those of others.
 */
export function maySend(
    state: SendBounds,
    view: EndpointView,
    now: number,
): boolean {
    return !isResting(view, now) && mayLetIn(state, view, now);
}

/** What was let in, with one more request to an endpoint; the same value where nothing bounds what it is sent. */
export function withLetIn(letIn: LetIn, view: EndpointView | undefined, now: number): LetIn {
    if (!view || !isCold(view, now) && !isLimited(view)) return letIn;
    const counted = [...letIn].map(([id, times]) => [id, times.filter(at => now - at < KEPT_MS)] as const)
        .filter(([, times]) => times.length > 0);
    const next = new Map(counted);
    return next.set(view.cfg.id, [...next.get(view.cfg.id) ?? [], now]);
}
