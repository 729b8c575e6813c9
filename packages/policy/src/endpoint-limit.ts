/**
 * Limits that overloaded endpoints announce themselves, in requests per second from all hosts together.
 *
 * No host sees what the others send, so each has a share of the requests of a span, by its position among the live
 * hosts. The shares add up to no more than the limit, also with more hosts than requests; a host without a share sends
 * nothing. Hosts lend each other what they do not use. The remainder of an even division goes only to hosts that hear more than half of the hosts that they
 * have known, so that parts of a fleet that cannot hear each other do not hand it out twice.
 *
 * Only an endpoint's answer shows that its limit has been lifted. If no answer has come for a while, for example
 * because shares go unused, hosts take turns in sending one request.
 *
 * Pure. Times are milliseconds on the scheduler's clock.
 *
 * @module
 */
import type { AnnouncedLimit, EndpointView } from "./endpoint.js";
import type { AdmissionBounds, Fleet } from "./fleet.js";
import { loanedCount, loansOf } from "./limit-loans.js";

/**
 * A limit applies over the shortest span of at least this length that holds a whole number of requests: 2.3 requests
 * per second become ten in 4.35 s.
 */
const MIN_SPAN_S = 4;
/**
 * A limit below one request in this time is raised to it: without any request, no host would learn that the limit has
 * been lifted.
 */
const MAX_SPAN_MS = 10_000;
/** Hosts that start together have heard from each other after this time, in fleets of any size. */
const FLEET_LEARN_MS = 3_000;
/**
 * A host that hears at most half of the hosts named to it may be cut off and may not know how many hosts there are, so
 * it waits longer.
 */
const MINORITY_LEARN_MS = 10_000;
/** A limit that was last heard of this long ago may have been lifted. */
const STALE_MS = 10_000;
/**
 * Length of each host's turn to send one probe request after that: about one request per second from all hosts
 * together, whatever the limit.
 */
const PROBE_TURN_MS = 1_000;

/** A host that hears no more than half of the known hosts takes one of this many turns per known host. */
const MINORITY_TURN_FACTOR = 3;

/** A limit as it is enforced: requests within a span. */
interface Quota {
    readonly maxRequests: number;
    readonly spanMs: number;
}

function quotaOf(perS: number): Quota {
    const maxRequests = Math.max(1, Math.ceil(perS * MIN_SPAN_S));
    return { maxRequests, spanMs: Math.min(MAX_SPAN_MS, 1_000 * maxRequests / perS) };
}

/** Length of the span within which a limit's requests are counted, in milliseconds. */
export function limitSpanMs(perS: number): number {
    return quotaOf(perS).spanMs;
}

/** Requests per millisecond that all hosts together may send to a limited endpoint. */
export function limitPerMs({ announcedLimit }: EndpointView): number {
    const { maxRequests, spanMs } = quotaOf(announcedLimit?.limitPerS ?? 0);
    return maxRequests / spanMs;
}

/** Whether an endpoint announces a limit. */
export function isLimited({ announcedLimit }: EndpointView): boolean {
    return announcedLimit?.limitPerS !== undefined;
}

/** Whether a host hears more than half of the hosts that it has known; at most one part of a divided fleet does. */
export function hearsMajority({ live, most }: Fleet): boolean {
    return 2 * live > most;
}

/**
 * A host's position for one endpoint. Positions are shifted by endpoint, so that small limits of several endpoints do
 * not all fall to the same host.
 */
export function placeAtEndpoint(endpoint: string, { place, live }: Fleet): number {
    let sum = 0;
    for (let at = 0; at < endpoint.length; at++) sum = (31 * sum + endpoint.charCodeAt(at)) % 65_536;
    return (place + sum) % Math.max(1, live);
}

/**
 * Number of requests that a host may send to an endpoint within a span of its limit.
 *
 * @example
 * ```ts
 * limitShare("i-7", 2.3, { ...fleet, place: 0, live: 6, most: 6 }, now); // 1 or 2: ten in 4.35 s among six
 * ```
 */
export function limitShare(endpoint: string, perS: number, fleet: Fleet, now: number): number {
    const { since, most: hosts } = fleet;
    const learntMs = hearsMajority(fleet) ? FLEET_LEARN_MS : MINORITY_LEARN_MS;
    if (since === undefined || now - since < learntMs) return 0;
    const { maxRequests } = quotaOf(perS);
    const each = Math.floor(maxRequests / hosts);
    return hearsMajority(fleet) && placeAtEndpoint(endpoint, fleet) < maxRequests % hosts ? each + 1 : each;
}

/** What a host needs to know of the others to keep to its share of a limit. */
export type SharingHosts = Pick<AdmissionBounds, "fleet" | "loans">;

/** Number of requests that a host may send to an endpoint within a span now: its share with what it has lent and borrowed. */
export function currentLimitShare(
    endpoint: string,
    perS: number,
    { fleet, loans }: SharingHosts,
    now: number,
): number {
    const { lent, borrowed } = loansOf(loans, endpoint);
    const valid = borrowed.filter(({ hosts }) => hosts === fleet.most);
    const balance = loanedCount(valid, perS, now) - loanedCount(lent, perS, now);
    return Math.max(0, limitShare(endpoint, perS, fleet, now) + balance);
}

/**
 * Earliest send times of a host's share, in milliseconds after it heard of the limit or its share changed. The sends of
 * all hosts together are spread evenly over a span. So the endpoint receives an even load, one of the requests soon
 * shows when the limit has been lifted, and where shares pass to other hosts the earlier sends no longer count.
 */
function firstSendTimes(endpoint: string, perS: number, hosts: SharingHosts, now: number): readonly number[] {
    const { maxRequests, spanMs } = quotaOf(perS);
    const { fleet } = hosts;
    const place = placeAtEndpoint(endpoint, fleet);
    const share = currentLimitShare(endpoint, perS, hosts, now);
    return Array.from({ length: share }, (_, at) => spanMs * ((at * fleet.most + place) / maxRequests % 1));
}

/**
 * Whether it is this host's turn to probe a limit that no host has heard of for a while. Hosts that do not hear each
 * other cannot take turns in order: each takes one by its mark, and so rarely that few of them coincide.
 */
function isProbeTurn(endpoint: string, said: AnnouncedLimit, fleet: Fleet, now: number): boolean {
    const staleMs = now - said.at - STALE_MS;
    if (staleMs < 0) return false;
    const turn = Math.floor(staleMs / PROBE_TURN_MS);
    if (hearsMajority(fleet)) return turn % Math.max(1, fleet.live) === placeAtEndpoint(endpoint, fleet);
    const turns = MINORITY_TURN_FACTOR * fleet.most;
    return turn % turns === fleet.mark % turns;
}

/** Times from now at which a host may send the requests of its share to a limited endpoint, soonest first. */
export function sendTimesWithinLimit(
    { cfg: { id }, announcedLimit: said }: EndpointView,
    times: readonly number[],
    hosts: SharingHosts,
    now: number,
): readonly number[] {
    const { limitPerS: perS = 0, since } = said!;
    const { spanMs } = quotaOf(perS);
    const from = Math.max(since, hosts.fleet.changedAt);
    const first = firstSendTimes(id, perS, hosts, now).map(ms => Math.max(0, from + ms - now)).sort((a, b) => a - b);
    if (first.length === 0) return [];
    const counted = times.filter(at => now - at < spanMs).slice(-first.length);
    // Each counted request uses one of the share until a span has passed.
    return [...first.slice(counted.length), ...counted.map(at => at + spanMs - now)].sort((a, b) => a - b);
}

/**
 * Whether the limit that an endpoint announces allows this host to send a request now.
 *
 * @param times When this host sent requests there, oldest first.
 *
 * @example
 * ```ts
 * limitAdmits(view, state.letIn.get(view.cfg.id) ?? [], state, now);
 * ```
 */
export function limitAdmits(view: EndpointView, times: readonly number[], hosts: SharingHosts, now: number): boolean {
    const { cfg: { id }, announcedLimit: said } = view;
    if (!said || !isLimited(view)) return true;
    const [next] = sendTimesWithinLimit(view, times, hosts, now);
    if (next === 0) return true;
    const isFirstOfTurn = times.every(at => now - at >= PROBE_TURN_MS);
    return isFirstOfTurn && isProbeTurn(id, said, hosts.fleet, now);
}
