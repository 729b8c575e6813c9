/**
 * Shares among the hosts of all halls which requests crash endpoints. News goes by gossip: at once to a few hosts, each of which
 * passes on what is new to it. A starting host, or one whose digest differs, is sent everything.
 *
 * @module
 */
import type { QuarantineNews } from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import { randomSample } from "../runtime/random-sample.js";
import { MAX_ITEMS, type QuarantinePeerMessage } from "./peer-messages.js";
import { StartupQuery, type StartupResult } from "./startup-query.js";

/** Dependencies of {@link QuarantineSharing}. */
export interface QuarantineSharingDeps {
    readonly name: string;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Live hosts of the scope, including this one. */
    live(): readonly string[];
    /** Whether this host knows of other hosts, or looks for some. */
    readonly hasPeers: () => boolean;
    /** Called when a starting host no longer waits for its peers' quarantines. */
    readonly onStarted: (result: StartupResult) => void;
    send(names: readonly string[], message: QuarantinePeerMessage): void;
    /** Merges news from a peer. */
    learn(news: QuarantineNews): void;
    /** Everything that this host knows. */
    all(): QuarantineNews;
    /** A digest of the crashes that this host knows. */
    digest(): number;
}

/**
 * Number of hosts that each host sends news to. With six, news reaches all but one of 400 hosts (a share of e^-6) in four hops;
 * the remaining one learns it after the next probe shows that digests differ.
 */
const FANOUT = 6;
/** News of this period is sent in one message: the crash of an engine interrupts up to 24 calls at once. */
const BATCH_MS = 2;
/** Minimum time between full transfers to hosts whose digest differs. */
const RECONCILE_MS = 1_000;
const NO_NEWS: QuarantineNews = { endings: [], trials: [] };

/** Sends and receives the quarantine messages of this host. */
export class QuarantineSharing {
    private reconciledAt = -Infinity;
    private readonly startupQuery: StartupQuery;
    private batch: QuarantineNews = NO_NEWS;

    constructor(private readonly deps: QuarantineSharingDeps) {
        const { clock, signal } = deps;
        this.startupQuery = new StartupQuery({
            clock,
            signal,
            hasPeers: () => deps.hasPeers(),
            ask: () => this.ask(),
            onEnd: result => deps.onStarted(result),
        });
    }

    /** Whether a peer has sent everything it knows, or the host has waited long enough for one. */
    get isReady(): boolean {
        return this.startupQuery.isReady;
    }

    /** Sends news to a few hosts, together with other news of the next moment. */
    share({ endings, trials }: QuarantineNews): void {
        const { batch } = this;
        this.batch = { endings: [...batch.endings, ...endings], trials: [...batch.trials, ...trials] };
        if (batch === NO_NEWS) setTimeout(() => this.flush(), BATCH_MS).unref();
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

    /** Compares the digest in a peer's probe with this host's own; sends the peer everything if they differ. */
    receiveDigest(from: string, digest: number): void {
        if (digest === this.deps.digest()) return;
        const now = this.deps.clock.now();
        if (now - this.reconciledAt < RECONCILE_MS) return;
        this.reconciledAt = now;
        this.sendEverything(from);
    }

    /** Handles a message of a peer. */
    receive(from: string, message: QuarantinePeerMessage): void {
        // A host that is starting itself doesn't answer: the peer would take what it knows for all there is.
        if (message.kind === "quarantineAsk") return this.isReady ? this.sendEverything(from) : undefined;
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
        return randomSample(this.deps.live().filter(name => name !== this.deps.name), most);
    }
}
