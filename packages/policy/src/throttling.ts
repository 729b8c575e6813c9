/**
 * When a host may send one more request if every endpoint that could serve it throttles it, by an announced limit, by rest
 * that it asked this host for, or because it is brittle.
 *
 * @module
 */
import { brittleRate, brittleSendTimes, isBrittle } from "./brittle.js";
import { isLimited, limitPerMs, sendTimesWithinLimit } from "./endpoint-limit.js";
import { type EndpointView, isResting } from "./endpoint.js";
import type { AdmissionBounds } from "./fleet.js";
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

/** Whether an endpoint throttles this host now: by a limit, by rest, or because it is brittle. */
export function isThrottled(view: EndpointView, { brittleServices }: AdmissionBounds, now: number): boolean {
    return isLimited(view) || isResting(view, now) || isBrittle(view, brittleServices, now);
}

/**
 * Times from now at which this host may send requests to an endpoint. If only rest holds it back, `count` requests may
 * go when the rest ends.
 */
function sendTimesOf(
    view: EndpointView,
    state: SchedulerState,
    count: number,
    now: number,
): readonly number[] {
    const { letIn, fleet, brittleServices } = state;
    const restMs = isResting(view, now) ? view.restUntil! - now : 0;
    if (isBrittle(view, brittleServices, now)) {
        const times = brittleSendTimes(view, letIn.get(view.cfg.id) ?? [], fleet, count, now);
        return times.map(ms => Math.max(ms, restMs));
    }
    if (!isLimited(view)) return new Array<number>(count).fill(restMs);
    return sendTimesWithinLimit(view, letIn.get(view.cfg.id) ?? [], state, now).map(ms => Math.max(ms, restMs));
}

/** Requests per millisecond that this host may send to an endpoint; Infinity if only rest keeps them back. */
function ownRate(view: EndpointView, { fleet, brittleServices }: SchedulerState, now: number): number {
    if (isBrittle(view, brittleServices, now)) return brittleRate(view, fleet, now);
    return isLimited(view) ? limitPerMs(view) / fleet.live : Infinity;
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
    if (views.length === 0 || !views.every(view => isThrottled(view, state, now))) return undefined;
    const sendTimes = views.flatMap(view => sendTimesOf(view, state, position, now)).sort((a, b) => a - b);
    const rates = views.map(view => ownRate(view, state, now));
    return {
        waitMs: sendTimes[position - 1] ?? Infinity,
        intervalMs: 1 / rates.reduce((sum, perMs) => sum + perMs, 0),
        othersMayServe: views.some(view => isResting(view, now)),
    };
}
