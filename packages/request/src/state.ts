/**
 * The state of one request as an immutable value, the events that change it, and the actions that the host then
 * performs.
 *
 * @module
 */
import type { FailCode, RequestError } from "./error.js";
import { type DispatchRecord, NOTHING_SENT } from "./proof.js";

/** The phases of a request. */
export const Phase = {
    /** Waits for the scheduler to choose an endpoint. */
    Waiting: "waiting",
    /** Dispatched to an endpoint that has sent no token yet. */
    Dispatched: "dispatched",
    /** The current attempt has sent at least one token. */
    Streaming: "streaming",
    /** Ended: later events only count as discarded. */
    Ended: "ended",
} as const;
/** One of {@link Phase}. */
export type Phase = typeof Phase[keyof typeof Phase];

/** One dispatch to one endpoint. */
export interface Attempt {
    /** Unique over all requests: the request's id, a dot, and the number of the attempt, from 1. */
    readonly id: string;
    readonly endpoint: string;
    /** The generation's id, which the endpoint names in its first answer; it never changes after that. */
    readonly generation?: string;
    /** Index of the next token to forward. */
    readonly next: number;
    /** Resumes since the last token. */
    readonly resumes: number;
    /** True from the start of a resume until the endpoint answers it. */
    readonly resuming: boolean;
    /** Standby endpoint that receives a copy of the generation as it grows. */
    readonly backUp?: string | undefined;
}

/** A generation that lost its endpoint and waits to continue at the endpoint that holds its copy. */
export interface GenerationLoss {
    /** Index of the next token to forward. */
    readonly next: number;
    readonly cause: LossCause;
    readonly detail: string;
}

/** Settings of one request, fixed when the host accepted it. */
export interface RequestCfg {
    readonly id: string;
    readonly repeatable: boolean;
    /** Whether tokens are forwarded as they arrive; otherwise they are held until the answer is complete. */
    readonly streamed: boolean;
    readonly maxAttempts: number;
    readonly maxResumes: number;
    /** In milliseconds on the host's monotonic clock. */
    readonly deadline: number;
}

/** Counts of events that were ignored because they did not match the request's state, by reason. */
export interface Discards {
    readonly duplicate: number;
    readonly otherAttempt: number;
    readonly otherGeneration: number;
    readonly gap: number;
}

/** The state of one request. */
export interface RequestState {
    readonly cfg: RequestCfg;
    readonly phase: Phase;
    /** Number of attempts so far. */
    readonly attempts: number;
    readonly attempt?: Attempt | undefined;
    /** Set while the scheduler looks for the endpoint that continues the generation. */
    readonly loss?: GenerationLoss | undefined;
    /** Which attempts were sent, and which of them were refused. */
    readonly record: DispatchRecord;
    /** Whether any byte of an answer was sent to the caller. */
    readonly committed: boolean;
    /** Whether any attempt has sent a token. */
    readonly tokenSeen: boolean;
    readonly discards: Discards;
    /** Endpoints that failed this request; the scheduler avoids them while it has others. */
    readonly avoid: readonly string[];
}

/** Why the host lost the stream of an attempt. */
export type LossCause =
    | "connect"
    | "reset"
    | "idle"
    | "firstToken"
    | "invalid"
    | "resumeRefused"
    | "reclaimed"
    /** The endpoint closed a connection that the host did not read, as the caller did not read the answer. */
    | "unread";

/** Events of a request. */
export type RequestEvent =
    /** The scheduler chose an endpoint. */
    | { readonly kind: "admitted"; readonly endpoint: string; readonly backUp?: string | undefined }
    /** The scheduler has no endpoint for the request. */
    | {
        readonly kind: "notAdmitted";
        readonly code: FailCode;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    /** The first byte of the attempt is about to be sent. */
    | { readonly kind: "sending"; readonly attempt: string }
    /** The endpoint refused the attempt before running it. */
    | {
        readonly kind: "endpointRefused";
        readonly attempt: string;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    /** The endpoint has started to answer. */
    | { readonly kind: "opened"; readonly attempt: string; readonly generation: string }
    | { readonly kind: "token"; readonly attempt: string; readonly generation: string; readonly index: number }
    /** The endpoint reports that the generation is complete with this many tokens. */
    | {
        readonly kind: "finished";
        readonly attempt: string;
        readonly generation: string;
        readonly total: number;
        /** Whether the answer is an error of the endpoint, part of which was forwarded already. */
        readonly failed?: boolean;
    }
    /** The endpoint sent a complete error answer, which is forwarded unless the request may be retried elsewhere. */
    | { readonly kind: "failedAnswer"; readonly attempt: string; readonly generation: string }
    /** The host lost the stream of the attempt. */
    | { readonly kind: "lost"; readonly attempt: string; readonly cause: LossCause; readonly detail: string }
    /** A copy of the running generation was made at an endpoint, which can continue it. */
    | { readonly kind: "copied"; readonly attempt: string; readonly endpoint: string }
    /** The host may not start the attempt that was dispatched. */
    | {
        readonly kind: "withheld";
        readonly code: FailCode;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    /** The host ends the request to free the memory that it holds. */
    | {
        readonly kind: "givenUp";
        readonly code: FailCode;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    | { readonly kind: "callerGone" }
    | { readonly kind: "deadline" }
    /** The host is shutting down. */
    | { readonly kind: "stopping" };

/** Actions that the host performs for a request. */
export type RequestAction =
    /** Ask the scheduler for an endpoint. */
    | {
        readonly kind: "admit";
        readonly avoid: readonly string[];
        /** Whether an attempt failed before. */
        readonly retry: boolean;
        /** Whether no byte of that attempt was sent. */
        readonly neverSent?: boolean;
    }
    | {
        readonly kind: "dispatch";
        readonly attempt: string;
        readonly endpoint: string;
        readonly backUp?: string | undefined;
        /** Index of the next token, if the endpoint continues the generation from a copy. */
        readonly continueAt?: number | undefined;
    }
    /** Ask the scheduler for the endpoint that holds the generation's copy. */
    | { readonly kind: "admitCopy"; readonly cause: LossCause }
    /** Forward the token of this event, or hold it if the answer is not streamed. */
    | { readonly kind: "forward"; readonly index: number }
    /** Discard the held tokens of an attempt that failed. */
    | { readonly kind: "dropHeld" }
    | {
        readonly kind: "resume";
        readonly attempt: string;
        readonly endpoint: string;
        readonly generation: string;
        readonly from: number;
    }
    | {
        readonly kind: "cancel";
        readonly attempt: string;
        readonly endpoint: string;
        readonly generation?: string | undefined;
    }
    /** Finish the answer. `failed`: it is an error answer of the endpoint. */
    | { readonly kind: "complete"; readonly tokens: number; readonly failed?: boolean }
    | { readonly kind: "fail"; readonly err: RequestError };

/** The next state and the actions to perform. */
export interface Step {
    readonly state: RequestState;
    readonly actions: readonly RequestAction[];
}

const NO_DISCARDS: Discards = { duplicate: 0, otherAttempt: 0, otherGeneration: 0, gap: 0 };

/**
 * Creates the state of a newly accepted request. Its first action asks for an endpoint.
 *
 * @example
 * ```ts
 * const { state, actions } = createRequest(cfg); // actions: [{ kind: "admit", avoid: [], retry: false }]
 * ```
 */
export function createRequest(cfg: RequestCfg): Step {
    const state: RequestState = {
        cfg,
        phase: Phase.Waiting,
        attempts: 0,
        record: NOTHING_SENT,
        committed: false,
        tokenSeen: false,
        discards: NO_DISCARDS,
        avoid: [],
    };
    return { state, actions: [{ kind: "admit", avoid: [], retry: false }] };
}
