/**
 * Splits a workspace's limits over halls, and a hall's part over its live hosts. The integer shares add up to the limit exactly. A
 * partitioned hall, or a host that sees no peers, still enforces its own share only.
 *
 * @module
 */
import type { WorkspaceLimits } from "@drumpaddle/policy";

/** One of `of` equal shares, by its index. All hosts take both from the same sorted list. */
export interface ShareIndex {
    readonly index: number;
    readonly of: number;
}

/**
 * Returns one of several integer shares of a limit. Together the shares add up to the limit.
 *
 * @example
 * ```ts
 * [0, 1, 2].map(index => splitLimit(10, { index, of: 3 })); // [3, 3, 4]
 * ```
 */
export function splitLimit(limit: number, { index, of }: ShareIndex): number {
    return Math.floor(limit * (index + 1) / of) - Math.floor(limit * index / of);
}

/** Returns the share of a name from a list. A name that is not in the list gets the only share, thus the whole. */
export function shareIndexIn(name: string, names: readonly string[]): ShareIndex {
    const index = names.indexOf(name);
    return index < 0 ? { index: 0, of: 1 } : { index, of: names.length };
}

/**
 * Returns a host's share of a workspace's limits.
 *
 * @example
 * ```ts
 * hostShareOfLimits(limits, shareIndexIn("k1", halls), shareIndexIn("k1-a", liveHosts(membership, now)));
 * ```
 */
export function hostShareOfLimits(limits: WorkspaceLimits, hall: ShareIndex, host: ShareIndex): WorkspaceLimits {
    const share = (limit: number): number => splitLimit(splitLimit(limit, hall), host);
    return {
        requestsPerMinute: share(limits.requestsPerMinute),
        tokensPerMinute: share(limits.tokensPerMinute),
        openStreams: share(limits.openStreams),
    };
}
