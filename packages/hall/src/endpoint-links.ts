/**
 * Judges whether a host has lost its links to the endpoints, by the connections that it tries to open.
 *
 * A single endpoint that cannot be reached has probably ended, and a service whose endpoints have all ended looks the same from every
 * host. So a host is cut off only if connections to two endpoints failed, none succeeded since, and a peer does reach one of them.
 * Open connections count for nothing, because a link may keep them and refuse new ones.
 *
 *     connect e1: fails; connect e2: fails; peer connects to e2: succeeds  -> cut off
 *     connect e3: succeeds; connect e1: succeeds                           -> no longer cut off
 *
 * All functions are pure. Times are in milliseconds on the host's monotonic clock.
 *
 * @module
 */

/** Why a connection to an endpoint counts as failed. */
export const LinkFailureCause = {
    /** It was not established. */
    Connect: "connect",
    /** It ended before anything was received on it. */
    Closed: "closed",
    /** Nothing was received on it in time. */
    Silent: "silent",
} as const;
export type LinkFailureCause = typeof LinkFailureCause[keyof typeof LinkFailureCause];

/** The last failed connection to an endpoint. */
interface LinkFailure {
    readonly cause: LinkFailureCause;
    readonly at: number;
    /** Whether a peer reached the endpoint after the failure. */
    readonly isReachedByPeer: boolean;
}

/** That a host is cut off from the endpoints, and what showed it. */
export interface CutOff {
    /** When the first of the connections failed that showed it. */
    readonly since: number;
    readonly cause: LinkFailureCause;
    /** Number of endpoints to which connections had failed. */
    readonly failedEndpoints: number;
    /** Endpoints to which connections succeeded since, without a failure in between. */
    readonly reachedAgain: ReadonlySet<string>;
}

/** What a host knows of its own links to the endpoints. Endpoints are named by their addresses. */
export interface EndpointLinks {
    readonly failures: ReadonlyMap<string, LinkFailure>;
    /** When a connection to an endpoint last succeeded. */
    readonly connectedAt: number;
    /** Undefined unless the host is cut off. */
    readonly cutOff: CutOff | undefined;
}

/** A failure counts for this long. Afterwards a connection is tried again as if nothing had failed. */
export const LINK_FAILURE_TTL_MS = 5_000;
/** Endpoints that must be unreachable before a host is cut off, and reachable again before it is not. */
const MIN_ENDPOINTS = 2;

/** The links of a host that has opened no connection yet. */
export const UNKNOWN_LINKS: EndpointLinks = { failures: new Map(), connectedAt: -Infinity, cutOff: undefined };

/**
 * Records that a new connection to an endpoint works.
 *
 * @param endpoints Number of endpoints that the host knows.
 */
export function recordLinkUp(links: EndpointLinks, address: string, endpoints: number, now: number): EndpointLinks {
    const failures = new Map(links.failures);
    failures.delete(address);
    const reachedAgain = new Set(links.cutOff?.reachedAgain).add(address);
    const isOver = reachedAgain.size >= requiredEndpoints(endpoints);
    if (links.cutOff && isOver) return { failures: new Map(), connectedAt: now, cutOff: undefined };
    return { failures, connectedAt: now, cutOff: links.cutOff && { ...links.cutOff, reachedAgain } };
}

/** Records that a connection to an endpoint failed. */
export function recordLinkFailure(
    links: EndpointLinks,
    address: string,
    cause: LinkFailureCause,
    endpoints: number,
    now: number,
): EndpointLinks {
    const kept = [...links.failures].filter(([, { at }]) => now - at < LINK_FAILURE_TTL_MS);
    const isReachedByPeer = links.failures.get(address)?.isReachedByPeer === true;
    const failures = new Map(kept).set(address, { cause, at: now, isReachedByPeer });
    const cutOff = links.cutOff && { ...links.cutOff, reachedAgain: new Set<string>() };
    return judge({ ...links, failures, cutOff }, endpoints, now);
}

/** Records that a peer reached an endpoint to which this host's connection had failed. */
export function recordReachedByPeer(
    links: EndpointLinks,
    address: string,
    endpoints: number,
    now: number,
): EndpointLinks {
    const failure = links.failures.get(address);
    if (!failure) return links;
    const failures = new Map(links.failures).set(address, { ...failure, isReachedByPeer: true });
    return judge({ ...links, failures }, endpoints, now);
}

/** Whether connections to an endpoint have to go through a peer, because the host's own link to it is down. */
export function needsRelay({ failures, cutOff }: EndpointLinks, address: string, now: number): boolean {
    if (cutOff) return true;
    const failure = failures.get(address);
    return failure?.isReachedByPeer === true && now - failure.at < LINK_FAILURE_TTL_MS;
}

function judge(links: EndpointLinks, endpoints: number, now: number): EndpointLinks {
    if (links.cutOff) return links;
    const recent = [...links.failures.values()].filter(({ at }) =>
        at > links.connectedAt && now - at < LINK_FAILURE_TTL_MS
    );
    const isConfirmed = recent.some(({ isReachedByPeer }) => isReachedByPeer);
    if (!isConfirmed || recent.length < requiredEndpoints(endpoints)) return links;
    const first = recent.reduce((earliest, failure) => failure.at < earliest.at ? failure : earliest);
    const { at: since, cause } = first;
    return { ...links, cutOff: { since, cause, failedEndpoints: recent.length, reachedAgain: new Set() } };
}

function requiredEndpoints(known: number): number {
    return Math.max(1, Math.min(MIN_ENDPOINTS, known));
}
