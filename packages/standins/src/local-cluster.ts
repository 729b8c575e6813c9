/**
 * Starts daemons together with the stand-ins for their environment in one process: for the demo, for tests and for
 * benchmarks over sockets.
 *
 * @module
 */
import { createLog, type Daemon, hashSecret, readConfig, SettingsStore, startDaemon } from "@drumpaddle/host";
import { createEtcdClient } from "@drumpaddle/protocol";
import { diffTrees, EMPTY_TREE, type Tree } from "@drumpaddle/settings";
import { randomBytes } from "node:crypto";
import { Writable } from "node:stream";
import { EngineServer, type EngineServerCfg } from "./engine-server.js";
import { HostListServer, type ListedHost } from "./host-list-server.js";
import { KvServer } from "./kv-server.js";
import { PlainServer } from "./plain-server.js";

/** What {@link startLocalCluster} starts. */
export interface LocalClusterCfg {
    readonly halls: readonly string[];
    readonly hostsPerHall?: number;
    readonly enginesPerHall: number;
    readonly engine?: Partial<EngineServerCfg>;
    /** Settings merged over the default ones, by path. */
    readonly tree?: Tree;
    /** Daemon flags that override the default ones, as `section.key`. */
    readonly flags?: Readonly<Record<string, string>>;
    /**
     * Ports for callers and operators of the first host; the other initial hosts take the next ones.
     * Hosts added later, and all hosts by default, listen on free ports.
     */
    readonly ports?: { readonly callers: number; readonly operators: number };
    readonly log?: (line: string) => void;
}

/** A host of the cluster with its daemon. */
export interface ClusterHost {
    readonly name: string;
    readonly hall: string;
    daemon: Daemon;
}

/** A running cluster. */
export interface LocalCluster {
    readonly kv: KvServer;
    readonly hostList: HostListServer;
    readonly engines: readonly { readonly hall: string; readonly server: EngineServer }[];
    readonly plainServices: readonly { readonly hall: string; readonly server: PlainServer }[];
    readonly hosts: readonly ClusterHost[];
    /** Returns the API key of a workspace, one of {@link WORKSPACES}; an empty string for any other. */
    readonly keyOf: (workspace: string) => string;
    readonly operatorToken: string;
    /** Lines that the daemons logged. Empty if {@link LocalClusterCfg.log} is given. */
    readonly logLines: readonly string[];
    /** Starts another daemon in a hall and adds it to the host list. */
    addHost(hall: string, name: string): Promise<ClusterHost>;
    stop(): Promise<void>;
}

/** Workspaces of the two example deployments. */
export const WORKSPACES = ["foremen", "clerks", "studios", "members"] as const;
const MODEL = "summary-8b";
const PEER_SECRET_BYTES = 24;

/**
 * Starts a cluster and waits until each daemon has read the settings.
 *
 * @example
 * ```ts
 * const cluster = await startStage({ halls: ["k1"], enginesPerHall: 2 });
 * await cluster.stop();
 * ```
 */
export async function startLocalCluster(cfg: LocalClusterCfg): Promise<LocalCluster> {
    const kv = await KvServer.start();
    const hostList = await HostListServer.start(0);
    const engines = await Promise.all(
        cfg.halls.flatMap(hall =>
            Array.from({ length: cfg.enginesPerHall }, async (_, index) => {
                const name = `engine-${hall}-${index + 1}`;
                return { hall, server: await EngineServer.start({ name, models: [MODEL], ...cfg.engine }) };
            })
        ),
    );
    const plainServices = await Promise.all(
        cfg.halls.map(async hall => ({ hall, server: await PlainServer.start(`desk-${hall}`) })),
    );
    const keys = new Map(WORKSPACES.map(name => [name as string, `dp-${randomBytes(12).toString("hex")}`]));
    const operatorToken = `op-${randomBytes(12).toString("hex")}`;
    const tree = initialSettings(cfg, engines, plainServices, keys, operatorToken);
    await writeSettings(kv.url, tree);
    const logLines: string[] = [];
    const secret = randomBytes(PEER_SECRET_BYTES).toString("hex");
    const addHost = async (hall: string, name: string, hostIndex?: number): Promise<ClusterHost> => {
        const log = createLog("info", createLineStream(cfg.log ?? (line => logLines.push(line))));
        const read = readConfig({ flags: daemonFlags(cfg, { hall, name, kv, hostList, secret, hostIndex }) });
        if (!read.ok) throw new Error(JSON.stringify(read.errors));
        const host = { name, hall, daemon: await startDaemon(read.cfg, log) };
        await waitUntil(() => host.daemon.host.feed.directory !== undefined);
        return host;
    };
    const names = cfg.halls.flatMap(hall =>
        Array.from(
            { length: cfg.hostsPerHall ?? 1 },
            (_, index) => ({ hall, name: `${hall}-${String.fromCharCode(97 + index)}` }),
        )
    );
    const hosts: ClusterHost[] = [];
    for (const [index, { hall, name }] of names.entries()) hosts.push(await addHost(hall, name, index));
    hostList.set(hosts.map(listedHostOf));
    const addHostAndList = async (hall: string, name: string): Promise<ClusterHost> => {
        const host = await addHost(hall, name);
        hosts.push(host);
        hostList.set(hosts.map(listedHostOf));
        return host;
    };
    const stop = async (): Promise<void> => {
        await Promise.all(hosts.map(host => host.daemon.kill()));
        await Promise.all([...engines, ...plainServices].map(({ server }) => server.stop()));
        await Promise.all([kv.stop(), hostList.stop()]);
    };
    return {
        kv,
        hostList,
        engines,
        plainServices,
        hosts,
        keyOf: workspace => keys.get(workspace) ?? "",
        operatorToken,
        logLines,
        addHost: addHostAndList,
        stop,
    };
}

function listedHostOf({ name, hall, daemon }: ClusterHost): ListedHost {
    return { name, hall, state: "live", peer: daemon.peerAddress };
}

function initialSettings(
    cfg: LocalClusterCfg,
    engines: LocalCluster["engines"],
    plainServices: LocalCluster["plainServices"],
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
    for (const [index, { hall, server }] of engines.entries()) {
        const memory = String(server.model.cfg.memoryTokens);
        tree[`endpoint/engine-${index + 1}`] = {
            "url": server.url,
            "service": "scribe",
            hall,
            "models": MODEL,
            "memory-tokens": memory,
        };
    }
    for (const [index, { hall, server }] of plainServices.entries()) {
        tree[`endpoint/desk-${index + 1}`] = { url: server.url, service: "desk", hall };
    }
    for (const [path, node] of Object.entries(cfg.tree ?? {})) tree[path] = { ...tree[path], ...node };
    return tree;
}

async function writeSettings(kvUrl: string, tree: Tree): Promise<void> {
    const signal = AbortSignal.timeout(5_000);
    const store = new SettingsStore(createEtcdClient({ url: kvUrl, timeoutMs: 2_000 }), "drumpaddle");
    const changes = diffTrees(EMPTY_TREE, tree);
    const result = await store.edit(
        { editId: "first-deployment", who: "stage", why: "start", at: Date.now(), changes },
        undefined,
        signal,
    );
    if (result.kind !== "accepted") throw new Error(`the initial settings were rejected: ${JSON.stringify(result)}`);
}

interface DaemonFlagsCfg {
    readonly hall: string;
    readonly name: string;
    readonly kv: KvServer;
    readonly hostList: HostListServer;
    readonly secret: string;
    readonly hostIndex: number | undefined;
}

function daemonFlags(
    cfg: LocalClusterCfg,
    { hall, name, kv, hostList, secret, hostIndex }: DaemonFlagsCfg,
): Record<string, string> {
    const port = (first: number | undefined): string =>
        first === undefined || hostIndex === undefined ? "0" : String(first + hostIndex);
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

function createLineStream(onLine: (line: string) => void): Writable {
    return new Writable({
        write: (chunk: Buffer, _encoding, done) => {
            onLine(chunk.toString("utf8").trimEnd());
            done();
        },
    });
}

const WAIT_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 10;

/**
 * Polls a condition until it holds; throws after ten seconds.
 *
 * @example
 * ```ts
 * await waitUntil(() => engine.cancelledGenerations.length === 1);
 * ```
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + WAIT_TIMEOUT_MS;
    while (!await condition()) {
        if (performance.now() > deadline) {
            throw new Error(`condition did not hold within ${WAIT_TIMEOUT_MS} ms: ${condition.toString()}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}
