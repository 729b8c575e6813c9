/**
 * Tells the guard against requests that end endpoints what becomes of an attempt.
 *
 * @module
 */
import type { LossCause, RequestEvent } from "@drumpaddle/request";
import type { WatchedEndpoint } from "../endpoints/crash-detector.js";
import type { RequestGuard } from "../endpoints/request-guard.js";
import type { AttemptRunner, AttemptSink } from "./run.js";

/** A call whose attempts are guarded. */
export interface GuardedCall {
    readonly req: string;
    readonly route: string;
    readonly workspace: string | undefined;
    readonly fingerprint: string;
}

/** An attempt that is guarded. */
export interface GuardedAttempt extends GuardedCall {
    readonly attempt: string;
    readonly endpoint: WatchedEndpoint;
    /** Ends the attempt. */
    readonly signal: AbortSignal;
}

/** Losses that the end of the endpoint may have caused. */
const MAY_BE_ENDING: ReadonlySet<LossCause> = new Set(["reset", "idle"]);

/**
 * A sink that tells the guard when an attempt begins, and how it ended, before the request's decisions hear of it.
 *
 * @example
 * ```ts
 * startAttempt(connections, wire, { ...attempt, sink: guardAttempt(sink, guard, guarded) });
 * ```
 */
export function guardAttempt<T>(
    sink: AttemptSink<T>,
    guard: RequestGuard,
    { attempt, endpoint, signal, ...run }: GuardedAttempt,
): AttemptSink<T> {
    const { fingerprint } = run;
    let sentAt: number | undefined;
    let wasSuspect = false;
    const over = (): void => guard.over(fingerprint, attempt);
    signal.addEventListener("abort", over, { once: true });
    const handlers: { readonly [K in RequestEvent["kind"]]?: (event: Extract<RequestEvent, { kind: K }>) => void } = {
        sending: () => {
            sentAt = guard.now();
            wasSuspect = guard.begun(fingerprint, attempt);
        },
        lost: ({ cause }) => {
            over();
            if (sentAt === undefined || !MAY_BE_ENDING.has(cause)) return;
            guard.broke(endpoint, { ...run, ranMs: guard.now() - sentAt, wasSuspect });
        },
        endpointRefused: over,
        failedAnswer: () => {
            over();
            guard.ranWhole(fingerprint);
        },
        finished: () => {
            over();
            guard.ranWhole(fingerprint);
        },
    };
    return {
        event: (event, piece) => {
            const handler = handlers[event.kind] as ((event: RequestEvent) => void) | undefined;
            if (!signal.aborted) handler?.(event);
            return sink.event(event, piece);
        },
    };
}

/**
 * A runner whose attempts are guarded, where endpoints tell nothing of their lives.
 *
 * @param urlOf Where an endpoint is reached; undefined where it is not declared.
 *
 * @example
 * ```ts
 * new Run({ runner: guardRunner(plainRunner(...), host.guard, call, urlOf), ... });
 * ```
 */
export function guardRunner<T>(
    runner: AttemptRunner<T>,
    guard: RequestGuard,
    call: GuardedCall,
    urlOf: (endpoint: string) => string | undefined,
): AttemptRunner<T> {
    const guarded = (sink: AttemptSink<T>, attempt: string, id: string, signal: AbortSignal): AttemptSink<T> => {
        const endpoint = { id, incarnation: id, born: undefined, software: undefined, address: urlOf(id) ?? "" };
        return guardAttempt(sink, guard, { ...call, attempt, endpoint, signal });
    };
    return {
        ...runner,
        start: (plan, sink, signal) => runner.start(plan, guarded(sink, plan.attempt, plan.endpoint, signal), signal),
        resume: (attempt, endpoint, generation, from, sink, signal) =>
            runner.resume(attempt, endpoint, generation, from, guarded(sink, attempt, endpoint, signal), signal),
    };
}
