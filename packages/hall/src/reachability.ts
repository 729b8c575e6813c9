/**
 * What of other halls a host probably cannot reach, by what it and others of its hall have found out together.
 *
 * An endpoint is in doubt where a connection to it failed and nothing of its hall was heard since, neither a host nor an endpoint.
 * A whole hall is in doubt where nothing of it was heard for a while and connections have failed since: to one endpoint where the
 * failure detector relies on less than half of its hosts, else to two, or to all that there are. Anything that is heard ends a doubt,
 * and so does time, as long as nothing is found out anew.
 *
 *     a host of the hall: connection to e1 fails --(told to the hall)--> others: e1 is in doubt
 *     any host: e1, e2 failed, nothing heard of their hall for a second -------> their hall is in doubt
 *
 * A doubt decides only what is tried first, so that a wrong one costs little.
 *
 * Pure. Times are milliseconds on each host's own clock; ages travel.
 *
 * @module
 */
import { isAlive, type Membership } from "./membership.js";

/** What a host has found out of other halls. */
export interface Reach {
    /** When something of a hall was last heard. */
    readonly heardAt: ReadonlyMap<string, number>;
    /** Endpoints to which a connection failed, by name. */
    readonly lost: ReadonlyMap<string, Lost>;
}

/** A failed connection to an endpoint, by this host or another of its hall. */
interface Lost {
    readonly hall: string;
    /** When it last failed. */
    readonly at: number;
}

/** Hosts of another hall, as the failure detector knows them. */
export interface HallHosts {
    readonly hall: string;
    /** Its hosts, but for those that have said that they leave. */
    readonly hosts: number;
    /** Of these, hosts that are relied on. */
    readonly relied: number;
}

/** The same with the endpoints that are registered there. */
export interface HallMembers extends HallHosts {
    readonly endpoints: number;
}

/** A hall in doubt, and why. */
export interface DoubtedHall {
    readonly hall: string;
    /** Endpoints that could not be reached since it was last heard. */
    readonly lost: number;
    /** Whether half of its hosts or more are still relied on. */
    readonly hasHosts: boolean;
    /** For how long nothing of it was heard. */
    readonly silentMs: number;
}

/** Hosts of three halls hear of each other hall once a second in the mean, by the probes between halls. */
export const QUIET_MS = 1_000;
/** A failed connection counts for this long: then a call may find out anew, where nothing else does. */
export const LOST_VALID_MS = 5_000;
/** One endpoint may have failed by itself. */
const LEAST_LOST = 2;
/** A failure of an endpoint that is known to have failed this lately is no news. */
const SAME_MS = 1_000;

/**
 * Hosts of the other halls of a host's scope.
 *
 * @example
 * ```ts
 * otherHalls(membership, now); // [{ hall: "k2", hosts: 30, relied: 29 }]
 * ```
 */
export function otherHalls({ self, members }: Membership, now: number): readonly HallHosts[] {
    const halls = new Map<string, { hosts: number; relied: number }>();
    for (const member of members.values()) {
        if (member.hall === self.hall || member.scope !== self.scope || member.leaving) continue;
        const { hosts, relied } = halls.get(member.hall) ?? { hosts: 0, relied: 0 };
        halls.set(member.hall, { hosts: hosts + 1, relied: relied + (isAlive(member, now) ? 1 : 0) });
    }
    return [...halls].map(([hall, counts]) => ({ hall, ...counts }));
}

/** A host that has found out nothing. */
export const NOTHING_FOUND: Reach = { heardAt: new Map(), lost: new Map() };

/** The state after a host or an endpoint of another hall was heard. */
export function hearHall(reach: Reach, hall: string, now: number): Reach {
    const lost = new Map([...reach.lost].filter(([, { hall: other }]) => other !== hall));
    return { heardAt: new Map(reach.heardAt).set(hall, now), lost };
}

/**
 * The state after a connection to an endpoint of another hall failed, and whether that is news to tell others of the own hall.
 *
 * @param at When it failed; before now where another host has told.
 *
 * @example
 * ```ts
 * const { state, isNews } = loseEndpoint(reach, "i-7@1700", "k2", now - agoMs, now);
 * ```
 */
export function loseEndpoint(
    reach: Reach,
    endpoint: string,
    hall: string,
    at: number,
    now: number,
): { readonly state: Reach; readonly isNews: boolean } {
    const known = reach.lost.get(endpoint);
    const isOver = at <= heardLast(reach, hall) || now - at >= LOST_VALID_MS;
    if (isOver || known && at - known.at < SAME_MS) return { state: reach, isNews: false };
    const kept = [...reach.lost].filter(([, other]) => now - other.at < LOST_VALID_MS);
    return { state: { ...reach, lost: new Map(kept).set(endpoint, { hall, at }) }, isNews: true };
}

function heardLast({ heardAt }: Reach, hall: string): number {
    return heardAt.get(hall) ?? -Infinity;
}

/** What a host probably cannot reach. */
export interface Doubts {
    readonly halls: readonly DoubtedHall[];
    /** Endpoints, whatever is thought of the rest of their halls. */
    readonly endpoints: readonly string[];
}

/**
 * What a host probably cannot reach. Nothing of halls without a known host is in doubt: nothing there would end it.
 *
 * @example
 * ```ts
 * doubtsOf(reach, [{ hall: "k2", hosts: 30, relied: 0, endpoints: 11 }], now).halls;
 * ```
 */
export function doubtsOf(reach: Reach, halls: readonly HallMembers[], now: number): Doubts {
    const lost = [...reach.lost].filter(([, { at }]) => now - at < LOST_VALID_MS);
    const found = halls.filter(({ hosts }) => hosts > 0).map(members => {
        const endpoints = lost.flatMap(([endpoint, { hall }]) => hall === members.hall ? [endpoint] : []);
        return { endpoints, hall: doubtedHall(members, endpoints.length, now - heardLast(reach, members.hall)) };
    });
    return {
        halls: found.flatMap(({ hall }) => hall ?? []),
        endpoints: found.flatMap(({ endpoints }) => endpoints),
    };
}

function doubtedHall(
    { hall, hosts, relied, endpoints }: HallMembers,
    lost: number,
    silentMs: number,
): DoubtedHall | undefined {
    const isGivenUp = 2 * relied < hosts;
    const needed = isGivenUp ? 1 : Math.min(LEAST_LOST, Math.max(1, endpoints));
    return silentMs >= QUIET_MS && lost >= needed ? { hall, lost, hasHosts: !isGivenUp, silentMs } : undefined;
}
