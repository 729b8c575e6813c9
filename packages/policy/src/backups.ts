/**
 * Copies of running requests at other endpoints: backups that grow with their stream, and copies that are made when an
 * endpoint is about to leave.
 *
 * @module
 */
import { chooseStandby, EVACUATION_MEMORY_SHARE, isUnreachable } from "./choose.js";
import { profileOf } from "./demand.js";
import { addBackup, type EndpointView, removeBackup, type RunningStream, takesNew } from "./endpoint.js";
import type { Job } from "./job.js";
import { type Decision, type SchedulerState, updateEndpoint } from "./scheduler-state.js";
import { deleteIn, getIn, setIn } from "./shard-map.js";

/** Chooses the standby for a request's copy and reserves memory for the copy there. */
export function reserveBackup(
    state: SchedulerState,
    job: Job,
    endpoint: string,
    now: number,
    roomShare?: number,
): { readonly state: SchedulerState; readonly standby: string | undefined } {
    const running = state.endpoints.get(endpoint)?.streams.get(job.id);
    if (!running) return { state, standby: undefined };
    const profile = { ...profileOf(job, running.survival), curve: running.curve };
    const standby = chooseStandby(state.endpoints.values(), profile, endpoint, now, state.hall, roomShare);
    if (standby === undefined) return { state, standby };
    return { state: reserveBackupAt(state, job.id, endpoint, standby), standby };
}

/** Reserves memory for a running request's copy at a given standby. */
export function reserveBackupAt(state: SchedulerState, job: string, endpoint: string, standby: string): SchedulerState {
    const running = state.endpoints.get(endpoint)?.streams.get(job);
    if (!running || !state.endpoints.get(standby)) return state;
    const kept = updateEndpoint(state, standby, view => addBackup(view, running));
    return { ...kept, standbys: setIn(kept.standbys, job, standby) };
}

/** Whether an endpoint is about to leave or no longer declared, so that its streams must continue elsewhere. */
function isLeaving(view: EndpointView | undefined): boolean {
    return !view || view.leavingBy.length > 0 || view.cfg.models.length === 0;
}

/**
 * Requests that should be copied now: their endpoint is leaving, and they have no copy at a reachable endpoint that
 * stays.
 *
 * If only the standby leaves, its copy is not replaced until the request's own endpoint leaves as well: further copies
 * would use the links that the urgent ones need.
 *
 * @example
 * ```ts
 * for (const job of jobsToEvacuate(state, now)) decide(state, { kind: "evacuate", job }, now);
 * ```
 */
export function jobsToEvacuate(state: SchedulerState, now: number): readonly string[] {
    const jobs: string[] = [];
    for (const view of state.endpoints.values()) {
        // An unreachable endpoint cannot be told to copy anything.
        if (!isLeaving(view) || isUnreachable(view, now)) continue;
        for (const { job } of view.streams.values()) {
            if (job.backUp !== true || awaitsDispatch(state, job.id)) continue;
            const standby = getIn(state.standbys, job.id);
            const kept = standby !== undefined && keepsCopy(state, job.id, standby, now);
            if (!kept) jobs.push(job.id);
        }
    }
    return jobs;
}

/**
 * Whether an endpoint keeps a request's copy and can continue the request.
 *
 * @example
 * ```ts
 * keepsCopy(state, "r1", "engine-4", now); // false once engine-4 is leaving
 * ```
 */
export function keepsCopy(state: SchedulerState, job: string, endpoint: string, now: number): boolean {
    const view = state.endpoints.get(endpoint);
    return view !== undefined && getIn(state.standbys, job) === endpoint && takesNew(view) && !isUnreachable(view, now);
}

/** Finds a running request and its endpoint. */
export function findRunning(
    state: SchedulerState,
    job: string,
): { readonly from: string; readonly running: RunningStream } | undefined {
    const from = getIn(state.placed, job);
    const running = from === undefined ? undefined : state.endpoints.get(from)?.streams.get(job);
    return from === undefined || !running ? undefined : { from, running };
}

/** Whether a request is counted at an endpoint already, but dispatched there only once an owner has answered. */
export function awaitsDispatch({ asked, askedForStandby }: SchedulerState, job: string): boolean {
    return asked.has(job) || askedForStandby.get(job)?.purpose === "continue";
}

/** Plans a new copy of a request by what this host knows, and orders it. */
export function evacuate(state: SchedulerState, job: string, now: number): Decision {
    const found = findRunning(state, job);
    if (!found) return { state, actions: [{ kind: "noCopy", job }] };
    const { from, running } = found;
    const { state: next, standby } = reserveBackup(
        dropBackup(state, job),
        running.job,
        from,
        now,
        EVACUATION_MEMORY_SHARE,
    );
    if (standby === undefined) return { state, actions: [{ kind: "noCopy", job }] };
    return { state: next, actions: [{ kind: "copy", job, from, to: standby }] };
}

/** As {@link evacuate}, with the standby that an owner named; no copy is made if it named none. */
export function evacuateAt(state: SchedulerState, job: string, standby: string | undefined): Decision {
    const found = findRunning(state, job);
    if (!found || standby === undefined || !state.endpoints.get(standby)) {
        return { state, actions: [{ kind: "noCopy", job }] };
    }
    const next = reserveBackupAt(dropBackup(state, job), job, found.from, standby);
    return { state: next, actions: [{ kind: "copy", job, from: found.from, to: standby }] };
}

/** Releases the memory reserved for a request's copy. */
export function dropBackup(state: SchedulerState, job: string): SchedulerState {
    const standby = getIn(state.standbys, job);
    if (standby === undefined) return state;
    const freed = updateEndpoint(state, standby, view => removeBackup(view, job));
    return { ...freed, standbys: deleteIn(freed.standbys, job) };
}
