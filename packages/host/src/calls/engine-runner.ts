/**
 * Makes attempts at model engines: turns the streams of the engine client into events of a request.
 *
 * @module
 */
import {
    cancelStream,
    type EngineStreamEnd,
    type EngineStreamRequest,
    readEngineStream,
    type StreamLimits,
} from "@drumpaddle/protocol";
import type { Dispatcher } from "undici";
import { ReadPauses } from "./read-pauses.js";
import type { AttemptRunner, AttemptSink } from "./request-driver.js";

/** One piece of an engine's answer: the data of an event, unchanged. */
export type EngineEventData = string;

/** Dependencies of {@link engineRunner}. */
export interface EngineRunnerDeps {
    readonly dispatcher: Dispatcher;
    readonly urlOf: (endpoint: string) => string | undefined;
    readonly path: string;
    readonly requestId: string;
    /** Returns the body to send, with the priority that was decided. */
    readonly bodyWith: (priority: number) => string;
    readonly limits: StreamLimits;
    /** Returns a promise that resolves when the caller reads again; undefined if it reads now. */
    readonly whenCallerReads: () => Promise<void> | undefined;
    /** The time, in milliseconds. */
    readonly now: () => number;
}

const CANCEL_TIMEOUT_MS = 2_000;

/**
 * Creates the runner of one request.
 *
 * @example
 * ```ts
 * new RequestDriver({ runner: engineRunner(deps), ... });
 * ```
 */
export function engineRunner(deps: EngineRunnerDeps): AttemptRunner<EngineEventData> {
    const common = (attempt: string, url: string): Omit<EngineStreamRequest, "path" | "method"> => ({
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
                sink.report({ kind: "lost", attempt, cause: "connect", detail: "the endpoint is no longer declared" });
                return;
            }
            const call: EngineStreamRequest = {
                ...common(attempt, url),
                onSending: () => sink.report({ kind: "sending", attempt }),
                path: deps.path,
                method: "POST",
                body: deps.bodyWith(priority),
            };
            void runStream(call, undefined, deps, sink, signal);
        },
        resume: (attempt, endpoint, generation, from, sink, signal) => {
            const url = deps.urlOf(endpoint);
            if (url === undefined) {
                sink.report({
                    kind: "lost",
                    attempt,
                    cause: "resumeRefused",
                    detail: "the endpoint is no longer declared",
                });
                return;
            }
            const path = `/v1/generations/${encodeURIComponent(generation)}?from=${from}`;
            void runStream({ ...common(attempt, url), path, method: "GET" }, generation, deps, sink, signal);
        },
        cancel: (attempt, endpoint, generation) => {
            const url = deps.urlOf(endpoint);
            if (url !== undefined) void cancelStream(deps.dispatcher, url, { attempt, generation }, CANCEL_TIMEOUT_MS);
        },
    };
}

async function runStream(
    call: EngineStreamRequest,
    resuming: string | undefined,
    deps: EngineRunnerDeps,
    sink: AttemptSink<EngineEventData>,
    signal: AbortSignal,
): Promise<void> {
    const pauses = new ReadPauses(deps.now);
    const end = await readEngineStream(
        call,
        {
            onEvent: event => sink.report(event, "data" in event ? event.data : undefined),
            ready: () => {
                const callerReads = deps.whenCallerReads();
                if (!callerReads) return undefined;
                pauses.pause();
                return callerReads.then(() => pauses.resume());
            },
        },
        signal,
    );
    if (signal.aborted) return;
    const { attempt } = call;
    if (end.kind === "refused" && resuming === undefined) {
        sink.report({ kind: "endpointRefused", attempt, detail: end.detail, retryAfterMs: end.retryAfterMs });
        return;
    }
    const loss = lossOf(end, resuming !== undefined);
    const isCutOff = loss.cause === "reset" && pauses.mayExplainClose;
    sink.report({ kind: "lost", attempt, ...loss, ...(isCutOff ? { cause: "unread" } : {}) });
}

function lossOf(
    end: EngineStreamEnd,
    resuming: boolean,
): { cause: "connect" | "reset" | "idle" | "firstToken" | "invalid" | "resumeRefused"; detail: string } {
    if (end.kind === "closed") return { cause: "reset", detail: "the stream ended before its answer was whole" };
    if (end.kind === "refused") return { cause: "resumeRefused", detail: end.detail };
    // A failed connection of a resume does not mean that the generation is lost: the resume may be retried.
    return { cause: resuming && end.cause === "connect" ? "reset" : end.cause, detail: end.detail };
}
