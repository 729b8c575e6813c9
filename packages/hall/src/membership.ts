/**
 * What a host knows of the other hosts of its scope: who is there, who is suspected, who is gone.
 *
 * News of a host carries its incarnation, which only that host raises (SWIM; Das, Gupta and Motivala 2002). A host that is
 * suspected, or that finds older news of its own name, answers with a higher one. No clock of the day is used: a host that
 * starts again knows by the news of its own name what it has to exceed.
 *
 *     alive --(no answer)--> suspected --(SUSPECT_MS without denial)--> dead --(KEPT_MS)--> forgotten
 *       ^--(denial: a higher incarnation)--+-----------------------------+
 *
 * Pure: every function returns the next state. Times are milliseconds on the host's own steady clock.
 *
 * @module
 */

/** How another host is reached. */
export interface HostInfo {
    readonly name: string;
    readonly hall: string;
    /** Hosts of the same scope share their endpoints; the hall's name where halls share nothing. */
    readonly scope: string;
    /** Where its peers connect, as `ip:port`. */
    readonly address: string;
    /** Drawn at start: tells two lives of a host of one name apart. */
    readonly start: number;
    /** What it can carry, in cores; absent where it does not tell. As told: {@link weightOf} bounds it. */
    readonly capacity?: number;
}

/** What is believed of a host. */
export const Status = { Alive: "alive", Suspect: "suspect", Dead: "dead" } as const;
/** One of {@link Status}. */
export type Status = typeof Status[keyof typeof Status];

/** What one host says of another, or of itself. */
export interface MemberNews extends HostInfo {
    readonly incarnation: number;
    readonly status: Status;
    /** It stops, and takes no new work. */
    readonly leaving: boolean;
    /** For how long it has been suspected, in milliseconds; 0 otherwise. */
    readonly forMs: number;
}

/** What a host says of itself to one that knows it: 40 bytes in place of 150. */
export interface SelfStamp extends Pick<MemberNews, "name" | "start" | "incarnation"> {
    /** Absent where it is not. */
    readonly leaving?: boolean;
}

/** What is known of one host. */
export interface Member extends HostInfo {
    readonly incarnation: number;
    readonly status: Status;
    readonly leaving: boolean;
    /** Since when it has this status. */
    readonly since: number;
}

/** A host's view of its scope. */
export interface Membership {
    readonly self: HostInfo;
    readonly incarnation: number;
    readonly leaving: boolean;
    readonly members: ReadonlyMap<string, Member>;
    /** Names of hosts whose news is to be passed on, and how many more times. */
    readonly rumours: ReadonlyMap<string, number>;
    /** Addresses to try, from the host list and the settings, of hosts not yet heard of. */
    readonly candidates: readonly string[];
}

/**
 * A suspected host has this long to deny it. With the probes before it, a host that is held up for 1 s has answered in time
 * (no false death in the replays of `detector.test.ts`), and one that died is passed over by its hall within 2 s.
 */
export const SUSPECT_MS = 600;
/** A dead host is remembered for this long, so that older news cannot bring it back and it is looked for meanwhile. */
export const KEPT_MS = 60_000;
/**
 * How many times a host passes on what changes who is relied on, each time to three of its hall: one of e^12 misses it, who would rely
 * on a dead host for long.
 */
const ROUNDS = 4;
/** And news of a host that joins: who misses it learns it from the next comparison of views. */
const JOIN_ROUNDS = 1;

const RANK: Readonly<Record<Status, number>> = { alive: 0, suspect: 1, dead: 2 };

/**
 * A host that knows only itself.
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
    return listHosts(state, candidates);
}

/** Addresses from the host list or the settings replace those known before. */
export function listHosts(state: Membership, addresses: readonly string[]): Membership {
    return { ...state, candidates: addresses.filter(address => address !== state.self.address) };
}

/** Addresses to try at which no host was heard of yet. */
export function unheardCandidates({ members, candidates }: Membership): readonly string[] {
    const known = [...members.values()];
    return candidates.filter(address => !known.some(member => member.address === address));
}

/** Whether a member is relied on: alive, or suspected for so short a time that it may still deny it. */
export function isAlive(member: Member, now: number): boolean {
    if (member.status === Status.Suspect) return now - member.since < SUSPECT_MS;
    return member.status === Status.Alive;
}

/** Members of the scope that are relied on, leaving ones included. */
export function aliveMembers(state: Membership, now: number): readonly Member[] {
    return [...state.members.values()].filter(member => isAlive(member, now));
}

/**
 * Names of the scope's live hosts that take new work, this one included unless it is leaving, in order of name.
 *
 * @example
 * ```ts
 * liveHosts(state, now); // ["k1-a", "k1-b"]
 * ```
 */
export function liveHosts(state: Membership, now: number): readonly string[] {
    return namesOf(state, member => member.scope === state.self.scope, now);
}

/**
 * The same for this host's own hall alone.
 *
 * @example
 * ```ts
 * liveInHall(state, now); // ["k1-a"]
 * ```
 */
export function liveInHall(state: Membership, now: number): readonly string[] {
    return namesOf(state, member => member.hall === state.self.hall, now);
}

function namesOf(state: Membership, belongs: (member: Member) => boolean, now: number): readonly string[] {
    const names = aliveMembers(state, now)
        .filter(member => belongs(member) && !member.leaving)
        .map(member => member.name);
    return (state.leaving ? names : [...names, state.self.name]).sort();
}

/** This host and the members of its scope that are relied on, as what they can carry is told of them. */
export function ratedHosts(state: Membership, now: number): readonly HostInfo[] {
    return [state.self, ...aliveMembers(state, now)];
}

/** What this host says of itself. */
export function newsOfSelf({ self, incarnation, leaving }: Membership): MemberNews {
    return { ...self, incarnation, leaving, status: Status.Alive, forMs: 0 };
}

/** The same to a host that knows it. */
export function stampOfSelf({ self: { name, start }, incarnation, leaving }: Membership): SelfStamp {
    return { name, start, incarnation, ...(leaving ? { leaving } : {}) };
}

/** Takes in what a host says of itself. One that is not known is learnt of by gossip, or by comparing views. */
export function hearStamp(state: Membership, stamp: SelfStamp, now: number): Membership {
    const known = state.members.get(stamp.name);
    if (known?.start !== stamp.start) return state;
    const news = { ...newsOfMember(known, now), leaving: false, ...stamp, status: Status.Alive, forMs: 0 };
    return hear(state, [news], now);
}

/** What this host says of another. */
export function newsOfMember(member: Member, now: number): MemberNews {
    const { name, hall, scope, address, start, incarnation, status, leaving, since } = member;
    const forMs = status === Status.Suspect ? Math.round(now - since) : 0;
    const capacity = member.capacity === undefined ? {} : { capacity: member.capacity };
    return { name, hall, scope, address, start, ...capacity, incarnation, status, leaving, forMs };
}

/**
 * Takes in news. Older news changes nothing; what is new is passed on.
 *
 * @param passOn Whether news of joins is passed on: not where hosts compare their whole views.
 *
 * @example
 * ```ts
 * const next = hear(state, message.news, now);
 * ```
 */
export function hear(state: Membership, news: readonly MemberNews[], now: number, passOn = true): Membership {
    const own = news.filter(item => item.name === state.self.name).reduce(deny, state);
    const fresh = news.filter(item => item.name !== state.self.name && isNews(item, state.members.get(item.name)));
    if (fresh.length === 0) return own;
    const members = new Map(state.members);
    const rumours = new Map(own.rumours);
    for (const item of fresh) {
        const { forMs, ...rest } = item;
        const known = members.get(item.name);
        if (!isNews(item, known)) continue;
        members.set(item.name, { ...rest, since: now - forMs });
        const isJoin = !known && item.status === Status.Alive;
        if (!isJoin || passOn) rumours.set(item.name, isJoin ? JOIN_ROUNDS : ROUNDS);
    }
    return { ...own, members, rumours };
}

/** Answers news of this host's own name that others would believe more than what it last said. */
function deny(state: Membership, news: MemberNews): Membership {
    if (news.incarnation < state.incarnation) return state;
    const isOwn = news.start === state.self.start && news.status === Status.Alive;
    if (isOwn && news.incarnation === state.incarnation) return state;
    return { ...state, incarnation: news.incarnation + 1, rumours: withRumour(state, state.self.name, ROUNDS) };
}

function isNews(news: MemberNews, known: Member | undefined): boolean {
    return known === undefined || isNewer(news, known);
}

function isNewer(news: MemberNews, known: Member): boolean {
    if (news.incarnation !== known.incarnation) return news.incarnation > known.incarnation;
    return news.start === known.start && RANK[news.status] > RANK[known.status];
}

function withRumour({ rumours }: Membership, name: string, rounds: number): ReadonlyMap<string, number> {
    return new Map(rumours).set(name, rounds);
}

/** The state after this host got no answer from another: it is suspected from now on. */
export function suspect(state: Membership, name: string, now: number): Membership {
    const known = state.members.get(name);
    if (known?.status !== Status.Alive) return state;
    return hear(state, [{ ...newsOfMember(known, now), status: Status.Suspect }], now);
}

/** The state in which those that were suspected for too long are dead, and those long dead are forgotten. */
export function expire(state: Membership, now: number): Membership {
    const changed = [...state.members.values()].filter(member => lapsed(member, now));
    if (changed.length === 0) return state;
    const members = new Map(state.members);
    for (const member of changed) {
        if (member.status === Status.Dead) members.delete(member.name);
        else members.set(member.name, { ...member, status: Status.Dead, since: now });
    }
    return { ...state, members };
}

function lapsed({ status, since }: Member, now: number): boolean {
    if (status === Status.Suspect) return now - since >= SUSPECT_MS;
    return status === Status.Dead && now - since >= KEPT_MS;
}

/** This host says that it is leaving. */
export function leave(state: Membership): Membership {
    const incarnation = state.incarnation + 1;
    return { ...state, leaving: true, incarnation, rumours: withRumour(state, state.self.name, ROUNDS) };
}

/**
 * The news to pass on next, that which is passed on most often first, and the state after it was.
 *
 * @param most At most this many hosts' news.
 */
export function takeRumours(
    state: Membership,
    most: number,
    now: number,
): { readonly state: Membership; readonly news: readonly MemberNews[] } {
    if (state.rumours.size === 0) return { state, news: [] };
    const chosen = [...state.rumours].sort(([, a], [, b]) => b - a).slice(0, most);
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

/** Numbers of the lives that are relied on, this host's own included. */
export function livesKnown(state: Membership, now: number): readonly number[] {
    return [lifeOf(state.self), ...aliveMembers(state, now).map(lifeOf)];
}

/** A number that is equal for hosts that know of the same lives, whatever the order. */
export function digestOf(state: Membership, now: number): number {
    return livesKnown(state, now).reduce((digest, life) => digest ^ life, 0) >>> 0;
}

const FNV_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** One life of a host as a number of 32 bits (FNV-1a over name and start): it decides only who is told of whom. */
export function lifeOf({ name, start }: HostInfo): number {
    let hash = FNV_BASIS;
    for (const char of `${name}/${start}`) hash = Math.imul(hash ^ char.charCodeAt(0), FNV_PRIME);
    return hash >>> 0;
}
