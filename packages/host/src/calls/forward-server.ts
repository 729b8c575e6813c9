/**
 * The callers' port of a gateway. Every request is taken as it is: no method, path or body is interpreted here.
 *
 * @module
 */
import type { CallerLimits } from "@drumpaddle/routes";
import Fastify, { type FastifyInstance } from "fastify";
import type { IncomingMessage, ServerResponse } from "node:http";
import { breakAnswer } from "./forward-reply.js";

/** What the server is made of. */
export interface ForwardServerDeps {
    /** Time to send a request whole, in milliseconds. */
    readonly requestMs: number;
    /** Ends the answers that still run when the host ends. */
    readonly signal: AbortSignal;
    onCall(req: IncomingMessage, target: string, out: ServerResponse): void;
}

/** Heads above this are refused by the parser, before any deployment's own bound is looked at. */
const LARGEST_HEAD = 65_536;
/** Late requests are looked for this often. */
const LOOK_FOR_LATE_MS = 1_000;
/** A connection is kept a little longer than callers are told, so that none is closed as a request arrives. */
const IDLE_MARGIN_MS = 1_000;

const BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** Builds the server; it does not listen yet. */
export function createForwardServer(deps: ForwardServerDeps): FastifyInstance {
    const answering = new Set<ServerResponse>();
    deps.signal.addEventListener("abort", () => answering.forEach(breakAnswer), { once: true });
    const app = Fastify({
        // Everything goes to one handler; the target as sent is kept aside.
        rewriteUrl: () => "/",
        requestTimeout: deps.requestMs,
        http: {
            maxHeaderSize: LARGEST_HEAD,
            requestTimeout: deps.requestMs,
            headersTimeout: deps.requestMs,
            connectionsCheckingInterval: LOOK_FOR_LATE_MS,
        },
        forceCloseConnections: "idle",
        clientErrorHandler: (err, socket) => {
            if (err.code === "ECONNRESET" || socket.destroyed) return;
            // Bytes that are no request, behind one that is being answered, must not end up within its answer.
            const answers = [...answering].filter(({ req }) => req.socket === socket);
            if (answers.length > 0) return answers.forEach(breakAnswer);
            if (!socket.writable) return void socket.destroy();
            socket.end(BAD_REQUEST);
        },
    });
    app.addHook("onRequest", (req, reply, done) => {
        reply.hijack();
        answering.add(reply.raw);
        reply.raw.once("close", () => answering.delete(reply.raw));
        deps.onCall(req.raw, req.originalUrl, reply.raw);
        done();
    });
    app.all("/", () => undefined);
    return app;
}

/** Puts a deployment's bounds on callers in force. */
export function applyLimits(app: FastifyInstance, limits: CallerLimits): void {
    app.server.headersTimeout = limits.headerMs + IDLE_MARGIN_MS;
    app.server.keepAliveTimeout = limits.idleMs + IDLE_MARGIN_MS;
}
