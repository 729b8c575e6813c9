/**
 * When a host may send one more request if every endpoint that could serve it throttles it, by an announced limit or by
 * rest that it asked this host for.
 *
 * @module
 */
import { isLimited, limitPerMs, sendTimesWithinLimit } from "./endpoint-limit.js";
import { type EndpointView, isResting } from "./endpoint.js";
import type { SchedulerState } from "./scheduler-state.js";

/** When throttled endpoints next take a request of this host. */
export interface Throttling {
    /**
     * Time until the request at a position of the queue may be sent; Infinity if none of the next send times belongs to
     * this host.
     */
    readonly waitMs: number;
    /** Mean time between two requests that this host may send; 0 if only rest keeps them back. */
    readonly intervalMs: number;
    /** Whether another host may serve the request sooner, because an endpoint wants rest from this host only. */
    readonly othersMayServe: boolean;
}

/** Whether an endpoint throttles this host now, by a limit or by rest. */
export function isThrottled(view: EndpointView, now: number): boolean {
    return isLimited(view) || isResting(view, now);
}

/**
 * Times from now at which this host may send requests to an endpoint. If only rest holds it back, `count` requests may
 * go when the rest ends.
 */
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
 * When this host may send one more request; undefined if at least one endpoint does not throttle it.
 *
 * @param views Endpoints that could serve the request.
 * @param position The request's position in the queue, from 1.
 *
 * @example
 * ```ts
 * throttlingOf(state, views, 1, now)?.waitMs; // 2_600: the only endpoint has asked for rest
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
