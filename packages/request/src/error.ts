/**
 * How a request can fail, as the caller is told.
 *
 * @module
 */
import { NOTHING_SENT, type NotRunProof, proveNotRun } from "./proof.js";

/** Whether an endpoint ran the request. `unknown` is the honest answer after a lost connection. */
export type Ran = "no" | "yes" | "unknown";

/** Stable codes of failures; the operators' page lists them with what to do. */
export const FailCode = {
    Overloaded: "overloaded",
    LimitReached: "limit_reached",
    NoEndpoint: "no_endpoint",
    Stopping: "host_stopping",
    WaitTooLong: "wait_too_long",
    /** All endpoints limit the requests that they take, and the next ones are taken too late or by another host. */
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
    /** It has ended the endpoints that ran it. */
    Quarantined: "request_quarantined",
    /** It may have ended an endpoint, and runs at another one now. */
    OnTrial: "request_on_trial",
    /** This host has no memory left for what the request holds. */
    MemoryFull: "memory_full",
    /** Its caller did not read its answer. */
    CallerUnread: "caller_unread",
    /** Its endpoint did not read its body. */
    EndpointUnread: "endpoint_unread",
} as const;
/** One of {@link FailCode}. */
export type FailCode = typeof FailCode[keyof typeof FailCode];

/** A failure whose request provably did not run. */
export interface NotRunError {
    readonly ran: "no";
    readonly proof: NotRunProof;
    readonly code: FailCode;
    readonly detail: string;
    /** When to come back, in milliseconds; absent where coming back does not help. */
    readonly retryAfterMs?: number | undefined;
}

/** A failure whose request ran or may have run. */
export interface MayHaveRunError {
    readonly ran: "yes" | "unknown";
    readonly code: FailCode;
    readonly detail: string;
    readonly retryAfterMs?: undefined;
}

/** Any failure of a request. */
export type RequestError = NotRunError | MayHaveRunError;

/**
 * The error for a request of which nothing was ever sent.
 *
 * @example
 * ```ts
 * notRun("overloaded", "queue is full", 500).ran; // "no"
 * ```
 */
export function notRun(code: FailCode, detail: string, retryAfterMs?: number): RequestError {
    return failure(proveNotRun(NOTHING_SENT), false, code, detail, retryAfterMs);
}

/**
 * The error for a failure, given what is proven. Without proof it says `yes` once a token came, else `unknown`.
 *
 * @example
 * ```ts
 * failure(proveNotRun(NOTHING_SENT), false, "overloaded", "queue is full", 500).ran; // "no"
 * ```
 */
export function failure(
    proof: NotRunProof | undefined,
    tokenSeen: boolean,
    code: FailCode,
    detail: string,
    retryAfterMs?: number,
): RequestError {
    if (proof) return { ran: "no", proof, code, detail, retryAfterMs };
    return { ran: tokenSeen ? "yes" : "unknown", code, detail };
}
