/**
 * Stand-ins and daemons together in one process, for the demo, for tests and for measurements over sockets.
 *
 * @module
 */
import { createLog, type Daemon, hashSecret, readConfig, SettingsStore, startDaemon } from "@drumpaddle/host";
import { createEtcd } from "@drumpaddle/protocol";
import { diff, EMPTY, type Tree } from "@drumpaddle/settings";
import { randomBytes } from "node:crypto";
import { Writable } from "node:stream";
import { EngineServer, type EngineServerCfg } from "./engine-server.js";
import { HostListServer, type ListedHost } from "./host-list-server.js";
import { KvServer } from "./kv-server.js";
import { PlainServer } from "./plain-server.js";

/** What to set up. */
export interface StageCfg {
    readonly halls: readonly string[];
    readonly hostsPerHall?: number;
    readonly enginesPerHall: number;
    readonly engine?: Partial<EngineServerCfg>;
    /** Settings on top of those that the stage needs. */
    readonly tree?: Tree;
    /** Daemon settings on top, as `section.key`. */
    readonly flags?: Readonly<Record<string, string>>;
    /** Fixed ports of callers and operators, the first hall's first; else the system chooses. */
    readonly ports?: { readonly callers: number; readonly operators: number };
    readonly log?: (line: string) => void;
}

/** A host of the stage. */
export interface StageHost {
    readonly name: string;
    readonly hall: string;
    daemon: Daemon;
}

/** All that runs. */
export interface Stage {
    readonly kv: KvServer;
    readonly hostList: HostListServer;
    readonly engines: readonly { readonly hall: string; readonly server: EngineServer }[];
    readonly plain: readonly { readonly hall: string; readonly server: PlainServer }[];
    readonly hosts: readonly StageHost[];
    /** A key of the workspace `foremen`, `clerks`, `studios` or `members`. */
    readonly keyOf: (workspace: string) => string;
    readonly operatorToken: string;
    /** What the log said, where no other place was given. */
    readonly logLines: readonly string[];
    /** Starts another daemon of the same kind in a hall. */
    addHost(hall: string, name: string): Promise<StageHost>;
    stop(): Promise<void>;
}

/** Workspaces of both deployments. */
export const WORKSPACES = ["foremen", "clerks", "studios", "members"] as const;
const MODEL = "summary-8b";
const PEER_SECRET_BYTES = 24;

/**
 * Starts everything and waits until each daemon is ready.
 *
 * @example
 * ```ts
 * const stage = await startStage({ halls: ["k1"], enginesPerHall: 2 });
 * await stage.stop();
 * ```
 */
export async function startStage(cfg: StageCfg): Promise<Stage> {
    const kv = await KvServer.start();
    const hostList = await HostListServer.start(0);
    const engines = await Promise.all(
        cfg.halls.flatMap(hall =>
            Array.from({ length: cfg.enginesPerHall }, async (_, at) => {
                const name = `engine-${hall}-${at + 1}`;
                return { hall, server: await EngineServer.start({ name, models: [MODEL], ...cfg.engine }) };
            })
        ),
    );
    const plain = await Promise.all(
        cfg.halls.map(async hall => ({ hall, server: await PlainServer.start(`desk-${hall}`) })),
    );
    const keys = new Map(WORKSPACES.map(name => [name as string, `dp-${randomBytes(12).toString("hex")}`]));
    const operatorToken = `op-${randomBytes(12).toString("hex")}`;
    const tree = treeOf(cfg, engines, plain, keys, operatorToken);
    await writeSettings(kv.url, tree);
    const logLines: string[] = [];
    const secret = randomBytes(PEER_SECRET_BYTES).toString("hex");
    const addHost = async (hall: string, name: string, at?: number): Promise<StageHost> => {
        const log = createLog("info", lineStream(cfg.log ?? (line => logLines.push(line))));
        const read = readConfig({ flags: flagsOf(cfg, { hall, name, kv, hostList, secret, at }) });
        if (!read.ok) throw new Error(JSON.stringify(read.errors));
        const host = { name, hall, daemon: await startDaemon(read.cfg, log) };
        await waitUntil(() => host.daemon.host.feed.directory !== undefined);
        return host;
    };
    const names = cfg.halls.flatMap(hall =>
        Array.from(
            { length: cfg.hostsPerHall ?? 1 },
            (_, at) => ({ hall, name: `${hall}-${String.fromCharCode(97 + at)}` }),
        )
    );
    const hosts: StageHost[] = [];
    for (const [at, { hall, name }] of names.entries()) hosts.push(await addHost(hall, name, at));
    hostList.set(hosts.map(listed));
    const addLater = async (hall: string, name: string): Promise<StageHost> => {
        const host = await addHost(hall, name);
        hosts.push(host);
        hostList.set(hosts.map(listed));
        return host;
    };
    const stop = async (): Promise<void> => {
        await Promise.all(hosts.map(host => host.daemon.kill()));
        await Promise.all([...engines, ...plain].map(({ server }) => server.stop()));
        await Promise.all([kv.stop(), hostList.stop()]);
    };
    return {
        kv,
        hostList,
        engines,
        plain,
        hosts,
        keyOf: workspace => keys.get(workspace) ?? "",
        operatorToken,
        logLines,
        addHost: addLater,
        stop,
    };
}

function listed({ name, hall, daemon }: StageHost): ListedHost {
    return { name, hall, state: "live", peer: daemon.peerAddress };
}

function treeOf(
    cfg: StageCfg,
    engines: Stage["engines"],
    plain: Stage["plain"],
    keys: ReadonlyMap<string, string>,
    operatorToken: string,
): Tree {
    const tree: Record<string, Record<string, string>> = {
        "root": {},
        "service/scribe": { kind: "engine" },
        "service/desk": { kind: "plain" },
        "workspace/foremen": { "priority": "live", "weight-tail": "2", "weight-stall": "0.5" },
        "workspace/clerks": {},
        "workspace/studios": { "weight-tail": "0.5", "weight-stall": "2", "admission-quantile": "0.95" },
        "workspace/members": {},
        [`model/${MODEL}`]: { service: "scribe" },
        "operator/first": { role: "edit", hash: hashSecret(operatorToken) },
    };
    for (const hall of cfg.halls) tree[`hall/${hall}`] = {};
    for (const [workspace, key] of keys) tree[`key/${workspace}-1`] = { workspace, hash: hashSecret(key) };
    for (const [at, { hall, server }] of engines.entries()) {
        const memory = String(server.model.cfg.memoryTokens);
        tree[`endpoint/engine-${at + 1}`] = {
            "url": server.url,
            "service": "scribe",
            hall,
            "models": MODEL,
            "memory-tokens": memory,
        };
    }
    for (const [at, { hall, server }] of plain.entries()) {
        tree[`endpoint/desk-${at + 1}`] = { url: server.url, service: "desk", hall };
    }
    for (const [path, node] of Object.entries(cfg.tree ?? {})) tree[path] = { ...tree[path], ...node };
    return tree;
}

async function writeSettings(kvUrl: string, tree: Tree): Promise<void> {
    const signal = AbortSignal.timeout(5_000);
    const store = new SettingsStore(createEtcd({ url: kvUrl, timeoutMs: 2_000 }), "drumpaddle");
    const changes = diff(EMPTY, tree);
    const result = await store.edit(
        { editId: "first-deployment", who: "stage", why: "start", at: Date.now(), changes },
        undefined,
        signal,
    );
    if (result.kind !== "accepted") throw new Error(`the first settings were not accepted: ${JSON.stringify(result)}`);
}

interface FlagParts {
    readonly hall: string;
    readonly name: string;
    readonly kv: KvServer;
    readonly hostList: HostListServer;
    readonly secret: string;
    readonly at: number | undefined;
}

function flagsOf(cfg: StageCfg, { hall, name, kv, hostList, secret, at }: FlagParts): Record<string, string> {
    const port = (first: number | undefined): string =>
        first === undefined || at === undefined ? "0" : String(first + at);
    return {
        "host.name": name,
        "host.hall": hall,
        "callers.listen": `127.0.0.1:${port(cfg.ports?.callers)}`,
        "operators.listen": `127.0.0.1:${port(cfg.ports?.operators)}`,
        "peers.listen": "127.0.0.1:0",
        "peers.secrets": secret,
        "platform.key-value": kv.url,
        "platform.host-list": hostList.url,
        ...cfg.flags,
    };
}

function lineStream(take: (line: string) => void): Writable {
    return new Writable({
        write: (chunk: Buffer, _encoding, done) => {
            take(chunk.toString("utf8").trimEnd());
            done();
        },
    });
}

const WAIT_MS = 10_000;
const LOOK_MS = 10;

/**
 * Waits until something holds; throws after ten seconds.
 *
 * @example
 * ```ts
 * await waitUntil(() => engine.cancelled.length === 1);
 * ```
 */
export async function waitUntil(holds: () => boolean | Promise<boolean>): Promise<void> {
    const until = performance.now() + WAIT_MS;
    while (!await holds()) {
        if (performance.now() > until) {
            throw new Error(`did not come to hold within ${WAIT_MS} ms: ${holds.toString()}`);
        }
        await new Promise(resolve => setTimeout(resolve, LOOK_MS));
    }
}
