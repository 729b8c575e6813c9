/**
 * The transition function of a request: `step(state, event)` returns the next state and the actions. It is pure; time
 * enters as events.
 *
 * It keeps these invariants under any order of events: a token is forwarded only if its attempt, generation and index
 * are the expected ones; a request is not started anew once any byte was sent to the caller, nor if it is not
 * repeatable and may have run; nothing is forwarded after the end.
 *
 * @module
 */
import { FailCode, requestError } from "./error.js";
import { proveNotRun, recordRefused, recordSent } from "./proof.js";
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
 * Advances a request by one event. Events after the end, or of an attempt that is not the current one, change only the
 * counts of discarded events.
 *
 * @example
 * ```ts
 * step(state, { kind: "admitted", endpoint: "e1" }).actions; // [{ kind: "dispatch", attempt: "r1.1", endpoint: "e1" }]
 * ```
 */
export function step(state: RequestState, event: RequestEvent): Step {
    if (state.phase === Phase.Ended) return { state: countLateEvent(state, event), actions: [] };
    const handler = HANDLERS[event.kind] as (state: RequestState, event: RequestEvent) => Step;
    return handler(state, event);
}

const HANDLERS: { readonly [K in RequestEvent["kind"]]: Handler<K> } = {
    admitted: (state, { endpoint, backUp }) => {
        if (state.phase !== Phase.Waiting && !state.loss) return withoutActions(state);
        const number = state.attempts + 1;
        const continueAt = state.loss?.next;
        const attempt: Attempt = {
            id: `${state.cfg.id}.${number}`,
            endpoint,
            next: continueAt ?? 0,
            resumes: 0,
            resuming: false,
            backUp,
        };
        return {
            state: { ...state, phase: Phase.Dispatched, attempts: number, attempt, loss: undefined },
            actions: [{ kind: "dispatch", attempt: attempt.id, endpoint, backUp, continueAt }],
        };
    },
    notAdmitted: (state, { code, detail, retryAfterMs }) => {
        // If no copy is left, the caller is told why the generation was lost.
        if (state.loss) return fail(state, CODE_OF_LOSS[state.loss.cause], `${state.loss.detail}; ${detail}`, []);
        return state.phase === Phase.Waiting ? fail(state, code, detail, [], retryAfterMs) : withoutActions(state);
    },
    sending: (state, { attempt }) =>
        isCurrent(state, attempt)
            ? withoutActions({ ...state, record: recordSent(state.record, attempt) })
            : withoutActions(state),
    endpointRefused: (state, { attempt, detail, retryAfterMs }) => {
        if (!isCurrent(state, attempt) || state.phase !== Phase.Dispatched) return withoutActions(state);
        // An endpoint that named a generation has started to run the request, so its refusal proves nothing.
        if (state.attempt?.generation !== undefined) return handleLoss(state, "invalid", "refused after it had begun");
        const refused = { ...state, record: recordRefused(state.record, attempt) };
        if (canRetry(refused)) return retryElsewhere(refused, []);
        return fail(refused, FailCode.EndpointRefused, detail, [], retryAfterMs);
    },
    opened: (state, { attempt, generation }) => {
        const current = state.attempt;
        if (!current || !mayAnswer(state, attempt)) return withoutActions(countDiscard(state, "otherAttempt"));
        if (current.generation !== undefined && current.generation !== generation) {
            return withoutActions(countDiscard(state, "otherGeneration"));
        }
        return withoutActions({ ...state, attempt: { ...current, generation, resuming: false } });
    },
    token: onToken,
    finished: (state, { attempt, generation, total, failed }) => {
        const current = state.attempt;
        if (!current || !mayAnswer(state, attempt)) return withoutActions(countDiscard(state, "otherAttempt"));
        if (current.generation !== generation) return withoutActions(countDiscard(state, "otherGeneration"));
        if (current.next !== total) {
            return handleLoss(
                countDiscard(state, "gap"),
                "reset",
                `ended at ${current.next} of ${total}`,
            );
        }
        return {
            state: { ...state, phase: Phase.Ended, committed: true },
            actions: [{ kind: "complete", tokens: total, ...(failed ? { failed } : {}) }],
        };
    },
    failedAnswer: (state, { attempt }) => {
        if (!mayAnswer(state, attempt)) return withoutActions(countDiscard(state, "otherAttempt"));
        if (canRetry(state)) return retryElsewhere(state, []);
        // An answer that was forwarded in part must not end with the bytes of an error answer.
        if (state.committed) return handleLoss(state, "invalid", "the endpoint failed where its answer was to go on");
        const ended: RequestState = { ...state, phase: Phase.Ended, committed: true };
        return { state: ended, actions: [{ kind: "complete", tokens: 1, failed: true }] };
    },
    lost: (state, { attempt, cause, detail }) => {
        if (!isCurrent(state, attempt)) return withoutActions(countDiscard(state, "otherAttempt"));
        // What may have been sent stays so, whatever the connection's error says.
        const neverSent = cause === "connect" && !state.record.sent.includes(attempt);
        return neverSent ? retryNeverSent(state, detail) : handleLoss(state, cause, detail);
    },
    copied: (state, { attempt, endpoint }) =>
        isCurrent(state, attempt)
            ? withoutActions({ ...state, attempt: { ...state.attempt!, backUp: endpoint } })
            : withoutActions(state),
    withheld: (state, { code, detail, retryAfterMs }) => fail(state, code, detail, cancelCurrent(state), retryAfterMs),
    givenUp: (state, { code, detail, retryAfterMs }) => fail(state, code, detail, cancelCurrent(state), retryAfterMs),
    callerGone: state => fail(state, FailCode.CallerGone, "the caller left", cancelCurrent(state)),
    deadline: state =>
        fail(
            state,
            FailCode.DeadlinePassed,
            "the request's deadline passed",
            cancelCurrent(state),
            OTHER_HOST_RETRY_MS,
        ),
    stopping: state =>
        state.phase === Phase.Waiting
            ? fail(state, FailCode.Stopping, "this host is stopping", [], 0)
            : withoutActions(state),
};

function onToken(state: RequestState, event: Extract<RequestEvent, { kind: "token" }>): Step {
    const current = state.attempt;
    if (!current || !mayAnswer(state, event.attempt)) return withoutActions(countDiscard(state, "otherAttempt"));
    // Some engines name the generation only in their first token.
    const generation = current.generation ?? event.generation;
    if (generation !== event.generation) return withoutActions(countDiscard(state, "otherGeneration"));
    if (event.index < current.next) return withoutActions(countDiscard(state, "duplicate"));
    if (event.index > current.next) {
        return onGap({ ...countDiscard(state, "gap"), attempt: { ...current, generation } }, event);
    }
    // Lists each member, as this runs for every token and an object spread takes several times as long.
    const next: RequestState = {
        cfg: state.cfg,
        phase: Phase.Streaming,
        attempts: state.attempts,
        attempt: {
            id: current.id,
            endpoint: current.endpoint,
            generation,
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

/**
 * Handles a token after a gap: resumes the stream once for the missing tokens, and ignores the rest of the old stream.
 */
function onGap(state: RequestState, event: Extract<RequestEvent, { kind: "token" }>): Step {
    if (state.attempt?.resuming) return withoutActions(state);
    return handleLoss(state, "reset", `token ${event.index} came where ${state.attempt?.next} was expected`);
}

/** Handles the loss of the current attempt's stream: resumes it, continues from a copy, retries elsewhere, or fails. */
function handleLoss(state: RequestState, cause: LossCause, detail: string): Step {
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
    return canRetry(state) ? retryElsewhere(state, cancel) : fail(state, CODE_OF_LOSS[cause], detail, cancel);
}

/** Losses after which the endpoint that holds a copy may continue the generation. */
const CONTINUABLE: ReadonlySet<LossCause> = new Set(["reset", "idle", "reclaimed", "unread"]);

/** Cancels the old attempt before it asks for the copy, so that the generation never runs at two endpoints. */
function continueFromCopy(state: RequestState, cause: LossCause, detail: string): Step {
    const loss = { next: state.attempt!.next, cause, detail };
    return {
        state: { ...state, attempt: undefined, loss },
        actions: [...cancelCurrent(state), { kind: "admitCopy", cause }],
    };
}

/** Handles an attempt whose connection was never established. Such attempts do not count against `maxAttempts`. */
function retryNeverSent(state: RequestState, detail: string): Step {
    if (!canRetry(state)) return fail(state, FailCode.EndpointLost, detail, cancelCurrent(state), OTHER_HOST_RETRY_MS);
    const { state: next, actions } = retryElsewhere(state, cancelCurrent(state));
    return {
        state: next,
        actions: actions.map(action => action.kind === "admit" ? { ...action, neverSent: true } : action),
    };
}

const CODE_OF_LOSS: { readonly [K in LossCause]: FailCode } = {
    connect: FailCode.EndpointLost,
    reset: FailCode.EndpointLost,
    idle: FailCode.EndpointSilent,
    firstToken: FailCode.EndpointSilent,
    invalid: FailCode.EndpointInvalid,
    resumeRefused: FailCode.StreamIncomplete,
    reclaimed: FailCode.EndpointLost,
    unread: FailCode.CallerUnread,
};

/** Retry delay for callers of a request that reached no endpoint: other hosts may reach the endpoints. */
const OTHER_HOST_RETRY_MS = 250;
/** Attempts that may fail to connect in addition to `maxAttempts`. */
const MAX_NEVER_SENT = 3;

/**
 * Whether the request may be attempted again: nothing was sent to the caller, and the request is repeatable or provably
 * did not run. `maxAttempts` bounds the attempts of which a byte was sent; the others have a bound of their own.
 */
function canRetry(state: RequestState): boolean {
    const { sent } = state.record;
    const neverSent = state.attempts - sent.length;
    if (state.committed || sent.length >= state.cfg.maxAttempts || neverSent > MAX_NEVER_SENT) return false;
    return state.cfg.repeatable || proveNotRun(state.record) !== undefined;
}

function retryElsewhere(state: RequestState, precedingActions: readonly RequestAction[]): Step {
    const avoid = [...new Set([...state.avoid, state.attempt!.endpoint])];
    const dropHeld: readonly RequestAction[] = state.phase === Phase.Streaming ? [{ kind: "dropHeld" }] : [];
    return {
        state: { ...state, phase: Phase.Waiting, attempt: undefined, avoid, tokenSeen: state.tokenSeen },
        actions: [...precedingActions, ...dropHeld, { kind: "admit", avoid, retry: true }],
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
    precedingActions: readonly RequestAction[],
    retryAfterMs?: number,
): Step {
    const err = requestError(proveNotRun(state.record), state.tokenSeen, code, detail, retryAfterMs);
    return { state: { ...state, phase: Phase.Ended }, actions: [...precedingActions, { kind: "fail", err }] };
}

function isCurrent(state: RequestState, attempt: string): boolean {
    return state.attempt?.id === attempt;
}

/** Whether an endpoint may answer an attempt: it is the current one, and a byte of it may have been sent. */
function mayAnswer(state: RequestState, attempt: string): boolean {
    return isCurrent(state, attempt) && state.record.sent.includes(attempt);
}

function withoutActions(state: RequestState): Step {
    return { state, actions: [] };
}

function countDiscard(state: RequestState, reason: keyof Discards): RequestState {
    return { ...state, discards: { ...state.discards, [reason]: state.discards[reason] + 1 } };
}

function countLateEvent(state: RequestState, event: RequestEvent): RequestState {
    return event.kind === "token" ? countDiscard(state, "otherAttempt") : state;
}
