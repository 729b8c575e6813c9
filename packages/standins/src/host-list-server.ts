/**
 * A stand-in for the platform's host list: lists live and leaving machines, and shows changes with a lag.
 *
 * @module
 */
import Fastify, { type FastifyInstance } from "fastify";
import type { AddressInfo } from "node:net";

/** A listed machine. `peer` is set for hosts, `endpoint` for machines that run an endpoint. */
export interface ListedHost {
    readonly name: string;
    readonly hall: string;
    readonly state: "live" | "leaving";
    readonly peer?: string;
    readonly endpoint?: string;
}

/** A stand-in host list that listens on a local port. */
export class HostListServer {
    private readonly changes: { readonly at: number; readonly hosts: readonly ListedHost[] }[] = [];
    private readonly app: FastifyInstance = Fastify({ forceCloseConnections: true });
    url = "";

    private constructor(private readonly lagMs: number) {
        this.app.get<{ Querystring: { hall?: string } }>("/hosts", ({ query: { hall } }) => ({
            hosts: this.visible().filter(host => hall === undefined || host.hall === hall),
        }));
    }

    /** Starts the service on a free port. Changes become visible after `lagMs`. */
    static async start(lagMs: number): Promise<HostListServer> {
        const server = new HostListServer(lagMs);
        await server.app.listen({ host: "127.0.0.1", port: 0 });
        server.url = `http://127.0.0.1:${(server.app.server.address() as AddressInfo).port}`;
        return server;
    }

    /** Replaces the list. The first list is visible at once, later ones after the lag. */
    set(hosts: readonly ListedHost[]): void {
        this.changes.push({ at: this.changes.length === 0 ? -Infinity : performance.now(), hosts });
    }

    async stop(): Promise<void> {
        await this.app.close();
    }

    private visible(): readonly ListedHost[] {
        const now = performance.now();
        return this.changes.findLast(change => change.at <= now - this.lagMs)?.hosts ?? [];
    }
}
