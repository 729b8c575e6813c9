/**
 * A plain HTTP service as a stand-in: it counts what it ran, and can refuse, stall or break off.
 *
 * @module
 */
import Fastify, { type FastifyInstance } from "fastify";
import type { AddressInfo } from "node:net";

/** A fault for one coming call. */
export type PlainFault = "refuse" | "breakBefore" | "runThenBreak" | "never" | "error";

/** A running stand-in service. */
export class PlainServer {
    readonly faults: PlainFault[] = [];
    /** How often each call ran, by `METHOD /path#body`. */
    readonly ran = new Map<string, number>();
    private readonly app: FastifyInstance = Fastify({ forceCloseConnections: true });
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
            return reply.header("content-type", "application/json").send({
                service: this.name,
                method: req.method,
                url: req.url,
                body,
            });
        });
    }

    /** Starts the service on a port of the system's choice. */
    static async start(name: string): Promise<PlainServer> {
        const server = new PlainServer(name);
        await server.app.listen({ host: "127.0.0.1", port: 0 });
        server.url = `http://127.0.0.1:${(server.app.server.address() as AddressInfo).port}`;
        return server;
    }

    /** Ends the service. */
    async stop(): Promise<void> {
        await this.app.close();
    }
}
