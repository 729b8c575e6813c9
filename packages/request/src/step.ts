/**
 * The request's decisions: `step(state, event)` gives the next state and the actions. Pure; time enters as events.
 *
 * What holds here, whatever the events: a token is passed on only if attempt, generation and index are the expected
 * ones; nothing is dispatched again once anything has gone out, nor at all where a not-repeatable request may have run;
 * after the end nothing is passed on.
 *
 * @module
 */
import { FailCode, failure } from "./error.js";
import { proveNotRun, recordNeverSent, recordRefused, recordSent } from "./proof.js";
import {
    type Attempt,
    type Discards,
    type LossCause,
    Phase,
    type RequestAction,
    type RequestEvent,
    type RequestState,
    type Step,
} from "./state.js";

type Handler<K extends RequestEvent["kind"]> = (
    state: RequestState,
    event: Extract<RequestEvent, { kind: K }>,
) => Step;

/**
 * Advances a request by one event. Events after the end, or of an attempt that is not the current one, change nothing
 * but the counts of what was discarded.
 *
 * @example
 * ```ts
 * step(state, { kind: "admitted", endpoint: "e1" }).actions; // [{ kind: "dispatch", attempt: "r1.1", endpoint: "e1" }]
 * ```
 */
export function step(state: RequestState, event: RequestEvent): Step {
    if (state.phase === Phase.Ended) return { state: discardLate(state, event), actions: [] };
    const handler = HANDLERS[event.kind] as (state: RequestState, event: RequestEvent) => Step;
    return handler(state, event);
}

const HANDLERS: { readonly [K in RequestEvent["kind"]]: Handler<K> } = {
    admitted: (state, { endpoint, backUp }) => {
        if (state.phase !== Phase.Waiting && !state.broken) return stay(state);
        const number = state.attempts + 1;
        const continueAt = state.broken?.next;
        const attempt: Attempt = {
            id: `${state.cfg.id}.${number}`,
            endpoint,
            next: continueAt ?? 0,
            resumes: 0,
            resuming: false,
            backUp,
        };
        return {
            state: { ...state, phase: Phase.Dispatched, attempts: number, attempt, broken: undefined },
            actions: [{ kind: "dispatch", attempt: attempt.id, endpoint, backUp, continueAt }],
        };
    },
    notAdmitted: (state, { code, detail, retryAfterMs }) => {
        // Where no copy is left, what broke the generation off is what its caller is told.
        if (state.broken) return fail(state, FAIL_CODE[state.broken.cause], `${state.broken.detail}; ${detail}`, []);
        return state.phase === Phase.Waiting ? fail(state, code, detail, [], retryAfterMs) : stay(state);
    },
    sending: (state, { attempt }) =>
        isCurrent(state, attempt) ? stay({ ...state, record: recordSent(state.record, attempt) }) : stay(state),
    endpointRefused: (state, { attempt, detail, retryAfterMs }) => {
        if (!isCurrent(state, attempt) || state.phase !== Phase.Dispatched) return stay(state);
        // An endpoint that already named a generation has begun to run: its refusal proves nothing.
        if (state.attempt?.generation !== undefined) return breakOff(state, "invalid", "refused after it had begun");
        const refused = { ...state, record: recordRefused(state.record, attempt) };
        if (canRetry(refused)) return tryElsewhere(refused, []);
        return fail(refused, FailCode.EndpointRefused, detail, [], retryAfterMs);
    },
    opened: (state, { attempt, generation }) => {
        const current = state.attempt;
        if (!current || !isAnswering(state, attempt)) return stay(discard(state, "otherAttempt"));
        if (current.generation !== undefined && current.generation !== generation) {
            return stay(discard(state, "otherGeneration"));
        }
        return stay({ ...state, attempt: { ...current, generation, resuming: false } });
    },
    token: onToken,
    finished: (state, { attempt, generation, total, failed }) => {
        const current = state.attempt;
        if (!current || !isAnswering(state, attempt)) return stay(discard(state, "otherAttempt"));
        if (current.generation !== generation) return stay(discard(state, "otherGeneration"));
        if (current.next !== total) {
            return breakOff(discard(state, "gap"), "reset", `ended at ${current.next} of ${total}`);
        }
        return {
            state: { ...state, phase: Phase.Ended, committed: true },
            actions: [{ kind: "complete", tokens: total, ...(failed ? { failed } : {}) }],
        };
    },
    failedAnswer: (state, { attempt }) => {
        if (!isAnswering(state, attempt)) return stay(discard(state, "otherAttempt"));
        if (canRetry(state)) return tryElsewhere(state, []);
        // What has gone out may not end with another answer's bytes.
        if (state.committed) return breakOff(state, "invalid", "the endpoint failed where its answer was to go on");
        const ended: RequestState = { ...state, phase: Phase.Ended, committed: true };
        return { state: ended, actions: [{ kind: "complete", tokens: 1, failed: true }] };
    },
    lost: (state, { attempt, cause, detail }) => {
        if (!isCurrent(state, attempt)) return stay(discard(state, "otherAttempt"));
        const neverSent = cause === "connect" && state.attempt?.generation === undefined;
        if (!neverSent) return breakOff(state, cause, detail);
        return afterNeverSent({ ...state, record: recordNeverSent(state.record, attempt) }, detail);
    },
    copied: (state, { attempt, endpoint }) =>
        isCurrent(state, attempt) ? stay({ ...state, attempt: { ...state.attempt!, backUp: endpoint } }) : stay(state),
    withheld: (state, { code, detail, retryAfterMs }) => fail(state, code, detail, cancelCurrent(state), retryAfterMs),
    givenUp: (state, { code, detail, retryAfterMs }) => fail(state, code, detail, cancelCurrent(state), retryAfterMs),
    callerGone: state => fail(state, FailCode.CallerGone, "the caller left", cancelCurrent(state)),
    deadline: state =>
        fail(state, FailCode.DeadlinePassed, "the request's deadline passed", cancelCurrent(state), ELSEWHERE_RETRY_MS),
    stopping: state =>
        state.phase === Phase.Waiting
            ? fail(state, FailCode.Stopping, "this host is stopping", [], 0)
            : stay(state),
};

function onToken(state: RequestState, event: Extract<RequestEvent, { kind: "token" }>): Step {
    const current = state.attempt;
    if (!current || !isAnswering(state, event.attempt)) return stay(discard(state, "otherAttempt"));
    // An engine may name its generation only with its first token.
    const known = current.generation ?? event.generation;
    if (known !== event.generation) return stay(discard(state, "otherGeneration"));
    if (event.index < current.next) return stay(discard(state, "duplicate"));
    if (event.index > current.next) {
        return onGap({ ...discard(state, "gap"), attempt: { ...current, generation: known } }, event);
    }
    // Written out, as this runs for every token: copying by spread costs several times as much.
    const next: RequestState = {
        cfg: state.cfg,
        phase: Phase.Streaming,
        attempts: state.attempts,
        attempt: {
            id: current.id,
            endpoint: current.endpoint,
            generation: known,
            next: current.next + 1,
            resumes: 0,
            resuming: false,
            backUp: current.backUp,
        },
        record: state.record,
        committed: state.committed || state.cfg.streamed,
        tokenSeen: true,
        discards: state.discards,
        avoid: state.avoid,
    };
    return { state: next, actions: [{ kind: "forward", index: event.index }] };
}

/** A token beyond the expected one: ask once for the missing ones, and ignore the rest of the broken stream. */
function onGap(state: RequestState, event: Extract<RequestEvent, { kind: "token" }>): Step {
    if (state.attempt?.resuming) return stay(state);
    return breakOff(state, "reset", `token ${event.index} came where ${state.attempt?.next} was expected`);
}

/** The current attempt's stream broke: resume it, try elsewhere, or end with what is known. */
function breakOff(state: RequestState, cause: LossCause, detail: string): Step {
    const current = state.attempt!;
    const resumable = cause !== "resumeRefused" && cause !== "connect" && cause !== "invalid";
    if (resumable && current.generation !== undefined && current.resumes < state.cfg.maxResumes) {
        const attempt = { ...current, resumes: current.resumes + 1, resuming: true };
        const { id, endpoint, generation, next } = { ...current, generation: current.generation };
        return {
            state: { ...state, attempt },
            actions: [{ kind: "resume", attempt: id, endpoint, generation, from: next }],
        };
    }
    if (current.backUp !== undefined && CONTINUABLE.has(cause)) return continueFromCopy(state, cause, detail);
    const cancel = cancelCurrent(state);
    return canRetry(state) ? tryElsewhere(state, cancel) : fail(state, FAIL_CODE[cause], detail, cancel);
}

/** Losses after which an endpoint that keeps a copy may let the generation go on. */
const CONTINUABLE: ReadonlySet<LossCause> = new Set(["reset", "idle", "reclaimed", "unread"]);

/** The old attempt is cancelled first, so that the generation never goes on at two endpoints. */
function continueFromCopy(state: RequestState, cause: LossCause, detail: string): Step {
    const broken = { next: state.attempt!.next, cause, detail };
    return {
        state: { ...state, attempt: undefined, broken },
        actions: [...cancelCurrent(state), { kind: "admitCopy", cause }],
    };
}

/** An attempt whose connection never came up: another may be made, beyond those that the request is allowed. */
function afterNeverSent(state: RequestState, detail: string): Step {
    if (!canRetry(state)) return fail(state, FailCode.EndpointLost, detail, cancelCurrent(state), ELSEWHERE_RETRY_MS);
    const { state: next, actions } = tryElsewhere(state, cancelCurrent(state));
    return {
        state: next,
        actions: actions.map(action => action.kind === "admit" ? { ...action, neverLeft: true } : action),
    };
}

const FAIL_CODE: { readonly [K in LossCause]: FailCode } = {
    connect: FailCode.EndpointLost,
    reset: FailCode.EndpointLost,
    idle: FailCode.EndpointSilent,
    firstToken: FailCode.EndpointSilent,
    invalid: FailCode.EndpointInvalid,
    resumeRefused: FailCode.StreamIncomplete,
    reclaimed: FailCode.EndpointLost,
    unread: FailCode.CallerUnread,
};

/** What reached no endpoint from this host may come back so soon: other hosts may reach the endpoints. */
const ELSEWHERE_RETRY_MS = 250;
/** Attempts that may fail to connect beyond those that count. */
const MOST_NEVER_SENT = 3;

/**
 * Whether another attempt keeps all promises: nothing went out, and it is repeatable or provably did not run. Attempts
 * count from their first byte on; those that never left are bounded on their own.
 */
function canRetry(state: RequestState): boolean {
    const { sent } = state.record;
    const neverSent = state.attempts - sent.length;
    if (state.committed || sent.length >= state.cfg.maxAttempts || neverSent > MOST_NEVER_SENT) return false;
    return state.cfg.repeatable || proveNotRun(state.record) !== undefined;
}

function tryElsewhere(state: RequestState, before: readonly RequestAction[]): Step {
    const avoid = [...new Set([...state.avoid, state.attempt!.endpoint])];
    const drop: readonly RequestAction[] = state.phase === Phase.Streaming ? [{ kind: "dropHeld" }] : [];
    return {
        state: { ...state, phase: Phase.Waiting, attempt: undefined, avoid, tokenSeen: state.tokenSeen },
        actions: [...before, ...drop, { kind: "admit", avoid, retry: true }],
    };
}

function cancelCurrent(state: RequestState): readonly RequestAction[] {
    const current = state.attempt;
    if (!current) return [];
    return [{ kind: "cancel", attempt: current.id, endpoint: current.endpoint, generation: current.generation }];
}

function fail(
    state: RequestState,
    code: FailCode,
    detail: string,
    before: readonly RequestAction[],
    retryAfterMs?: number,
): Step {
    const err = failure(proveNotRun(state.record), state.tokenSeen, code, detail, retryAfterMs);
    return { state: { ...state, phase: Phase.Ended }, actions: [...before, { kind: "fail", err }] };
}

function isCurrent(state: RequestState, attempt: string): boolean {
    return state.attempt?.id === attempt;
}

/** Whether an answer of an attempt can be meant for this request now: it is the current one and may have been sent. */
function isAnswering(state: RequestState, attempt: string): boolean {
    return isCurrent(state, attempt) && state.record.sent.includes(attempt);
}

function stay(state: RequestState): Step {
    return { state, actions: [] };
}

function discard(state: RequestState, reason: keyof Discards): RequestState {
    return { ...state, discards: { ...state.discards, [reason]: state.discards[reason] + 1 } };
}

function discardLate(state: RequestState, event: RequestEvent): RequestState {
    return event.kind === "token" ? discard(state, "otherAttempt") : state;
}
