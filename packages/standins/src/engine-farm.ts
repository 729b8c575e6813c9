/**
 * Stand-in engines that generate at a constant rate, and settings for a daemon in front of them; for `bench:path`.
 *
 * @module
 */
import { hashSecret, SettingsStore } from "@drumpaddle/host";
import { createEtcdClient } from "@drumpaddle/protocol";
import { diffTrees, EMPTY_TREE } from "@drumpaddle/settings";
import { ENGINE } from "./engine-model.js";
import { EngineServer } from "./engine-server.js";
import { KvServer } from "./kv-server.js";

/** Running engines and the key-value service with the daemon's settings. */
export interface EngineFarm {
    readonly engineUrls: readonly string[];
    readonly kvUrl: string;
    readonly key: string;
    stop(): Promise<void>;
}

/** Number of streams, their total rate in tokens a second, and the number of engines that share them. */
export interface EngineFarmCfg {
    readonly streams: number;
    readonly rate: number;
    readonly engines: number;
}

const MEMORY_TOKENS = 100_000_000;

/**
 * Starts engines whose streams together produce `rate` tokens a second. Several engines are used because their
 * iterations are not synchronised: with a single engine the tokens of all streams would arrive at the same instant.
 *
 * @example
 * ```ts
 * const farm = await startEngineFarm({ streams: 350, rate: 8000, engines: 16 });
 * ```
 */
export async function startEngineFarm({ streams, rate, engines }: EngineFarmCfg): Promise<EngineFarm> {
    const kv = await KvServer.start();
    const stepMs = streams / rate * 1000;
    const engine = {
        ...ENGINE,
        memoryTokens: MEMORY_TOKENS,
        maxBatch: streams * 2,
        chunkTokens: MEMORY_TOKENS,
        baseMs: stepMs,
        perStreamMs: 0,
        perPrefillTokenMs: 0,
        perHeldTokenMs: 0,
    };
    const servers: EngineServer[] = [];
    for (let index = 0; index < engines; index++) {
        servers.push(await EngineServer.start({ name: `farm-${index}`, models: ["summary-8b"], engine }));
    }
    const endpoints = servers.map(({ url }, index): [string, Record<string, string>] => [
        `endpoint/farm-${index}`,
        { url, "service": "scribe", "hall": "h", "models": "summary-8b", "memory-tokens": String(MEMORY_TOKENS) },
    ]);
    const key = "dp-bench-path";
    const tree = {
        "root": {
            "gap-target": "10s",
            "open-streams": "100000",
            "requests-per-minute": "1M",
            "tokens-per-minute": "1000M",
        },
        "hall/h": {},
        "service/scribe": { kind: "engine" },
        "workspace/bench": {},
        "model/summary-8b": { service: "scribe" },
        "key/bench": { workspace: "bench", hash: hashSecret(key) },
        ...Object.fromEntries(endpoints),
    };
    const store = new SettingsStore(createEtcdClient({ url: kv.url, timeoutMs: 2_000 }), "drumpaddle");
    const edit = {
        editId: "bench-path",
        who: "bench",
        why: "start",
        at: Date.now(),
        changes: diffTrees(EMPTY_TREE, tree),
    };
    const written = await store.edit(edit, undefined, AbortSignal.timeout(5_000));
    if (written.kind !== "accepted") throw new Error(JSON.stringify(written));
    return {
        engineUrls: servers.map(server => server.url),
        kvUrl: kv.url,
        key,
        stop: () => Promise.all([...servers.map(server => server.stop()), kv.stop()]).then(() => undefined),
    };
}
