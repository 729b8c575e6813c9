/**
 * An endpoint whose connections end by themselves may have begun a later life, which is cold. Until that is known it is sent no more
 * than a cold one bears: its registration may be told late.
 *
 * @module
 */
import type { Life } from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { WatchedEndpoint } from "./crash-detector.js";
import type { LifeSign } from "./endpoint-probe.js";
import type { Placement } from "./placement.js";

/** What doubts need of the gateway. */
export interface RestartSuspicionsDeps {
    readonly log: Log;
    /** Decisions that know of endpoints; each endpoint is known to one of them. */
    readonly placements: readonly Placement[];
    /** Asks an endpoint whether its life is still there. */
    probe(endpoint: WatchedEndpoint): Promise<LifeSign>;
    /** Takes in a later life, and tells the hall. */
    meetLife(life: Life): void;
}

/** An endpoint that does not answer the question has written its registration anew by then. */
const SUSPICION_MS = 2_000;

/** The endpoints that one host doubts. */
export class LifeDoubts {
    private readonly probing = new Set<string>();

    constructor(private readonly deps: RestartSuspicionsDeps) {}

    /** A connection to an endpoint has ended by itself. One that says nothing of its lives cannot be told from a later one. */
    raise(endpoint: WatchedEndpoint): void {
        const { incarnation, born } = endpoint;
        const placement = this.deps.placements.find(known => known.limitsWhileCold(incarnation));
        if (!placement || born === undefined || this.probing.has(incarnation)) return;
        this.probing.add(incarnation);
        placement.suspectRestart(incarnation, SUSPICION_MS);
        void this.probeAndSettle(endpoint, placement);
    }

    private async probeAndSettle(endpoint: WatchedEndpoint, placement: Placement): Promise<void> {
        const { incarnation } = endpoint;
        const sign = await this.deps.probe(endpoint);
        this.probing.delete(incarnation);
        this.deps.log.info({ endpoint: incarnation, sign: sign.kind }, "endpoint_life_doubted");
        if (sign.kind === "lives" && sign.reportsBirth) placement.suspectRestart(incarnation, undefined);
        if (sign.kind === "laterLife") this.deps.meetLife(sign.life);
    }
}
