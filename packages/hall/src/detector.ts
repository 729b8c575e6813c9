/**
 * How hosts find each other and notice who is gone, in a time and at a cost that do not grow with their number (SWIM).
 *
 * Each round a host probes one of its three successors in its hall by name, and from time to time a host of another hall
 * and one that it takes for dead. Where no answer comes within a round, two others are asked to try; where none comes
 * within a second one, the host is suspected, and may deny it (see `membership.ts`). A host whose own round is late judges
 * nobody. News travels by gossip: at once to a few hosts that pass it on, and with every probe and answer.
 *
 *     a --probe--> b          a --probe--> b (silent)
 *     a <---ack--- b          a --check--> c --probe--> b
 *                             a <--vouch-- c <---ack--- b
 *
 *     joining, and from time to time (views differ):
 *     a --sync (digest)--> b, a <--sync (whom b knows)-- b, a --members that b lacks--> b, and the same the other way
 *
 * Pure: every function returns the next state and what is to be sent. Times are milliseconds.
 *
 * @module
 */
import {
    aliveMembers,
    createMembership,
    digestOf,
    expire,
    hear,
    hearStamp,
    type HostInfo,
    leave,
    lifeOf,
    livesKnown,
    type Member,
    type MemberNews,
    type Membership,
    newsOfMember,
    newsOfSelf,
    type SelfStamp,
    stampOfSelf,
    Status,
    suspect,
    takeRumours,
    unheardCandidates,
} from "./membership.js";

/** Messages of the detector. */
export type DetectorMessage =
    /** Asks for a sign of life. */
    | { readonly kind: "probe" } & SignOfLife
    | { readonly kind: "ack" } & SignOfLife
    /** Asks to probe a host that does not answer the sender. */
    | { readonly kind: "check"; readonly name: string }
    /** Says that a host answered. */
    | { readonly kind: "vouch"; readonly name: string }
    | { readonly kind: "gossip"; readonly news: readonly MemberNews[] }
    /** Compares views: the receiver answers where its digest is another. */
    | SyncMessage
    | { readonly kind: "members"; readonly news: readonly MemberNews[] };

/** What a probe and its answer carry. */
export interface SignOfLife {
    readonly self: SelfStamp;
    /** Absent where there is none. */
    readonly news?: readonly MemberNews[];
    /** Address of the host for which a third one asks. */
    readonly for?: string;
}

/** What a host says of its view when it compares it with another's. */
export interface SyncMessage {
    readonly kind: "sync";
    readonly self: MemberNews;
    readonly digest: number;
    /** Lives that it knows of, by number; absent where it only asks whether views differ. */
    readonly known?: readonly number[];
    /** How many more messages may follow from this one, so that views that stay different end the exchange. */
    readonly left: number;
}

/** A message with the address that it goes to. */
export interface DetectorSend {
    readonly to: string;
    readonly message: DetectorMessage;
}

/** What a step of the detector is told. */
export interface DetectorEnv {
    readonly now: number;
    /** The pause between two rounds. */
    readonly everyMs: number;
    /** Uniform in [0, 1). */
    readonly random: () => number;
}

/** The state of a host's detector. */
export interface Detector {
    readonly membership: Membership;
    /** Counts rounds. */
    readonly turn: number;
    /** When the last round was. */
    readonly tickedAt: number | undefined;
    /** When gossip was last sent. */
    readonly gossipedAt: number;
    /** Hosts that owe an answer, and for how many rounds. */
    readonly waiting: ReadonlyMap<string, number>;
}

/** What follows from a step. */
export interface DetectorStep {
    readonly state: Detector;
    readonly send: readonly DetectorSend[];
}

/** Each host is probed by this many others of its hall, in turn. */
const SUCCESSORS = 3;
/** Who does not answer is tried by this many others. */
const CHECKERS = 2;
/** Rounds between two probes of another hall, and between two of a host that is taken for dead. */
const ELSEWHERE_EVERY = 4;
const DEAD_EVERY = 4;
/** Gossip goes to this many hosts, all but one of the own hall where it has as many. */
const FANOUT = 4;
/** A message carries news of this many hosts at most: 2.4 KB at 150 bytes each. */
const MOST_NEWS = 16;
/** What a host passes on at once waits for this long, so that news of one moment travels together. */
const GOSSIP_PAUSE_MS = 50;
/** A comparison tells of this many hosts at a time (10 KB): those of the other's hall first. */
const MOST_MEMBERS = 64;
/** A comparison takes this many messages each way at most, so that 400 hosts are told of in one. */
const SYNC_MESSAGES = 12;
/** Rounds between two comparisons of views; while a host starts they come each round. */
const SYNC_EVERY = 20;
const JOINING_ROUNDS = 12;

/** A detector that knows only its own host. */
export function createDetector(self: HostInfo, candidates: readonly string[]): Detector {
    return {
        membership: createMembership(self, candidates),
        turn: 0,
        tickedAt: undefined,
        gossipedAt: -Infinity,
        waiting: new Map(),
    };
}

/**
 * A round: judges those that owe an answer, probes the next, passes on news.
 *
 * @example
 * ```ts
 * const { state: next, send } = tick(state, { now, everyMs: 250, random });
 * ```
 */
export function tick(before: Detector, env: DetectorEnv): DetectorStep {
    const { now, everyMs } = env;
    const heldUp = before.tickedAt !== undefined && now - before.tickedAt > 2 * everyMs;
    const turn = before.turn + 1;
    const judged = judge({ ...before, turn, tickedAt: now }, heldUp ? new Map() : before.waiting, env);
    const state = { ...judged.state, membership: expire(judged.state.membership, now) };
    const probed = probeNext(state, env);
    const gossiped = gossip(probed.state, env);
    return {
        state: gossiped.state,
        send: [...judged.send, ...probed.send, ...gossiped.send, ...compare(gossiped.state, env)],
    };
}

/** Suspects who owes an answer for two rounds, and has others try who owes it for one. */
function judge(before: Detector, waiting: ReadonlyMap<string, number>, env: DetectorEnv): DetectorStep {
    let { membership } = before;
    const next = new Map<string, number>();
    const send: DetectorSend[] = [];
    for (const [name, rounds] of waiting) {
        const member = membership.members.get(name);
        if (!member) continue;
        if (rounds >= 1) {
            membership = suspect(membership, name, env.now);
            send.push(probeOf(membership, membership.members.get(name)!, [], env.now));
            continue;
        }
        next.set(name, rounds + 1);
        const others = aliveMembers(membership, env.now)
            .filter(other => other.hall === member.hall && other.name !== name);
        const checkers = pickSome(others, CHECKERS, env.random);
        send.push(
            probeOf(membership, member, [], env.now),
            ...checkers.map(({ address }): DetectorSend => ({ to: address, message: { kind: "check", name } })),
        );
    }
    return { state: { ...before, membership, waiting: next }, send };
}

function probeNext(state: Detector, env: DetectorEnv): DetectorStep {
    const { now, random } = env;
    const { self, members } = state.membership;
    const alive = aliveMembers(state.membership, now);
    const inHall = alive.filter(member => member.hall === self.hall);
    const elsewhere = alive.filter(member => member.hall !== self.hall);
    const dead = [...members.values()].filter(member => member.status === Status.Dead);
    const targets = [
        successor(inHall, self.name, state.turn),
        state.turn % ELSEWHERE_EVERY === 0 ? pick(elsewhere, random) : undefined,
    ].filter(member => member !== undefined);
    const lost = state.turn % DEAD_EVERY === 0 ? pick(dead, random) : undefined;
    const probes = lost ? [...targets, lost] : targets;
    const { state: membership, news } = takeRumours(state.membership, probes.length > 0 ? MOST_NEWS : 0, now);
    const waiting = new Map(state.waiting);
    for (const { name } of targets) if (!waiting.has(name)) waiting.set(name, 0);
    const send = probes.map(member => probeOf(membership, member, news, now));
    return { state: { ...state, membership, waiting }, send };
}

/** A probe tells a host that is not taken for alive so, that it may deny it. */
function probeOf(
    membership: Membership,
    member: Member,
    rumours: readonly MemberNews[],
    now: number,
): { readonly to: string; readonly message: Extract<DetectorMessage, { kind: "probe" }> } {
    const doubt = member.status === Status.Alive ? [] : [newsOfMember(member, now)];
    return {
        to: member.address,
        message: { kind: "probe", self: stampOfSelf(membership), news: [...doubt, ...rumours] },
    };
}

/** The next of a host's successors by name, in turn. */
function successor(inHall: readonly Member[], self: string, turn: number): Member | undefined {
    const sorted = inHall.toSorted((a, b) => a.name < b.name ? -1 : 1);
    const first = sorted.findIndex(({ name }) => name > self);
    const start = first < 0 ? 0 : first;
    const count = Math.min(SUCCESSORS, sorted.length);
    return count === 0 ? undefined : sorted[(start + turn % count) % sorted.length];
}

/** Passes on what is new. */
function gossip(state: Detector, { now, random }: DetectorEnv): DetectorStep {
    if (state.membership.rumours.size === 0) return { state, send: [] };
    const { state: membership, news } = takeRumours(state.membership, MOST_NEWS, now);
    const { self } = membership;
    const alive = aliveMembers(membership, now);
    const near = pickSome(alive.filter(member => member.hall === self.hall), FANOUT - 1, random);
    const far = pickSome(alive.filter(member => member.hall !== self.hall), FANOUT - near.length, random);
    const targets = [...near, ...far];
    const send = targets.map(({ address }): DetectorSend => ({ to: address, message: { kind: "gossip", news } }));
    return { state: { ...state, membership, gossipedAt: now }, send };
}

/** Compares views with another host, and looks for hosts that were not heard of yet. */
function compare({ membership, turn }: Detector, { now, random }: DetectorEnv): readonly DetectorSend[] {
    const unheard = unheardCandidates(membership);
    const isJoining = turn <= JOINING_ROUNDS;
    const partner = isJoining || turn % SYNC_EVERY === 0 ? pick(aliveMembers(membership, now), random) : undefined;
    const targets = [pick(unheard, random), partner?.address].filter(address => address !== undefined);
    return targets.map(to => ({ to, message: syncOf(membership, now, SYNC_MESSAGES, isJoining) }));
}

function syncOf(membership: Membership, now: number, left: number, whole: boolean): SyncMessage {
    const known = whole ? { known: livesKnown(membership, now) } : {};
    return { kind: "sync", self: newsOfSelf(membership), digest: digestOf(membership, now), left, ...known };
}

/** This host says that it is leaving, at once. */
export function leaveHall(state: Detector, env: DetectorEnv): DetectorStep {
    return gossip({ ...state, membership: leave(state.membership) }, env);
}

type Handlers = {
    readonly [K in DetectorMessage["kind"]]: (
        state: Detector,
        from: string,
        message: Extract<DetectorMessage, { kind: K }>,
        env: DetectorEnv,
    ) => DetectorStep;
};

const HANDLERS: Handlers = {
    probe: (state, from, { self, news = [], for: asker }, env) => {
        const heard = hearFrom(state, news, env, self);
        const { state: membership, news: rumours } = takeRumours(heard.membership, MOST_NEWS, env.now);
        const told = [...correction(membership, self, env.now), ...rumours];
        const behalf = asker === undefined ? {} : { for: asker };
        const ack: DetectorMessage = { kind: "ack", self: stampOfSelf(membership), ...someNews(told), ...behalf };
        const send: DetectorSend[] = [{ to: from, message: ack }];
        // One that ran on as this host started again is named by nobody: what it asks could not be answered until views are compared.
        if (isUnknown(membership, self)) {
            send.push({ to: from, message: syncOf(membership, env.now, SYNC_MESSAGES, true) });
        }
        return { state: { ...heard, membership }, send };
    },
    ack: (state, _from, { self, news = [], for: asker }, env) => {
        const heard = hearFrom(state, news, env, self);
        const { name } = self;
        const send: readonly DetectorSend[] = asker === undefined
            ? []
            : [{ to: asker, message: { kind: "vouch", name } }];
        return { state: answered(heard, name), send };
    },
    check: (state, from, { name }, { now }) => {
        const member = state.membership.members.get(name);
        if (!member) return { state, send: [] };
        const { to, message } = probeOf(state.membership, member, [], now);
        return { state, send: [{ to, message: { ...message, for: from } }] };
    },
    vouch: (state, _from, { name }) => ({ state: answered(state, name), send: [] }),
    gossip: (state, _from, { news }, env) => ({ state: hearFrom(state, news, env), send: [] }),
    sync: (state, from, sync, env) => {
        const { self, digest, known, left } = sync;
        const heard = hearFrom(state, [self], env);
        const { membership } = heard;
        if (digestOf(membership, env.now) === digest || left <= 0) return { state: heard, send: [] };
        const reply = syncOf(membership, env.now, left - 1, true);
        if (!known) return { state: heard, send: [{ to: from, message: reply }] };
        const news = [...correction(membership, self, env.now), ...lackedBy(membership, self, new Set(known), env)];
        const own = new Set(reply.known);
        const lacks = known.some(life => !own.has(life)) || news.length >= MOST_MEMBERS;
        const told: DetectorMessage[] = news.length > 0 ? [{ kind: "members", news }] : [];
        const messages = lacks ? [...told, reply] : told;
        return { state: heard, send: messages.map(message => ({ to: from, message })) };
    },
    members: (state, _from, { news }, { now }) => ({
        state: { ...state, membership: hear(state.membership, news, now, false) },
        send: [],
    }),
};

/**
 * Takes in a message of another host.
 *
 * @param from The address that reaches the sender.
 *
 * @example
 * ```ts
 * const { state: next, send } = receive(state, "10.0.0.2:7080", message, { now, everyMs: 250, random });
 * ```
 */
export function receive(state: Detector, from: string, message: DetectorMessage, env: DetectorEnv): DetectorStep {
    const handler = HANDLERS[message.kind] as Handlers["probe"];
    const step = handler(state, from, message as Extract<DetectorMessage, { kind: "probe" }>, env);
    if (env.now - step.state.gossipedAt < GOSSIP_PAUSE_MS) return step;
    const passedOn = gossip(step.state, env);
    return { state: passedOn.state, send: [...step.send, ...passedOn.send] };
}

function someNews(news: readonly MemberNews[]): { readonly news?: readonly MemberNews[] } {
    return news.length > 0 ? { news } : {};
}

function hearFrom(state: Detector, news: readonly MemberNews[], { now }: DetectorEnv, sender?: SelfStamp): Detector {
    const heard = hear(state.membership, news, now);
    const membership = sender ? hearStamp(heard, sender, now) : heard;
    return membership === state.membership ? state : { ...state, membership };
}

function answered(state: Detector, name: string): Detector {
    if (!state.waiting.has(name)) return state;
    const waiting = new Map(state.waiting);
    waiting.delete(name);
    return { ...state, waiting };
}

/** Whether the life of a sender is not known here. */
function isUnknown({ members }: Membership, { name, start }: SelfStamp): boolean {
    return members.get(name)?.start !== start;
}

/** What is believed here of the sender, where it must deny it to be relied on again. */
function correction(membership: Membership, sender: SelfStamp, now: number): readonly MemberNews[] {
    const known = membership.members.get(sender.name);
    if (!known || known.start === sender.start && known.status === Status.Alive) return [];
    return [newsOfMember(known, now)];
}

/** Hosts that another lacks: those of its own hall first, then others, in an order drawn anew each time. */
function lackedBy(
    membership: Membership,
    other: MemberNews,
    known: ReadonlySet<number>,
    { now, random }: DetectorEnv,
): readonly MemberNews[] {
    const lacking = aliveMembers(membership, now).filter(member =>
        member.name !== other.name && !known.has(lifeOf(member))
    );
    const near = shuffle(lacking.filter(({ hall }) => hall === other.hall), random);
    const far = shuffle(lacking.filter(({ hall }) => hall !== other.hall), random);
    return [...near, ...far].slice(0, MOST_MEMBERS).map(member => newsOfMember(member, now));
}

function pick<T>(items: readonly T[], random: () => number): T | undefined {
    return items[Math.floor(random() * items.length)];
}

function pickSome<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
    return items.length <= count ? items : shuffle(items, random).slice(0, count);
}

function shuffle<T>(items: readonly T[], random: () => number): readonly T[] {
    return items.map(item => ({ item, at: random() })).sort((a, b) => a.at - b.at).map(({ item }) => item);
}
