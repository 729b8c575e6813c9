/**
 * A host that has just started asks its peers for what they know, before it says that it is ready.
 *
 * @module
 */
import type { Clock } from "@drumpaddle/protocol";
import { repeat } from "../runtime/repeat.js";

/** What asking needs. */
export interface StartupQueryDeps {
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Asks one peer, if there is any. */
    ask(): void;
}

/** A host that starts asks this often, */
const RETRY_MS = 50;
/** and is ready without an answer after this: its peers may all have started with it. */
const MAX_WAIT_MS = 400;

/**
 * The questions of one start.
 *
 * @example
 * ```ts
 * const asking = new AskAtStart({ clock, signal, ask: () => send(someOf(others(), 1), { kind: "saidAsk" }) });
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

    /** Whether a peer has answered, or none is there that could. */
    get isReady(): boolean {
        return this.isAnswered || this.deps.clock.now() - this.startedAt >= MAX_WAIT_MS;
    }

    /** A peer has answered. */
    onAnswer(): void {
        this.isAnswered = true;
    }

    private askAgain(): void {
        if (this.isReady) this.stopAsking.abort();
        else this.deps.ask();
    }
}
