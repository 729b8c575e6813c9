/**
 * How hosts of all halls tell each other what endpoints say of themselves: a change at once to a few hosts, each of which
 * passes on what it had not known; all of it again and again to a few, so that it reaches those that were cut off; and all to a
 * host that starts. What it costs a host does not grow with their number.
 *
 * @module
 */
import type { EndpointWord } from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import { someOf } from "../runtime/random-sample.js";
import { repeat } from "../runtime/repeat.js";
import { AskAtStart } from "./ask-at-start.js";
import { MOST_TOLD, type WordPeerMessage } from "./peer-messages.js";

/** What sharing needs of the peers. */
export interface WordSharingDeps {
    readonly name: string;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Live hosts of the scope, itself included. */
    live(): readonly string[];
    send(names: readonly string[], message: WordPeerMessage): void;
    /** Takes in what a peer tells; returns what had not been known. */
    hear(words: readonly EndpointWord[]): readonly EndpointWord[];
    /** All that is worth telling. */
    all(): readonly EndpointWord[];
}

/** By each to six others, a change is at all but one of 400 hosts after four passes; that one hears it with what is told again. */
const FANOUT = 6;
/** All is told again this often, to so many hosts. */
const AGAIN_MS = 1_000;
const AGAIN_FANOUT = 3;

/** One host's part in sharing them. */
export class WordSharing {
    private readonly asking: AskAtStart;

    constructor(private readonly deps: WordSharingDeps) {
        const { clock, signal } = deps;
        this.asking = new AskAtStart({ clock, signal, ask: () => this.ask() });
        repeat(() => this.tellSome(AGAIN_FANOUT, deps.all()), () => AGAIN_MS, signal);
    }

    /** Whether a peer has told all that it knows, or none is there that could. */
    get isReady(): boolean {
        return this.asking.isReady;
    }

    /** Tells a few hosts of a change. */
    tell(words: readonly EndpointWord[]): void {
        this.tellSome(FANOUT, words);
    }

    /** Takes in a peer's message. */
    receive(from: string, message: WordPeerMessage): void {
        if (message.kind === "saidAsk") return this.send([from], this.deps.all(), true);
        if (message.isAll) this.asking.answered();
        this.tell(this.deps.hear(message.words));
    }

    private ask(): void {
        this.deps.send(this.someOthers(1), { kind: "saidAsk" });
    }

    private tellSome(most: number, words: readonly EndpointWord[]): void {
        if (words.length > 0) this.send(this.someOthers(most), words, false);
    }

    private send(to: readonly string[], words: readonly EndpointWord[], isAll: boolean): void {
        for (let at = 0; at === 0 || at < words.length; at += MOST_TOLD) {
            this.deps.send(to, { kind: "said", words: words.slice(at, at + MOST_TOLD), isAll });
        }
    }

    private someOthers(most: number): readonly string[] {
        const { name } = this.deps;
        return someOf(this.deps.live().filter(other => other !== name), most);
    }
}
