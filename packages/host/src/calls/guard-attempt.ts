/**
 * Reports the start and the end of attempts to the request guard, which withholds requests that crash endpoints.
 *
 * @module
 */
import type { RequestIdentity } from "@drumpaddle/hall";
import type { LossCause, RequestEvent } from "@drumpaddle/request";
import type { EndpointIncarnation } from "../endpoints/crash-detector.js";
import type { RequestGuard } from "../endpoints/request-guard.js";
import type { AttemptRunner, AttemptSink } from "./request-driver.js";

/** A call whose attempts are reported to the guard. */
export interface GuardedCall extends RequestIdentity {
    readonly req: string;
    readonly route: string;
    readonly workspace: string | undefined;
}

/** An attempt that is reported to the guard. */
export interface GuardedAttempt<T> extends GuardedCall {
    readonly attempt: string;
    readonly endpoint: EndpointIncarnation;
    /** Whether a piece belongs to an answer, rather than to a refusal or an error that says nothing of the prompt. */
    readonly isAnswer: (piece: T | undefined) => boolean;
    /** Aborts when the attempt ends. */
    readonly signal: AbortSignal;
}

/** Losses that a crash of the endpoint may have caused. */
const POSSIBLE_CRASHES: ReadonlySet<LossCause> = new Set(["reset", "idle"]);

/**
 * Wraps a sink so that the guard learns of the start and the end of an attempt before the request's state machine does.
 *
 * @example
 * ```ts
 * startAttempt(connections, wire, { ...attempt, sink: guardAttempt(sink, guard, guarded) });
 * ```
 */
export function guardAttempt<T>(
    sink: AttemptSink<T>,
    guard: RequestGuard,
    { attempt, endpoint, signal, isAnswer, ...run }: GuardedAttempt<T>,
): AttemptSink<T> {
    let sentAt: number | undefined;
    let wasAnswering = false;
    let suspects: ReadonlySet<string> = new Set();
    const onOver = (): void => guard.attemptEnded(attempt);
    signal.addEventListener("abort", onOver, { once: true });
    const handlers: {
        readonly [K in RequestEvent["kind"]]?: (event: Extract<RequestEvent, { kind: K }>, piece?: T) => void;
    } = {
        sending: () => {
            sentAt = guard.now();
            suspects = guard.attemptStarted(run, attempt);
        },
        token: (_event, piece) => {
            if (wasAnswering || !isAnswer(piece)) return;
            wasAnswering = true;
            guard.answerBegan(run, attempt, endpoint.software);
        },
        lost: ({ cause }) => {
            onOver();
            if (sentAt === undefined || !POSSIBLE_CRASHES.has(cause)) return;
            guard.attemptInterrupted(endpoint, { ...run, ranMs: guard.now() - sentAt, wasAnswering, suspects });
        },
        endpointRefused: onOver,
        failedAnswer: () => {
            onOver();
            guard.attemptCompleted(run.fingerprint);
        },
        finished: () => {
            onOver();
            guard.attemptCompleted(run.fingerprint);
        },
    };
    return {
        report: (event, piece) => {
            const handler = handlers[event.kind] as ((event: RequestEvent, piece?: T) => void) | undefined;
            if (!signal.aborted) handler?.(event, piece);
            return sink.report(event, piece);
        },
    };
}

/**
 * Wraps a runner so that its attempts are reported to the guard, for endpoints that do not report their incarnation.
 *
 * @param urlOf Returns the URL of an endpoint; undefined if it is not declared.
 *
 * @example
 * ```ts
 * new RequestDriver({ runner: guardRunner(plainRunner(...), host.guard, call, urlOf), ... });
 * ```
 */
export function guardRunner<T>(
    runner: AttemptRunner<T>,
    guard: RequestGuard,
    call: GuardedCall,
    urlOf: (endpoint: string) => string | undefined,
): AttemptRunner<T> {
    const guardedSink = (sink: AttemptSink<T>, attempt: string, id: string, signal: AbortSignal): AttemptSink<T> => {
        const endpoint = { id, incarnation: id, born: undefined, software: undefined, address: urlOf(id) ?? "" };
        return guardAttempt(sink, guard, { ...call, attempt, endpoint, signal, isAnswer: () => true });
    };
    return {
        ...runner,
        start: (plan, sink, signal) =>
            runner.start(plan, guardedSink(sink, plan.attempt, plan.endpoint, signal), signal),
        resume: (attempt, endpoint, generation, from, sink, signal) =>
            runner.resume(attempt, endpoint, generation, from, guardedSink(sink, attempt, endpoint, signal), signal),
    };
}
