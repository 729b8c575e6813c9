/**
 * HTTP client of a model engine: reads or resumes a stream of tokens, cancels a generation, and fetches the load.
 *
 * An engine answers with the server-sent events of the completions APIs. Each event also carries `attempt`, `generation`
 * and `token` (its index); the last one has `total` in place of `token`. An engine that refuses a request before it runs
 * sets the header `x-ran: no`.
 *
 * @module
 */
import { createParser } from "eventsource-parser";
import { StringDecoder } from "node:string_decoder";
import { type Dispatcher, request } from "undici";
import { errText } from "./net-error.js";
import { reportSending } from "./report-sending.js";
import { withTimeLimit } from "./time-limit.js";

/** An event of an engine's stream. `data` is the event's text as received. */
export type EngineEvent =
    | { readonly kind: "opened"; readonly attempt: string; readonly generation: string }
    | {
        readonly kind: "token";
        readonly attempt: string;
        readonly generation: string;
        readonly index: number;
        readonly data: string;
    }
    | {
        readonly kind: "finished";
        readonly attempt: string;
        readonly generation: string;
        readonly total: number;
        readonly data: string;
    };

/** How a stream ended. */
export type EngineStreamEnd =
    /** The engine ended the response, with or without a `finished` event. */
    | { readonly kind: "closed" }
    /** The engine declares that it has not run the request. */
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    /** The stream broke off; the engine may have run the request. */
    | {
        readonly kind: "lost";
        readonly cause: "connect" | "reset" | "idle" | "firstToken" | "invalid";
        readonly detail: string;
    };

/** How long a stream may be silent before and after its first token, in milliseconds. */
export interface StreamLimits {
    readonly firstTokenMs: number;
    readonly idleMs: number;
}

/** A request to an engine for a stream. */
export interface EngineStreamRequest {
    readonly dispatcher: Dispatcher;
    readonly url: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly body?: string;
    readonly requestId: string;
    readonly attempt: string;
    readonly limits: StreamLimits;
    /** Called before the first byte is sent. */
    readonly onSending?: () => void;
}

/** Receives the events of a stream. */
export interface EngineStreamHandler {
    /** Returns whether the event made progress; an engine that sends only events without progress counts as silent. */
    onEvent(event: EngineEvent): boolean;
    /** Called after each chunk of the stream. Reading pauses until the returned promise, if any, resolves. */
    ready(): Promise<void> | undefined;
}

/** Longest event that is accepted; a longer one ends the stream as invalid. */
const MAX_EVENT_CHARS = 1_000_000;
const DONE_MARKER = "[DONE]";

interface RawEngineEvent {
    readonly attempt?: unknown;
    readonly generation?: unknown;
    readonly token?: unknown;
    readonly total?: unknown;
}

/**
 * Sends a request and reads its stream to the end. Never throws; an aborted signal ends the stream as lost.
 *
 * @example
 * ```ts
 * const end = await readEngineStream(call, sink, signal);
 * if (end.kind === "refused") end.retryAfterMs;
 * ```
 */
export async function readEngineStream(
    call: EngineStreamRequest,
    sink: EngineStreamHandler,
    signal: AbortSignal,
): Promise<EngineStreamEnd> {
    const silenceTimer = createSilenceTimer(call.limits, signal);
    let isSent = false;
    const dispatcher = reportSending(call.dispatcher, () => {
        isSent = true;
        call.onSending?.();
    });
    try {
        const res = await request(call.url + call.path, {
            method: call.method,
            headers: {
                "accept": "text/event-stream",
                "x-request-id": call.requestId,
                "x-attempt-id": call.attempt,
                ...(call.body === undefined ? {} : { "content-type": "application/json" }),
            },
            ...(call.body === undefined ? {} : { body: call.body }),
            dispatcher,
            headersTimeout: 0,
            bodyTimeout: 0,
            signal: silenceTimer.signal,
        });
        return await readResponse(res, call.attempt, sink, silenceTimer);
    }
    catch (err) {
        return {
            kind: "lost",
            cause: silenceTimer.expiredLimit() ?? (isSent ? "reset" : "connect"),
            detail: errText(err),
        };
    }
    finally {
        silenceTimer.stop();
    }
}

/** Aborts a stream whose engine makes no progress within the {@link StreamLimits}. */
interface SilenceTimer {
    readonly signal: AbortSignal;
    /** Restarts the timer after progress; from the first call on the idle limit applies. */
    restart(): void;
    /** The limit that has expired; undefined if none has. */
    expiredLimit(): "firstToken" | "idle" | undefined;
    /** Stops the timer until the next call of `restart`: an engine is not silent while this host does not read. */
    pause(): void;
    stop(): void;
}

function createSilenceTimer(limits: StreamLimits, signal: AbortSignal): SilenceTimer {
    const controller = new AbortController();
    let isIdleTimerArmed = false;
    let expired: "firstToken" | "idle" | undefined;
    const onSilence = (): void => {
        expired = isIdleTimerArmed ? "idle" : "firstToken";
        controller.abort();
    };
    const onAbort = (): void => controller.abort();
    signal.addEventListener("abort", onAbort, { once: true });
    if (signal.aborted) controller.abort();
    let timer = setTimeout(onSilence, limits.firstTokenMs);
    return {
        signal: controller.signal,
        restart: () => {
            if (isIdleTimerArmed) {
                timer.refresh();
                return;
            }
            isIdleTimerArmed = true;
            clearTimeout(timer);
            timer = setTimeout(onSilence, limits.idleMs);
        },
        expiredLimit: () => expired,
        pause: () => {
            clearTimeout(timer);
            isIdleTimerArmed = false;
        },
        stop: () => {
            clearTimeout(timer);
            signal.removeEventListener("abort", onAbort);
        },
    };
}

async function readResponse(
    res: Dispatcher.ResponseData,
    attempt: string,
    sink: EngineStreamHandler,
    silenceTimer: SilenceTimer,
): Promise<EngineStreamEnd> {
    const { statusCode, headers, body } = res;
    if (statusCode !== 200) return readRefusal(res);
    if (!String(headers["content-type"]).startsWith("text/event-stream")) {
        body.destroy();
        body.on("error", () => undefined);
        return { kind: "lost", cause: "invalid", detail: `not a stream of events: ${String(headers["content-type"])}` };
    }
    const generation = headers["x-generation-id"];
    if (typeof generation === "string") sink.onEvent({ kind: "opened", attempt, generation });
    let invalidReason: string | undefined;
    const parser = createParser({
        onEvent: ({ data }) => {
            const event = parseEvent(data);
            if (event === "invalid") invalidReason ??= "an event that is not in the completions shape";
            else if (event) {
                if (sink.onEvent(event)) silenceTimer.restart();
            }
        },
    });
    return readBody(body, parser, () => invalidReason, sink, silenceTimer);
}

/**
 * Feeds a response body to the parser until it ends. Uses `data` events in place of an async iterator: with one chunk
 * per token in hundreds of streams, the iterator's promises cost more than the parsing.
 */
function readBody(
    body: Dispatcher.ResponseData["body"],
    parser: { feed(text: string): void },
    invalidEventReason: () => string | undefined,
    sink: EngineStreamHandler,
    silenceTimer: SilenceTimer,
): Promise<EngineStreamEnd> {
    return new Promise((resolve, reject) => {
        let pendingChars = 0;
        const decoder = new StringDecoder("utf8");
        body.on("error", reject);
        body.on("end", () => resolve({ kind: "closed" }));
        body.on("data", (chunk: Buffer) => {
            const text = decoder.write(chunk);
            // The parser buffers an event until it is complete, so an endless event must be cut off to bound memory.
            pendingChars = text.includes("\n") ? text.length : pendingChars + text.length;
            const tooLong = pendingChars > MAX_EVENT_CHARS;
            if (!tooLong) parser.feed(text);
            const invalidReason = tooLong
                ? `an event of more than ${MAX_EVENT_CHARS} characters`
                : invalidEventReason();
            if (invalidReason !== undefined) {
                resolve({ kind: "lost", cause: "invalid", detail: invalidReason });
                body.destroy();
                return;
            }
            const whenReady = sink.ready();
            if (whenReady) pauseUntil(body, whenReady, silenceTimer);
        });
    });
}

/** Pauses reading until the promise resolves, such as when the caller has read what it was sent; stops the silence timer meanwhile. */
function pauseUntil(body: Dispatcher.ResponseData["body"], whenReady: Promise<void>, silenceTimer: SilenceTimer): void {
    body.pause();
    silenceTimer.pause();
    void whenReady.then(() => {
        silenceTimer.restart();
        body.resume();
    });
}

async function readRefusal({ statusCode, headers, body }: Dispatcher.ResponseData): Promise<EngineStreamEnd> {
    const text = await body.text();
    const detail = `${statusCode}: ${errorMessageOf(text)}`;
    if (headers["x-ran"] !== "no") return { kind: "lost", cause: "invalid", detail };
    const seconds = Number(headers["retry-after"]);
    const retryAfterMs = Number.isFinite(seconds) && headers["retry-after"] !== undefined ? seconds * 1000 : undefined;
    return { kind: "refused", status: statusCode, detail, retryAfterMs };
}

const MAX_DETAIL_CHARS = 200;

function errorMessageOf(text: string): string {
    try {
        const message = (JSON.parse(text) as { error?: { message?: unknown } }).error?.message;
        return typeof message === "string" ? message.slice(0, MAX_DETAIL_CHARS) : "no reason given";
    }
    catch {
        return "an answer that is not JSON";
    }
}

/** Parses the data of one event; undefined if it is neither a token nor the end, such as the `[DONE]` marker. */
function parseEvent(data: string): EngineEvent | "invalid" | undefined {
    if (data === DONE_MARKER) return undefined;
    let raw: RawEngineEvent;
    try {
        raw = JSON.parse(data) as RawEngineEvent;
    }
    catch {
        return "invalid";
    }
    const { attempt, generation, token, total } = raw ?? {};
    if (typeof attempt !== "string" || typeof generation !== "string") return "invalid";
    if (typeof token === "number") return { kind: "token", attempt, generation, index: token, data };
    if (typeof total === "number") return { kind: "finished", attempt, generation, total, data };
    return undefined;
}

/** An engine's load report. */
export interface EngineLoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly memoryUsed: number;
    readonly preemptions: number;
    readonly leaving: boolean;
    /** Age of the measurements when the engine sent them, in milliseconds. */
    readonly ageMs: number;
}

/**
 * Fetches an engine's load report; undefined if no valid one arrives in time.
 *
 * @example
 * ```ts
 * (await fetchEngineLoad(agent, "http://10.0.0.5:8000", 1000, signal))?.running;
 * ```
 */
export async function fetchEngineLoad(
    dispatcher: Dispatcher,
    url: string,
    timeoutMs: number,
    signal: AbortSignal,
): Promise<EngineLoadReport | undefined> {
    try {
        const { status, raw } = await withTimeLimit(timeoutMs, signal, async limited => {
            const res = await request(`${url}/v1/load`, { dispatcher, signal: limited });
            return { status: res.statusCode, raw: await res.body.json() as Record<string, unknown> };
        });
        const { running, waiting, memoryUsed, preemptions, age_ms: ageMs } = raw;
        const numbers = [running, waiting, memoryUsed, preemptions, ageMs];
        if (status !== 200 || !numbers.every(value => typeof value === "number" && value >= 0)) {
            return undefined;
        }
        return {
            running: running as number,
            waiting: waiting as number,
            memoryUsed: memoryUsed as number,
            preemptions: preemptions as number,
            ageMs: ageMs as number,
            leaving: raw["state"] === "leaving",
        };
    }
    catch {
        return undefined;
    }
}

/**
 * Asks an engine to cancel a stream, by its generation if that is known, else by its attempt. A failure is harmless: the
 * engine also stops work whose connection has closed.
 *
 * @returns Whether the engine confirmed the cancellation.
 */
export async function cancelStream(
    dispatcher: Dispatcher,
    url: string,
    target: { readonly generation?: string | undefined; readonly attempt: string },
    timeoutMs: number,
): Promise<boolean> {
    const path = target.generation === undefined
        ? `/v1/attempts/${encodeURIComponent(target.attempt)}`
        : `/v1/generations/${encodeURIComponent(target.generation)}`;
    try {
        const res = await request(url + path, { method: "DELETE", dispatcher, signal: AbortSignal.timeout(timeoutMs) });
        await res.body.dump();
        return res.statusCode === 200;
    }
    catch {
        return false;
    }
}
