/**
 * Suspects that an endpoint has restarted when it closes connections by itself. A restarted endpoint is cold, and its new
 * registration may arrive late; so until a probe settles the question, the scheduler sends it no more than a cold endpoint can take.
 *
 * @module
 */
import type { IncarnationId } from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { EndpointIncarnation } from "./crash-detector.js";
import type { ProbeResult } from "./endpoint-probe.js";
import type { Placement } from "./placement.js";

/** Dependencies of {@link RestartSuspicions}. */
export interface RestartSuspicionsDeps {
    readonly log: Log;
    /** The schedulers; each endpoint is known to one of them. */
    readonly placements: readonly Placement[];
    /** Asks an endpoint whether this incarnation is still alive. */
    probe(endpoint: EndpointIncarnation): Promise<ProbeResult>;
    /** Records a later incarnation of an endpoint and informs the hall. */
    learnIncarnation(incarnation: IncarnationId): void;
}

/** How long a suspicion holds without an answer: a restarted endpoint has registered again by then. */
const SUSPICION_MS = 2_000;

/** Suspects and probes endpoints that may have restarted. */
export class RestartSuspicions {
    private readonly probing = new Set<string>();

    constructor(private readonly deps: RestartSuspicionsDeps) {}

    /**
     * Called when the endpoint closed a connection by itself. Ignores endpoints that do not report when their incarnation began,
     * because a probe cannot tell their incarnations apart.
     */
    raise(endpoint: EndpointIncarnation): void {
        const { incarnation, born } = endpoint;
        const placement = this.deps.placements.find(known => known.limitsWhileCold(incarnation));
        if (!placement || born === undefined || this.probing.has(incarnation)) return;
        this.probing.add(incarnation);
        placement.suspectRestart(incarnation, SUSPICION_MS);
        void this.probeAndSettle(endpoint, placement);
    }

    private async probeAndSettle(endpoint: EndpointIncarnation, placement: Placement): Promise<void> {
        const { incarnation } = endpoint;
        const sign = await this.deps.probe(endpoint);
        this.probing.delete(incarnation);
        this.deps.log.info({ endpoint: incarnation, sign: sign.kind }, "endpoint_life_doubted");
        if (sign.kind === "lives" && sign.reportsBirth) placement.suspectRestart(incarnation, undefined);
        if (sign.kind === "laterLife") this.deps.learnIncarnation(sign.life);
    }
}
