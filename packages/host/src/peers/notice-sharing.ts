/**
 * Shares the notices of endpoints (leaving, limits) among the hosts of all halls. A change goes at once to a few hosts, each of which
 * passes on what is new to it. Each host also repeats all notices periodically to a few others, so that they reach hosts that were
 * partitioned, and sends them to a starting host that asks. The cost per host does not grow with the number of hosts.
 *
 * @module
 */
import type { EndpointNotice } from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import { randomSample } from "../runtime/random-sample.js";
import { repeat } from "../runtime/repeat.js";
import { MAX_ITEMS, type NoticePeerMessage } from "./peer-messages.js";
import { StartupQuery, type StartupResult } from "./startup-query.js";

/** Dependencies of {@link NoticeSharing}. */
export interface NoticeSharingDeps {
    readonly name: string;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Live hosts of the scope, including this one. */
    live(): readonly string[];
    /** Whether this host knows of other hosts, or looks for some. */
    readonly hasPeers: () => boolean;
    /** Whether this host knows the endpoints. Before that it can't keep notices of them. */
    knowsEndpoints(): boolean;
    /** Called when a starting host no longer waits for its peers' notices. */
    readonly onStarted: (result: StartupResult) => void;
    send(names: readonly string[], message: NoticePeerMessage): void;
    /** Applies notices from a peer; returns those that are new here. */
    learn(notices: readonly EndpointNotice[]): readonly EndpointNotice[];
    /** All notices worth sharing. */
    all(): readonly EndpointNotice[];
}

/**
 * Number of hosts that each host sends a change to. With six, a change reaches all but one of 400 hosts in four hops; the remaining
 * one learns it from the periodic repeat.
 */
const FANOUT = 6;
/** All notices are repeated at this interval, to this many hosts. */
const REPEAT_MS = 1_000;
const REPEAT_FANOUT = 3;

/** Sends and receives the notices of this host. */
export class NoticeSharing {
    private readonly startupQuery: StartupQuery;

    constructor(private readonly deps: NoticeSharingDeps) {
        const { clock, signal } = deps;
        this.startupQuery = new StartupQuery({
            clock,
            signal,
            hasPeers: () => deps.hasPeers(),
            ask: () => this.ask(),
            onEnd: result => deps.onStarted(result),
        });
        repeat(() => this.sendToSome(REPEAT_FANOUT, deps.all()), () => REPEAT_MS, signal);
    }

    /** Whether a peer has sent all its notices, or the host has waited long enough for one. */
    get isReady(): boolean {
        return this.startupQuery.isReady;
    }

    /** Sends changed notices to a few hosts. */
    share(notices: readonly EndpointNotice[]): void {
        this.sendToSome(FANOUT, notices);
    }

    /** Handles a message of a peer. */
    receive(from: string, message: NoticePeerMessage): void {
        // A host that is starting itself doesn't answer: the peer would take its notices for all there are.
        if (message.kind === "saidAsk") return this.isReady ? this.send([from], this.deps.all(), true) : undefined;
        if (message.isAll && this.deps.knowsEndpoints()) this.startupQuery.onAnswer();
        this.share(this.deps.learn(message.words));
    }

    private ask(): void {
        if (!this.deps.knowsEndpoints()) return;
        this.deps.send(this.someOthers(1), { kind: "saidAsk" });
    }

    private sendToSome(maxHosts: number, notices: readonly EndpointNotice[]): void {
        if (notices.length > 0) this.send(this.someOthers(maxHosts), notices, false);
    }

    private send(to: readonly string[], notices: readonly EndpointNotice[], isAll: boolean): void {
        for (let at = 0; at === 0 || at < notices.length; at += MAX_ITEMS) {
            this.deps.send(to, { kind: "said", words: notices.slice(at, at + MAX_ITEMS), isAll });
        }
    }

    private someOthers(most: number): readonly string[] {
        const { name } = this.deps;
        return randomSample(this.deps.live().filter(other => other !== name), most);
    }
}
