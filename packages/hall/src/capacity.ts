/**
 * What a host can carry, as it tells others, and the part of shared work that follows from it.
 *
 * @module
 */
import type { Weights } from "./ownership.js";

/** What is given to a host's process. Parts that are not known are absent. */
export interface HostSize {
    /** Cores of the machine, in units of the fleet's usual one. */
    readonly cores?: number | undefined;
    /** Share of them that the process may use. */
    readonly share?: number | undefined;
    /** Bandwidth of its link, in Mbit/s. */
    readonly linkMbps?: number | undefined;
}

/** A host that knows its capacity or not, as one of a list. */
export interface Rated {
    readonly name: string;
    /** In cores; absent where the host does not tell it. */
    readonly capacity?: number | undefined;
}

/** What an owner says and hears in the time of one core fills a link of this width: below it the link is what bounds the host. */
const MBITS_A_CORE = 30;
/** One process cannot use more, whatever its machine has: a wrong word may not draw all shared work to one host. */
const LARGEST_CORES = 16;
/** What is below this is no sooner full than the host itself. */
const LEAST_CORES = 0.05;
/** A host that does not tell its capacity. */
const USUAL_CORES = 1;
const DECIMALS = 1_000;

/**
 * A host's capacity in cores, bounded by its link; undefined where nothing sensible is known of it.
 *
 * @example
 * ```ts
 * capacityOf({ cores: 2, share: 0.675, linkMbps: 200 }); // 1.35
 * ```
 */
export function capacityOf({ cores, share = 1, linkMbps }: HostSize): number | undefined {
    const own = (cores ?? USUAL_CORES) * share;
    const linked = linkMbps === undefined ? own : Math.min(own, linkMbps / MBITS_A_CORE);
    const isKnown = cores !== undefined || linkMbps !== undefined;
    return isKnown && isSensible(linked) ? Math.round(linked * DECIMALS) / DECIMALS : undefined;
}

function isSensible(capacity: number | undefined): capacity is number {
    return capacity !== undefined && Number.isFinite(capacity) && capacity > 0;
}

/**
 * The weight of a capacity among those of other hosts. Callers come to all hosts alike, so that a host twice as large as another
 * has more than twice as much left for shared work.
 *
 * @example
 * ```ts
 * weightOf(undefined); // 1
 * weightOf(0.5); // 0.25
 * ```
 */
export function weightOf(capacity: number | undefined): number {
    const cores = isSensible(capacity) ? capacity : USUAL_CORES;
    return Math.min(LARGEST_CORES, Math.max(LEAST_CORES, cores)) ** 2;
}

/**
 * Weights of hosts; those that do not tell their capacity are left out.
 *
 * @example
 * ```ts
 * rank("endpoints/0", live, weightsOf(members));
 * ```
 */
export function weightsOf(hosts: readonly Rated[]): Weights {
    const rated = hosts.filter(({ capacity }) => capacity !== undefined);
    return new Map(rated.map(({ name, capacity }) => [name, weightOf(capacity)]));
}
