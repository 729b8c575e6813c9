/**
 * The platform's host list as a stand-in: live and leaving machines, told with a lag.
 *
 * @module
 */
import Fastify, { type FastifyInstance } from "fastify";
import type { AddressInfo } from "node:net";

/** A machine as the platform lists it. `peer` is set for entry hosts, `endpoint` for machines of endpoints. */
export interface ListedHost {
    readonly name: string;
    readonly hall: string;
    readonly state: "live" | "leaving";
    readonly peer?: string;
    readonly endpoint?: string;
}

/** A running stand-in host list. */
export class HostListServer {
    private readonly changes: { readonly at: number; readonly hosts: readonly ListedHost[] }[] = [];
    private readonly app: FastifyInstance = Fastify({ forceCloseConnections: true });
    url = "";

    private constructor(private readonly lagMs: number) {
        this.app.get<{ Querystring: { hall?: string } }>("/hosts", ({ query: { hall } }) => ({
            hosts: this.visible().filter(host => hall === undefined || host.hall === hall),
        }));
    }

    /** Starts the list; changes show after `lagMs`. */
    static async start(lagMs: number): Promise<HostListServer> {
        const server = new HostListServer(lagMs);
        await server.app.listen({ host: "127.0.0.1", port: 0 });
        server.url = `http://127.0.0.1:${(server.app.server.address() as AddressInfo).port}`;
        return server;
    }

    /** Sets the true list. The first one shows at once. */
    set(hosts: readonly ListedHost[]): void {
        this.changes.push({ at: this.changes.length === 0 ? -Infinity : performance.now(), hosts });
    }

    /** Ends the list's service. */
    async stop(): Promise<void> {
        await this.app.close();
    }

    private visible(): readonly ListedHost[] {
        const now = performance.now();
        return this.changes.findLast(change => change.at <= now - this.lagMs)?.hosts ?? [];
    }
}
