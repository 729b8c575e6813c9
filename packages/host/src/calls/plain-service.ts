/**
 * Serves one call of a plain service, which is any HTTP service that is not an engine. The answer is passed through as
 * it arrives.
 *
 * A call of a method that is not safe runs at most once, unless the caller allows that it is repeated and the settings
 * do not forbid it.
 *
 * @module
 */
import { HeldKind, type Job, reserve, settle } from "@drumpaddle/policy";
import { errText, reportSending } from "@drumpaddle/protocol";
import { FailCode, type Ran } from "@drumpaddle/request";
import type { Settings } from "@drumpaddle/settings";
import type { FastifyRequest } from "fastify";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { TLSSocket } from "node:tls";
import { type Dispatcher, request } from "undici";
import { plainModel } from "../endpoints/plain-model.js";
import type { CallMemory } from "../runtime/call-memory.js";
import type { Directory } from "../store/directory.js";
import { type ApiError, toApiError, writeError } from "./caller-answer.js";
import { CallerQueue } from "./caller-queue.js";
import { fingerprintOf, sharedBodyOf } from "./fingerprint.js";
import { breakAnswer } from "./forward-reply.js";
import { limitReached, limitsOf, policyOf } from "./generate.js";
import { giveUpError, trackDelivery } from "./given-up.js";
import { guardRunner } from "./guard-attempt.js";
import type { Host } from "./host.js";
import { callHash, MAX_RECORDED_BYTES, type Recorded } from "./idempotency-claims.js";
import { isFinalStatus } from "./judge-answer.js";
import { type AttemptRunner, type AttemptSink, type Reply, RequestDriver } from "./request-driver.js";

/** A call, after its key was checked. */
export interface PlainCall {
    readonly id: string;
    readonly workspace: string;
    readonly directory: Directory;
    readonly service: string;
    readonly req: FastifyRequest;
    readonly out: ServerResponse;
    /** Accounts for the memory that the call holds. */
    readonly memory: CallMemory;
}

/** The single piece of a plain answer: its head, with the body as a stream. */
interface PlainPiece {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Readable;
}

const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
/**
 * Headers that are not forwarded: those of one connection (RFC 9110, section 7.6.1), and those that the host sets or
 * consumes.
 */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
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
 * @param callerHeader The call's `x-not-repeatable` header.
 *
 * @example
 * ```ts
 * isOnce("POST", "/holds/7", { "not-repeatable": ["POST /holds/*"], repeatable: true }, undefined); // true
 * ```
 */
export function runsAtMostOnce(
    method: string,
    path: string,
    settings: Pick<Settings, "not-repeatable" | "repeatable">,
    callerHeader: string | string[] | undefined,
): boolean {
    if (callerHeader === "true" || !settings.repeatable) return true;
    const isListed = settings["not-repeatable"].some(pattern => {
        const [verb, where] = pattern.split(" ") as [string, string];
        const matches = where.endsWith("*") ? path.startsWith(where.slice(0, -1)) : path === where;
        return verb === method && matches;
    });
    if (isListed) return true;
    return callerHeader === "false" ? false : !SAFE_METHODS.has(method);
}

/** Serves a call. Every call gets an answer. */
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
    const reserved = reserve(
        host.limits.state,
        id,
        workspace,
        limitsOf(host, directory, settings),
        0,
        host.clock.now(),
    );
    if (!reserved.ok) return refuse(limitReached(reserved.refusal));
    host.limits.state = reserved.state;
    const path = pathOf(call);
    const runsOnce = runsAtMostOnce(
        call.req.method,
        path.split("?")[0]!,
        settings,
        call.req.headers["x-not-repeatable"],
    );
    const key = call.req.headers["idempotency-key"];
    const plan: PlainPlan = {
        call,
        job,
        settings,
        body,
        path,
        runsOnce,
        key: runsOnce && typeof key === "string" ? key : undefined,
    };
    if (plan.key === undefined) start(host, plan);
    else void claimAndStart(host, plan, plan.key);
}

/** A call, with what was decided about it. */
interface PlainPlan {
    readonly call: PlainCall;
    readonly job: Job;
    readonly settings: Settings;
    readonly body: Buffer | undefined;
    readonly path: string;
    readonly runsOnce: boolean;
    /** The caller's idempotency key, if the call runs at most once. */
    readonly key: string | undefined;
}

const CLAIM_RETRY_MS = 1_000;
const MAX_KEY_LENGTH = 255;

/** Errors for keys that this request could not claim; it was not dispatched. */
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
        // If the caller left or the host began to stop meanwhile, nothing is sent and the key is released.
        if (!out.destroyed && !host.openRequests.stopping) return start(host, plan);
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
    const { status, contentType, contentEncoding, body } = recorded;
    out.writeHead(status, {
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

/** Records the answer of a claimed call, or releases its key if it provably did not run. */
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
    const { call, job, settings, body, path, runsOnce } = plan;
    const { out, id } = call;
    const queue = new CallerQueue(out, call.memory);
    const reply = passThroughReply(call, queue);
    const fingerprint = fingerprintOf({
        method: call.req.method,
        host: "",
        target: call.req.url,
        workspace: call.workspace,
        body,
    });
    const identity = { fingerprint, parts: sharedBodyOf(body) };
    host.metrics.open.inc();
    const driver: RequestDriver<PlainPiece> = new RequestDriver<PlainPiece>({
        cfg: {
            id,
            repeatable: !runsOnce,
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
            ...identity,
        }, endpoint => urlOf(host, call.directory, endpoint)),
        withholdReason: attempt => host.guard.withhold(identity, { attempt }),
        reply,
        onGap: () => undefined,
        onDispatch: kind => host.metrics.countDispatch(kind),
        onEnd: end => {
            const ran = end.err?.ran ?? "yes";
            call.memory.hold(HeldKind.Body, 0);
            queueMicrotask(() => {
                trackDelivery(host.openRequests, out, call.memory, queue);
                host.openRequests.delete(driver);
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
    if (driver.hasEnded) return;
    host.openRequests.add(driver);
    call.memory.onGiveUp = givenUp => driver.handle({ kind: "givenUp", ...giveUpError(givenUp) });
    out.on("close", () => driver.handle({ kind: "callerGone" }));
}

function isEncrypted({ socket }: ServerResponse): boolean {
    return socket instanceof TLSSocket;
}

function abortAnswer(out: ServerResponse): void {
    if (isEncrypted(out)) out.destroy();
    else breakAnswer(out);
}

/** Creates a reply that passes an answer through as it arrives, and keeps a small one to be recorded. */
function passThroughReply(
    { out, id, memory }: PlainCall,
    queue: CallerQueue,
): Reply<PlainPiece> & { recorded(): Recorded | undefined } {
    let head: Omit<Recorded, "body"> | undefined;
    const chunks: Buffer[] = [];
    let bytes = 0;
    return {
        forward: ({ status, headers, body }) => {
            const answerHeaders = Object.entries(headers).filter(([name]) =>
                !UNFORWARDED_HEADERS.has(name) || name === "content-length"
            );
            // Without a length the answer gets chunks, whose last one is written once the service's answer is whole.
            out.writeHead(status, { ...Object.fromEntries(answerHeaders), "x-request-id": id });
            head = {
                status,
                contentType: headers["content-type"],
                contentEncoding: headers["content-encoding"],
            };
            body.on("data", (chunk: Buffer) => {
                bytes += chunk.length;
                if (bytes <= MAX_RECORDED_BYTES) chunks.push(chunk);
                queue.write(chunk);
                if (!memory.whenReadable(() => body.resume())) body.pause();
            });
        },
        discard: () => undefined,
        finish: () => queue.end(),
        // Once the head was sent, only an aborted connection shows that the body is not complete.
        fail: err => {
            if (!out.headersSent) return writeError(out, toApiError(err), { "x-request-id": id });
            queue.discard();
            abortAnswer(out);
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
                sink.report({ kind: "lost", attempt, cause: "connect", detail: "the endpoint is no longer declared" });
                return;
            }
            void sendCall(host.dispatcher, call, url + path, settings, body, attempt, sink, signal);
        },
        resume: (attempt, _endpoint, _generation, _from, sink) =>
            sink.report({ kind: "lost", attempt, cause: "resumeRefused", detail: "plain services do not resume" }),
        cancel: () => undefined,
    };
}

async function sendCall(
    dispatcher: Dispatcher,
    call: PlainCall,
    url: string,
    settings: Settings,
    body: Buffer | undefined,
    attempt: string,
    sink: AttemptSink<PlainPiece>,
    signal: AbortSignal,
): Promise<void> {
    let isSent = false;
    const onSending = (): void => {
        isSent = true;
        sink.report({ kind: "sending", attempt });
    };
    try {
        const res = await request(url, {
            method: call.req.method,
            headers: { ...forwardedHeaders(call.req.headers), "x-request-id": call.id, "x-attempt-id": attempt },
            ...(body === undefined ? {} : { body }),
            dispatcher: reportSending(dispatcher, onSending),
            headersTimeout: settings["first-token-timeout"],
            bodyTimeout: settings["idle-timeout"],
            signal,
        });
        if (!isFinalStatus(res.statusCode)) {
            res.body.on("error", () => undefined).destroy();
            sink.report({ kind: "lost", attempt, cause: "invalid", detail: `the status ${res.statusCode}` });
            return;
        }
        if (res.statusCode >= 500 && res.headers["x-ran"] === "no") {
            await res.body.dump();
            sink.report({ kind: "endpointRefused", attempt, detail: `${res.statusCode}: refused` });
            return;
        }
        reportAnswer(res, attempt, sink);
    }
    catch (err) {
        if (signal.aborted) return;
        const silent = (err as { code?: string }).code === "UND_ERR_HEADERS_TIMEOUT";
        sink.report({
            kind: "lost",
            attempt,
            cause: !isSent ? "connect" : silent ? "firstToken" : "reset",
            detail: errText(err),
        });
    }
}

/** Reports an answer's head as its only token, and its end once the body was passed through. */
function reportAnswer(
    res: Dispatcher.ResponseData,
    attempt: string,
    sink: AttemptSink<PlainPiece>,
): void {
    res.body.on("end", () => sink.report({ kind: "finished", attempt, generation: attempt, total: 1 }));
    res.body.on("error", (err: Error) => sink.report({ kind: "lost", attempt, cause: "reset", detail: errText(err) }));
    sink.report({ kind: "opened", attempt, generation: attempt });
    const piece = {
        status: res.statusCode,
        headers: res.headers as IncomingHttpHeaders,
        body: res.body,
    };
    sink.report({ kind: "token", attempt, generation: attempt, index: 0 }, piece);
}

function forwardedHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const kept = Object.entries(headers).filter(([name, value]) =>
        !UNFORWARDED_HEADERS.has(name) && value !== undefined
    );
    return Object.fromEntries(kept) as Record<string, string | string[]>;
}
