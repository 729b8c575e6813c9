/**
 * What follows when an endpoint's owner has said where a request goes, or has not said it in time.
 *
 * @module
 */
import { drain } from "./admission-queue.js";
import { backUpAt } from "./backups.js";
import { onUse } from "./breaker.js";
import { dispatch, lengthsOf, send, standbyAnswered, without } from "./dispatch.js";
import { maySend } from "./endpoint-admission.js";
import { isLimited } from "./endpoint-limit.js";
import { addStream, isResting, takesNew } from "./endpoint.js";
import { letIntoPlaced, takeBack } from "./place.js";
import { type Decision, type SchedulerEvent, type SchedulerState, withView } from "./scheduler-state.js";
import { setIn } from "./shard-map.js";

/** An owner's word: the request goes where it says, or goes back to those that wait. */
export function answered(
    state: SchedulerState,
    { job, endpoint, standby, unread }: Extract<SchedulerEvent, { kind: "answer" }>,
    now: number,
): Decision {
    if (state.askedStandby.has(job)) return standbyAnswered(state, job, standby);
    const asked = state.asked.get(job);
    if (!asked) return { state, actions: [] };
    const back = takeBack(state, job, now);
    const { waiting } = asked;
    const view = endpoint === undefined ? undefined : back.endpoints.get(endpoint);
    // Named by an owner that has not heard of its limit, or that cannot know that it wants rest from this host.
    const unadvised = view !== undefined && (isLimited(view) || isResting(view, now));
    if (endpoint === undefined || !view || !takesNew(view) || unadvised) {
        const later = endpoint === undefined || unadvised ? { ...waiting, noRoomAt: now } : waiting;
        return drain({ ...back, waiting: [...back.waiting, later] }, now);
    }
    const survival = lengthsOf(back, waiting.job);
    const moved = withView(back, endpoint, known => ({
        ...addStream(known, waiting.job, survival, now, unread),
        breaker: onUse(known.breaker),
    }));
    const placed = { ...moved, placed: setIn(moved.placed, job, endpoint) };
    return standby === undefined
        ? send(placed, waiting.job, endpoint, undefined)
        : send(backUpAt(placed, job, endpoint, standby), waiting.job, endpoint, standby);
}

/** Decides alone on a request whose owner does not answer; never for an endpoint that takes nothing new by now. */
export function decideAlone(state: SchedulerState, job: string, now: number): Decision {
    const { waiting, endpoint } = state.asked.get(job)!;
    const view = state.endpoints.get(endpoint);
    if (view && takesNew(view) && maySend(state, view, now)) {
        const sent = letIntoPlaced({ ...state, asked: without(state.asked, job) }, endpoint, now);
        return dispatch(sent, waiting.job, endpoint, now);
    }
    const back = takeBack(state, job, now);
    return drain({ ...back, waiting: [...back.waiting, waiting] }, now);
}
