/**
 * Chooses the peers through which a host reaches endpoints when its own links are down.
 *
 * The choice is random with the peers' weights, so that a hall that is cut off as a whole spreads its calls over all others. A peer
 * that has refused is left out for a while: it is probably cut off as well. One that has not answered in time is drawn last.
 *
 * All functions are pure.
 *
 * @module
 */

/** A peer that may relay connections. */
export interface RelayPeer {
    readonly name: string;
    /** `ip:port` of its port for peers. */
    readonly address: string;
    readonly weight: number;
}

/** Why a peer is avoided, and until when, in milliseconds on the host's monotonic clock. */
interface Avoidance {
    readonly until: number;
    /** Whether the peer has refused; otherwise it has not answered in time and may only be busy. */
    readonly hasRefused: boolean;
}

/** The peers that could not help lately, by name. */
export type AvoidedPeers = ReadonlyMap<string, Avoidance>;

/** A peer that could not help is avoided for this long. */
export const AVOID_PEER_MS = 1_000;

/**
 * Draws up to `count` different peers; each draw takes a peer with a probability in proportion to its weight (Efraimidis and Spirakis
 * 2006).
 *
 * @param random Uniform in [0, 1).
 *
 * @example
 * ```ts
 * chooseRelays(peers, avoided, 2, now, Math.random)[0]?.address; // "10.0.0.4:7080"
 * ```
 */
export function chooseRelays(
    peers: readonly RelayPeer[],
    avoided: AvoidedPeers,
    count: number,
    now: number,
    random: () => number,
): readonly RelayPeer[] {
    const current = currentlyAvoided(avoided, now);
    return peers
        .filter(({ name }) => current.get(name)?.hasRefused !== true)
        .map(peer => ({ peer, isLast: current.has(peer.name), key: -Math.log(1 - random()) / peer.weight }))
        .sort((a, b) => Number(a.isLast) - Number(b.isLast) || a.key - b.key)
        .slice(0, count)
        .map(({ peer }) => peer);
}

/** Records that a peer could not help; forgets those whose time is over. */
export function avoidPeer(avoided: AvoidedPeers, name: string, hasRefused: boolean, now: number): AvoidedPeers {
    return new Map(currentlyAvoided(avoided, now)).set(name, { until: now + AVOID_PEER_MS, hasRefused });
}

function currentlyAvoided(avoided: AvoidedPeers, now: number): AvoidedPeers {
    return new Map([...avoided].filter(([, { until }]) => now < until));
}
