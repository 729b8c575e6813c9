/**
 * Attempts at model engines: the engine client's streams turned into events of a request.
 *
 * @module
 */
import { cancelStream, type EngineCall, type EngineEnd, openStream, type StreamLimits } from "@drumpaddle/protocol";
import type { Dispatcher } from "undici";
import type { AttemptRunner, AttemptSink } from "./run.js";
import { UnreadAnswer } from "./unread-answer.js";

/** One piece of an engine's answer: an event's data as it came. */
export type EnginePiece = string;

/** What attempts need. */
export interface EngineRunnerDeps {
    readonly dispatcher: Dispatcher;
    readonly urlOf: (endpoint: string) => string | undefined;
    readonly path: string;
    readonly requestId: string;
    readonly bodyWith: (priority: number) => string;
    readonly limits: StreamLimits;
    /** A promise while the caller does not read. */
    readonly ready: () => Promise<void> | undefined;
    /** The time, in milliseconds. */
    readonly now: () => number;
}

const CANCEL_TIMEOUT_MS = 2_000;

/**
 * Attempts for one request.
 *
 * @example
 * ```ts
 * new Run({ runner: engineRunner(deps), ... });
 * ```
 */
export function engineRunner(deps: EngineRunnerDeps): AttemptRunner<EnginePiece> {
    const common = (attempt: string, url: string): Omit<EngineCall, "path" | "method"> => ({
        dispatcher: deps.dispatcher,
        url,
        requestId: deps.requestId,
        attempt,
        limits: deps.limits,
    });
    return {
        start: ({ attempt, endpoint, priority }, sink, signal) => {
            const url = deps.urlOf(endpoint);
            if (url === undefined) {
                sink.event({ kind: "lost", attempt, cause: "connect", detail: "the endpoint is no longer declared" });
                return;
            }
            sink.event({ kind: "sending", attempt });
            const call: EngineCall = {
                ...common(attempt, url),
                path: deps.path,
                method: "POST",
                body: deps.bodyWith(priority),
            };
            void stream(call, undefined, deps, sink, signal);
        },
        resume: (attempt, endpoint, generation, from, sink, signal) => {
            const url = deps.urlOf(endpoint);
            if (url === undefined) {
                sink.event({
                    kind: "lost",
                    attempt,
                    cause: "resumeRefused",
                    detail: "the endpoint is no longer declared",
                });
                return;
            }
            const path = `/v1/generations/${encodeURIComponent(generation)}?from=${from}`;
            void stream({ ...common(attempt, url), path, method: "GET" }, generation, deps, sink, signal);
        },
        cancel: (attempt, endpoint, generation) => {
            const url = deps.urlOf(endpoint);
            if (url !== undefined) void cancelStream(deps.dispatcher, url, { attempt, generation }, CANCEL_TIMEOUT_MS);
        },
    };
}

async function stream(
    call: EngineCall,
    resuming: string | undefined,
    deps: EngineRunnerDeps,
    sink: AttemptSink<EnginePiece>,
    signal: AbortSignal,
): Promise<void> {
    const unread = new UnreadAnswer(deps.now);
    const end = await openStream(
        call,
        {
            onEvent: event => sink.event(event, "data" in event ? event.data : undefined),
            ready: () => {
                const waiting = deps.ready();
                if (!waiting) return undefined;
                unread.holdBack();
                return waiting.then(() => unread.readOn());
            },
        },
        signal,
    );
    if (signal.aborted) return;
    const { attempt } = call;
    if (end.kind === "refused" && resuming === undefined) {
        sink.event({ kind: "endpointRefused", attempt, detail: end.detail, retryAfterMs: end.retryAfterMs });
        return;
    }
    const loss = lossOf(end, resuming !== undefined);
    const isCutOff = loss.cause === "reset" && unread.mayBeCutOff;
    sink.event({ kind: "lost", attempt, ...loss, ...(isCutOff ? { cause: "unread" } : {}) });
}

function lossOf(
    end: EngineEnd,
    resuming: boolean,
): { cause: "connect" | "reset" | "idle" | "firstToken" | "invalid" | "resumeRefused"; detail: string } {
    if (end.kind === "closed") return { cause: "reset", detail: "the stream ended before its answer was whole" };
    if (end.kind === "refused") return { cause: "resumeRefused", detail: end.detail };
    // While resuming, a lost connection says nothing about the generation: it may be tried again.
    return { cause: resuming && end.cause === "connect" ? "reset" : end.cause, detail: end.detail };
}
