/**
 * Who is alive in a hall: the platform's lagging host list, corrected by what peers hear of each other.
 *
 * Heartbeats carry a counter that only its own host raises; each host passes on the newest counters that it knows
 * (gossip-style failure detection, van Renesse, Minsky and Hayden 1998), so that one broken link between two hosts does
 * not make either of them dead. A host whose counter has not moved for {@link DEAD_AFTER_MS} is taken for dead.
 *
 * Pure: `heartbeat`, `hear`, `listHosts` and `leave` return the next state.
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
    /** Made at start; a restarted host of the same name has a higher one. */
    readonly incarnation: number;
}

/** What is known of one host. */
export interface Member extends HostInfo {
    readonly counter: number;
    /** When its counter last moved, on this host's clock. */
    readonly movedAt: number;
    readonly leaving: boolean;
}

/** What a heartbeat says of one host. */
export interface MemberNews extends HostInfo {
    readonly counter: number;
    readonly leaving: boolean;
}

/** A host's view of its hall and of the hosts that it knows in other halls. */
export interface Membership {
    readonly self: HostInfo;
    readonly counter: number;
    readonly leaving: boolean;
    readonly members: ReadonlyMap<string, Member>;
    /** Addresses to try, from the host list and the settings, of hosts not yet heard of. */
    readonly candidates: readonly string[];
    /** Turns the choice of whom to send to. */
    readonly turn: number;
}

/** A host that is silent for this long is taken for dead, in a hall of up to {@link SMALL_HALL} hosts. */
export const DEAD_AFTER_MS = 4_000;
/** Halls of more hosts beat more slowly, so that a host's bytes a second stay the same. */
export const SMALL_HALL = 12;
/** A dead host is forgotten after this long; until then older news of it cannot bring it back. */
export const FORGET_AFTER_MS = 60_000;
/** Heartbeats go to this many hosts at a time. */
export const FANOUT = 4;
/** A heartbeat passes on news of this many hosts at most, those that moved last. */
export const NEWS_PER_HEARTBEAT = 8;
/** While a host joins, its heartbeats carry news of more hosts: many may have started at one moment. */
export const NEWS_WHILE_JOINING = 64;

/**
 * A host that knows only itself.
 *
 * @example
 * ```ts
 * createMembership({ name: "k1-a", hall: "k1", scope: "k1", address: "10.0.0.1:7080", incarnation: Date.now() }, []);
 * ```
 */
export function createMembership(self: HostInfo, candidates: readonly string[]): Membership {
    return { self, counter: 0, leaving: false, members: new Map(), candidates, turn: 0 };
}

/** Addresses from the host list or the settings replace those known before. */
export function listHosts(state: Membership, addresses: readonly string[]): Membership {
    return { ...state, candidates: addresses.filter(address => address !== state.self.address) };
}

/**
 * How many times slower a hall of this many hosts beats, and takes a silent host for dead, than a small one.
 *
 * @example
 * ```ts
 * stretch(58); // 4.83: heartbeats every 2.4 s where a small hall has them every 0.5 s
 * ```
 */
export function stretch(hosts: number): number {
    return Math.max(1, hosts / SMALL_HALL);
}

/** Whether a member is taken for alive. */
export function isAlive(state: Membership, member: Member, now: number): boolean {
    return now - member.movedAt < DEAD_AFTER_MS * stretch(state.members.size + 1);
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
    const others = [...state.members.values()].filter(member =>
        belongs(member) && !member.leaving && isAlive(state, member, now)
    );
    const names = others.map(member => member.name);
    return (state.leaving ? names : [...names, state.self.name]).sort();
}

/** A heartbeat to be sent, and to whom. */
export interface HeartbeatPlan {
    readonly state: Membership;
    readonly to: readonly string[];
    readonly news: readonly MemberNews[];
}

/**
 * The next heartbeat: raises the own counter and picks a few hosts in turn, plus one address that was not heard of yet.
 *
 * @example
 * ```ts
 * const { state: next, to, news } = heartbeat(state, now);
 * ```
 */
export function heartbeat(state: Membership, now: number, most = NEWS_PER_HEARTBEAT): HeartbeatPlan {
    const members = forget(state.members, now);
    const next: Membership = { ...state, members, counter: state.counter + 1, turn: state.turn + 1 };
    const alive = [...members.values()].filter(member => isAlive(next, member, now)).sort((a, b) =>
        a.name < b.name ? -1 : 1
    );
    const to = Array.from(
        { length: Math.min(FANOUT, alive.length) },
        (_, at) => alive[(next.turn * FANOUT + at) % alive.length]!.address,
    );
    const unheard = state.candidates.filter(address => !alive.some(member => member.address === address));
    const probe = unheard[next.turn % Math.max(1, unheard.length)];
    const targets = new Set(probe === undefined ? to : [...to, probe]);
    return { state: next, to: [...targets], news: [newsOfSelf(next), ...newsOfOthers(alive, most)] };
}

function newsOfSelf({ self, counter, leaving }: Membership): MemberNews {
    return { ...self, counter, leaving };
}

function newsOfOthers(alive: readonly Member[], most: number): readonly MemberNews[] {
    const latest = alive.toSorted((a, b) => b.movedAt - a.movedAt).slice(0, most);
    return latest.map(({ name, hall, scope, address, incarnation, counter, leaving }) => ({
        name,
        hall,
        scope,
        address,
        incarnation,
        counter,
        leaving,
    }));
}

function forget(members: ReadonlyMap<string, Member>, now: number): ReadonlyMap<string, Member> {
    const kept = [...members].filter(([, member]) => now - member.movedAt < FORGET_AFTER_MS);
    return kept.length === members.size ? members : new Map(kept);
}

/**
 * Takes in the news of a heartbeat. Older news changes nothing; news of a newer incarnation replaces all that was known.
 *
 * @example
 * ```ts
 * const next = hear(state, message.news, now);
 * ```
 */
export function hear(state: Membership, news: readonly MemberNews[], now: number): Membership {
    const members = new Map(state.members);
    for (const [at, item] of news.entries()) {
        if (item.name === state.self.name) continue;
        const known = members.get(item.name);
        if (!known || isNewer(item, known) || at === 0 && isReturned(state, item, known, now)) {
            members.set(item.name, { ...item, movedAt: now });
        }
    }
    return { ...state, members };
}

function isNewer(news: MemberNews, known: Member): boolean {
    if (news.incarnation !== known.incarnation) return news.incarnation > known.incarnation;
    return news.counter > known.counter;
}

/**
 * Whether news of a lower incarnation, which a host gives of itself (its heartbeats begin with that), is of a host that
 * came back: the one known before is dead, and its incarnation was made on a clock that has been set back since.
 */
function isReturned(state: Membership, news: MemberNews, known: Member, now: number): boolean {
    return news.incarnation !== known.incarnation && !isAlive(state, known, now);
}

/** This host says that it is leaving; its next heartbeats carry it. */
export function leave(state: Membership): Membership {
    return { ...state, leaving: true };
}
