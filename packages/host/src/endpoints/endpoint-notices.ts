/**
 * Handles notices of endpoints: that they are leaving, limit their request rate, or want no requests for a while. Endpoints put
 * them into their answers to this host, or to peers, which pass them on. Each change is logged and given to the schedulers.
 *
 * @module
 */
import { type EndpointNotice, noticeOf, noticesToTell, saidFromNotice } from "@drumpaddle/hall";
import { announcedLeaving, type AnnouncedLimit, type EndpointView, isLimited } from "@drumpaddle/policy";
import type { AnswerHead, Clock, DeclaredNumber } from "@drumpaddle/protocol";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import type { Placement } from "./placement.js";

/** Dependencies of {@link EndpointNotices}. */
export interface EndpointNoticesDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    /** The schedulers; each endpoint is known to one of them. */
    readonly placements: readonly Placement[];
    /** Shares changed notices with peers. */
    share(notices: readonly EndpointNotice[]): void;
}

/** The part of an answer's head that carries notices. */
export type NoticeHead = Pick<AnswerHead, "notRun" | "limitPerS" | "maxRejectsPerS" | "leaving" | "retryAfterS">;

/** Where this host learnt a notice from. */
type NoticeSource = "endpoint" | "peer";

/** Status with which an endpoint refuses a request; `Retry-After` then asks this host to pause. */
const SERVICE_UNAVAILABLE = 503;
const MS_PER_S = 1_000;
/** An unchanged limit is refreshed at most this often: limits stay valid for seconds. */
const REPEAT_INTERVAL_MS = 250;

/** The notices of all endpoints. */
export class EndpointNotices {
    constructor(private readonly deps: EndpointNoticesDeps) {}

    /**
     * Reads the notices in an answer of an endpoint's incarnation.
     *
     * @example
     * ```ts
     * notices.receiveAnswerHead("i-7@1700", 200, wire.decodeAnswerHead(headers));
     * ```
     */
    receiveAnswerHead(endpoint: string, status: number, head: NoticeHead): void {
        const isLeavingNews = head.leaving && this.applyLeaving(endpoint, "endpoint");
        const isLimitNews = this.readLimit(endpoint, head);
        if (isLeavingNews || isLimitNews) this.shareWithPeers(endpoint);
        if (status === SERVICE_UNAVAILABLE && head.notRun) this.readRetryAfter(endpoint, head);
    }

    /** Applies notices from a peer; returns those that are new here. */
    receive(notices: readonly EndpointNotice[]): readonly EndpointNotice[] {
        const now = this.deps.clock.now();
        return notices.filter(({ endpoint, leaves, limit }) => {
            const isLeavingNews = leaves && this.applyLeaving(endpoint, "peer");
            const isLimitNews = limit !== undefined && this.applyLimit(endpoint, saidFromNotice(limit, now), "peer");
            return isLeavingNews || isLimitNews;
        });
    }

    /** All notices worth sharing with a peer. */
    all(): readonly EndpointNotice[] {
        return noticesToTell(this.views(), this.deps.clock.now());
    }

    /** Whether an incarnation has announced that it is leaving, also if it is no longer declared. */
    hasAnnouncedLeaving(endpoint: string): boolean {
        const view = this.viewOf(endpoint);
        if (view) return announcedLeaving(view);
        return this.deps.placements.some(({ view: { remembered } }) => remembered.get(endpoint)?.isLeaving === true);
    }

    /** Sets the gauge of endpoints with a limit; also called when endpoints come or go. */
    updateLimitedGauge(): void {
        this.deps.metrics.limitedEndpoints.set(this.views().filter(isLimited).length);
    }

    private readLimit(endpoint: string, { limitPerS, maxRejectsPerS }: NoticeHead): boolean {
        if (limitPerS.kind === "malformed") return this.logIgnored(endpoint, "limit", limitPerS.text);
        if (maxRejectsPerS.kind === "malformed") return this.logIgnored(endpoint, "brittle", maxRejectsPerS.text);
        const valueOf = (word: DeclaredNumber): number | undefined => word.kind === "number" ? word.value : undefined;
        const said = { limitPerS: valueOf(limitPerS), maxRejectsPerS: valueOf(maxRejectsPerS) };
        return this.applyLimit(endpoint, { ...said, at: this.deps.clock.now() }, "endpoint");
    }

    private readRetryAfter(endpoint: string, { retryAfterS }: NoticeHead): void {
        if (retryAfterS.kind === "malformed") this.logIgnored(endpoint, "rest", retryAfterS.text);
        if (retryAfterS.kind !== "number") return;
        const forMs = Math.round(MS_PER_S * retryAfterS.value);
        for (const placement of this.deps.placements) placement.pauseFor(endpoint, forMs);
        this.deps.log.info({ endpoint, for_ms: forMs }, "endpoint_rests");
    }

    private logIgnored(endpoint: string, said: "limit" | "brittle" | "rest", text: string): false {
        this.deps.log.debug({ endpoint, said, text }, "endpoint_word_ignored");
        return false;
    }

    private shareWithPeers(endpoint: string): void {
        const view = this.viewOf(endpoint);
        const notice = view && noticeOf(view, this.deps.clock.now());
        if (notice) this.deps.share([notice]);
    }

    /** Marks an endpoint as leaving; returns whether that is new. */
    private applyLeaving(endpoint: string, source: NoticeSource): boolean {
        const view = this.viewOf(endpoint);
        if (!view || announcedLeaving(view)) return false;
        for (const placement of this.deps.placements) placement.setLeaving(endpoint, "answer", true);
        this.deps.log.info({ endpoint, source }, "endpoint_says_leaving");
        return true;
    }

    /** Applies the limit that an endpoint states, or that it states none; returns whether the limit changed. */
    private applyLimit(endpoint: string, said: AnnouncedLimit, source: NoticeSource): boolean {
        const known = this.viewOf(endpoint)?.announcedLimit;
        // Return early: nearly every answer states no limit, for an endpoint that had stated none before.
        if (!known && said.limitPerS === undefined && said.maxRejectsPerS === undefined) return false;
        const isUnchanged = known?.limitPerS === said.limitPerS && known?.maxRejectsPerS === said.maxRejectsPerS;
        if (known && (known.at >= said.at || isUnchanged && said.at - known.at < REPEAT_INTERVAL_MS)) return false;
        for (const placement of this.deps.placements) placement.applyAnnouncedLimit(endpoint, said);
        if (isUnchanged || !this.viewOf(endpoint)) return false;
        const before = known?.limitPerS ?? "none";
        const brittle = said.maxRejectsPerS;
        this.deps.log.info({ endpoint, per_s: said.limitPerS ?? "none", before, brittle, source }, "endpoint_limit");
        this.updateLimitedGauge();
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
