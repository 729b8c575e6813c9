/**
 * When a request is refused, and when its caller is told to come back: at once where nothing runs its model or no room is forecast
 * while its first token can still come in time, so that nobody waits for what cannot be.
 *
 * @module
 */
import { serves, usable } from "./choose.js";
import { nextReturn, roomIn } from "./forecast.js";
import type { Job } from "./job.js";
import { readingMs } from "./prefill-rate.js";
import type { Waiting } from "./queue-order.js";
import type { Decision, RefuseReason, SchedulerAction, SchedulerState } from "./scheduler-state.js";
import { type BoundedRoom, boundedRoom, isBounded } from "./throttling.js";

const LEAST_RETRY_AFTER_MS = 250;
/** When an endpoint for a model will be there again is not known; a caller is asked to come back after this. */
export const NO_ENDPOINT_RETRY_MS = 5_000;

/** A refusal; its caller is asked to come back no sooner than {@link LEAST_RETRY_AFTER_MS}. */
export function refuse(job: string, reason: RefuseReason, detail: string, retryAfterMs: number): SchedulerAction {
    return {
        kind: "refuse",
        job,
        reason,
        detail,
        retryAfterMs: Math.max(LEAST_RETRY_AFTER_MS, Math.round(retryAfterMs)),
    };
}

/** Whether any endpoint runs the model and takes new work. */
export function isServed(state: SchedulerState, job: Job): boolean {
    const { group: { model }, halls } = job;
    return state.endpoints.values().some(view => serves(view, { model, halls }));
}

/** Refuses a request that no endpoint serves. */
export function refuseUnserved(job: Job): SchedulerAction {
    return refuse(job.id, "noEndpoint", "no endpoint that takes new work runs the model", NO_ENDPOINT_RETRY_MS);
}

/** What endpoints let this host send by their limits and their rest; undefined where one that may serve the request bounds nothing. */
function boundsOn(
    state: SchedulerState,
    { job, avoid }: Waiting,
    position: number,
    now: number,
): BoundedRoom | undefined {
    const known = state.endpoints.values();
    if (!known.some(view => isBounded(view, now))) return undefined;
    const views = usable(known, { model: job.group.model, halls: job.halls }, avoid, now);
    return boundedRoom(state, views, position, now);
}

/** Whether room is forecast for a request at this place of the queue while its first token can still come in time. */
export function isInTime(state: SchedulerState, waiting: Waiting, position: number, now: number): boolean {
    const { job, since } = waiting;
    const room = state.variant.forecast ? roomIn(state.drain, position, state.waiting[0]?.since, now) : 0;
    const reading = state.variant.forecast ? readingMs(state.readingRate, job.promptTokens) : 0;
    const bounded = boundsOn(state, waiting, position, now)?.waitMs ?? 0;
    return now - since + Math.max(room, bounded) + reading < job.policy.maxWaitMs;
}

/** Refuses a request for which no room is forecast in time, and tells when its caller finds some. */
export function refuseForRoom(
    state: SchedulerState,
    waiting: Waiting,
    reason: RefuseReason,
    position: number,
    now: number,
): Decision {
    const { job, since } = waiting;
    const bounded = boundsOn(state, waiting, position, now);
    if (bounded && bounded.waitMs > 0) return refuseForBounds(state, job, bounded, now);
    const room = roomIn(state.drain, position, state.waiting[0]?.since, now);
    const { returns, afterMs } = nextReturn(state.returns, room, state.drain?.meanMs ?? 0, now);
    const age = state.drain ? `${Math.round(now - state.drain.lastStart)} ms ago` : "never";
    const detail = `room in ${Math.round(room)} ms at place ${position} after ${
        Math.round(now - since)
    } ms, last seen ${age}`;
    return { state: { ...state, returns }, actions: [refuse(job.id, reason, detail, afterMs)] };
}

/** Refuses a request that the limits or the rest of all endpoints keep away. Where another host may serve it, its caller comes back soon. */
function refuseForBounds(
    state: SchedulerState,
    job: Job,
    { waitMs, everyMs, othersMay }: BoundedRoom,
    now: number,
): Decision {
    const next = Number.isFinite(waitMs) ? `in ${Math.round(waitMs)} ms` : "not this host's";
    const detail = `all endpoints limit what they take, or want rest; the next request ${next}`;
    if (othersMay) return { state, actions: [refuse(job.id, "limited", detail, LEAST_RETRY_AFTER_MS)] };
    const roomMs = Number.isFinite(waitMs) ? waitMs : everyMs;
    const { returns, afterMs } = nextReturn(state.returns, roomMs, everyMs, now);
    // Behind many others a caller does as well to ask again soon: another host may have room, or the limits be over.
    const backMs = Math.min(afterMs, NO_ENDPOINT_RETRY_MS);
    return { state: { ...state, returns }, actions: [refuse(job.id, "limited", detail, backMs)] };
}
