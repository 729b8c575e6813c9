/**
 * Takes in what endpoints say of themselves in their answers: a line for each change, and the word for the decisions.
 *
 * @module
 */
import type { Said } from "@drumpaddle/policy";
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
}

/** What a gateway hears endpoints say. */
export class EndpointWords {
    constructor(private readonly deps: EndpointWordsDeps) {}

    /**
     * Takes in an answer of a life of an endpoint.
     *
     * @example
     * ```ts
     * words.heard("i-7@1700", wire.readAnswer(headers));
     * ```
     */
    heard(endpoint: string, { limit }: Pick<AnswerHead, "limit">): void {
        if (limit.kind === "malformed") {
            this.deps.log.debug({ endpoint, text: limit.text }, "endpoint_limit_ignored");
            return;
        }
        const limitPerS = limit.kind === "perS" ? limit.perS : undefined;
        this.take(endpoint, { limitPerS, at: this.deps.clock.now() });
    }

    /** Counts anew how many endpoints name a limit; called when endpoints come or go as well. */
    count(): void {
        const views = this.deps.placements.flatMap(({ view }) => view.endpoints.values());
        this.deps.metrics.limited.set(views.filter(({ said }) => said?.limitPerS !== undefined).length);
    }

    private take(endpoint: string, said: Said): void {
        const placement = this.deps.placements.find(({ view }) => view.endpoints.get(endpoint));
        const known = placement?.view.endpoints.get(endpoint)?.said;
        // Nearly every answer names no limit where none was named before.
        if (!placement || !known && said.limitPerS === undefined) return;
        placement.said(endpoint, said);
        if (known?.limitPerS === said.limitPerS) return;
        const before = known?.limitPerS ?? "none";
        this.deps.log.info({ endpoint, per_s: said.limitPerS ?? "none", before }, "endpoint_limit");
        this.count();
    }
}
