/**
 * Places a request once the owner that was asked has answered, or has not answered in time.
 *
 * @module
 */
import { serveQueue } from "./admission-queue.js";
import { reserveBackupAt } from "./backups.js";
import { onSent } from "./breaker.js";
import { dispatch, dispatchWithStandby, onStandbyAnswer, survivalFor, withoutKey } from "./dispatch.js";
import { maySend } from "./endpoint-admission.js";
import { isLimited } from "./endpoint-limit.js";
import { addStream, isResting, takesNew } from "./endpoint.js";
import { cancelAsk, recordOwnAdmission } from "./place.js";
import { type Decision, type SchedulerEvent, type SchedulerState, updateEndpoint } from "./scheduler-state.js";
import { setIn } from "./shard-map.js";

/** Handles an owner's answer: sends the request to the endpoint that it names, or puts it back in the queue. */
export function onOwnerAnswer(
    state: SchedulerState,
    { job, endpoint, standby, unread, standbyOf }: Extract<SchedulerEvent, { kind: "answer" }>,
    now: number,
): Decision {
    if (standbyOf) return onStandbyAnswer(state, job, standbyOf, standby);
    const asked = state.asked.get(job);
    if (!asked) return { state, actions: [] };
    const cancelled = cancelAsk(state, job, now);
    const { waiting } = asked;
    const view = endpoint === undefined ? undefined : cancelled.endpoints.get(endpoint);
    // The owner may not have heard of the endpoint's limit yet, and cannot know that the endpoint asked this host for
    // rest.
    const isThrottledHere = view !== undefined && (isLimited(view) || isResting(view, now));
    if (endpoint === undefined || !view || !takesNew(view) || isThrottledHere) {
        const requeued = endpoint === undefined || isThrottledHere ? { ...waiting, noCapacityAt: now } : waiting;
        return serveQueue({ ...cancelled, waiting: [...cancelled.waiting, requeued] }, now);
    }
    const survival = survivalFor(cancelled, waiting.job);
    const added = updateEndpoint(cancelled, endpoint, known => ({
        ...addStream(known, waiting.job, survival, now, unread),
        breaker: onSent(known.breaker),
    }));
    const placed = { ...added, placed: setIn(added.placed, job, endpoint) };
    return standby === undefined
        ? dispatchWithStandby(placed, waiting.job, endpoint, undefined)
        : dispatchWithStandby(reserveBackupAt(placed, job, endpoint, standby), waiting.job, endpoint, standby);
}

/**
 * Decides without the owner, which has not answered. The request is sent only if the endpoint still takes new work;
 * otherwise it goes back to the queue.
 */
export function decideWithoutOwner(state: SchedulerState, job: string, now: number): Decision {
    const { waiting, endpoint } = state.asked.get(job)!;
    const view = state.endpoints.get(endpoint);
    if (view && takesNew(view) && maySend(state, view, now)) {
        const admitted = recordOwnAdmission({ ...state, asked: withoutKey(state.asked, job) }, endpoint, now);
        return dispatch(admitted, waiting.job, endpoint, now);
    }
    const cancelled = cancelAsk(state, job, now);
    return serveQueue({ ...cancelled, waiting: [...cancelled.waiting, waiting] }, now);
}
