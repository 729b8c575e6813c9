/**
 * The capacity that a host reports to its peers, and the weight by which it gets a share of the hall's shared work.
 *
 * @module
 */
import type { Weights } from "./ownership.js";

/** Resources of the machine that are available to a host's process. Unknown ones are absent. */
export interface HostResources {
    /** Cores of the machine, in units of the fleet's standard core. */
    readonly cores?: number | undefined;
    /** Fraction of these cores that the process may use. */
    readonly share?: number | undefined;
    /** Bandwidth of the network link, in Mbit/s. */
    readonly linkMbps?: number | undefined;
}

/** A host and its reported capacity. */
export interface HostCapacity {
    readonly name: string;
    /** In cores; absent if the host does not report one. */
    readonly capacity?: number | undefined;
}

/** Traffic of an endpoint owner that keeps one core busy. On a narrower link the bandwidth limits the host, not the cores. */
const MBITS_PER_CORE = 30;
/** One process cannot use more cores. The cap keeps a wrong report from drawing all shared work to one host. */
const MAX_CORES = 16;
/** Smaller capacities count as this one: shared work does not fill such a host before its own requests do. */
const MIN_CORES = 0.05;
/** Assumed for a host that reports no valid capacity. */
const DEFAULT_CORES = 1;
/** Capacities are rounded to a thousandth of a core. */
const CAPACITY_SCALE = 1_000;

/**
 * Returns a host's capacity in cores, bounded by its network link, or undefined if neither cores nor link are known, or if the
 * result is not positive and finite.
 *
 * @example
 * ```ts
 * capacityOf({ cores: 2, share: 0.675, linkMbps: 200 }); // 1.35
 * ```
 */
export function capacityOf({ cores, share = 1, linkMbps }: HostResources): number | undefined {
    const processCores = (cores ?? DEFAULT_CORES) * share;
    const bounded = linkMbps === undefined ? processCores : Math.min(processCores, linkMbps / MBITS_PER_CORE);
    const isKnown = cores !== undefined || linkMbps !== undefined;
    return isKnown && isValidCapacity(bounded) ? Math.round(bounded * CAPACITY_SCALE) / CAPACITY_SCALE : undefined;
}

function isValidCapacity(capacity: number | undefined): capacity is number {
    return capacity !== undefined && Number.isFinite(capacity) && capacity > 0;
}

/**
 * Returns the weight of a host of this capacity. It grows with the square of the capacity: callers connect to all hosts at the same
 * rate, so a host twice as large has more than twice as much left for shared work.
 *
 * @example
 * ```ts
 * weightOf(undefined); // 1
 * weightOf(0.5); // 0.25
 * ```
 */
export function weightOf(capacity: number | undefined): number {
    const cores = isValidCapacity(capacity) ? capacity : DEFAULT_CORES;
    return Math.min(MAX_CORES, Math.max(MIN_CORES, cores)) ** 2;
}

/**
 * Returns the weights of hosts by name. Hosts that report no capacity are left out and get the default weight.
 *
 * @example
 * ```ts
 * rank("endpoints/0", live, weightsOf(members));
 * ```
 */
export function weightsOf(hosts: readonly HostCapacity[]): Weights {
    const withCapacity = hosts.filter(({ capacity }) => capacity !== undefined);
    return new Map(withCapacity.map(({ name, capacity }) => [name, weightOf(capacity)]));
}
