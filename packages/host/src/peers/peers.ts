/**
 * Exchanges with peers: heartbeats of the failure detector, settings, changes of the store, and the load that each host has on shared
 * endpoints. The package `hall` decides what to send, as pure functions; this module holds their state, sends and receives, and runs
 * the timers.
 *
 * @module
 */
import {
    aliveMembers,
    announceLeaving,
    askOwner,
    capacityOf,
    createDetector,
    createLoadExchange,
    type Detector,
    type DetectorEnv,
    type DetectorMessage,
    type DetectorStep,
    type EndpointNotice,
    endpointOwner,
    HOST_REPORT_INTERVAL_MS,
    hostsEvent,
    isAlive,
    isWatcher,
    liveHosts,
    liveHostsInHall,
    type LoadExchange,
    type LoadExchangeStep,
    type LoadMessage,
    type Membership,
    otherHalls,
    ownerReportIntervalMs,
    type QuarantineNews,
    receiveDetectorMessage,
    receiveLoadMessage,
    type RelayPeer,
    runLoadRound,
    selfAndAliveMembers,
    setCandidates,
    tickDetector,
    unknownCandidates,
    weightOf,
    type Weights,
    weightsOf,
    withOwnerWeights,
} from "@drumpaddle/hall";
import type { EndpointTable } from "@drumpaddle/policy";
import {
    type Clock,
    type FrameMessage,
    openPeerStream,
    type PeerError,
    PeerMesh,
    type PeerName,
} from "@drumpaddle/protocol";
import type { IncarnationId } from "@drumpaddle/routes";
import { randomInt } from "node:crypto";
import type { Socket } from "node:net";
import type { EndpointNotices } from "../endpoints/endpoint-notices.js";
import type { Placement } from "../endpoints/placement.js";
import type { RequestGuard } from "../endpoints/request-guard.js";
import type { HostCfg } from "../runtime/config.js";
import type { HostMemory } from "../runtime/host-memory.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";
import type { StorePeerMessage } from "../store/store-messages.js";
import { type StoreFollower, StoreSharing } from "../store/store-sharing.js";
import type { VersionExchange } from "../store/version-exchange.js";
import { LimitLending } from "./limit-lending.js";
import { NoticeSharing, type NoticeSharingDeps } from "./notice-sharing.js";
import { OwnershipLog } from "./ownership-log.js";
import { isPeerMessage, type PeerMessage, type Progress } from "./peer-messages.js";
import { QuarantineSharing } from "./quarantine-sharing.js";
import { ReachSharing } from "./reach-sharing.js";

type Handlers = {
    readonly [K in PeerMessage["kind"]]: (from: PeerName, message: Extract<PeerMessage, { kind: K }>) => void;
};

/** What the exchanges share that ask peers as this host starts. */
type StartupListeners = Pick<NoticeSharingDeps, "hasPeers" | "onStarted">;

/** Dependencies of {@link Peers}. */
export interface PeersDeps {
    readonly cfg: HostCfg;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly engines: Placement;
    /** The scheduler of plain services: hosts share no load for it, but it depends on the number of hosts. */
    readonly plain: Placement;
    readonly versionExchange: VersionExchange;
    /** If given, two hosts of each hall watch the store on behalf of all. */
    readonly follower?: StoreFollower;
    /** If given, hosts share which requests crash endpoints. */
    readonly guard?: Pick<RequestGuard, "all" | "digest" | "receive">;
    /** If given, hosts share the notices of endpoints. */
    readonly notices?: Pick<EndpointNotices, "all" | "receive">;
    /** If given, messages queued for peers count against its memory budget. */
    readonly memory?: HostMemory;
    /** Called with each stream that a peer opens; if absent, streams are refused. */
    readonly onStream?: (from: PeerName, socket: Socket) => void;
    readonly signal: AbortSignal;
}

/** Many peers announce a new settings version at once; the host asks another peer for it only after this time. */
const SETTINGS_RETRY_MS = 500;
/** Range of the random number that distinguishes one start of a host from another. */
const START_RANGE = 2 ** 32;

/** This host as a member of its hall. */
export class Peers {
    private detector: Detector;
    private loadExchange: LoadExchange;
    private readonly storeSharing: StoreSharing | undefined;
    private readonly quarantineSharing: QuarantineSharing | undefined;
    private readonly noticeSharing: NoticeSharing | undefined;
    /** Tracks which other halls can be reached. */
    readonly reach: ReachSharing;
    private readonly limitLending: LimitLending;
    private readonly ownershipLog: OwnershipLog;
    /** The live hosts that `hosts_changed` last logged. */
    private loggedLive: readonly string[] = [];
    /** The settings version that a peer was last asked for, and when. */
    private requestedVersion = { version: -Infinity, at: -Infinity };

    private constructor(private readonly deps: PeersDeps, private readonly mesh: PeerMesh, seeds: readonly string[]) {
        const { "host.name": name, "host.hall": hall, "peers.scope": scope = hall } = deps.cfg;
        this.loadExchange = createLoadExchange(name);
        this.ownershipLog = new OwnershipLog(deps.log, deps.metrics);
        const start = randomInt(START_RANGE);
        const capacity = ownCapacity(deps.cfg);
        const capacityField = capacity === undefined ? {} : { capacity };
        this.detector = createDetector({ name, hall, scope, address: mesh.at, start, ...capacityField }, seeds);
        this.storeSharing = deps.follower && new StoreSharing({
            name,
            clock: deps.clock,
            signal: deps.signal,
            follower: deps.follower,
            inHall: () => liveHostsInHall(this.membership, this.deps.clock.now()),
            weights: () => this.weights,
            live: () => this.live,
            seeking: () => unknownCandidates(this.membership).length > 0,
            send: (names, message) => this.sendAll(names, message),
        });
        this.reach = new ReachSharing({
            name,
            hall,
            clock: deps.clock,
            log: deps.log,
            metrics: deps.metrics,
            inHall: () => liveHostsInHall(this.membership, this.deps.clock.now()),
            otherHalls: () => otherHalls(this.membership, this.deps.clock.now()),
            send: (names, message) => this.sendAll(names, message),
            applyEvent: event => {
                for (const placement of [deps.engines, deps.plain]) placement.applyEvents([event]);
            },
        });
        this.limitLending = new LimitLending({
            name,
            clock: deps.clock,
            log: deps.log,
            signal: deps.signal,
            placements: [deps.engines, deps.plain],
            live: () => this.live,
            send: (names, message) => this.sendAll(names, message),
        });
        const { guard } = deps;
        const startup = (what: "quarantines" | "notices"): StartupListeners => ({
            hasPeers: () => this.live.length > 1 || unknownCandidates(this.membership).length > 0,
            onStarted: ({ answered, waitedMs }) =>
                deps.log.info({ what, answered, waited_ms: waitedMs }, "peers_asked_at_start"),
        });
        this.quarantineSharing = guard && new QuarantineSharing({
            ...startup("quarantines"),
            name,
            clock: deps.clock,
            signal: deps.signal,
            live: () => this.live,
            send: (names, message) => this.sendAll(names, message),
            learn: news => guard.receive(news),
            all: () => guard.all(),
            digest: () => guard.digest,
        });
        const { notices: endpointNotices } = deps;
        this.noticeSharing = endpointNotices && new NoticeSharing({
            ...startup("notices"),
            knowsEndpoints: () => deps.follower?.isReady() ?? true,
            name,
            clock: deps.clock,
            signal: deps.signal,
            live: () => this.live,
            send: (names, message) => this.sendAll(names, message),
            learn: notices => endpointNotices.receive(notices),
            all: () => endpointNotices.all(),
        });
    }

    private get membership(): Membership {
        return this.detector.membership;
    }

    private get detectorEnv(): DetectorEnv {
        return { now: this.deps.clock.now(), intervalMs: this.deps.cfg["control.heartbeat"], random: Math.random };
    }

    /** Listens for peers and starts probing them; stops when the signal aborts. */
    static async start(deps: PeersDeps): Promise<Peers> {
        const { cfg, clock, log, metrics, memory, onStream, signal } = deps;
        const listen = cfg["peers.listen"];
        const at = listen.lastIndexOf(":");
        // Messages can arrive before the instance exists; they are dropped.
        const started: { peers?: Peers } = {};
        const mesh = await PeerMesh.listen({
            name: cfg["host.name"],
            listen: { ip: listen.slice(0, at), port: Number(listen.slice(at + 1)) },
            secrets: cfg["peers.secrets"],
            clock,
            onMessage: (from, message) => started.peers?.receive(from, message),
            onError: (peer: string, err: PeerError) =>
                log.debug({ peer, err: err.kind, detail: "detail" in err ? err.detail : undefined }, "peer_error"),
            onBytes: (direction, bytes) => metrics.countPeerBytes(direction, bytes),
            ...(onStream ? { onStream } : {}),
            sendQueues: {
                most: () => memory?.maxLinkBytes(),
                onChange: (link, bytes) => memory?.setLinkBytes(link, bytes),
                onDrop: () => metrics.countDroppedPeerMessage(),
            },
            signal,
        });
        if (memory) memory.onCloseLink = link => mesh.closeLink(link);
        const peers = new Peers(deps, mesh, cfg["peers.seeds"]);
        started.peers = peers;
        peers.activate();
        return peers;
    }

    private activate(): void {
        const { cfg, signal } = this.deps;
        this.deps.engines.setOwnerQuery(action =>
            this.applyLoadStep(askOwner(this.loadExchange, action, this.endpoints, this.live, this.deps.clock.now()))
        );
        repeat(() => this.heartbeat(), () => cfg["control.heartbeat"], signal);
        repeat(
            () => this.sendDueLoadRound(),
            () => Math.min(ownerReportIntervalMs(this.live.length), HOST_REPORT_INTERVAL_MS),
            signal,
        );
    }

    /** The live peers of this host's scope, as relays of connections. Those that are leaving are left out. */
    get relayPeers(): readonly RelayPeer[] {
        const now = this.deps.clock.now();
        const { self } = this.membership;
        return aliveMembers(this.membership, now)
            .filter(({ scope, leaving }) => scope === self.scope && !leaving)
            .map(({ name, address, capacity }) => ({ name, address, weight: weightOf(capacity) }));
    }

    /** Opens a stream to a peer. */
    openStream(to: string, signal: AbortSignal): Promise<Socket> {
        const { "host.name": name, "peers.secrets": secrets } = this.deps.cfg;
        return openPeerStream({ name, address: this.address, secrets, to, signal });
    }

    /** The address at which peers reach this host. */
    get address(): string {
        return this.mesh.at;
    }

    /** Capacity of this host, in cores; undefined if its settings do not state it. */
    get capacity(): number | undefined {
        return this.membership.self.capacity;
    }

    /** Number of open connections to peers. */
    get connections(): number {
        return this.mesh.openConnections;
    }

    /** Sorted names of the live hosts of this host's scope. */
    get live(): readonly string[] {
        return liveHosts(this.membership, this.deps.clock.now());
    }

    /** Weights of the hosts in rendezvous hashing, by their capacities. */
    private get weights(): Weights {
        return weightsOf(selfAndAliveMembers(this.membership, this.deps.clock.now()));
    }

    /** Sets the peer addresses from the platform's host list. */
    setListedHosts(addresses: readonly string[]): void {
        const membership = setCandidates(this.membership, [...addresses, ...this.deps.cfg["peers.seeds"]]);
        this.detector = { ...this.detector, membership };
    }

    /** Whether this host owns an endpoint: it collects the loads that all hosts put on it, and polls it on their behalf. */
    owns(endpoint: string): boolean {
        const owner = endpointOwner(endpoint, this.endpoints.values().length, this.live, this.loadExchange.weights);
        return owner === this.deps.cfg["host.name"];
    }

    /** Whether this host has received its peers' notices and quarantines since it started, or has waited long enough for them. */
    get hasCaughtUp(): boolean {
        return (this.quarantineSharing?.isReady ?? true) && (this.noticeSharing?.isReady ?? true);
    }

    /** Shares news of requests that crash endpoints. */
    shareQuarantine(news: QuarantineNews): void {
        this.quarantineSharing?.share(news);
    }

    /** Shares changed notices of endpoints. */
    shareNotices(notices: readonly EndpointNotice[]): void {
        this.noticeSharing?.share(notices);
    }

    /** Records, and shares, which incarnation of an endpoint has answered this host. */
    learnIncarnation(incarnation: IncarnationId): void {
        this.storeSharing?.learnIncarnation(incarnation);
    }

    /** Called after a suspension of the host: probes peers at once, to learn whether they consider it dead, and shares its load. */
    onWake(): void {
        this.heartbeat();
        this.shareLoadNow();
    }

    /** Announces to peers at once that this host is leaving. */
    leave(): void {
        this.applyDetectorStep(announceLeaving(this.detector, this.detectorEnv));
    }

    /** Announces the settings version in force to all live peers at once; called when this host has a new one. */
    announceSettings(): void {
        const message: PeerMessage = { kind: "gossip", news: [], ...this.progress };
        for (const { address } of aliveMembers(this.membership, this.deps.clock.now())) this.send(address, message);
    }

    /** This host's progress, as it adds it to messages of the failure detector. */
    private get progress(): Progress {
        const { guard } = this.deps;
        const quarantine = guard ? { quarantine: guard.digest } : {};
        // A host that learns settings from the store reports its store position instead of a settings version.
        if (!this.storeSharing) return { settings: this.deps.versionExchange.news(), ...quarantine };
        const store = this.storeSharing.stamp();
        return { ...(store ? { store } : {}), ...quarantine };
    }

    private heartbeat(): void {
        this.applyDetectorStep(tickDetector(this.detector, this.detectorEnv));
        const { metrics, follower, versionExchange, cfg } = this.deps;
        const { live } = this;
        metrics.liveHosts.set(live.length);
        this.logHostChanges(live);
        this.reach.update();
        if (!follower) versionExchange.setWatching(isWatcher(cfg["host.name"], live, this.weights));
    }

    private applyDetectorStep({ state, send }: DetectorStep): void {
        this.detector = state;
        const { progress } = this;
        for (const { to, message } of send) this.send(to, { ...message, ...progress });
    }

    private logHostChanges(live: readonly string[]): void {
        const before = this.loggedLive;
        if (before.length === live.length && before.every((name, at) => name === live[at])) return;
        this.loggedLive = live;
        const joined = live.filter(name => !before.includes(name));
        const gone = before.filter(name => !live.includes(name));
        this.deps.log.debug({ live: live.length, joined: joined.join(","), gone: gone.join(",") }, "hosts_changed");
    }

    private send(address: string, message: PeerMessage): void {
        this.mesh.send(address, message);
    }

    private sendAll(names: readonly string[], message: PeerMessage): void {
        const addresses = names.flatMap(name => this.membership.members.get(name)?.address ?? []);
        this.mesh.sendAll(addresses, message);
    }

    private receive(from: PeerName, message: FrameMessage): void {
        if (!isPeerMessage(message)) {
            this.deps.log.warn({ peer: from.name, message: message.kind }, "peer_message_refused");
            return;
        }
        const hall = this.membership.members.get(from.name)?.hall;
        if (hall !== undefined) this.reach.recordContact(hall);
        const handler = this.handlers[message.kind] as (
            from: PeerName,
            message: FrameMessage,
        ) => void;
        handler(from, message);
    }

    private readonly handlers: Handlers = {
        probe: (from, message) => this.receiveDetector(from, message),
        ack: (from, message) => this.receiveDetector(from, message),
        check: (from, message) => this.receiveDetector(from, message),
        vouch: (from, message) => this.receiveDetector(from, message),
        gossip: (from, message) => this.receiveDetector(from, message),
        sync: (from, message) => this.receiveDetector(from, message),
        members: (from, message) => this.receiveDetector(from, message),
        ask: (from, ask) => {
            const given = this.deps.versionExchange.give(ask);
            if (given) this.send(from.address, { kind: "give", ...given });
        },
        give: (_from, given) => this.deps.versionExchange.accept(given),
        held: (from, message) => this.receiveLoad(from, message),
        others: (from, message) => this.receiveLoad(from, message),
        question: (from, message) => this.receiveLoad(from, message),
        answer: (from, message) => this.receiveLoad(from, message),
        storeWord: (from, message) => this.receiveStore(from, message),
        storeAsk: (from, message) => this.receiveStore(from, message),
        storeState: (from, message) => this.receiveStore(from, message),
        lifeMet: (from, message) => this.receiveStore(from, message),
        quarantine: (from, message) => this.quarantineSharing?.receive(from.name, message),
        quarantineAsk: (from, message) => this.quarantineSharing?.receive(from.name, message),
        said: (from, message) => this.noticeSharing?.receive(from.name, message),
        saidAsk: (from, message) => this.noticeSharing?.receive(from.name, message),
        limitAsk: (from, message) => this.limitLending.receive(from.name, message),
        limitLend: (from, message) => this.limitLending.receive(from.name, message),
        limitReset: (from, message) => this.limitLending.receive(from.name, message),
        limitReturn: (from, message) => this.limitLending.receive(from.name, message),
        unreached: (_from, message) => this.reach.receive(message),
    };

    private receiveDetector(from: PeerName, message: DetectorMessage & Progress): void {
        this.applyDetectorStep(receiveDetectorMessage(this.detector, from.address, message, this.detectorEnv));
        const { settings, store, quarantine } = message;
        if (store) this.storeSharing?.receiveStamp(from.name, store);
        if (quarantine !== undefined) this.quarantineSharing?.receiveDigest(from.name, quarantine);
        const ask = settings && this.deps.versionExchange.ask(settings);
        if (ask && this.shouldRequestSettings(settings.version)) this.send(from.address, { kind: "ask", ...ask });
    }

    private receiveStore(from: PeerName, message: StorePeerMessage): void {
        this.storeSharing?.receive(from.name, message);
    }

    /** Whether to ask for a settings version now. A version is not requested from every peer that announces it. */
    private shouldRequestSettings(version: number): boolean {
        const now = this.deps.clock.now();
        const lastRequest = this.requestedVersion;
        if (version <= lastRequest.version && now - lastRequest.at < SETTINGS_RETRY_MS) return false;
        this.requestedVersion = { version, at: now };
        return true;
    }

    private get endpoints(): EndpointTable {
        return this.deps.engines.view.endpoints;
    }

    private receiveLoad(from: PeerName, message: LoadMessage): void {
        this.applyLoadStep(
            receiveLoadMessage(this.loadExchange, from.name, message, this.deps.engines.view, this.deps.clock.now()),
        );
    }

    /** Applies a step of the load exchange: stores its state, sends its messages, passes its events to the scheduler. */
    private applyLoadStep({ state, send, events }: LoadExchangeStep): void {
        this.loadExchange = state;
        for (const { to, message } of send) this.sendTo(to, message);
        this.deps.engines.applyEvents(events);
    }

    /** Shares this host's load at once, for urgent news such as a leaving endpoint, instead of in the next due round. */
    shareLoadNow(): void {
        this.sendLoadRound(0);
    }

    /** Runs a due round: this host reports its load to owners every time, and as an owner informs the other hosts less often. */
    private sendDueLoadRound(): void {
        const every = ownerReportIntervalMs(this.live.length);
        this.sendLoadRound(every <= HOST_REPORT_INTERVAL_MS ? 0 : every);
    }

    /** @param othersEveryMs How often this host, as an owner, informs the other hosts; 0 to do so now. */
    private sendLoadRound(othersEveryMs: number): void {
        const { live } = this;
        const unknownHosts = unknownCandidates(this.membership).length;
        this.deps.plain.applyEvents([hostsEvent(this.deps.cfg["host.name"], live, unknownHosts)]);
        this.loadExchange = withOwnerWeights(this.loadExchange, this.weights);
        const step = runLoadRound(
            this.loadExchange,
            this.endpoints,
            live,
            this.deps.clock.now(),
            othersEveryMs,
            unknownHosts,
        );
        this.ownershipLog.update(step.events);
        this.applyLoadStep(step);
    }

    private sendTo(name: string, message: PeerMessage): void {
        const member = this.membership.members.get(name);
        if (member) this.send(member.address, message);
    }

    /** All known members, for operators. */
    status(): object {
        const now = this.deps.clock.now();
        return [...this.membership.members.values()].map(member => ({
            name: member.name,
            hall: member.hall,
            address: member.address,
            capacity: member.capacity,
            alive: isAlive(member, now),
            leaving: member.leaving,
        }));
    }
}

/** Capacity of this host according to its settings; undefined if they do not state it. */
function ownCapacity(cfg: HostCfg): number | undefined {
    return capacityOf({ cores: cfg["host.cores"], share: cfg["host.core-share"], linkMbps: cfg["host.link"] });
}
