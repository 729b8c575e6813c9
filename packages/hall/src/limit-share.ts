/**
 * How a workspace's limits are split: over halls, and within a hall over its live hosts. Shares of whole numbers are cut
 * so that they add up to the limit exactly: a hall that is cut off, or a host that sees no other, stays within its own.
 *
 * @module
 */
import type { WorkspaceLimits } from "@drumpaddle/policy";

/** One of several equal places: its index among `of`, both from a list that all sort alike. */
export interface Place {
    readonly index: number;
    readonly of: number;
}

/**
 * The share of a whole number at one of several places; the shares of all places add up to the number.
 *
 * @example
 * ```ts
 * [0, 1, 2].map(index => cut(10, { index, of: 3 })); // [3, 3, 4]
 * ```
 */
export function cut(limit: number, { index, of }: Place): number {
    return Math.floor(limit * (index + 1) / of) - Math.floor(limit * index / of);
}

/** The place of a name in a list; the only place where the list does not hold it. */
export function placeIn(name: string, names: readonly string[]): Place {
    const index = names.indexOf(name);
    return index < 0 ? { index: 0, of: 1 } : { index, of: names.length };
}

/**
 * A host's share of a workspace's limits.
 *
 * @example
 * ```ts
 * shareOf(limits, placeIn("k1", halls), placeIn("k1-a", liveHosts(membership, now)));
 * ```
 */
export function shareOf(limits: WorkspaceLimits, hall: Place, host: Place): WorkspaceLimits {
    const share = (limit: number): number => cut(cut(limit, hall), host);
    return {
        requestsPerMinute: share(limits.requestsPerMinute),
        tokensPerMinute: share(limits.tokensPerMinute),
        openStreams: share(limits.openStreams),
    };
}
