/**
 * The daemon of an entry host with the completions interface: creates its parts, starts them, and stops them without cutting
 * requests.
 *
 * @module
 */
import { DEFAULT_VARIANT } from "@drumpaddle/policy";
import { type Clock, createClock, createEtcdClient } from "@drumpaddle/protocol";
import type { FastifyInstance } from "fastify";
import { setMaxListeners } from "node:events";
import { readFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { Agent, buildConnector } from "undici";
import { CallerConnection } from "./calls/caller-connection.js";
import { createCallersServer } from "./calls/callers-server.js";
import { type Host, OpenRequests, WorkspaceUsage } from "./calls/host.js";
import { IdempotencyClaims } from "./calls/idempotency-claims.js";
import { failOnReset, resetOnDestroy } from "./endpoints/connector.js";
import { CrashDetector } from "./endpoints/crash-detector.js";
import { probeByConnecting } from "./endpoints/endpoint-probe.js";
import { isLeaving, Placement } from "./endpoints/placement.js";
import { RequestGuard } from "./endpoints/request-guard.js";
import { createOperatorsServer } from "./operators/operators.js";
import { Peers } from "./peers/peers.js";
import { type HostCfg, memoryBudgetBytes } from "./runtime/config.js";
import { HostMemory } from "./runtime/host-memory.js";
import type { Log } from "./runtime/log.js";
import { Metrics } from "./runtime/metrics.js";
import { SettingsFeed } from "./store/settings-feed.js";
import { SettingsStore } from "./store/settings-store.js";
import { settingsExchange } from "./store/version-exchange.js";
import { watchEndpoints } from "./watch-endpoints.js";

/** A running daemon. */
export interface Daemon {
    readonly host: Host;
    /** The base URL for callers, such as `http://127.0.0.1:8080`. */
    readonly callersUrl: string;
    readonly operatorsUrl: string;
    /** The address for peers, as `ip:port`. */
    readonly peerAddress: string;
    /** Refuses new requests, finishes those that run, then stops. */
    stop(): Promise<void>;
    /** Stops at once, cutting requests. */
    kill(): Promise<void>;
}

const CONNECTIONS_PER_ENDPOINT = 512;
const KEEP_ALIVE_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** How often a stopping host checks whether its callers have ended their connections. */
const STOP_POLL_MS = 50;
/** Plain services report no memory to plan with, so the endpoint with the fewest open calls is chosen. */
const PLAIN_VARIANT = { ...DEFAULT_VARIANT, admission: "none", choice: "leastOutstanding" } as const;

/**
 * Starts a daemon. Resolves when its servers listen; the daemon is ready once it has settings.
 *
 * @example
 * ```ts
 * const daemon = await startDaemon(cfg, createLog("info", process.stdout));
 * await daemon.stop();
 * ```
 */
export async function startDaemon(cfg: HostCfg, log: Log, clock: Clock = createClock()): Promise<Daemon> {
    const controller = new AbortController();
    // Each running call adds a listener, so there is no maximum to warn about.
    setMaxListeners(0, controller.signal);
    const { signal } = controller;
    const kv = createEtcdClient({ url: cfg["platform.key-value"], timeoutMs: cfg["platform.timeout"] });
    const store = new SettingsStore(kv, cfg["platform.prefix"]);
    const metrics = new Metrics();
    const feed = new SettingsFeed({ kv, store, hall: cfg["host.hall"], log, metrics, signal });
    const dispatcher = new Agent({
        connections: CONNECTIONS_PER_ENDPOINT,
        keepAliveTimeout: KEEP_ALIVE_MS,
        connect: failOnReset(resetOnDestroy(buildConnector({ timeout: CONNECT_TIMEOUT_MS }))),
        pipelining: 1,
    });
    const guard: RequestGuard = new RequestGuard({
        clock,
        log,
        metrics,
        signal,
        share: news => host.peers?.shareQuarantine(news),
        investigate: (endpoint, run) => crashDetector.investigate(endpoint, run),
    });
    const crashDetector = new CrashDetector({
        clock,
        log,
        probe: ({ address }) => probeByConnecting(address),
        isLeaving: id => isLeaving(id, host.engines, host.plain),
        isOver: () => false,
        isRegistryStale: () => true,
        onCrash: ending => guard.endpointCrashed(ending),
        onNoCrash: runs => guard.noCrashFound(runs),
        learnIncarnation: () => undefined,
    });
    const host: Host = {
        cfg,
        clock,
        log,
        metrics,
        feed,
        store,
        dispatcher,
        signal,
        engines: new Placement(signal, clock),
        plain: new Placement(signal, clock, PLAIN_VARIANT),
        openRequests: new OpenRequests(),
        limits: new WorkspaceUsage(),
        memory: new HostMemory({ budgetBytes: memoryBudgetBytes(cfg), clock, log, metrics }),
        guard,
        claims: new IdempotencyClaims(kv, cfg["platform.prefix"], signal, clock),
        peers: undefined,
    };
    if (cfg["peers.secrets"].length === 0) log.warn({}, "peers_secret_missing");
    host.peers = await Peers.start({ ...host, versionExchange: settingsExchange(feed) });
    clock.onWake(({ suspendedMs, jumpMs }) => {
        log.warn({ suspended_ms: Math.round(suspendedMs), jump_ms: Math.round(jumpMs) }, "host_woke");
        host.openRequests.onWake();
        host.peers?.onWake();
    });
    watchEndpoints(host);
    feed.onChange(() => host.peers?.announceSettings());
    const tls = readTls(cfg);
    const { app: callers, closing } = createCallersServer(host, tls);
    const servers = { callers, operators: createOperatorsServer(host, tls) };
    const callersUrl = await listen(servers.callers, cfg["callers.listen"], tls !== undefined);
    const operatorsUrl = await listen(servers.operators, cfg["operators.listen"], tls !== undefined);
    const { capacity } = host.peers;
    metrics.capacity.set(capacity ?? 0);
    log.info({
        host: cfg["host.name"],
        hall: cfg["host.hall"],
        capacity,
        callers: callersUrl,
        operators: operatorsUrl,
        tls: tls !== undefined,
    }, "listening");
    const end = async (): Promise<void> => {
        controller.abort();
        await Promise.all([servers.callers.close(), servers.operators.close()]);
        await dispatcher.destroy();
    };
    const stop = async (): Promise<void> => {
        log.info({ open: host.openRequests.size }, "stopping");
        host.peers?.leave();
        await Promise.all([host.openRequests.drain(), pause(cfg["callers.still-served"])]);
        closing.closeAll(CallerConnection.isIdle);
        while (closing.size > 0) await pause(STOP_POLL_MS);
        await end();
        log.info({}, "stopped");
    };
    const kill = async (): Promise<void> => {
        servers.callers.server.closeAllConnections();
        await end();
    };
    return { host, callersUrl, operatorsUrl, peerAddress: host.peers.address, stop, kill };
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

function readTls(cfg: HostCfg): { cert: string; key: string } | undefined {
    const { "tls.certificate": cert, "tls.key": key } = cfg;
    if (cert === undefined || key === undefined) return undefined;
    return { cert: readFileSync(cert, "utf8"), key: readFileSync(key, "utf8") };
}

async function listen(app: FastifyInstance, address: string, tls: boolean): Promise<string> {
    const at = address.lastIndexOf(":");
    const ip = address.slice(0, at).replace(/^\[|\]$/g, "");
    await app.listen({ host: ip, port: Number(address.slice(at + 1)) });
    const { port } = app.server.address() as AddressInfo;
    return `${tls ? "https" : "http"}://${address.slice(0, at)}:${port}`;
}
