/**
 * One host's decisions about where and when requests run: `decide(state, event, now)`.
 *
 * Pure: the same state, event and time give the same result, so anyone can drive the decisions of many hosts from one
 * process. Times are milliseconds on one clock of the caller's choice.
 *
 * @module
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { type Breaker, onResult, onUnreachable, onUnused, onUse } from "./breaker.js";
import { backUpAt, dropBackup, rescue } from "./carry.js";
import { assess, BACKUP_ROOM_SHARE, type Candidate, RESCUE_ROOM_SHARE, usable, wantedOf } from "./choose.js";
import {
    alwaysAsksOwners,
    askKeeper,
    asksOwners,
    dispatch,
    keeperAnswered,
    lengthsOf,
    send,
    settleKeeper,
    unusable,
    wantsBackup,
    without,
} from "./dispatch.js";
import { EndpointTable } from "./endpoint-table.js";
import {
    addStream,
    createEndpoint,
    type EndpointView,
    moveStream,
    promoteBackup,
    removeStream,
    setLeaving,
    streamCount,
    takeOthers,
    takeReport,
} from "./endpoint.js";
import { observe } from "./estimate.js";
import { nextReturn, roomIn } from "./forecast.js";
import type { Job, Variant } from "./job.js";
import { observePace } from "./pace.js";
import { onStart, urgency, type Waiting } from "./queue.js";
import { observeReading, readingMs } from "./reading.js";
import { countRequest, earnRetry, spendRetry, takeRepeat } from "./retry-budget.js";
import {
    type Decision,
    type JobOutcome,
    type RefuseReason,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
    withView,
} from "./scheduler-state.js";
import { deleteIn, getIn, setIn } from "./shard-map.js";

/** How many waiting requests are tried when room may have come. */
const TRIES_PER_DRAIN = 8;
/** A waiting request that has used this share of its wait lets no later one pass it. */
const HOLD_SHARE = 0.5;
/** An owner that has not answered by then is not waited for: the host decides by what it knows. */
const ASK_TIMEOUT_MS = 100;
/** Room comes as streams end and prompts are read: an owner that had none is asked again after this. */
const ASK_AGAIN_MS = 50;
const LEAST_RETRY_AFTER_MS = 250;
/** When an endpoint for a model will be there again is not known; a caller is asked to come back after this. */
const NO_ENDPOINT_RETRY_MS = 5_000;

/** Progress is told at the first token, then this often up to {@link PROGRESS_EARLY}, then at {@link PROGRESS_EVERY}. */
const PROGRESS_FIRST = 16;
const PROGRESS_EARLY = 64;
/** Tokens between two reports of progress of a long stream. */
export const PROGRESS_EVERY = 64;

/**
 * Whether a host tells its decisions of a stream's progress at this count of tokens: often while the stream is young and
 * its length most uncertain.
 *
 * @example
 * ```ts
 * [1, 2, 16, 32, 64, 80, 128].filter(isProgressDue); // [1, 16, 32, 64, 128]
 * ```
 */
export function isProgressDue(produced: number): boolean {
    if (produced === 1) return true;
    return produced % (produced <= PROGRESS_EARLY ? PROGRESS_FIRST : PROGRESS_EVERY) === 0;
}

type Handler<K extends SchedulerEvent["kind"]> = (
    state: SchedulerState,
    event: Extract<SchedulerEvent, { kind: K }>,
    now: number,
) => Decision;

/**
 * Advances a host's decisions by one event.
 *
 * @example
 * ```ts
 * const { state, actions } = decide(before, { kind: "arrive", job, avoid: [], retry: false }, now);
 * ```
 */
export function decide(state: SchedulerState, event: SchedulerEvent, now: number): Decision {
    const handler = HANDLERS[event.kind] as (state: SchedulerState, event: SchedulerEvent, now: number) => Decision;
    return handler(state, event, now);
}

const HANDLERS: { readonly [K in SchedulerEvent["kind"]]: Handler<K> } = {
    endpoints: (state, { endpoints }, now) => {
        const declared = endpoints.map(cfg => {
            const known = state.endpoints.get(cfg.id);
            return known ? { ...known, cfg } : createEndpoint(cfg, now);
        });
        // An endpoint that is no longer declared keeps its streams until they end.
        const names = new Set(endpoints.map(cfg => cfg.id));
        const left = state.endpoints.values().filter(view =>
            !names.has(view.cfg.id) && view.streams.size + view.backups.size > 0
        )
            .map(view => ({ ...view, cfg: { ...view.cfg, models: [] } }));
        const next = EndpointTable.of([...declared, ...left]);
        return drain({ ...state, endpoints: next }, now);
    },
    leaving: (state, { endpoint, source, leaving }, now) => {
        const known = state.endpoints.get(endpoint)?.leavingBy.includes(source);
        if (known === undefined || known === leaving) return { state, actions: [] };
        const changed = withView(state, endpoint, view => setLeaving(view, source, leaving));
        return drain(changed, now);
    },
    report: (state, { endpoint, report }, now) => {
        // With owners, the account of what others hold is newer than any report.
        if (state.variant.share === "owner" && state.hosts > 1) return { state, actions: [] };
        return drain(withView(state, endpoint, view => takeReport(view, report, state.variant.lagCorrection)), now);
    },
    hosts: (state, { count }) => ({ state: { ...state, hosts: count }, actions: [] }),
    owns: (state, { endpoints }) => ({ state: { ...state, owned: new Set(endpoints) }, actions: [] }),
    answer: answered,
    others: (state, { endpoint, others }, now) =>
        drain(withView(state, endpoint, view => takeOthers(view, others, now)), now),
    arrive: (state, { job, avoid, retry }, now) => arrive(state, { job, avoid, retry, since: now }, now),
    // Room that grows while streams run is found at the next tick: a search on each progress would cost far more.
    progress: (state, event, now) => ({ state: progress(state, event, now), actions: [] }),
    ended: (state, { job, outcome, produced }, now) => drain(ended(state, job, outcome, produced, now), now),
    continue: (state, { job, failed }, now) => continueOn(state, job, failed, now),
    rescue: (state, { job }, now) => askKeeper(state, job, "rescue", RESCUE_ROOM_SHARE, now) ?? rescue(state, job, now),
    unreachable: (state, { endpoint }, now) => ({
        state: withView(state, endpoint, view => ({ ...view, breaker: onUnreachable(view.breaker, now) })),
        actions: [],
    }),
    copyLost: (state, { job }) => ({ state: dropBackup(state, job), actions: [] }),
    lifeOver: (state, { endpoint }) => {
        const held = [...state.endpoints.get(endpoint)?.backups.keys() ?? []];
        return { state: held.reduce(dropBackup, state), actions: [] };
    },
    withdraw: (state, { job }, now) => {
        const waiting = state.waiting.filter(other => other.job.id !== job);
        return { state: { ...takeBack(state, job, now), waiting }, actions: [] };
    },
    tick: (state, _event, now) => {
        const actions: SchedulerAction[] = [];
        let next = state;
        for (const [id, { at }] of state.asked) {
            if (now - at < ASK_TIMEOUT_MS) continue;
            const settled = settleAsked(next, id, now);
            next = settled.state;
            actions.push(...settled.actions);
        }
        for (const [id, { at }] of state.askedKeeper) {
            if (now - at < ASK_TIMEOUT_MS) continue;
            const settled = settleKeeper(next, id, now);
            next = settled.state;
            actions.push(...settled.actions);
        }
        const drained = drain(next, now);
        return { state: drained.state, actions: [...actions, ...drained.actions] };
    },
};

function refuse(job: string, reason: RefuseReason, detail: string, retryAfterMs: number): SchedulerAction {
    return {
        kind: "refuse",
        job,
        reason,
        detail,
        retryAfterMs: Math.max(LEAST_RETRY_AFTER_MS, Math.round(retryAfterMs)),
    };
}

/** Whether any endpoint runs the model and takes new work. */
function isServed(state: SchedulerState, job: Job): boolean {
    return state.endpoints.values().some(view =>
        view.leavingBy.length === 0 && view.cfg.models.includes(job.group.model)
    );
}

function refuseUnserved(job: Job): SchedulerAction {
    return refuse(job.id, "noEndpoint", "no endpoint that takes new work runs the model", NO_ENDPOINT_RETRY_MS);
}

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

function arrive(state: SchedulerState, waiting: Waiting, now: number): Decision {
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
    if (position > job.policy.queueLimit) return refuseForRoom(paid, waiting, "queueFull", position, now);
    if (!isInTime(paid, waiting, position, now)) {
        return refuseForRoom(paid, waiting, "waitTooLong", position, now);
    }
    return drain({ ...paid, waiting: [...state.waiting, waiting] }, now);
}

/** Whether room is forecast for a request at this place of the queue while its first token can still come in time. */
function isInTime(state: SchedulerState, { job, since }: Waiting, position: number, now: number): boolean {
    const room = state.variant.forecast ? roomIn(state.drain, position, state.waiting[0]?.since, now) : 0;
    const reading = state.variant.forecast ? readingMs(state.readingRate, job.promptTokens) : 0;
    return now - since + room + reading < job.policy.maxWaitMs;
}

/** Refuses a request for which no room is forecast in time, and tells when its caller finds some. */
function refuseForRoom(
    state: SchedulerState,
    { job, since }: Waiting,
    reason: RefuseReason,
    position: number,
    now: number,
): Decision {
    const room = roomIn(state.drain, position, state.waiting[0]?.since, now);
    const { returns, afterMs } = nextReturn(state.returns, room, state.drain?.meanMs ?? 0, now);
    const age = state.drain ? `${Math.round(now - state.drain.lastStart)} ms ago` : "never";
    const detail = `room in ${Math.round(room)} ms at place ${position} after ${
        Math.round(now - since)
    } ms, last seen ${age}`;
    return { state: { ...state, returns }, actions: [refuse(job.id, reason, detail, afterMs)] };
}

/** Gives a request to the best endpoint that has room; undefined where none has. */
function place(state: SchedulerState, waiting: Waiting, now: number): Decision | undefined {
    const { job, noRoomAt } = waiting;
    if (noRoomAt !== undefined && now - noRoomAt < ASK_AGAIN_MS) return undefined;
    const survival = lengthsOf(state, job);
    const wanted = wantedOf(job, survival, now - waiting.since);
    const views = usable(state.endpoints.values(), job.group.model, waiting.avoid, now);
    const candidates = views.map(view => assess(view, wanted, state, now))
        .filter(candidate => candidate !== undefined);
    const chosen = candidates.length > 0 ? PICK[state.variant.choice](candidates, state.turn) : undefined;
    // Rounds of telling are long in large halls: there every stream is asked for, whatever this host believes.
    const alwaysAsks = alwaysAsksOwners(state);
    const id = chosen?.id ?? (alwaysAsks ? views[state.turn % Math.max(1, views.length)]?.cfg.id : undefined);
    if (id === undefined) return undefined;
    const mustAsk = (alwaysAsks || asksOwners(state) && chosen?.crowded === true) && !state.owned.has(id);
    if (!mustAsk && !chosen) return undefined;
    const added = withView(state, id, view => ({
        ...addStream(view, job, survival, now),
        breaker: onUse(view.breaker),
    }));
    const next = { ...added, turn: state.turn + 1, placed: setIn(state.placed, job.id, id) };
    if (!mustAsk) return dispatch(next, job, id, now);
    const asked = new Map(state.asked).set(job.id, { waiting, endpoint: id, at: now });
    const question = {
        ...wanted,
        hall: state.hall ?? "",
        exclude: unusable(state, views),
        backUp: wantsBackup(state, job),
    };
    return { state: { ...next, asked }, actions: [{ kind: "ask", job: job.id, endpoint: id, question }] };
}

/** Lets a request go on at the endpoint that keeps its copy; refused where no such endpoint is left. */
function continueOn(state: SchedulerState, job: string, failed: boolean, now: number): Decision {
    const source = getIn(state.placed, job);
    const keeper = getIn(state.backedUp, job);
    const running = keeper === undefined ? undefined : state.endpoints.get(keeper)?.backups.get(job);
    if (source === undefined || keeper === undefined || !running || !isServed(state, running.job)) {
        return { state, actions: [refuse(job, "noEndpoint", "no endpoint keeps a copy", NO_ENDPOINT_RETRY_MS)] };
    }
    const left = withView(state, source, view => ({
        ...removeStream(view, job, now),
        breaker: failed ? onResult(view.breaker, false, now) : view.breaker,
    }));
    const promoted = withView(left, keeper, view => promoteBackup(view, job));
    const next = {
        ...promoted,
        placed: setIn(promoted.placed, job, keeper),
        backedUp: deleteIn(promoted.backedUp, job),
    };
    const asks = wantsBackup(next, running.job) ? askKeeper(next, job, "continue", BACKUP_ROOM_SHARE, now) : undefined;
    return asks ?? dispatch(next, running.job, keeper, now);
}

/** An owner's word: the request goes where it says, or goes back to those that wait. */
function answered(
    state: SchedulerState,
    { job, endpoint, keeper }: Extract<SchedulerEvent, { kind: "answer" }>,
    now: number,
): Decision {
    if (state.askedKeeper.has(job)) return keeperAnswered(state, job, keeper);
    const asked = state.asked.get(job);
    if (!asked) return { state, actions: [] };
    const back = takeBack(state, job, now);
    const { waiting } = asked;
    const view = endpoint === undefined ? undefined : back.endpoints.get(endpoint);
    if (endpoint === undefined || !view || isClosed(view)) {
        const later = endpoint === undefined ? { ...waiting, noRoomAt: now } : waiting;
        return drain({ ...back, waiting: [...back.waiting, later] }, now);
    }
    const survival = lengthsOf(back, waiting.job);
    const moved = withView(back, endpoint, known => ({
        ...addStream(known, waiting.job, survival, now),
        breaker: onUse(known.breaker),
    }));
    const placed = { ...moved, placed: setIn(moved.placed, job, endpoint) };
    return keeper === undefined
        ? send(placed, waiting.job, endpoint, undefined)
        : send(backUpAt(placed, job, endpoint, keeper), waiting.job, endpoint, keeper);
}

function isClosed(view: EndpointView): boolean {
    return view.leavingBy.length > 0 || view.cfg.models.length === 0;
}

/** Decides alone on a request whose owner does not answer; never for an endpoint that is leaving by now. */
function settleAsked(state: SchedulerState, job: string, now: number): Decision {
    const { waiting, endpoint } = state.asked.get(job)!;
    const view = state.endpoints.get(endpoint);
    if (view && !isClosed(view)) {
        return dispatch({ ...state, asked: without(state.asked, job) }, waiting.job, endpoint, now);
    }
    const back = takeBack(state, job, now);
    return drain({ ...back, waiting: [...back.waiting, waiting] }, now);
}

/** The state without a request that an owner was asked about. */
function takeBack(state: SchedulerState, job: string, now: number): SchedulerState {
    const asked = state.asked.get(job);
    if (!asked) return state;
    const freed = withView(state, asked.endpoint, view => ({
        ...removeStream(view, job, now),
        breaker: onUnused(view.breaker),
    }));
    return { ...freed, asked: without(state.asked, job), placed: deleteIn(state.placed, job) };
}

/** The candidate of the best score. Equal ones take turns, so that hosts do not all choose the same. */
function best(candidates: readonly Candidate[], turn: number): Candidate {
    const first = turn - 1;
    let chosen = candidates[first % candidates.length]!;
    for (let at = 1; at < candidates.length; at++) {
        const other = candidates[(first + at) % candidates.length]!;
        if (other.score < chosen.score) chosen = other;
    }
    return chosen;
}

const PICK: { readonly [K in Variant["choice"]]: (candidates: readonly Candidate[], turn: number) => Candidate } = {
    score: best,
    leastOutstanding: best,
    roundRobin: (candidates, turn) => candidates[turn % candidates.length]!,
    twoChoices: (candidates, turn) => {
        const random = xoroshiro128plus(turn);
        const last = candidates.length - 1;
        const pair = [unsafeUniformIntDistribution(0, last, random), unsafeUniformIntDistribution(0, last, random)];
        return best(pair.map(at => candidates[at]!), turn);
    },
};

function afterOutcome(breaker: Breaker, outcome: JobOutcome, now: number): Breaker {
    if (outcome === "cancelled") return onUnused(breaker);
    if (outcome === "unreachable") return onUnreachable(breaker, now);
    return onResult(breaker, outcome !== "failed", now);
}

function progress(
    state: SchedulerState,
    event: Extract<SchedulerEvent, { kind: "progress" }>,
    now: number,
): SchedulerState {
    const id = getIn(state.placed, event.job);
    const running = id === undefined ? undefined : state.endpoints.get(id)?.streams.get(event.job);
    if (id === undefined || !running || event.produced <= running.produced) return state;
    const estimates = observe(state.estimates, running.job.group, running.produced, event.produced, false);
    const survival = lengthsOf({ ...state, estimates }, running.job);
    const readingRate = running.started
        ? state.readingRate
        : observeReading(state.readingRate, running.unreadThen, now - running.dispatchedAt);
    const keeper = getIn(state.backedUp, event.job);
    const kept = keeper === undefined
        ? { ...state, estimates, readingRate }
        : withView(
            { ...state, estimates, readingRate },
            keeper,
            view => moveStream(view, event.job, event.produced, survival),
        );
    return withView(kept, id, view => ({
        ...moveStream(view, event.job, event.produced, survival),
        pace: running.started ? observePace(view.pace, streamCount(view), event.meanGapMs, event.maxGapMs) : view.pace,
    }));
}

function ended(
    before: SchedulerState,
    job: string,
    outcome: JobOutcome,
    produced: number,
    now: number,
): SchedulerState {
    const state = before.askedKeeper.has(job)
        ? { ...before, askedKeeper: without(before.askedKeeper, job) }
        : before;
    const id = getIn(state.placed, job);
    const running = id === undefined ? undefined : state.endpoints.get(id)?.streams.get(job);
    if (id === undefined || !running) return state;
    const placed = deleteIn(state.placed, job);
    const whole = outcome === "whole";
    const estimates = produced > running.produced || whole
        ? observe(state.estimates, running.job.group, running.produced, Math.max(produced, running.produced), whole)
        : state.estimates;
    return withView(dropBackup({ ...state, placed, estimates }, job), id, view => {
        return { ...removeStream(view, job, now), breaker: afterOutcome(view.breaker, outcome, now) };
    });
}

/** Gives up waits that cannot succeed, then starts what fits, the most urgent first. */
function drain(state: SchedulerState, now: number): Decision {
    if (state.waiting.length === 0) return { state, actions: [] };
    const actions: SchedulerAction[] = [];
    const kept: Waiting[] = [];
    let next = state;
    for (const waiting of state.waiting) {
        const { job } = waiting;
        const position = kept.length + 1;
        if (!isInTime(state, waiting, position, now)) {
            const ended = refuseForRoom(next, waiting, "waitTooLong", position, now);
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
