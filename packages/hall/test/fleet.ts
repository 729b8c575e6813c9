/**
 * Hosts that run the detector with each other, without sockets: delays, losses, cuts, pauses and deaths are drawn by seed.
 *
 * @module
 */
import {
    type AddressedDetectorMessage,
    createDetector,
    type Detector,
    type DetectorStep,
    isAlive,
    leaveHall,
    liveHosts,
    liveInHall,
    receive,
    tick,
} from "../src/index.js";
import { VirtualClock } from "./virtual-clock.js";

const EVERY_MS = 250;
/** One way, in milliseconds: within a hall and between halls. */
const NEAR_MS = 1;
const FAR_MS = 3;

/** A host of the fleet. */
export interface SimHost {
    readonly name: string;
    readonly hall: string;
    readonly address: string;
    /** What its next life tells of its capacity. */
    capacity?: number;
    state: Detector;
    alive: boolean;
    /** It does nothing before this time; what comes meanwhile waits. */
    pausedUntil: number;
    sent: number;
    bytes: number;
}

/** How a fleet is set up. */
export interface FleetCfg {
    readonly hosts: number;
    readonly halls: number;
    readonly seed?: number;
    /** Share of messages that are lost. */
    readonly loss?: number;
    /** What hosts tell of their capacity, by their place in the list; nothing where it is not given. */
    readonly capacity?: (at: number) => number | undefined;
    /** Whether a link carries messages; all do where it is not given. */
    readonly passes?: (from: SimHost, to: SimHost) => boolean;
}

/** A seeded source of numbers in [0, 1) (mulberry32). */
export function seeded(seed: number): () => number {
    let at = seed;
    return () => {
        at = (at + 0x6d2b79f5) | 0;
        let mixed = Math.imul(at ^ (at >>> 15), 1 | at);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
}

function told(capacity: number | undefined): { readonly capacity?: number } {
    return capacity === undefined ? {} : { capacity };
}

/** Hosts and the time that they live in. */
export class Fleet extends VirtualClock {
    readonly hosts: SimHost[];
    /** Whether bytes are counted, as JSON: about twice what is sent. */
    counts = false;
    passes: (from: SimHost, to: SimHost) => boolean;
    /** Told of each message that a host takes in. */
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
            ...told(cfg.capacity?.(at)),
        }));
        const seeds = names.slice(0, 3).map(({ address }) => address);
        this.hosts = names.map(info => ({
            ...info,
            state: this.newborn(info, seeds),
            alive: true,
            pausedUntil: 0,
            sent: 0,
            bytes: 0,
        }));
        this.byAddress = new Map(this.hosts.map(host => [host.address, host]));
        for (const host of this.hosts) this.at(Math.floor(this.random() * 300), () => this.round(host, host.state));
    }

    private newborn(info: Pick<SimHost, "name" | "hall" | "address" | "capacity">, seeds: readonly string[]): Detector {
        const start = Math.floor(this.random() * 2 ** 31);
        const { name, hall, address, capacity } = info;
        return createDetector({ name, hall, address, ...told(capacity), scope: "all", start }, seeds);
    }

    /** Runs now, or when the host goes on. */
    private whenAwake(host: SimHost, run: () => void): void {
        if (this.now >= host.pausedUntil) return run();
        this.at(host.pausedUntil, run);
    }

    private env() {
        return { now: this.now, everyMs: EVERY_MS, random: this.random };
    }

    private round(host: SimHost, life: Detector): void {
        const start = life.membership.self.start;
        this.whenAwake(host, () => {
            if (!host.alive || host.state.membership.self.start !== start) return;
            this.follow(host, tick(host.state, this.env()));
            this.at(this.now + EVERY_MS, () => this.round(host, host.state));
        });
    }

    private follow(host: SimHost, step: DetectorStep): void {
        host.state = step.state;
        for (const item of step.send) this.deliver(host, item);
    }

    private deliver(from: SimHost, { to, message }: AddressedDetectorMessage): void {
        from.sent += 1;
        if (this.counts) from.bytes += JSON.stringify(message).length;
        const target = this.byAddress.get(to);
        if (!target || !this.passes(from, target) || this.random() < (this.cfg.loss ?? 0)) return;
        const delay = from.hall === target.hall ? NEAR_MS : FAR_MS;
        this.at(this.now + delay, () =>
            this.whenAwake(target, () => {
                if (!target.alive) return;
                this.onMessage(target, from);
                this.follow(target, receive(target.state, from.address, message, this.env()));
            }));
    }

    kill(host: SimHost): void {
        host.alive = false;
    }

    leave(host: SimHost): void {
        this.follow(host, leaveHall(host.state, this.env()));
    }

    /** A new life of the same name at the same address. */
    restart(host: SimHost, seeds: readonly string[]): void {
        host.alive = true;
        host.state = this.newborn(host, seeds);
        this.round(host, host.state);
    }

    get running(): readonly SimHost[] {
        return this.hosts.filter(host => host.alive);
    }

    /** Hosts that rely on one. */
    relyingOn(host: SimHost): readonly SimHost[] {
        return this.running.filter(other => {
            const member = other.state.membership.members.get(host.name);
            return other !== host && member !== undefined && isAlive(member, this.now);
        });
    }

    /** Whether a host knows all running hosts of its hall, and no other. */
    knowsHall(host: SimHost): boolean {
        const wanted = this.running.filter(({ hall }) => hall === host.hall).map(({ name }) => name).sort();
        return liveInHall(host.state.membership, this.now).join() === wanted.join();
    }

    knowsScope(host: SimHost): boolean {
        return liveHosts(host.state.membership, this.now).join() === this.running.map(({ name }) => name).sort().join();
    }

    /** Runs until something holds; gives how long it took, at most `mostMs`. */
    until(holds: () => boolean, mostMs: number): number {
        const from = this.now;
        while (!holds() && this.now - from < mostMs) this.run(25);
        return this.now - from;
    }
}
