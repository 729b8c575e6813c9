/**
 * What running requests tell: lengths, pace and reading speed as they go on, and what is free again when they end.
 *
 * @module
 */
import { dropBackup } from "./backups.js";
import { type Breaker, onResult, onUnreachable, onUnused } from "./breaker.js";
import { lengthsOf, without } from "./dispatch.js";
import { moveStream, removeStream, type Running, streamCount } from "./endpoint.js";
import { observe } from "./length-estimate.js";
import { observePace } from "./pace.js";
import { observeReading } from "./prefill-rate.js";
import { type JobOutcome, type SchedulerEvent, type SchedulerState, withView } from "./scheduler-state.js";
import { deleteIn, getIn } from "./shard-map.js";
import type { Sample } from "./speed-samples.js";
import { showOwn } from "./speed-tracking.js";

/** The state after a stream went on. */
export function progress(
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
    const standby = getIn(state.backedUp, event.job);
    const kept = standby === undefined
        ? { ...state, estimates, readingRate }
        : withView(
            { ...state, estimates, readingRate },
            standby,
            view => moveStream(view, event.job, event.produced, survival),
        );
    const sample = sampleOf(running, event, now);
    const shown = sample ? showOwn(kept, id, sample, now) : kept;
    return withView(shown, id, view => ({
        ...moveStream(view, event.job, event.produced, survival),
        pace: running.started ? observePace(view.pace, streamCount(view), event.meanGapMs, event.maxGapMs) : view.pace,
    }));
}

/** What a stream's progress shows of its endpoint's speed; undefined where it shows nothing. */
function sampleOf(
    running: Running,
    { produced, meanGapMs, maxGapMs }: Extract<SchedulerEvent, { kind: "progress" }>,
    now: number,
): Sample | undefined {
    const { job, started, wasMoved = false, unreadThen, dispatchedAt } = running;
    if (wasMoved) return undefined;
    if (!started) return { kind: "first", unread: unreadThen, ms: now - dispatchedAt };
    const pieces = (produced - running.produced) / (job.tokensPerPiece ?? 1);
    return { kind: "stretch", pieces, meanGapMs, longestMs: maxGapMs };
}

/** The state after a request ended at its endpoint. */
export function ended(
    before: SchedulerState,
    job: string,
    outcome: JobOutcome,
    produced: number,
    now: number,
): SchedulerState {
    const state = before.askedStandby.has(job)
        ? { ...before, askedStandby: without(before.askedStandby, job) }
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

function afterOutcome(breaker: Breaker, outcome: JobOutcome, now: number): Breaker {
    if (outcome === "cancelled") return onUnused(breaker);
    if (outcome === "unreachable") return onUnreachable(breaker, now);
    return onResult(breaker, outcome !== "failed", now);
}
