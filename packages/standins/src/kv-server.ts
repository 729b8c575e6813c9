/**
 * A stand-in for the platform's key-value service. It serves those parts of etcd's v3 JSON API that the adapter uses
 * (range, txn, leases, watch), counts the calls, and injects outages, delays, lost replies and stale reads on demand.
 *
 * @module
 */
import Fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

interface Entry {
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
    readonly lease: string;
}

interface Watcher {
    readonly key: string;
    readonly rangeEnd: string;
    readonly response: ServerResponse;
}

interface Compare {
    readonly key: string;
    readonly target: "MOD" | "CREATE" | "VALUE";
    readonly mod_revision?: string;
    readonly create_revision?: string;
    readonly value?: string;
}

interface Op {
    readonly request_put?: { readonly key: string; readonly value: string; readonly lease?: string };
    readonly request_delete_range?: { readonly key: string; readonly range_end?: string };
}

/** Faults that the service injects while they are set. */
export interface KvFaults {
    /** Each request's connection is closed without a reply. */
    down: boolean;
    /** Delay before each request is handled. */
    slowMs: number;
    /** Number of transactions that will take effect without a reply. */
    loseReplies: number;
    /** Revision at which reads are answered; undefined for the newest. */
    readAtRevision: number | undefined;
    /** Watches stay open but send no changes. */
    muteWatches: boolean;
}

const MAX_VALUE_BYTES = 1_048_576;

const decodeBase64 = (encoded: string | undefined): string => Buffer.from(encoded ?? "", "base64").toString("utf8");
const encodeBase64 = (value: string): string => Buffer.from(value, "utf8").toString("base64");

/** A stand-in key-value service that listens on a local port. */
export class KvServer {
    readonly faults: KvFaults = {
        down: false,
        slowMs: 0,
        loseReplies: 0,
        readAtRevision: undefined,
        muteWatches: false,
    };
    readonly calls = { reads: 0, writes: 0, watches: 0 };
    private readonly entries = new Map<string, Entry>();
    private readonly history: { readonly revision: number; readonly key: string; readonly entry: Entry | undefined }[] =
        [];
    private readonly leases = new Map<string, { ttlMs: number; timer: NodeJS.Timeout }>();
    private readonly watchers = new Set<Watcher>();
    private readonly app: FastifyInstance;
    private revision = 1;
    private nextLease = 1;
    url = "";

    private constructor() {
        this.app = Fastify({ forceCloseConnections: true, bodyLimit: 16_000_000 });
        this.app.addHook("onRequest", async (_req, reply) => {
            if (this.faults.slowMs > 0) await new Promise(resolve => setTimeout(resolve, this.faults.slowMs));
            if (this.faults.down) {
                reply.hijack();
                reply.raw.destroy();
            }
        });
        this.addRoutes();
    }

    /** Starts the service on a free port. */
    static async start(): Promise<KvServer> {
        const server = new KvServer();
        await server.app.listen({ host: "127.0.0.1", port: 0 });
        server.url = `http://127.0.0.1:${(server.app.server.address() as AddressInfo).port}`;
        return server;
    }

    async stop(): Promise<void> {
        for (const watcher of this.watchers) watcher.response.destroy();
        for (const lease of this.leases.values()) clearTimeout(lease.timer);
        await this.app.close();
    }

    /** Starts or ends an outage. An outage also closes the open watches. */
    setDown(down: boolean): void {
        this.faults.down = down;
        if (!down) return;
        for (const watcher of this.watchers) watcher.response.destroy();
        this.watchers.clear();
    }

    private addRoutes(): void {
        this.app.post("/v3/kv/range", req => this.range(req.body as { key: string; range_end?: string }));
        this.app.post(
            "/v3/kv/txn",
            (req, reply) => this.txn(req.body as { compare?: Compare[]; success?: Op[]; failure?: Op[] }, reply),
        );
        this.app.post("/v3/lease/grant", req => this.grantLease(Number((req.body as { TTL: string }).TTL)));
        this.app.post("/v3/lease/keepalive", req => this.keepAlive(String((req.body as { ID: string }).ID)));
        this.app.post("/v3/lease/revoke", req => this.revokeLease(String((req.body as { ID: string }).ID)));
        this.app.post("/v3/watch", (req, reply) => this.watch(req.body as never, reply));
    }

    private header(): { revision: string } {
        return { revision: String(this.revision) };
    }

    private range(body: { key: string; range_end?: string }): object {
        this.calls.reads += 1;
        const key = decodeBase64(body.key);
        const end = decodeBase64(body.range_end);
        const revision = this.faults.readAtRevision;
        const entries = revision === undefined ? this.entries : this.entriesAt(revision);
        const kvs = [...entries].filter(([name]) =>
            end === "" ? name === key : name >= key && (end === "\0" || name < end)
        )
            .sort(([a], [b]) => a < b ? -1 : 1).map(([name, entry]) => encodeEntry(name, entry));
        return {
            header: revision === undefined ? this.header() : { revision: String(revision) },
            kvs,
            count: String(kvs.length),
        };
    }

    private entriesAt(revision: number): Map<string, Entry> {
        const data = new Map<string, Entry>();
        for (const change of this.history) {
            if (change.revision > revision) break;
            if (change.entry) data.set(change.key, change.entry);
            else data.delete(change.key);
        }
        return data;
    }

    private txn(
        body: { compare?: Compare[]; success?: Op[]; failure?: Op[] },
        reply: FastifyReply,
    ): object | undefined {
        this.calls.writes += 1;
        const succeeded = (body.compare ?? []).every(compare => this.conditionHolds(compare));
        const ops = (succeeded ? body.success : body.failure) ?? [];
        if (ops.some(op => decodeBase64(op.request_put?.value).length > MAX_VALUE_BYTES)) {
            reply.code(400);
            return { code: 3, message: "etcdserver: request is too large" };
        }
        if (ops.length > 0) this.revision += 1;
        for (const op of ops) this.applyOp(op);
        if (this.faults.loseReplies > 0) {
            this.faults.loseReplies -= 1;
            reply.hijack();
            reply.raw.destroy();
            return undefined;
        }
        return { header: this.header(), succeeded };
    }

    private conditionHolds(compare: Compare): boolean {
        const entry = this.entries.get(decodeBase64(compare.key));
        if (compare.target === "VALUE") return entry !== undefined && entry.value === decodeBase64(compare.value);
        if (compare.target === "CREATE") return (entry?.createRevision ?? 0) === Number(compare.create_revision ?? 0);
        return (entry?.modRevision ?? 0) === Number(compare.mod_revision ?? 0);
    }

    private applyOp(op: Op): void {
        if (op.request_put) {
            const key = decodeBase64(op.request_put.key);
            const old = this.entries.get(key);
            this.setEntry(key, {
                value: decodeBase64(op.request_put.value),
                createRevision: old?.createRevision ?? this.revision,
                modRevision: this.revision,
                version: (old?.version ?? 0) + 1,
                lease: op.request_put.lease ?? "0",
            });
        }
        if (op.request_delete_range) {
            const key = decodeBase64(op.request_delete_range.key);
            const end = decodeBase64(op.request_delete_range.range_end);
            const names = [...this.entries.keys()].filter(name =>
                end === "" ? name === key : name >= key && name < end
            );
            for (const name of names) this.setEntry(name, undefined);
        }
    }

    private setEntry(key: string, entry: Entry | undefined): void {
        if (entry) this.entries.set(key, entry);
        else this.entries.delete(key);
        this.history.push({ revision: this.revision, key, entry });
        if (this.faults.muteWatches) return;
        for (const watcher of this.watchers) {
            if (watcher.rangeEnd === "" ? key === watcher.key : key >= watcher.key && key < watcher.rangeEnd) {
                this.sendChange(watcher, key, entry, this.revision);
            }
        }
    }

    private sendChange(watcher: Watcher, key: string, entry: Entry | undefined, revision: number): void {
        const event = entry
            ? { type: "PUT", kv: encodeEntry(key, entry) }
            : { type: "DELETE", kv: { key: encodeBase64(key), mod_revision: String(revision) } };
        watcher.response.write(
            `${JSON.stringify({ result: { header: { revision: String(revision) }, events: [event] } })}\n`,
        );
    }

    private grantLease(ttlS: number): object {
        this.calls.writes += 1;
        const id = String(this.nextLease++);
        this.leases.set(id, { ttlMs: ttlS * 1000, timer: setTimeout(() => this.endLease(id), ttlS * 1000) });
        return { header: this.header(), ID: id, TTL: String(ttlS) };
    }

    private keepAlive(id: string): object {
        this.calls.writes += 1;
        const lease = this.leases.get(id);
        lease?.timer.refresh();
        return { result: { header: this.header(), ID: id, TTL: String((lease?.ttlMs ?? 0) / 1000) } };
    }

    private revokeLease(id: string): object {
        this.calls.writes += 1;
        this.endLease(id);
        return { header: this.header() };
    }

    private endLease(id: string): void {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.delete(id);
        const held = [...this.entries].filter(([, entry]) => entry.lease === id).map(([key]) => key);
        if (held.length > 0) this.revision += 1;
        for (const key of held) this.setEntry(key, undefined);
    }

    private watch(
        body: { create_request: { key: string; range_end?: string; start_revision?: string } },
        reply: FastifyReply,
    ): void {
        this.calls.watches += 1;
        reply.hijack();
        const response = reply.raw;
        response.writeHead(200, { "content-type": "application/json" });
        response.write(`${JSON.stringify({ result: { header: this.header(), created: true } })}\n`);
        const watcher = {
            key: decodeBase64(body.create_request.key),
            rangeEnd: decodeBase64(body.create_request.range_end),
            response,
        };
        const from = Number(body.create_request.start_revision ?? this.revision + 1);
        for (const change of this.history) {
            const matches = watcher.rangeEnd === ""
                ? change.key === watcher.key
                : change.key >= watcher.key && change.key < watcher.rangeEnd;
            if (change.revision >= from && matches) this.sendChange(watcher, change.key, change.entry, change.revision);
        }
        this.watchers.add(watcher);
        response.on("close", () => this.watchers.delete(watcher));
    }
}

function encodeEntry(key: string, entry: Entry): object {
    return {
        key: encodeBase64(key),
        value: encodeBase64(entry.value),
        create_revision: String(entry.createRevision),
        mod_revision: String(entry.modRevision),
        version: String(entry.version),
        lease: entry.lease,
    };
}
