/**
 * Answers to callers: streamed as server-sent events, or gathered into one body; and errors in the shape that clients of
 * the completions interface parse, with a stable `code` and `ran`.
 *
 * @module
 */
import type { Ran, RequestError } from "@drumpaddle/request";
import { FailCode } from "@drumpaddle/request";
import type { ServerResponse } from "node:http";
import { type CallerQueue, PIECE_BYTES } from "./caller-queue.js";
import type { Reply } from "./run.js";

/** An error before a request is taken in. */
export interface ApiError {
    readonly status: number;
    readonly code: string;
    readonly message: string;
    readonly ran: Ran;
    readonly retryAfterMs?: number | undefined;
    readonly field?: string | undefined;
    /** Further facts, such as the limit that was reached. */
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
    // Neither a promise that invites another try (429, 503) nor the caller's mistake (4xx); client libraries try 500, 502 and 504 again.
    [FailCode.Quarantined]: 501,
    [FailCode.OnTrial]: 503,
    [FailCode.MemoryFull]: 503,
    [FailCode.CallerUnread]: 502,
    [FailCode.EndpointUnread]: 504,
};

/** Statuses by which a caller must take its request for one that may have run. */
const MAY_HAVE_RUN: ReadonlySet<number> = new Set([502, 504]);
const UNAVAILABLE = 503;

function statusOf({ code, ran }: RequestError): number {
    const status = STATUS[code];
    return ran === "no" && MAY_HAVE_RUN.has(status) ? UNAVAILABLE : status;
}

/**
 * A request's failure as an error for its caller.
 *
 * @example
 * ```ts
 * toApiError(notRun("endpoint_lost", "connect timeout", 250)).status; // 503
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

/** The body of an error. */
export function errorBody(err: ApiError): object {
    const { status, code, message, ran, field, facts } = err;
    return { error: { message, type: errorType(status), param: field ?? null, code, ran, ...facts } };
}

/**
 * The headers of an error. A request that may have run must not be sent again by a client library on its own, so
 * `x-should-retry` says false unless it provably did not run.
 */
export function errorHeaders(err: ApiError): Record<string, string> {
    const headers: Record<string, string> = {
        "x-ran": err.ran,
        "x-should-retry": String(err.ran === "no" && err.retryAfterMs !== undefined),
    };
    if (err.retryAfterMs !== undefined) headers["retry-after"] = String(Math.ceil(err.retryAfterMs / 1000));
    return headers;
}

/** Writes an error as a whole answer. */
export function writeError(out: ServerResponse, err: ApiError, headers: Readonly<Record<string, string>> = {}): void {
    if (out.headersSent || out.destroyed) return;
    out.writeHead(err.status, { ...headers, ...errorHeaders(err), "content-type": "application/json" });
    out.end(JSON.stringify(errorBody(err)));
}

/** An event of a stream; the data of an engine may not break the framing. */
function sse(data: string): string {
    return `data: ${data.includes("\n") ? data.replace(/\r?\n/g, "\ndata: ") : data}\n\n`;
}

/**
 * A reply that passes an engine's events on as they come. An error after the first event is an event of its own, and the
 * stream then ends without the closing mark.
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
            queue.write(Buffer.from(`id: ${index++}\n${sse(data)}`));
        },
        drop: () => undefined,
        finish: last => {
            begin();
            queue.write(Buffer.from(`${last === undefined ? "" : sse(last)}data: [DONE]\n\n`));
            queue.end();
        },
        fail: err => {
            if (!out.headersSent) return writeError(out, toApiError(err), headers);
            // Behind all that it does not read, its caller would never come to read of the error.
            if (err.code === FailCode.CallerUnread) {
                queue.drop();
                out.destroy();
                return;
            }
            queue.write(Buffer.from(sse(JSON.stringify(errorBody(toApiError(err))))));
            queue.end();
        },
    };
}

interface Chunk {
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
 * A reply that gathers an engine's events into one body.
 *
 * @param onHeld Told how much of it is held until it is whole, in bytes.
 */
export function wholeReply(
    out: ServerResponse,
    onHeld: (bytes: number) => void,
    headers: Readonly<Record<string, string>>,
    chat: boolean,
    promptTokens: number,
): Reply<string> {
    let texts: string[] = [];
    let bytes = 0;
    // An engine may give its reason before its last event.
    let reason: string | undefined;
    const take = (data: string): Chunk => {
        const chunk = JSON.parse(data) as Chunk;
        const choice = chunk.choices?.[0];
        const text = choice?.delta?.content ?? choice?.text ?? "";
        texts.push(text);
        bytes += text.length + PIECE_BYTES;
        onHeld(bytes);
        reason = choice?.finish_reason ?? reason;
        return chunk;
    };
    return {
        forward: data => void take(data),
        drop: () => {
            texts = [];
            bytes = 0;
            onHeld(bytes);
            reason = undefined;
        },
        finish: (last, tokens) => {
            const chunk: Chunk = last === undefined ? {} : take(last);
            const text = texts.join("");
            const finish_reason = reason ?? "stop";
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
