/**
 * Dispatches placed requests and chooses the standby endpoint that keeps a request's copy. In a large hall the host
 * asks the owner of an endpoint for the standby.
 *
 * @module
 */
import { evacuate, evacuateAt, findRunning, reserveBackup, reserveBackupAt } from "./backups.js";
import { usableEndpoints } from "./choose.js";
import { demandOf, profileOf } from "./demand.js";
import type { EndpointView } from "./endpoint.js";
import { type Job, PRIORITY_RANK } from "./job.js";
import { type Survival, survivalOf, survivalOfKnownLength } from "./length-estimate.js";
import type { StandbyPurpose, StandbySubject } from "./placement-question.js";
import type { Decision, SchedulerState } from "./scheduler-state.js";

/**
 * In a hall of up to this many hosts, load reports are frequent enough that a host asks an owner only about crowded
 * endpoints.
 */
const SMALL_HALL_HOSTS = 12;

/** Distribution of a job's output length by the evidence so far. */
export function survivalFor(state: SchedulerState, job: Job): Survival {
    if (state.variant.oracle && job.knownTokens !== undefined) return survivalOfKnownLength(job.knownTokens);
    return survivalOf(state.estimates, job.group, job.maxTokens);
}

/** Whether this host asks owners at all. */
export function asksOwners({ variant, hosts }: SchedulerState): boolean {
    return variant.ask && variant.share === "owner" && hosts > 1;
}

/** Whether this host asks an owner for every request, whatever it knows itself. */
export function alwaysAsksOwners(state: SchedulerState): boolean {
    return asksOwners(state) && state.variant.askAlways && state.hosts > SMALL_HALL_HOSTS;
}

/** Ids of all known endpoints that are not among `views`. */
export function idsOutside(state: SchedulerState, views: readonly EndpointView[]): readonly string[] {
    const ids = new Set(views.map(view => view.cfg.id));
    return state.endpoints.values().map(view => view.cfg.id).filter(id => !ids.has(id));
}

/** Whether a standby endpoint should keep a copy of the request. */
export function wantsBackup(state: SchedulerState, job: Job): boolean {
    return job.backUp === true && state.variant.backups;
}

/** Dispatches a placed request and reserves a standby if the request is worth a copy. */
export function dispatch(state: SchedulerState, job: Job, endpoint: string, now: number): Decision {
    const { state: next, standby } = wantsBackup(state, job)
        ? reserveBackup(state, job, endpoint, now)
        : { state, standby: undefined };
    return dispatchWithStandby(next, job, endpoint, standby);
}

/** Dispatches a placed request with a standby that is already chosen. */
export function dispatchWithStandby(
    state: SchedulerState,
    job: Job,
    endpoint: string,
    standby: string | undefined,
): Decision {
    const priority = state.variant.priorities ? PRIORITY_RANK[job.policy.priority] : 0;
    return { state, actions: [{ kind: "dispatch", job: job.id, endpoint, priority, backUp: standby }] };
}

/**
 * Asks an owner for the next standby of a running request; undefined if this host decides itself.
 *
 * @param roomShare Share of an endpoint's memory that may be planned, the copy included.
 */
export function askOwnerForStandby(
    state: SchedulerState,
    job: string,
    purpose: StandbyPurpose,
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
        standbyOf: { endpoint: from, purpose, roomShare },
    };
    const askedForStandby = new Map(state.askedForStandby).set(job, { endpoint: from, purpose, at: now });
    // Any endpoint's owner can answer; the endpoint that the request leaves may no longer be declared.
    const endpoint = views[0]?.cfg.id ?? from;
    return { state: { ...state, askedForStandby }, actions: [{ kind: "ask", job, endpoint, question }] };
}

/** Handles an owner's answer about a standby. The answer to another question than the pending one changes nothing. */
export function onStandbyAnswer(
    state: SchedulerState,
    job: string,
    about: StandbySubject,
    named: string | undefined,
): Decision {
    const pending = state.askedForStandby.get(job);
    if (pending?.purpose !== about.purpose || pending.endpoint !== about.endpoint) return { state, actions: [] };
    const next = { ...state, askedForStandby: withoutKey(state.askedForStandby, job) };
    const standby = named === about.endpoint ? undefined : named;
    if (about.purpose === "evacuate") return evacuateAt(next, job, standby);
    const found = findRunning(next, job);
    if (!found) return { state: next, actions: [] };
    const kept = standby === undefined ? next : reserveBackupAt(next, job, found.from, standby);
    return dispatchWithStandby(kept, found.running.job, found.from, standby);
}

/** Chooses a standby without the owner, which has not answered in time. */
export function decideStandbyWithoutOwner(state: SchedulerState, job: string, now: number): Decision {
    const { purpose } = state.askedForStandby.get(job)!;
    const next = { ...state, askedForStandby: withoutKey(state.askedForStandby, job) };
    if (purpose === "evacuate") return evacuate(next, job, now);
    const found = findRunning(next, job);
    return found ? dispatch(next, found.running.job, found.from, now) : { state: next, actions: [] };
}

/** Returns the map without a key. */
export function withoutKey<V>(map: ReadonlyMap<string, V>, key: string): ReadonlyMap<string, V> {
    const next = new Map(map);
    next.delete(key);
    return next;
}
