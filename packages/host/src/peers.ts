/**
 * What this host exchanges with its peers: heartbeats, versions of the settings, and what each holds on shared endpoints.
 * The decisions are those of the package `hall`; this is the shell that sends, receives and keeps time.
 *
 * @module
 */
import {
    askAfter,
    createFollowing,
    createMembership,
    createShare,
    endpointOwner,
    type Following,
    give,
    hear,
    heartbeat,
    hearWatcher,
    isAlive,
    leave,
    listHosts,
    liveHosts,
    liveInHall,
    type Membership,
    NEWS_PER_HEARTBEAT,
    NEWS_WHILE_JOINING,
    newsOf,
    planFollowing,
    type SettingsAsk,
    type SettingsGive,
    shareAsk,
    shareHear,
    type ShareMessage,
    shareRound,
    type ShareState,
    type ShareStep,
    stretch,
    takeGiven,
    TELL_OWNERS_MS,
    tellEvery,
    type VersionNews,
    watches,
    WORD_EVERY_MS,
} from "@drumpaddle/hall";
import type { EndpointTable } from "@drumpaddle/policy";
import { type FrameMessage, type PeerError, PeerMesh, type PeerName } from "@drumpaddle/protocol";
import type { HostCfg } from "./config.js";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";
import { isPeerMessage, type PeerMessage, type StoreState, type StoreWord } from "./peer-messages.js";
import type { Placement } from "./placement.js";
import { repeat } from "./repeat.js";
import type { SettingsFeed } from "./settings-feed.js";

/** How hosts share what some of them hear of the store. */
export interface StoreFollower {
    /** Whether the store answers this host; undefined while it does not watch. */
    hears(): boolean | undefined;
    /** Undefined before anything was learnt. */
    word(): StoreWord | undefined;
    /** `place`: among the watchers that other hosts rely on; undefined where none does. */
    setWatching(watches: boolean, place: number | undefined): void;
    /** Calls back with what this host learns from the store itself. */
    onChanges(listener: (word: StoreWord) => void): void;
    /** Takes in a watcher's word; true if changes before it are missing here. */
    hear(word: StoreWord): boolean;
    state(): StoreState | undefined;
    take(state: StoreState): void;
}

type Handlers = {
    readonly [K in PeerMessage["kind"]]: (from: PeerName, message: Extract<PeerMessage, { kind: K }>) => void;
};

/** How versions of what is in force reach this host from its peers, and its peers from it. */
export interface Spread {
    /** What heartbeats say of the version in force. */
    news(): VersionNews;
    /** The question to ask after hearing of a version; undefined where it is not newer. */
    ask(news: VersionNews): SettingsAsk | undefined;
    give(ask: SettingsAsk): SettingsGive | undefined;
    take(given: SettingsGive): void;
    /** Whether this host is one of those that watch the service for all. */
    setWatching(watching: boolean): void;
}

/** What peers need of a daemon. */
export interface PeersDeps {
    readonly cfg: HostCfg;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly engines: Placement;
    /** Decisions that hosts do not share, but that depend on how many hosts there are. */
    readonly plain: Placement;
    readonly spread: Spread;
    /** Where it is given, few hosts of a large hall watch the store for all. */
    readonly follower?: StoreFollower;
    readonly signal: AbortSignal;
}

/** The spread of the settings tree. */
export function treeSpread(feed: SettingsFeed): Spread {
    return {
        news: () => newsOf(feed.inForce),
        ask: news => askAfter(feed.inForce, news),
        give: ask => give(feed.inForce, ask),
        take: given => void feed.offer(takeGiven(feed.inForce, given), "peer"),
        // A host that has no settings yet asks the service itself, whoever watches.
        setWatching: watching => feed.setWatching(watching || feed.inForce === undefined),
    };
}

/** A start is over after this: with four heartbeats of all news each 0.5 s, 85 hosts know each other by then. */
const JOINING_MS = 5_000;
/** Many peers tell of a new version at once: another of them is asked only after this. */
const ASK_AGAIN_MS = 500;
/** In larger fleets a new version travels by watchers' words; told by each host to each other it would fill their links. */
const MOST_ANNOUNCE = 12;

/** This host's part in its hall. */
export class Peers {
    private membership: Membership;
    private share: ShareState;
    private following: Following;
    private readonly startedAt = performance.now();
    /** The version that a peer was asked for last, and when. */
    private askedVersion = { version: -Infinity, at: -Infinity };
    /** Turns the choice of whom a host asks that the store does not answer. */
    private askTurn = 0;

    private constructor(private readonly host: PeersDeps, private readonly mesh: PeerMesh, seeds: readonly string[]) {
        const { "host.name": name, "host.hall": hall, "peers.scope": scope = hall } = host.cfg;
        this.share = createShare(name);
        this.following = createFollowing(name);
        this.membership = createMembership({ name, hall, scope, address: mesh.at, incarnation: Date.now() }, seeds);
    }

    /** Starts to listen and to send heartbeats; ends with the host's signal. */
    static async start(host: PeersDeps): Promise<Peers> {
        const { cfg, log, metrics, signal } = host;
        const listen = cfg["peers.listen"];
        const at = listen.lastIndexOf(":");
        const received: { peers?: Peers } = {};
        const mesh = await PeerMesh.listen({
            name: cfg["host.name"],
            listen: { ip: listen.slice(0, at), port: Number(listen.slice(at + 1)) },
            secrets: cfg["peers.secrets"],
            onMessage: (from, message) => received.peers?.receive(from, message),
            onError: (peer: string, err: PeerError) =>
                log.debug({ peer, err: err.kind, detail: "detail" in err ? err.detail : undefined }, "peer_error"),
            onBytes: (direction, bytes) => metrics.countPeerBytes(direction, bytes),
            signal,
        });
        const peers = new Peers(host, mesh, cfg["peers.seeds"]);
        received.peers = peers;
        peers.run();
        return peers;
    }

    private run(): void {
        const { cfg, signal } = this.host;
        this.host.engines.setAsker(action =>
            this.follow(shareAsk(this.share, action, this.endpoints, this.live, performance.now()))
        );
        const every = cfg["control.heartbeat"];
        repeat(() => this.beat(), () => every * (this.isJoining ? 1 : stretch(this.live.length)), signal);
        repeat(() => this.dueRound(), () => Math.min(tellEvery(this.live.length), TELL_OWNERS_MS), signal);
        const { follower } = this.host;
        if (!follower) return;
        repeat(() => this.planFollowing(follower), () => WORD_EVERY_MS, signal);
        follower.onChanges(word => this.relay(word));
    }

    /** Sees whether this host watches the store, says so, and asks a peer where the store does not answer. */
    private planFollowing(follower: StoreFollower): void {
        const now = performance.now();
        const hears = follower.hears();
        const { state, watches, place } = planFollowing(this.following, liveInHall(this.membership, now), hears, now);
        this.following = state;
        follower.setWatching(watches, place);
        const word = follower.word();
        if (place !== undefined && hears !== undefined && word) this.tellHall({ kind: "storeWord", ...word });
        if (hears === false) this.askNextPeer(word?.revision);
    }

    /** Passes on what this host learnt from the store; the first of a hall's watchers does, the others stand by. */
    private relay(word: StoreWord): void {
        const now = performance.now();
        const { place } = planFollowing(this.following, liveInHall(this.membership, now), true, now);
        if (place === 0) this.tellHall({ kind: "storeWord", ...word });
    }

    private tellHall(message: PeerMessage): void {
        for (const name of liveInHall(this.membership, performance.now())) this.sendTo(name, message);
    }

    private askNextPeer(revision = -1): void {
        const others = this.live.filter(name => name !== this.host.cfg["host.name"]);
        this.askTurn += 1;
        const name = others[this.askTurn % Math.max(1, others.length)];
        if (name !== undefined) this.sendTo(name, { kind: "storeAsk", revision });
    }

    /** Whether this host has only just started: it beats as in a small hall then, so that large ones find each other soon. */
    private get isJoining(): boolean {
        return performance.now() - this.startedAt < JOINING_MS;
    }

    /** Where peers reach this host. */
    get address(): string {
        return this.mesh.at;
    }

    /** Names of the live hosts of this hall, in order. */
    get live(): readonly string[] {
        return liveHosts(this.membership, performance.now());
    }

    /** Addresses that the platform's host list names. */
    setListed(addresses: readonly string[]): void {
        this.membership = listHosts(this.membership, [...addresses, ...this.host.cfg["peers.seeds"]]);
    }

    /** Whether this host asks an endpoint for its load, as its owner. */
    owns(endpoint: string): boolean {
        return endpointOwner(endpoint, this.endpoints.values().length, this.live) === this.host.cfg["host.name"];
    }

    /** Tells all peers at once that this host is leaving. */
    leave(): void {
        this.membership = leave(this.membership);
        const { message } = this.nextHeartbeat();
        for (const member of this.membership.members.values()) this.send(member.address, message);
    }

    /** Tells all live peers of the version in force, at once; called when this host has a new one. */
    announce(): void {
        if (this.host.follower && this.live.length > MOST_ANNOUNCE) return;
        const { message } = this.nextHeartbeat();
        const now = performance.now();
        for (const member of this.membership.members.values()) {
            if (isAlive(this.membership, member, now)) this.send(member.address, message);
        }
    }

    /** The next heartbeat, and to whom it is due. */
    private nextHeartbeat(): { readonly message: PeerMessage; readonly to: readonly string[] } {
        const most = this.isJoining ? NEWS_WHILE_JOINING : NEWS_PER_HEARTBEAT;
        const { state, news, to } = heartbeat(this.membership, performance.now(), most);
        this.membership = state;
        return { message: { kind: "heartbeat", news, settings: this.host.spread.news() }, to };
    }

    private beat(): void {
        const { message, to } = this.nextHeartbeat();
        for (const address of to) this.send(address, message);
        if (!this.host.follower) this.host.spread.setWatching(watches(this.host.cfg["host.name"], this.live));
    }

    private send(address: string, message: PeerMessage): void {
        this.mesh.send(address, message);
    }

    private receive(from: PeerName, message: FrameMessage): void {
        if (!isPeerMessage(message)) {
            this.host.log.warn({ peer: from.name, message: message.kind }, "peer_message_refused");
            return;
        }
        const handler = this.handlers[message.kind] as (
            from: PeerName,
            message: FrameMessage,
        ) => void;
        handler(from, message);
    }

    private readonly handlers: Handlers = {
        heartbeat: (from, { news, settings }) => {
            this.membership = hear(this.membership, news, performance.now());
            const ask = this.host.spread.ask(settings);
            if (ask && this.mayAsk(settings.version)) this.send(from.address, { kind: "ask", ...ask });
        },
        ask: (from, ask) => {
            const given = this.host.spread.give(ask);
            if (given) this.send(from.address, { kind: "give", ...given });
        },
        give: (_from, given) => this.host.spread.take(given),
        held: (from, message) => this.hearShare(from, message),
        others: (from, message) => this.hearShare(from, message),
        question: (from, message) => this.hearShare(from, message),
        answer: (from, message) => this.hearShare(from, message),
        storeWord: (from, word) => {
            this.following = hearWatcher(this.following, from.name, word.hears, performance.now());
            const { follower } = this.host;
            if (follower?.hear(word)) {
                this.send(from.address, { kind: "storeAsk", revision: follower.word()?.revision ?? -1 });
            }
        },
        storeAsk: (from, { revision }) => {
            const state = this.host.follower?.state();
            if (state && state.revision > revision) this.send(from.address, { kind: "storeState", ...state });
        },
        storeState: (_from, state) => this.host.follower?.take(state),
    };

    /** Whether a version is asked for now: not again from every peer that tells of it. */
    private mayAsk(version: number): boolean {
        const now = performance.now();
        const asked = this.askedVersion;
        if (version <= asked.version && now - asked.at < ASK_AGAIN_MS) return false;
        this.askedVersion = { version, at: now };
        return true;
    }

    private get endpoints(): EndpointTable {
        return this.host.engines.view.endpoints;
    }

    private hearShare(from: PeerName, message: ShareMessage): void {
        this.follow(shareHear(this.share, from.name, message, this.host.engines.view, performance.now()));
    }

    /** Carries out what follows from a step of what hosts know of each other's streams. */
    private follow({ state, send, events }: ShareStep): void {
        this.share = state;
        for (const { to, message } of send) this.sendTo(to, message);
        this.host.engines.tell(events);
    }

    /** A round of telling, at once and not only when it is due: for news that must not wait, such as leaving. */
    tellNow(): void {
        this.round(0);
    }

    /** The round that is due: owners hear each time, other hosts more rarely. */
    private dueRound(): void {
        const every = tellEvery(this.live.length);
        this.round(every <= TELL_OWNERS_MS ? 0 : every);
    }

    private round(othersEveryMs: number): void {
        const { live } = this;
        this.host.plain.tell([{ kind: "hosts", count: Math.max(1, live.length) }]);
        this.follow(shareRound(this.share, this.endpoints, live, performance.now(), othersEveryMs));
    }

    private sendTo(name: string, message: PeerMessage): void {
        const member = this.membership.members.get(name);
        if (member) this.send(member.address, message);
    }

    /** Addresses and ages of all members, for operators. */
    status(): object {
        const now = performance.now();
        return [...this.membership.members.values()].map(member => ({
            name: member.name,
            hall: member.hall,
            address: member.address,
            alive: isAlive(this.membership, member, now),
            leaving: member.leaving,
        }));
    }
}
