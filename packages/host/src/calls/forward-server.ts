/**
 * The HTTP server for callers of a gateway. It passes every request on without interpreting its method, path or body.
 *
 * @module
 */
import type { CallerLimits } from "@drumpaddle/routes";
import Fastify, { type FastifyInstance } from "fastify";
import type { IncomingMessage, ServerResponse } from "node:http";
import { LingeringClose } from "../runtime/lingering-close.js";
import { CallerConnection } from "./caller-connection.js";
import { breakAnswer } from "./forward-reply.js";

/** Dependencies of the server. */
export interface ForwardServerDeps {
    /** Time limit for a caller to send a complete request, in milliseconds. */
    readonly requestTimeoutMs: number;
    /** How long the server still reads from a connection that it has ended, in milliseconds. */
    readonly lingerMs: number;
    /** Aborts the answers that are still running when the host exits. */
    readonly signal: AbortSignal;
    onCall(req: IncomingMessage, target: string, out: ServerResponse): void;
}

/** The HTTP parser refuses larger heads, before the deployment's own limit is checked. */
const MAX_HEAD_BYTES = 65_536;
/** How often Node checks for requests that exceed their timeout. */
const LATE_REQUEST_CHECK_MS = 1_000;
/** The server keeps idle connections open a little longer than it announces to callers, so that none closes as a request arrives. */
const IDLE_MARGIN_MS = 1_000;

const BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/** Says that the request has not run, so that the caller may send it again. */
const REQUEST_TIMEOUT = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/** The error of a request, or of a connection without any, that takes longer than the server's timeouts. */
const TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** The server, and how it closes the connections of callers. */
export interface ForwardServer {
    readonly app: FastifyInstance;
    readonly closing: LingeringClose;
}

/** Creates the server; it does not listen yet. */
export function createForwardServer(deps: ForwardServerDeps): ForwardServer {
    const answering = new Set<ServerResponse>();
    deps.signal.addEventListener("abort", () => answering.forEach(breakAnswer), { once: true });
    const app = Fastify({
        // Routes every request to one handler; `originalUrl` keeps the target as it was sent.
        rewriteUrl: () => "/",
        requestTimeout: deps.requestTimeoutMs,
        http: {
            maxHeaderSize: MAX_HEAD_BYTES,
            requestTimeout: deps.requestTimeoutMs,
            headersTimeout: deps.requestTimeoutMs,
            connectionsCheckingInterval: LATE_REQUEST_CHECK_MS,
        },
        forceCloseConnections: "idle",
        clientErrorHandler: (err, socket) => {
            if (err.code === "ECONNRESET" || socket.destroyed) return;
            // Node counts the time for a head from when the connection was opened. One that only rests has its idle time, and the time
            // for the head counts anew from its first byte.
            if (err.code === TIMEOUT_CODE && socket.bytesRead === 0) return;
            // A 400 for invalid bytes behind a request that is being answered would end up within that answer.
            const brokenAnswers = [...answering].filter(({ req }) => req.socket === socket);
            if (brokenAnswers.length > 0) return brokenAnswers.forEach(breakAnswer);
            closing.close(socket, err.code === TIMEOUT_CODE ? REQUEST_TIMEOUT : BAD_REQUEST);
        },
    });
    const closing = LingeringClose.of(app.server, deps.lingerMs);
    // Node sets the idle time after each answer only.
    app.server.on("connection", socket => socket.setTimeout(app.server.keepAliveTimeout));
    app.addHook("onRequest", (req, reply, done) => {
        reply.hijack();
        req.raw.socket.setTimeout(0);
        CallerConnection.of(reply.raw).add(reply.raw);
        answering.add(reply.raw);
        reply.raw.once("close", () => answering.delete(reply.raw));
        deps.onCall(req.raw, req.originalUrl, reply.raw);
        done();
    });
    app.all("/", () => undefined);
    return { app, closing };
}

/** Applies a deployment's limits on callers. */
export function applyCallerLimits(app: FastifyInstance, limits: CallerLimits): void {
    app.server.headersTimeout = limits.headerMs + IDLE_MARGIN_MS;
    app.server.keepAliveTimeout = limits.idleMs + IDLE_MARGIN_MS;
}
