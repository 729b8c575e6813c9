/**
 * When a request could be served: the time to its first token at an endpoint, the time until room comes, and the times at
 * which refused callers find room again.
 *
 * @module
 */
import { type EndpointView, unreadAt } from "./endpoint.js";
import type { DrainRate } from "./queue-order.js";

/** Starts of waiting requests that lie further back say nothing about the room of now, in milliseconds. */
const DRAIN_VALID_MS = 10_000;

/**
 * Whether a request that is sent to an endpoint now begins in time. Where nothing else is to be read it cannot begin
 * sooner anywhere, and is taken for in time.
 *
 * @param firstTokenMs Expected time until its prompt and all before it are read.
 * @param leftMs Time that its first token has left.
 *
 * @example
 * ```ts
 * beginsInTime(view, readingMs(state.readingRate, unreadAt(view) + 3_000), 1_500);
 * ```
 */
export function startsInTime(view: EndpointView, firstTokenMs: number, leftMs: number): boolean {
    return unreadAt(view) === 0 || firstTokenMs <= leftMs;
}

/**
 * How long the request at this place among those that wait will probably wait for room, in milliseconds: as long as room
 * for each before it took lately, the first one longer where none has come for longer. 0 where nothing is known.
 *
 * @param place From 1.
 * @param waitingSince When the oldest one began to wait; undefined where none waits.
 *
 * @example
 * ```ts
 * roomIn(state.drain, 3, state.waiting[0]?.since, now);
 * ```
 */
export function expectedWaitMs(
    rate: DrainRate | undefined,
    place: number,
    waitingSince: number | undefined,
    now: number,
): number {
    const valid = rate !== undefined && now - rate.lastStart < DRAIN_VALID_MS ? rate : undefined;
    const since = Math.max(valid?.lastStart ?? -Infinity, waitingSince ?? now);
    const meanMs = valid?.meanMs ?? 0;
    // A pause delays all places by its own length, not each of them.
    return Math.max(meanMs, now - since) + (place - 1) * meanMs;
}

/** The times given to refused callers: each gets the next place that is forecast to be free. */
export interface RetryTimes {
    /** The last time that was given out. */
    readonly last: number;
    /** Since when callers have been refused again and again. */
    readonly overloadSince: number;
    /** When one was refused last. */
    readonly refusedAt: number;
}

/** No time given out yet. */
export const NO_RETRY_TIMES: RetryTimes = { last: -Infinity, overloadSince: -Infinity, refusedAt: -Infinity };

/** A refusal that comes this long after the one before begins another spell of overload, in milliseconds. */
const OVERLOAD_GAP_MS = 2_000;
/**
 * How long an overload will go on is not known, but the longer it has lasted, the longer it lasts on average: after twice
 * the time that it has lasted, two of three such spells are over (Lindy's law, Pareto tail of index 1). Callers who came back
 * at the next free place were mostly refused again, as new ones kept coming: a replay of ten seconds of twice what the engines
 * serve has 29 of 48 served when they come back without it, 34 of 47 with it. Longer times gain nothing beyond noise.
 */
const OVERLOAD_FACTOR = 2;

/**
 * The time to come back for one more refused caller, in milliseconds from now: after the room that is forecast, after those
 * who were refused before, and when the spell of overload has probably ended.
 *
 * @param capacityMs When room is forecast.
 * @param intervalMs Time between two places that come free.
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
