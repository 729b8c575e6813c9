/**
 * A starting host asks its peers for what they know, before it reports that it is ready.
 *
 * @module
 */
import type { Clock } from "@drumpaddle/protocol";
import { repeat } from "../runtime/repeat.js";

/** Dependencies of {@link StartupQuery}. */
export interface StartupQueryDeps {
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Whether this host knows of other hosts, or looks for some. */
    hasPeers(): boolean;
    /** Sends the query to one peer, if there is one that could be asked. */
    ask(): void;
    /** Called once when the wait is over. */
    onEnd(result: StartupResult): void;
}

/** How the wait of a {@link StartupQuery} ended. */
export interface StartupResult {
    /** Whether a peer has answered; if not, this host serves by what it learns itself. */
    readonly answered: boolean;
    readonly waitedMs: number;
}

/** Interval between queries until a peer answers. */
const RETRY_MS = 50;
/** A host without peers is ready after this time, in which others may turn up. */
const ALONE_WAIT_MS = 400;
/**
 * A host whose peers do not answer is ready after this time. By then hosts of a fleet of any size have heard from each other, unless
 * all of them are starting or this one is cut off.
 */
const MAX_WAIT_MS = 3_000;

/**
 * Queries one peer after another until one has answered, or until the wait is over.
 *
 * @example
 * ```ts
 * const ask = () => send(someOf(others(), 1), { kind: "saidAsk" });
 * const query = new StartupQuery({ clock, signal, hasPeers: () => others().length > 0, ask, onEnd: log });
 * ```
 */
export class StartupQuery {
    private readonly startedAt: number;
    private readonly stopAsking = new AbortController();
    private isAnswered = false;
    private hasEnded = false;

    constructor(private readonly deps: StartupQueryDeps) {
        this.startedAt = deps.clock.now();
        repeat(() => this.askAgain(), () => RETRY_MS, AbortSignal.any([deps.signal, this.stopAsking.signal]));
    }

    /** Whether a peer has answered, or the host has waited long enough. */
    get isReady(): boolean {
        if (!this.hasEnded) this.hasEnded = this.isAnswered || this.isWaitOver;
        return this.hasEnded;
    }

    private get waitedMs(): number {
        return this.deps.clock.now() - this.startedAt;
    }

    private get isWaitOver(): boolean {
        return this.waitedMs >= (this.deps.hasPeers() ? MAX_WAIT_MS : ALONE_WAIT_MS);
    }

    /** Called when a peer has answered. */
    onAnswer(): void {
        this.isAnswered = true;
    }

    private askAgain(): void {
        if (!this.isReady) return this.deps.ask();
        this.stopAsking.abort();
        this.deps.onEnd({ answered: this.isAnswered, waitedMs: Math.round(this.waitedMs) });
    }
}
