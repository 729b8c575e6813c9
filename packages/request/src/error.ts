/**
 * The failures of a request, as they are reported to its caller.
 *
 * @module
 */
import { NOTHING_SENT, type NotRunProof, proveNotRun } from "./proof.js";

/** Whether an endpoint ran the request: `unknown` where a connection was lost after bytes were sent. */
export type Ran = "no" | "yes" | "unknown";

/** Stable failure codes. The operators' page lists each with its remedy. */
export const FailCode = {
    Overloaded: "overloaded",
    LimitReached: "limit_reached",
    NoEndpoint: "no_endpoint",
    Stopping: "host_stopping",
    WaitTooLong: "wait_too_long",
    /** Every endpoint limits its request rate, and its next free slot is too late or another host's. */
    EndpointsLimited: "endpoints_limited",
    DeadlinePassed: "deadline_passed",
    EndpointRefused: "endpoint_refused",
    EndpointLost: "endpoint_lost",
    EndpointSilent: "endpoint_silent",
    EndpointInvalid: "endpoint_invalid_answer",
    StreamIncomplete: "stream_incomplete",
    CallerGone: "caller_gone",
    AlreadyClaimed: "already_claimed",
    PlatformAway: "platform_away",
    /** Endpoints that ran this request crashed, so hosts no longer send it. */
    Quarantined: "request_quarantined",
    /** The request may have crashed an endpoint, and the same request is running at another endpoint now. */
    OnTrial: "request_on_trial",
    /** The host has no memory left for the data that the request holds. */
    MemoryFull: "memory_full",
    /** The caller did not read the answer. */
    CallerUnread: "caller_unread",
    /** The endpoint did not read the request's body. */
    EndpointUnread: "endpoint_unread",
} as const;
/** One of {@link FailCode}. */
export type FailCode = typeof FailCode[keyof typeof FailCode];

/** The failure of a request that provably did not run. */
export interface NotRunError {
    readonly ran: "no";
    readonly proof: NotRunProof;
    readonly code: FailCode;
    readonly detail: string;
    /** Delay before the caller retries, in milliseconds; absent where a retry does not help. */
    readonly retryAfterMs?: number | undefined;
}

/** The failure of a request that ran or may have run. */
export interface MayHaveRunError {
    readonly ran: "yes" | "unknown";
    readonly code: FailCode;
    readonly detail: string;
    readonly retryAfterMs?: undefined;
}

export type RequestError = NotRunError | MayHaveRunError;

/**
 * Returns the error of a request of which no byte was sent.
 *
 * @example
 * ```ts
 * notRunError("overloaded", "queue is full", 500).ran; // "no"
 * ```
 */
export function notRunError(code: FailCode, detail: string, retryAfterMs?: number): RequestError {
    return requestError(proveNotRun(NOTHING_SENT), false, code, detail, retryAfterMs);
}

/**
 * Returns the error of a failed request. With a proof, `ran` is `no`; without one it is `yes` if a token arrived, else
 * `unknown`, and the error names no delay for a retry.
 *
 * @example
 * ```ts
 * requestError(proveNotRun(NOTHING_SENT), false, "overloaded", "queue is full", 500).ran; // "no"
 * ```
 */
export function requestError(
    proof: NotRunProof | undefined,
    tokenSeen: boolean,
    code: FailCode,
    detail: string,
    retryAfterMs?: number,
): RequestError {
    if (proof) return { ran: "no", proof, code, detail, retryAfterMs };
    return { ran: tokenSeen ? "yes" : "unknown", code, detail };
}
