/**
 * A stand-in for a plain HTTP service: counts the calls that ran, and can refuse calls, leave them unanswered or break
 * off answers.
 *
 * @module
 */
import Fastify, { type FastifyInstance } from "fastify";
import type { AddressInfo, Socket } from "node:net";
import { gzipSync } from "node:zlib";

/** A fault injected into one call. */
export type PlainFault =
    | "refuse"
    | "closeBeforeRun"
    | "closeAfterRun"
    | "noAnswer"
    | "error"
    /** A whole answer without a length: the end of the connection ends it. */
    | "unframed"
    /** The first half of such an answer, until {@link PlainServer.resetHalfSent} resets the connection. */
    | "unframedHalf"
    /** An answer encoded with gzip. */
    | "encoded"
    /** An answer with status 204 and no body. */
    | "noBody"
    /** An answer with a status that HTTP does not have. */
    | "oddStatus"
    /** An answer longer than the buffers of connections. */
    | "long";

/** Length of the `long` answer's body. */
export const LONG_ANSWER_BYTES = 12_000_000;

const UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n";

/** A stand-in service that listens on a local port. */
export class PlainServer {
    readonly faults: PlainFault[] = [];
    /** Number of runs of each call, by `METHOD /path#body`. */
    readonly runsByCall = new Map<string, number>();
    private readonly app: FastifyInstance = Fastify({ forceCloseConnections: true });
    /** Number of answers that were sent whole. */
    sentAnswers = 0;
    private readonly halfSentSockets: Socket[] = [];
    url = "";

    private constructor(private readonly name: string) {
        this.app.removeAllContentTypeParsers();
        this.app.addContentTypeParser("*", { parseAs: "string" }, (_req, body, done) => done(null, body));
        this.app.all("/*", (req, reply) => {
            const fault = this.faults.shift();
            if (fault === "refuse") return reply.code(503).header("x-ran", "no").send("refused");
            if (fault === "error") return reply.code(500).send("failed");
            if (fault === "noAnswer") return reply.hijack();
            if (fault === "closeBeforeRun") {
                reply.hijack();
                reply.raw.destroy();
                return reply;
            }
            const body = typeof req.body === "string" ? req.body : "";
            const call = `${req.method} ${req.url}#${body}`;
            this.runsByCall.set(call, (this.runsByCall.get(call) ?? 0) + 1);
            if (fault === "closeAfterRun") {
                reply.hijack();
                reply.raw.destroy();
                return reply;
            }
            const answer = JSON.stringify({ service: this.name, method: req.method, url: req.url, body });
            if (fault === "unframed") {
                reply.hijack();
                req.socket.end(UNFRAMED_HEAD + answer);
                return reply;
            }
            if (fault === "oddStatus") {
                reply.hijack();
                req.socket.write("HTTP/1.1 999 Odd\r\ncontent-length: 3\r\n\r\nodd");
                return reply;
            }
            if (fault === "unframedHalf") {
                reply.hijack();
                req.socket.write(UNFRAMED_HEAD + answer.slice(0, answer.length / 2));
                this.halfSentSockets.push(req.socket);
                return reply;
            }
            reply.header("content-type", "application/json");
            reply.raw.on("finish", () => this.sentAnswers += 1);
            if (fault === "long") return reply.send("x".repeat(LONG_ANSWER_BYTES));
            if (fault === "noBody") return reply.code(204).send();
            if (fault === "encoded") return reply.header("content-encoding", "gzip").send(gzipSync(answer));
            return reply.send(answer);
        });
    }

    /** Starts the service on a free port. */
    static async start(name: string): Promise<PlainServer> {
        const server = new PlainServer(name);
        await server.app.listen({ host: "127.0.0.1", port: 0 });
        server.url = `http://127.0.0.1:${(server.app.server.address() as AddressInfo).port}`;
        return server;
    }

    /** Resets the connections of all half-sent answers. */
    resetHalfSent(): void {
        for (const socket of this.halfSentSockets.splice(0)) socket.resetAndDestroy();
    }

    async stop(): Promise<void> {
        await this.app.close();
    }
}
