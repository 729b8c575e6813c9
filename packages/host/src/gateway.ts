/**
 * The daemon of an entry host that forwards calls unchanged: creates its parts, starts them, and stops them without cutting
 * calls before the platform's deadline.
 *
 * @module
 */
import { createPlatformStore, platformWire } from "@drumpaddle/platform";
import { createFleetRetryBudget, DEFAULT_VARIANT, type EndpointView } from "@drumpaddle/policy";
import { type Clock, createClock } from "@drumpaddle/protocol";
import {
    compareIncarnations,
    type EndpointEntry,
    EndpointState,
    incarnationOf,
    IncarnationOrder,
    type Registry,
} from "@drumpaddle/routes";
import Fastify, { type FastifyInstance } from "fastify";
import { setMaxListeners } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import type { GatewayContext } from "./calls/forward-call.js";
import { applyCallerLimits, createForwardServer } from "./calls/forward-server.js";
import { serveForwardedCall } from "./calls/forward.js";
import { GenerationCopies } from "./calls/generation-copies.js";
import { OpenRequests } from "./calls/host.js";
import { CrashDetector, type EndpointIncarnation } from "./endpoints/crash-detector.js";
import { declareEndpoints } from "./endpoints/declare-endpoints.js";
import { EndpointConnections } from "./endpoints/endpoint-connections.js";
import { EndpointNotices } from "./endpoints/endpoint-notices.js";
import { probeByStatusCall, type ProbeResult } from "./endpoints/endpoint-probe.js";
import { IncarnationSignals } from "./endpoints/incarnation-signals.js";
import { pollLeaving } from "./endpoints/leaving-poll.js";
import { isLeaving, Placement } from "./endpoints/placement.js";
import { RequestGuard } from "./endpoints/request-guard.js";
import { RestartSuspicions } from "./endpoints/restart-suspicions.js";
import { watchSpeeds } from "./endpoints/speed-watch.js";
import { addEndpointRoutes } from "./operators/endpoints-api.js";
import { addQuarantineRoutes, allowSecrets } from "./operators/quarantine-api.js";
import { Peers } from "./peers/peers.js";
import { type HostCfg, memoryBudgetBytes } from "./runtime/config.js";
import { DescriptorLimit } from "./runtime/descriptors.js";
import { HostMemory } from "./runtime/host-memory.js";
import type { Log } from "./runtime/log.js";
import { Metrics } from "./runtime/metrics.js";
import { repeat } from "./runtime/repeat.js";
import { DeploymentFeed } from "./store/deployment-feed.js";

/** A running gateway. */
export interface Gateway {
    /** The ports that it listens on: those of the settings, or chosen by the system where the settings have 0. */
    readonly ports: {
        readonly callers: number;
        readonly operators: number;
        readonly peers: number;
        /** Undefined if the settings have no separate address for metrics. */
        readonly metrics: number | undefined;
    };
    /** Refuses new streams, serves the rest until it is done or the time to stop is over, then stops. */
    stop(): Promise<void>;
    /** Stops at once, cutting calls. */
    kill(): Promise<void>;
}

/** Plain services report no memory to plan with, so the endpoint with the fewest open calls is chosen. */
const PLAIN_VARIANT = { ...DEFAULT_VARIANT, admission: "none", choice: "leastOutstanding" } as const;
/** Prefixes that prompts share are small beside the prompts, so which endpoint has one cached does not affect the choice. */
const ENGINE_VARIANT = {
    ...DEFAULT_VARIANT,
    prefix: false,
    forecast: true,
    backups: true,
    askAlways: true,
} as const;
/** How long one call of a watch waits for changes, and the further time for its response: a lost one is noticed within their sum. */
const WATCH_WAIT_MS = 2_000;
const WATCH_MARGIN_MS = 400;
/** Time from the end of a stop until the platform kills the process. */
const STOP_MARGIN_MS = 400;
/** How often a stopping host checks whether calls still run, and the time that it allows for sending its last refusals. */
const STOP_POLL_MS = 50;
const STOP_FLUSH_MS = 100;
/** How often the clock is read, by which an idle host notices that it was suspended. */
const CLOCK_POLL_MS = 50;
const SEED_RANGE = 1_000_000;

/**
 * Starts a gateway. Resolves when its servers listen; the gateway is ready once it has a deployment and the endpoints.
 *
 * @example
 * ```ts
 * const gateway = await startGateway(cfg, createLog("info", process.stdout));
 * await gateway.stop();
 * ```
 */
export async function startGateway(cfg: HostCfg, log: Log, clock: Clock = createClock()): Promise<Gateway> {
    const controller = new AbortController();
    const { signal } = controller;
    // Each running call adds a listener, so there is no maximum to warn about.
    setMaxListeners(0, signal);
    const metrics = new Metrics();
    const kv = createPlatformStore({
        url: cfg["platform.key-value"],
        timeoutMs: cfg["platform.timeout"],
        watchMs: WATCH_WAIT_MS,
        watchMarginMs: WATCH_MARGIN_MS,
        onCall: call => metrics.countStoreCall(call, feed.callReason),
    });
    const feed: DeploymentFeed = new DeploymentFeed({ kv, clock, wire: platformWire, log, metrics, signal });
    const runs = new OpenRequests();
    const seed = Math.floor(Math.random() * SEED_RANGE);
    const retries = createFleetRetryBudget({
        windowMs: cfg["forward.retry-window"],
        ratio: cfg["forward.retry-ratio"],
        slack: cfg["forward.retry-slack"],
    });
    const options = { hall: cfg["host.hall"], retries };
    const engines = new Placement(signal, clock, ENGINE_VARIANT, seed, options);
    const plain = new Placement(signal, clock, PLAIN_VARIANT, seed, options);
    const memory = new HostMemory({ budgetBytes: memoryBudgetBytes(cfg), clock, log, metrics });
    const copies = new GenerationCopies({
        clock,
        engines,
        wire: platformWire,
        log,
        metrics,
        signal,
        endpoint: incarnation => feed.endpoint(incarnation),
    });
    const lives = new IncarnationSignals();
    const connections = new EndpointConnections(
        signal,
        clock,
        () => metrics.countConnection(),
        {
            onAnswered: address => peers.reach.endpointAnswered(address),
            onUnreachable: address => peers.reach.connectionFailed(address),
            onClosedWhileIdle: address => {
                for (const endpoint of endpointsAt(address, latestRegistry)) doubts.raise(endpoint);
            },
        },
    );
    const guard: RequestGuard = new RequestGuard({
        clock,
        log,
        metrics,
        signal,
        share: news => peers.shareQuarantine(news),
        investigate: (endpoint, run) => {
            doubts.raise(endpoint);
            endings.investigate(endpoint, run);
        },
    });
    let latestRegistry: Registry | undefined;
    const endings = new CrashDetector({
        clock,
        log,
        probe: endpoint => probeWithinLimit(endpoint, [engines, plain], signal),
        isLeaving: incarnation => isLeaving(incarnation, engines, plain),
        // An endpoint that had reported that it leaves has ended as planned.
        isOver: incarnation => hasRestarted(incarnation, latestRegistry) && !words.hasAnnouncedLeaving(incarnation),
        isRegistryStale: () => feed.isStoreAway,
        onCrash: ending => guard.endpointCrashed(ending),
        onNoCrash: runs => guard.noCrashFound(runs),
        learnIncarnation: life => peers.learnIncarnation(life),
    });
    const doubts = new RestartSuspicions({
        log,
        placements: [engines, plain],
        probe: endpoint => probeWithinLimit(endpoint, [engines, plain], signal),
        learnIncarnation: life => peers.learnIncarnation(life),
    });
    const words = new EndpointNotices({
        clock,
        log,
        metrics,
        placements: [engines, plain],
        share: news => peers.shareNotices(news),
    });
    let endsAt: number | undefined;
    let openCallerSockets = 0;
    const descriptorLimit = new DescriptorLimit({
        maxDescriptors: cfg["host.descriptors"],
        log,
        countSockets: () => ({ callers: openCallerSockets, endpoints: connections.size, peers: peers.connections }),
        closeIdle: () => connections.closeAllIdle(),
    });
    const deps: GatewayContext = {
        wire: platformWire,
        clock,
        log,
        metrics,
        connections,
        lives,
        guard,
        engines,
        plain,
        runs,
        copies,
        memory,
        words,
        signal,
        bodyTimeoutMs: cfg["callers.body-timeout"],
        logCalls: cfg["log.requests"],
        exitsAt: () => endsAt,
        hasDescriptors: () => descriptorLimit.hasRoom(),
        isStale: () => feed.isStale,
        table: () => feed.table,
        endpoint: incarnation => feed.endpoint(incarnation),
        isEvacuated: hall => latestRegistry?.halls.evacuated.has(hall) === true,
        hallsInRegions: homes => hallsIn(cfg["forward.regions"], homes),
        softwareVersionsOf: service => softwareOf(service, latestRegistry),
        onMisdirected: incarnation => {
            // A separate source, so that an owner that does not know of the new incarnation cannot reset it to staying.
            if (engines.setLeaving(incarnation, "address", true) || plain.setLeaving(incarnation, "address", true)) {
                log.warn({ endpoint: incarnation }, "endpoint_is_another_one");
            }
        },
        meetLife: life => peers.learnIncarnation(life),
    };
    const callers = createForwardServer({
        requestTimeoutMs: cfg["callers.body-timeout"],
        signal,
        onCall: (req, target, out) => serveForwardedCall(deps, req, target, out),
    });
    callers.server.on("connection", (socket: Socket) => {
        openCallerSockets += 1;
        socket.once("close", () => openCallerSockets -= 1);
    });
    const peers: Peers = await Peers.start({
        cfg,
        clock,
        log,
        metrics,
        engines,
        plain,
        spread: feed.versionExchange,
        follower: feed.follower,
        guard,
        words,
        memory,
        signal,
    });
    clock.onWake(({ suspendedMs, jumpMs }) => {
        log.warn({ suspended_ms: Math.round(suspendedMs), jump_ms: Math.round(jumpMs) }, "host_woke");
        connections.closeAllIdle();
        feed.onWake(suspendedMs);
        runs.woke();
        peers.onWake();
    });
    // Reading the clock detects a suspension; without calls nothing else does.
    repeat(() => void clock.now(), () => CLOCK_POLL_MS, signal);
    watchSpeeds({ clock, log, metrics, view: () => engines.view, signal });
    const operatorsServer = createOperatorsServer(() => feed.isReady && peers.hasCaughtUp && !runs.stopping, metrics);
    const allow = allowSecrets(cfg["peers.secrets"]);
    addQuarantineRoutes(operatorsServer, guard, allow);
    addEndpointRoutes(operatorsServer, [engines, plain], () => clock.now(), allow);
    const coldBounds = { over: cfg["forward.cold-over"], slack: cfg["forward.cold-slack"] };
    const declare = (): void => {
        if (latestRegistry && feed.table) declareEndpoints(feed.table, latestRegistry, coldBounds, engines, plain);
    };
    feed.onDeployment(table => {
        applyCallerLimits(callers, table.deployment.limits);
        declare();
    });
    feed.onEndpoints(registry => {
        latestRegistry = registry;
        peers.reach.setEndpoints([...registry.endpoints.values()].map(({ entry }) => entry));
        declare();
        endings.applyRegistry(registry);
        endFinishedLives(registry, { lives, connections, engines, plain, log });
        words.updateLimitedGauge();
        copies.copyFromLeaving();
    });
    engines.setLeavingListener(() => copies.copyFromLeaving());
    pollLeaving({
        wire: platformWire,
        log,
        metrics,
        signal,
        isRegistryStale: () => feed.isStoreAway,
        owned: () => ownedEnginesInUse(engines, feed, peers),
        mayPoll: incarnation => engines.admitsControlCall(incarnation),
        onAnswer: (endpoint, { leaving, born }) => {
            const life = { id: endpoint.id, born };
            const order = compareIncarnations(life, endpoint);
            if (order === IncarnationOrder.Earlier) return;
            peers.learnIncarnation(life);
            const incarnation = order === IncarnationOrder.Later ? incarnationOf(life) : endpoint.incarnation;
            if (!engines.setLeaving(incarnation, "endpoint", leaving)) return;
            log.info({ endpoint: incarnation, leaving, source: "endpoint" }, "endpoint_stay_changed");
            peers.shareLoadNow();
        },
    });
    const metricsServer = createMetricsServer(metrics);
    const [operatorsPort, callersPort, metricsPort] = await Promise.all([
        listen(operatorsServer, cfg["operators.listen"]),
        listen(callers, cfg["callers.listen"]),
        cfg["metrics.listen"] === undefined ? undefined : listen(metricsServer, cfg["metrics.listen"]),
    ]);
    feed.start();
    const { capacity } = peers;
    metrics.capacity.set(capacity ?? 0);
    log.info({
        host: cfg["host.name"],
        hall: cfg["host.hall"],
        capacity,
        callers: cfg["callers.listen"],
        held_budget: memory.state.budget,
    }, "listening");
    const kill = async (): Promise<void> => {
        controller.abort();
        callers.server.closeAllConnections();
        await Promise.all([callers.close(), operatorsServer.close(), metricsServer.close()]);
    };
    const stop = async (): Promise<void> => {
        log.info({ open: runs.size }, "stopping");
        peers.leave();
        void runs.drain();
        const deadline = clock.now() + cfg["forward.stop-grace"] - STOP_MARGIN_MS;
        endsAt = deadline;
        await pause(cfg["callers.still-served"]);
        while (runs.size > 0 && clock.now() < deadline) await pause(STOP_POLL_MS);
        // From here on every call is refused as not run; the pause lets these answers be sent.
        endsAt = clock.now();
        await pause(STOP_FLUSH_MS);
        log.info({ open: runs.size }, "stopped");
        await kill();
    };
    const peersPort = Number(peers.address.split(":").at(-1));
    const ports = { callers: callersPort, operators: operatorsPort, peers: peersPort, metrics: metricsPort };
    return { ports, stop, kill };
}

/**
 * Engines that this host polls on behalf of all hosts: those that it owns and that hold streams or copies of streams. A host that is
 * cut off from its peers owns all engines that it knows, but gets no reports of other hosts' streams.
 */
function ownedEnginesInUse(engines: Placement, feed: DeploymentFeed, peers: Peers): readonly EndpointEntry[] {
    return engines.view.endpoints.values()
        .filter(view => holdsStreams(view) && peers.owns(view.cfg.id))
        .flatMap(view => feed.endpoint(view.cfg.id) ?? []);
}

/**
 * Ends what depends on endpoint lives that turn out to be over: first their copies, so that no stream continues there, then their
 * streams, which continue elsewhere or end with an unknown outcome.
 */
function endFinishedLives(
    registry: Registry,
    { lives, connections, engines, plain, log }: Pick<
        GatewayContext,
        "lives" | "connections" | "engines" | "plain" | "log"
    >,
): void {
    for (const incarnation of lives.applyRegistry(registry)) {
        const address = registry.departed.get(incarnation)?.entry.address;
        log.info({ endpoint: incarnation }, "endpoint_life_over");
        engines.endIncarnation(incarnation);
        plain.endIncarnation(incarnation);
        if (address !== undefined) connections.closeIdle(address);
        lives.abort(incarnation);
    }
}

/** The halls in any of some regions, by a list of `hall:region` pairs. */
function hallsIn(regions: readonly string[], homes: readonly string[]): readonly string[] {
    const pairs = regions.map(pair => pair.split(":") as [string, string]);
    return pairs.filter(([, region]) => homes.includes(region)).map(([hall]) => hall);
}

/** The software versions of a service's endpoints that take new requests. */
function softwareOf(service: string, registry: Registry | undefined): readonly string[] {
    const entries = [...registry?.endpoints.values() ?? []].map(({ entry }) => entry);
    return entries.filter(entry => entry.service === service && entry.state === EndpointState.Ready)
        .map(({ software }) => software);
}

/** Endpoints that are registered at an address. */
function endpointsAt(address: string, registry: Registry | undefined): readonly EndpointEntry[] {
    const entries = [...registry?.endpoints.values() ?? []].map(({ entry }) => entry);
    return entries.filter(entry => entry.address === address);
}

/** Whether an endpoint's life is over, though it was not leaving. */
function hasRestarted(incarnation: string, registry: Registry | undefined): boolean {
    const departed = registry?.departed.get(incarnation);
    return departed?.isOver === true && departed.entry.state === EndpointState.Ready;
}

/** Asks an endpoint whether its life still runs, unless that request would exceed the endpoint's limit. */
async function probeWithinLimit(
    { incarnation, address, id, born }: EndpointIncarnation,
    placements: readonly Placement[],
    signal: AbortSignal,
): Promise<ProbeResult> {
    const isAllowed = placements.every(placement => placement.admitsControlCall(incarnation));
    if (!isAllowed) return { kind: "unknown", detail: "not asked, as the endpoint's limit allows no request" };
    return probeByStatusCall(platformWire, address, { id, born }, signal);
}

function holdsStreams({ streams, backups, others }: EndpointView): boolean {
    return streams.size + backups.size > 0 || others.curve.mean[0]! > 0;
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Creates the operators' server, with the platform's readiness check and the metrics. */
function createOperatorsServer(isReady: () => boolean, metrics: Metrics): FastifyInstance {
    const app = Fastify({ forceCloseConnections: true });
    app.get(platformWire.readyPath, (_req, reply) => {
        const ready = isReady();
        return reply.code(ready ? 200 : 503).send({ ready });
    });
    serveMetrics(app, metrics);
    return app;
}

/** Creates a server with the metrics only. */
function createMetricsServer(metrics: Metrics): FastifyInstance {
    const app = Fastify({ forceCloseConnections: true });
    serveMetrics(app, metrics);
    return app;
}

function serveMetrics(app: FastifyInstance, metrics: Metrics): void {
    app.get("/metrics", async (_req, reply) => reply.type("text/plain; version=0.0.4").send(await metrics.text()));
}

/** Listens on `ip:port`; returns the port. */
async function listen(app: FastifyInstance, address: string): Promise<number> {
    const at = address.lastIndexOf(":");
    await app.listen({ host: address.slice(0, at), port: Number(address.slice(at + 1)) });
    return (app.server.address() as AddressInfo).port;
}
