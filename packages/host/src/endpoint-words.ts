/**
 * Takes in what endpoints say of themselves in their answers to this host or to its peers: a line for each change, and the
 * word for the decisions.
 *
 * @module
 */
import { type EndpointWord, saidOf, wordOf, wordsToTell } from "@drumpaddle/hall";
import { isLimited, type Said } from "@drumpaddle/policy";
import type { AnswerHead, Clock } from "@drumpaddle/protocol";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";
import type { Placement } from "./placement.js";

/** What the words are told to. */
export interface EndpointWordsDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Decisions that know of endpoints; each endpoint is known to one of them. */
    readonly placements: readonly Placement[];
    /** Tells peers of a change. */
    tell(words: readonly EndpointWord[]): void;
}

/** What an answer's head says of its endpoint. */
export type EndpointHead = Pick<AnswerHead, "notRun" | "limitPerS" | "leaving" | "retryAfterS">;

/** With this status an endpoint turns a request away, and may ask for rest. */
const REFUSED = 503;
const MS_PER_S = 1_000;
/** That an endpoint says the same again is taken in this often: it counts as news of seconds. */
const SAME_AGAIN_MS = 250;

/** What a gateway hears endpoints say. */
export class EndpointWords {
    constructor(private readonly deps: EndpointWordsDeps) {}

    /**
     * Takes in an answer of a life of an endpoint.
     *
     * @example
     * ```ts
     * words.heard("i-7@1700", 200, wire.readAnswer(headers));
     * ```
     */
    heard(endpoint: string, status: number, head: EndpointHead): void {
        this.hearLimit(endpoint, head);
        if (head.leaving) this.deps.log.info({ endpoint }, "endpoint_says_leaving");
        if (status === REFUSED && head.notRun) this.hearRest(endpoint, head);
    }

    private hearLimit(endpoint: string, { limitPerS }: EndpointHead): void {
        if (limitPerS.kind === "malformed") return this.ignore(endpoint, "limit", limitPerS.text);
        const value = limitPerS.kind === "number" ? limitPerS.value : undefined;
        const said = { limitPerS: value, at: this.deps.clock.now() };
        if (this.take(endpoint, said, "endpoint")) this.deps.tell([wordOf(endpoint, said, said.at)]);
    }

    private hearRest(endpoint: string, { retryAfterS }: EndpointHead): void {
        if (retryAfterS.kind === "malformed") return this.ignore(endpoint, "rest", retryAfterS.text);
        if (retryAfterS.kind === "none") return;
        const forMs = Math.round(MS_PER_S * retryAfterS.value);
        this.deps.log.info({ endpoint, for_ms: forMs }, "endpoint_rests");
    }

    private ignore(endpoint: string, said: "limit" | "rest", text: string): void {
        this.deps.log.debug({ endpoint, said, text }, "endpoint_word_ignored");
    }

    /** Takes in what a peer tells; returns what had not been known. */
    hear(words: readonly EndpointWord[]): readonly EndpointWord[] {
        const now = this.deps.clock.now();
        return words.filter(word => this.take(word.endpoint, saidOf(word, now), "peer"));
    }

    /** All that is worth telling a peer. */
    all(): readonly EndpointWord[] {
        const now = this.deps.clock.now();
        return this.deps.placements.flatMap(({ view }) => wordsToTell(view.endpoints.values(), now));
    }

    /** Counts anew how many endpoints name a limit; called when endpoints come or go as well. */
    count(): void {
        const views = this.deps.placements.flatMap(({ view }) => view.endpoints.values());
        this.deps.metrics.limited.set(views.filter(isLimited).length);
    }

    /** Takes in a word; returns whether it changes what is known. */
    private take(endpoint: string, said: Said, source: "endpoint" | "peer"): boolean {
        const placement = this.deps.placements.find(({ view }) => view.endpoints.get(endpoint));
        const known = placement?.view.endpoints.get(endpoint)?.said;
        // Nearly every answer names no limit where none was named before.
        if (!placement || !known && said.limitPerS === undefined) return false;
        const isSame = known?.limitPerS === said.limitPerS;
        if (known && (known.at >= said.at || isSame && said.at - known.at < SAME_AGAIN_MS)) return false;
        placement.said(endpoint, said);
        if (isSame) return false;
        const before = known?.limitPerS ?? "none";
        this.deps.log.info({ endpoint, per_s: said.limitPerS ?? "none", before, source }, "endpoint_limit");
        this.count();
        return true;
    }
}
