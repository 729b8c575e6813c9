/**
 * Discovery and failure detection of hosts by the SWIM protocol: the detection time and the cost per host do not grow with the
 * number of hosts.
 *
 * In each round a host probes one of its three successors by name in its hall, and every few rounds a random host of another hall
 * and one that it considers dead. If no answer comes within a round, the host asks two others to probe the target as well. If none
 * comes within a second round, it suspects the target, which may refute the suspicion (see `membership.ts`). A host whose own round
 * is late suspects nobody. News spreads by gossip: at once to a few hosts, which pass it on, and with every probe and answer.
 *
 *     a --probe--> b          a --probe--> b (silent)
 *     a <---ack--- b          a --check--> c --probe--> b
 *                             a <--vouch-- c <---ack--- b
 *
 *     while joining, and every few seconds later, if the views of a and b differ:
 *     a --sync (digest)--> b, a <--sync (hosts that b knows)-- b, a --members that b lacks--> b, and the same the other way
 *
 * All functions are pure: they return the next state and the messages to send. Times are in milliseconds.
 *
 * @module
 */
import {
    aliveInstanceHashes,
    aliveMembers,
    applyNews,
    applyStamp,
    createMembership,
    digestOfAlive,
    expire,
    type HostInfo,
    instanceHash,
    markLeaving,
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
    unknownCandidates,
} from "./membership.js";

/** Messages between failure detectors. */
export type DetectorMessage =
    /** Asks the receiver for an `ack`. */
    | { readonly kind: "probe" } & ProbeContent
    /** Answers a probe. */
    | { readonly kind: "ack" } & ProbeContent
    /** Asks the receiver to probe a host that does not answer the sender. */
    | { readonly kind: "check"; readonly name: string }
    /** Tells the sender of a `check` that the host answered. */
    | { readonly kind: "vouch"; readonly name: string }
    | { readonly kind: "gossip"; readonly news: readonly MemberNews[] }
    /** Compares views: the receiver answers if its digest differs. */
    | SyncMessage
    /** Tells the receiver of hosts that it does not know. */
    | { readonly kind: "members"; readonly news: readonly MemberNews[] };

/** Content of a probe and of its answer. */
export interface ProbeContent {
    readonly self: SelfStamp;
    /** Absent if there is none. */
    readonly news?: readonly MemberNews[];
    /** Address of the host that asked the prober to send this probe; absent if the prober acts for itself. */
    readonly for?: string;
}

/** A summary of the sender's view of the membership, which the receiver compares with its own. */
export interface SyncMessage {
    readonly kind: "sync";
    readonly self: MemberNews;
    readonly digest: number;
    /** Hashes of the host instances that the sender considers alive; absent if it only asks whether the views differ. */
    readonly known?: readonly number[];
    /** How many more messages may follow in this exchange. It ends the exchange also if the views stay different. */
    readonly left: number;
}

/** A message and the address of its receiver. */
export interface AddressedDetectorMessage {
    readonly to: string;
    readonly message: DetectorMessage;
}

/** Inputs that every step of the detector takes from its environment. */
export interface DetectorEnv {
    readonly now: number;
    /** Interval between two rounds. */
    readonly intervalMs: number;
    /** Returns random numbers, uniform in [0, 1). */
    readonly random: () => number;
}

/** The state of a host's detector. */
export interface Detector {
    readonly membership: Membership;
    /** Number of rounds so far. */
    readonly round: number;
    /** When the last round ran; undefined before the first. */
    readonly lastRoundAt: number | undefined;
    /** When gossip was last sent. */
    readonly lastGossipAt: number;
    /** Probed hosts that have not answered yet, with the number of rounds since. */
    readonly unanswered: ReadonlyMap<string, number>;
}

/** Result of a step: the next state and the messages to send. */
export interface DetectorStep {
    readonly state: Detector;
    readonly send: readonly AddressedDetectorMessage[];
}

/** A host probes this many successors in its hall in turn, so that each host is probed by as many others. */
const PROBED_SUCCESSORS = 3;
/** How many other hosts are asked to probe a host that does not answer. */
const INDIRECT_PROBERS = 2;
/** Rounds between two probes of other halls, and between two probes of hosts considered dead. */
const REMOTE_PROBE_INTERVAL = 4;
const DEAD_PROBE_INTERVAL = 4;
/** Gossip goes to this many hosts: all but one in the sender's hall, if the hall has enough, the rest in other halls. */
const GOSSIP_FANOUT = 4;
/** A message carries news of at most this many hosts: 2.4 KB at 150 bytes each. */
const MAX_NEWS_PER_MESSAGE = 16;
/** Least time between two gossip messages outside of rounds, so that news that arrives together is passed on together. */
const MIN_GOSSIP_INTERVAL_MS = 50;
/** A `members` message tells of at most this many hosts (10 KB). */
const MAX_MEMBERS_PER_SYNC = 64;
/** An exchange that starts with a sync takes at most this many messages each way: enough to tell of 400 hosts. */
const MAX_SYNC_MESSAGES = 12;
/** Rounds between two comparisons of views. In its first {@link JOINING_ROUNDS} a host compares in each round. */
const SYNC_INTERVAL = 20;
const JOINING_ROUNDS = 12;

/**
 * Creates a detector that knows only its own host.
 *
 * @param candidates Addresses at which it looks for other hosts.
 */
export function createDetector(self: HostInfo, candidates: readonly string[]): Detector {
    return {
        membership: createMembership(self, candidates),
        round: 0,
        lastRoundAt: undefined,
        lastGossipAt: -Infinity,
        unanswered: new Map(),
    };
}

/**
 * Runs a round: suspects hosts that did not answer, sends the next probes, gossips, and compares views when that is due.
 *
 * @example
 * ```ts
 * const { state: next, send } = tickDetector(state, { now, intervalMs: 250, random });
 * ```
 */
export function tickDetector(previous: Detector, env: DetectorEnv): DetectorStep {
    const { now, intervalMs } = env;
    const isLate = previous.lastRoundAt !== undefined && now - previous.lastRoundAt > 2 * intervalMs;
    const round = previous.round + 1;
    const checked = checkUnanswered(
        { ...previous, round, lastRoundAt: now },
        isLate ? new Map() : previous.unanswered,
        env,
    );
    const state = { ...checked.state, membership: expire(checked.state.membership, now) };
    const probed = probeNext(state, env);
    const gossiped = gossip(probed.state, env);
    return {
        state: gossiped.state,
        send: [...checked.send, ...probed.send, ...gossiped.send, ...syncViews(gossiped.state, env)],
    };
}

/** Suspects hosts that have not answered for two rounds, and asks others to probe those that have not answered for one. */
function checkUnanswered(previous: Detector, waiting: ReadonlyMap<string, number>, env: DetectorEnv): DetectorStep {
    let { membership } = previous;
    const next = new Map<string, number>();
    const send: AddressedDetectorMessage[] = [];
    for (const [name, rounds] of waiting) {
        const member = membership.members.get(name);
        if (!member) continue;
        if (rounds >= 1) {
            membership = suspect(membership, name, env.now);
            send.push(probeMessageFor(membership, membership.members.get(name)!, [], env.now));
            continue;
        }
        next.set(name, rounds + 1);
        const others = aliveMembers(membership, env.now)
            .filter(other => other.hall === member.hall && other.name !== name);
        const probers = pickSome(others, INDIRECT_PROBERS, env.random);
        send.push(
            probeMessageFor(membership, member, [], env.now),
            ...probers.map(({ address }): AddressedDetectorMessage => ({
                to: address,
                message: { kind: "check", name },
            })),
        );
    }
    return { state: { ...previous, membership, unanswered: next }, send };
}

function probeNext(state: Detector, env: DetectorEnv): DetectorStep {
    const { now, random } = env;
    const { self, members } = state.membership;
    const alive = aliveMembers(state.membership, now);
    const inHall = alive.filter(member => member.hall === self.hall);
    const inOtherHalls = alive.filter(member => member.hall !== self.hall);
    const dead = [...members.values()].filter(member => member.status === Status.Dead);
    const targets = [
        nextSuccessor(inHall, self.name, state.round),
        state.round % REMOTE_PROBE_INTERVAL === 0 ? pickOne(inOtherHalls, random) : undefined,
    ].filter(member => member !== undefined);
    const deadTarget = state.round % DEAD_PROBE_INTERVAL === 0 ? pickOne(dead, random) : undefined;
    const probes = deadTarget ? [...targets, deadTarget] : targets;
    const { state: membership, news } = takeRumours(
        state.membership,
        probes.length > 0 ? MAX_NEWS_PER_MESSAGE : 0,
        now,
    );
    const waiting = new Map(state.unanswered);
    for (const { name } of targets) if (!waiting.has(name)) waiting.set(name, 0);
    const send = probes.map(member => probeMessageFor(membership, member, news, now));
    return { state: { ...state, membership, unanswered: waiting }, send };
}

/** Builds a probe. A host that is suspected or considered dead is told so, so that it can refute it. */
function probeMessageFor(
    membership: Membership,
    member: Member,
    rumours: readonly MemberNews[],
    now: number,
): { readonly to: string; readonly message: Extract<DetectorMessage, { kind: "probe" }> } {
    const belief = member.status === Status.Alive ? [] : [newsOfMember(member, now)];
    return {
        to: member.address,
        message: { kind: "probe", self: stampOfSelf(membership), news: [...belief, ...rumours] },
    };
}

/** Returns the successor to probe in this round: the next few hosts by name take turns. */
function nextSuccessor(inHall: readonly Member[], self: string, turn: number): Member | undefined {
    const sorted = inHall.toSorted((a, b) => a.name < b.name ? -1 : 1);
    const first = sorted.findIndex(({ name }) => name > self);
    const start = first < 0 ? 0 : first;
    const count = Math.min(PROBED_SUCCESSORS, sorted.length);
    return count === 0 ? undefined : sorted[(start + turn % count) % sorted.length];
}

/** Sends pending news to a few random hosts. */
function gossip(state: Detector, { now, random }: DetectorEnv): DetectorStep {
    if (state.membership.rumours.size === 0) return { state, send: [] };
    const { state: membership, news } = takeRumours(state.membership, MAX_NEWS_PER_MESSAGE, now);
    const { self } = membership;
    const alive = aliveMembers(membership, now);
    const inHall = pickSome(alive.filter(member => member.hall === self.hall), GOSSIP_FANOUT - 1, random);
    const inOtherHalls = pickSome(
        alive.filter(member => member.hall !== self.hall),
        GOSSIP_FANOUT - inHall.length,
        random,
    );
    const targets = [...inHall, ...inOtherHalls];
    const send = targets.map(({ address }): AddressedDetectorMessage => ({
        to: address,
        message: { kind: "gossip", news },
    }));
    return { state: { ...state, membership, lastGossipAt: now }, send };
}

/** Compares views with a random host when that is due, and contacts a candidate address at which no host is known. */
function syncViews(
    { membership, round: turn }: Detector,
    { now, random }: DetectorEnv,
): readonly AddressedDetectorMessage[] {
    const unknownAddresses = unknownCandidates(membership);
    const isJoining = turn <= JOINING_ROUNDS;
    const partner = isJoining || turn % SYNC_INTERVAL === 0
        ? pickOne(aliveMembers(membership, now), random)
        : undefined;
    const targets = [pickOne(unknownAddresses, random), partner?.address].filter(address => address !== undefined);
    return targets.map(to => ({ to, message: syncMessage(membership, now, MAX_SYNC_MESSAGES, isJoining) }));
}

function syncMessage(membership: Membership, now: number, left: number, listsInstances: boolean): SyncMessage {
    const known = listsInstances ? { known: aliveInstanceHashes(membership, now) } : {};
    return { kind: "sync", self: newsOfSelf(membership), digest: digestOfAlive(membership, now), left, ...known };
}

/** Announces at once that this host is leaving. */
export function announceLeaving(state: Detector, env: DetectorEnv): DetectorStep {
    return gossip({ ...state, membership: markLeaving(state.membership) }, env);
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
    probe: (state, from, { self, news = [], for: requester }, env) => {
        const updated = applyMessageNews(state, news, env, self);
        const { state: membership, news: rumours } = takeRumours(updated.membership, MAX_NEWS_PER_MESSAGE, env.now);
        const answerNews = [...newsToRefute(membership, self, env.now), ...rumours];
        const forRequester = requester === undefined ? {} : { for: requester };
        const ack: DetectorMessage = {
            kind: "ack",
            self: stampOfSelf(membership),
            ...optionalNews(answerNews),
            ...forRequester,
        };
        const send: AddressedDetectorMessage[] = [{ to: from, message: ack }];
        // If this host has restarted while the sender kept running, no peer may have told it of the sender yet. Comparing views at once
        // makes the two know each other: until then this host could not answer the sender's other messages.
        if (isUnknownInstance(membership, self)) {
            send.push({ to: from, message: syncMessage(membership, env.now, MAX_SYNC_MESSAGES, true) });
        }
        return { state: { ...updated, membership }, send };
    },
    ack: (state, _from, { self, news = [], for: requester }, env) => {
        const updated = applyMessageNews(state, news, env, self);
        const { name } = self;
        const send: readonly AddressedDetectorMessage[] = requester === undefined
            ? []
            : [{ to: requester, message: { kind: "vouch", name } }];
        return { state: markAnswered(updated, name), send };
    },
    check: (state, from, { name }, { now }) => {
        const member = state.membership.members.get(name);
        if (!member) return { state, send: [] };
        const { to, message } = probeMessageFor(state.membership, member, [], now);
        return { state, send: [{ to, message: { ...message, for: from } }] };
    },
    vouch: (state, _from, { name }) => ({ state: markAnswered(state, name), send: [] }),
    gossip: (state, _from, { news }, env) => ({ state: applyMessageNews(state, news, env), send: [] }),
    sync: (state, from, sync, env) => {
        const { self, digest, known, left } = sync;
        const updated = applyMessageNews(state, [self], env);
        const { membership } = updated;
        if (digestOfAlive(membership, env.now) === digest || left <= 0) return { state: updated, send: [] };
        const reply = syncMessage(membership, env.now, left - 1, true);
        if (!known) return { state: updated, send: [{ to: from, message: reply }] };
        const news = [
            ...newsToRefute(membership, self, env.now),
            ...membersUnknownTo(membership, self, new Set(known), env),
        ];
        const own = new Set(reply.known);
        const lacksSome = known.some(life => !own.has(life)) || news.length >= MAX_MEMBERS_PER_SYNC;
        const memberMessages: DetectorMessage[] = news.length > 0 ? [{ kind: "members", news }] : [];
        const messages = lacksSome ? [...memberMessages, reply] : memberMessages;
        return { state: updated, send: messages.map(message => ({ to: from, message })) };
    },
    members: (state, _from, { news }, { now }) => ({
        state: { ...state, membership: applyNews(state.membership, news, now, false) },
        send: [],
    }),
};

/**
 * Handles a message of another host.
 *
 * @param from Address at which the sender can be reached.
 *
 * @example
 * ```ts
 * const { state: next, send } = receiveDetectorMessage(state, "10.0.0.2:7080", message, { now, intervalMs: 250, random });
 * ```
 */
export function receiveDetectorMessage(
    state: Detector,
    from: string,
    message: DetectorMessage,
    env: DetectorEnv,
): DetectorStep {
    const handler = HANDLERS[message.kind] as Handlers["probe"];
    const step = handler(state, from, message as Extract<DetectorMessage, { kind: "probe" }>, env);
    if (env.now - step.state.lastGossipAt < MIN_GOSSIP_INTERVAL_MS) return step;
    const passedOn = gossip(step.state, env);
    return { state: passedOn.state, send: [...step.send, ...passedOn.send] };
}

function optionalNews(news: readonly MemberNews[]): { readonly news?: readonly MemberNews[] } {
    return news.length > 0 ? { news } : {};
}

function applyMessageNews(
    state: Detector,
    news: readonly MemberNews[],
    { now }: DetectorEnv,
    sender?: SelfStamp,
): Detector {
    const updated = applyNews(state.membership, news, now);
    const membership = sender ? applyStamp(updated, sender, now) : updated;
    return membership === state.membership ? state : { ...state, membership };
}

function markAnswered(state: Detector, name: string): Detector {
    if (!state.unanswered.has(name)) return state;
    const waiting = new Map(state.unanswered);
    waiting.delete(name);
    return { ...state, unanswered: waiting };
}

/** Returns whether this host does not know the sender, or knows an earlier instance of it. */
function isUnknownInstance({ members }: Membership, { name, start }: SelfStamp): boolean {
    return members.get(name)?.start !== start;
}

/** Returns what this host believes of the sender, if the sender has to refute it to be considered alive again. */
function newsToRefute(membership: Membership, sender: SelfStamp, now: number): readonly MemberNews[] {
    const known = membership.members.get(sender.name);
    if (!known || known.start === sender.start && known.status === Status.Alive) return [];
    return [newsOfMember(known, now)];
}

/** Returns live hosts that another host does not know: first those of its hall, then others, each group in random order. */
function membersUnknownTo(
    membership: Membership,
    other: MemberNews,
    known: ReadonlySet<number>,
    { now, random }: DetectorEnv,
): readonly MemberNews[] {
    const missing = aliveMembers(membership, now).filter(member =>
        member.name !== other.name && !known.has(instanceHash(member))
    );
    const inHall = shuffle(missing.filter(({ hall }) => hall === other.hall), random);
    const inOtherHalls = shuffle(missing.filter(({ hall }) => hall !== other.hall), random);
    return [...inHall, ...inOtherHalls].slice(0, MAX_MEMBERS_PER_SYNC).map(member => newsOfMember(member, now));
}

function pickOne<T>(items: readonly T[], random: () => number): T | undefined {
    return items[Math.floor(random() * items.length)];
}

function pickSome<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
    return items.length <= count ? items : shuffle(items, random).slice(0, count);
}

function shuffle<T>(items: readonly T[], random: () => number): readonly T[] {
    return items.map(item => ({ item, at: random() })).sort((a, b) => a.at - b.at).map(({ item }) => item);
}
