/**
 * The key-value interface over the JSON form of the etcd v3 API (gRPC gateway: `/v3/kv/range`, `/v3/kv/txn`,
 * `/v3/lease/*`, `/v3/watch`). Keys and values travel in base64, numbers as text.
 *
 * @module
 */
import { type Dispatcher, request } from "undici";
import {
    type KeyValue,
    type KvChange,
    type KvCommit,
    type KvEntry,
    type KvError,
    kvOk,
    type KvResult,
    type KvWatch,
} from "./kv.js";
import { neverSent } from "./net-error.js";
import { withinTime } from "./time-limit.js";

/** Where the service is and how long a call may take. */
export interface EtcdCfg {
    readonly url: string;
    readonly timeoutMs: number;
    readonly dispatcher?: Dispatcher;
}

/** Adapters of services that are not restored under their clients count no epochs. */
const ONLY_EPOCH = 0;

interface RawHeader {
    readonly revision: string;
}

interface RawKv {
    readonly key: string;
    readonly value?: string;
    readonly mod_revision: string;
}

interface RawWatchResult {
    readonly events?: readonly { readonly type?: string; readonly kv: RawKv }[];
    readonly canceled?: boolean;
    readonly compact_revision?: string;
}

const base64 = (value: string): string => Buffer.from(value, "utf8").toString("base64");
const plain = (encoded: string | undefined): string => Buffer.from(encoded ?? "", "base64").toString("utf8");

/** The first key after all keys with a prefix. */
function prefixEnd(prefix: string): string {
    return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

function toEntry(raw: RawKv): KvEntry {
    return { key: plain(raw.key), value: plain(raw.value), modRevision: Number(raw.mod_revision) };
}

/**
 * A client of one service.
 *
 * @example
 * ```ts
 * const kv = createEtcd({ url: "http://10.0.0.1:2379", timeoutMs: 2000 });
 * const head = await kv.get("drumpaddle/head", signal);
 * ```
 */
export function createEtcd(cfg: EtcdCfg): KeyValue {
    const call = async <T>(path: string, body: object, signal: AbortSignal): Promise<KvResult<T>> => {
        try {
            return await withinTime(cfg.timeoutMs, signal, async limited => {
                const res = await request(cfg.url + path, {
                    method: "POST",
                    body: JSON.stringify(body),
                    headers: { "content-type": "application/json" },
                    signal: limited,
                    ...(cfg.dispatcher ? { dispatcher: cfg.dispatcher } : {}),
                });
                const answer = await res.body.json();
                if (res.statusCode !== 200) return { ok: false, err: refusal(res.statusCode, answer) };
                return kvOk(answer as T);
            });
        }
        catch (err) {
            return { ok: false, err: toKvError(err) };
        }
    };
    return {
        get: async (key, signal) => {
            const res = await call<{ kvs?: RawKv[] }>("/v3/kv/range", { key: base64(key) }, signal);
            const raw = res.ok ? res.value.kvs?.[0] : undefined;
            return res.ok ? kvOk(raw ? toEntry(raw) : undefined) : res;
        },
        list: async (prefix, signal) => {
            const body = { key: base64(prefix), range_end: base64(prefixEnd(prefix)) };
            const res = await call<{ header: RawHeader; kvs?: RawKv[] }>("/v3/kv/range", body, signal);
            if (!res.ok) return res;
            const revision = Number(res.value.header.revision);
            return kvOk({ entries: (res.value.kvs ?? []).map(toEntry), revision, epoch: ONLY_EPOCH });
        },
        commit: async (commit, signal) => {
            const res = await call<{ succeeded?: boolean }>("/v3/kv/txn", txnOf(commit), signal);
            return res.ok ? kvOk(res.value.succeeded === true) : res;
        },
        grantLease: async (ttlS, signal) => {
            const res = await call<{ ID: string }>("/v3/lease/grant", { TTL: String(ttlS) }, signal);
            return res.ok ? kvOk(res.value.ID) : res;
        },
        keepLease: async (lease, signal) => {
            const res = await call<{ result?: { TTL?: string } }>("/v3/lease/keepalive", { ID: lease }, signal);
            return res.ok ? kvOk(Number(res.value.result?.TTL ?? 0) > 0) : res;
        },
        revokeLease: async (lease, signal) => {
            const res = await call<unknown>("/v3/lease/revoke", { ID: lease }, signal);
            return res.ok ? kvOk(undefined) : res;
        },
        watch: (range, onChanges, signal) => watch(cfg, range, onChanges, signal),
    };
}

function txnOf({ conditions, puts, deletes }: KvCommit): object {
    const compare = conditions.map(({ key, modRevision }) => ({
        key: base64(key),
        target: "MOD",
        result: "EQUAL",
        mod_revision: String(modRevision),
    }));
    const putOps = puts.map(({ key, value, lease }) => ({
        request_put: { key: base64(key), value: base64(value), ...(lease === undefined ? {} : { lease }) },
    }));
    const deleteOps = (deletes ?? []).map(key => ({ request_delete_range: { key: base64(key) } }));
    return { compare, success: [...putOps, ...deleteOps], failure: [] };
}

async function watch(
    cfg: EtcdCfg,
    { prefix, after }: KvWatch,
    onChanges: (changes: readonly KvChange[]) => void,
    signal: AbortSignal,
): Promise<KvError> {
    const range = { key: base64(prefix), range_end: base64(prefixEnd(prefix)) };
    const create = after === undefined ? range : { ...range, start_revision: String(after + 1) };
    try {
        const res = await request(`${cfg.url}/v3/watch`, {
            method: "POST",
            body: JSON.stringify({ create_request: create }),
            headers: { "content-type": "application/json" },
            headersTimeout: cfg.timeoutMs,
            bodyTimeout: 0,
            signal,
            ...(cfg.dispatcher ? { dispatcher: cfg.dispatcher } : {}),
        });
        let rest = "";
        for await (const chunk of res.body.setEncoding("utf8")) {
            const lines = (rest + String(chunk)).split("\n");
            rest = lines.pop()!;
            for (const line of lines) {
                const err = tellChanges(line, onChanges);
                if (err) return err;
            }
        }
        return { kind: "away", detail: "the watch ended", tookEffect: "no" };
    }
    catch (err) {
        return toKvError(err);
    }
}

function tellChanges(line: string, onChanges: (changes: readonly KvChange[]) => void): KvError | undefined {
    if (line.trim() === "") return undefined;
    const message = JSON.parse(line) as { result?: RawWatchResult };
    const { events = [], canceled, compact_revision: compacted } = message.result ?? {};
    if (compacted !== undefined && Number(compacted) > 0) return { kind: "compacted", detail: `up to ${compacted}` };
    if (canceled === true) return { kind: "away", detail: "the watch was cancelled", tookEffect: "no" };
    onChanges(events.map(({ type, kv }) => {
        const { key, value, modRevision } = toEntry(kv);
        return { key, value: type === "DELETE" ? undefined : value, modRevision };
    }));
    return undefined;
}

function refusal(status: number, answer: unknown): KvError {
    const message = (answer as { message?: unknown } | null)?.message;
    const detail = `${status}: ${typeof message === "string" ? message : "no reason given"}`;
    // A server's own fault may come after the write was stored; a client's fault comes before.
    return status >= 500 ? { kind: "away", detail, tookEffect: "unknown" } : { kind: "refused", detail };
}

function toKvError(err: unknown): KvError {
    if (err instanceof SyntaxError) return { kind: "badAnswer", detail: err.message };
    const detail = err instanceof Error ? err.message : String(err);
    return { kind: "away", detail, tookEffect: neverSent(err) ? "no" : "unknown" };
}
