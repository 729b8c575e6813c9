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
    /** Sends the query to one peer, if there is one. */
    ask(): void;
}

/** Interval between queries until a peer answers. */
const RETRY_MS = 50;
/** The host is ready without an answer after this time: all its peers may be starting too. */
const MAX_WAIT_MS = 400;

/**
 * Queries one peer after another until one has answered, or until the wait is over.
 *
 * @example
 * ```ts
 * const query = new StartupQuery({ clock, signal, ask: () => send(someOf(others(), 1), { kind: "saidAsk" }) });
 * ```
 */
export class StartupQuery {
    private readonly startedAt: number;
    private readonly stopAsking = new AbortController();
    private isAnswered = false;

    constructor(private readonly deps: StartupQueryDeps) {
        this.startedAt = deps.clock.now();
        repeat(() => this.askAgain(), () => RETRY_MS, AbortSignal.any([deps.signal, this.stopAsking.signal]));
    }

    /** Whether a peer has answered, or the host has waited long enough. */
    get isReady(): boolean {
        return this.isAnswered || this.deps.clock.now() - this.startedAt >= MAX_WAIT_MS;
    }

    /** Called when a peer has answered. */
    onAnswer(): void {
        this.isAnswered = true;
    }

    private askAgain(): void {
        if (this.isReady) this.stopAsking.abort();
        else this.deps.ask();
    }
}
