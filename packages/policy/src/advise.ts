/**
 * An owner's advice: where another host's request goes, among the endpoints whose account this host keeps.
 *
 * @module
 */
import { mayUse } from "./breaker.js";
import { assess, chooseBackup, serves } from "./choose.js";
import type { Wanted } from "./demand.js";
import { mayLetIn } from "./endpoint-admission.js";
import { isLimited } from "./endpoint-limit.js";
import type { EndpointView } from "./endpoint.js";
import type { Advice, Question } from "./placement-question.js";
import type { SchedulerState } from "./scheduler-state.js";

/**
 * Chooses for another host; undefined where no owned endpoint has room.
 *
 * @example
 * ```ts
 * advise(state, question, now)?.endpoint;
 * ```
 */
export function advise(state: SchedulerState, question: Question, now: number): Advice | undefined {
    const { hall, backUp } = question;
    const wanted: Wanted = question;
    const views = openTo(state, question, now);
    if (question.standbyOf) {
        const { endpoint: primary, roomShare } = question.standbyOf;
        const standby = chooseBackup(views, wanted, primary, now, hall, roomShare);
        return standby === undefined ? undefined : { endpoint: undefined, standby };
    }
    let best: { readonly id: string; readonly score: number } | undefined;
    for (const view of views) {
        if (isLimited(view) || !mayLetIn(state, view, now)) continue;
        const candidate = assess(view, wanted, { ...state, hall }, now);
        if (candidate && candidate.score < (best?.score ?? Infinity)) best = candidate;
    }
    if (!best) return undefined;
    const standby = backUp ? chooseBackup(views, wanted, best.id, now, hall) : undefined;
    return { endpoint: best.id, standby };
}

/** Owned endpoints that the asker can use. This host's own failures with one count only where others are left. */
function openTo(state: SchedulerState, { demand, exclude }: Question, now: number): readonly EndpointView[] {
    const known = state.endpoints.values();
    // Hosts may disagree for a moment on who owns what: then what is known here must do.
    const asked = state.owned.size > 0 ? known.filter(view => state.owned.has(view.cfg.id)) : known;
    const open = asked.filter(view => serves(view, demand) && !exclude.includes(view.cfg.id));
    const sound = open.filter(view => mayUse(view.breaker, now));
    return sound.length > 0 ? sound : open;
}
