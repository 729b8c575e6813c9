/**
 * A hall whose hosts share what a few of them hear of the store, without sockets: the decisions are those of `following`,
 * the store and the words between hosts are played.
 *
 * @module
 */
import {
    createFollowing,
    type Following,
    hearProgress,
    hearWatcher,
    isAfter,
    planFollowing,
    type StorePosition,
    type WatchReason,
    type Weights,
    WORD_EVERY_MS,
} from "../src/index.js";
import { seeded } from "./fleet.js";
import { VirtualClock } from "./virtual-clock.js";

const ROUND_MS = 250;
/** A call to a store that does not answer ends after this. */
const CALL_MS = 1_000;
const GATHER_MS: Readonly<Record<WatchReason, number>> = { first: 100, second: 600, alone: 300 };

/** A host of the hall. */
export interface HallHost {
    readonly name: string;
    following: Following;
    position: StorePosition;
    freshAt: number;
    reason: WatchReason | undefined;
    hears: boolean | undefined;
    /** The store does not answer it. */
    cut: boolean;
    alive: boolean;
    pausedUntil: number;
    /** No watcher's word reaches it. */
    wordless: boolean;
    /** When its call to the store ends. */
    callEndsAt: number;
    /** Calls made to the store. */
    calls: number;
}

/** A hall, its store and its time. */
export class StoreHall extends VirtualClock {
    readonly hosts: HallHost[];
    position: StorePosition = { epoch: 1, revision: 1 };
    private readonly random: () => number;

    constructor(count: number, seed = 1, private readonly weights?: Weights) {
        super();
        this.random = seeded(seed);
        this.hosts = Array.from({ length: count }, (_, at) => ({
            name: `h${String(at).padStart(3, "0")}`,
            following: createFollowing(`h${String(at).padStart(3, "0")}`, 0),
            position: this.position,
            freshAt: 0,
            reason: undefined,
            hears: undefined,
            cut: false,
            alive: true,
            wordless: false,
            pausedUntil: 0,
            callEndsAt: Infinity,
            calls: 1,
        }));
        for (const [at, host] of this.hosts.entries()) {
            this.every(WORD_EVERY_MS, host, () => this.plan(host));
            this.every(ROUND_MS, host, turn => this.exchange(host, at, turn));
        }
    }

    private every(ms: number, host: HallHost, run: (turn: number) => void): void {
        const next = (turn: number): void => {
            this.whenAwake(host, () => {
                run(turn);
                this.after(ms, () => next(turn + 1));
            });
        };
        this.after(Math.floor(this.random() * ms), () => next(0));
    }

    private after(ms: number, run: () => void): void {
        this.at(this.now + Math.max(1, ms), run);
    }

    private whenAwake(host: HallHost, run: () => void): void {
        if (!host.alive) return;
        if (this.now < host.pausedUntil) this.after(host.pausedUntil - this.now, () => this.whenAwake(host, run));
        else run();
    }

    get running(): readonly HallHost[] {
        return this.hosts.filter(({ alive }) => alive);
    }

    get watching(): readonly HallHost[] {
        return this.running.filter(({ reason }) => reason !== undefined);
    }

    private plan(host: HallHost): void {
        const names = this.running.map(({ name }) => name);
        const { hears, freshAt } = host;
        const { state, reason, says } = planFollowing(
            host.following,
            names,
            { hears, freshAt, seeking: true },
            this.now,
            this.weights,
        );
        host.following = state;
        const began = host.reason === undefined && reason !== undefined;
        host.reason = reason;
        if (reason === undefined) {
            host.hears = undefined;
            host.callEndsAt = Infinity;
        }
        if (began) this.call(host, 0);
        if (says) this.tell(host);
    }

    /** One call of a watch: its answer, or its end without one. */
    private call(host: HallHost, waitMs: number): void {
        host.calls += 1;
        const endsAt = this.now + (host.cut ? CALL_MS : 4 + waitMs);
        host.callEndsAt = endsAt;
        const after = host.position;
        const look = (): void => {
            if (host.callEndsAt !== endsAt || host.reason === undefined) return;
            const hasNews = !host.cut && isAfter(this.position, after);
            if (!hasNews && this.now < endsAt) this.after(20, look);
            else this.answer(host, !host.cut, hasNews);
        };
        this.after(4, () => this.whenAwake(host, look));
    }

    private answer(host: HallHost, hears: boolean, hasNews: boolean): void {
        const changed = host.hears !== hears;
        host.hears = hears;
        if (hears) {
            host.freshAt = this.now;
            host.position = this.position;
            if (hasNews && host.reason === "first") this.tell(host);
        }
        if (changed) this.plan(host);
        if (host.reason !== undefined) {
            const pause = hasNews ? GATHER_MS[host.reason] : hears ? 0 : 100;
            this.after(pause, () => this.whenAwake(host, () => host.reason !== undefined && this.call(host, 1_000)));
        }
    }

    private tell(host: HallHost): void {
        const { name, position } = host;
        const hears = host.hears === true;
        for (const other of this.running) {
            if (other !== host && !other.wordless) {
                this.deliver(other, () => this.hear(other, host, name, hears, position));
            }
        }
    }

    private deliver(to: HallHost, run: () => void): void {
        this.after(1, () => this.whenAwake(to, run));
    }

    private hear(host: HallHost, from: HallHost, name: string, hears: boolean, position: StorePosition): void {
        host.following = hearWatcher(host.following, name, hears, this.now);
        if (hears) host.freshAt = Math.max(host.freshAt, this.now);
        if (isAfter(position, host.position)) this.ask(host, from);
    }

    private ask(host: HallHost, from: HallHost): void {
        this.deliver(
            from,
            () => this.deliver(host, () => this.take(host, from.position)),
        );
    }

    private take(host: HallHost, position: StorePosition): void {
        if (isAfter(position, host.position)) host.position = position;
    }

    /** Probes tell how far their sender is, and answers how far who was probed is. */
    private exchange(host: HallHost, at: number, turn: number): void {
        const other = this.hosts[(at + 1 + turn % 3) % this.hosts.length]!;
        if (!other.alive || other === host) return;
        this.deliver(other, () => this.stamp(other, host));
        this.deliver(other, () => this.deliver(host, () => this.stamp(host, other)));
    }

    private stamp(host: HallHost, from: HallHost): void {
        host.freshAt = Math.max(host.freshAt, from.freshAt);
        const theirs = { ...from.position, version: 0 };
        const own = { ...host.position, version: 0 };
        const { state, asks } = hearProgress(host.following, theirs, own, this.now);
        host.following = state;
        if (asks) this.ask(host, from);
    }

    /** The store comes back from a copy that lacks so many of its last changes. */
    restore(lost: number): void {
        const { epoch, revision } = this.position;
        this.position = { epoch: epoch + 1, revision: revision - lost };
    }

    /** A change of the store; gives how long it takes until the given hosts know it, at most `mostMs`. */
    change(wanted: (host: HallHost) => boolean, mostMs = 10_000): number {
        this.position = { ...this.position, revision: this.position.revision + 1 };
        const from = this.now;
        const done = (): boolean => this.running.every(host => !wanted(host) || host.position === this.position);
        while (!done() && this.now - from < mostMs) this.run(5);
        return this.now - from;
    }
}
