/**
 * Updates the state as streams progress and end: length estimates, pace, prefill rate and speed samples, and the
 * capacity that an ended request frees.
 *
 * @module
 */
import { dropBackup } from "./backups.js";
import { type Breaker, onInconclusive, onResult, onUnreachable } from "./breaker.js";
import { observeServiceTime } from "./brittle.js";
import { survivalFor, withoutKey } from "./dispatch.js";
import { advanceStream, removeStream, type RunningStream, streamCount } from "./endpoint.js";
import { observeLength } from "./length-estimate.js";
import { observePace } from "./pace.js";
import { observePrefill } from "./prefill-rate.js";
import { type JobOutcome, type SchedulerEvent, type SchedulerState, updateEndpoint } from "./scheduler-state.js";
import { deleteIn, getIn } from "./shard-map.js";
import type { SpeedSample } from "./speed-samples.js";
import { recordOwnSample } from "./speed-tracking.js";

/** Handles progress of a stream. */
export function onProgress(
    state: SchedulerState,
    event: Extract<SchedulerEvent, { kind: "progress" }>,
    now: number,
): SchedulerState {
    const id = getIn(state.placed, event.job);
    const running = id === undefined ? undefined : state.endpoints.get(id)?.streams.get(event.job);
    if (id === undefined || !running || event.produced <= running.produced) return state;
    const estimates = observeLength(state.estimates, running.job.group, running.produced, event.produced, false);
    const survival = survivalFor({ ...state, estimates }, running.job);
    const prefillRate = running.started
        ? state.prefillRate
        : observePrefill(state.prefillRate, running.prefillAhead, now - running.dispatchedAt);
    const standby = getIn(state.standbys, event.job);
    const advanced = standby === undefined
        ? { ...state, estimates, prefillRate }
        : updateEndpoint(
            { ...state, estimates, prefillRate },
            standby,
            view => advanceStream(view, event.job, event.produced, survival),
        );
    const sample = speedSampleOf(running, event, now);
    const recorded = sample ? recordOwnSample(advanced, id, sample, now) : advanced;
    return updateEndpoint(recorded, id, view => ({
        ...advanceStream(view, event.job, event.produced, survival),
        pace: running.started ? observePace(view.pace, streamCount(view), event.meanGapMs, event.maxGapMs) : view.pace,
    }));
}

/**
 * Speed sample in a stream's progress; undefined if the stream has just continued from a copy, as the pause says
 * nothing about its endpoint.
 */
function speedSampleOf(
    running: RunningStream,
    { produced, meanGapMs, maxGapMs }: Extract<SchedulerEvent, { kind: "progress" }>,
    now: number,
): SpeedSample | undefined {
    const { job, started, resumedFromCopy = false, prefillAhead, dispatchedAt } = running;
    if (resumedFromCopy) return undefined;
    if (!started) return { kind: "first", unread: prefillAhead, ms: now - dispatchedAt };
    const pieces = (produced - running.produced) / (job.tokensPerPiece ?? 1);
    return { kind: "stretch", pieces, meanGapMs, longestMs: maxGapMs };
}

/** Handles the end of a request at its endpoint. */
export function onEnded(
    before: SchedulerState,
    job: string,
    outcome: JobOutcome,
    produced: number,
    now: number,
): SchedulerState {
    const state = before.askedForStandby.has(job)
        ? { ...before, askedForStandby: withoutKey(before.askedForStandby, job) }
        : before;
    const id = getIn(state.placed, job);
    const running = id === undefined ? undefined : state.endpoints.get(id)?.streams.get(job);
    if (id === undefined || !running) return state;
    const placed = deleteIn(state.placed, job);
    const isWhole = outcome === "whole";
    const estimates = produced > running.produced || isWhole
        ? observeLength(
            state.estimates,
            running.job.group,
            running.produced,
            Math.max(produced, running.produced),
            isWhole,
        )
        : state.estimates;
    return updateEndpoint(dropBackup({ ...state, placed, estimates }, job), id, view => {
        const left = { ...removeStream(view, job, now), breaker: breakerAfter(view.breaker, outcome, now) };
        if (outcome === "refused") return { ...left, rejectedAt: now };
        return isWhole ? observeServiceTime(left, now - running.dispatchedAt) : left;
    });
}

function breakerAfter(breaker: Breaker, outcome: JobOutcome, now: number): Breaker {
    if (outcome === "cancelled") return onInconclusive(breaker);
    if (outcome === "unreachable") return onUnreachable(breaker, now);
    return onResult(breaker, outcome !== "failed", now);
}
