/**
 * Decides when a request is refused and when its caller should retry. A request is refused at once if no endpoint
 * serves its model, or if no capacity is forecast in time for its first token, so that no caller waits in vain.
 *
 * @module
 */
import { isAtPace, serves, usableEndpoints } from "./choose.js";
import { pendingPrefill } from "./endpoint.js";
import { expectedWaitMs, nextRetryTime, startsInTime } from "./forecast.js";
import type { Job } from "./job.js";
import { mayBorrow, recordLimitRefusal } from "./limit-demand.js";
import { prefillMs } from "./prefill-rate.js";
import type { WaitingRequest } from "./queue-order.js";
import type { Decision, RefuseReason, SchedulerAction, SchedulerState } from "./scheduler-state.js";
import { isThrottled, type Throttling, throttlingOf } from "./throttling.js";

const MIN_RETRY_AFTER_MS = 250;
/** Callers return after this time if other hosts may serve them, or lend this host a part of their shares. */
const LOAN_RETRY_MS = 500;
/** It is not known when an endpoint for a model will be available again; callers are asked to retry after this time. */
export const NO_ENDPOINT_RETRY_MS = 5_000;

/** Refuses a request; its caller is asked to retry no sooner than after {@link MIN_RETRY_AFTER_MS}. */
export function refuse(job: string, reason: RefuseReason, detail: string, retryAfterMs: number): SchedulerAction {
    return {
        kind: "refuse",
        job,
        reason,
        detail,
        retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.round(retryAfterMs)),
    };
}

/** Whether any endpoint serves the request's model and takes new work. */
export function isServable(state: SchedulerState, job: Job): boolean {
    const { group: { model }, halls } = job;
    return state.endpoints.values().some(view => serves(view, { model, halls }));
}

export function refuseUnservable(job: Job): SchedulerAction {
    return refuse(job.id, "noEndpoint", "no endpoint that takes new work runs the model", NO_ENDPOINT_RETRY_MS);
}

/** How the endpoints that could serve a request throttle this host; undefined if at least one does not. */
function throttlingFor(
    state: SchedulerState,
    { job, avoid }: WaitingRequest,
    position: number,
    now: number,
): Throttling | undefined {
    const known = state.endpoints.values();
    if (!known.some(view => isThrottled(view, state, now))) return undefined;
    const views = usableEndpoints(known, { model: job.group.model, halls: job.halls }, avoid, now);
    return throttlingOf(state, views, position, now);
}

/** Whether capacity is forecast for a request at this position of the queue early enough for its first token. */
export function canStartInTime(state: SchedulerState, waiting: WaitingRequest, position: number, now: number): boolean {
    const { job, since } = waiting;
    const capacityMs = state.variant.forecast
        ? expectedWaitMs(state.drainRate, position, state.waiting[0]?.since, now)
        : 0;
    const ownPrefillMs = state.variant.forecast ? prefillMs(state.prefillRate, job.promptTokens) : 0;
    const throttledMs = throttlingFor(state, waiting, position, now)?.waitMs ?? 0;
    return now - since + Math.max(capacityMs, throttledMs) + ownPrefillMs < job.policy.maxWaitMs;
}

/** Refuses a request for which no capacity is forecast in time, and tells its caller when to retry. */
export function refuseForCapacity(
    state: SchedulerState,
    waiting: WaitingRequest,
    reason: RefuseReason,
    position: number,
    now: number,
): Decision {
    const { job, since } = waiting;
    const throttling = throttlingFor(state, waiting, position, now);
    if (throttling && throttling.waitMs > 0) {
        return refuseThrottled(recordLimitRefusal(state, job.group.model, now), job, throttling, now);
    }
    const capacityMs = expectedWaitMs(state.drainRate, position, state.waiting[0]?.since, now);
    const { retryTimes, afterMs } = nextRetryTime(state.retryTimes, capacityMs, state.drainRate?.meanMs ?? 0, now);
    const age = state.drainRate ? `${Math.round(now - state.drainRate.lastStart)} ms ago` : "never";
    const detail = `room in ${Math.round(capacityMs)} ms at place ${position} after ${
        Math.round(now - since)
    } ms, last seen ${age}; ${describeBounds(state, waiting, now)}`;
    return { state: { ...state, retryTimes }, actions: [refuse(job.id, reason, detail, afterMs)] };
}

/**
 * Tells why the endpoints that could serve a request have no room: one more stream would slow the others too much, its first token
 * would come late, or neither, which leaves their memory.
 */
function describeBounds(state: SchedulerState, { job, avoid, since }: WaitingRequest, now: number): string {
    const { gapTargetMs, maxWaitMs } = job.policy;
    const needs = { model: job.group.model, halls: job.halls };
    const views = usableEndpoints(state.endpoints.values(), needs, avoid, now);
    const leftMs = maxWaitMs - (now - since);
    const atPace = views.filter(view => isAtPace(view, gapTargetMs, state.variant, now)).length;
    const late = views.filter(view => {
        const firstTokenMs = prefillMs(state.prefillRate, pendingPrefill(view) + job.promptTokens);
        return !startsInTime(view, firstTokenMs, leftMs);
    }).length;
    return `of ${views.length} endpoints ${atPace} at their pace, ${late} too late to start`;
}

/**
 * Refuses a request because all endpoints throttle this host. If another host may serve it, its caller is asked to
 * retry soon.
 */
function refuseThrottled(
    state: SchedulerState,
    job: Job,
    { waitMs, intervalMs, othersMayServe }: Throttling,
    now: number,
): Decision {
    const next = Number.isFinite(waitMs) ? `in ${Math.round(waitMs)} ms` : "not this host's";
    const detail = `all endpoints limit what they take, or want rest; the next request ${next}`;
    if (mayBorrow(state, job.group.model, now)) {
        return { state, actions: [refuse(job.id, "limited", detail, LOAN_RETRY_MS)] };
    }
    if (othersMayServe) return { state, actions: [refuse(job.id, "limited", detail, MIN_RETRY_AFTER_MS)] };
    const sendMs = Number.isFinite(waitMs) ? waitMs : intervalMs;
    const { retryTimes, afterMs } = nextRetryTime(state.retryTimes, sendMs, intervalMs, now);
    // Behind many others a caller may as well retry soon: another host may have capacity, or the limits may have been
    // lifted.
    const backMs = Math.min(afterMs, NO_ENDPOINT_RETRY_MS);
    return { state: { ...state, retryTimes }, actions: [refuse(job.id, "limited", detail, backMs)] };
}
