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
const FILES = 200;
/** Calls to the store, and copies that are ordered of endpoints. */
const CONTROL = 48;
/** What one more call takes: a connection to its endpoint, and one more where its stream goes on at a copy. */
const A_CALL = 2;

/**
 * Whether one more call finds the descriptors that it needs.
 *
 * @param most Descriptors that the process may have; undefined where it is not known.
 *
 * @example
 * ```ts
 * hasDescriptors(4_100, { callers: 900, endpoints: 300, peers: 90 }); // true
 * ```
 */
export function hasDescriptors(most: number | undefined, { callers, endpoints, peers }: OpenSockets): boolean {
    return most === undefined || callers + endpoints + peers + A_CALL <= socketsOf(most);
}

/** Descriptors that are left for sockets of callers, endpoints and peers. */
function socketsOf(most: number): number {
    return most - FILES - CONTROL;
}

/** What looking after descriptors needs. */
export interface DescriptorDeps {
    /** Descriptors that the process may have; undefined where it is not known. */
    readonly most: number | undefined;
    readonly log: Log;
    readonly open: () => OpenSockets;
    /** Closes what rests. */
    readonly free: () => void;
}

/** They are short until this share of those for sockets is free again, so that a host at its bound does not write lines without end. */
const FREE_SHARE = 0.05;

/** Looks after a host's descriptors, with a line when they become short and when they are not any more. */
export class Descriptors {
    private isShort = false;

    constructor(private readonly deps: DescriptorDeps) {}

    /** Whether there is room for one more call, after what rests was closed where that is needed. */
    hasRoom(): boolean {
        const { most, open, free } = this.deps;
        if (!hasDescriptors(most, open())) free();
        const sockets = open();
        const hasRoom = hasDescriptors(most, sockets);
        const isOver = most === undefined || hasDescriptors(most - FREE_SHARE * socketsOf(most), sockets);
        if (this.isShort ? isOver : !hasRoom) this.change(!hasRoom, sockets);
        return hasRoom;
    }

    private change(isShort: boolean, sockets: OpenSockets): void {
        this.isShort = isShort;
        this.deps.log.warn({ most: this.deps.most, ...sockets }, isShort ? "descriptors_short" : "descriptors_again");
    }
}
