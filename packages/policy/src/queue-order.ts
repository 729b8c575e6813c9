/**
 * The order of requests that wait for capacity, and the rate at which they are started.
 *
 * @module
 */
import { type Job, PRIORITY_RANK } from "./job.js";

/** A request that waits for capacity. */
export interface WaitingRequest {
    readonly job: Job;
    readonly since: number;
    readonly avoid: readonly string[];
    readonly retry: boolean;
    /** When an owner last answered that no endpoint has capacity; the host waits a moment before it asks again. */
    readonly noCapacityAt?: number;
}

/** Decayed mean of the time between two starts of waiting requests. */
export interface DrainRate {
    readonly lastStart: number;
    readonly meanMs: number;
}

/** A request gains one priority class for each such period of waiting, so that no request starves. */
const AGE_PER_CLASS_MS = 10_000;
const CLASS_STEP = 10;
/** Urgency that a workspace loses if all running streams are its own, compared with one that runs none. */
const SHARE_WEIGHT = 8;
const DRAIN_DECAY = 0.9;

/**
 * Urgency of a waiting request; higher goes first. `share` is the share of running streams that belong to its
 * workspace.
 */
export function urgency(waiting: WaitingRequest, share: number, now: number): number {
    const age = (now - waiting.since) / AGE_PER_CLASS_MS * CLASS_STEP;
    return PRIORITY_RANK[waiting.job.policy.priority] + age - SHARE_WEIGHT * share;
}

/** Updates the drain rate when a request that had waited since `since` is started. */
export function observeStart(rate: DrainRate | undefined, now: number, since = -Infinity): DrainRate {
    if (!rate) return { lastStart: now, meanMs: 0 };
    // Only time in which a request was waiting counts: an idle gap says nothing about the drain rate.
    const gap = now - Math.max(rate.lastStart, since);
    const meanMs = rate.meanMs === 0 ? gap : DRAIN_DECAY * rate.meanMs + (1 - DRAIN_DECAY) * gap;
    return { lastStart: now, meanMs };
}
