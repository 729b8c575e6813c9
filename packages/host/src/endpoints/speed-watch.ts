/**
 * Tells operators how far endpoints of one kind differ in speed, and which of them is clearly slower or faster than the others.
 *
 * @module
 */
import { type KnownSpeed, knownSpeed, type SchedulerState } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";

/** An endpoint is looked at this often, in milliseconds: known within its first second, it is told of within its second. */
const CHECK_INTERVAL_MS = 1_000;
/** It is clearly slower or faster where an error of so many deviations would leave it so. */
const OUTLIER_DEVIATIONS = 3;

/** What the watch needs. */
export interface SpeedWatchDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly view: () => SchedulerState;
    readonly signal: AbortSignal;
}

/** Starts to watch; ends with the signal. */
export function watchSpeeds({ clock, log, metrics, view, signal }: SpeedWatchDeps): void {
    let reported: ReadonlySet<string> = new Set();
    repeat(
        () => {
            const state = view();
            const now = clock.now();
            metrics.speedSpread.set(spreadOf(state));
            const outliers = speedOutliers(state, now);
            for (const { endpoint, speed } of outliers.filter(({ endpoint }) => !reported.has(endpoint))) {
                log.info({ endpoint, ...speedFields(speed) }, speed.log > 0 ? "endpoint_slow" : "endpoint_fast");
            }
            reported = stillDeclared(state, reported, outliers.map(({ endpoint }) => endpoint));
        },
        () => CHECK_INTERVAL_MS,
        signal,
    );
}

/** The largest spread of a kind: a standard deviation of natural logarithms; 0 where all endpoints may be alike. */
export function spreadOf({ speeds }: SchedulerState): number {
    return Math.sqrt(Math.max(0, ...[...speeds.values()].map(({ variance }) => variance)));
}

/** Endpoints that are clearly slower or faster than their kind; one host tells of each, its owner. */
export function speedOutliers(
    state: SchedulerState,
    now: number,
): readonly { readonly endpoint: string; readonly speed: KnownSpeed }[] {
    return state.endpoints.values()
        .filter(({ cfg }) => state.hosts <= 1 || state.owned.has(cfg.id))
        .map(view => ({ endpoint: view.cfg.id, speed: knownSpeed(state, view, now) }))
        .filter(({ speed }) => speed.log !== 0 && Math.abs(speed.log) > OUTLIER_DEVIATIONS * speed.deviation);
}

/** Endpoints that were told of and are still declared: each is told of once. */
function stillDeclared(
    state: SchedulerState,
    reported: ReadonlySet<string>,
    outliers: readonly string[],
): ReadonlySet<string> {
    return new Set([...reported, ...outliers].filter(endpoint => state.endpoints.get(endpoint) !== undefined));
}

/** A speed as log lines tell it: times of the mean endpoint, the relative error, and when it was last seen. */
function speedFields({ log, deviation, ageMs }: KnownSpeed): object {
    return {
        slowness: Number(Math.exp(log).toFixed(2)),
        error: Number(deviation.toFixed(2)),
        seen_ms: ageMs === undefined ? undefined : Math.round(ageMs),
    };
}
