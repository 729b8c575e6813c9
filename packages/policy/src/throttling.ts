/**
 * When a host may send one more request where all endpoints that could serve it bound what they are sent: the limits that they
 * name, and the rest that they asked this host for.
 *
 * @module
 */
import { isLimited, limitPerMs, sendTimesWithinLimit } from "./endpoint-limit.js";
import { type EndpointView, isResting } from "./endpoint.js";
import type { SchedulerState } from "./scheduler-state.js";

/** What bounded endpoints let a host send. */
export interface Throttling {
    /** Time until the request at a place of the queue may be sent; Infinity where none of the next ones is this host's. */
    readonly waitMs: number;
    /** Time between two requests that this host may send, in the mean; 0 where rest alone keeps them away. */
    readonly intervalMs: number;
    /** Whether another host may serve a request sooner, as an endpoint wants rest from this one alone. */
    readonly othersMayServe: boolean;
}

/** Whether an endpoint bounds what this host sends it now. */
export function isThrottled(view: EndpointView, now: number): boolean {
    return isLimited(view) || isResting(view, now);
}

/** When this host may send requests to an endpoint, as times from now; as many as are asked for where only rest bounds it. */
function sendTimesOf(
    view: EndpointView,
    { letIn, fleet }: SchedulerState,
    count: number,
    now: number,
): readonly number[] {
    const restMs = isResting(view, now) ? view.restUntil! - now : 0;
    if (!isLimited(view)) return new Array<number>(count).fill(restMs);
    return sendTimesWithinLimit(view, letIn.get(view.cfg.id) ?? [], fleet, now).map(ms => Math.max(ms, restMs));
}

/**
 * When this host may send one more request; undefined where an endpoint bounds nothing.
 *
 * @param views Endpoints that the request may go to.
 * @param position Its place among those that wait, from 1.
 *
 * @example
 * ```ts
 * boundedRoom(state, views, 1, now)?.waitMs; // 2_600: the only endpoint has asked for rest
 * ```
 */
export function throttlingOf(
    state: SchedulerState,
    views: readonly EndpointView[],
    position: number,
    now: number,
): Throttling | undefined {
    if (views.length === 0 || !views.every(view => isThrottled(view, now))) return undefined;
    const sendTimes = views.flatMap(view => sendTimesOf(view, state, position, now)).sort((a, b) => a - b);
    const limited = views.filter(isLimited);
    const perMs = limited.reduce((sum, view) => sum + limitPerMs(view), 0);
    return {
        waitMs: sendTimes[position - 1] ?? Infinity,
        intervalMs: limited.length < views.length ? 0 : state.fleet.live / perMs,
        othersMayServe: views.some(view => isResting(view, now)),
    };
}
