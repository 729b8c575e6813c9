/**
 * Serves one call of a plain service: any method, the answer passed through as it comes.
 *
 * A call of a method that changes things runs at most once, unless the caller or the settings say that it may be
 * repeated.
 *
 * @module
 */
import { type Job, reserve, settle } from "@drumpaddle/policy";
import { errText, neverSent } from "@drumpaddle/protocol";
import type { FailCode } from "@drumpaddle/request";
import type { Settings } from "@drumpaddle/settings";
import type { FastifyRequest } from "fastify";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { type Dispatcher, request } from "undici";
import { type ApiError, toApiError, writeError } from "./answer.js";
import type { Directory } from "./directory.js";
import { limitError, limitsOf, policyOf } from "./generate.js";
import type { Host } from "./host.js";
import { type AttemptRunner, type AttemptSink, type Reply, Run } from "./run.js";

/** A call after its key was checked. */
export interface PlainCall {
    readonly id: string;
    readonly workspace: string;
    readonly directory: Directory;
    readonly service: string;
    readonly req: FastifyRequest;
    readonly out: ServerResponse;
}

/** A piece of a plain answer: its head with its body, which is then passed through. */
interface PlainPiece {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Readable;
}

const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
/** Headers that belong to one connection (RFC 9110, section 7.6.1), and those that this system sets or keeps. */
const OWN_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "authorization",
    "content-length",
    "expect",
    "x-request-id",
    "x-attempt-id",
]);

/** Name under which a plain service's endpoints stand among the models that decisions know. */
export function plainModel(service: string): string {
    return `service:${service}`;
}

/**
 * Whether a call runs at most once.
 *
 * @example
 * ```ts
 * isOnce("POST", "/holds/7", { "not-repeatable": ["POST /holds/*"], repeatable: true }, undefined); // true
 * ```
 */
export function isOnce(
    method: string,
    path: string,
    settings: Pick<Settings, "not-repeatable" | "repeatable">,
    said: string | string[] | undefined,
): boolean {
    if (said === "true" || !settings.repeatable) return true;
    const listed = settings["not-repeatable"].some(pattern => {
        const [verb, where] = pattern.split(" ") as [string, string];
        const fits = where.endsWith("*") ? path.startsWith(where.slice(0, -1)) : path === where;
        return verb === method && fits;
    });
    if (listed) return true;
    return said === "false" ? false : !SAFE_METHODS.has(method);
}

/** Serves a call; every way out writes an answer. */
export function servePlain(host: Host, call: PlainCall): void {
    const { directory, service, workspace, id, out } = call;
    const headers = { "x-request-id": id };
    const refuse = (err: ApiError): void => {
        host.metrics.countOutcome(err.code as FailCode, err.ran);
        writeError(out, err, headers);
    };
    if (directory.services.get(service) !== "plain") {
        return refuse({ status: 404, code: "service_not_found", message: "no such service", ran: "no" });
    }
    const settings = directory.settingsFor(workspace, service);
    const body = Buffer.isBuffer(call.req.body) ? call.req.body : undefined;
    if ((body?.length ?? 0) > settings["max-body"]) {
        return refuse({ status: 413, code: "body_too_large", message: "the body is too large", ran: "no" });
    }
    const job = jobOf(call, settings);
    const taken = reserve(host.limits.state, id, workspace, limitsOf(settings), 0, performance.now());
    if (!taken.ok) return refuse(limitError(taken.refusal));
    host.limits.state = taken.state;
    start(host, call, job, settings, body);
}

function jobOf(call: PlainCall, settings: Settings): Job {
    return {
        id: call.id,
        group: { workspace: call.workspace, service: call.service, model: plainModel(call.service) },
        promptTokens: 0,
        maxTokens: 1,
        prefix: "",
        prefixTokens: 0,
        policy: policyOf(settings),
    };
}

function pathOf(call: PlainCall): string {
    return call.req.url.slice(`/services/${call.service}`.length);
}

function start(host: Host, call: PlainCall, job: Job, settings: Settings, body: Buffer | undefined): void {
    const { out, id } = call;
    const path = pathOf(call);
    const once = isOnce(call.req.method, path.split("?")[0]!, settings, call.req.headers["x-not-repeatable"]);
    host.metrics.open.inc();
    const run: Run<PlainPiece> = new Run<PlainPiece>({
        cfg: {
            id,
            repeatable: !once,
            streamed: true,
            maxAttempts: settings.attempts,
            maxResumes: 0,
            deadline: performance.now() + settings["request-deadline"],
        },
        job,
        placement: host.plain,
        runner: plainRunner(host, call, path, settings, body),
        reply: passThrough(out, id),
        onGap: () => undefined,
        onDispatch: kind => host.metrics.countDispatch(kind),
        onEnd: end => {
            const ran = end.err?.ran ?? "yes";
            queueMicrotask(() => host.runs.delete(run));
            host.limits.state = settle(
                host.limits.state,
                id,
                ran === "no" ? { kind: "notRun" } : { kind: "ran", ranTokens: 0 },
            );
            host.metrics.open.dec();
            host.metrics.countOutcome(end.err?.code ?? "whole", ran);
            if (!host.cfg["log.requests"]) return;
            const { workspace, service } = call;
            const outcome = end.err?.code ?? "whole";
            host.log.info({
                req: id,
                workspace,
                service,
                method: call.req.method,
                endpoint: end.endpoint,
                outcome,
                ran,
                attempts: end.state.attempts,
            }, "call_ended");
        },
    });
    if (run.ended) return;
    host.runs.add(run);
    out.on("close", () => run.event({ kind: "callerGone" }));
}

function passThrough(out: ServerResponse, id: string): Reply<PlainPiece> {
    return {
        forward: ({ status, headers, body }) => {
            const passed = Object.entries(headers).filter(([name]) =>
                !OWN_HEADERS.has(name) || name === "content-length"
            );
            out.writeHead(status, { ...Object.fromEntries(passed), "x-request-id": id });
            body.pipe(out, { end: false });
        },
        drop: () => undefined,
        finish: () => out.end(),
        // Once the head has gone out, breaking the connection is the only honest sign that the body is not whole.
        fail: err => out.headersSent ? out.destroy() : writeError(out, toApiError(err), { "x-request-id": id }),
    };
}

function plainRunner(
    host: Host,
    call: PlainCall,
    path: string,
    settings: Settings,
    body: Buffer | undefined,
): AttemptRunner<PlainPiece> {
    return {
        start: (attempt, endpoint, _priority, sink, signal) => {
            const url = call.directory.endpoints.get(endpoint)?.url
                ?? host.feed.directory?.endpoints.get(endpoint)?.url;
            if (url === undefined) {
                sink.event({ kind: "lost", attempt, cause: "connect", detail: "the endpoint is no longer declared" });
                return;
            }
            sink.event({ kind: "sending", attempt });
            void attemptCall(host.dispatcher, call, url + path, settings, body, attempt, sink, signal);
        },
        resume: (attempt, _endpoint, _generation, _from, sink) =>
            sink.event({ kind: "lost", attempt, cause: "resumeRefused", detail: "plain services do not resume" }),
        cancel: () => undefined,
    };
}

async function attemptCall(
    dispatcher: Dispatcher,
    call: PlainCall,
    url: string,
    settings: Settings,
    body: Buffer | undefined,
    attempt: string,
    sink: AttemptSink<PlainPiece>,
    signal: AbortSignal,
): Promise<void> {
    try {
        const res = await request(url, {
            method: call.req.method,
            headers: { ...passedHeaders(call.req.headers), "x-request-id": call.id, "x-attempt-id": attempt },
            ...(body === undefined ? {} : { body }),
            dispatcher,
            headersTimeout: settings["first-token-timeout"],
            bodyTimeout: settings["idle-timeout"],
            signal,
        });
        if (res.statusCode >= 500 && res.headers["x-ran"] === "no") {
            await res.body.dump();
            sink.event({ kind: "endpointRefused", attempt, detail: `${res.statusCode}: refused` });
            return;
        }
        pass(res, attempt, sink);
    }
    catch (err) {
        if (signal.aborted) return;
        const silent = (err as { code?: string }).code === "UND_ERR_HEADERS_TIMEOUT";
        sink.event({
            kind: "lost",
            attempt,
            cause: neverSent(err) ? "connect" : silent ? "firstToken" : "reset",
            detail: errText(err),
        });
    }
}

/** Reports an answer's head as its one token, and its end when the body has gone through. */
function pass(res: Dispatcher.ResponseData, attempt: string, sink: AttemptSink<PlainPiece>): void {
    res.body.on("end", () => sink.event({ kind: "finished", attempt, generation: attempt, total: 1 }));
    res.body.on("error", (err: Error) => sink.event({ kind: "lost", attempt, cause: "reset", detail: errText(err) }));
    sink.event({ kind: "opened", attempt, generation: attempt });
    const piece = { status: res.statusCode, headers: res.headers as IncomingHttpHeaders, body: res.body };
    sink.event({ kind: "token", attempt, generation: attempt, index: 0 }, piece);
}

function passedHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const kept = Object.entries(headers).filter(([name, value]) => !OWN_HEADERS.has(name) && value !== undefined);
    return Object.fromEntries(kept) as Record<string, string | string[]>;
}
