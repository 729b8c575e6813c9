/**
 * Forecasts: the time to a request's first token at an endpoint, the time until capacity comes free, and the times at
 * which refused callers should retry.
 *
 * @module
 */
import { type EndpointView, pendingPrefill } from "./endpoint.js";
import type { DrainRate } from "./queue-order.js";

/** The drain rate is ignored if the last start of a waiting request is longer ago than this, in milliseconds. */
const DRAIN_VALID_MS = 10_000;

/**
 * Whether a request that is sent to an endpoint now gets its first token in time. If the endpoint has nothing else to
 * prefill, no other could start it sooner, and the request counts as in time.
 *
 * @param firstTokenMs Expected time until its prompt and all prompts before it are prefilled.
 * @param leftMs Time left until its first token is due.
 *
 * @example
 * ```ts
 * startsInTime(view, prefillMs(state.prefillRate, pendingPrefill(view) + 3_000), 1_500);
 * ```
 */
export function startsInTime(view: EndpointView, firstTokenMs: number, leftMs: number): boolean {
    return pendingPrefill(view) === 0 || firstTokenMs <= leftMs;
}

/**
 * Expected wait for capacity of the request at a position of the queue, in milliseconds: the recent time between starts
 * for each request before it, and longer for the first one if no start has come for longer. 0 if nothing is known.
 *
 * @param position Position in the queue, from 1.
 * @param waitingSince When the oldest waiting request arrived; undefined if none waits.
 *
 * @example
 * ```ts
 * expectedWaitMs(state.drainRate, 3, state.waiting[0]?.since, now);
 * ```
 */
export function expectedWaitMs(
    rate: DrainRate | undefined,
    position: number,
    waitingSince: number | undefined,
    now: number,
): number {
    const valid = rate !== undefined && now - rate.lastStart < DRAIN_VALID_MS ? rate : undefined;
    const since = Math.max(valid?.lastStart ?? -Infinity, waitingSince ?? now);
    const meanMs = valid?.meanMs ?? 0;
    // If no start has come for longer than the mean interval, that time delays the first position; the others follow at
    // the mean interval.
    return Math.max(meanMs, now - since) + (position - 1) * meanMs;
}

/** The retry times given to refused callers: each caller gets the next slot that is forecast to come free. */
export interface RetryTimes {
    /** The latest retry time given out. */
    readonly last: number;
    /** When the current overload began: a series of refusals without a gap of {@link OVERLOAD_GAP_MS}. */
    readonly overloadSince: number;
    /** When a caller was last refused. */
    readonly refusedAt: number;
}

/** No retry time has been given out. */
export const NO_RETRY_TIMES: RetryTimes = { last: -Infinity, overloadSince: -Infinity, refusedAt: -Infinity };

/** A refusal this long after the previous one begins a new overload, in milliseconds. */
const OVERLOAD_GAP_MS = 2_000;
/**
 * The duration of an overload is unknown, but the longer it has lasted, the longer it lasts on average: after twice the
 * time that it has lasted, two of three overloads are over (Lindy's law, Pareto tail of index 1). Callers who retried
 * at the next free slot were mostly refused again, as new requests kept arriving: in a replay of ten seconds at twice
 * the endpoints' throughput, 29 of 48 retries are served without this factor and 34 of 47 with it. Longer times gain
 * nothing beyond noise.
 */
const OVERLOAD_FACTOR = 2;

/**
 * Retry time for one more refused caller, in milliseconds from now: after the forecast capacity, after callers refused
 * earlier, and once the overload has probably ended.
 *
 * @param capacityMs Time until capacity is forecast.
 * @param intervalMs Time between two slots that come free.
 *
 * @example
 * ```ts
 * const { retryTimes, afterMs } = nextRetryTime(state.retryTimes, 400, 50, now);
 * ```
 */
export function nextRetryTime(
    retryTimes: RetryTimes,
    capacityMs: number,
    intervalMs: number,
    now: number,
): { readonly retryTimes: RetryTimes; readonly afterMs: number } {
    const overloadSince = now - retryTimes.refusedAt < OVERLOAD_GAP_MS ? retryTimes.overloadSince : now;
    const recoveryAt = now + OVERLOAD_FACTOR * (now - overloadSince);
    const at = Math.max(now + capacityMs, retryTimes.last + intervalMs, recoveryAt);
    return { retryTimes: { last: at, overloadSince, refusedAt: now }, afterMs: at - now };
}
