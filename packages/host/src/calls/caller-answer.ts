/**
 * Writes answers to callers of the completions interface: streamed as server-sent events or collected into one body.
 * Errors have the shape that clients of that interface parse, with a stable `code` and `ran` in addition.
 *
 * @module
 */
import type { Ran, RequestError } from "@drumpaddle/request";
import { FailCode } from "@drumpaddle/request";
import type { ServerResponse } from "node:http";
import { type CallerQueue, PIECE_OVERHEAD_BYTES } from "./caller-queue.js";
import type { Reply } from "./request-driver.js";

/** An error as it is sent to a caller. */
export interface ApiError {
    readonly status: number;
    readonly code: string;
    readonly message: string;
    readonly ran: Ran;
    readonly retryAfterMs?: number | undefined;
    /** JSON pointer to the member of the body that is wrong. */
    readonly field?: string | undefined;
    /** Further members of the error object, such as the limit that was reached. */
    readonly facts?: Readonly<Record<string, unknown>> | undefined;
}

const STATUS: { readonly [K in FailCode]: number } = {
    [FailCode.Overloaded]: 503,
    [FailCode.LimitReached]: 429,
    [FailCode.NoEndpoint]: 503,
    [FailCode.Stopping]: 503,
    [FailCode.WaitTooLong]: 503,
    [FailCode.EndpointsLimited]: 503,
    [FailCode.DeadlinePassed]: 504,
    [FailCode.EndpointRefused]: 503,
    [FailCode.EndpointLost]: 502,
    [FailCode.EndpointSilent]: 504,
    [FailCode.EndpointInvalid]: 502,
    [FailCode.StreamIncomplete]: 502,
    [FailCode.CallerGone]: 499,
    [FailCode.AlreadyClaimed]: 409,
    [FailCode.PlatformAway]: 503,
    // Client libraries retry on 429, 500, 502, 503 and 504, and other 4xx would blame the caller.
    [FailCode.Quarantined]: 501,
    [FailCode.OnTrial]: 503,
    [FailCode.MemoryFull]: 503,
    [FailCode.CallerUnread]: 502,
    [FailCode.EndpointUnread]: 504,
};

/** Statuses that tell a caller that its request may have run. */
const MAY_HAVE_RUN_STATUSES: ReadonlySet<number> = new Set([502, 504]);
const UNAVAILABLE = 503;

/** Returns the status of an error; a request that did not run gets none of {@link MAY_HAVE_RUN_STATUSES}. */
function statusOf({ code, ran }: RequestError): number {
    const status = STATUS[code];
    return ran === "no" && MAY_HAVE_RUN_STATUSES.has(status) ? UNAVAILABLE : status;
}

/**
 * Converts the failure of a request into an error for its caller.
 *
 * @example
 * ```ts
 * toApiError(notRunError("endpoint_lost", "connect timeout", 250)).status; // 503
 * ```
 */
export function toApiError(err: RequestError): ApiError {
    return {
        status: statusOf(err),
        code: err.code,
        message: err.detail,
        ran: err.ran,
        retryAfterMs: err.retryAfterMs,
    };
}

function errorType(status: number): string {
    if (status === 401) return "authentication_error";
    if (status === 429) return "rate_limit_error";
    return status < 500 ? "invalid_request_error" : "server_error";
}

/** Returns the JSON body of an error. */
export function errorBody(err: ApiError): object {
    const { status, code, message, ran, field, facts } = err;
    return { error: { message, type: errorType(status), param: field ?? null, code, ran, ...facts } };
}

/**
 * Returns the headers of an error. `x-should-retry` is true only if the request provably did not run and a delay is
 * given: client libraries must not repeat a request on their own that may have run.
 */
export function errorHeaders(err: ApiError): Record<string, string> {
    const headers: Record<string, string> = {
        "x-ran": err.ran,
        "x-should-retry": String(err.ran === "no" && err.retryAfterMs !== undefined),
    };
    if (err.retryAfterMs !== undefined) headers["retry-after"] = String(Math.ceil(err.retryAfterMs / 1000));
    return headers;
}

/** Writes an error as the answer, unless an answer was started. */
export function writeError(out: ServerResponse, err: ApiError, headers: Readonly<Record<string, string>> = {}): void {
    if (out.headersSent || out.destroyed) return;
    out.writeHead(err.status, { ...headers, ...errorHeaders(err), "content-type": "application/json" });
    out.end(JSON.stringify(errorBody(err)));
}

/** Formats a server-sent event; line breaks in the engine's data become further `data:` lines. */
function sseEvent(data: string): string {
    return `data: ${data.includes("\n") ? data.replace(/\r?\n/g, "\ndata: ") : data}\n\n`;
}

/**
 * Creates a reply that forwards an engine's events as they arrive. An error after the first event is sent as an event,
 * and the stream then ends without `[DONE]`.
 */
export function streamReply(
    out: ServerResponse,
    queue: CallerQueue,
    headers: Readonly<Record<string, string>>,
): Reply<string> {
    let index = 0;
    const begin = (): void => {
        if (out.headersSent) return;
        out.writeHead(200, { ...headers, "content-type": "text/event-stream", "cache-control": "no-cache" });
    };
    return {
        forward: data => {
            begin();
            queue.write(Buffer.from(`id: ${index++}\n${sseEvent(data)}`));
        },
        discard: () => undefined,
        finish: last => {
            begin();
            queue.write(Buffer.from(`${last === undefined ? "" : sseEvent(last)}data: [DONE]\n\n`));
            queue.end();
        },
        fail: err => {
            if (!out.headersSent) return writeError(out, toApiError(err), headers);
            // The caller does not read the stream, so it would not read an error at its end either.
            if (err.code === FailCode.CallerUnread) {
                queue.discard();
                out.destroy();
                return;
            }
            queue.write(Buffer.from(sseEvent(JSON.stringify(errorBody(toApiError(err))))));
            queue.end();
        },
    };
}

interface CompletionChunk {
    readonly id?: string;
    readonly created?: number;
    readonly model?: string;
    readonly usage?: unknown;
    readonly choices?: readonly {
        readonly text?: string;
        readonly delta?: { readonly role?: string; readonly content?: string | null };
        readonly finish_reason?: string | null;
    }[];
}

/**
 * Creates a reply that collects an engine's events into one body.
 *
 * @param onHeldBytes Called with the number of bytes that are held so far.
 */
export function wholeReply(
    out: ServerResponse,
    onHeldBytes: (bytes: number) => void,
    headers: Readonly<Record<string, string>>,
    chat: boolean,
    promptTokens: number,
): Reply<string> {
    let texts: string[] = [];
    let bytes = 0;
    // Some engines send the finish reason before their last event.
    let finishReason: string | undefined;
    const take = (data: string): CompletionChunk => {
        const chunk = JSON.parse(data) as CompletionChunk;
        const choice = chunk.choices?.[0];
        const text = choice?.delta?.content ?? choice?.text ?? "";
        texts.push(text);
        bytes += text.length + PIECE_OVERHEAD_BYTES;
        onHeldBytes(bytes);
        finishReason = choice?.finish_reason ?? finishReason;
        return chunk;
    };
    return {
        forward: data => void take(data),
        discard: () => {
            texts = [];
            bytes = 0;
            onHeldBytes(bytes);
            finishReason = undefined;
        },
        finish: (last, tokens) => {
            const chunk: CompletionChunk = last === undefined ? {} : take(last);
            const text = texts.join("");
            const finish_reason = finishReason ?? "stop";
            const choice = chat
                ? { index: 0, message: { role: "assistant", content: text }, finish_reason }
                : { index: 0, text, finish_reason };
            const usage = chunk.usage
                ?? { prompt_tokens: promptTokens, completion_tokens: tokens, total_tokens: promptTokens + tokens };
            out.writeHead(200, { ...headers, "content-type": "application/json" });
            out.end(JSON.stringify({
                id: chunk.id,
                object: chat ? "chat.completion" : "text_completion",
                created: chunk.created ?? 0,
                model: chunk.model,
                choices: [choice],
                usage,
            }));
        },
        fail: err => writeError(out, toApiError(err), headers),
    };
}
