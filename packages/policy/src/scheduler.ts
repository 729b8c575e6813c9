/**
 * One host's decisions about where and when requests run: `decide(state, event, now)`.
 *
 * Pure: the same state, event and time give the same result, so the decisions of many hosts can be driven from one
 * process. Times are milliseconds on the clock by which `now` is given.
 *
 * @module
 */
import { onArrival, serveQueue } from "./admission-queue.js";
import { awaitsDispatch, dropBackup, evacuate } from "./backups.js";
import { onReachable, onResult, onUnreachable } from "./breaker.js";
import { recordBrittle } from "./brittle.js";
import { BACKUP_MEMORY_SHARE, EVACUATION_MEMORY_SHARE } from "./choose.js";
import { mayContinueWhileCold } from "./cold.js";
import { restoreRetained, retainDeparted } from "./departed-endpoints.js";
import { askOwnerForStandby, decideStandbyWithoutOwner, dispatch, wantsBackup } from "./dispatch.js";
import { recordAdmission } from "./endpoint-admission.js";
import { isLimited, limitAdmits } from "./endpoint-limit.js";
import { EndpointTable } from "./endpoint-table.js";
import {
    acceptsContinuation,
    applyAnnouncedLimit,
    applyOthers,
    applyReport,
    applyRest,
    createEndpoint,
    isResting,
    promoteBackup,
    redeclare,
    removeStream,
    type RunningStream,
    setLeaving,
} from "./endpoint.js";
import { addLoan, endBorrowed, endLoan } from "./limit-loans.js";
import { decideWithoutOwner, onOwnerAnswer } from "./owner-answers.js";
import { cancelAsk } from "./place.js";
import { isServable, NO_ENDPOINT_RETRY_MS, refuse } from "./refusal.js";
import {
    type Decision,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
    updateEndpoint,
} from "./scheduler-state.js";
import { deleteIn, getIn, setIn } from "./shard-map.js";
import { applyOwnerSpeed, recordPeerSums } from "./speed-tracking.js";
import { onEnded, onProgress } from "./stream-events.js";

/** The host waits this long for an owner's answer; after that it decides by what it knows. */
const ASK_TIMEOUT_MS = 100;

/**
 * Progress is reported at the first token, then at multiples of {@link EARLY_PROGRESS_EVERY} up to {@link
 * EARLY_PROGRESS_UNTIL} tokens, then at multiples of {@link PROGRESS_EVERY}.
 */
const EARLY_PROGRESS_EVERY = 16;
const EARLY_PROGRESS_UNTIL = 64;
/** Tokens between two progress reports of a long stream. */
export const PROGRESS_EVERY = 64;

/**
 * Whether a stream's progress is reported at this token count: often while the stream is young and its length most
 * uncertain.
 *
 * @example
 * ```ts
 * [1, 2, 16, 32, 64, 80, 128].filter(isProgressDue); // [1, 16, 32, 64, 128]
 * ```
 */
export function isProgressDue(produced: number): boolean {
    if (produced === 1) return true;
    return produced % (produced <= EARLY_PROGRESS_UNTIL ? EARLY_PROGRESS_EVERY : PROGRESS_EVERY) === 0;
}

type Handler<K extends SchedulerEvent["kind"]> = (
    state: SchedulerState,
    event: Extract<SchedulerEvent, { kind: K }>,
    now: number,
) => Decision;

/**
 * Handles one event.
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
            return known
                ? redeclare(known, cfg, now)
                : restoreRetained(createEndpoint(cfg, now), state.remembered, now);
        });
        const names = new Set(endpoints.map(cfg => cfg.id));
        const gone = state.endpoints.values().filter(view => !names.has(view.cfg.id));
        // An endpoint that is no longer declared is kept, without models, until its streams and copies are gone.
        const left = gone.filter(view => view.streams.size + view.backups.size > 0)
            .map(view => redeclare(view, { ...view.cfg, models: [] }, now));
        const next = EndpointTable.of([...declared, ...left]);
        return serveQueue({ ...state, endpoints: next, remembered: retainDeparted(state.remembered, gone, now) }, now);
    },
    leaving: (state, { endpoint, source, leaving }, now) => {
        const known = state.endpoints.get(endpoint)?.leavingBy.includes(source);
        if (known === undefined || known === leaving) return { state, actions: [] };
        const changed = updateEndpoint(state, endpoint, view => setLeaving(view, source, leaving, now));
        return serveQueue(changed, now);
    },
    report: (state, { endpoint, report }, now) => {
        // With several hosts, an owner's account of what the others hold is newer than any load report.
        if (state.variant.share === "owner" && state.hosts > 1) return { state, actions: [] };
        return serveQueue(
            updateEndpoint(state, endpoint, view => applyReport(view, report, state.variant.lagCorrection)),
            now,
        );
    },
    hosts: (state, { count, place = 0, unheard = 0, mark = 0 }, now) => {
        const { since = now, most, ...known } = state.fleet;
        const changedAt = known.place === place && known.live === count ? known.changedAt : now;
        const fleet = { since, place, live: count, most: Math.max(most, count + unheard), changedAt, mark };
        return { state: { ...state, hosts: count, fleet }, actions: [] };
    },
    letIn: (state, { endpoint }, now) => {
        const letIn = recordAdmission(state, state.endpoints.get(endpoint), now);
        return { state: { ...state, letIn }, actions: [] };
    },
    owns: (state, { endpoints }, now) => {
        const ownedSince = new Map(endpoints.map(id => [id, state.ownedSince.get(id) ?? now]));
        return { state: { ...state, owned: new Set(endpoints), ownedSince }, actions: [] };
    },
    answer: onOwnerAnswer,
    others: (state, { endpoint, others, speed }, now) => {
        const taken = updateEndpoint(state, endpoint, view => applyOthers(view, others, now));
        return serveQueue(speed ? applyOwnerSpeed(taken, endpoint, speed, now) : taken, now);
    },
    shown: (state, { host, endpoint, shown }, now) => ({
        state: recordPeerSums(state, host, endpoint, shown, now),
        actions: [],
    }),
    arrive: (state, { job, avoid, retry }, now) => onArrival(state, { job, avoid, retry, since: now }, now),
    // Capacity that comes free while streams run is used at the next tick: searching on each progress event would cost
    // far more.
    progress: (state, event, now) => ({ state: onProgress(state, event, now), actions: [] }),
    ended: (state, { job, outcome, produced }, now) => serveQueue(onEnded(state, job, outcome, produced, now), now),
    continue: (state, { job, failed }, now) => continueAtStandby(state, job, failed, now),
    evacuate: (state, { job }, now) => {
        // No endpoint runs the request now that could be told to copy it.
        if (awaitsDispatch(state, job)) return { state, actions: [{ kind: "noCopy", job }] };
        return askOwnerForStandby(state, job, "evacuate", EVACUATION_MEMORY_SHARE, now) ?? evacuate(state, job, now);
    },
    said: (state, { endpoint, said }, now) => {
        const models = state.endpoints.get(endpoint)?.cfg.models ?? [];
        const brittleServices = recordBrittle(state.brittleServices, models, said, now);
        const changed = updateEndpoint(state, endpoint, view => applyAnnouncedLimit(view, said, now));
        return { state: { ...changed, brittleServices }, actions: [] };
    },
    loan: (state, { endpoint, side, loan }, now) =>
        serveQueue({ ...state, loans: addLoan(state.loans, endpoint, side, loan, now) }, now),
    loanEnds: (state, { endpoint, side, id, at }) => ({
        state: { ...state, loans: endLoan(state.loans, endpoint, side, id, at) },
        actions: [],
    }),
    lenderRestarted: (state, { isTheirs }) => ({
        state: { ...state, loans: endBorrowed(state.loans, isTheirs) },
        actions: [],
    }),
    rest: (state, { endpoint, until }) => ({
        state: updateEndpoint(state, endpoint, view => applyRest(view, until)),
        actions: [],
    }),
    doubt: (state, { endpoint, until }, now) =>
        serveQueue(updateEndpoint(state, endpoint, view => ({ ...view, restartDoubtUntil: until })), now),
    unreachable: (state, { endpoint }, now) => ({
        state: updateEndpoint(state, endpoint, view => ({ ...view, breaker: onUnreachable(view.breaker, now) })),
        actions: [],
    }),
    reach: (state, { doubted, back }, now) => {
        const endpoints = EndpointTable.of(
            state.endpoints.values().map(view => ({
                ...view,
                isInDoubt: doubted.halls.includes(view.cfg.hall) || doubted.endpoints.includes(view.cfg.id),
                breaker: back.includes(view.cfg.hall) ? onReachable(view.breaker, now) : view.breaker,
            })),
        );
        return serveQueue({ ...state, endpoints }, now);
    },
    copyLost: (state, { job }) => ({ state: dropBackup(state, job), actions: [] }),
    lifeOver: (state, { endpoint }) => {
        const held = [...state.endpoints.get(endpoint)?.backups.keys() ?? []];
        return { state: held.reduce(dropBackup, state), actions: [] };
    },
    withdraw: (state, { job }, now) => {
        const waiting = state.waiting.filter(other => other.job.id !== job);
        return { state: { ...cancelAsk(state, job, now), waiting }, actions: [] };
    },
    tick: (state, _event, now) => {
        const actions: SchedulerAction[] = [];
        let next = state;
        for (const [id, { at }] of state.asked) {
            if (now - at < ASK_TIMEOUT_MS) continue;
            const settled = decideWithoutOwner(next, id, now);
            next = settled.state;
            actions.push(...settled.actions);
        }
        for (const [id, { at }] of state.askedForStandby) {
            if (now - at < ASK_TIMEOUT_MS) continue;
            const settled = decideStandbyWithoutOwner(next, id, now);
            next = settled.state;
            actions.push(...settled.actions);
        }
        const served = serveQueue(next, now);
        return { state: served.state, actions: [...actions, ...served.actions] };
    },
};

/** A copy from which a request may continue now. */
interface UsableCopy {
    readonly standby: string;
    readonly running: RunningStream;
}

function usableCopy(state: SchedulerState, job: string, now: number): UsableCopy | undefined {
    const standby = getIn(state.standbys, job);
    const keeper = standby === undefined ? undefined : state.endpoints.get(standby);
    const running = keeper?.backups.get(job);
    if (standby === undefined || !keeper || !running) return undefined;
    const isOpen = keeper.cfg.isEvacuated !== true
        && acceptsContinuation(keeper, now)
        && !isResting(keeper, now)
        && mayContinueWhileCold(keeper, running.job.promptTokens, now)
        && limitAdmits(keeper, state.letIn.get(standby) ?? [], state, now);
    return isOpen && isServable(state, running.job) ? { standby, running } : undefined;
}

/**
 * Whether a running request could continue elsewhere now: a copy of it is kept and may be used.
 *
 * @example
 * ```ts
 * if (!canContinue(state, "r1", now)) wait();
 * ```
 */
export function canContinue(state: SchedulerState, job: string, now: number): boolean {
    return usableCopy(state, job, now) !== undefined;
}

/** Continues a request at the endpoint that keeps its copy; refused if there is no usable copy. */
function continueAtStandby(state: SchedulerState, job: string, failed: boolean, now: number): Decision {
    const source = getIn(state.placed, job);
    const copy = usableCopy(state, job, now);
    if (source === undefined || !copy) {
        return { state, actions: [refuse(job, "noEndpoint", "no endpoint keeps a copy", NO_ENDPOINT_RETRY_MS)] };
    }
    const { standby, running } = copy;
    const left = updateEndpoint(state, source, view => ({
        ...removeStream(view, job, now),
        breaker: failed ? onResult(view.breaker, false, now) : view.breaker,
    }));
    const promoted = updateEndpoint(left, standby, view => promoteBackup(view, job));
    const keeper = promoted.endpoints.get(standby)!;
    const next = {
        ...promoted,
        placed: setIn(promoted.placed, job, standby),
        standbys: deleteIn(promoted.standbys, job),
        letIn: isLimited(keeper) ? recordAdmission(promoted, keeper, now) : promoted.letIn,
    };
    const asks = wantsBackup(next, running.job)
        ? askOwnerForStandby(next, job, "continue", BACKUP_MEMORY_SHARE, now)
        : undefined;
    return asks ?? dispatch(next, running.job, standby, now);
}
