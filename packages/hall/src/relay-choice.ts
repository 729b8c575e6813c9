/**
 * Chooses the peers through which a host reaches endpoints when its own links are down.
 *
 * The choice is random with the peers' weights, so that a hall that is cut off as a whole spreads its calls over all others. A peer
 * that could not help is left out for a while: it is probably cut off as well.
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

/** Until when peers are left out, by name. Times are in milliseconds on the host's monotonic clock. */
export type AvoidedPeers = ReadonlyMap<string, number>;

/** A peer that could not help is left out for this long. */
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
    return peers
        .filter(({ name }) => now >= (avoided.get(name) ?? -Infinity))
        .map(peer => ({ peer, key: -Math.log(1 - random()) / peer.weight }))
        .sort((a, b) => a.key - b.key)
        .slice(0, count)
        .map(({ peer }) => peer);
}

/** Records that a peer could not help; forgets those whose time is over. */
export function avoidPeer(avoided: AvoidedPeers, name: string, now: number): AvoidedPeers {
    const current = [...avoided].filter(([, until]) => now < until);
    return new Map(current).set(name, now + AVOID_PEER_MS);
}
