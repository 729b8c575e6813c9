/**
 * Serves one call of a plain service: any method, the answer passed through as it comes.
 *
 * A call of a method that changes things runs at most once, unless the caller or the settings say that it may be
 * repeated.
 *
 * @module
 */
import { HeldKind, type Job, reserve, settle } from "@drumpaddle/policy";
import { errText, neverSent } from "@drumpaddle/protocol";
import { FailCode, type Ran } from "@drumpaddle/request";
import type { Settings } from "@drumpaddle/settings";
import type { FastifyRequest } from "fastify";
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { TLSSocket } from "node:tls";
import { type Dispatcher, request } from "undici";
import { plainModel } from "../endpoints/plain-model.js";
import type { CallMemory } from "../runtime/call-memory.js";
import type { Directory } from "../store/directory.js";
import { type ApiError, toApiError, writeError } from "./answer.js";
import { CallerQueue } from "./caller-queue.js";
import { callHash, MAX_RECORDED_BYTES, type Recorded } from "./claims.js";
import { fingerprintOf } from "./fingerprint.js";
import { NO_BODY_STATUSES } from "./forward-attempt.js";
import { breakAnswer } from "./forward-reply.js";
import { limitError, limitsOf, policyOf } from "./generate.js";
import { deliver, errorOf } from "./given-up.js";
import { guardRunner } from "./guard-attempt.js";
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
    /** What it holds. */
    readonly memory: CallMemory;
}

/** A piece of a plain answer: its head with its body, which is then passed through. */
interface PlainPiece {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    /** False where only the end of its connection ends the answer: the caller must see it end likewise. */
    readonly framed: boolean;
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
    const taken = reserve(host.limits.state, id, workspace, limitsOf(host, directory, settings), 0, host.clock.now());
    if (!taken.ok) return refuse(limitError(taken.refusal));
    host.limits.state = taken.state;
    const path = pathOf(call);
    const once = isOnce(call.req.method, path.split("?")[0]!, settings, call.req.headers["x-not-repeatable"]);
    const key = call.req.headers["idempotency-key"];
    const plan: PlainPlan = {
        call,
        job,
        settings,
        body,
        path,
        once,
        key: once && typeof key === "string" ? key : undefined,
    };
    if (plan.key === undefined) start(host, plan);
    else void claimAndStart(host, plan, plan.key);
}

/** A call with all that was decided about it. */
interface PlainPlan {
    readonly call: PlainCall;
    readonly job: Job;
    readonly settings: Settings;
    readonly body: Buffer | undefined;
    readonly path: string;
    readonly once: boolean;
    /** The caller's key, where the call is to run at most once. */
    readonly key: string | undefined;
}

const CLAIM_RETRY_MS = 1_000;
const MAX_KEY_LENGTH = 255;

/** Errors for claims that are not this request's. None of these requests was dispatched. */
const CLAIM_ERROR = {
    taken: {
        status: 409,
        code: FailCode.AlreadyClaimed,
        message: "a call with this key was begun; it is not known whether it ran",
        ran: "unknown",
    },
    otherCall: { status: 422, code: "key_reused", message: "this key was used for another call", ran: "no" },
    away: {
        status: 503,
        code: FailCode.PlatformAway,
        message: "the key cannot be claimed now",
        ran: "no",
        retryAfterMs: CLAIM_RETRY_MS,
    },
} as const satisfies Record<string, ApiError>;

async function claimAndStart(host: Host, plan: PlainPlan, key: string): Promise<void> {
    const { id, workspace, req, out } = plan.call;
    const hash = callHash(req.method, `${plan.call.service}${plan.path}`, plan.body);
    const claimed = key.length > MAX_KEY_LENGTH
        ? { kind: "otherCall" as const }
        : await host.claims.claim(workspace, key, id, hash);
    if (claimed.kind === "mine") {
        // A caller that left, or a host told to stop, while the key was claimed: nothing is sent, so the key is free again.
        if (!out.destroyed && !host.runs.stopping) return start(host, plan);
        await host.claims.release(workspace, key, id);
    }
    host.limits.state = settle(host.limits.state, id, { kind: "notRun" });
    if (claimed.kind === "mine") return writeError(out, STOPPED, { "x-request-id": id });
    if (claimed.kind === "recorded") {
        host.metrics.countOutcome("whole", "yes");
        return writeRecorded(out, claimed.answer, id);
    }
    const err = CLAIM_ERROR[claimed.kind];
    host.metrics.countOutcome(claimed.kind === "otherCall" ? "bad_request" : err.code as FailCode, err.ran);
    writeError(out, err, { "x-request-id": id });
}

function writeRecorded(out: ServerResponse, recorded: Recorded, id: string): void {
    const { status, contentType, contentEncoding, framed, body } = recorded;
    writeHead(out, status, framed, {
        "x-request-id": id,
        "x-recorded": "true",
        ...(contentType ? { "content-type": contentType } : {}),
        ...(contentEncoding ? { "content-encoding": contentEncoding } : {}),
    });
    out.end(Buffer.from(body, "base64"));
}

const STOPPED: ApiError = {
    status: 503,
    code: FailCode.Stopping,
    message: "this host is stopping",
    ran: "no",
    retryAfterMs: 0,
};

/** Records what became of a claimed call. */
async function settleClaim(
    host: Host,
    { call, key }: PlainPlan,
    ran: Ran,
    answer: Recorded | undefined,
): Promise<void> {
    if (key === undefined) return;
    const { workspace, id } = call;
    if (ran === "no") await host.claims.release(workspace, key, id);
    else if (answer) await host.claims.record(workspace, key, id, answer);
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

function start(host: Host, plan: PlainPlan): void {
    const { call, job, settings, body, path, once } = plan;
    const { out, id } = call;
    const queue = new CallerQueue(out, call.memory);
    const reply = passThrough(call, queue);
    const fingerprint = fingerprintOf({
        method: call.req.method,
        host: "",
        target: call.req.url,
        workspace: call.workspace,
        body,
    });
    host.metrics.open.inc();
    const run: Run<PlainPiece> = new Run<PlainPiece>({
        cfg: {
            id,
            repeatable: !once,
            streamed: true,
            maxAttempts: settings.attempts,
            maxResumes: 0,
            deadline: host.clock.now() + settings["request-deadline"],
        },
        clock: host.clock,
        job,
        placement: host.plain,
        runner: guardRunner(plainRunner(host, call, path, settings, body), host.guard, {
            req: id,
            route: call.service,
            workspace: call.workspace,
            fingerprint,
        }, endpoint => urlOf(host, call.directory, endpoint)),
        withhold: attempt => host.guard.withhold(fingerprint, { attempt }),
        reply,
        onGap: () => undefined,
        onDispatch: kind => host.metrics.countDispatch(kind),
        onEnd: end => {
            const ran = end.err?.ran ?? "yes";
            call.memory.hold(HeldKind.Body, 0);
            queueMicrotask(() => {
                host.runs.delete(run);
                deliver(host.runs, out, call.memory, queue);
            });
            void settleClaim(host, plan, ran, end.err ? undefined : reply.recorded());
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
    call.memory.onGiveUp = givenUp => run.event({ kind: "givenUp", ...errorOf(givenUp) });
    out.on("close", () => run.event({ kind: "callerGone" }));
}

function isEncrypted({ socket }: ServerResponse): boolean {
    return socket instanceof TLSSocket;
}

/**
 * Begins an answer. One whose end was never told may be cut, and chunks of ours would vouch for it: its connection ends
 * with it. An encrypted connection cannot be reset, so there chunks remain, whose missing end shows a break.
 */
function writeHead(out: ServerResponse, status: number, framed: boolean, headers: OutgoingHttpHeaders): void {
    out.useChunkedEncodingByDefault &&= framed || isEncrypted(out);
    out.writeHead(status, headers);
}

function breakOff(out: ServerResponse): void {
    if (isEncrypted(out)) out.destroy();
    else breakAnswer(out);
}

/** Passes an answer on as it comes, and keeps a small one for the record. */
function passThrough(
    { out, id, memory }: PlainCall,
    queue: CallerQueue,
): Reply<PlainPiece> & { recorded(): Recorded | undefined } {
    let head: Omit<Recorded, "body"> | undefined;
    const chunks: Buffer[] = [];
    let bytes = 0;
    return {
        forward: ({ status, headers, framed, body }) => {
            const passed = Object.entries(headers).filter(([name]) =>
                !OWN_HEADERS.has(name) || name === "content-length"
            );
            writeHead(out, status, framed, { ...Object.fromEntries(passed), "x-request-id": id });
            head = {
                status,
                contentType: headers["content-type"],
                contentEncoding: headers["content-encoding"],
                framed,
            };
            body.on("data", (chunk: Buffer) => {
                bytes += chunk.length;
                if (bytes <= MAX_RECORDED_BYTES) chunks.push(chunk);
                queue.write(chunk);
                if (!memory.whenRoom(() => body.resume())) body.pause();
            });
        },
        drop: () => undefined,
        finish: () => queue.end(),
        // Once the head has gone out, breaking the connection is the only honest sign that the body is not whole.
        fail: err => {
            if (!out.headersSent) return writeError(out, toApiError(err), { "x-request-id": id });
            queue.drop();
            breakOff(out);
        },
        recorded: () =>
            head && bytes <= MAX_RECORDED_BYTES
                ? { ...head, body: Buffer.concat(chunks).toString("base64") }
                : undefined,
    };
}

function urlOf(host: Host, directory: Directory, endpoint: string): string | undefined {
    return directory.endpoints.get(endpoint)?.url ?? host.feed.directory?.endpoints.get(endpoint)?.url;
}

function plainRunner(
    host: Host,
    call: PlainCall,
    path: string,
    settings: Settings,
    body: Buffer | undefined,
): AttemptRunner<PlainPiece> {
    return {
        start: ({ attempt, endpoint }, sink, signal) => {
            const url = urlOf(host, call.directory, endpoint);
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
        pass(res, call.req.method, attempt, sink);
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
function pass(
    res: Dispatcher.ResponseData,
    method: string,
    attempt: string,
    sink: AttemptSink<PlainPiece>,
): void {
    res.body.on("end", () => sink.event({ kind: "finished", attempt, generation: attempt, total: 1 }));
    res.body.on("error", (err: Error) => sink.event({ kind: "lost", attempt, cause: "reset", detail: errText(err) }));
    sink.event({ kind: "opened", attempt, generation: attempt });
    const piece = {
        status: res.statusCode,
        headers: res.headers as IncomingHttpHeaders,
        framed: isFramed(method, res),
        body: res.body,
    };
    sink.event({ kind: "token", attempt, generation: attempt, index: 0 }, piece);
}

/** Whether an answer's end can be seen in its bytes. */
function isFramed(method: string, { statusCode, headers }: Dispatcher.ResponseData): boolean {
    if (method === "HEAD" || NO_BODY_STATUSES.has(statusCode)) return true;
    const encoding = headers["transfer-encoding"];
    const chunked = typeof encoding === "string" && encoding.toLowerCase().trimEnd().endsWith("chunked");
    return chunked || headers["content-length"] !== undefined;
}

function passedHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const kept = Object.entries(headers).filter(([name, value]) => !OWN_HEADERS.has(name) && value !== undefined);
    return Object.fromEntries(kept) as Record<string, string | string[]>;
}
