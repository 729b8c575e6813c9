/**
 * Takes in what endpoints say of themselves in their answers to this host or to its peers: a line for each change, and the
 * word for the decisions.
 *
 * @module
 */
import { type EndpointWord, saidOf, wordOf, wordsToTell } from "@drumpaddle/hall";
import { type EndpointView, isLimited, type Said, saysLeaving } from "@drumpaddle/policy";
import type { AnswerHead, Clock } from "@drumpaddle/protocol";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import type { Placement } from "./placement.js";

/** What the words are told to. */
export interface EndpointNoticesDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Decisions that know of endpoints; each endpoint is known to one of them. */
    readonly placements: readonly Placement[];
    /** Tells peers of a change. */
    tell(words: readonly EndpointWord[]): void;
}

/** What an answer's head says of its endpoint. */
export type NoticeHead = Pick<AnswerHead, "notRun" | "limitPerS" | "leaving" | "retryAfterS">;

/** Who told what an endpoint says. */
type NoticeSource = "endpoint" | "peer";

/** With this status an endpoint turns a request away, and may ask for rest. */
const SERVICE_UNAVAILABLE = 503;
const MS_PER_S = 1_000;
/** That an endpoint says the same again is taken in this often: it counts as news of seconds. */
const REPEAT_INTERVAL_MS = 250;

/** What a gateway hears endpoints say. */
export class EndpointWords {
    constructor(private readonly deps: EndpointNoticesDeps) {}

    /**
     * Takes in an answer of a life of an endpoint.
     *
     * @example
     * ```ts
     * words.heard("i-7@1700", 200, wire.readAnswer(headers));
     * ```
     */
    heard(endpoint: string, status: number, head: NoticeHead): void {
        const isLeavingNews = head.leaving && this.applyLeaving(endpoint, "endpoint");
        const isLimitNews = this.readLimit(endpoint, head);
        if (isLeavingNews || isLimitNews) this.shareWithPeers(endpoint);
        if (status === SERVICE_UNAVAILABLE && head.notRun) this.readRetryAfter(endpoint, head);
    }

    /** Takes in what a peer tells; returns what had not been known. */
    receive(words: readonly EndpointWord[]): readonly EndpointWord[] {
        const now = this.deps.clock.now();
        return words.filter(({ endpoint, leaves, limit }) => {
            const isLeavingNews = leaves && this.applyLeaving(endpoint, "peer");
            const isLimitNews = limit !== undefined && this.applyLimit(endpoint, saidOf(limit, now), "peer");
            return isLeavingNews || isLimitNews;
        });
    }

    /** All that is worth telling a peer. */
    all(): readonly EndpointWord[] {
        return wordsToTell(this.views(), this.deps.clock.now());
    }

    /** Whether a life of an endpoint has said that it leaves; also of one that is declared no more. */
    hasSaidLeaving(endpoint: string): boolean {
        const view = this.viewOf(endpoint);
        if (view) return saysLeaving(view);
        return this.deps.placements.some(({ view: { remembered } }) => remembered.get(endpoint)?.leaves === true);
    }

    /** Counts anew how many endpoints name a limit; called when endpoints come or go as well. */
    count(): void {
        this.deps.metrics.limited.set(this.views().filter(isLimited).length);
    }

    private readLimit(endpoint: string, { limitPerS }: NoticeHead): boolean {
        if (limitPerS.kind === "malformed") return this.logIgnored(endpoint, "limit", limitPerS.text);
        const value = limitPerS.kind === "number" ? limitPerS.value : undefined;
        return this.applyLimit(endpoint, { limitPerS: value, at: this.deps.clock.now() }, "endpoint");
    }

    private readRetryAfter(endpoint: string, { retryAfterS }: NoticeHead): void {
        if (retryAfterS.kind === "malformed") this.logIgnored(endpoint, "rest", retryAfterS.text);
        if (retryAfterS.kind !== "number") return;
        const forMs = Math.round(MS_PER_S * retryAfterS.value);
        for (const placement of this.deps.placements) placement.pauseFor(endpoint, forMs);
        this.deps.log.info({ endpoint, for_ms: forMs }, "endpoint_rests");
    }

    private logIgnored(endpoint: string, said: "limit" | "rest", text: string): false {
        this.deps.log.debug({ endpoint, said, text }, "endpoint_word_ignored");
        return false;
    }

    private shareWithPeers(endpoint: string): void {
        const view = this.viewOf(endpoint);
        const notice = view && wordOf(view, this.deps.clock.now());
        if (notice) this.deps.tell([notice]);
    }

    /** Takes in that an endpoint leaves; returns whether that is news. */
    private applyLeaving(endpoint: string, source: NoticeSource): boolean {
        const view = this.viewOf(endpoint);
        if (!view || saysLeaving(view)) return false;
        for (const placement of this.deps.placements) placement.setLeaving(endpoint, "answer", true);
        this.deps.log.info({ endpoint, source }, "endpoint_says_leaving");
        return true;
    }

    /** Takes in what an endpoint says of its limit; returns whether it changes what is known. */
    private applyLimit(endpoint: string, said: Said, source: NoticeSource): boolean {
        const known = this.viewOf(endpoint)?.said;
        // Nearly every answer names no limit where none was named before.
        if (!known && said.limitPerS === undefined) return false;
        const isUnchanged = known?.limitPerS === said.limitPerS;
        if (known && (known.at >= said.at || isUnchanged && said.at - known.at < REPEAT_INTERVAL_MS)) return false;
        for (const placement of this.deps.placements) placement.said(endpoint, said);
        if (isUnchanged || !this.viewOf(endpoint)) return false;
        const before = known?.limitPerS ?? "none";
        this.deps.log.info({ endpoint, per_s: said.limitPerS ?? "none", before, source }, "endpoint_limit");
        this.count();
        return true;
    }

    private views(): readonly EndpointView[] {
        return this.deps.placements.flatMap(({ view }) => view.endpoints.values());
    }

    private viewOf(endpoint: string): EndpointView | undefined {
        for (const { view } of this.deps.placements) {
            const known = view.endpoints.get(endpoint);
            if (known) return known;
        }
        return undefined;
    }
}
