/**
 * Stand-in engines at a steady pace with the settings that a daemon before it needs, for the measurement of the path.
 *
 * @module
 */
import { hashSecret, SettingsStore } from "@drumpaddle/host";
import { createEtcd } from "@drumpaddle/protocol";
import { diff, EMPTY } from "@drumpaddle/settings";
import { ENGINE } from "./engine-model.js";
import { EngineServer } from "./engine-server.js";
import { KvServer } from "./kv-server.js";

/** What runs. */
export interface EngineFarm {
    readonly engineUrls: readonly string[];
    readonly kvUrl: string;
    readonly key: string;
    stop(): Promise<void>;
}

/** How many streams there will be, their tokens a second in all, and over how many engines they are spread. */
export interface FarmCfg {
    readonly streams: number;
    readonly rate: number;
    readonly engines: number;
}

const MEMORY_TOKENS = 100_000_000;

/**
 * Starts engines whose streams together make `rate` tokens a second. Their iterations are not in step, as with engines
 * of their own: else all tokens would come at one instant.
 *
 * @example
 * ```ts
 * const farm = await startEngineFarm({ streams: 350, rate: 8000, engines: 16 });
 * ```
 */
export async function startEngineFarm({ streams, rate, engines }: FarmCfg): Promise<EngineFarm> {
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
    for (let at = 0; at < engines; at++) {
        servers.push(await EngineServer.start({ name: `farm-${at}`, models: ["summary-8b"], engine }));
    }
    const endpoints = servers.map(({ url }, at): [string, Record<string, string>] => [
        `endpoint/farm-${at}`,
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
    const store = new SettingsStore(createEtcd({ url: kv.url, timeoutMs: 2_000 }), "drumpaddle");
    const edit = { editId: "bench-path", who: "bench", why: "start", at: Date.now(), changes: diff(EMPTY, tree) };
    const written = await store.edit(edit, undefined, AbortSignal.timeout(5_000));
    if (written.kind !== "accepted") throw new Error(JSON.stringify(written));
    return {
        engineUrls: servers.map(server => server.url),
        kvUrl: kv.url,
        key,
        stop: () => Promise.all([...servers.map(server => server.stop()), kv.stop()]).then(() => undefined),
    };
}
