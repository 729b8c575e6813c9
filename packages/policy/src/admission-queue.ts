/**
 * The admission queue: which requests may wait for capacity, for how long, and which of them is started first when
 * capacity comes free.
 *
 * @module
 */
import { place, placeIncludingInDoubt } from "./place.js";
import { observeStart, urgency, type WaitingRequest } from "./queue-order.js";
import { canStartInTime, isServable, refuse, refuseForCapacity, refuseUnservable } from "./refusal.js";
import { countRequest, earnRetry, spendFleetRetry, spendRetry } from "./retry-budget.js";
import type { Decision, SchedulerAction, SchedulerState } from "./scheduler-state.js";

/** Waiting requests that are tried in one pass when capacity may have come free. */
const MAX_TRIES_PER_PASS = 8;
/** Once a waiting request has used this share of its maximum wait, no less urgent request may overtake it. */
const NO_OVERTAKING_SHARE = 0.5;

/** Counts a request for the retry budget, or charges the budget for a retry; undefined if the budget is used up. */
function chargeBudget(
    state: SchedulerState,
    { job, avoid, retry }: WaitingRequest,
    now: number,
): SchedulerState | undefined {
    if (state.fleetRetryBudget) {
        // A request that was never sent comes back with endpoints to avoid: it is neither a retry nor a new request.
        if (!retry && avoid.length > 0) return state;
        const fleetRetryBudget = retry
            ? spendFleetRetry(state.fleetRetryBudget, state.hosts, now)
            : countRequest(state.fleetRetryBudget, now);
        return fleetRetryBudget && { ...state, fleetRetryBudget };
    }
    const keys = [`w/${job.group.workspace}`, ...avoid.map(id => `e/${id}`)];
    const retryBudget = retry
        ? spendRetry(state.retryBudget, keys)
        : earnRetry(state.retryBudget, keys, job.policy.retryShare);
    return retryBudget && { ...state, retryBudget };
}

/** Handles an arriving or returning request: it is placed, queued, or refused at once. */
export function onArrival(state: SchedulerState, waiting: WaitingRequest, now: number): Decision {
    const { job } = waiting;
    const charged = chargeBudget(state, waiting, now);
    if (!charged) {
        return { state, actions: [refuse(job.id, "retryBudget", "the retry budget is used up", job.policy.maxWaitMs)] };
    }
    if (!isServable(charged, job)) return { state: charged, actions: [refuseUnservable(job)] };
    if (state.waiting.length === 0) {
        const placed = place(charged, waiting, now);
        if (placed) return placed;
    }
    const position = state.waiting.length + 1;
    const isFull = position > job.policy.queueLimit;
    if (isFull || !canStartInTime(charged, waiting, position, now)) {
        const reason = isFull ? "queueFull" : "waitTooLong";
        return placeIncludingInDoubt(charged, waiting, now)
            ?? refuseForCapacity(charged, waiting, reason, position, now);
    }
    return serveQueue({ ...charged, waiting: [...state.waiting, waiting] }, now);
}

/** Refuses waiting requests that can no longer be served in time, then starts those that fit, the most urgent first. */
export function serveQueue(state: SchedulerState, now: number): Decision {
    if (state.waiting.length === 0) return { state, actions: [] };
    const actions: SchedulerAction[] = [];
    const kept: WaitingRequest[] = [];
    let next = state;
    for (const waiting of state.waiting) {
        const { job } = waiting;
        const position = kept.length + 1;
        if (!canStartInTime(state, waiting, position, now)) {
            const result = placeIncludingInDoubt(next, waiting, now)
                ?? refuseForCapacity(next, waiting, "waitTooLong", position, now);
            next = result.state;
            actions.push(...result.actions);
        }
        else if (!isServable(state, job)) actions.push(refuseUnservable(job));
        else kept.push(waiting);
    }
    next = { ...next, waiting: kept };
    for (const waiting of mostUrgent(next, now)) {
        const placed = place(next, waiting, now);
        if (!placed) {
            if (now - waiting.since > waiting.job.policy.maxWaitMs * NO_OVERTAKING_SHARE) break;
            continue;
        }
        next = {
            ...placed.state,
            waiting: placed.state.waiting.filter(other => other !== waiting),
            drainRate: observeStart(next.drainRate, now, waiting.since),
        };
        actions.push(...placed.actions);
    }
    return { state: next, actions };
}

function mostUrgent(state: SchedulerState, now: number): readonly WaitingRequest[] {
    const running = new Map<string, number>();
    let total = 0;
    for (const view of state.endpoints.values()) {
        for (const { job } of view.streams.values()) {
            running.set(job.group.workspace, (running.get(job.group.workspace) ?? 0) + 1);
            total += 1;
        }
    }
    const ranked = state.waiting.map(waiting => {
        const share = (running.get(waiting.job.group.workspace) ?? 0) / Math.max(1, total);
        return { waiting, urgency: urgency(waiting, share, now) };
    });
    ranked.sort((a, b) => b.urgency - a.urgency);
    return ranked.slice(0, MAX_TRIES_PER_PASS).map(({ waiting }) => waiting);
}
