/**
 * Estimates which endpoints and halls a host cannot reach, from what it and its peers in the hall observe.
 *
 * An endpoint of another hall is in doubt if a connection to it failed and nothing was heard from its hall since, neither from a host
 * nor from an endpoint. A whole hall is in doubt if nothing was heard from it for {@link QUIET_MS} and connections to its endpoints
 * failed since: to one endpoint if the failure detector considers less than half of the hall's hosts alive, otherwise to two, or to the
 * only one. A doubt ends when anything is heard from the hall, or after a while without new failures.
 *
 *     a host of the hall: connection to e1 fails --(tells its hall)--> others: e1 is in doubt
 *     any host: e1, e2 failed, nothing heard from their hall for 1 s -> their hall is in doubt
 *
 * A doubt only changes the order in which endpoints are tried, so a wrong one costs little.
 *
 * All functions are pure. Times are in milliseconds on each host's own clock; hosts send each other ages.
 *
 * @module
 */
import { isAlive, type Membership } from "./membership.js";

/** A host's observations of other halls. */
export interface Reachability {
    /** When a host or an endpoint of a hall was last heard, by hall. */
    readonly lastHeardAt: ReadonlyMap<string, number>;
    /** The last failed connection to an endpoint, by the endpoint's name. */
    readonly failedEndpoints: ReadonlyMap<string, FailedConnection>;
}

/** A failed connection from this host, or another host of its hall, to an endpoint. */
interface FailedConnection {
    readonly hall: string;
    /** When it last failed. */
    readonly at: number;
}

/** Number of hosts of another hall, as the failure detector sees them. */
export interface HallHosts {
    readonly hall: string;
    /** All known hosts except those that are leaving. */
    readonly hosts: number;
    /** How many of these are considered alive. */
    readonly aliveHosts: number;
}

/** Number of hosts and endpoints of another hall. */
export interface HallMembers extends HallHosts {
    /** Endpoints that are registered there. */
    readonly endpoints: number;
}

/** A hall in doubt, with the reasons. */
export interface HallInDoubt {
    readonly hall: string;
    /** Number of endpoints to which connections failed since the hall was last heard. */
    readonly failedEndpoints: number;
    /** Whether at least half of its hosts are still considered alive. */
    readonly hasAliveMajority: boolean;
    /** For how long nothing was heard from it. */
    readonly silentMs: number;
}

/** A hall is in doubt only after this silence. With three halls, probes between halls reach a host from each other hall once a second. */
export const QUIET_MS = 1_000;
/** A failed connection counts for this long. Afterwards a request may try the endpoint again, if nothing else does. */
export const FAILURE_TTL_MS = 5_000;
/** Endpoints that have to fail before their hall is in doubt while its hosts seem alive: a single one may have failed by itself. */
const MIN_FAILED_ENDPOINTS = 2;
/** A failure within this time after the last known one of the same endpoint is not news. */
const REPEATED_FAILURE_MS = 1_000;

/**
 * Counts the hosts of the other halls in a host's scope.
 *
 * @example
 * ```ts
 * otherHalls(membership, now); // [{ hall: "k2", hosts: 30, aliveHosts: 29 }]
 * ```
 */
export function otherHalls({ self, members }: Membership, now: number): readonly HallHosts[] {
    const halls = new Map<string, { hosts: number; aliveHosts: number }>();
    for (const member of members.values()) {
        if (member.hall === self.hall || member.scope !== self.scope || member.leaving) continue;
        const { hosts, aliveHosts } = halls.get(member.hall) ?? { hosts: 0, aliveHosts: 0 };
        halls.set(member.hall, { hosts: hosts + 1, aliveHosts: aliveHosts + (isAlive(member, now) ? 1 : 0) });
    }
    return [...halls].map(([hall, counts]) => ({ hall, ...counts }));
}

/** The state of a host that has observed nothing. */
export const EMPTY_REACHABILITY: Reachability = { lastHeardAt: new Map(), failedEndpoints: new Map() };

/** Records that a host or an endpoint of another hall was heard, which ends all doubts about the hall. */
export function recordHeard(reach: Reachability, hall: string, now: number): Reachability {
    const failed = new Map([...reach.failedEndpoints].filter(([, { hall: other }]) => other !== hall));
    return { lastHeardAt: new Map(reach.lastHeardAt).set(hall, now), failedEndpoints: failed };
}

/**
 * Records that a connection to an endpoint of another hall failed. Returns the state and whether to tell the other hosts of the hall.
 *
 * @param at When it failed. It is before `now` if another host reported it.
 *
 * @example
 * ```ts
 * const { state, isNews } = recordFailedConnection(reach, "i-7@1700", "k2", now - agoMs, now);
 * ```
 */
export function recordFailedConnection(
    reach: Reachability,
    endpoint: string,
    hall: string,
    at: number,
    now: number,
): { readonly state: Reachability; readonly isNews: boolean } {
    const known = reach.failedEndpoints.get(endpoint);
    const isOutdated = at <= lastHeardFrom(reach, hall) || now - at >= FAILURE_TTL_MS;
    if (isOutdated || known && at - known.at < REPEATED_FAILURE_MS) return { state: reach, isNews: false };
    const kept = [...reach.failedEndpoints].filter(([, other]) => now - other.at < FAILURE_TTL_MS);
    return { state: { ...reach, failedEndpoints: new Map(kept).set(endpoint, { hall, at }) }, isNews: true };
}

function lastHeardFrom({ lastHeardAt }: Reachability, hall: string): number {
    return lastHeardAt.get(hall) ?? -Infinity;
}

/** Halls and endpoints that a host probably cannot reach. */
export interface Doubts {
    readonly halls: readonly HallInDoubt[];
    /** Endpoints in doubt, whether or not their hall is. */
    readonly endpoints: readonly string[];
}

/**
 * Returns what a host probably cannot reach. Halls without a known host are never in doubt, because nothing would end the doubt.
 *
 * @example
 * ```ts
 * doubtsOf(reachability, [{ hall: "k2", hosts: 30, aliveHosts: 0, endpoints: 11 }], now).halls;
 * ```
 */
export function doubtsOf(reach: Reachability, halls: readonly HallMembers[], now: number): Doubts {
    const failed = [...reach.failedEndpoints].filter(([, { at }]) => now - at < FAILURE_TTL_MS);
    const found = halls.filter(({ hosts }) => hosts > 0).map(members => {
        const endpoints = failed.flatMap(([endpoint, { hall }]) => hall === members.hall ? [endpoint] : []);
        return { endpoints, hall: hallInDoubt(members, endpoints.length, now - lastHeardFrom(reach, members.hall)) };
    });
    return {
        halls: found.flatMap(({ hall }) => hall ?? []),
        endpoints: found.flatMap(({ endpoints }) => endpoints),
    };
}

function hallInDoubt(
    { hall, hosts, aliveHosts, endpoints }: HallMembers,
    failedCount: number,
    silentMs: number,
): HallInDoubt | undefined {
    const isMostlyDead = 2 * aliveHosts < hosts;
    const needed = isMostlyDead ? 1 : Math.min(MIN_FAILED_ENDPOINTS, Math.max(1, endpoints));
    return silentMs >= QUIET_MS && failedCount >= needed
        ? { hall, failedEndpoints: failedCount, hasAliveMajority: !isMostlyDead, silentMs }
        : undefined;
}
