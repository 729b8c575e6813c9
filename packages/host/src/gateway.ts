/**
 * The daemon of an entry host that forwards calls as they are: builds its parts, starts them, and stops them without
 * cutting a call.
 *
 * @module
 */
import { createPlatformStore, platformWire } from "@drumpaddle/platform";
import { createFleetBudget, DEFAULT_VARIANT, type EndpointView } from "@drumpaddle/policy";
import { type Clock, createClock } from "@drumpaddle/protocol";
import {
    compareLives,
    type EndpointEntry,
    EndpointState,
    LifeOrder,
    nameOfLife,
    type Registry,
} from "@drumpaddle/routes";
import Fastify, { type FastifyInstance } from "fastify";
import { setMaxListeners } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import type { Forwarding } from "./calls/forward-call.js";
import { applyLimits, createForwardServer } from "./calls/forward-server.js";
import { forward } from "./calls/forward.js";
import { Copies } from "./calls/generation-copies.js";
import { OpenRuns } from "./calls/host.js";
import { declareEndpoints } from "./endpoints/declare-endpoints.js";
import { EndingWatch, type WatchedEndpoint } from "./endpoints/ending-watch.js";
import { EndpointConnections } from "./endpoints/endpoint-connections.js";
import { EndpointWords } from "./endpoints/endpoint-words.js";
import { LifeDoubts } from "./endpoints/life-doubts.js";
import { type LifeSign, probeByReport } from "./endpoints/life-probe.js";
import { LifeSignals } from "./endpoints/life-signals.js";
import { isLeaving, Placement } from "./endpoints/placement.js";
import { RequestGuard } from "./endpoints/request-guard.js";
import { watchSpeeds } from "./endpoints/speed-watch.js";
import { watchStays } from "./endpoints/stay-watch.js";
import { serveEndpoints } from "./operators/endpoints-api.js";
import { allowSecrets, serveQuarantine } from "./operators/quarantine-api.js";
import { Peers } from "./peers/peers.js";
import { budgetBytes, type HostCfg } from "./runtime/config.js";
import { Descriptors } from "./runtime/descriptors.js";
import { HostMemory } from "./runtime/host-memory.js";
import type { Log } from "./runtime/log.js";
import { Metrics } from "./runtime/metrics.js";
import { repeat } from "./runtime/repeat.js";
import { DeploymentFeed } from "./store/deployment-feed.js";

/** A running gateway. */
export interface Gateway {
    /** Ports that it listens at; those of the settings, or where they say 0, of the system's choice. */
    readonly ports: {
        readonly callers: number;
        readonly operators: number;
        readonly peers: number;
        /** Undefined where no address for metrics alone is given. */
        readonly metrics: number | undefined;
    };
    /** Refuses new streams, serves what it can until its time is over, then ends. */
    stop(): Promise<void>;
    /** Ends at once; calls are cut. */
    kill(): Promise<void>;
}

/** Plain services have no memory to plan with: the endpoint with the fewest open calls is taken. */
const PLAIN_VARIANT = { ...DEFAULT_VARIANT, admission: "none", choice: "leastOutstanding" } as const;
/** Shared parts of prompts are small beside the prompts, so that where they are kept decides nothing. */
const ENGINE_VARIANT = {
    ...DEFAULT_VARIANT,
    prefix: false,
    forecast: true,
    backups: true,
    askAlways: true,
} as const;
/** How long one call of a watch waits, and the time for its answer beyond that: a lost one is noticed within their sum. */
const WATCH_MS = 2_000;
const WATCH_MARGIN_MS = 400;
/** A stop ends this long before the platform ends the process. */
const STOP_MARGIN_MS = 400;
/** A stopping host looks this often whether anything still runs, and gives its last refusals this long to leave. */
const STOP_LOOK_MS = 50;
const STOP_FLUSH_MS = 100;
/** A host that does nothing notices a wake within this time. */
const LOOK_AT_CLOCK_MS = 50;
const SEED_RANGE = 1_000_000;

/**
 * Starts a gateway; resolves when its ports listen. It is ready when it has a deployment and knows the endpoints.
 *
 * @example
 * ```ts
 * const gateway = await startGateway(cfg, createLog("info", process.stdout));
 * await gateway.stop();
 * ```
 */
export async function startGateway(cfg: HostCfg, log: Log, clock: Clock = createClock()): Promise<Gateway> {
    const own = new AbortController();
    const { signal } = own;
    // Every call on its way listens to it.
    setMaxListeners(0, signal);
    const metrics = new Metrics();
    const kv = createPlatformStore({
        url: cfg["platform.key-value"],
        timeoutMs: cfg["platform.timeout"],
        watchMs: WATCH_MS,
        watchMarginMs: WATCH_MARGIN_MS,
        onCall: call => metrics.countStoreCall(call, feed.callReason),
    });
    const feed: DeploymentFeed = new DeploymentFeed({ kv, clock, wire: platformWire, log, metrics, signal });
    const runs = new OpenRuns();
    const seed = Math.floor(Math.random() * SEED_RANGE);
    const retries = createFleetBudget({
        windowMs: cfg["forward.retry-window"],
        ratio: cfg["forward.retry-ratio"],
        slack: cfg["forward.retry-slack"],
    });
    const options = { hall: cfg["host.hall"], retries };
    const engines = new Placement(signal, clock, ENGINE_VARIANT, seed, options);
    const plain = new Placement(signal, clock, PLAIN_VARIANT, seed, options);
    const memory = new HostMemory({ budgetBytes: budgetBytes(cfg), clock, log, metrics });
    const copies = new Copies({
        clock,
        engines,
        wire: platformWire,
        log,
        metrics,
        signal,
        endpoint: incarnation => feed.endpoint(incarnation),
    });
    const lives = new LifeSignals();
    const connections = new EndpointConnections(
        signal,
        clock,
        () => metrics.countConnection(),
        {
            onAnswered: address => peers.reach.answered(address),
            onUnreachable: address => peers.reach.failed(address),
            onEndedAtRest: address => {
                for (const endpoint of endpointsAt(address, known)) doubts.raise(endpoint);
            },
        },
    );
    const guard: RequestGuard = new RequestGuard({
        clock,
        log,
        metrics,
        signal,
        tell: news => peers.tellQuarantine(news),
        broke: (endpoint, run) => {
            doubts.raise(endpoint);
            endings.broke(endpoint, run);
        },
    });
    let known: Registry | undefined;
    const endings = new EndingWatch({
        clock,
        log,
        probe: endpoint => probeWhereAllowed(endpoint, [engines, plain], signal),
        isLeaving: incarnation => isLeaving(incarnation, engines, plain),
        // One that had said that it leaves has ended as planned.
        isOver: incarnation => hasBegunAgain(incarnation, known) && !words.hasSaidLeaving(incarnation),
        isDeaf: () => feed.isDeaf,
        onEnded: ending => guard.ended(ending),
        onNotEnded: runs => guard.notEnded(runs),
        meetLife: life => peers.meetLife(life),
    });
    const doubts = new LifeDoubts({
        log,
        placements: [engines, plain],
        probe: endpoint => probeWhereAllowed(endpoint, [engines, plain], signal),
        meetLife: life => peers.meetLife(life),
    });
    const words = new EndpointWords({
        clock,
        log,
        metrics,
        placements: [engines, plain],
        tell: news => peers.tellWords(news),
    });
    let endsAt: number | undefined;
    let callersOpen = 0;
    const descriptors = new Descriptors({
        most: cfg["host.descriptors"],
        log,
        open: () => ({ callers: callersOpen, endpoints: connections.size, peers: peers.connections }),
        free: () => connections.forgetAll(),
    });
    const deps: Forwarding = {
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
        bodyMs: cfg["callers.body-timeout"],
        logCalls: cfg["log.requests"],
        endsAt: () => endsAt,
        hasDescriptors: () => descriptors.hasRoom(),
        isStale: () => feed.isStale,
        table: () => feed.table,
        endpoint: incarnation => feed.endpoint(incarnation),
        isEvacuated: hall => known?.halls.evacuated.has(hall) === true,
        hallsIn: homes => hallsIn(cfg["forward.regions"], homes),
        softwareOf: service => softwareOf(service, known),
        onOtherIncarnation: incarnation => {
            // A source of its own: an owner that has not met the other one says that this one stays.
            if (engines.setLeaving(incarnation, "address", true) || plain.setLeaving(incarnation, "address", true)) {
                log.warn({ endpoint: incarnation }, "endpoint_is_another_one");
            }
        },
        meetLife: life => peers.meetLife(life),
    };
    const callers = createForwardServer({
        requestMs: cfg["callers.body-timeout"],
        signal,
        onCall: (req, target, out) => forward(deps, req, target, out),
    });
    callers.server.on("connection", (socket: Socket) => {
        callersOpen += 1;
        socket.once("close", () => callersOpen -= 1);
    });
    const peers: Peers = await Peers.start({
        cfg,
        clock,
        log,
        metrics,
        engines,
        plain,
        spread: feed.spread,
        follower: feed.follower,
        guard,
        words,
        memory,
        signal,
    });
    clock.onWake(({ suspendedMs, jumpMs }) => {
        log.warn({ suspended_ms: Math.round(suspendedMs), jump_ms: Math.round(jumpMs) }, "host_woke");
        connections.forgetAll();
        feed.woke(suspendedMs);
        runs.woke();
        peers.woke();
    });
    // Without a call a wake is noticed by the next of these.
    repeat(() => void clock.now(), () => LOOK_AT_CLOCK_MS, signal);
    watchSpeeds({ clock, log, metrics, view: () => engines.view, signal });
    const operators = createProbes(() => feed.isReady && peers.isInformed && !runs.stopping, metrics);
    const allow = allowSecrets(cfg["peers.secrets"]);
    serveQuarantine(operators, guard, allow);
    serveEndpoints(operators, [engines, plain], () => clock.now(), allow);
    const bounds = { over: cfg["forward.cold-over"], slack: cfg["forward.cold-slack"] };
    const declare = (): void => {
        if (known && feed.table) declareEndpoints(feed.table, known, bounds, engines, plain);
    };
    feed.onDeployment(table => {
        applyLimits(callers, table.deployment.limits);
        declare();
    });
    feed.onEndpoints(registry => {
        known = registry;
        peers.reach.setEndpoints([...registry.endpoints.values()].map(({ entry }) => entry));
        declare();
        endings.take(registry);
        endLives(registry, { lives, connections, engines, plain, log });
        words.count();
        copies.evacuate();
    });
    engines.setLeavingListener(() => copies.evacuate());
    watchStays({
        wire: platformWire,
        log,
        metrics,
        signal,
        isDeaf: () => feed.isDeaf,
        owned: () => ownedEngines(engines, feed, peers),
        mayAsk: incarnation => engines.mayAsk(incarnation),
        onStay: (endpoint, { leaving, born }) => {
            const life = { id: endpoint.id, born };
            const order = compareLives(life, endpoint);
            if (order === LifeOrder.Earlier) return;
            peers.meetLife(life);
            const incarnation = order === LifeOrder.Later ? nameOfLife(life) : endpoint.incarnation;
            if (!engines.setLeaving(incarnation, "endpoint", leaving)) return;
            log.info({ endpoint: incarnation, leaving, source: "endpoint" }, "endpoint_stay_changed");
            peers.tellNow();
        },
    });
    const collectors = createMetricsServer(metrics);
    const [operatorsPort, callersPort, metricsPort] = await Promise.all([
        listen(operators, cfg["operators.listen"]),
        listen(callers, cfg["callers.listen"]),
        cfg["metrics.listen"] === undefined ? undefined : listen(collectors, cfg["metrics.listen"]),
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
        own.abort();
        callers.server.closeAllConnections();
        await Promise.all([callers.close(), operators.close(), collectors.close()]);
    };
    const stop = async (): Promise<void> => {
        log.info({ open: runs.size }, "stopping");
        peers.leave();
        void runs.drain();
        const end = clock.now() + cfg["forward.stop-grace"] - STOP_MARGIN_MS;
        endsAt = end;
        await pause(cfg["callers.still-served"]);
        while (runs.size > 0 && clock.now() < end) await pause(STOP_LOOK_MS);
        // From here on every call is refused as not run; the answers get a moment to leave.
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
 * Engines that this host asks for all: those that it owns and that hold streams or their copies. A host that is cut off owns all that it
 * knows, but nobody else's streams are told to it.
 */
function ownedEngines(engines: Placement, feed: DeploymentFeed, peers: Peers): readonly EndpointEntry[] {
    return engines.view.endpoints.values()
        .filter(view => holdsAny(view) && peers.owns(view.cfg.id))
        .flatMap(view => feed.endpoint(view.cfg.id) ?? []);
}

/**
 * Ends what rests on lives that are found to be over: first their copies, so that no stream goes on there, then their streams,
 * which go on elsewhere or are told as unknown.
 */
function endLives(
    registry: Registry,
    { lives, connections, engines, plain, log }: Pick<
        Forwarding,
        "lives" | "connections" | "engines" | "plain" | "log"
    >,
): void {
    for (const incarnation of lives.take(registry)) {
        const address = registry.departed.get(incarnation)?.entry.address;
        log.info({ endpoint: incarnation }, "endpoint_life_over");
        engines.endLife(incarnation);
        plain.endLife(incarnation);
        if (address !== undefined) connections.forget(address);
        lives.end(incarnation);
    }
}

/** Halls of some regions, by a list of `hall:region`. */
function hallsIn(regions: readonly string[], homes: readonly string[]): readonly string[] {
    const pairs = regions.map(pair => pair.split(":") as [string, string]);
    return pairs.filter(([, region]) => homes.includes(region)).map(([hall]) => hall);
}

/** Versions of the software of a service's endpoints that take new work. */
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

/** Whether an endpoint that was not leaving has begun a later life. */
function hasBegunAgain(incarnation: string, registry: Registry | undefined): boolean {
    const departed = registry?.departed.get(incarnation);
    return departed?.isOver === true && departed.entry.state === EndpointState.Ready;
}

/** Asks an endpoint whether its life is still there, unless the limit that it names keeps the question away. */
async function probeWhereAllowed(
    { incarnation, address, id, born }: WatchedEndpoint,
    placements: readonly Placement[],
    signal: AbortSignal,
): Promise<LifeSign> {
    const isAllowed = placements.every(placement => placement.mayAsk(incarnation));
    if (!isAllowed) return { kind: "unknown", detail: "its limit keeps the question away" };
    return probeByReport(platformWire, address, { id, born }, signal);
}

function holdsAny({ streams, backups, others }: EndpointView): boolean {
    return streams.size + backups.size > 0 || others.curve.mean[0]! > 0;
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** The port at which the platform asks for readiness, and which tells the metrics. */
function createProbes(isReady: () => boolean, metrics: Metrics): FastifyInstance {
    const app = Fastify({ forceCloseConnections: true });
    app.get(platformWire.readyPath, (_req, reply) => {
        const ready = isReady();
        return reply.code(ready ? 200 : 503).send({ ready });
    });
    serveMetrics(app, metrics);
    return app;
}

/** A port for metrics alone. */
function createMetricsServer(metrics: Metrics): FastifyInstance {
    const app = Fastify({ forceCloseConnections: true });
    serveMetrics(app, metrics);
    return app;
}

function serveMetrics(app: FastifyInstance, metrics: Metrics): void {
    app.get("/metrics", async (_req, reply) => reply.type("text/plain; version=0.0.4").send(await metrics.text()));
}

/** Listens at `ip:port`; gives the port. */
async function listen(app: FastifyInstance, address: string): Promise<number> {
    const at = address.lastIndexOf(":");
    await app.listen({ host: address.slice(0, at), port: Number(address.slice(at + 1)) });
    return (app.server.address() as AddressInfo).port;
}
