/**
 * An owner's advice: where another host's request goes, among the endpoints whose account this host keeps.
 *
 * @module
 */
import { allowsRequest } from "./breaker.js";
import { assess, chooseStandby, serves } from "./choose.js";
import type { RequestProfile } from "./demand.js";
import { mayAdmit } from "./endpoint-admission.js";
import { isLimited } from "./endpoint-limit.js";
import type { EndpointView } from "./endpoint.js";
import type { PlacementAdvice, Question } from "./placement-question.js";
import type { SchedulerState } from "./scheduler-state.js";

/**
 * Chooses for another host; undefined where no owned endpoint has room.
 *
 * @example
 * ```ts
 * advise(state, question, now)?.endpoint;
 * ```
 */
export function advise(state: SchedulerState, question: Question, now: number): PlacementAdvice | undefined {
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

/** Owned endpoints that the asker can use. This host's own failures with one count only where others are left. */
function eligibleViews(state: SchedulerState, { demand, exclude }: Question, now: number): readonly EndpointView[] {
    const known = state.endpoints.values();
    // Hosts may disagree for a moment on who owns what: then what is known here must do.
    const asked = state.owned.size > 0 ? known.filter(view => state.owned.has(view.cfg.id)) : known;
    const open = asked.filter(view => serves(view, demand) && !exclude.includes(view.cfg.id));
    const withoutFailures = open.filter(view => allowsRequest(view.breaker, now));
    return withoutFailures.length > 0 ? withoutFailures : open;
}
