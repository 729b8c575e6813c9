/**
 * The key-value stand-in: the JSON form of the etcd v3 API, as far as the adapter uses it (range, txn, leases, watch),
 * with outages, slowness, lost replies and old reads on demand. It counts its calls.
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
    readonly end: string;
    readonly out: ServerResponse;
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

/** Faults of the platform's service. */
export interface KvFaults {
    down: boolean;
    slowMs: number;
    /** So many coming writes take effect without a reply. */
    loseReplies: number;
    /** Reads answer as of this revision. */
    readAtRevision: number | undefined;
    /** Watches stay open but say nothing. */
    muteWatches: boolean;
}

const MAX_VALUE_BYTES = 1_048_576;

const text = (encoded: string | undefined): string => Buffer.from(encoded ?? "", "base64").toString("utf8");
const base64 = (value: string): string => Buffer.from(value, "utf8").toString("base64");

/** A running stand-in key-value service. */
export class KvServer {
    readonly faults: KvFaults = {
        down: false,
        slowMs: 0,
        loseReplies: 0,
        readAtRevision: undefined,
        muteWatches: false,
    };
    readonly calls = { reads: 0, writes: 0, watches: 0 };
    private readonly data = new Map<string, Entry>();
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
        this.routes();
    }

    /** Starts the service on a port of the system's choice. */
    static async start(): Promise<KvServer> {
        const server = new KvServer();
        await server.app.listen({ host: "127.0.0.1", port: 0 });
        server.url = `http://127.0.0.1:${(server.app.server.address() as AddressInfo).port}`;
        return server;
    }

    /** Ends the service. */
    async stop(): Promise<void> {
        for (const watcher of this.watchers) watcher.out.destroy();
        for (const lease of this.leases.values()) clearTimeout(lease.timer);
        await this.app.close();
    }

    /** Makes the service unreachable, open watches included, or brings it back. */
    setDown(down: boolean): void {
        this.faults.down = down;
        if (!down) return;
        for (const watcher of this.watchers) watcher.out.destroy();
        this.watchers.clear();
    }

    private routes(): void {
        this.app.post("/v3/kv/range", req => this.range(req.body as { key: string; range_end?: string }));
        this.app.post(
            "/v3/kv/txn",
            (req, reply) => this.txn(req.body as { compare?: Compare[]; success?: Op[]; failure?: Op[] }, reply),
        );
        this.app.post("/v3/lease/grant", req => this.grant(Number((req.body as { TTL: string }).TTL)));
        this.app.post("/v3/lease/keepalive", req => this.keepAlive(String((req.body as { ID: string }).ID)));
        this.app.post("/v3/lease/revoke", req => this.revoke(String((req.body as { ID: string }).ID)));
        this.app.post("/v3/watch", (req, reply) => this.watch(req.body as never, reply));
    }

    private header(): { revision: string } {
        return { revision: String(this.revision) };
    }

    private range(body: { key: string; range_end?: string }): object {
        this.calls.reads += 1;
        const key = text(body.key);
        const end = text(body.range_end);
        const at = this.faults.readAtRevision;
        const data = at === undefined ? this.data : this.dataAt(at);
        const kvs = [...data].filter(([name]) =>
            end === "" ? name === key : name >= key && (end === "\0" || name < end)
        )
            .sort(([a], [b]) => a < b ? -1 : 1).map(([name, entry]) => encode(name, entry));
        return { header: at === undefined ? this.header() : { revision: String(at) }, kvs, count: String(kvs.length) };
    }

    private dataAt(revision: number): Map<string, Entry> {
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
        const succeeded = (body.compare ?? []).every(compare => this.holds(compare));
        const ops = (succeeded ? body.success : body.failure) ?? [];
        if (ops.some(op => text(op.request_put?.value).length > MAX_VALUE_BYTES)) {
            reply.code(400);
            return { code: 3, message: "etcdserver: request is too large" };
        }
        if (ops.length > 0) this.revision += 1;
        for (const op of ops) this.apply(op);
        if (this.faults.loseReplies > 0) {
            this.faults.loseReplies -= 1;
            reply.hijack();
            reply.raw.destroy();
            return undefined;
        }
        return { header: this.header(), succeeded };
    }

    private holds(compare: Compare): boolean {
        const entry = this.data.get(text(compare.key));
        if (compare.target === "VALUE") return entry !== undefined && entry.value === text(compare.value);
        if (compare.target === "CREATE") return (entry?.createRevision ?? 0) === Number(compare.create_revision ?? 0);
        return (entry?.modRevision ?? 0) === Number(compare.mod_revision ?? 0);
    }

    private apply(op: Op): void {
        if (op.request_put) {
            const key = text(op.request_put.key);
            const old = this.data.get(key);
            this.set(key, {
                value: text(op.request_put.value),
                createRevision: old?.createRevision ?? this.revision,
                modRevision: this.revision,
                version: (old?.version ?? 0) + 1,
                lease: op.request_put.lease ?? "0",
            });
        }
        if (op.request_delete_range) {
            const key = text(op.request_delete_range.key);
            const end = text(op.request_delete_range.range_end);
            const names = [...this.data.keys()].filter(name => end === "" ? name === key : name >= key && name < end);
            for (const name of names) this.set(name, undefined);
        }
    }

    private set(key: string, entry: Entry | undefined): void {
        if (entry) this.data.set(key, entry);
        else this.data.delete(key);
        this.history.push({ revision: this.revision, key, entry });
        if (this.faults.muteWatches) return;
        for (const watcher of this.watchers) {
            if (watcher.end === "" ? key === watcher.key : key >= watcher.key && key < watcher.end) {
                this.tell(watcher, key, entry, this.revision);
            }
        }
    }

    private tell(watcher: Watcher, key: string, entry: Entry | undefined, revision: number): void {
        const event = entry
            ? { type: "PUT", kv: encode(key, entry) }
            : { type: "DELETE", kv: { key: base64(key), mod_revision: String(revision) } };
        watcher.out.write(
            `${JSON.stringify({ result: { header: { revision: String(revision) }, events: [event] } })}\n`,
        );
    }

    private grant(ttlS: number): object {
        this.calls.writes += 1;
        const id = String(this.nextLease++);
        this.leases.set(id, { ttlMs: ttlS * 1000, timer: setTimeout(() => this.expire(id), ttlS * 1000) });
        return { header: this.header(), ID: id, TTL: String(ttlS) };
    }

    private keepAlive(id: string): object {
        this.calls.writes += 1;
        const lease = this.leases.get(id);
        lease?.timer.refresh();
        return { result: { header: this.header(), ID: id, TTL: String((lease?.ttlMs ?? 0) / 1000) } };
    }

    private revoke(id: string): object {
        this.calls.writes += 1;
        this.expire(id);
        return { header: this.header() };
    }

    private expire(id: string): void {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.delete(id);
        const held = [...this.data].filter(([, entry]) => entry.lease === id).map(([key]) => key);
        if (held.length > 0) this.revision += 1;
        for (const key of held) this.set(key, undefined);
    }

    private watch(
        body: { create_request: { key: string; range_end?: string; start_revision?: string } },
        reply: FastifyReply,
    ): void {
        this.calls.watches += 1;
        reply.hijack();
        const out = reply.raw;
        out.writeHead(200, { "content-type": "application/json" });
        out.write(`${JSON.stringify({ result: { header: this.header(), created: true } })}\n`);
        const watcher = { key: text(body.create_request.key), end: text(body.create_request.range_end), out };
        const from = Number(body.create_request.start_revision ?? this.revision + 1);
        for (const change of this.history) {
            const matches = watcher.end === ""
                ? change.key === watcher.key
                : change.key >= watcher.key && change.key < watcher.end;
            if (change.revision >= from && matches) this.tell(watcher, change.key, change.entry, change.revision);
        }
        this.watchers.add(watcher);
        out.on("close", () => this.watchers.delete(watcher));
    }
}

function encode(key: string, entry: Entry): object {
    return {
        key: base64(key),
        value: base64(entry.value),
        create_revision: String(entry.createRevision),
        mod_revision: String(entry.modRevision),
        version: String(entry.version),
        lease: entry.lease,
    };
}
