/**
 * How hosts of all halls tell each other of requests that end endpoints: news at once to a few hosts, each of which passes on what it
 * had not known; and all that is known to a host that starts, or that knows other endings.
 *
 * @module
 */
import type { QuarantineNews } from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import { someOf } from "../runtime/some-of.js";
import { MAX_ITEMS, type QuarantinePeerMessage } from "./peer-messages.js";
import { StartupQuery } from "./startup-query.js";

/** What sharing needs of the peers. */
export interface QuarantineSharingDeps {
    readonly name: string;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Live hosts of the scope, itself included. */
    live(): readonly string[];
    send(names: readonly string[], message: QuarantinePeerMessage): void;
    /** Takes in what a peer tells. */
    learn(news: QuarantineNews): void;
    all(): QuarantineNews;
    digest(): number;
}

/**
 * Hosts that are told at once: by each to six others, news is at all but one of 400 hosts (e^-6) after four passes; that one hears it
 * with the next probe.
 */
const FANOUT = 6;
/** News of one moment is told together: an engine's end breaks up to 24 calls at once. */
const BATCH_MS = 2;
/** Hosts that know other endings are told all of them this often at most. */
const RECONCILE_MS = 1_000;
const NO_NEWS: QuarantineNews = { endings: [], trials: [] };

/** One host's part in sharing them. */
export class QuarantineSharing {
    private reconciledAt = -Infinity;
    private readonly startupQuery: StartupQuery;
    private batch: QuarantineNews = NO_NEWS;

    constructor(private readonly deps: QuarantineSharingDeps) {
        const { clock, signal } = deps;
        this.startupQuery = new StartupQuery({ clock, signal, ask: () => this.ask() });
    }

    /** Whether a peer has told what is quarantined, or none is there that could. */
    get isReady(): boolean {
        return this.startupQuery.isReady;
    }

    /** Tells a few hosts what is new here, in a moment. */
    share({ endings, trials }: QuarantineNews): void {
        const { batch: gathered } = this;
        this.batch = { endings: [...gathered.endings, ...endings], trials: [...gathered.trials, ...trials] };
        if (gathered === NO_NEWS) setTimeout(() => this.flush(), BATCH_MS).unref();
    }

    private flush(): void {
        const { endings, trials } = this.batch;
        this.batch = NO_NEWS;
        const to = this.someOthers(FANOUT);
        for (let at = 0; at < Math.max(endings.length, trials.length); at += MAX_ITEMS) {
            const part = { endings: endings.slice(at, at + MAX_ITEMS), trials: trials.slice(at, at + MAX_ITEMS) };
            this.deps.send(to, { kind: "quarantine", isAll: false, ...part });
        }
    }

    /** A peer's probe says by a digest what it knows. */
    receiveDigest(from: string, digest: number): void {
        if (digest === this.deps.digest()) return;
        const now = this.deps.clock.now();
        if (now - this.reconciledAt < RECONCILE_MS) return;
        this.reconciledAt = now;
        this.sendEverything(from);
    }

    /** Takes in a message of a peer. */
    receive(from: string, message: QuarantinePeerMessage): void {
        if (message.kind === "quarantineAsk") return this.sendEverything(from);
        if (message.isAll) this.startupQuery.onAnswer();
        this.deps.learn(message);
    }

    private sendEverything(to: string): void {
        this.deps.send([to], { kind: "quarantine", isAll: true, ...this.deps.all() });
    }

    private ask(): void {
        const to = this.someOthers(1);
        if (to.length > 0) this.deps.send(to, { kind: "quarantineAsk" });
    }

    private someOthers(most: number): readonly string[] {
        return someOf(this.deps.live().filter(name => name !== this.deps.name), most);
    }
}
