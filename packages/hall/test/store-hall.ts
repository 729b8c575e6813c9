/**
 * A simulated hall whose hosts follow a few watchers of the store, without sockets. Hosts decide by `store-watchers.ts`; the store and
 * the messages are simulated.
 *
 * @module
 */
import {
    createWatcherView,
    isAfter,
    planWatching,
    recordPeerProgress,
    recordWatcherReport,
    type StorePosition,
    WATCHER_REPORT_INTERVAL_MS,
    type WatcherView,
    type WatchReason,
    type Weights,
} from "../src/index.js";
import { seeded } from "./fleet.js";
import { VirtualClock } from "./virtual-clock.js";

const ROUND_MS = 250;
/** Timeout of a call to a store that does not answer. */
const CALL_TIMEOUT_MS = 1_000;
/** Duration of a call to a store that resets connections. */
const RESET_MS = 4;
const PAUSE_AFTER_NEWS_MS: Readonly<Record<WatchReason, number>> = { first: 100, second: 600, alone: 300 };

/** A host of the hall. */
export interface HallHost {
    readonly name: string;
    following: WatcherView;
    position: StorePosition;
    freshAt: number;
    reason: WatchReason | undefined;
    hears: boolean | undefined;
    /** Whether the store does not answer it. */
    isCutOff: boolean;
    alive: boolean;
    pausedUntil: number;
    /** Whether watchers' reports do not reach it. */
    missesReports: boolean;
    /** When its call to the store ends. */
    callEndsAt: number;
    /** Number of calls made to the store. */
    calls: number;
}

/** A simulated hall with its store and clock. */
export class StoreHall extends VirtualClock {
    readonly hosts: HallHost[];
    position: StorePosition = { epoch: 1, revision: 1 };
    /** Whether a store that a host is cut off from resets its connections; if not, it is silent. */
    resetsConnections = false;
    private readonly random: () => number;

    constructor(count: number, seed = 1, private readonly weights?: Weights) {
        super();
        this.random = seeded(seed);
        this.hosts = Array.from({ length: count }, (_, at) => ({
            name: `h${String(at).padStart(3, "0")}`,
            following: createWatcherView(`h${String(at).padStart(3, "0")}`, 0),
            position: this.position,
            freshAt: 0,
            reason: undefined,
            hears: undefined,
            isCutOff: false,
            alive: true,
            missesReports: false,
            pausedUntil: 0,
            callEndsAt: Infinity,
            calls: 1,
        }));
        for (const [at, host] of this.hosts.entries()) {
            this.every(WATCHER_REPORT_INTERVAL_MS, host, () => this.plan(host));
            this.every(ROUND_MS, host, turn => this.exchange(host, at, turn));
        }
    }

    private every(ms: number, host: HallHost, run: (turn: number) => void): void {
        const next = (turn: number): void => {
            this.whenResumed(host, () => {
                run(turn);
                this.after(ms, () => next(turn + 1));
            });
        };
        this.after(Math.floor(this.random() * ms), () => next(0));
    }

    private after(ms: number, run: () => void): void {
        this.at(this.now + Math.max(1, ms), run);
    }

    private whenResumed(host: HallHost, run: () => void): void {
        if (!host.alive) return;
        if (this.now < host.pausedUntil) this.after(host.pausedUntil - this.now, () => this.whenResumed(host, run));
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
        const { state, reason, shouldReport } = planWatching(
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
        if (shouldReport) this.sendReport(host);
    }

    /** Makes one call of a watch, which ends with an answer or a timeout. */
    private call(host: HallHost, waitMs: number): void {
        host.calls += 1;
        const failureMs = this.resetsConnections ? RESET_MS : CALL_TIMEOUT_MS;
        const endsAt = this.now + (host.isCutOff ? failureMs : 4 + waitMs);
        host.callEndsAt = endsAt;
        const after = host.position;
        const look = (): void => {
            if (host.callEndsAt !== endsAt || host.reason === undefined) return;
            const hasNews = !host.isCutOff && isAfter(this.position, after);
            if (!hasNews && this.now < endsAt) this.after(20, look);
            else this.answer(host, !host.isCutOff, hasNews);
        };
        this.after(4, () => this.whenResumed(host, look));
    }

    /** Ends a host's call to the store without an answer. */
    failCall(host: HallHost): void {
        host.callEndsAt = Infinity;
        this.answer(host, false, false);
    }

    private answer(host: HallHost, hears: boolean, hasNews: boolean): void {
        const changed = host.hears !== hears;
        host.hears = hears;
        if (hears) {
            host.freshAt = this.now;
            host.position = this.position;
            if (hasNews && host.reason === "first") this.sendReport(host);
        }
        if (changed) this.plan(host);
        if (host.reason !== undefined) {
            const pause = hasNews ? PAUSE_AFTER_NEWS_MS[host.reason] : hears ? 0 : 100;
            this.after(pause, () => this.whenResumed(host, () => host.reason !== undefined && this.call(host, 1_000)));
        }
    }

    private sendReport(host: HallHost): void {
        const { name, position } = host;
        const hears = host.hears === true;
        for (const other of this.running) {
            if (other !== host && !other.missesReports) {
                this.deliver(other, () => this.receiveReport(other, host, name, hears, position));
            }
        }
    }

    private deliver(to: HallHost, run: () => void): void {
        this.after(1, () => this.whenResumed(to, run));
    }

    private receiveReport(host: HallHost, from: HallHost, name: string, hears: boolean, position: StorePosition): void {
        host.following = recordWatcherReport(host.following, name, hears, this.now);
        if (hears) host.freshAt = Math.max(host.freshAt, this.now);
        if (isAfter(position, host.position)) this.requestState(host, from);
    }

    private requestState(host: HallHost, from: HallHost): void {
        this.deliver(
            from,
            () => this.deliver(host, () => this.applyState(host, from.position)),
        );
    }

    private applyState(host: HallHost, position: StorePosition): void {
        if (isAfter(position, host.position)) host.position = position;
    }

    /** Sends a probe with the sender's progress; the answer carries the receiver's. */
    private exchange(host: HallHost, at: number, turn: number): void {
        const other = this.hosts[(at + 1 + turn % 3) % this.hosts.length]!;
        if (!other.alive || other === host) return;
        this.deliver(other, () => this.receiveProgress(other, host));
        this.deliver(other, () => this.deliver(host, () => this.receiveProgress(host, other)));
    }

    private receiveProgress(host: HallHost, from: HallHost): void {
        host.freshAt = Math.max(host.freshAt, from.freshAt);
        const theirs = { ...from.position, version: 0 };
        const own = { ...host.position, version: 0 };
        const { state, asks } = recordPeerProgress(host.following, theirs, own, this.now);
        host.following = state;
        if (asks) this.requestState(host, from);
    }

    /** Restores the store from a copy that lacks its last changes. */
    restore(lost: number): void {
        const { epoch, revision } = this.position;
        this.position = { epoch: epoch + 1, revision: revision - lost };
    }

    /** Changes the store. Returns how long it takes until the given hosts know the change, at most `mostMs`. */
    changeStore(wanted: (host: HallHost) => boolean, mostMs = 10_000): number {
        this.position = { ...this.position, revision: this.position.revision + 1 };
        const from = this.now;
        const done = (): boolean => this.running.every(host => !wanted(host) || host.position === this.position);
        while (!done() && this.now - from < mostMs) this.run(5);
        return this.now - from;
    }
}
