/**
 * When a host may send one more request where all endpoints that could serve it bound what they are sent: the limits that they
 * name, and the rest that they asked this host for.
 *
 * @module
 */
import { isLimited, limitPerMs, openings } from "./endpoint-limit.js";
import { type EndpointView, isResting } from "./endpoint.js";
import type { SchedulerState } from "./scheduler-state.js";

/** What bounded endpoints let a host send. */
export interface BoundedRoom {
    /** Time until the request at a place of the queue may be sent; Infinity where none of the next ones is this host's. */
    readonly waitMs: number;
    /** Time between two requests that this host may send, in the mean; 0 where rest alone keeps them away. */
    readonly everyMs: number;
    /** Whether another host may serve a request sooner, as an endpoint wants rest from this one alone. */
    readonly othersMay: boolean;
}

/** Whether an endpoint bounds what this host sends it now. */
export function isBounded(view: EndpointView, now: number): boolean {
    return isLimited(view) || isResting(view, now);
}

/** When this host may send requests to an endpoint, as times from now; as many as are asked for where only rest bounds it. */
function sends(view: EndpointView, { letIn, fleet }: SchedulerState, most: number, now: number): readonly number[] {
    const restMs = isResting(view, now) ? view.restUntil! - now : 0;
    if (!isLimited(view)) return new Array<number>(most).fill(restMs);
    return openings(view, letIn.get(view.cfg.id) ?? [], fleet, now).map(ms => Math.max(ms, restMs));
}

/**
 * When this host may send one more request; undefined where an endpoint bounds nothing.
 *
 * @param views Endpoints that the request may go to.
 * @param place Its place among those that wait, from 1.
 *
 * @example
 * ```ts
 * boundedRoom(state, views, 1, now)?.waitMs; // 2_600: the only endpoint has asked for rest
 * ```
 */
export function boundedRoom(
    state: SchedulerState,
    views: readonly EndpointView[],
    place: number,
    now: number,
): BoundedRoom | undefined {
    if (views.length === 0 || !views.every(view => isBounded(view, now))) return undefined;
    const next = views.flatMap(view => sends(view, state, place, now)).sort((a, b) => a - b);
    const limited = views.filter(isLimited);
    const perMs = limited.reduce((sum, view) => sum + limitPerMs(view), 0);
    return {
        waitMs: next[place - 1] ?? Infinity,
        everyMs: limited.length < views.length ? 0 : state.fleet.live / perMs,
        othersMay: views.some(view => isResting(view, now)),
    };
}
