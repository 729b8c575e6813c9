/**
 * Requests that wait for room: their order, and what a new one can expect.
 *
 * @module
 */
import { type Job, PRIORITY_RANK } from "./job.js";

/** A request that waits. */
export interface WaitingRequest {
    readonly job: Job;
    readonly since: number;
    readonly avoid: readonly string[];
    readonly retry: boolean;
    /** When an owner last said that no endpoint has room; it is not asked again at once. */
    readonly noCapacityAt?: number;
}

/** How fast waiting requests are started, as a decayed mean; `undefined` before two starts were seen. */
export interface DrainRate {
    readonly lastStart: number;
    readonly meanMs: number;
}

/** Waiting this long is worth one class of priority, so that nothing starves. */
const AGE_PER_CLASS_MS = 10_000;
const CLASS_STEP = 10;
/** What a workspace that runs everything loses against one that runs nothing. */
const SHARE_WEIGHT = 8;
const DRAIN_DECAY = 0.9;

/** How urgent a waiting request is; the higher goes first. `share` is its workspace's part of the running streams. */
export function urgency(waiting: WaitingRequest, share: number, now: number): number {
    const age = (now - waiting.since) / AGE_PER_CLASS_MS * CLASS_STEP;
    return PRIORITY_RANK[waiting.job.policy.priority] + age - SHARE_WEIGHT * share;
}

/** The drain rate after a waiting request was started; it had waited since `since`. */
export function observeStart(rate: DrainRate | undefined, now: number, since = -Infinity): DrainRate {
    if (!rate) return { lastStart: now, meanMs: 0 };
    // Time in which nothing waited says nothing about how fast waiting requests are started.
    const gap = now - Math.max(rate.lastStart, since);
    const meanMs = rate.meanMs === 0 ? gap : DRAIN_DECAY * rate.meanMs + (1 - DRAIN_DECAY) * gap;
    return { lastStart: now, meanMs };
}
