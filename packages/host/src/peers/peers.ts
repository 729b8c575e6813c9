/**
 * What this host exchanges with its peers: signs of life, versions of the settings, and what each holds on shared endpoints.
 * The decisions are those of the package `hall`; this is the shell that sends, receives and keeps time.
 *
 * @module
 */
import {
    aliveMembers,
    capacityOf,
    createDetector,
    createShare,
    type Detector,
    type DetectorEnv,
    type DetectorMessage,
    type DetectorStep,
    endpointOwner,
    type EndpointWord,
    hostsEvent,
    isAlive,
    leaveHall,
    listHosts,
    liveHosts,
    liveInHall,
    type Membership,
    otherHalls,
    type QuarantineNews,
    ratedHosts,
    receive,
    shareAsk,
    shareHear,
    type ShareMessage,
    shareRound,
    type ShareState,
    type ShareStep,
    TELL_OWNERS_MS,
    tellEvery,
    tick,
    unheardCandidates,
    watches,
    type Weights,
    weightsOf,
    withWeights,
} from "@drumpaddle/hall";
import type { EndpointTable } from "@drumpaddle/policy";
import { type Clock, type FrameMessage, type PeerError, PeerMesh, type PeerName } from "@drumpaddle/protocol";
import type { Life } from "@drumpaddle/routes";
import { randomInt } from "node:crypto";
import type { EndpointWords } from "../endpoints/endpoint-notices.js";
import type { Placement } from "../endpoints/placement.js";
import type { RequestGuard } from "../endpoints/request-guard.js";
import type { HostCfg } from "../runtime/config.js";
import type { HostMemory } from "../runtime/host-memory.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";
import type { Spread } from "../store/spread.js";
import { type StoreFollower, StoreSharing } from "../store/store-follower.js";
import type { StorePeerMessage } from "../store/store-words.js";
import { NoticeSharing } from "./notice-sharing.js";
import { OwnershipLog } from "./ownership-log.js";
import { isPeerMessage, type PeerMessage, type Progress } from "./peer-messages.js";
import { QuarantineSharing } from "./quarantine-sharing.js";
import { ReachSharing } from "./reach-sharing.js";

type Handlers = {
    readonly [K in PeerMessage["kind"]]: (from: PeerName, message: Extract<PeerMessage, { kind: K }>) => void;
};

/** What peers need of a daemon. */
export interface PeersDeps {
    readonly cfg: HostCfg;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly engines: Placement;
    /** Decisions that hosts do not share, but that depend on how many hosts there are. */
    readonly plain: Placement;
    readonly spread: Spread;
    /** Where it is given, two hosts of a hall watch the store for all. */
    readonly follower?: StoreFollower;
    /** Where it is given, hosts share which requests end endpoints. */
    readonly guard?: Pick<RequestGuard, "all" | "digest" | "receive">;
    /** Where it is given, hosts share what endpoints say of themselves. */
    readonly words?: Pick<EndpointWords, "all" | "receive">;
    /** Where it is given, what waits for peers is a part of its budget. */
    readonly memory?: HostMemory;
    readonly signal: AbortSignal;
}

/** Many peers tell of a new version at once: another of them is asked only after this. */
const SETTINGS_RETRY_MS = 500;
/** Starts of a host are told apart by a number of this range. */
const START_RANGE = 2 ** 32;

/** This host's part in its hall. */
export class Peers {
    private detector: Detector;
    private shareState: ShareState;
    private readonly storeSharing: StoreSharing | undefined;
    private readonly quarantineSharing: QuarantineSharing | undefined;
    private readonly noticeSharing: NoticeSharing | undefined;
    /** Which other halls can be reached. */
    readonly reach: ReachSharing;
    private readonly ownershipLog: OwnershipLog;
    /** The live hosts that the log last told of. */
    private loggedLive: readonly string[] = [];
    /** The version that a peer was asked for last, and when. */
    private requestedVersion = { version: -Infinity, at: -Infinity };

    private constructor(private readonly host: PeersDeps, private readonly mesh: PeerMesh, seeds: readonly string[]) {
        const { "host.name": name, "host.hall": hall, "peers.scope": scope = hall } = host.cfg;
        this.shareState = createShare(name);
        this.ownershipLog = new OwnershipLog(host.log, host.metrics);
        const start = randomInt(START_RANGE);
        const capacity = ownCapacity(host.cfg);
        const told = capacity === undefined ? {} : { capacity };
        this.detector = createDetector({ name, hall, scope, address: mesh.at, start, ...told }, seeds);
        this.storeSharing = host.follower && new StoreSharing({
            name,
            clock: host.clock,
            signal: host.signal,
            follower: host.follower,
            inHall: () => liveInHall(this.membership, this.host.clock.now()),
            weights: () => this.weights,
            live: () => this.live,
            seeking: () => unheardCandidates(this.membership).length > 0,
            send: (names, message) => this.sendAll(names, message),
        });
        this.reach = new ReachSharing({
            name,
            hall,
            clock: host.clock,
            log: host.log,
            metrics: host.metrics,
            inHall: () => liveInHall(this.membership, this.host.clock.now()),
            otherHalls: () => otherHalls(this.membership, this.host.clock.now()),
            send: (names, message) => this.sendAll(names, message),
            applyEvent: event => {
                for (const placement of [host.engines, host.plain]) placement.applyEvents([event]);
            },
        });
        const { guard } = host;
        this.quarantineSharing = guard && new QuarantineSharing({
            name,
            clock: host.clock,
            signal: host.signal,
            live: () => this.live,
            send: (names, message) => this.sendAll(names, message),
            learn: news => guard.receive(news),
            all: () => guard.all(),
            digest: () => guard.digest,
        });
        const { words } = host;
        this.noticeSharing = words && new NoticeSharing({
            name,
            clock: host.clock,
            signal: host.signal,
            live: () => this.live,
            send: (names, message) => this.sendAll(names, message),
            learn: told => words.receive(told),
            all: () => words.all(),
        });
    }

    private get membership(): Membership {
        return this.detector.membership;
    }

    private get env(): DetectorEnv {
        return { now: this.host.clock.now(), everyMs: this.host.cfg["control.heartbeat"], random: Math.random };
    }

    /** Starts to listen and to probe other hosts; ends with the host's signal. */
    static async start(host: PeersDeps): Promise<Peers> {
        const { cfg, clock, log, metrics, memory, signal } = host;
        const listen = cfg["peers.listen"];
        const at = listen.lastIndexOf(":");
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
            waiting: {
                most: () => memory?.linkBytes(),
                onChange: (link, bytes) => memory?.setLink(link, bytes),
                onDrop: () => metrics.countDroppedForPeer(),
            },
            signal,
        });
        if (memory) memory.onCutLink = link => mesh.cutOff(link);
        const peers = new Peers(host, mesh, cfg["peers.seeds"]);
        started.peers = peers;
        peers.startTimers();
        return peers;
    }

    private startTimers(): void {
        const { cfg, signal } = this.host;
        this.host.engines.setOwnerQuery(action =>
            this.applyShareStep(shareAsk(this.shareState, action, this.endpoints, this.live, this.host.clock.now()))
        );
        repeat(() => this.heartbeat(), () => cfg["control.heartbeat"], signal);
        repeat(() => this.sendDueRound(), () => Math.min(tellEvery(this.live.length), TELL_OWNERS_MS), signal);
    }

    /** Where peers reach this host. */
    get address(): string {
        return this.mesh.at;
    }

    /** What this host can carry, in cores; undefined where its settings do not say. */
    get capacity(): number | undefined {
        return this.membership.self.capacity;
    }

    /** Open connections to peers. */
    get connections(): number {
        return this.mesh.size;
    }

    /** Names of the live hosts of this hall, in order. */
    get live(): readonly string[] {
        return liveHosts(this.membership, this.host.clock.now());
    }

    /** By what hosts can carry. */
    private get weights(): Weights {
        return weightsOf(ratedHosts(this.membership, this.host.clock.now()));
    }

    /** Addresses that the platform's host list names. */
    setListed(addresses: readonly string[]): void {
        const membership = listHosts(this.membership, [...addresses, ...this.host.cfg["peers.seeds"]]);
        this.detector = { ...this.detector, membership };
    }

    /** Whether this host asks an endpoint for its load, as its owner. */
    owns(endpoint: string): boolean {
        const owner = endpointOwner(endpoint, this.endpoints.values().length, this.live, this.shareState.weights);
        return owner === this.host.cfg["host.name"];
    }

    /** Whether this host has heard what its peers know of endpoints and of requests that end them, as far as one can tell. */
    get isInformed(): boolean {
        return (this.quarantineSharing?.isReady ?? true) && (this.noticeSharing?.isReady ?? true);
    }

    /** Tells peers of requests that end endpoints. */
    tellQuarantine(news: QuarantineNews): void {
        this.quarantineSharing?.share(news);
    }

    /** Tells peers of a change in what endpoints say of themselves. */
    tellWords(words: readonly EndpointWord[]): void {
        this.noticeSharing?.share(words);
    }

    /** Takes in which life of an endpoint has answered this host. */
    meetLife(life: Life): void {
        this.storeSharing?.meetLife(life);
    }

    /** The host was suspended, or may have been: asks its peers at once who they take it for, and tells them what it holds. */
    woke(): void {
        this.heartbeat();
        this.tellNow();
    }

    /** Tells peers at once that this host is leaving. */
    leave(): void {
        this.applyDetectorStep(leaveHall(this.detector, this.env));
    }

    /** Tells all live peers of the version in force, at once; called when this host has a new one. */
    announce(): void {
        const message: PeerMessage = { kind: "gossip", news: [], ...this.progress };
        for (const { address } of aliveMembers(this.membership, this.host.clock.now())) this.send(address, message);
    }

    /** How far this host is, as its messages say. */
    private get progress(): Progress {
        const { guard } = this.host;
        const quarantine = guard ? { quarantine: guard.digest } : {};
        // What is learnt from the store is told by its revision.
        if (!this.storeSharing) return { settings: this.host.spread.news(), ...quarantine };
        const store = this.storeSharing.stamp();
        return { ...(store ? { store } : {}), ...quarantine };
    }

    private heartbeat(): void {
        this.applyDetectorStep(tick(this.detector, this.env));
        const { metrics, follower, spread, cfg } = this.host;
        const { live } = this;
        metrics.liveHosts.set(live.length);
        this.logChanges(live);
        this.reach.look();
        if (!follower) spread.setWatching(watches(cfg["host.name"], live, this.weights));
    }

    private applyDetectorStep({ state, send }: DetectorStep): void {
        this.detector = state;
        const { progress } = this;
        for (const { to, message } of send) this.send(to, { ...message, ...progress });
    }

    private logChanges(live: readonly string[]): void {
        const before = this.loggedLive;
        if (before.length === live.length && before.every((name, at) => name === live[at])) return;
        this.loggedLive = live;
        const joined = live.filter(name => !before.includes(name));
        const gone = before.filter(name => !live.includes(name));
        this.host.log.debug({ live: live.length, joined: joined.join(","), gone: gone.join(",") }, "hosts_changed");
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
            this.host.log.warn({ peer: from.name, message: message.kind }, "peer_message_refused");
            return;
        }
        const hall = this.membership.members.get(from.name)?.hall;
        if (hall !== undefined) this.reach.heardHost(hall);
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
            const given = this.host.spread.give(ask);
            if (given) this.send(from.address, { kind: "give", ...given });
        },
        give: (_from, given) => this.host.spread.take(given),
        held: (from, message) => this.receiveShare(from, message),
        others: (from, message) => this.receiveShare(from, message),
        question: (from, message) => this.receiveShare(from, message),
        answer: (from, message) => this.receiveShare(from, message),
        storeWord: (from, message) => this.receiveStore(from, message),
        storeAsk: (from, message) => this.receiveStore(from, message),
        storeState: (from, message) => this.receiveStore(from, message),
        lifeMet: (from, message) => this.receiveStore(from, message),
        quarantine: (from, message) => this.quarantineSharing?.receive(from.name, message),
        quarantineAsk: (from, message) => this.quarantineSharing?.receive(from.name, message),
        said: (from, message) => this.noticeSharing?.receive(from.name, message),
        saidAsk: (from, message) => this.noticeSharing?.receive(from.name, message),
        unreached: (_from, message) => this.reach.receive(message),
    };

    private receiveDetector(from: PeerName, message: DetectorMessage & Progress): void {
        this.applyDetectorStep(receive(this.detector, from.address, message, this.env));
        const { settings, store, quarantine } = message;
        if (store) this.storeSharing?.hearStamp(from.name, store);
        if (quarantine !== undefined) this.quarantineSharing?.receiveDigest(from.name, quarantine);
        const ask = settings && this.host.spread.ask(settings);
        if (ask && this.shouldRequestSettings(settings.version)) this.send(from.address, { kind: "ask", ...ask });
    }

    private receiveStore(from: PeerName, message: StorePeerMessage): void {
        this.storeSharing?.receive(from.name, message);
    }

    /** Whether a version is asked for now: not again from every peer that tells of it. */
    private shouldRequestSettings(version: number): boolean {
        const now = this.host.clock.now();
        const asked = this.requestedVersion;
        if (version <= asked.version && now - asked.at < SETTINGS_RETRY_MS) return false;
        this.requestedVersion = { version, at: now };
        return true;
    }

    private get endpoints(): EndpointTable {
        return this.host.engines.view.endpoints;
    }

    private receiveShare(from: PeerName, message: ShareMessage): void {
        this.applyShareStep(
            shareHear(this.shareState, from.name, message, this.host.engines.view, this.host.clock.now()),
        );
    }

    /** Carries out what follows from a step of what hosts know of each other's streams. */
    private applyShareStep({ state, send, events }: ShareStep): void {
        this.shareState = state;
        for (const { to, message } of send) this.sendTo(to, message);
        this.host.engines.applyEvents(events);
    }

    /** A round of telling, at once and not only when it is due: for news that must not wait, such as leaving. */
    tellNow(): void {
        this.sendRound(0);
    }

    /** The round that is due: owners hear each time, other hosts more rarely. */
    private sendDueRound(): void {
        const every = tellEvery(this.live.length);
        this.sendRound(every <= TELL_OWNERS_MS ? 0 : every);
    }

    private sendRound(othersEveryMs: number): void {
        const { live } = this;
        const unheard = unheardCandidates(this.membership).length;
        this.host.plain.applyEvents([hostsEvent(this.host.cfg["host.name"], live, unheard)]);
        this.shareState = withWeights(this.shareState, this.weights);
        const step = shareRound(this.shareState, this.endpoints, live, this.host.clock.now(), othersEveryMs, unheard);
        this.ownershipLog.update(step.events);
        this.applyShareStep(step);
    }

    private sendTo(name: string, message: PeerMessage): void {
        const member = this.membership.members.get(name);
        if (member) this.send(member.address, message);
    }

    /** Addresses and ages of all members, for operators. */
    status(): object {
        const now = this.host.clock.now();
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

/** What this host can carry, as its settings say; undefined where they do not. */
function ownCapacity(cfg: HostCfg): number | undefined {
    return capacityOf({ cores: cfg["host.cores"], share: cfg["host.core-share"], linkMbps: cfg["host.link"] });
}
