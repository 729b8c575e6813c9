/**
 * How requests wait for room: who may wait, for how long, and who of those that wait goes first when room comes.
 *
 * @module
 */
import { place, placeFar } from "./place.js";
import { onStart, urgency, type Waiting } from "./queue-order.js";
import { isInTime, isServed, refuse, refuseForRoom, refuseUnserved } from "./refusal.js";
import { countRequest, earnRetry, spendRetry, takeRepeat } from "./retry-budget.js";
import type { Decision, SchedulerAction, SchedulerState } from "./scheduler-state.js";

/** How many waiting requests are tried when room may have come. */
const TRIES_PER_DRAIN = 8;
/** A waiting request that has used this share of its wait lets no later one pass it. */
const HOLD_SHARE = 0.5;

/** The state after a request was counted or a repeated one paid for; undefined where the budget is used up. */
function payFor(state: SchedulerState, { job, avoid, retry }: Waiting, now: number): SchedulerState | undefined {
    if (state.fleetRetries) {
        // What was never sent anywhere comes again without being a repeat, and is not another request either.
        if (!retry && avoid.length > 0) return state;
        const fleetRetries = retry
            ? takeRepeat(state.fleetRetries, state.hosts, now)
            : countRequest(state.fleetRetries, now);
        return fleetRetries && { ...state, fleetRetries };
    }
    const keys = [`w/${job.group.workspace}`, ...avoid.map(id => `e/${id}`)];
    const retries = retry ? spendRetry(state.retries, keys) : earnRetry(state.retries, keys, job.policy.retryShare);
    return retries && { ...state, retries };
}

/** A request that has come, or comes again: it is placed, waits, or is refused at once. */
export function arrive(state: SchedulerState, waiting: Waiting, now: number): Decision {
    const { job } = waiting;
    const paid = payFor(state, waiting, now);
    if (!paid) {
        return { state, actions: [refuse(job.id, "retryBudget", "the retry budget is used up", job.policy.maxWaitMs)] };
    }
    if (!isServed(paid, job)) return { state: paid, actions: [refuseUnserved(job)] };
    if (state.waiting.length === 0) {
        const placed = place(paid, waiting, now);
        if (placed) return placed;
    }
    const position = state.waiting.length + 1;
    const isFull = position > job.policy.queueLimit;
    if (isFull || !isInTime(paid, waiting, position, now)) {
        const reason = isFull ? "queueFull" : "waitTooLong";
        return placeFar(paid, waiting, now) ?? refuseForRoom(paid, waiting, reason, position, now);
    }
    return drain({ ...paid, waiting: [...state.waiting, waiting] }, now);
}

/** Gives up waits that cannot succeed, then starts what fits, the most urgent first. */
export function drain(state: SchedulerState, now: number): Decision {
    if (state.waiting.length === 0) return { state, actions: [] };
    const actions: SchedulerAction[] = [];
    const kept: Waiting[] = [];
    let next = state;
    for (const waiting of state.waiting) {
        const { job } = waiting;
        const position = kept.length + 1;
        if (!isInTime(state, waiting, position, now)) {
            const ended = placeFar(next, waiting, now) ?? refuseForRoom(next, waiting, "waitTooLong", position, now);
            next = ended.state;
            actions.push(...ended.actions);
        }
        else if (!isServed(state, job)) actions.push(refuseUnserved(job));
        else kept.push(waiting);
    }
    next = { ...next, waiting: kept };
    for (const waiting of mostUrgent(next, now)) {
        const placed = place(next, waiting, now);
        if (!placed) {
            if (now - waiting.since > waiting.job.policy.maxWaitMs * HOLD_SHARE) break;
            continue;
        }
        next = {
            ...placed.state,
            waiting: placed.state.waiting.filter(other => other !== waiting),
            drain: onStart(next.drain, now, waiting.since),
        };
        actions.push(...placed.actions);
    }
    return { state: next, actions };
}

function mostUrgent(state: SchedulerState, now: number): readonly Waiting[] {
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
    return ranked.slice(0, TRIES_PER_DRAIN).map(({ waiting }) => waiting);
}
