/**
 * A host's view of the other hosts of its scope: which are alive, suspected or dead.
 *
 * News of a host carries the host's incarnation number, which only that host raises (SWIM; Das, Gupta and Motivala 2002). A host that
 * is suspected, or that hears news of an earlier instance of itself, refutes it with a higher incarnation. Wall clocks play no part: a
 * restarted host learns from news of its own name which incarnation it has to exceed.
 *
 *     alive --(no answer)--> suspected --(SUSPICION_TIMEOUT_MS without refutation)--> dead --(DEAD_RETENTION_MS)--> forgotten
 *       ^--(refutation: a higher incarnation)--+----------------------------------------+
 *
 * All functions are pure: they return the next state. Times are in milliseconds on the host's own monotonic clock.
 *
 * @module
 */

/** Identity, address and capacity of a host. */
export interface HostInfo {
    readonly name: string;
    readonly hall: string;
    /** Hosts of the same scope share their endpoints. It is the hall's name if halls share nothing. */
    readonly scope: string;
    /** Address for connections of peers, as `ip:port`. */
    readonly address: string;
    /** Random number drawn at start, which distinguishes instances of a host, i.e. its runs between restarts. */
    readonly start: number;
    /** Capacity in cores as the host reports it, not validated: {@link weightOf} bounds it. Absent if the host reports none. */
    readonly capacity?: number;
}

/** States of a host in a peer's view. */
export const Status = { Alive: "alive", Suspect: "suspect", Dead: "dead" } as const;
/** One of {@link Status}. */
export type Status = typeof Status[keyof typeof Status];

/** What a host tells a peer of another host, or of itself. */
export interface MemberNews extends HostInfo {
    readonly incarnation: number;
    readonly status: Status;
    /** Whether the host is shutting down and takes no new work. */
    readonly leaving: boolean;
    /** For how long it has been suspected, in milliseconds; 0 if it is not. */
    readonly forMs: number;
}

/** What a host tells of itself to a peer that knows it: 40 bytes instead of 150. */
export interface SelfStamp extends Pick<MemberNews, "name" | "start" | "incarnation"> {
    /** Absent if the host is not leaving. */
    readonly leaving?: boolean;
}

/** Another host in this host's view. */
export interface Member extends HostInfo {
    readonly incarnation: number;
    readonly status: Status;
    readonly leaving: boolean;
    /** When it entered this status. */
    readonly since: number;
}

/** A host's view of itself and of the other hosts of its scope. */
export interface Membership {
    readonly self: HostInfo;
    readonly incarnation: number;
    readonly leaving: boolean;
    readonly members: ReadonlyMap<string, Member>;
    /** Names of hosts whose news this host still has to gossip, with the number of transmissions left. */
    readonly rumours: ReadonlyMap<string, number>;
    /** Addresses of possible hosts, from the host list and the settings. */
    readonly candidates: readonly string[];
}

/**
 * Time within which a suspected host has to refute the suspicion. Together with the probes before it, a host that stalls for 1 s
 * answers in time (no false positives in the simulations of `detector.test.ts`), and a dead one is detected by its hall within 2 s.
 */
export const SUSPICION_TIMEOUT_MS = 600;
/** A dead host is remembered for this long, so that older news cannot revive it. Meanwhile it is probed now and then. */
export const DEAD_RETENTION_MS = 60_000;
/**
 * How many times a host gossips a change of status, each time to three hosts of its hall. One host in e^12 misses it; that one would
 * consider a dead host alive for a long time.
 */
const UPDATE_TRANSMISSIONS = 4;
/** How many times a host gossips that another has joined. A host that misses it learns of it when views are compared next. */
const JOIN_TRANSMISSIONS = 1;

/** For the same incarnation, news of a higher value overrides news of a lower one. */
const STATUS_PRECEDENCE: Readonly<Record<Status, number>> = { alive: 0, suspect: 1, dead: 2 };

/**
 * Creates the view of a host that knows only itself.
 *
 * @example
 * ```ts
 * createMembership({ name: "k1-a", hall: "k1", scope: "k1", address: "10.0.0.1:7080", start: randomInt(2 ** 40) }, []);
 * ```
 */
export function createMembership(self: HostInfo, candidates: readonly string[]): Membership {
    const state: Membership = {
        self,
        incarnation: 0,
        leaving: false,
        members: new Map(),
        rumours: new Map(),
        candidates: [],
    };
    return setCandidates(state, candidates);
}

/** Replaces the candidate addresses by those of the host list or the settings. */
export function setCandidates(state: Membership, addresses: readonly string[]): Membership {
    return { ...state, candidates: addresses.filter(address => address !== state.self.address) };
}

/** Returns the candidate addresses at which no host is known. */
export function unknownCandidates({ members, candidates }: Membership): readonly string[] {
    const known = [...members.values()];
    return candidates.filter(address => !known.some(member => member.address === address));
}

/** Returns whether a member is considered alive: not suspected, or suspected for less than {@link SUSPICION_TIMEOUT_MS}. */
export function isAlive(member: Member, now: number): boolean {
    if (member.status === Status.Suspect) return now - member.since < SUSPICION_TIMEOUT_MS;
    return member.status === Status.Alive;
}

/** Returns the members of the scope that are considered alive, including leaving ones. */
export function aliveMembers(state: Membership, now: number): readonly Member[] {
    return [...state.members.values()].filter(member => isAlive(member, now));
}

/**
 * Returns the sorted names of the scope's live hosts that take new work. It includes this host unless it is leaving.
 *
 * @example
 * ```ts
 * liveHosts(state, now); // ["k1-a", "k1-b"]
 * ```
 */
export function liveHosts(state: Membership, now: number): readonly string[] {
    return liveNames(state, member => member.scope === state.self.scope, now);
}

/**
 * Returns the sorted names of the hall's live hosts that take new work. It includes this host unless it is leaving.
 *
 * @example
 * ```ts
 * liveHostsInHall(state, now); // ["k1-a"]
 * ```
 */
export function liveHostsInHall(state: Membership, now: number): readonly string[] {
    return liveNames(state, member => member.hall === state.self.hall, now);
}

function liveNames(state: Membership, isIncluded: (member: Member) => boolean, now: number): readonly string[] {
    const names = aliveMembers(state, now)
        .filter(member => isIncluded(member) && !member.leaving)
        .map(member => member.name);
    return (state.leaving ? names : [...names, state.self.name]).sort();
}

/** Returns this host and the members that are considered alive, from which {@link weightsOf} takes their capacities. */
export function selfAndAliveMembers(state: Membership, now: number): readonly HostInfo[] {
    return [state.self, ...aliveMembers(state, now)];
}

/** Returns the news by which this host introduces itself. */
export function newsOfSelf({ self, incarnation, leaving }: Membership): MemberNews {
    return { ...self, incarnation, leaving, status: Status.Alive, forMs: 0 };
}

/** Returns the short form of {@link newsOfSelf} for peers that know this host. */
export function stampOfSelf({ self: { name, start }, incarnation, leaving }: Membership): SelfStamp {
    return { name, start, incarnation, ...(leaving ? { leaving } : {}) };
}

/** Applies a host's stamp. A stamp of an unknown instance is ignored: gossip or a comparison of views will introduce it. */
export function applyStamp(state: Membership, stamp: SelfStamp, now: number): Membership {
    const known = state.members.get(stamp.name);
    if (known?.start !== stamp.start) return state;
    const news = { ...newsOfMember(known, now), leaving: false, ...stamp, status: Status.Alive, forMs: 0 };
    return applyNews(state, [news], now);
}

/** Returns the news of a member for a peer. */
export function newsOfMember(member: Member, now: number): MemberNews {
    const { name, hall, scope, address, start, incarnation, status, leaving, since } = member;
    const forMs = status === Status.Suspect ? Math.round(now - since) : 0;
    const capacity = member.capacity === undefined ? {} : { capacity: member.capacity };
    return { name, hall, scope, address, start, ...capacity, incarnation, status, leaving, forMs };
}

/**
 * Applies news to the view. Outdated news is ignored; what is new is queued for gossip.
 *
 * @param gossipsJoins Whether to gossip joins as well. False for news from a comparison of whole views.
 *
 * @example
 * ```ts
 * const next = applyNews(state, message.news, now);
 * ```
 */
export function applyNews(
    state: Membership,
    news: readonly MemberNews[],
    now: number,
    gossipsJoins = true,
): Membership {
    const refuted = news.filter(item => item.name === state.self.name).reduce(refute, state);
    const fresh = news.filter(item => item.name !== state.self.name && isNews(item, state.members.get(item.name)));
    if (fresh.length === 0) return refuted;
    const members = new Map(state.members);
    const rumours = new Map(refuted.rumours);
    for (const item of fresh) {
        const { forMs, ...rest } = item;
        const known = members.get(item.name);
        if (!isNews(item, known)) continue;
        members.set(item.name, { ...rest, since: now - forMs });
        const isJoin = !known && item.status === Status.Alive;
        if (!isJoin || gossipsJoins) rumours.set(item.name, isJoin ? JOIN_TRANSMISSIONS : UPDATE_TRANSMISSIONS);
    }
    return { ...refuted, members, rumours };
}

/** Raises this host's incarnation if news of its own name would override its last claim in the view of others. */
function refute(state: Membership, news: MemberNews): Membership {
    if (news.incarnation < state.incarnation) return state;
    const isOwnClaim = news.start === state.self.start && news.status === Status.Alive;
    if (isOwnClaim && news.incarnation === state.incarnation) return state;
    return {
        ...state,
        incarnation: news.incarnation + 1,
        rumours: withRumour(state, state.self.name, UPDATE_TRANSMISSIONS),
    };
}

function isNews(news: MemberNews, known: Member | undefined): boolean {
    return known === undefined || supersedes(news, known);
}

function supersedes(news: MemberNews, known: Member): boolean {
    if (news.incarnation !== known.incarnation) return news.incarnation > known.incarnation;
    return news.start === known.start && STATUS_PRECEDENCE[news.status] > STATUS_PRECEDENCE[known.status];
}

function withRumour({ rumours }: Membership, name: string, transmissions: number): ReadonlyMap<string, number> {
    return new Map(rumours).set(name, transmissions);
}

/** Suspects a host that did not answer, if it was considered alive. */
export function suspect(state: Membership, name: string, now: number): Membership {
    const known = state.members.get(name);
    if (known?.status !== Status.Alive) return state;
    return applyNews(state, [{ ...newsOfMember(known, now), status: Status.Suspect }], now);
}

/** Marks members dead whose suspicion has timed out, and forgets members that have been dead for {@link DEAD_RETENTION_MS}. */
export function expire(state: Membership, now: number): Membership {
    const changed = [...state.members.values()].filter(member => isExpired(member, now));
    if (changed.length === 0) return state;
    const members = new Map(state.members);
    for (const member of changed) {
        if (member.status === Status.Dead) members.delete(member.name);
        else members.set(member.name, { ...member, status: Status.Dead, since: now });
    }
    return { ...state, members };
}

function isExpired({ status, since }: Member, now: number): boolean {
    if (status === Status.Suspect) return now - since >= SUSPICION_TIMEOUT_MS;
    return status === Status.Dead && now - since >= DEAD_RETENTION_MS;
}

/** Marks this host as leaving and queues the news for gossip. */
export function markLeaving(state: Membership): Membership {
    const incarnation = state.incarnation + 1;
    return { ...state, leaving: true, incarnation, rumours: withRumour(state, state.self.name, UPDATE_TRANSMISSIONS) };
}

/**
 * Takes the news to gossip next, that with the most transmissions left first.
 *
 * @param max Number of hosts whose news is taken at most.
 */
export function takeRumours(
    state: Membership,
    max: number,
    now: number,
): { readonly state: Membership; readonly news: readonly MemberNews[] } {
    if (state.rumours.size === 0) return { state, news: [] };
    const chosen = [...state.rumours].sort(([, a], [, b]) => b - a).slice(0, max);
    const rumours = new Map(state.rumours);
    for (const [name, rounds] of chosen) {
        if (rounds > 1) rumours.set(name, rounds - 1);
        else rumours.delete(name);
    }
    const news = chosen.flatMap(([name]) => {
        if (name === state.self.name) return [newsOfSelf(state)];
        const member = state.members.get(name);
        return member ? [newsOfMember(member, now)] : [];
    });
    return { state: { ...state, rumours }, news };
}

/** Returns the hashes of all host instances that are considered alive, including this host's own. */
export function aliveInstanceHashes(state: Membership, now: number): readonly number[] {
    return [instanceHash(state.self), ...aliveMembers(state, now).map(instanceHash)];
}

/** Returns a digest that is equal for hosts that consider the same instances alive. */
export function digestOfAlive(state: Membership, now: number): number {
    return aliveInstanceHashes(state, now).reduce((digest, life) => digest ^ life, 0) >>> 0;
}

const FNV_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes a host instance to 32 bits (FNV-1a over name and start). It only decides which hosts a peer is told of. */
export function instanceHash({ name, start }: HostInfo): number {
    let hash = FNV_BASIS;
    for (const char of `${name}/${start}`) hash = Math.imul(hash ^ char.charCodeAt(0), FNV_PRIME);
    return hash >>> 0;
}
