/**
 * Limits that endpoints in need name themselves: requests a second from all hosts together. No host sees what the others
 * send, so each has a fixed part of the requests of a span, by its place among the live hosts: the parts add up to no more
 * than the limit, with as many hosts as there are, more hosts than requests included. A host whose part is nothing sends
 * nothing. Who hears no more than half of the hosts that it has known has no part of what does not go round, so that several
 * parts of a fleet that cannot hear each other do not hand it out twice.
 *
 * That a limit is over is told by answers alone. Where none was heard of for a while, as by hosts whose parts go unused,
 * hosts take turns in sending one request.
 *
 * Pure. Times are milliseconds on the scheduler's clock.
 *
 * @module
 */
import type { EndpointView, Said } from "./endpoint.js";
import type { Fleet } from "./fleet.js";

/** Limits are kept over the least span of whole requests above this: one of 2.3 a second is ten in 4.35 s. */
const MIN_SPAN_S = 4;
/** Limits below one request in this time are taken for it: without any, nobody would hear that the limit is over. */
const MAX_SPAN_MS = 10_000;
/** Hosts that start together know each other after this, in fleets of any size. */
const FLEET_LEARN_MS = 3_000;
/** One that starts where it hears few of those that it was told of may be cut off, and does not know how many there are. */
const MINORITY_LEARN_MS = 10_000;
/** A limit of which no host has heard for this long is in doubt. */
const STALE_MS = 10_000;
/** Then each host's turn to send one request lasts so long: below five requests in a span, whatever the limit. */
const PROBE_TURN_MS = 1_000;

/** Turns for each host that a host knows which hears no more than half of them. */
const MINORITY_TURN_FACTOR = 3;

/** A limit as it is kept: requests within a span. */
interface Quota {
    readonly maxRequests: number;
    readonly spanMs: number;
}

function quotaOf(perS: number): Quota {
    const maxRequests = Math.max(1, Math.ceil(perS * MIN_SPAN_S));
    return { maxRequests, spanMs: Math.min(MAX_SPAN_MS, 1_000 * maxRequests / perS) };
}

/** Requests a millisecond that all hosts together may send to a limited endpoint. */
export function limitPerMs({ said }: EndpointView): number {
    const { maxRequests, spanMs } = quotaOf(said?.limitPerS ?? 0);
    return maxRequests / spanMs;
}

/** Whether an endpoint names a limit. */
export function isLimited({ said }: EndpointView): boolean {
    return said?.limitPerS !== undefined;
}

/** Whether a host hears more than half of the hosts that it has known: no other part of the fleet does. */
function hearsMajority({ live, most }: Fleet): boolean {
    return 2 * live > most;
}

/** Endpoints begin with different hosts, so that small limits of several endpoints are not all the same host's. */
function placeAtEndpoint(endpoint: string, { place, live }: Fleet): number {
    let sum = 0;
    for (let at = 0; at < endpoint.length; at++) sum = (31 * sum + endpoint.charCodeAt(at)) % 65_536;
    return (place + sum) % Math.max(1, live);
}

/**
 * Requests that a host may send to an endpoint within a span of its limit.
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

/**
 * When each request of a host's part may first be sent after it heard of the limit or got this part, in milliseconds: all parts
 * together come one after another over a span. So an endpoint in need gets them evenly, soon after its limit is over one of them
 * shows that, and where parts pass to other hosts, what those before them sent no longer counts.
 */
function firstSendTimes(endpoint: string, perS: number, fleet: Fleet, now: number): readonly number[] {
    const { maxRequests, spanMs } = quotaOf(perS);
    const place = placeAtEndpoint(endpoint, fleet);
    const share = limitShare(endpoint, perS, fleet, now);
    return Array.from({ length: share }, (_, at) => spanMs * ((at * fleet.most + place) / maxRequests % 1));
}

/**
 * Whether it is this host's turn to find out if a limit is over that nobody has heard of for a while. Hosts that do not hear each
 * other cannot take turns in order: each of them takes one by its mark, and so rarely that few meet.
 */
function isProbeTurn(endpoint: string, said: Said, fleet: Fleet, now: number): boolean {
    const staleMs = now - said.at - STALE_MS;
    if (staleMs < 0) return false;
    const turn = Math.floor(staleMs / PROBE_TURN_MS);
    if (hearsMajority(fleet)) return turn % Math.max(1, fleet.live) === placeAtEndpoint(endpoint, fleet);
    const turns = MINORITY_TURN_FACTOR * fleet.most;
    return turn % turns === fleet.mark % turns;
}

/** When a host may send requests to a limited endpoint, as times from now, the soonest first; those of its part alone. */
export function sendTimesWithinLimit(
    { cfg: { id }, said }: EndpointView,
    times: readonly number[],
    fleet: Fleet,
    now: number,
): readonly number[] {
    const { limitPerS: perS = 0, since } = said!;
    const { spanMs } = quotaOf(perS);
    const from = Math.max(since, fleet.changedAt);
    const first = firstSendTimes(id, perS, fleet, now).map(ms => Math.max(0, from + ms - now)).sort((a, b) => a - b);
    const counted = times.filter(at => now - at < spanMs).slice(-first.length);
    // Each request that counts holds one of the part until a span has passed.
    return [...first.slice(counted.length), ...counted.map(at => at + spanMs - now)].sort((a, b) => a - b);
}

/**
 * Whether a host may send a request to an endpoint now, by the limit that the endpoint names.
 *
 * @param times When it sent requests there, the oldest first.
 *
 * @example
 * ```ts
 * limitLetsIn(view, state.letIn.get(view.cfg.id) ?? [], state.fleet, now);
 * ```
 */
export function limitAdmits(view: EndpointView, times: readonly number[], fleet: Fleet, now: number): boolean {
    const { cfg: { id }, said } = view;
    if (!said || !isLimited(view)) return true;
    const [next] = sendTimesWithinLimit(view, times, fleet, now);
    if (next === 0) return true;
    const isFirstOfTurn = times.every(at => now - at >= PROBE_TURN_MS);
    return isFirstOfTurn && isProbeTurn(id, said, fleet, now);
}
