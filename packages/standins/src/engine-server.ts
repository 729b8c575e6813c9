/**
 * A stand-in engine over HTTP, built on {@link EngineModel}. It serves OpenAI-style completions with generation ids and
 * token indices, can resume and cancel generations, reports its load with a lag, and injects faults on demand.
 *
 * @module
 */
import Fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { ENGINE, type EngineCfg, type EngineLoad, EngineModel } from "./engine-model.js";

/** A fault injected into one request; `at` is the index of the token at which it occurs. */
export type EngineFault =
    | { readonly kind: "refuse"; readonly retryAfterS?: number }
    /** Answers status 500, which doesn't say whether the request ran. */
    | { readonly kind: "serverError" }
    | { readonly kind: "html" }
    | { readonly kind: "noAnswer" }
    | { readonly kind: "closeBeforeHead" }
    /** Breaks the connection; the generation continues and can be resumed. */
    | { readonly kind: "resetAt"; readonly at: number }
    /** Breaks the connection and removes the generation. */
    | { readonly kind: "loseGenerationAt"; readonly at: number }
    | { readonly kind: "stallAt"; readonly at: number }
    | { readonly kind: "repeatAt"; readonly at: number }
    | { readonly kind: "skipAt"; readonly at: number }
    /** Sends the token after its successor. */
    | { readonly kind: "swapAt"; readonly at: number }
    /** Inserts a token of another request's attempt. */
    | { readonly kind: "foreignTokenAt"; readonly at: number }
    /** Inserts a token with another generation id. */
    | { readonly kind: "otherGenerationAt"; readonly at: number }
    | { readonly kind: "halfChunkAt"; readonly at: number }
    | { readonly kind: "hugeChunkAt"; readonly at: number }
    /** Reports one token fewer in total than it sent. */
    | { readonly kind: "shortTotal" };

/** Configuration of a stand-in engine. */
export interface EngineServerCfg {
    readonly name: string;
    readonly models: readonly string[];
    readonly engine?: EngineCfg;
    /** Age of the load that the engine reports; 0 by default. */
    readonly loadLagMs?: number;
    /** Factor by which iterations run faster than the model says; 1 by default. */
    readonly speed?: number;
    readonly port?: number;
}

interface RequestBody {
    readonly model?: string;
    readonly stream?: boolean;
    readonly max_tokens?: number;
    readonly messages?: unknown;
    readonly prompt?: unknown;
    readonly priority?: number;
    /** Length of the output in tokens, chosen by the traffic generator. */
    readonly x_output?: number;
    /** Start of each token's text, by which a caller recognises its own tokens. */
    readonly x_tag?: string;
    readonly x_prompt_tokens?: number;
    readonly prompt_cache_key?: string;
}

interface Generation {
    readonly id: string;
    readonly tag: string;
    readonly model: string;
    readonly isChat: boolean;
    readonly total: number;
    produced: number;
    response: ServerResponse | undefined;
    attempt: string;
    fault: EngineFault | undefined;
}

const CHARS_PER_TOKEN = 4;
const MAX_BODY_BYTES = 64_000_000;
const HUGE_CHUNK_BYTES = 8_000_000;
const MAX_GENERATIONS = 5_000;

/** A stand-in engine that listens on a local port. */
export class EngineServer {
    readonly model: EngineModel;
    /** Faults for the next requests; each request takes the first one. */
    readonly faults: EngineFault[] = [];
    /** Number of runs started by request id; tests check from it that a request ran at most once. */
    readonly runsByRequest = new Map<string, number>();
    readonly cancelledGenerations: string[] = [];
    leaving = false;
    /** Number of tokens generated, including those that no connection took. */
    tokensGenerated = 0;
    private readonly generations = new Map<string, Generation>();
    private readonly generationsByAttempt = new Map<string, string>();
    private readonly samples: { at: number; load: EngineLoad }[] = [];
    /** The engine crashes and restarts when it receives a prompt that contains one of these texts. */
    readonly fatalPrompts: string[] = [];
    crashCount = 0;
    /** Time between a crash and the moment at which the engine listens again. */
    restartDelayMs = 100;
    private app: FastifyInstance;
    private timer: NodeJS.Timeout | undefined;
    private generationCount = 0;
    url = "";

    private constructor(private readonly cfg: EngineServerCfg) {
        this.model = new EngineModel(cfg.engine ?? ENGINE);
        this.app = this.createApp();
    }

    private createApp(): FastifyInstance {
        const app = Fastify({ bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true });
        this.addRoutes(app);
        return app;
    }

    /** Starts an engine on the configured port, or on a free one. */
    static async start(cfg: EngineServerCfg): Promise<EngineServer> {
        const server = new EngineServer(cfg);
        await server.app.listen({ host: "127.0.0.1", port: cfg.port ?? 0 });
        server.url = `http://127.0.0.1:${(server.app.server.address() as AddressInfo).port}`;
        return server;
    }

    /** Stops the engine at once and breaks all its connections, as the end of its process would. */
    async stop(): Promise<void> {
        clearTimeout(this.timer);
        for (const generation of this.generations.values()) generation.response?.destroy();
        await this.app.close();
    }

    /**
     * Drops all generations and connections, as a crashed process does, and listens on the same port again after a
     * delay.
     */
    private async crashAndRestart(): Promise<void> {
        this.crashCount += 1;
        const { port } = this.app.server.address() as AddressInfo;
        this.generations.clear();
        // Stops listening first, so that a client cannot reconnect when its connection breaks.
        this.app.server.close();
        await this.app.close();
        await new Promise(resolve => setTimeout(resolve, this.restartDelayMs));
        this.app = this.createApp();
        await this.app.listen({ host: "127.0.0.1", port });
    }

    private addRoutes(app: FastifyInstance): void {
        app.post(
            "/v1/chat/completions",
            (req, reply) => this.generate(req.body as RequestBody, req.headers, reply, true),
        );
        app.post("/v1/completions", (req, reply) => this.generate(req.body as RequestBody, req.headers, reply, false));
        app.get("/v1/load", () => this.load());
        app.get<{ Params: { id: string }; Querystring: { from: string } }>("/v1/generations/:id", (req, reply) => {
            this.resume(req.params.id, Number(req.query.from), String(req.headers["x-attempt-id"] ?? ""), reply);
        });
        app.delete<{ Params: { id: string } }>("/v1/generations/:id", req => this.cancel(req.params.id));
        app.delete<{ Params: { id: string } }>(
            "/v1/attempts/:id",
            req => this.cancel(this.generationsByAttempt.get(req.params.id) ?? ""),
        );
    }

    private generate(
        body: RequestBody,
        headers: NodeJS.Dict<string | string[]>,
        reply: FastifyReply,
        isChat: boolean,
    ): void {
        const fault = this.faults.shift();
        reply.hijack();
        const response = reply.raw;
        const prompt = JSON.stringify(body.messages ?? body.prompt ?? "");
        if (this.fatalPrompts.some(text => prompt.includes(text))) return void this.crashAndRestart();
        if (fault && replaceAnswer(fault, response)) return;
        if (this.leaving || !this.cfg.models.includes(body.model ?? "")) {
            sendRefusal(response, this.leaving ? "leaving" : "no such model", undefined);
            return;
        }
        const requestId = String(headers["x-request-id"] ?? "");
        const generation = this.createGeneration(body, isChat, String(headers["x-attempt-id"] ?? ""), fault, response);
        this.runsByRequest.set(requestId, (this.runsByRequest.get(requestId) ?? 0) + 1);
        this.attach(generation, response);
    }

    private createGeneration(
        body: RequestBody,
        isChat: boolean,
        attempt: string,
        fault: EngineFault | undefined,
        response: ServerResponse,
    ): Generation {
        const text = JSON.stringify(body.messages ?? body.prompt ?? "");
        const promptTokens = body.x_prompt_tokens ?? Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN));
        const output = Math.max(
            1,
            Math.min(body.max_tokens ?? Number.MAX_SAFE_INTEGER, body.x_output ?? outputLengthOf(text)),
        );
        const id = `${this.cfg.name}-g${++this.generationCount}`;
        const tag = body.x_tag ?? "tok";
        const generation = {
            id,
            tag,
            model: body.model!,
            isChat,
            total: output,
            produced: 0,
            response,
            attempt,
            fault,
        };
        this.generations.set(id, generation);
        if (attempt !== "") this.generationsByAttempt.set(attempt, id);
        this.dropOldGenerations();
        const prefix = body.prompt_cache_key ?? "";
        const prefixTokens = prefix === "" ? 0 : Math.floor(promptTokens / 2);
        this.model.submit({ id, promptTokens, prefix, prefixTokens, output, priority: body.priority ?? 0 });
        this.scheduleIteration();
        return generation;
    }

    private dropOldGenerations(): void {
        for (const [id, generation] of this.generations) {
            if (this.generations.size <= MAX_GENERATIONS) return;
            if (generation.produced >= generation.total) this.generations.delete(id);
        }
    }

    private attach(generation: Generation, response: ServerResponse): void {
        generation.response = response;
        response.writeHead(200, { "content-type": "text/event-stream", "x-generation-id": generation.id });
        response.flushHeaders();
        response.on("close", () => {
            if (generation.response === response) generation.response = undefined;
        });
    }

    private resume(id: string, from: number, attempt: string, reply: FastifyReply): void {
        reply.hijack();
        const generation = this.generations.get(id);
        if (!generation || !(from >= 0) || from > generation.produced) {
            sendRefusal(reply.raw, "no such generation", undefined, 404);
            return;
        }
        generation.response?.destroy();
        generation.attempt = attempt;
        generation.fault = undefined;
        this.attach(generation, reply.raw);
        for (let index = from; index < generation.produced; index++) this.writeToken(generation, index);
        if (generation.produced >= generation.total) this.finish(generation);
    }

    private cancel(id: string): { cancelled: boolean } {
        const done = this.model.cancel(id);
        this.generations.get(id)?.response?.destroy();
        this.generations.delete(id);
        if (done) this.cancelledGenerations.push(id);
        return { cancelled: done };
    }

    private load(): EngineLoad & { state: string; age_ms: number; models: readonly string[] } {
        const now = performance.now();
        const lag = this.cfg.loadLagMs ?? 0;
        while (this.samples.length > 1 && this.samples[1]!.at <= now - lag) this.samples.shift();
        const sample = lag === 0 || this.samples.length === 0
            ? { at: now, load: this.model.load() }
            : this.samples[0]!;
        const state = this.leaving ? "leaving" : "live";
        return { ...sample.load, state, age_ms: now - sample.at, models: this.cfg.models };
    }

    private scheduleIteration(): void {
        if (this.timer !== undefined || !this.model.hasWork) return;
        const { durationMs, emitted } = this.model.step();
        this.timer = setTimeout(() => {
            this.timer = undefined;
            if ((this.cfg.loadLagMs ?? 0) > 0) this.samples.push({ at: performance.now(), load: this.model.load() });
            for (const token of emitted) {
                const generation = this.generations.get(token.id);
                if (generation) this.emitToken(generation, token.index);
            }
            this.scheduleIteration();
        }, durationMs / (this.cfg.speed ?? 1));
    }

    private emitToken(generation: Generation, index: number): void {
        generation.produced = index + 1;
        this.tokensGenerated += 1;
        if (!applyFault(generation, index, at => this.writeToken(generation, at), () => this.cancel(generation.id))) {
            this.writeToken(generation, index);
        }
        if (generation.produced >= generation.total) this.finish(generation);
    }

    private writeToken(generation: Generation, index: number): void {
        generation.response?.write(tokenEvent(generation, index));
    }

    private finish(generation: Generation): void {
        const total = generation.fault?.kind === "shortTotal" ? generation.total - 1 : generation.total;
        const head = { id: generation.id, object: objectType(generation), created: 0, model: generation.model };
        const last = generation.isChat
            ? { index: 0, delta: {}, finish_reason: "stop" }
            : { index: 0, text: "", finish_reason: "stop" };
        const data = { ...head, choices: [last], generation: generation.id, total, attempt: generation.attempt };
        generation.response?.end(`data: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`);
    }
}

function objectType(generation: Generation): string {
    return generation.isChat ? "chat.completion.chunk" : "text_completion";
}

function tokenEvent(generation: Generation, index: number, id = generation.id): string {
    const text = `${generation.tag}.${generation.id}.${index} `;
    const content = generation.isChat ? `"delta":{"content":"${text}"}` : `"text":"${text}"`;
    return `data: {"id":"${generation.id}","object":"${
        objectType(generation)
    }","created":0,"model":"${generation.model}",`
        + `"choices":[{"index":0,${content},"finish_reason":null}],"generation":"${id}","token":${index},`
        + `"attempt":"${generation.attempt}"}\n\n`;
}

function sendRefusal(response: ServerResponse, message: string, retryAfterS: number | undefined, status = 503): void {
    const retry = retryAfterS === undefined ? {} : { "retry-after": String(retryAfterS) };
    response.writeHead(status, { "content-type": "application/json", "x-ran": "no", ...retry });
    response.end(JSON.stringify({ error: { message, type: "unavailable", code: "refused" } }));
}

/**
 * Injects a fault that replaces the answer; false if the fault is of another kind and the request is to be answered.
 */
function replaceAnswer(fault: EngineFault, response: ServerResponse): boolean {
    const handlers: Partial<Record<EngineFault["kind"], () => void>> = {
        refuse: () => sendRefusal(response, "no room", fault.kind === "refuse" ? fault.retryAfterS : undefined),
        serverError: () => response.writeHead(500).end("{}"),
        html: () => response.writeHead(200, { "content-type": "text/html" }).end("<html>not an engine</html>"),
        noAnswer: () => undefined,
        closeBeforeHead: () => response.destroy(),
    };
    const handler = handlers[fault.kind];
    handler?.();
    return handler !== undefined;
}

/** Injects the fault of a generation when its token is due; true if the token itself is not to be written. */
function applyFault(
    generation: Generation,
    index: number,
    write: (index: number) => void,
    loseGeneration: () => void,
): boolean {
    const fault = generation.fault;
    if (!fault || !("at" in fault)) return false;
    const response = generation.response;
    if (fault.kind === "stallAt") return index >= fault.at;
    if (fault.kind === "swapAt" && index === fault.at + 1) {
        write(index);
        write(fault.at);
        return true;
    }
    if (index !== fault.at) return false;
    const handlers: Partial<Record<EngineFault["kind"], () => boolean>> = {
        resetAt: () => (response?.destroy(), true),
        loseGenerationAt: () => (loseGeneration(), true),
        repeatAt: () => (write(index), false),
        skipAt: () => true,
        swapAt: () => true,
        foreignTokenAt:
            () => (response?.write(tokenEvent({ ...generation, attempt: "other.1", tag: "crossed" }, index)), false),
        otherGenerationAt:
            () => (response?.write(tokenEvent({ ...generation, tag: "other" }, index, "other-generation")), false),
        halfChunkAt: () => (response?.write(tokenEvent(generation, index).slice(0, 40)), response?.destroy(), true),
        hugeChunkAt: () => (response?.write(`data: ${"x".repeat(HUGE_CHUNK_BYTES)}\n\n`), false),
    };
    return handlers[fault.kind]?.() ?? false;
}

/** Output length for a request that states none: 5 to 64 tokens, derived from a hash of the prompt. */
function outputLengthOf(text: string): number {
    return 5 + createHash("sha256").update(text).digest().readUInt16BE(0) % 60;
}
