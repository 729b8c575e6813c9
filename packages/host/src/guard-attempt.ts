/**
 * Tells the guard against requests that end endpoints what becomes of an attempt.
 *
 * @module
 */
import type { LossCause, RequestEvent } from "@drumpaddle/request";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { RequestGuard } from "./request-guard.js";
import type { AttemptSink } from "./run.js";

/** An attempt that is guarded. */
export interface GuardedAttempt {
    readonly req: string;
    readonly route: string;
    readonly workspace: string | undefined;
    readonly attempt: string;
    readonly fingerprint: string;
    readonly endpoint: EndpointEntry;
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
            sentAt = performance.now();
            wasSuspect = guard.begun(fingerprint, attempt);
        },
        lost: ({ cause }) => {
            over();
            if (sentAt === undefined || !MAY_BE_ENDING.has(cause)) return;
            guard.broke(endpoint, { ...run, ranMs: performance.now() - sentAt, wasSuspect });
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
