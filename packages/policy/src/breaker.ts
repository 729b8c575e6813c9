/**
 * A circuit breaker per endpoint: after consecutive failures the endpoint is ejected for a time, then one probe request
 * is let through.
 *
 * @module
 */

/** State of one endpoint's circuit breaker. */
export interface Breaker {
    /** Consecutive failures since the last success. */
    readonly failures: number;
    /** The endpoint is ejected until then, in milliseconds on the scheduler's clock; 0 while the breaker is closed. */
    readonly openUntil: number;
    /** Whether a probe request is in flight. */
    readonly probing: boolean;
    /**
     * Whether the breaker opened because a connection to the endpoint failed, for which one failure suffices. Absent if
     * it opened because requests failed.
     */
    readonly unreachable?: boolean;
}

const FAILURES_TO_OPEN = 3;
const FIRST_OPEN_MS = 1_000;
const MAX_OPEN_MS = 30_000;

/** A closed breaker: all requests pass. */
export const CLOSED: Breaker = { failures: 0, openUntil: 0, probing: false };

/** Whether a request may be sent: the breaker is closed, or its open time has passed and no probe is in flight. */
export function allowsRequest(breaker: Breaker, now: number): boolean {
    if (breaker.openUntil === 0) return true;
    return now >= breaker.openUntil && !breaker.probing;
}

/** Returns the breaker after a request was sent: if it is open, that request is its probe. */
export function onSent(breaker: Breaker): Breaker {
    return breaker.openUntil === 0 ? breaker : { ...breaker, probing: true };
}

/**
 * Returns the breaker after an endpoint served or failed a request. The open time doubles with each further failure.
 *
 * @example
 * ```ts
 * onResult(CLOSED, false, 1000).failures; // 1
 * ```
 */
export function onResult(breaker: Breaker, succeeded: boolean, now: number): Breaker {
    if (succeeded) return CLOSED;
    const failures = breaker.failures + 1;
    if (failures < FAILURES_TO_OPEN) return { failures, openUntil: 0, probing: false };
    const openMs = Math.min(MAX_OPEN_MS, FIRST_OPEN_MS * 2 ** (failures - FAILURES_TO_OPEN));
    return { failures, openUntil: now + openMs, probing: false };
}

/** Returns the breaker after a connection failed: it opens at the first such failure. */
export function onUnreachable(breaker: Breaker, now: number): Breaker {
    const failures = Math.max(breaker.failures + 1, FAILURES_TO_OPEN);
    return { ...onResult({ ...breaker, failures: failures - 1 }, false, now), unreachable: true };
}

/** Returns the breaker after a probe that showed neither success nor failure, for example because its caller disconnected. */
export function onInconclusive(breaker: Breaker): Breaker {
    return breaker.probing ? { ...breaker, probing: false } : breaker;
}

/**
 * Returns the breaker once the endpoint's hall is heard again: if it opened because no connection could be made, one
 * request may probe at once.
 */
export function onReachable(breaker: Breaker, now: number): Breaker {
    return breaker.unreachable ? { ...breaker, openUntil: Math.min(breaker.openUntil, now), probing: false } : breaker;
}
