/**
 * Reports to operators how far endpoints of one kind differ in speed, and which of them are clearly slower or faster than the rest.
 *
 * @module
 */
import { type EndpointSlowness, endpointSlowness, type SchedulerState } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";

/** Milliseconds between checks. A speed is known within an endpoint's first second, so it is reported within its second one. */
const CHECK_INTERVAL_MS = 1_000;
/** An endpoint is clearly slower or faster if it differs from its kind by more than this many standard deviations of its estimate. */
const OUTLIER_DEVIATIONS = 3;

/** Dependencies of {@link watchSpeeds}. */
export interface SpeedWatchDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly view: () => SchedulerState;
    readonly signal: AbortSignal;
}

/** Starts the checks; stops when the signal aborts. */
export function watchSpeeds({ clock, log, metrics, view, signal }: SpeedWatchDeps): void {
    let reported: ReadonlySet<string> = new Set();
    repeat(
        () => {
            const state = view();
            const now = clock.now();
            metrics.speedSpread.set(spreadOf(state));
            const outliers = speedOutliers(state, now);
            for (const { endpoint, speed } of outliers.filter(({ endpoint }) => !reported.has(endpoint))) {
                log.info({ endpoint, ...speedFields(speed) }, speed.logRatio > 0 ? "endpoint_slow" : "endpoint_fast");
            }
            reported = stillDeclared(state, reported, outliers.map(({ endpoint }) => endpoint));
        },
        () => CHECK_INTERVAL_MS,
        signal,
    );
}

/**
 * The largest spread of speeds within a kind, as the standard deviation of their natural logarithms; 0 if all endpoints may be
 * equally fast.
 */
export function spreadOf({ speeds }: SchedulerState): number {
    return Math.sqrt(Math.max(0, ...[...speeds.values()].map(({ variance }) => variance)));
}

/** Endpoints that are clearly slower or faster than their kind. Each is reported by one host, its owner. */
export function speedOutliers(
    state: SchedulerState,
    now: number,
): readonly { readonly endpoint: string; readonly speed: EndpointSlowness }[] {
    return state.endpoints.values()
        .filter(({ cfg }) => state.hosts <= 1 || state.owned.has(cfg.id))
        .map(view => ({ endpoint: view.cfg.id, speed: endpointSlowness(state, view, now) }))
        .filter(({ speed }) => speed.logRatio !== 0 && Math.abs(speed.logRatio) > OUTLIER_DEVIATIONS * speed.deviation);
}

/** Endpoints that have been reported and are still declared; they are not reported again. */
function stillDeclared(
    state: SchedulerState,
    reported: ReadonlySet<string>,
    outliers: readonly string[],
): ReadonlySet<string> {
    return new Set([...reported, ...outliers].filter(endpoint => state.endpoints.get(endpoint) !== undefined));
}

/** Log fields of a speed: the factor on the mean endpoint's time, its relative error, and the age of the last observation. */
function speedFields({ logRatio, deviation, ageMs }: EndpointSlowness): object {
    return {
        slowness: Number(Math.exp(logRatio).toFixed(2)),
        error: Number(deviation.toFixed(2)),
        seen_ms: ageMs === undefined ? undefined : Math.round(ageMs),
    };
}
