/**
 * Where a request runs: at the best endpoint that has room by what this host knows, or where that endpoint's owner says once it
 * was asked.
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

/** Room comes as streams end and prompts are read: an owner that had none is asked again after this. */
const ASK_AGAIN_MS = 50;

/**
 * Gives a request to the best endpoint that has room; undefined where none has.
 *
 * @param includeDoubted Whether endpoints of halls in doubt are tried as well.
 */
export function place(
    state: SchedulerState,
    waiting: WaitingRequest,
    now: number,
    includeDoubted = false,
): Decision | undefined {
    const { job, noCapacityAt } = waiting;
    if (noCapacityAt !== undefined && now - noCapacityAt < ASK_AGAIN_MS) return undefined;
    const survival = survivalFor(state, job);
    const profile = profileOf(job, survival, now - waiting.since);
    const views = usableEndpoints(state.endpoints.values(), profile.demand, waiting.avoid, now, includeDoubted);
    const candidates = views.filter(view => maySend(state, view, now))
        .map(view => assess(view, profile, state, now))
        .filter(candidate => candidate !== undefined);
    const pick = job.isSuspect ? fewestStreams(state) : PICKERS[state.variant.choice];
    const chosen = candidates.length > 0 ? pick(candidates, state.turn) : undefined;
    // Rounds of telling are long in large halls: there every stream is asked for, whatever this host believes. An owner would
    // choose for a suspect as for any other.
    const alwaysAsks = alwaysAsksOwners(state) && !job.isSuspect;
    // Each host keeps its own part of an endpoint's limit: owners let nobody in there.
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

/** Gives a request that would be refused for room to an endpoint of a hall in doubt, which may be reached after all. */
export function placeIncludingDoubted(
    state: SchedulerState,
    waiting: WaitingRequest,
    now: number,
): Decision | undefined {
    const isAnyInDoubt = state.endpoints.values().some(view => view.isInDoubt);
    return isAnyInDoubt ? place(state, waiting, now, true) : undefined;
}

/** The state after a request was sent to an endpoint by this host's own decision. */
export function recordOwnAdmission(state: SchedulerState, endpoint: string, now: number): SchedulerState {
    return { ...state, letIn: recordAdmission(state.letIn, state.endpoints.get(endpoint), now) };
}

/** The state without a request that an owner was asked about. */
export function cancelAsk(state: SchedulerState, job: string, now: number): SchedulerState {
    const asked = state.asked.get(job);
    if (!asked) return state;
    const freed = updateEndpoint(state, asked.endpoint, view => ({
        ...removeStream(view, job, now),
        breaker: onInconclusive(view.breaker),
    }));
    return { ...freed, asked: withoutKey(state.asked, job), placed: deleteIn(state.placed, job) };
}

/** The candidate of the best score. Equal ones take turns, so that hosts do not all choose the same. */
function lowestScore(candidates: readonly Candidate[], turn: number): Candidate {
    const first = turn - 1;
    let chosen = candidates[first % candidates.length]!;
    for (let at = 1; at < candidates.length; at++) {
        const other = candidates[(first + at) % candidates.length]!;
        if (other.score < chosen.score) chosen = other;
    }
    return chosen;
}

/** Picks the endpoint at which the fewest streams would be lost with it. */
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
