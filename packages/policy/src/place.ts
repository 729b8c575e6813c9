/**
 * Places a request at the best endpoint with capacity by what this host knows, or asks that endpoint's owner where it
 * should run.
 *
 * @module
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { onInconclusive, onSent } from "./breaker.js";
import { assess, type Candidate, usableEndpoints } from "./choose.js";
import { profileOf } from "./demand.js";
import {
    alwaysAsksOwners,
    asksOwners,
    dispatch,
    idsOutside,
    survivalFor,
    wantsBackup,
    withoutKey,
} from "./dispatch.js";
import { maySend, recordAdmission } from "./endpoint-admission.js";
import { isLimited } from "./endpoint-limit.js";
import { addStream, isResting, removeStream, streamCount } from "./endpoint.js";
import type { Variant } from "./job.js";
import type { WaitingRequest } from "./queue-order.js";
import { type Decision, type SchedulerState, updateEndpoint } from "./scheduler-state.js";
import { deleteIn, setIn } from "./shard-map.js";

/**
 * Capacity comes free as streams end and prompts are prefilled: an owner that had none is asked again after this time.
 */
const ASK_AGAIN_MS = 50;

/**
 * Places a request at the best endpoint with capacity; undefined if none has any.
 *
 * @param includeInDoubt Whether endpoints in doubt, i.e. those that this host can probably not reach, are tried as well.
 */
export function place(
    state: SchedulerState,
    waiting: WaitingRequest,
    now: number,
    includeInDoubt = false,
): Decision | undefined {
    const { job, noCapacityAt } = waiting;
    if (noCapacityAt !== undefined && now - noCapacityAt < ASK_AGAIN_MS) return undefined;
    const survival = survivalFor(state, job);
    const profile = profileOf(job, survival, now - waiting.since);
    const views = usableEndpoints(state.endpoints.values(), profile.demand, waiting.avoid, now, includeInDoubt);
    const sharesLoad = state.variant.admission !== "none";
    const candidates = views.filter(view => maySend(state, view, now, sharesLoad))
        .map(view => assess(view, profile, state, now))
        .filter(candidate => candidate !== undefined);
    const pick = job.isSuspect ? fewestStreams(state) : PICKERS[state.variant.choice];
    const chosen = candidates.length > 0 ? pick(candidates, state.turn) : undefined;
    // In large halls hosts exchange their load rarely, so an owner is asked for every stream, whatever this host knows.
    // Not for a suspect request: an owner would place it like any other.
    const alwaysAsks = alwaysAsksOwners(state) && !job.isSuspect;
    // Each host keeps to its own share of an endpoint's limit, so owners admit nothing there.
    const advisable = views.filter(view => !isLimited(view) && !isResting(view, now));
    const id = chosen?.id ?? (alwaysAsks ? advisable[state.turn % Math.max(1, advisable.length)]?.cfg.id : undefined);
    if (id === undefined) return undefined;
    const isAdvisable = advisable.some(view => view.cfg.id === id);
    const asks = isAdvisable && (alwaysAsks || asksOwners(state) && chosen?.crowded === true && !job.isSuspect);
    const mustAsk = asks && !state.owned.has(id);
    if (!mustAsk && !chosen) return undefined;
    const added = updateEndpoint(state, id, view => ({
        ...addStream(view, job, survival, now),
        breaker: onSent(view.breaker),
    }));
    const next = { ...added, turn: state.turn + 1, placed: setIn(state.placed, job.id, id) };
    if (!mustAsk) return dispatch(recordOwnAdmission(next, id, now), job, id, now);
    const asked = new Map(state.asked).set(job.id, { waiting, endpoint: id, at: now });
    const question = {
        ...profile,
        hall: state.hall ?? "",
        exclude: idsOutside(state, advisable),
        backUp: wantsBackup(state, job),
    };
    return { state: { ...next, asked }, actions: [{ kind: "ask", job: job.id, endpoint: id, question }] };
}

/**
 * Places a request that would otherwise be refused for lack of capacity, also at endpoints in doubt: they may be
 * reachable after all.
 */
export function placeIncludingInDoubt(
    state: SchedulerState,
    waiting: WaitingRequest,
    now: number,
): Decision | undefined {
    const isAnyInDoubt = state.endpoints.values().some(view => view.isInDoubt);
    return isAnyInDoubt ? place(state, waiting, now, true) : undefined;
}

/** Counts a request that this host sends by its own decision against the endpoint's rate bounds. */
export function recordOwnAdmission(state: SchedulerState, endpoint: string, now: number): SchedulerState {
    return { ...state, letIn: recordAdmission(state, state.endpoints.get(endpoint), now) };
}

/** Withdraws a question to an owner and releases the capacity that was counted for the request. */
export function cancelAsk(state: SchedulerState, job: string, now: number): SchedulerState {
    const asked = state.asked.get(job);
    if (!asked) return state;
    const freed = updateEndpoint(state, asked.endpoint, view => ({
        ...removeStream(view, job, now),
        breaker: onInconclusive(view.breaker),
    }));
    return { ...freed, asked: withoutKey(state.asked, job), placed: deleteIn(state.placed, job) };
}

/**
 * Returns the candidate with the lowest score. Candidates with equal scores take turns, so that hosts do not all choose
 * the same one.
 */
function lowestScore(candidates: readonly Candidate[], turn: number): Candidate {
    const first = turn - 1;
    let chosen = candidates[first % candidates.length]!;
    for (let at = 1; at < candidates.length; at++) {
        const other = candidates[(first + at) % candidates.length]!;
        if (other.score < chosen.score) chosen = other;
    }
    return chosen;
}

/** Picks the endpoint with the fewest streams, as the request may crash it. */
function fewestStreams({ endpoints }: SchedulerState): (candidates: readonly Candidate[], turn: number) => Candidate {
    return (candidates, turn) => {
        const streamCounts = candidates.map(({ id }) => streamCount(endpoints.get(id)!));
        const least = Math.min(...streamCounts);
        return lowestScore(candidates.filter((_candidate, at) => streamCounts[at] === least), turn);
    };
}

const PICKERS: { readonly [K in Variant["choice"]]: (candidates: readonly Candidate[], turn: number) => Candidate } = {
    score: lowestScore,
    leastOutstanding: lowestScore,
    roundRobin: (candidates, turn) => candidates[turn % candidates.length]!,
    twoChoices: (candidates, turn) => {
        const random = xoroshiro128plus(turn);
        const last = candidates.length - 1;
        const pair = [unsafeUniformIntDistribution(0, last, random), unsafeUniformIntDistribution(0, last, random)];
        return lowestScore(pair.map(at => candidates[at]!), turn);
    },
};
