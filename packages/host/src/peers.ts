/**
 * What this host exchanges with its peers: heartbeats, versions of the settings, and what each holds on shared endpoints.
 * The decisions are those of the package `hall`; this is the shell that sends, receives and keeps time.
 *
 * @module
 */
import {
    type Account,
    askAfter,
    createMembership,
    curveOf,
    EMPTY_ACCOUNT,
    give,
    hear,
    heartbeat,
    type Held,
    heldOf,
    isAlive,
    judge,
    leave,
    listHosts,
    liveHosts,
    type MemberNews,
    type Membership,
    newsOf,
    NOTHING_TOLD,
    othersFor,
    ownerOf,
    planTelling,
    type Question,
    type SettingsAsk,
    type SettingsGive,
    stretch,
    takeGiven,
    takeHeld,
    tellEvery,
    type Told,
    type VersionNews,
    watches,
} from "@drumpaddle/hall";
import { addCurve } from "@drumpaddle/policy";
import { type FrameMessage, type PeerError, PeerMesh, type PeerName } from "@drumpaddle/protocol";
import { Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { Host } from "./host.js";
import type { AskAction } from "./placement.js";
import { repeat } from "./repeat.js";

const News = Type.Object({
    name: Type.String(),
    hall: Type.String(),
    address: Type.String(),
    incarnation: Type.Number(),
    counter: Type.Number(),
    leaving: Type.Boolean(),
});
const HeldShape = Type.Object({
    endpoint: Type.String(),
    streams: Type.Integer({ minimum: 0 }),
    mean: Type.Array(Type.Number(), { minItems: 9, maxItems: 9 }),
    deviation: Type.Array(Type.Number(), { minItems: 9, maxItems: 9 }),
});
const Texts = Type.Record(Type.String(), Type.String());

/** Shape of each message; one that is not so is dropped and counted. */
const SHAPES = {
    heartbeat: Type.Object({
        news: Type.Array(News),
        settings: Type.Object({ version: Type.Integer(), hash: Type.String() }),
    }),
    ask: Type.Object({ have: Texts }),
    give: Type.Object({
        head: Type.Object({ version: Type.Integer(), parts: Texts, hash: Type.String() }),
        parts: Texts,
    }),
    held: Type.Object({ held: Type.Array(HeldShape) }),
    others: Type.Object({
        others: Type.Array(HeldShape),
        owned: Type.Array(Type.String()),
        leaving: Type.Array(Type.String()),
    }),
    question: Type.Object({
        job: Type.String(),
        held: HeldShape,
        stream: HeldShape,
        bounds: Type.Object({ room: Type.Number(), limit: Type.Number(), z: Type.Number() }),
    }),
    answer: Type.Object({ job: Type.String(), granted: Type.Boolean(), others: HeldShape }),
} as const;

/** Messages between hosts. */
export type PeerMessage =
    | { readonly kind: "heartbeat"; readonly news: readonly MemberNews[]; readonly settings: VersionNews }
    | { readonly kind: "ask" } & SettingsAsk
    | { readonly kind: "give" } & SettingsGive
    /** Told to the owner: what the sender holds on endpoints. */
    | { readonly kind: "held"; readonly held: readonly Held[] }
    /** Told by an owner: what others than the receiver hold, and which of its endpoints say that they are leaving. */
    | {
        readonly kind: "others";
        readonly others: readonly Held[];
        readonly owned: readonly string[];
        readonly leaving: readonly string[];
    }
    | QuestionMessage
    | AnswerMessage;

/** Asked of an owner before a request is sent to a crowded endpoint. */
interface QuestionMessage extends Question {
    readonly kind: "question";
    readonly job: string;
}

/** An owner's word, with what others than the asker hold on the endpoint. */
interface AnswerMessage {
    readonly kind: "answer";
    readonly job: string;
    readonly granted: boolean;
    readonly others: Held;
}

type Handlers = {
    readonly [K in PeerMessage["kind"]]: (from: PeerName, message: Extract<PeerMessage, { kind: K }>) => void;
};

/** This host's part in its hall. */
export class Peers {
    private membership: Membership;
    private account: Account = EMPTY_ACCOUNT;
    private told: Told = NOTHING_TOLD;

    private constructor(private readonly host: Host, private readonly mesh: PeerMesh, seeds: readonly string[]) {
        const { "host.name": name, "host.hall": hall } = host.cfg;
        this.membership = createMembership({ name, hall, address: mesh.at, incarnation: Date.now() }, seeds);
    }

    /** Starts to listen and to send heartbeats; ends with the host's signal. */
    static async start(host: Host): Promise<Peers> {
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
        this.host.engines.setAsker(action => this.ask(action));
        const every = cfg["control.heartbeat"];
        repeat(() => this.beat(), () => every * stretch(this.live.length), signal);
        repeat(() => this.tellHoldings(), () => tellEvery(this.live.length), signal);
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
        return ownerOf(`endpoint/${endpoint}`, this.live) === this.host.cfg["host.name"];
    }

    /** Tells all peers at once that this host is leaving. */
    leave(): void {
        this.membership = leave(this.membership);
        const message = this.heartbeatMessage();
        for (const member of this.membership.members.values()) this.send(member.address, message);
    }

    /** Tells all live peers of the version in force, at once; called when this host has a new one. */
    announce(): void {
        const message = this.heartbeatMessage();
        const now = performance.now();
        for (const member of this.membership.members.values()) {
            if (isAlive(this.membership, member, now)) this.send(member.address, message);
        }
    }

    private heartbeatMessage(): PeerMessage {
        const { state, news } = heartbeat(this.membership, performance.now());
        this.membership = state;
        return { kind: "heartbeat", news, settings: newsOf(this.host.feed.inForce) };
    }

    private beat(): void {
        const { state, to, news } = heartbeat(this.membership, performance.now());
        this.membership = state;
        const message: PeerMessage = { kind: "heartbeat", news, settings: newsOf(this.host.feed.inForce) };
        for (const address of to) this.send(address, message);
        // A host that has no settings yet asks the service itself, whoever watches.
        const noSettings = this.host.feed.inForce === undefined;
        this.host.feed.setWatching(noSettings || watches(this.host.cfg["host.name"], this.live));
    }

    private send(address: string, message: PeerMessage): void {
        this.mesh.send(address, message);
    }

    private receive(from: PeerName, message: FrameMessage): void {
        const shape = Object.hasOwn(SHAPES, message.kind) ? SHAPES[message.kind as PeerMessage["kind"]] : undefined;
        if (!shape || !Value.Check(shape, message)) {
            this.host.log.warn({ peer: from.name, message: message.kind }, "peer_message_refused");
            return;
        }
        const handler = this.handlers[message.kind as PeerMessage["kind"]] as (
            from: PeerName,
            message: FrameMessage,
        ) => void;
        handler(from, message);
    }

    private readonly handlers: Handlers = {
        heartbeat: (from, { news, settings }) => {
            this.membership = hear(this.membership, news, performance.now());
            const ask = askAfter(this.host.feed.inForce, settings);
            if (ask) this.send(from.address, { kind: "ask", ...ask });
        },
        ask: (from, ask) => {
            const given = give(this.host.feed.inForce, ask);
            if (given) this.send(from.address, { kind: "give", ...given });
        },
        give: (_from, given) => {
            this.host.feed.offer(takeGiven(this.host.feed.inForce, given), "peer");
        },
        held: (from, { held }) => {
            this.account = takeHeld(this.account, from.name, held, performance.now());
        },
        others: (_from, { others, owned, leaving }) => {
            for (const held of others) this.takeOthers(held.endpoint, held.streams, held);
            for (const endpoint of owned) {
                this.host.engines.setLeaving(endpoint, "endpoint", leaving.includes(endpoint));
            }
        },
        question: (from, question) => this.judge(from, question),
        answer: (_from, { job, granted, others }) => {
            this.host.engines.answer(job, granted, { streams: others.streams, curve: curveOf(others) });
        },
    };

    /** As an owner: judges a question by the account, with this host's own streams as they are now. */
    private judge(from: PeerName, { job, held, stream, bounds }: QuestionMessage): void {
        const now = performance.now();
        const { endpoint } = held;
        const self = this.host.cfg["host.name"];
        const own = this.host.engines.view.endpoints.get(endpoint);
        if (own) this.account = takeHeld(this.account, self, [heldOf(endpoint, own.streams.size, own.curve)], now);
        const { account, granted } = judge(this.account, from.name, { held, stream, bounds }, now);
        this.account = account;
        this.host.engines.setOthers(endpoint, othersFor(account, endpoint, self, now));
        const others = othersFor(account, endpoint, from.name, now);
        this.send(from.address, {
            kind: "answer",
            job,
            granted,
            others: heldOf(endpoint, others.streams, others.curve),
        });
    }

    /** Carries a question to the owner; without one the decision falls by time-out to this host alone. */
    private ask({ job, endpoint, curve, bounds }: AskAction): void {
        const owner = ownerOf(`endpoint/${endpoint}`, this.live);
        const view = this.host.engines.view.endpoints.get(endpoint);
        if (owner === undefined || !view) return;
        const held = heldOf(endpoint, view.streams.size - 1, addCurve(view.curve, curve, -1));
        this.sendTo(owner, { kind: "question", job, held, stream: heldOf(endpoint, 1, curve), bounds });
    }

    private takeOthers(endpoint: string, streams: number, held: Held): void {
        this.host.engines.setOthers(endpoint, { streams, curve: curveOf(held) });
    }

    /** As an owner: tells all at once, not only in the next round. For news that must not wait, such as leaving. */
    tellNow(): void {
        this.tellHoldings();
    }

    /** Tells owners what this host holds, and, as an owner, tells holders what the others hold. */
    private tellHoldings(): void {
        const now = performance.now();
        const self = this.host.cfg["host.name"];
        const live = this.live;
        this.host.engines.setHosts(Math.max(1, live.length));
        const views = [...this.host.engines.view.endpoints.values()];
        const holdings = views.map(view => heldOf(view.cfg.id, view.streams.size, view.curve));
        const { state, toSay } = planTelling(
            this.told,
            holdings,
            endpoint => ownerOf(`endpoint/${endpoint}`, live),
            now,
        );
        this.told = state;
        for (const [owner, held] of toSay) {
            if (owner === self) this.account = takeHeld(this.account, self, held, now);
            else this.sendTo(owner, { kind: "held", held });
        }
        const owned = views.map(view => view.cfg.id).filter(endpoint => ownerOf(`endpoint/${endpoint}`, live) === self);
        this.host.engines.setOwned(owned);
        this.answerHolders(owned, live, now);
    }

    /** Every live host hears of the others' streams: one that holds nothing yet must not take an endpoint for empty. */
    private answerHolders(owned: readonly string[], live: readonly string[], now: number): void {
        const self = this.host.cfg["host.name"];
        const views = this.host.engines.view.endpoints;
        const leaving = owned.filter(endpoint => views.get(endpoint)?.leavingBy.includes("endpoint"));
        for (const name of live) {
            const others = owned.map(endpoint => {
                const { streams, curve } = othersFor(this.account, endpoint, name, now);
                return heldOf(endpoint, streams, curve);
            });
            if (others.length === 0) continue;
            if (name === self) { for (const item of others) this.takeOthers(item.endpoint, item.streams, item); }
            else this.sendTo(name, { kind: "others", others, owned, leaving });
        }
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
