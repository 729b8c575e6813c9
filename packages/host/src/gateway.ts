/**
 * The daemon of a host that forwards calls unchanged: creates its components, starts them, and on a stop lets open calls run until
 * shortly before the platform kills the process.
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
import type { Agent } from "undici";
import { CallerConnection } from "./calls/caller-connection.js";
import type { GatewayContext } from "./calls/forward-call.js";
import { applyCallerLimits, createForwardServer } from "./calls/forward-server.js";
import { serveForwardedCall } from "./calls/forward.js";
import { GenerationCopies } from "./calls/generation-copies.js";
import { GenerationStops } from "./calls/generation-stops.js";
import { OpenRequests } from "./calls/host.js";
import { CrashDetector, type EndpointIncarnation } from "./endpoints/crash-detector.js";
import { declareEndpoints } from "./endpoints/declare-endpoints.js";
import { EndpointConnections } from "./endpoints/endpoint-connections.js";
import { createEndpointLinks, type EndpointLinks } from "./endpoints/endpoint-links.js";
import { EndpointNotices } from "./endpoints/endpoint-notices.js";
import { probeByStatusCall, type ProbeResult } from "./endpoints/endpoint-probe.js";
import { IncarnationSignals } from "./endpoints/incarnation-signals.js";
import { pollLeaving } from "./endpoints/leaving-poll.js";
import { isLeaving, Placement } from "./endpoints/placement.js";
import { RequestGuard } from "./endpoints/request-guard.js";
import { RestartSuspicions, SuspicionCause } from "./endpoints/restart-suspicions.js";
import { watchSpeeds } from "./endpoints/speed-watch.js";
import { addEndpointRoutes } from "./operators/endpoints-api.js";
import { addQuarantineRoutes, allowSecrets } from "./operators/quarantine-api.js";
import { Peers } from "./peers/peers.js";
import { type HostCfg, memoryBudgetBytes } from "./runtime/config.js";
import { DescriptorLimit } from "./runtime/descriptors.js";
import { HostMemory } from "./runtime/host-memory.js";
import { LingeringClose } from "./runtime/lingering-close.js";
import type { Log } from "./runtime/log.js";
import { watchLoopDelay } from "./runtime/loop-delay.js";
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
    /** Refuses new calls, serves the open ones until they end or the stop deadline passes, then closes the servers. */
    stop(): Promise<void>;
    /** Closes the servers at once and aborts open calls. */
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
/**
 * How long one call that watches the store waits for changes, and how much longer the host waits for the response: a lost connection
 * is noticed within their sum.
 */
const WATCH_WAIT_MS = 2_000;
const WATCH_MARGIN_MS = 400;
/** How long before the end of the grace period a stopping host refuses the calls that still run. */
const STOP_MARGIN_MS = 400;
/** How often a stopping host checks whether calls are still open, and how long it then leaves for sending its last refusals. */
const STOP_POLL_MS = 50;
const STOP_FLUSH_MS = 100;
/** How often the host reads the clock, so that it notices a suspension also while it has no calls. */
const CLOCK_POLL_MS = 50;
const SEED_RANGE = 1_000_000;
/** Descriptors of a relayed connection: to the peer and to the endpoint. */
const SOCKETS_PER_RELAY = 2;

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
    const openRequests = new OpenRequests();
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
    const incarnationSignals = new IncarnationSignals();
    const links: EndpointLinks = createEndpointLinks({
        name: cfg["host.name"],
        clock,
        log,
        metrics,
        wire: platformWire,
        signal,
        localAddress: cfg["forward.source-address"],
        budgetBytes: memoryBudgetBytes(cfg),
        addresses: () => addressesIn(latestRegistry),
        mayProbe: address => mayProbe(endpointsAt(address, latestRegistry), [engines, plain]),
        onCutOff: () => {
            connections.closeSuspect();
            peers.reach.onWayChanged();
        },
        onReached: () => peers.reach.onWayChanged(),
        peers: () => peers.relayPeers,
        openStream: (address, limited) => peers.openStream(address, limited),
        isStopping: () => exitsAt !== undefined,
        hasDescriptors: () => descriptorLimit.admitsCall(),
    });
    const copies = new GenerationCopies({
        clock,
        engines,
        wire: platformWire,
        log,
        metrics,
        signal,
        dispatcher: links.dispatchers.usual,
        endpoint: incarnation => feed.endpoint(incarnation),
    });
    const stops = new GenerationStops({
        clock,
        engines,
        wire: platformWire,
        log,
        signal,
        dispatcher: links.dispatchers.usual,
        dropCopy: copy => copies.drop(copy),
    });
    const connections = new EndpointConnections(
        signal,
        clock,
        () => metrics.countConnection(),
        {
            onSent: () => links.monitor.sent(),
            onReceived: (address, isFirst) => links.monitor.received(address, isFirst),
            onLinkFailed: (address, cause) => links.monitor.failed(address, cause),
            onAnswered: address => peers.reach.endpointAnswered(address),
            onUnreachable: address => {
                // A host that is cut off itself knows nothing of the links of its hall.
                if (!links.monitor.isCutOff) peers.reach.connectionFailed(address);
            },
            onClosedWhileIdle: address => {
                for (const endpoint of endpointsAt(address, latestRegistry)) {
                    void restartSuspicions.raise(endpoint, SuspicionCause.Closed);
                }
            },
        },
        { dial: links.dialer.usual, cutOffSince: () => links.monitor.cutOffSince },
    );
    const guard: RequestGuard = new RequestGuard({
        clock,
        log,
        metrics,
        signal,
        share: news => peers.shareQuarantine(news),
        investigate: (endpoint, run) => {
            void restartSuspicions.raise(endpoint, SuspicionCause.Closed);
            crashDetector.investigate(endpoint, run);
        },
    });
    let latestRegistry: Registry | undefined;
    const crashDetector = new CrashDetector({
        clock,
        log,
        probe: endpoint => probeWithinLimit(endpoint, [engines, plain], links, signal),
        isLeaving: incarnation => isLeaving(incarnation, engines, plain),
        // An endpoint that had announced that it was leaving did not crash.
        isOver: incarnation => hasRestarted(incarnation, latestRegistry) && !notices.hasAnnouncedLeaving(incarnation),
        isRegistryStale: () => feed.isStoreAway,
        onCrash: ending => guard.endpointCrashed(ending),
        onNoCrash: runs => guard.noCrashFound(runs),
        learnIncarnation: incarnation => peers.learnIncarnation(incarnation),
    });
    const restartSuspicions = new RestartSuspicions({
        log,
        placements: [engines, plain],
        probe: endpoint => probeWithinLimit(endpoint, [engines, plain], links, signal),
        learnIncarnation: incarnation => peers.learnIncarnation(incarnation),
    });
    const notices = new EndpointNotices({
        clock,
        log,
        metrics,
        placements: [engines, plain],
        share: news => peers.shareNotices(news),
    });
    let exitsAt: number | undefined;
    let openCallerSockets = 0;
    const descriptorLimit = new DescriptorLimit({
        maxDescriptors: cfg["host.descriptors"],
        log,
        countSockets: () => ({
            callers: openCallerSockets,
            endpoints: connections.size,
            peers: peers.connections + SOCKETS_PER_RELAY * links.relays.size,
        }),
        closeIdle: () => {
            connections.closeAllIdle();
            closing.destroyLingering();
        },
    });
    const deps: GatewayContext = {
        wire: platformWire,
        clock,
        log,
        metrics,
        connections,
        incarnationSignals,
        guard,
        engines,
        plain,
        openRequests,
        copies,
        stops,
        dispatchers: links.dispatchers,
        memory,
        notices,
        signal,
        bodyTimeoutMs: cfg["callers.body-timeout"],
        maxPipelined: cfg["callers.pipelined-requests"],
        logCalls: cfg["log.requests"],
        exitsAt: () => exitsAt,
        hasDescriptors: () => descriptorLimit.admitsCall(),
        isStale: () => feed.isStale,
        table: () => feed.table,
        endpoint: incarnation => feed.endpoint(incarnation),
        isEvacuated: hall => latestRegistry?.halls.evacuated.has(hall) === true,
        hallsInRegions: homes => hallsIn(cfg["forward.regions"], homes),
        softwareVersionsOf: service => softwareOf(service, latestRegistry),
        onMisdirected: incarnation => {
            // "address" is a source of its own: an owner that does not know the new incarnation yet cannot undo the mark.
            if (engines.setLeaving(incarnation, "address", true) || plain.setLeaving(incarnation, "address", true)) {
                log.warn({ endpoint: incarnation }, "endpoint_is_another_one");
            }
        },
        learnIncarnation: incarnation => peers.learnIncarnation(incarnation),
        settleRestart: endpoint =>
            feed.isStoreAway && !connections.isConnected(endpoint.address)
                ? restartSuspicions.settleBeforeCall(endpoint)
                : undefined,
    };
    const { app: callers, closing } = createForwardServer({
        requestTimeoutMs: cfg["callers.body-timeout"],
        // What a caller reads slowly at a stop may take as long as the stop.
        lingerMs: Math.max(cfg["callers.linger"], cfg["forward.stop-grace"]),
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
        versionExchange: feed.versionExchange,
        follower: feed.follower,
        guard,
        notices,
        memory,
        onStream: (from, socket) => links.relays.accept(from, socket),
        signal,
    });
    clock.onWake(({ suspendedMs, jumpMs }) => {
        log.warn({ suspended_ms: Math.round(suspendedMs), jump_ms: Math.round(jumpMs) }, "host_woke");
        connections.closeAllIdle();
        feed.onWake(suspendedMs);
        openRequests.onWake();
        peers.onWake();
    });
    // Reading the clock detects a suspension; without calls nothing else does.
    repeat(() => void clock.now(), () => CLOCK_POLL_MS, signal);
    links.monitor.start();
    watchLoopDelay({ clock, log, metrics, signal });
    watchSpeeds({ clock, log, metrics, view: () => engines.view, signal });
    const operatorsServer = createOperatorsServer(
        cfg["callers.linger"],
        () => feed.isReady && peers.hasCaughtUp && !openRequests.stopping,
        metrics,
    );
    const allow = allowSecrets(cfg["peers.secrets"]);
    addQuarantineRoutes(operatorsServer, guard, allow);
    addEndpointRoutes(operatorsServer, [engines, plain], () => clock.now(), allow);
    const coldBounds = { over: cfg["forward.cold-over"], slack: cfg["forward.cold-slack"] };
    const declareLatest = (): void => {
        if (latestRegistry && feed.table) declareEndpoints(feed.table, latestRegistry, coldBounds, engines, plain);
    };
    feed.onDeployment(table => {
        applyCallerLimits(callers, table.deployment.limits);
        declareLatest();
    });
    feed.onEndpoints(registry => {
        latestRegistry = registry;
        peers.reach.setEndpoints([...registry.endpoints.values()].map(({ entry }) => entry));
        declareLatest();
        crashDetector.applyRegistry(registry);
        endFinishedIncarnations(registry, { incarnationSignals, connections, engines, plain, log });
        notices.updateLimitedGauge();
        copies.copyFromLeaving();
    });
    engines.setLeavingListener(() => copies.copyFromLeaving());
    pollLeaving({
        wire: platformWire,
        log,
        metrics,
        signal,
        isRegistryStale: () => feed.isStoreAway,
        dispatcher: links.dispatchers.usual,
        owned: () => ownedEnginesInUse(engines, feed, peers),
        mayPoll: incarnation => engines.admitsControlCall(incarnation),
        onAnswer: (endpoint, { leaving, born }) => {
            const answered = { id: endpoint.id, born };
            const order = compareIncarnations(answered, endpoint);
            if (order === IncarnationOrder.Earlier) return;
            peers.learnIncarnation(answered);
            const incarnation = order === IncarnationOrder.Later ? incarnationOf(answered) : endpoint.incarnation;
            if (!engines.setLeaving(incarnation, "endpoint", leaving)) return;
            log.info({ endpoint: incarnation, leaving, source: "endpoint" }, "endpoint_stay_changed");
            peers.shareLoadNow();
        },
    });
    const metricsServer = createMetricsServer(cfg["callers.linger"], metrics);
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
        log.info({ open: openRequests.size }, "stopping");
        peers.leave();
        void openRequests.drain();
        const deadline = clock.now() + cfg["forward.stop-grace"] - STOP_MARGIN_MS;
        exitsAt = deadline;
        await pause(cfg["callers.still-served"]);
        while (openRequests.size + links.relays.size > 0 && clock.now() < deadline) await pause(STOP_POLL_MS);
        // From here on the host refuses every call as not run; the pause leaves time to send these answers.
        exitsAt = clock.now();
        await pause(STOP_FLUSH_MS);
        closing.closeAll(CallerConnection.isIdle);
        while (closing.size > 0 && clock.now() < deadline + STOP_FLUSH_MS) await pause(STOP_POLL_MS);
        log.info({ open: openRequests.size, lingering: closing.size }, "stopped");
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
 * Ends what depends on incarnations that the registry reports as over: first the copies that they hold, so that no stream continues
 * there, then their streams, which continue at other endpoints or end with an unknown outcome.
 */
function endFinishedIncarnations(
    registry: Registry,
    { incarnationSignals, connections, engines, plain, log }: Pick<
        GatewayContext,
        "incarnationSignals" | "connections" | "engines" | "plain" | "log"
    >,
): void {
    for (const incarnation of incarnationSignals.applyRegistry(registry)) {
        const address = registry.departed.get(incarnation)?.entry.address;
        log.info({ endpoint: incarnation }, "endpoint_life_over");
        engines.endIncarnation(incarnation);
        plain.endIncarnation(incarnation);
        if (address !== undefined) connections.closeIdle(address);
        incarnationSignals.abort(incarnation);
    }
}

/** The halls that lie in any of the regions `homes`; `regions` lists `hall:region` pairs. */
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

/** Addresses of all registered endpoints. */
function addressesIn(registry: Registry | undefined): readonly string[] {
    return [...registry?.endpoints.values() ?? []].map(({ entry }) => entry.address);
}

/** Whether an incarnation is over although it was ready, not leaving: the endpoint has restarted or is gone. */
function hasRestarted(incarnation: string, registry: Registry | undefined): boolean {
    const departed = registry?.departed.get(incarnation);
    return departed?.isOver === true && departed.entry.state === EndpointState.Ready;
}

/**
 * Probes whether an incarnation of an endpoint still runs, unless the probe would exceed the endpoint's limit. If the endpoint is not
 * reached directly, a peer is asked: the host's own link may be down.
 */
async function probeWithinLimit(
    { incarnation, address, id, born }: EndpointIncarnation,
    placements: readonly Placement[],
    { monitor, dispatchers }: EndpointLinks,
    signal: AbortSignal,
): Promise<ProbeResult> {
    const isAllowed = (): boolean => placements.every(placement => placement.admitsControlCall(incarnation));
    if (!isAllowed()) return { kind: "unknown", detail: "not asked, as the endpoint's limit allows no request" };
    const probe = (dispatcher: Agent): Promise<ProbeResult> =>
        probeByStatusCall(platformWire, address, { id, born }, signal, dispatcher);
    const answer = await probe(dispatchers.direct);
    if (answer.kind === "lives" || answer.kind === "laterLife" || !isAllowed()) return answer;
    const peersAnswer = await probe(dispatchers.relayed);
    // A host that is cut off is refused by its network, which says nothing about the endpoint.
    if (peersAnswer.kind !== "unknown" || monitor.isCutOff) return peersAnswer;
    return answer;
}

/** Whether the endpoints at an address may be sent a probe now; it counts against their limits. */
function mayProbe(endpoints: readonly EndpointEntry[], placements: readonly Placement[]): boolean {
    return endpoints.every(({ incarnation }) =>
        placements.every(placement => placement.admitsControlCall(incarnation))
    );
}

function holdsStreams({ streams, backups, others }: EndpointView): boolean {
    return streams.size + backups.size > 0 || others.curve.mean[0]! > 0;
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Creates the operators' server, with the platform's readiness check and the metrics. */
function createOperatorsServer(lingerMs: number, isReady: () => boolean, metrics: Metrics): FastifyInstance {
    const app = createMetricsServer(lingerMs, metrics);
    app.get(platformWire.readyPath, (_req, reply) => {
        const ready = isReady();
        return reply.code(ready ? 200 : 503).send({ ready });
    });
    return app;
}

/** Creates a server with the metrics only. */
function createMetricsServer(lingerMs: number, metrics: Metrics): FastifyInstance {
    const app = Fastify({ forceCloseConnections: true });
    LingeringClose.of(app.server, lingerMs);
    app.get("/metrics", async (_req, reply) => reply.type("text/plain; version=0.0.4").send(await metrics.text()));
    return app;
}

/** Listens on `ip:port`; returns the port. */
async function listen(app: FastifyInstance, address: string): Promise<number> {
    const at = address.lastIndexOf(":");
    await app.listen({ host: address.slice(0, at), port: Number(address.slice(at + 1)) });
    return (app.server.address() as AddressInfo).port;
}
