/**
 * A stand-in caller: requests one generation, checks that the answer is complete and comes from a single generation,
 * and measures its timing.
 *
 * @module
 */
import { createParser } from "eventsource-parser";
import { type Dispatcher, request } from "undici";

/**
 * A request to send. The caller checks the answer of a stand-in engine by `tag` and by `output`, its length in tokens.
 */
export interface CallerRequest {
    readonly url: string;
    readonly key: string;
    readonly model: string;
    readonly tag: string;
    readonly promptTokens: number;
    readonly output: number;
    readonly prefix?: string;
    readonly dispatcher?: Dispatcher;
    readonly signal?: AbortSignal;
}

/** Outcome and timing of a call. */
export interface CallerResult {
    /**
     * `whole`: every token arrived once, in order, from one generation of this request. `refused`: the error says that
     * the request did not run. `wrong`: the answer has status 200 and no error, but is not whole.
     */
    readonly outcome: "whole" | "refused" | "failed" | "wrong";
    readonly status: number;
    readonly code?: string | undefined;
    readonly ran?: string | undefined;
    readonly tokens: number;
    readonly firstTokenMs?: number | undefined;
    readonly gapsMs: readonly number[];
    readonly detail?: string | undefined;
}

interface StreamEvent {
    readonly choices?: readonly {
        readonly delta?: { readonly content?: string };
        readonly finish_reason?: string | null;
    }[];
    readonly error?: { readonly code?: string; readonly ran?: string; readonly message?: string };
}

/**
 * Sends one streamed request and reads its answer to the end.
 *
 * @example
 * ```ts
 * (await callOnce({ url, key, model: "summary-8b", tag: "t1", promptTokens: 100, output: 50 })).outcome;
 * ```
 */
export async function callOnce(req: CallerRequest): Promise<CallerResult> {
    const startedAt = performance.now();
    const body = {
        model: req.model,
        stream: true,
        messages: [{ role: "user", content: "x".repeat(Math.max(1, req.promptTokens * 4 - 200)) }],
        x_output: req.output,
        x_tag: req.tag,
        x_prompt_tokens: req.promptTokens,
        ...(req.prefix ? { prompt_cache_key: req.prefix } : {}),
    };
    try {
        const res = await request(`${req.url}/v1/chat/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${req.key}`, "content-type": "application/json" },
            body: JSON.stringify(body),
            headersTimeout: 0,
            bodyTimeout: 0,
            ...(req.dispatcher ? { dispatcher: req.dispatcher } : {}),
            ...(req.signal ? { signal: req.signal } : {}),
        });
        if (res.statusCode !== 200) return readError(res.statusCode, await res.body.text());
        return await readStream(req, res.body, startedAt);
    }
    catch (err) {
        return { outcome: "failed", status: 0, tokens: 0, gapsMs: [], detail: (err as Error).message };
    }
}

function readError(status: number, text: string): CallerResult {
    const error = (JSON.parse(text) as StreamEvent).error;
    const outcome = error?.ran === "no" ? "refused" : "failed";
    return { outcome, status, code: error?.code, ran: error?.ran, tokens: 0, gapsMs: [], detail: error?.message };
}

async function readStream(req: CallerRequest, body: AsyncIterable<unknown>, startedAt: number): Promise<CallerResult> {
    const gapsMs: number[] = [];
    const generations = new Set<string>();
    let tokens = 0;
    let mismatch: string | undefined;
    let lastAt = 0;
    let firstTokenMs: number | undefined;
    let finished = false;
    let error: StreamEvent["error"];
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                finished = true;
                return;
            }
            const event = JSON.parse(data) as StreamEvent;
            if (event.error) error = event.error;
            const content = event.choices?.[0]?.delta?.content;
            if (content === undefined) return;
            const now = performance.now();
            if (firstTokenMs === undefined) firstTokenMs = now - startedAt;
            else gapsMs.push(now - lastAt);
            lastAt = now;
            const [tag, generation, index] = content.trim().split(".");
            generations.add(generation ?? "");
            if (tag !== req.tag || Number(index) !== tokens) {
                mismatch ??= `received ${content.trim()} instead of token ${tokens} of ${req.tag}`;
            }
            tokens += 1;
        },
    });
    const decoder = new TextDecoder();
    for await (const chunk of body) parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
    if (generations.size > 1) mismatch ??= `tokens of ${generations.size} generations`;
    const measured = { status: 200, tokens, firstTokenMs, gapsMs };
    if (mismatch !== undefined) return { outcome: "wrong", ...measured, detail: mismatch };
    if (error) return { outcome: "failed", ...measured, code: error.code, ran: error.ran, detail: error.message };
    if (!finished || tokens !== req.output) {
        return {
            outcome: "wrong",
            ...measured,
            detail: `received ${tokens} of ${req.output} tokens, [DONE]: ${finished}`,
        };
    }
    return { outcome: "whole", ...measured };
}
