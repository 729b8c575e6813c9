/**
 * An owner's answer to another host that asks where its request should go. The owner keeps the account of what all
 * hosts run at its endpoints, so it chooses among these.
 *
 * @module
 */
import { allowsRequest } from "./breaker.js";
import { assess, chooseStandby, serves } from "./choose.js";
import type { RequestProfile } from "./demand.js";
import { mayAdmit } from "./endpoint-admission.js";
import { isLimited } from "./endpoint-limit.js";
import type { EndpointView } from "./endpoint.js";
import type { PlacementAdvice, PlacementQuestion } from "./placement-question.js";
import type { SchedulerState } from "./scheduler-state.js";

/**
 * Chooses an endpoint for another host's request; undefined if none that this host owns has capacity.
 *
 * @example
 * ```ts
 * advisePlacement(state, question, now)?.endpoint;
 * ```
 */
export function advisePlacement(
    state: SchedulerState,
    question: PlacementQuestion,
    now: number,
): PlacementAdvice | undefined {
    const { hall, backUp } = question;
    const profile: RequestProfile = question;
    const views = eligibleViews(state, question, now);
    if (question.standbyOf) {
        const { endpoint: primary, roomShare } = question.standbyOf;
        const standby = chooseStandby(views, profile, primary, now, hall, roomShare);
        return standby === undefined ? undefined : { endpoint: undefined, standby };
    }
    let chosen: { readonly id: string; readonly score: number } | undefined;
    for (const view of views) {
        if (isLimited(view) || !mayAdmit(state, view, now)) continue;
        const candidate = assess(view, profile, { ...state, hall }, now);
        if (candidate && candidate.score < (chosen?.score ?? Infinity)) chosen = candidate;
    }
    if (!chosen) return undefined;
    const standby = backUp ? chooseStandby(views, profile, chosen.id, now, hall) : undefined;
    return { endpoint: chosen.id, standby };
}

/**
 * Owned endpoints that the asking host can use. Those with an open circuit breaker at this host are left out unless no
 * others remain.
 */
function eligibleViews(
    state: SchedulerState,
    { demand, exclude }: PlacementQuestion,
    now: number,
): readonly EndpointView[] {
    const known = state.endpoints.values();
    // Hosts may briefly disagree on who owns an endpoint. A host that is asked but owns none answers from all endpoints
    // that it knows.
    const asked = state.owned.size > 0 ? known.filter(view => state.owned.has(view.cfg.id)) : known;
    const open = asked.filter(view => serves(view, demand) && !exclude.includes(view.cfg.id));
    const withoutFailures = open.filter(view => allowsRequest(view.breaker, now));
    return withoutFailures.length > 0 ? withoutFailures : open;
}
