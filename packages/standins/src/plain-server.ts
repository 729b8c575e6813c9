/**
 * A plain HTTP service as a stand-in: it counts what it ran, and can refuse, stall or break off.
 *
 * @module
 */
import Fastify, { type FastifyInstance } from "fastify";
import type { AddressInfo, Socket } from "node:net";
import { gzipSync } from "node:zlib";

/** A fault for one coming call. */
export type PlainFault =
    | "refuse"
    | "breakBefore"
    | "runThenBreak"
    | "never"
    | "error"
    /** A whole answer whose end only its connection tells. */
    | "unframed"
    /** The first half of such an answer; {@link PlainServer.resetHalves} cuts it there. */
    | "unframedHalf"
    /** An answer in gzip. */
    | "encoded"
    /** An answer that has no body by its status. */
    | "noBody"
    /** An answer that is longer than what connections buffer. */
    | "long";

/** Length of a long answer. */
export const LONG_BYTES = 12_000_000;

const UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n";

/** A running stand-in service. */
export class PlainServer {
    readonly faults: PlainFault[] = [];
    /** How often each call ran, by `METHOD /path#body`. */
    readonly ran = new Map<string, number>();
    private readonly app: FastifyInstance = Fastify({ forceCloseConnections: true });
    /** Answers that were taken to their end. */
    taken = 0;
    private readonly halfway: Socket[] = [];
    url = "";

    private constructor(private readonly name: string) {
        this.app.removeAllContentTypeParsers();
        this.app.addContentTypeParser("*", { parseAs: "string" }, (_req, body, done) => done(null, body));
        this.app.all("/*", (req, reply) => {
            const fault = this.faults.shift();
            if (fault === "refuse") return reply.code(503).header("x-ran", "no").send("refused");
            if (fault === "error") return reply.code(500).send("failed");
            if (fault === "never") return reply.hijack();
            if (fault === "breakBefore") {
                reply.hijack();
                reply.raw.destroy();
                return reply;
            }
            const body = typeof req.body === "string" ? req.body : "";
            const call = `${req.method} ${req.url}#${body}`;
            this.ran.set(call, (this.ran.get(call) ?? 0) + 1);
            if (fault === "runThenBreak") {
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
            if (fault === "unframedHalf") {
                reply.hijack();
                req.socket.write(UNFRAMED_HEAD + answer.slice(0, answer.length / 2));
                this.halfway.push(req.socket);
                return reply;
            }
            reply.header("content-type", "application/json");
            reply.raw.on("finish", () => this.taken += 1);
            if (fault === "long") return reply.send("x".repeat(LONG_BYTES));
            if (fault === "noBody") return reply.code(204).send();
            if (fault === "encoded") return reply.header("content-encoding", "gzip").send(gzipSync(answer));
            return reply.send(answer);
        });
    }

    /** Starts the service on a port of the system's choice. */
    static async start(name: string): Promise<PlainServer> {
        const server = new PlainServer(name);
        await server.app.listen({ host: "127.0.0.1", port: 0 });
        server.url = `http://127.0.0.1:${(server.app.server.address() as AddressInfo).port}`;
        return server;
    }

    /** Resets the connections of answers that are halfway. */
    resetHalves(): void {
        for (const socket of this.halfway.splice(0)) socket.resetAndDestroy();
    }

    /** Ends the service. */
    async stop(): Promise<void> {
        await this.app.close();
    }
}
