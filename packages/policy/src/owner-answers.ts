/**
 * What follows when an endpoint's owner has said where a request goes, or has not said it in time.
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

/** An owner's word: the request goes where it says, or goes back to those that wait. */
export function onOwnerAnswer(
    state: SchedulerState,
    { job, endpoint, standby, unread }: Extract<SchedulerEvent, { kind: "answer" }>,
    now: number,
): Decision {
    if (state.askedStandby.has(job)) return onStandbyAnswer(state, job, standby);
    const asked = state.asked.get(job);
    if (!asked) return { state, actions: [] };
    const cancelled = cancelAsk(state, job, now);
    const { waiting } = asked;
    const view = endpoint === undefined ? undefined : cancelled.endpoints.get(endpoint);
    // Named by an owner that has not heard of its limit, or that cannot know that it wants rest from this host.
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

/** Decides alone on a request whose owner does not answer; never for an endpoint that takes nothing new by now. */
export function decideAlone(state: SchedulerState, job: string, now: number): Decision {
    const { waiting, endpoint } = state.asked.get(job)!;
    const view = state.endpoints.get(endpoint);
    if (view && takesNew(view) && maySend(state, view, now)) {
        const admitted = recordOwnAdmission({ ...state, asked: withoutKey(state.asked, job) }, endpoint, now);
        return dispatch(admitted, waiting.job, endpoint, now);
    }
    const cancelled = cancelAsk(state, job, now);
    return serveQueue({ ...cancelled, waiting: [...cancelled.waiting, waiting] }, now);
}
