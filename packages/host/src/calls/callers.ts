/**
 * The callers' port: completions, models, and plain services.
 *
 * @module
 */
import { FailCode } from "@drumpaddle/request";
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { CallMemory } from "../runtime/call-memory.js";
import type { Directory } from "../store/directory.js";
import { type ApiError, errorBody, errorHeaders, writeError } from "./answer.js";
import { generate } from "./generate.js";
import { MEMORY_RETRY_MS } from "./given-up.js";
import type { Host } from "./host.js";
import { servePlain } from "./plain.js";
import { lengthTold } from "./request-body.js";

/** Bodies above this are never read, whatever a workspace is allowed. */
const LARGEST_BODY = 100_000_000;
const LOOK_FOR_LATE_MS = 1_000;
/** A stopping host asks callers to come back at once: the balancer sends them elsewhere. */
const STOPPING_RETRY_MS = 0;

const UNAUTHORIZED: ApiError = { status: 401, code: "invalid_api_key", message: "no valid key was given", ran: "no" };
const STOPPING: ApiError = {
    status: 503,
    code: "host_stopping",
    message: "this host is stopping",
    ran: "no",
    retryAfterMs: STOPPING_RETRY_MS,
};
const NOT_READY: ApiError = {
    ...STOPPING,
    code: "host_not_ready",
    message: "this host has no settings yet",
    retryAfterMs: 1_000,
};

const MEMORY_FULL: ApiError = {
    status: 503,
    code: FailCode.MemoryFull,
    message: "this host has no memory left for the body",
    ran: "no",
    retryAfterMs: MEMORY_RETRY_MS,
};

/** A body that outgrew the room for it as it came, in the shape in which Fastify passes errors on. */
class NoRoomError extends Error {
    readonly statusCode = MEMORY_FULL.status;
}

/** What each request holds, from its head on. */
const memories = new WeakMap<IncomingMessage, CallMemory>();

/** Counts what requests hold, and refuses bodies for which there is no room: before they are read where their length is told. */
function countMemory(app: FastifyInstance, host: Host): void {
    app.addHook("onRequest", (req, reply, done) => {
        const memory = host.memory.open(req.id);
        memories.set(req.raw, memory);
        memory.onGiveUp = () => reply.raw.destroy();
        reply.raw.on("close", () => memory.close());
        const bytes = Math.min(lengthTold(req.raw) ?? 0, LARGEST_BODY);
        if (bytes === 0 || memory.takeIn(bytes)) return done();
        host.metrics.countOutcome(FailCode.MemoryFull, "no");
        reply.hijack();
        writeError(reply.raw, MEMORY_FULL, { "x-request-id": req.id });
    });
    app.addHook("preParsing", (req, _reply, payload, done) => {
        const onData = (chunk: Buffer): void => {
            if (memories.get(req.raw)!.takeIn(chunk.length)) return;
            payload.off("data", onData);
            payload.emit("error", new NoRoomError());
        };
        if (lengthTold(req.raw) === undefined) payload.on("data", onData);
        done(null, payload);
    });
}

/** Builds the callers' server; it does not listen yet. */
export function createCallers(host: Host, tls: { cert: string; key: string } | undefined): FastifyInstance {
    const app = Fastify({
        bodyLimit: LARGEST_BODY,
        requestTimeout: host.cfg["callers.body-timeout"],
        genReqId: () => randomUUID(),
        // Typed for plain HTTP: the two kinds of server have the same interface here.
        ...(tls ? { https: tls } as object : {}),
        http: {
            maxHeaderSize: host.cfg["callers.header-bytes"],
            requestTimeout: host.cfg["callers.body-timeout"],
            headersTimeout: host.cfg["callers.body-timeout"],
            // Node looks for late requests only each 30 s unless told otherwise.
            connectionsCheckingInterval: Math.min(LOOK_FOR_LATE_MS, host.cfg["callers.body-timeout"]),
        },
        forceCloseConnections: "idle",
    });
    countMemory(app, host);
    app.removeAllContentTypeParsers();
    app.addContentTypeParser("*", { parseAs: "buffer" }, (_req, body, done) => done(null, body));
    app.setErrorHandler((err: Error & { statusCode?: number; code?: string }, req, reply) => {
        if (err instanceof NoRoomError) {
            host.metrics.countOutcome(FailCode.MemoryFull, "no");
            return reply.code(err.statusCode).headers(errorHeaders(MEMORY_FULL)).send(errorBody(MEMORY_FULL));
        }
        const status = err.statusCode ?? 500;
        const code = status === 413 ? "body_too_large" : status < 500 ? "bad_request" : "internal";
        if (status >= 500) {
            host.log.error({ req: req.id, err: err.code ?? err.name, detail: err.message }, "request_error");
        }
        const api: ApiError = {
            status,
            code,
            message: status < 500 ? err.message : "an error of this host",
            ran: status < 500 ? "no" : "unknown",
        };
        return reply.code(status).headers(errorHeaders(api)).send(errorBody(api));
    });
    app.setNotFoundHandler((req, reply) => {
        const api: ApiError = { status: 404, code: "not_found", message: "no such path", ran: "no" };
        return reply.code(404).headers({ "x-request-id": req.id, ...errorHeaders(api) }).send(errorBody(api));
    });
    app.post("/v1/chat/completions", (req, reply) => completion(host, req, reply, true));
    app.post("/v1/completions", (req, reply) => completion(host, req, reply, false));
    app.get("/v1/models", (req, reply) => listModels(host, req, reply));
    app.all<{ Params: { service: string } }>("/services/:service/*", (req, reply) => {
        const admitted = admitCaller(host, req, reply);
        if (admitted) servePlain(host, { ...admitted, id: req.id, service: req.params.service, req, out: reply.raw });
    });
    return app;
}

/** Checks the host's state and the caller's key; answers by itself where either is not good. */
function admitCaller(
    host: Host,
    req: FastifyRequest,
    reply: FastifyReply,
): { directory: Directory; workspace: string; memory: CallMemory } | undefined {
    reply.hijack();
    const refuse = (err: ApiError): undefined => {
        host.metrics.countOutcome(err === UNAUTHORIZED ? "unauthorized" : "host_stopping", "no");
        // A caller that keeps its connection would meet its end, were it not told.
        const close = err === STOPPING ? { connection: "close" } : {};
        writeError(reply.raw, err, { "x-request-id": req.id, ...close });
        return undefined;
    };
    if (host.runs.stopping) return refuse(STOPPING);
    const directory = host.feed.directory;
    if (!directory) return refuse(NOT_READY);
    const secret = /^Bearer (\S+)$/.exec(req.headers.authorization ?? "")?.[1];
    const workspace = secret === undefined ? undefined : directory.workspaceOf(secret, Date.now());
    return workspace === undefined ? refuse(UNAUTHORIZED) : { directory, workspace, memory: memories.get(req.raw)! };
}

function completion(host: Host, req: FastifyRequest, reply: FastifyReply, chat: boolean): void {
    const admitted = admitCaller(host, req, reply);
    if (!admitted) return;
    const raw = Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0);
    const headers = { "x-request-id": req.id };
    const most = admitted.directory.settingsFor(admitted.workspace, undefined)["max-body"];
    if (raw.length > most) {
        writeError(reply.raw, {
            status: 413,
            code: "body_too_large",
            message: `at most ${most} bytes are allowed`,
            ran: "no",
        }, headers);
        return;
    }
    const body = parseJson(raw);
    if (body === undefined) {
        writeError(
            reply.raw,
            { status: 400, code: "bad_request", message: "the body is not JSON", ran: "no" },
            headers,
        );
        return;
    }
    generate(host, { ...admitted, id: req.id, body, bytes: raw.length, headers: req.headers, out: reply.raw, chat });
}

function parseJson(raw: Buffer): unknown {
    try {
        return JSON.parse(raw.toString("utf8"));
    }
    catch {
        return undefined;
    }
}

function listModels(host: Host, req: FastifyRequest, reply: FastifyReply): void {
    const admitted = admitCaller(host, req, reply);
    if (!admitted) return;
    const data = [...admitted.directory.models].map(([id, service]) => ({
        id,
        object: "model",
        created: 0,
        owned_by: service,
    }));
    reply.raw.writeHead(200, { "content-type": "application/json", "x-request-id": req.id });
    reply.raw.end(JSON.stringify({ object: "list", data }));
}
