/**
 * Implements {@link KeyValue} on the JSON API of etcd v3 (gRPC gateway: `/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/*`,
 * `/v3/watch`), which encodes keys and values in base64 and 64-bit integers as strings.
 *
 * @module
 */
import { type Dispatcher, getGlobalDispatcher, request } from "undici";
import {
    type KeyValue,
    type KvChange,
    type KvCommit,
    type KvEntry,
    type KvError,
    kvOk,
    type KvResult,
    type KvWatchOptions,
} from "./kv.js";
import { reportSending } from "./report-sending.js";
import { withTimeLimit } from "./time-limit.js";

/** Address of the service and time limit of a call. */
export interface EtcdCfg {
    readonly url: string;
    readonly timeoutMs: number;
    readonly dispatcher?: Dispatcher;
}

/** etcd reports no epoch: this client assumes that the service is never restored from a backup while it is in use. */
const CONSTANT_EPOCH = 0;

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

const encodeBase64 = (value: string): string => Buffer.from(value, "utf8").toString("base64");
const decodeBase64 = (encoded: string | undefined): string => Buffer.from(encoded ?? "", "base64").toString("utf8");

/** Returns the first key that sorts after all keys with a prefix. */
function prefixEnd(prefix: string): string {
    return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

function toEntry(raw: RawKv): KvEntry {
    return { key: decodeBase64(raw.key), value: decodeBase64(raw.value), modRevision: Number(raw.mod_revision) };
}

/**
 * Creates a client of one service.
 *
 * @example
 * ```ts
 * const kv = createEtcdClient({ url: "http://10.0.0.1:2379", timeoutMs: 2000 });
 * const head = await kv.get("drumpaddle/head", signal);
 * ```
 */
export function createEtcdClient(cfg: EtcdCfg): KeyValue {
    const call = async <T>(path: string, body: object, signal: AbortSignal): Promise<KvResult<T>> => {
        let isSent = false;
        const dispatcher = reportSending(cfg.dispatcher ?? getGlobalDispatcher(), () => isSent = true);
        try {
            return await withTimeLimit(cfg.timeoutMs, signal, async limited => {
                const res = await request(cfg.url + path, {
                    method: "POST",
                    body: JSON.stringify(body),
                    headers: { "content-type": "application/json" },
                    signal: limited,
                    dispatcher,
                });
                const responseBody = await res.body.json();
                if (res.statusCode !== 200) return { ok: false, err: toStatusError(res.statusCode, responseBody) };
                return kvOk(responseBody as T);
            });
        }
        catch (err) {
            return { ok: false, err: toKvError(err, isSent) };
        }
    };
    return {
        get: async (key, signal) => {
            const res = await call<{ kvs?: RawKv[] }>("/v3/kv/range", { key: encodeBase64(key) }, signal);
            const raw = res.ok ? res.value.kvs?.[0] : undefined;
            return res.ok ? kvOk(raw ? toEntry(raw) : undefined) : res;
        },
        list: async (prefix, signal) => {
            const body = { key: encodeBase64(prefix), range_end: encodeBase64(prefixEnd(prefix)) };
            const res = await call<{ header: RawHeader; kvs?: RawKv[] }>("/v3/kv/range", body, signal);
            if (!res.ok) return res;
            const revision = Number(res.value.header.revision);
            return kvOk({ entries: (res.value.kvs ?? []).map(toEntry), revision, epoch: CONSTANT_EPOCH });
        },
        commit: async (commit, signal) => {
            const res = await call<{ succeeded?: boolean }>("/v3/kv/txn", toTxnBody(commit), signal);
            return res.ok ? kvOk(res.value.succeeded === true) : res;
        },
        grantLease: async (ttlS, signal) => {
            const res = await call<{ ID: string }>("/v3/lease/grant", { TTL: String(ttlS) }, signal);
            return res.ok ? kvOk(res.value.ID) : res;
        },
        keepLeaseAlive: async (lease, signal) => {
            const res = await call<{ result?: { TTL?: string } }>("/v3/lease/keepalive", { ID: lease }, signal);
            return res.ok ? kvOk(Number(res.value.result?.TTL ?? 0) > 0) : res;
        },
        revokeLease: async (lease, signal) => {
            const res = await call<unknown>("/v3/lease/revoke", { ID: lease }, signal);
            return res.ok ? kvOk(undefined) : res;
        },
        watch: (range, onChanges, signal) => watchPrefix(cfg, range, onChanges, signal),
    };
}

function toTxnBody({ conditions, puts, deletes }: KvCommit): object {
    const compare = conditions.map(({ key, modRevision }) => ({
        key: encodeBase64(key),
        target: "MOD",
        result: "EQUAL",
        mod_revision: String(modRevision),
    }));
    const putOps = puts.map(({ key, value, lease }) => ({
        request_put: { key: encodeBase64(key), value: encodeBase64(value), ...(lease === undefined ? {} : { lease }) },
    }));
    const deleteOps = (deletes ?? []).map(key => ({ request_delete_range: { key: encodeBase64(key) } }));
    return { compare, success: [...putOps, ...deleteOps], failure: [] };
}

async function watchPrefix(
    cfg: EtcdCfg,
    { prefix, after }: KvWatchOptions,
    onChanges: (changes: readonly KvChange[]) => void,
    signal: AbortSignal,
): Promise<KvError> {
    const range = { key: encodeBase64(prefix), range_end: encodeBase64(prefixEnd(prefix)) };
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
        let partialLine = "";
        for await (const chunk of res.body.setEncoding("utf8")) {
            const lines = (partialLine + String(chunk)).split("\n");
            partialLine = lines.pop()!;
            for (const line of lines) {
                const err = deliverChanges(line, onChanges);
                if (err) return err;
            }
        }
        return { kind: "away", detail: "the service closed the watch", tookEffect: "no" };
    }
    catch (err) {
        return toKvError(err, true);
    }
}

/** Passes on the changes in one line of a watch's response; returns an error if the line ends the watch. */
function deliverChanges(line: string, onChanges: (changes: readonly KvChange[]) => void): KvError | undefined {
    if (line.trim() === "") return undefined;
    const message = JSON.parse(line) as { result?: RawWatchResult };
    const { events = [], canceled, compact_revision: compacted } = message.result ?? {};
    if (compacted !== undefined && Number(compacted) > 0) return { kind: "compacted", detail: `up to ${compacted}` };
    if (canceled === true) return { kind: "away", detail: "the service cancelled the watch", tookEffect: "no" };
    onChanges(events.map(({ type, kv }) => {
        const { key, value, modRevision } = toEntry(kv);
        return { key, value: type === "DELETE" ? undefined : value, modRevision };
    }));
    return undefined;
}

function toStatusError(status: number, responseBody: unknown): KvError {
    const message = (responseBody as { message?: unknown } | null)?.message;
    const detail = `${status}: ${typeof message === "string" ? message : "no reason given"}`;
    // A server error may occur after the write was stored; a client error is reported before anything is written.
    return status >= 500 ? { kind: "away", detail, tookEffect: "unknown" } : { kind: "refused", detail };
}

function toKvError(err: unknown, isSent: boolean): KvError {
    if (err instanceof SyntaxError) return { kind: "badAnswer", detail: err.message };
    const detail = err instanceof Error ? err.message : String(err);
    return { kind: "away", detail, tookEffect: isSent ? "unknown" : "no" };
}
