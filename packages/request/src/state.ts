/**
 * One request's state as a value, the events that change it and the actions that follow.
 *
 * @module
 */
import type { FailCode, RequestError } from "./error.js";
import { type DispatchRecord, NOTHING_SENT } from "./proof.js";

/** Where a request stands. */
export const Phase = {
    /** Waiting to be given an endpoint. */
    Waiting: "waiting",
    /** Given to an endpoint; no token has come. */
    Dispatched: "dispatched",
    /** At least one token has come from the current attempt. */
    Streaming: "streaming",
    /** Ended; every later event is ignored. */
    Ended: "ended",
} as const;
/** One of {@link Phase}. */
export type Phase = typeof Phase[keyof typeof Phase];

/** One dispatch to one endpoint. */
export interface Attempt {
    /** Unique over all requests: request id, a dot, the attempt's number from 1. */
    readonly id: string;
    readonly endpoint: string;
    /** Named by the endpoint with its first answer; fixed from then on. */
    readonly generation?: string;
    /** Index of the next token to pass on. */
    readonly next: number;
    /** Resumes since the last token came; a token resets it. */
    readonly resumes: number;
    /** True from a resume's start until its stream answers. */
    readonly resuming: boolean;
    /** Endpoint that keeps a copy of the generation as it grows. */
    readonly backUp?: string | undefined;
}

/** A generation whose endpoint broke off and that is to go on elsewhere. */
export interface Broken {
    /** Index of the next token to pass on. */
    readonly next: number;
    readonly cause: LossCause;
    readonly detail: string;
}

/** Limits of one request, pinned when it was accepted. Times are milliseconds on the host's monotonic clock. */
export interface RequestCfg {
    readonly id: string;
    readonly repeatable: boolean;
    /** True: tokens go out as they come. False: they are held until the answer is whole. */
    readonly streamed: boolean;
    readonly maxAttempts: number;
    readonly maxResumes: number;
    readonly deadline: number;
}

/** Events that were dropped because they did not fit, counted by reason. */
export interface Discards {
    readonly duplicate: number;
    readonly otherAttempt: number;
    readonly otherGeneration: number;
    readonly gap: number;
}

/** A request as a value. */
export interface RequestState {
    readonly cfg: RequestCfg;
    readonly phase: Phase;
    readonly attempts: number;
    readonly attempt?: Attempt | undefined;
    /** Set while an endpoint is sought where the generation goes on. */
    readonly broken?: Broken | undefined;
    readonly record: DispatchRecord;
    /** Whether any byte of an answer has gone to the caller. */
    readonly committed: boolean;
    readonly tokenSeen: boolean;
    readonly discards: Discards;
    /** Endpoints that failed this request and are avoided while others exist. */
    readonly avoid: readonly string[];
}

/** Why a stream from an endpoint broke off. */
export type LossCause =
    | "connect"
    | "reset"
    | "idle"
    | "firstToken"
    | "invalid"
    | "resumeRefused"
    | "reclaimed"
    /** The endpoint cut off what was not read from it, as the caller did not read. */
    | "unread";

/** What can happen to a request. */
export type RequestEvent =
    | { readonly kind: "admitted"; readonly endpoint: string; readonly backUp?: string | undefined }
    | {
        readonly kind: "notAdmitted";
        readonly code: FailCode;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    /** The first byte of the attempt is about to leave. */
    | { readonly kind: "sending"; readonly attempt: string }
    | {
        readonly kind: "endpointRefused";
        readonly attempt: string;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    | { readonly kind: "opened"; readonly attempt: string; readonly generation: string }
    | { readonly kind: "token"; readonly attempt: string; readonly generation: string; readonly index: number }
    /** The endpoint says that the generation is whole with this many tokens. */
    | {
        readonly kind: "finished";
        readonly attempt: string;
        readonly generation: string;
        readonly total: number;
        /** Whether it is the endpoint's own failure, of which parts have gone on already. */
        readonly failed?: boolean;
    }
    /** The endpoint answered, whole, that it failed: passed on unless the request may be tried elsewhere. */
    | { readonly kind: "failedAnswer"; readonly attempt: string; readonly generation: string }
    | { readonly kind: "lost"; readonly attempt: string; readonly cause: LossCause; readonly detail: string }
    /** A copy of the running generation was made at an endpoint, which may go on with it. */
    | { readonly kind: "copied"; readonly attempt: string; readonly endpoint: string }
    /** The attempt that was decided may not be begun. */
    | {
        readonly kind: "withheld";
        readonly code: FailCode;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    /** The host gives the request up for the memory that it holds. */
    | {
        readonly kind: "givenUp";
        readonly code: FailCode;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    | { readonly kind: "callerGone" }
    | { readonly kind: "deadline" }
    /** The host was told to stop. */
    | { readonly kind: "stopping" };

/** What a request asks its host to do. */
export type RequestAction =
    /** Ask for an endpoint, once more after a failed attempt. */
    | {
        readonly kind: "admit";
        readonly avoid: readonly string[];
        readonly retry: boolean;
        /** Whether no byte of the attempt before left. */
        readonly neverLeft?: boolean;
    }
    | {
        readonly kind: "dispatch";
        readonly attempt: string;
        readonly endpoint: string;
        readonly backUp?: string | undefined;
        /** Index of the next token, where the generation goes on from a copy. */
        readonly continueAt?: number | undefined;
    }
    /** Ask for the endpoint that keeps the generation's copy. */
    | { readonly kind: "admitCopy"; readonly cause: LossCause }
    /** Pass the token of this event on (or hold it, where the answer is not streamed). */
    | { readonly kind: "forward"; readonly index: number }
    /** Forget tokens that are held: the attempt that made them is given up. */
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
    /** `failed`: what goes out is the endpoint's own failure. */
    | { readonly kind: "complete"; readonly tokens: number; readonly failed?: boolean }
    | { readonly kind: "fail"; readonly err: RequestError };

/** The next state and what to do. */
export interface Step {
    readonly state: RequestState;
    readonly actions: readonly RequestAction[];
}

const NO_DISCARDS: Discards = { duplicate: 0, otherAttempt: 0, otherGeneration: 0, gap: 0 };

/**
 * A newly accepted request, which asks to be admitted.
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
