/**
 * Whether a host has descriptors left for one more call: it says so while it can still answer, since a process without any takes no
 * connection, not even to refuse it.
 *
 * @module
 */
import type { Log } from "./log.js";

/** Descriptors that sockets take now. */
export interface OpenSockets {
    readonly callers: number;
    readonly endpoints: number;
    readonly peers: number;
}

/** Files, pipes and listening sockets of a process. */
const RESERVED_FOR_FILES = 200;
/** Calls to the store, and copies that are ordered of endpoints. */
const RESERVED_FOR_CONTROL = 48;
/** What one more call takes: a connection to its endpoint, and one more where its stream goes on at a copy. */
const DESCRIPTORS_PER_CALL = 2;

/**
 * Whether one more call finds the descriptors that it needs.
 *
 * @param maxDescriptors Descriptors that the process may have; undefined where it is not known.
 *
 * @example
 * ```ts
 * hasDescriptors(4_100, { callers: 900, endpoints: 300, peers: 90 }); // true
 * ```
 */
export function hasDescriptors(
    maxDescriptors: number | undefined,
    { callers, endpoints, peers }: OpenSockets,
): boolean {
    return maxDescriptors === undefined
        || callers + endpoints + peers + DESCRIPTORS_PER_CALL <= maxSockets(maxDescriptors);
}

/** Descriptors that are left for sockets of callers, endpoints and peers. */
function maxSockets(maxDescriptors: number): number {
    return maxDescriptors - RESERVED_FOR_FILES - RESERVED_FOR_CONTROL;
}

/** What looking after descriptors needs. */
export interface DescriptorLimitDeps {
    /** Descriptors that the process may have; undefined where it is not known. */
    readonly maxDescriptors: number | undefined;
    readonly log: Log;
    readonly countSockets: () => OpenSockets;
    /** Closes what rests. */
    readonly closeIdle: () => void;
}

/** They are short until this share of those for sockets is free again, so that a host at its bound does not write lines without end. */
const RECOVERY_SHARE = 0.05;

/** Looks after a host's descriptors, with a line when they become short and when they are not any more. */
export class DescriptorLimit {
    private isShort = false;

    constructor(private readonly deps: DescriptorLimitDeps) {}

    /** Whether there is room for one more call, after what rests was closed where that is needed. */
    hasRoom(): boolean {
        const { maxDescriptors: most, countSockets: open, closeIdle: free } = this.deps;
        if (!hasDescriptors(most, open())) free();
        const sockets = open();
        const hasRoom = hasDescriptors(most, sockets);
        const hasRecovered = most === undefined || hasDescriptors(most - RECOVERY_SHARE * maxSockets(most), sockets);
        if (this.isShort ? hasRecovered : !hasRoom) this.setShort(!hasRoom, sockets);
        return hasRoom;
    }

    private setShort(isShort: boolean, sockets: OpenSockets): void {
        this.isShort = isShort;
        this.deps.log.warn(
            { most: this.deps.maxDescriptors, ...sockets },
            isShort ? "descriptors_short" : "descriptors_again",
        );
    }
}
