/**
 * Outlier ejection per endpoint: after failures in a row it gets nothing for a while, then one probe.
 *
 * @module
 */

/** What is known of an endpoint's failures. */
export interface Breaker {
    /** Failures since the last success. */
    readonly failures: number;
    /** Not used until then, in milliseconds on the caller's clock; 0 while closed. */
    readonly openUntil: number;
    /** A probe is on its way. */
    readonly probing: boolean;
    /** Whether it is open because no connection came up, which is certain, rather than for failed answers. */
    readonly unreachable?: boolean;
}

const FAILURES_TO_OPEN = 3;
const FIRST_OPEN_MS = 1_000;
const MAX_OPEN_MS = 30_000;

/** A breaker that lets everything through. */
export const CLOSED: Breaker = { failures: 0, openUntil: 0, probing: false };

/** Whether a breaker lets a request through: closed, or open long enough that one probe may go. */
export function allowsRequest(breaker: Breaker, now: number): boolean {
    if (breaker.openUntil === 0) return true;
    return now >= breaker.openUntil && !breaker.probing;
}

/** The breaker after a request was sent: an open one has its probe on the way. */
export function onSent(breaker: Breaker): Breaker {
    return breaker.openUntil === 0 ? breaker : { ...breaker, probing: true };
}

/**
 * The breaker after an endpoint served or failed a request.
 *
 * @example
 * ```ts
 * onResult(CLOSED, false, 1000).failures; // 1
 * ```
 */
export function onResult(breaker: Breaker, good: boolean, now: number): Breaker {
    if (good) return CLOSED;
    const failures = breaker.failures + 1;
    if (failures < FAILURES_TO_OPEN) return { failures, openUntil: 0, probing: false };
    const open = Math.min(MAX_OPEN_MS, FIRST_OPEN_MS * 2 ** (failures - FAILURES_TO_OPEN));
    return { failures, openUntil: now + open, probing: false };
}

/** The breaker after an endpoint could not be reached: nothing is sent there for a while, not even after one failure. */
export function onUnreachable(breaker: Breaker, now: number): Breaker {
    const failures = Math.max(breaker.failures + 1, FAILURES_TO_OPEN);
    return { ...onResult({ ...breaker, failures: failures - 1 }, false, now), unreachable: true };
}

/** The breaker after a probe ended with nothing learnt, as when its caller left. */
export function onInconclusive(breaker: Breaker): Breaker {
    return breaker.probing ? { ...breaker, probing: false } : breaker;
}

/** The breaker after the way to an endpoint that could not be reached is there again: one request may find out at once. */
export function onReachable(breaker: Breaker, now: number): Breaker {
    return breaker.unreachable ? { ...breaker, openUntil: Math.min(breaker.openUntil, now), probing: false } : breaker;
}
