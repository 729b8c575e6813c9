/**
 * The limit on a host's file descriptors. A host refuses calls before its descriptors are used up, since a process without any
 * cannot accept a connection, not even to refuse a call.
 *
 * @module
 */
import type { Log } from "./log.js";

/** Open sockets, each of which takes a descriptor. */
export interface OpenSockets {
    readonly callers: number;
    readonly endpoints: number;
    readonly peers: number;
}

/** Descriptors kept for files, pipes and listening sockets of the process. */
const RESERVED_FOR_FILES = 200;
/** Descriptors kept for calls to the store and for requests that make endpoints copy generations. */
const RESERVED_FOR_CONTROL = 48;
/** Descriptors that one more call takes: a connection to its endpoint, and another if its stream continues at a copy. */
const DESCRIPTORS_PER_CALL = 2;

/**
 * Whether there are enough descriptors for one more call.
 *
 * @param maxDescriptors Descriptors that the process may have; undefined if the number is not known.
 *
 * @example
 * ```ts
 * hasEnoughDescriptors(4_100, { callers: 900, endpoints: 300, peers: 90 }); // true
 * ```
 */
export function hasEnoughDescriptors(
    maxDescriptors: number | undefined,
    { callers, endpoints, peers }: OpenSockets,
): boolean {
    return maxDescriptors === undefined
        || callers + endpoints + peers + DESCRIPTORS_PER_CALL <= maxSockets(maxDescriptors);
}

/** Descriptors for sockets of callers, endpoints and peers, out of all that the process may have. */
function maxSockets(maxDescriptors: number): number {
    return maxDescriptors - RESERVED_FOR_FILES - RESERVED_FOR_CONTROL;
}

/** What a {@link DescriptorLimit} depends on. */
export interface DescriptorLimitDeps {
    /** Descriptors that the process may have; undefined if the number is not known. */
    readonly maxDescriptors: number | undefined;
    readonly log: Log;
    readonly countSockets: () => OpenSockets;
    /** Closes idle connections. */
    readonly closeIdle: () => void;
}

/**
 * A shortage counts as over once this share of the descriptors for sockets is free again. Without this hysteresis, a host near its
 * limit would log a line for each call.
 */
const RECOVERY_SHARE = 0.05;

/** Checks a host's descriptors, and logs when they become short and when the shortage is over. */
export class DescriptorLimit {
    private isShort = false;

    constructor(private readonly deps: DescriptorLimitDeps) {}

    /** Whether there are descriptors for one more call; closes idle connections first if there are not. */
    admitsCall(): boolean {
        const { maxDescriptors, countSockets, closeIdle } = this.deps;
        if (!hasEnoughDescriptors(maxDescriptors, countSockets())) closeIdle();
        const sockets = countSockets();
        const hasEnough = hasEnoughDescriptors(maxDescriptors, sockets);
        const hasRecovered = maxDescriptors === undefined
            || hasEnoughDescriptors(maxDescriptors - RECOVERY_SHARE * maxSockets(maxDescriptors), sockets);
        if (this.isShort ? hasRecovered : !hasEnough) this.setShort(!hasEnough, sockets);
        return hasEnough;
    }

    private setShort(isShort: boolean, sockets: OpenSockets): void {
        this.isShort = isShort;
        this.deps.log.warn(
            { most: this.deps.maxDescriptors, ...sockets },
            isShort ? "descriptors_short" : "descriptors_again",
        );
    }
}
