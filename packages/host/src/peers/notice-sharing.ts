/**
 * How hosts of all halls tell each other what endpoints say of themselves: a change at once to a few hosts, each of which
 * passes on what it had not known; all of it again and again to a few, so that it reaches those that were cut off; and all to a
 * host that starts. What it costs a host does not grow with their number.
 *
 * @module
 */
import type { EndpointWord } from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import { repeat } from "../runtime/repeat.js";
import { someOf } from "../runtime/some-of.js";
import { MAX_ITEMS, type NoticePeerMessage } from "./peer-messages.js";
import { StartupQuery } from "./startup-query.js";

/** What sharing needs of the peers. */
export interface NoticeSharingDeps {
    readonly name: string;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Live hosts of the scope, itself included. */
    live(): readonly string[];
    send(names: readonly string[], message: NoticePeerMessage): void;
    /** Takes in what a peer tells; returns what had not been known. */
    learn(words: readonly EndpointWord[]): readonly EndpointWord[];
    /** All that is worth telling. */
    all(): readonly EndpointWord[];
}

/** By each to six others, a change is at all but one of 400 hosts after four passes; that one hears it with what is told again. */
const FANOUT = 6;
/** All is told again this often, to so many hosts. */
const REPEAT_MS = 1_000;
const REPEAT_FANOUT = 3;

/** One host's part in sharing them. */
export class NoticeSharing {
    private readonly startupQuery: StartupQuery;

    constructor(private readonly deps: NoticeSharingDeps) {
        const { clock, signal } = deps;
        this.startupQuery = new StartupQuery({ clock, signal, ask: () => this.ask() });
        repeat(() => this.sendToSome(REPEAT_FANOUT, deps.all()), () => REPEAT_MS, signal);
    }

    /** Whether a peer has told all that it knows, or none is there that could. */
    get isReady(): boolean {
        return this.startupQuery.isReady;
    }

    /** Tells a few hosts of a change. */
    share(words: readonly EndpointWord[]): void {
        this.sendToSome(FANOUT, words);
    }

    /** Takes in a peer's message. */
    receive(from: string, message: NoticePeerMessage): void {
        if (message.kind === "saidAsk") return this.send([from], this.deps.all(), true);
        if (message.isAll) this.startupQuery.onAnswer();
        this.share(this.deps.learn(message.words));
    }

    private ask(): void {
        this.deps.send(this.someOthers(1), { kind: "saidAsk" });
    }

    private sendToSome(most: number, words: readonly EndpointWord[]): void {
        if (words.length > 0) this.send(this.someOthers(most), words, false);
    }

    private send(to: readonly string[], words: readonly EndpointWord[], isAll: boolean): void {
        for (let at = 0; at === 0 || at < words.length; at += MAX_ITEMS) {
            this.deps.send(to, { kind: "said", words: words.slice(at, at + MAX_ITEMS), isAll });
        }
    }

    private someOthers(most: number): readonly string[] {
        const { name } = this.deps;
        return someOf(this.deps.live().filter(other => other !== name), most);
    }
}
