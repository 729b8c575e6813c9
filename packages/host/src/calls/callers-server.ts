/**
 * The HTTP server for callers: completions, models, and plain services.
 *
 * @module
 */
import { FailCode } from "@drumpaddle/request";
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import { randomUUID } from "node:crypto";
import { type IncomingMessage, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { CallMemory } from "../runtime/call-memory.js";
import { LingeringClose } from "../runtime/lingering-close.js";
import type { Directory } from "../store/directory.js";
import { type ApiError, errorBody, errorHeaders, writeError } from "./caller-answer.js";
import { CallerConnection } from "./caller-connection.js";
import { generate } from "./generate.js";
import { MEMORY_RETRY_MS } from "./given-up.js";
import type { Host } from "./host.js";
import { servePlain } from "./plain-service.js";
import { declaredLength } from "./request-body.js";

/** Upper bound on bodies, whatever a workspace's settings allow. */
const MAX_BODY_BYTES = 100_000_000;
/** How often Node checks for requests that exceed their timeout; its default is 30 s. */
const LATE_REQUEST_CHECK_MS = 1_000;
/** Callers of a stopping host may retry at once, as the load balancer sends them to another host. */
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

/** Callers whose connection is full may open another one at once. */
const OTHER_CONNECTION_RETRY_MS = 0;
const CONNECTION_FULL: ApiError = {
    status: 503,
    code: "connection_full",
    message: "too many requests of this connection wait for their answers",
    ran: "no",
    retryAfterMs: OTHER_CONNECTION_RETRY_MS,
};

/** Answers to requests that the HTTP parser refuses, by the code of its error. */
const UNREADABLE: ApiError = { status: 400, code: "bad_request", message: "this is no HTTP request", ran: "no" };
const UNREADABLE_BY_CODE: Readonly<Record<string, ApiError>> = {
    ERR_HTTP_REQUEST_TIMEOUT: {
        status: 408,
        code: "request_timeout",
        message: "the request did not come in time",
        ran: "no",
    },
    HPE_HEADER_OVERFLOW: { status: 431, code: "head_too_large", message: "the head is too large", ran: "no" },
};

/** Thrown while a body is read for which the host has no memory left. Fastify reads `statusCode`. */
class BodyMemoryError extends Error {
    readonly statusCode = MEMORY_FULL.status;
}

/** The memory account of each request. */
const memories = new WeakMap<IncomingMessage, CallMemory>();

/**
 * Accounts for the memory of requests. Refuses bodies that do not fit: before reading them if their length is declared.
 */
function accountMemory(app: FastifyInstance, host: Host): void {
    app.addHook("onRequest", (req, reply, done) => {
        const connection = CallerConnection.of(reply.raw);
        connection.add(reply.raw);
        if (connection.size > host.cfg["callers.pipelined-requests"]) {
            host.metrics.countOutcome("refused", "no");
            reply.hijack();
            return writeError(reply.raw, CONNECTION_FULL, { "x-request-id": req.id });
        }
        const memory = host.memory.open(req.id);
        memories.set(req.raw, memory);
        memory.onGiveUp = () => reply.raw.destroy();
        reply.raw.on("close", () => memory.close());
        const bytes = Math.min(declaredLength(req.raw) ?? 0, MAX_BODY_BYTES);
        if (bytes === 0 || memory.reserveBody(bytes)) return done();
        host.metrics.countOutcome(FailCode.MemoryFull, "no");
        reply.hijack();
        writeError(reply.raw, MEMORY_FULL, { "x-request-id": req.id });
    });
    app.addHook("preParsing", (req, _reply, payload, done) => {
        const onData = (chunk: Buffer): void => {
            if (memories.get(req.raw)!.reserveBody(chunk.length)) return;
            payload.off("data", onData);
            payload.emit("error", new BodyMemoryError());
        };
        if (declaredLength(req.raw) === undefined) payload.on("data", onData);
        done(null, payload);
    });
}

/** The server for callers, and how it closes their connections. */
export interface CallersServer {
    readonly app: FastifyInstance;
    readonly closing: LingeringClose;
}

/** Creates the server for callers; it does not listen yet. */
export function createCallersServer(host: Host, tls: { cert: string; key: string } | undefined): CallersServer {
    const app = Fastify({
        bodyLimit: MAX_BODY_BYTES,
        requestTimeout: host.cfg["callers.body-timeout"],
        genReqId: () => randomUUID(),
        // Typed for plain HTTP; the HTTPS server has the same interface here.
        ...(tls ? { https: tls } as object : {}),
        http: {
            maxHeaderSize: host.cfg["callers.header-bytes"],
            requestTimeout: host.cfg["callers.body-timeout"],
            headersTimeout: host.cfg["callers.body-timeout"],
            connectionsCheckingInterval: Math.min(LATE_REQUEST_CHECK_MS, host.cfg["callers.body-timeout"]),
        },
        forceCloseConnections: "idle",
        clientErrorHandler: (err, socket) => {
            if (err.code !== "ECONNRESET") refuseUnreadable(closing, err.code, socket);
        },
    });
    const closing = LingeringClose.of(app.server, host.cfg["callers.linger"]);
    accountMemory(app, host);
    app.removeAllContentTypeParsers();
    app.addContentTypeParser("*", { parseAs: "buffer" }, (_req, body, done) => done(null, body));
    app.setErrorHandler((err: Error & { statusCode?: number; code?: string }, req, reply) => {
        if (err instanceof BodyMemoryError) {
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
        const caller = authenticateCaller(host, req, reply);
        if (caller) servePlain(host, { ...caller, id: req.id, service: req.params.service, req, out: reply.raw });
    });
    return { app, closing };
}

/** Answers bytes that are no request, unless they came behind a request that is being answered, and ends their connection. */
function refuseUnreadable(closing: LingeringClose, code: string, socket: Socket): void {
    if (CallerConnection.hasBegunAnswer(socket)) return void socket.destroy();
    const err = UNREADABLE_BY_CODE[code] ?? UNREADABLE;
    const body = JSON.stringify(errorBody(err));
    const headers = { ...errorHeaders(err), "content-type": "application/json", "connection": "close" };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const length = `content-length: ${Buffer.byteLength(body)}\r\n`;
    closing.close(socket, `HTTP/1.1 ${err.status} ${STATUS_CODES[err.status]}\r\n${lines}${length}\r\n${body}`);
}

/** Checks the host's state and the caller's key; answers with an error if either does not pass. */
function authenticateCaller(
    host: Host,
    req: FastifyRequest,
    reply: FastifyReply,
): { directory: Directory; workspace: string; memory: CallMemory } | undefined {
    reply.hijack();
    const refuse = (err: ApiError): undefined => {
        host.metrics.countOutcome(err === UNAUTHORIZED ? "unauthorized" : "host_stopping", "no");
        // Otherwise the caller might reuse its connection just as the host closes it.
        const close = err === STOPPING && CallerConnection.of(reply.raw).endAfter(reply.raw)
            ? { connection: "close" }
            : {};
        writeError(reply.raw, err, { "x-request-id": req.id, ...close });
        return undefined;
    };
    if (host.openRequests.stopping) return refuse(STOPPING);
    const directory = host.feed.directory;
    if (!directory) return refuse(NOT_READY);
    const secret = /^Bearer (\S+)$/.exec(req.headers.authorization ?? "")?.[1];
    const workspace = secret === undefined ? undefined : directory.workspaceOf(secret, Date.now());
    return workspace === undefined ? refuse(UNAUTHORIZED) : { directory, workspace, memory: memories.get(req.raw)! };
}

function completion(host: Host, req: FastifyRequest, reply: FastifyReply, chat: boolean): void {
    const caller = authenticateCaller(host, req, reply);
    if (!caller) return;
    const bodyBytes = Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0);
    const headers = { "x-request-id": req.id };
    const maxBytes = caller.directory.settingsFor(caller.workspace, undefined)["max-body"];
    if (bodyBytes.length > maxBytes) {
        writeError(reply.raw, {
            status: 413,
            code: "body_too_large",
            message: `at most ${maxBytes} bytes are allowed`,
            ran: "no",
        }, headers);
        return;
    }
    const body = parseJson(bodyBytes);
    if (body === undefined) {
        writeError(
            reply.raw,
            { status: 400, code: "bad_request", message: "the body is not JSON", ran: "no" },
            headers,
        );
        return;
    }
    generate(host, {
        ...caller,
        id: req.id,
        body,
        bytes: bodyBytes.length,
        headers: req.headers,
        out: reply.raw,
        chat,
    });
}

function parseJson(bytes: Buffer): unknown {
    try {
        return JSON.parse(bytes.toString("utf8"));
    }
    catch {
        return undefined;
    }
}

function listModels(host: Host, req: FastifyRequest, reply: FastifyReply): void {
    const caller = authenticateCaller(host, req, reply);
    if (!caller) return;
    const data = [...caller.directory.models].map(([id, service]) => ({
        id,
        object: "model",
        created: 0,
        owned_by: service,
    }));
    reply.raw.writeHead(200, { "content-type": "application/json", "x-request-id": req.id });
    reply.raw.end(JSON.stringify({ object: "list", data }));
}
