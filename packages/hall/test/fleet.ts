/**
 * Simulated hosts that run the failure detector against each other without sockets. Message loss and start times follow from a seed;
 * tests cause partitions, stalls and crashes.
 *
 * @module
 */
import {
    type AddressedDetectorMessage,
    announceLeaving,
    createDetector,
    type Detector,
    type DetectorStep,
    isAlive,
    liveHosts,
    liveHostsInHall,
    receiveDetectorMessage,
    tickDetector,
} from "../src/index.js";
import { VirtualClock } from "./virtual-clock.js";

const ROUND_MS = 250;
/** One-way delays within a hall and between halls. */
const LOCAL_DELAY_MS = 1;
const REMOTE_DELAY_MS = 3;

/** A simulated host. */
export interface SimHost {
    readonly name: string;
    readonly hall: string;
    readonly address: string;
    /** Capacity that it reports after its next start. */
    capacity?: number;
    state: Detector;
    alive: boolean;
    /** It is stalled until this time; messages that arrive meanwhile wait. */
    pausedUntil: number;
    sent: number;
    bytes: number;
}

/** Configuration of a fleet. */
export interface FleetCfg {
    readonly hosts: number;
    readonly halls: number;
    readonly seed?: number;
    /** Fraction of messages that are lost. */
    readonly loss?: number;
    /** Capacity that a host reports, by its index; none by default. */
    readonly capacity?: (at: number) => number | undefined;
    /** Whether a link carries messages; all do by default. */
    readonly passes?: (from: SimHost, to: SimHost) => boolean;
}

/** Returns a seeded generator of random numbers in [0, 1) (mulberry32). */
export function seeded(seed: number): () => number {
    let at = seed;
    return () => {
        at = (at + 0x6d2b79f5) | 0;
        let mixed = Math.imul(at ^ (at >>> 15), 1 | at);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
}

function capacityField(capacity: number | undefined): { readonly capacity?: number } {
    return capacity === undefined ? {} : { capacity };
}

/** A fleet of simulated hosts and its clock. */
export class Fleet extends VirtualClock {
    readonly hosts: SimHost[];
    /** Whether to count bytes. They are counted as JSON, which is about twice the size on the wire. */
    countsBytes = false;
    passes: (from: SimHost, to: SimHost) => boolean;
    /** Called before a host handles a message. */
    onMessage: (host: SimHost, from: SimHost) => void = () => undefined;
    private readonly random: () => number;
    private readonly byAddress: Map<string, SimHost>;

    constructor(private readonly cfg: FleetCfg) {
        super();
        this.random = seeded(cfg.seed ?? 1);
        this.passes = cfg.passes ?? (() => true);
        const names = Array.from({ length: cfg.hosts }, (_, at) => ({
            name: `h${at % cfg.halls}-${String(Math.floor(at / cfg.halls)).padStart(3, "0")}`,
            hall: `h${at % cfg.halls}`,
            address: `10.0.${at % cfg.halls}.${Math.floor(at / cfg.halls)}:7200`,
            ...capacityField(cfg.capacity?.(at)),
        }));
        const seeds = names.slice(0, 3).map(({ address }) => address);
        this.hosts = names.map(info => ({
            ...info,
            state: this.newDetector(info, seeds),
            alive: true,
            pausedUntil: 0,
            sent: 0,
            bytes: 0,
        }));
        this.byAddress = new Map(this.hosts.map(host => [host.address, host]));
        for (const host of this.hosts) this.at(Math.floor(this.random() * 300), () => this.round(host, host.state));
    }

    private newDetector(
        info: Pick<SimHost, "name" | "hall" | "address" | "capacity">,
        seeds: readonly string[],
    ): Detector {
        const start = Math.floor(this.random() * 2 ** 31);
        const { name, hall, address, capacity } = info;
        return createDetector({ name, hall, address, ...capacityField(capacity), scope: "all", start }, seeds);
    }

    /** Runs a callback now, or when the host's stall ends. */
    private whenResumed(host: SimHost, run: () => void): void {
        if (this.now >= host.pausedUntil) return run();
        this.at(host.pausedUntil, run);
    }

    private env() {
        return { now: this.now, intervalMs: ROUND_MS, random: this.random };
    }

    private round(host: SimHost, life: Detector): void {
        const start = life.membership.self.start;
        this.whenResumed(host, () => {
            if (!host.alive || host.state.membership.self.start !== start) return;
            this.applyStep(host, tickDetector(host.state, this.env()));
            this.at(this.now + ROUND_MS, () => this.round(host, host.state));
        });
    }

    private applyStep(host: SimHost, step: DetectorStep): void {
        host.state = step.state;
        for (const item of step.send) this.deliver(host, item);
    }

    private deliver(from: SimHost, { to, message }: AddressedDetectorMessage): void {
        from.sent += 1;
        if (this.countsBytes) from.bytes += JSON.stringify(message).length;
        const target = this.byAddress.get(to);
        if (!target || !this.passes(from, target) || this.random() < (this.cfg.loss ?? 0)) return;
        const delay = from.hall === target.hall ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;
        this.at(this.now + delay, () =>
            this.whenResumed(target, () => {
                if (!target.alive) return;
                this.onMessage(target, from);
                this.applyStep(target, receiveDetectorMessage(target.state, from.address, message, this.env()));
            }));
    }

    kill(host: SimHost): void {
        host.alive = false;
    }

    leave(host: SimHost): void {
        this.applyStep(host, announceLeaving(host.state, this.env()));
    }

    /** Starts a new instance of a host with the same name and address. */
    restart(host: SimHost, seeds: readonly string[]): void {
        host.alive = true;
        host.state = this.newDetector(host, seeds);
        this.round(host, host.state);
    }

    get running(): readonly SimHost[] {
        return this.hosts.filter(host => host.alive);
    }

    /** Running hosts that consider a host alive. */
    hostsThatSeeAlive(host: SimHost): readonly SimHost[] {
        return this.running.filter(other => {
            const member = other.state.membership.members.get(host.name);
            return other !== host && member !== undefined && isAlive(member, this.now);
        });
    }

    /** Whether a host considers exactly the running hosts of its hall alive. */
    knowsHall(host: SimHost): boolean {
        const wanted = this.running.filter(({ hall }) => hall === host.hall).map(({ name }) => name).sort();
        return liveHostsInHall(host.state.membership, this.now).join() === wanted.join();
    }

    knowsScope(host: SimHost): boolean {
        return liveHosts(host.state.membership, this.now).join() === this.running.map(({ name }) => name).sort().join();
    }

    /** Runs until a condition holds. Returns how long that took, or `mostMs` if it did not hold by then. */
    runUntil(holds: () => boolean, mostMs: number): number {
        const from = this.now;
        while (!holds() && this.now - from < mostMs) this.run(25);
        return this.now - from;
    }
}
