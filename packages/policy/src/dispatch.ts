/**
 * Sends placed requests, with the standbys of their copies, and asks owners who these are.
 *
 * @module
 */
import { evacuate, evacuateAt, findRunning, reserveBackup, reserveBackupAt } from "./backups.js";
import { usableEndpoints } from "./choose.js";
import { demandOf, profileOf } from "./demand.js";
import type { EndpointView } from "./endpoint.js";
import { type Job, PRIORITY_RANK } from "./job.js";
import { type Survival, survivalOf, survivalOfKnownLength } from "./length-estimate.js";
import type { Decision, PendingStandbyAsk, SchedulerState } from "./scheduler-state.js";

/** Up to this many hosts tell each other often enough that only crowded endpoints are asked for. */
const SMALL_FLEET_HOSTS = 12;

/** How long a job's output may be, by the evidence so far. */
export function survivalFor(state: SchedulerState, job: Job): Survival {
    if (state.variant.oracle && job.knownTokens !== undefined) return survivalOfKnownLength(job.knownTokens);
    return survivalOf(state.estimates, job.group, job.maxTokens);
}

/** Whether owners are asked at all. */
export function asksOwners({ variant, hosts }: SchedulerState): boolean {
    return variant.ask && variant.share === "owner" && hosts > 1;
}

/** Whether owners are asked for every request, whatever this host believes. */
export function alwaysAsksOwners(state: SchedulerState): boolean {
    return asksOwners(state) && state.variant.askAlways && state.hosts > SMALL_FLEET_HOSTS;
}

/** Endpoints that are not among those that may be used. */
export function idsOutside(state: SchedulerState, views: readonly EndpointView[]): readonly string[] {
    const ids = new Set(views.map(view => view.cfg.id));
    return state.endpoints.values().map(view => view.cfg.id).filter(id => !ids.has(id));
}

/** Whether a copy of the request is to be kept. */
export function wantsBackup(state: SchedulerState, job: Job): boolean {
    return job.backUp === true && state.variant.backups;
}

/** Sends a placed request, with the endpoint that is to keep its copy where it is worth one. */
export function dispatch(state: SchedulerState, job: Job, endpoint: string, now: number): Decision {
    const { state: next, standby } = wantsBackup(state, job)
        ? reserveBackup(state, job, endpoint, now)
        : { state, standby: undefined };
    return dispatchWithStandby(next, job, endpoint, standby);
}

/** Sends a placed request whose standby is known. */
export function dispatchWithStandby(
    state: SchedulerState,
    job: Job,
    endpoint: string,
    standby: string | undefined,
): Decision {
    const priority = state.variant.priorities ? PRIORITY_RANK[job.policy.priority] : 0;
    return { state, actions: [{ kind: "dispatch", job: job.id, endpoint, priority, backUp: standby }] };
}

/** Asks an owner who keeps a running request's next copy; undefined where this host decides alone. */
export function askStandby(
    state: SchedulerState,
    job: string,
    purpose: PendingStandbyAsk["purpose"],
    roomShare: number,
    now: number,
): Decision | undefined {
    const found = findRunning(state, job);
    if (!found || !alwaysAsksOwners(state) || state.owned.size > 0) return undefined;
    const { from, running } = found;
    const views = usableEndpoints(state.endpoints.values(), demandOf(running.job, running.survival), [from], now);
    const question = {
        ...profileOf(running.job, running.survival),
        curve: running.curve,
        hall: state.hall ?? "",
        exclude: idsOutside(state, views),
        backUp: true,
        standbyOf: { endpoint: from, roomShare },
    };
    const askedStandby = new Map(state.askedStandby).set(job, { purpose, at: now });
    // Any endpoint's owner may be asked; the one that the request leaves may be declared no more.
    const endpoint = views[0]?.cfg.id ?? from;
    return { state: { ...state, askedStandby }, actions: [{ kind: "ask", job, endpoint, question }] };
}

/** An owner's word on a standby. */
export function onStandbyAnswer(state: SchedulerState, job: string, standby: string | undefined): Decision {
    const { purpose } = state.askedStandby.get(job)!;
    const next = { ...state, askedStandby: withoutKey(state.askedStandby, job) };
    if (purpose === "evacuate") return evacuateAt(next, job, standby);
    const found = findRunning(next, job);
    if (!found) return { state: next, actions: [] };
    const kept = standby === undefined ? next : reserveBackupAt(next, job, found.from, standby);
    return dispatchWithStandby(kept, found.running.job, found.from, standby);
}

/** Decides alone on a standby whose owner does not answer. */
export function decideStandbyAlone(state: SchedulerState, job: string, now: number): Decision {
    const { purpose } = state.askedStandby.get(job)!;
    const next = { ...state, askedStandby: withoutKey(state.askedStandby, job) };
    if (purpose === "evacuate") return evacuate(next, job, now);
    const found = findRunning(next, job);
    return found ? dispatch(next, found.running.job, found.from, now) : { state: next, actions: [] };
}

/** The map without a key. */
export function withoutKey<V>(map: ReadonlyMap<string, V>, key: string): ReadonlyMap<string, V> {
    const next = new Map(map);
    next.delete(key);
    return next;
}
