/**
 * The engine stand-in over HTTP, around {@link EngineModel}: completions shape, generation ids and token indices, resume,
 * cancel, load with a lag, and faults on demand.
 *
 * @module
 */
import Fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { ENGINE, type EngineCfg, type EngineLoad, EngineModel } from "./engine-model.js";

/** A fault for one coming request; `at` is a token index. */
export type EngineFault =
    | { readonly kind: "refuse"; readonly retryAfterS?: number }
    | { readonly kind: "failUnproven" }
    | { readonly kind: "html" }
    | { readonly kind: "never" }
    | { readonly kind: "dieBeforeHead" }
    /** The connection breaks; the generation runs on and can be resumed. */
    | { readonly kind: "resetAt"; readonly at: number }
    /** The generation is gone as well. */
    | { readonly kind: "reclaimedAt"; readonly at: number }
    | { readonly kind: "stallAt"; readonly at: number }
    | { readonly kind: "repeatAt"; readonly at: number }
    | { readonly kind: "skipAt"; readonly at: number }
    | { readonly kind: "swapAt"; readonly at: number }
    | { readonly kind: "crossAt"; readonly at: number }
    | { readonly kind: "otherGenerationAt"; readonly at: number }
    | { readonly kind: "halfChunkAt"; readonly at: number }
    | { readonly kind: "hugeChunkAt"; readonly at: number }
    | { readonly kind: "shortTotal" };

/** How the stand-in is set up. */
export interface EngineServerCfg {
    readonly name: string;
    readonly models: readonly string[];
    readonly engine?: EngineCfg;
    readonly lagMs?: number;
    /** Time runs this many times faster than the model says. */
    readonly speed?: number;
    readonly port?: number;
}

interface Body {
    readonly model?: string;
    readonly stream?: boolean;
    readonly max_tokens?: number;
    readonly messages?: unknown;
    readonly prompt?: unknown;
    readonly priority?: number;
    /** The true length and a tag for the tokens' text, from the traffic generator. */
    readonly x_output?: number;
    readonly x_tag?: string;
    readonly x_prompt_tokens?: number;
    readonly prompt_cache_key?: string;
}

interface Generation {
    readonly id: string;
    readonly tag: string;
    readonly model: string;
    readonly chat: boolean;
    readonly total: number;
    produced: number;
    out: ServerResponse | undefined;
    attempt: string;
    fault: EngineFault | undefined;
}

const CHARS_PER_TOKEN = 4;
const LARGEST_BODY = 64_000_000;
const HUGE_CHUNK_BYTES = 8_000_000;
const KEEP_GENERATIONS = 5_000;

/** A running stand-in engine. */
export class EngineServer {
    readonly model: EngineModel;
    /** Faults that coming requests meet, in order. */
    readonly faults: EngineFault[] = [];
    /** Runs started, by the request's own id: what "at most once" is judged by. */
    readonly runs = new Map<string, number>();
    readonly cancelled: string[] = [];
    leaving = false;
    /** Tokens made in all, whether or not anyone took them. */
    tokensMade = 0;
    private readonly generations = new Map<string, Generation>();
    private readonly attempts = new Map<string, string>();
    private readonly samples: { at: number; load: EngineLoad }[] = [];
    /** Texts that end the engine's process when it begins a prompt that holds one. */
    readonly fatal: string[] = [];
    /** How often that has ended it, and how long it is away then. */
    endings = 0;
    awayMs = 100;
    private app: FastifyInstance;
    private timer: NodeJS.Timeout | undefined;
    private made = 0;
    url = "";

    private constructor(private readonly cfg: EngineServerCfg) {
        this.model = new EngineModel(cfg.engine ?? ENGINE);
        this.app = this.createApp();
    }

    private createApp(): FastifyInstance {
        const app = Fastify({ bodyLimit: LARGEST_BODY, forceCloseConnections: true });
        this.routes(app);
        return app;
    }

    /** Starts an engine on a port of the system's choice, or the given one. */
    static async start(cfg: EngineServerCfg): Promise<EngineServer> {
        const server = new EngineServer(cfg);
        await server.app.listen({ host: "127.0.0.1", port: cfg.port ?? 0 });
        server.url = `http://127.0.0.1:${(server.app.server.address() as AddressInfo).port}`;
        return server;
    }

    /** Ends it at once, as a process that dies does. */
    async stop(): Promise<void> {
        clearTimeout(this.timer);
        for (const generation of this.generations.values()) generation.out?.destroy();
        await this.app.close();
    }

    /** Ends with all that runs, as a process that dies does, and starts again at its port after a while. */
    private async die(): Promise<void> {
        this.endings += 1;
        const { port } = this.app.server.address() as AddressInfo;
        this.generations.clear();
        // Nobody listens any more when its connections break.
        this.app.server.close();
        await this.app.close();
        await new Promise(resolve => setTimeout(resolve, this.awayMs));
        this.app = this.createApp();
        await this.app.listen({ host: "127.0.0.1", port });
    }

    private routes(app: FastifyInstance): void {
        app.post(
            "/v1/chat/completions",
            (req, reply) => this.generate(req.body as Body, req.headers, reply, true),
        );
        app.post("/v1/completions", (req, reply) => this.generate(req.body as Body, req.headers, reply, false));
        app.get("/v1/load", () => this.load());
        app.get<{ Params: { id: string }; Querystring: { from: string } }>("/v1/generations/:id", (req, reply) => {
            this.resume(req.params.id, Number(req.query.from), String(req.headers["x-attempt-id"] ?? ""), reply);
        });
        app.delete<{ Params: { id: string } }>("/v1/generations/:id", req => this.cancel(req.params.id));
        app.delete<{ Params: { id: string } }>(
            "/v1/attempts/:id",
            req => this.cancel(this.attempts.get(req.params.id) ?? ""),
        );
    }

    private generate(body: Body, headers: NodeJS.Dict<string | string[]>, reply: FastifyReply, chat: boolean): void {
        const fault = this.faults.shift();
        reply.hijack();
        const out = reply.raw;
        const prompt = JSON.stringify(body.messages ?? body.prompt ?? "");
        if (this.fatal.some(text => prompt.includes(text))) return void this.die();
        if (fault && refuseBy(fault, out)) return;
        if (this.leaving || !this.cfg.models.includes(body.model ?? "")) {
            sendRefusal(out, this.leaving ? "leaving" : "no such model", undefined);
            return;
        }
        const request = String(headers["x-request-id"] ?? "");
        const generation = this.create(body, chat, String(headers["x-attempt-id"] ?? ""), fault, out);
        this.runs.set(request, (this.runs.get(request) ?? 0) + 1);
        this.attach(generation, out);
    }

    private create(
        body: Body,
        chat: boolean,
        attempt: string,
        fault: EngineFault | undefined,
        out: ServerResponse,
    ): Generation {
        const text = JSON.stringify(body.messages ?? body.prompt ?? "");
        const promptTokens = body.x_prompt_tokens ?? Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN));
        const output = Math.max(
            1,
            Math.min(body.max_tokens ?? Number.MAX_SAFE_INTEGER, body.x_output ?? lengthFrom(text)),
        );
        const id = `${this.cfg.name}-g${++this.made}`;
        const tag = body.x_tag ?? "tok";
        const generation = { id, tag, model: body.model!, chat, total: output, produced: 0, out, attempt, fault };
        this.generations.set(id, generation);
        if (attempt !== "") this.attempts.set(attempt, id);
        this.forgetOld();
        const prefix = body.prompt_cache_key ?? "";
        const prefixTokens = prefix === "" ? 0 : Math.floor(promptTokens / 2);
        this.model.submit({ id, promptTokens, prefix, prefixTokens, output, priority: body.priority ?? 0 });
        this.run();
        return generation;
    }

    private forgetOld(): void {
        for (const [id, generation] of this.generations) {
            if (this.generations.size <= KEEP_GENERATIONS) return;
            if (generation.produced >= generation.total) this.generations.delete(id);
        }
    }

    private attach(generation: Generation, out: ServerResponse): void {
        generation.out = out;
        out.writeHead(200, { "content-type": "text/event-stream", "x-generation-id": generation.id });
        out.flushHeaders();
        out.on("close", () => {
            if (generation.out === out) generation.out = undefined;
        });
    }

    private resume(id: string, from: number, attempt: string, reply: FastifyReply): void {
        reply.hijack();
        const generation = this.generations.get(id);
        if (!generation || !(from >= 0) || from > generation.produced) {
            sendRefusal(reply.raw, "no such generation", undefined, 404);
            return;
        }
        generation.out?.destroy();
        generation.attempt = attempt;
        generation.fault = undefined;
        this.attach(generation, reply.raw);
        for (let index = from; index < generation.produced; index++) this.write(generation, index);
        if (generation.produced >= generation.total) this.finish(generation);
    }

    private cancel(id: string): { cancelled: boolean } {
        const done = this.model.cancel(id);
        this.generations.get(id)?.out?.destroy();
        this.generations.delete(id);
        if (done) this.cancelled.push(id);
        return { cancelled: done };
    }

    private load(): EngineLoad & { state: string; age_ms: number; models: readonly string[] } {
        const now = performance.now();
        const lag = this.cfg.lagMs ?? 0;
        while (this.samples.length > 1 && this.samples[1]!.at <= now - lag) this.samples.shift();
        const sample = lag === 0 || this.samples.length === 0 ? { at: now, load: this.model.load() } : this.samples[0]!;
        const state = this.leaving ? "leaving" : "live";
        return { ...sample.load, state, age_ms: now - sample.at, models: this.cfg.models };
    }

    private run(): void {
        if (this.timer !== undefined || !this.model.busy) return;
        const { durationMs, emitted } = this.model.step();
        this.timer = setTimeout(() => {
            this.timer = undefined;
            if ((this.cfg.lagMs ?? 0) > 0) this.samples.push({ at: performance.now(), load: this.model.load() });
            for (const token of emitted) {
                const generation = this.generations.get(token.id);
                if (generation) this.emit(generation, token.index);
            }
            this.run();
        }, durationMs / (this.cfg.speed ?? 1));
    }

    private emit(generation: Generation, index: number): void {
        generation.produced = index + 1;
        this.tokensMade += 1;
        if (!applyFault(generation, index, at => this.write(generation, at), () => this.cancel(generation.id))) {
            this.write(generation, index);
        }
        if (generation.produced >= generation.total) this.finish(generation);
    }

    private write(generation: Generation, index: number): void {
        generation.out?.write(chunk(generation, index));
    }

    private finish(generation: Generation): void {
        const total = generation.fault?.kind === "shortTotal" ? generation.total - 1 : generation.total;
        const head = { id: generation.id, object: objectOf(generation), created: 0, model: generation.model };
        const last = generation.chat
            ? { index: 0, delta: {}, finish_reason: "stop" }
            : { index: 0, text: "", finish_reason: "stop" };
        const data = { ...head, choices: [last], generation: generation.id, total, attempt: generation.attempt };
        generation.out?.end(`data: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`);
    }
}

function objectOf(generation: Generation): string {
    return generation.chat ? "chat.completion.chunk" : "text_completion";
}

function chunk(generation: Generation, index: number, id = generation.id): string {
    const text = `${generation.tag}.${generation.id}.${index} `;
    const content = generation.chat ? `"delta":{"content":"${text}"}` : `"text":"${text}"`;
    return `data: {"id":"${generation.id}","object":"${
        objectOf(generation)
    }","created":0,"model":"${generation.model}",`
        + `"choices":[{"index":0,${content},"finish_reason":null}],"generation":"${id}","token":${index},`
        + `"attempt":"${generation.attempt}"}\n\n`;
}

function sendRefusal(out: ServerResponse, why: string, retryAfterS: number | undefined, status = 503): void {
    const retry = retryAfterS === undefined ? {} : { "retry-after": String(retryAfterS) };
    out.writeHead(status, { "content-type": "application/json", "x-ran": "no", ...retry });
    out.end(JSON.stringify({ error: { message: why, type: "unavailable", code: "refused" } }));
}

/** Faults that take the place of an answer; false where the request is to be answered. */
function refuseBy(fault: EngineFault, out: ServerResponse): boolean {
    const handlers: Partial<Record<EngineFault["kind"], () => void>> = {
        refuse: () => sendRefusal(out, "no room", fault.kind === "refuse" ? fault.retryAfterS : undefined),
        failUnproven: () => out.writeHead(500).end("{}"),
        html: () => out.writeHead(200, { "content-type": "text/html" }).end("<html>not an engine</html>"),
        never: () => undefined,
        dieBeforeHead: () => out.destroy(),
    };
    const handler = handlers[fault.kind];
    handler?.();
    return handler !== undefined;
}

/** Applies a fault at its token; true where the token itself is not to be written. */
function applyFault(
    generation: Generation,
    index: number,
    write: (index: number) => void,
    reclaim: () => void,
): boolean {
    const fault = generation.fault;
    if (!fault || !("at" in fault)) return false;
    const out = generation.out;
    if (fault.kind === "stallAt") return index >= fault.at;
    if (fault.kind === "swapAt" && index === fault.at + 1) {
        write(index);
        write(fault.at);
        return true;
    }
    if (index !== fault.at) return false;
    const handlers: Partial<Record<EngineFault["kind"], () => boolean>> = {
        resetAt: () => (out?.destroy(), true),
        reclaimedAt: () => (reclaim(), true),
        repeatAt: () => (write(index), false),
        skipAt: () => true,
        swapAt: () => true,
        crossAt: () => (out?.write(chunk({ ...generation, attempt: "other.1", tag: "crossed" }, index)), false),
        otherGenerationAt: () => (out?.write(chunk({ ...generation, tag: "other" }, index, "other-generation")), false),
        halfChunkAt: () => (out?.write(chunk(generation, index).slice(0, 40)), out?.destroy(), true),
        hugeChunkAt: () => (out?.write(`data: ${"x".repeat(HUGE_CHUNK_BYTES)}\n\n`), false),
    };
    return handlers[fault.kind]?.() ?? false;
}

/** A length that depends on the prompt alone, for requests that say none. */
function lengthFrom(text: string): number {
    return 5 + createHash("sha256").update(text).digest().readUInt16BE(0) % 60;
}
