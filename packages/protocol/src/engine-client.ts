/**
 * A client of one model engine: opens a stream of tokens, resumes it, cancels it, and asks for load.
 *
 * An engine answers in the completions shape; each event carries `attempt`, `generation`, `token` (its index) and, at
 * the end, `total`. A refusal before running carries the header `x-ran: no`.
 *
 * @module
 */
import { createParser } from "eventsource-parser";
import { StringDecoder } from "node:string_decoder";
import { type Dispatcher, request } from "undici";
import { errText, neverSent } from "./net-error.js";
import { withinTime } from "./time-limit.js";

/** What an engine's stream tells, in the order that it came. `data` is the event's text as it came. */
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
export type EngineEnd =
    /** The connection ended after a `finished` event, or after the last event that it had. */
    | { readonly kind: "closed" }
    /** The engine proves that it did not run the request. */
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly detail: string;
        readonly retryAfterMs?: number | undefined;
    }
    | {
        readonly kind: "lost";
        readonly cause: "connect" | "reset" | "idle" | "firstToken" | "invalid";
        readonly detail: string;
    };

/** Time limits of a stream, in milliseconds. */
export interface StreamLimits {
    readonly firstTokenMs: number;
    readonly idleMs: number;
}

/** What is sent to an engine. */
export interface EngineCall {
    readonly dispatcher: Dispatcher;
    readonly url: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly body?: string;
    readonly requestId: string;
    readonly attempt: string;
    readonly limits: StreamLimits;
}

/** Takes what a stream tells. */
export interface EngineSink {
    /** Returns whether the event moved the request on; an engine that sends only others is taken for silent. */
    onEvent(event: EngineEvent): boolean;
    /** Asked after each piece of the stream; while it waits, nothing more is read. */
    ready(): Promise<void> | undefined;
}

/** Largest event that is taken; an engine that sends more is not understood. */
const MAX_EVENT_CHARS = 1_000_000;
const DONE = "[DONE]";

interface RawEvent {
    readonly attempt?: unknown;
    readonly generation?: unknown;
    readonly token?: unknown;
    readonly total?: unknown;
}

/**
 * Runs one stream until it ends. It never throws; an aborted signal ends it as lost.
 *
 * @example
 * ```ts
 * const end = await openStream(call, sink, signal);
 * if (end.kind === "refused") end.retryAfterMs;
 * ```
 */
export async function openStream(call: EngineCall, sink: EngineSink, signal: AbortSignal): Promise<EngineEnd> {
    const watch = createSilenceWatch(call.limits, signal);
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
            dispatcher: call.dispatcher,
            headersTimeout: 0,
            bodyTimeout: 0,
            signal: watch.signal,
        });
        return await readAnswer(res, call.attempt, sink, watch);
    }
    catch (err) {
        return { kind: "lost", cause: watch.silent() ?? (neverSent(err) ? "connect" : "reset"), detail: errText(err) };
    }
    finally {
        watch.end();
    }
}

interface SilenceWatch {
    readonly signal: AbortSignal;
    /** A token came: from here on the idle limit holds. */
    heard(): void;
    /** Which limit ended the stream, if one did. */
    silent(): "firstToken" | "idle" | undefined;
    /** Not reading is not silence: the clock stands still until the next call of `heard`. */
    pause(): void;
    end(): void;
}

function createSilenceWatch(limits: StreamLimits, signal: AbortSignal): SilenceWatch {
    const own = new AbortController();
    let began = false;
    let passed: "firstToken" | "idle" | undefined;
    const onSilence = (): void => {
        passed = began ? "idle" : "firstToken";
        own.abort();
    };
    const onAbort = (): void => own.abort();
    signal.addEventListener("abort", onAbort, { once: true });
    if (signal.aborted) own.abort();
    let timer = setTimeout(onSilence, limits.firstTokenMs);
    return {
        signal: own.signal,
        heard: () => {
            if (began) {
                timer.refresh();
                return;
            }
            began = true;
            clearTimeout(timer);
            timer = setTimeout(onSilence, limits.idleMs);
        },
        silent: () => passed,
        pause: () => {
            clearTimeout(timer);
            began = false;
        },
        end: () => {
            clearTimeout(timer);
            signal.removeEventListener("abort", onAbort);
        },
    };
}

async function readAnswer(
    res: Dispatcher.ResponseData,
    attempt: string,
    sink: EngineSink,
    watch: SilenceWatch,
): Promise<EngineEnd> {
    const { statusCode, headers, body } = res;
    if (statusCode !== 200) return readRefusal(res);
    if (!String(headers["content-type"]).startsWith("text/event-stream")) {
        body.destroy();
        body.on("error", () => undefined);
        return { kind: "lost", cause: "invalid", detail: `not a stream of events: ${String(headers["content-type"])}` };
    }
    const generation = headers["x-generation-id"];
    if (typeof generation === "string") sink.onEvent({ kind: "opened", attempt, generation });
    let bad: string | undefined;
    const parser = createParser({
        onEvent: ({ data }) => {
            const event = readEvent(data);
            if (event === "invalid") bad ??= "an event that is not in the completions shape";
            else if (event) {
                if (sink.onEvent(event)) watch.heard();
            }
        },
    });
    return readBody(body, parser, () => bad, sink, watch);
}

/**
 * Feeds a body to the parser until it ends. By events and not by an async iterator: with a piece for each token of
 * hundreds of streams the iterator's promises cost more than the parsing.
 */
function readBody(
    body: Dispatcher.ResponseData["body"],
    parser: { feed(text: string): void },
    badEvent: () => string | undefined,
    sink: EngineSink,
    watch: SilenceWatch,
): Promise<EngineEnd> {
    return new Promise((resolve, reject) => {
        let pending = 0;
        const decoder = new StringDecoder("utf8");
        body.on("error", reject);
        body.on("end", () => resolve({ kind: "closed" }));
        body.on("data", (chunk: Buffer) => {
            const text = decoder.write(chunk);
            // The parser holds an event until its end: an event without end must not fill the memory.
            pending = text.includes("\n") ? text.length : pending + text.length;
            const tooLong = pending > MAX_EVENT_CHARS;
            if (!tooLong) parser.feed(text);
            const bad = tooLong ? `an event of more than ${MAX_EVENT_CHARS} characters` : badEvent();
            if (bad !== undefined) {
                resolve({ kind: "lost", cause: "invalid", detail: bad });
                body.destroy();
                return;
            }
            const waiting = sink.ready();
            if (waiting) holdBack(body, waiting, watch);
        });
    });
}

/** Reads nothing more until the caller has taken what it was sent; silence does not count meanwhile. */
function holdBack(body: Dispatcher.ResponseData["body"], waiting: Promise<void>, watch: SilenceWatch): void {
    body.pause();
    watch.pause();
    void waiting.then(() => {
        watch.heard();
        body.resume();
    });
}

async function readRefusal({ statusCode, headers, body }: Dispatcher.ResponseData): Promise<EngineEnd> {
    const text = await body.text();
    const detail = `${statusCode}: ${refusalText(text)}`;
    if (headers["x-ran"] !== "no") return { kind: "lost", cause: "invalid", detail };
    const seconds = Number(headers["retry-after"]);
    const retryAfterMs = Number.isFinite(seconds) && headers["retry-after"] !== undefined ? seconds * 1000 : undefined;
    return { kind: "refused", status: statusCode, detail, retryAfterMs };
}

const MAX_DETAIL = 200;

function refusalText(text: string): string {
    try {
        const message = (JSON.parse(text) as { error?: { message?: unknown } }).error?.message;
        return typeof message === "string" ? message.slice(0, MAX_DETAIL) : "no reason given";
    }
    catch {
        return "an answer that is not JSON";
    }
}

/** One event's data; undefined for what carries nothing, such as the closing mark. */
function readEvent(data: string): EngineEvent | "invalid" | undefined {
    if (data === DONE) return undefined;
    let raw: RawEvent;
    try {
        raw = JSON.parse(data) as RawEvent;
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

/** Load as an engine reports it. */
export interface EngineLoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly memoryUsed: number;
    readonly preemptions: number;
    readonly leaving: boolean;
    /** Age of the figures when they were sent, in milliseconds. */
    readonly ageMs: number;
}

/**
 * Asks an engine for its load; undefined where it gives no sensible answer in time.
 *
 * @example
 * ```ts
 * (await fetchLoad(agent, "http://10.0.0.5:8000", 1000, signal))?.running;
 * ```
 */
export async function fetchLoad(
    dispatcher: Dispatcher,
    url: string,
    timeoutMs: number,
    signal: AbortSignal,
): Promise<EngineLoadReport | undefined> {
    try {
        const { status, raw } = await withinTime(timeoutMs, signal, async limited => {
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
 * Tells an engine to cancel, by generation where it is known, else by attempt. Failing is harmless: the engine also ends
 * work whose connection is gone.
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
