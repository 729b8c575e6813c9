/**
 * Suspects that an endpoint has restarted when it closes connections by itself, and when it is called without a connection while
 * the registry is stale, as a restart would then leave no sign. A restarted endpoint is cold, and its new registration may arrive
 * late; so until a probe settles the question, the scheduler sends it no more than a cold endpoint can take.
 *
 * @module
 */
import type { IncarnationId } from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { EndpointIncarnation } from "./crash-detector.js";
import type { ProbeResult } from "./endpoint-probe.js";
import type { Placement } from "./placement.js";

/** Why an endpoint is suspected of a restart. */
export const SuspicionCause = {
    /** The endpoint closed a connection, or a call to it broke off. */
    Closed: "closed",
    /** A call is sent there with no connection from before, while this host gets no registrations. */
    NoConnection: "noConnection",
} as const;
export type SuspicionCause = typeof SuspicionCause[keyof typeof SuspicionCause];

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
    /** Probes that have not been answered yet, by incarnation. */
    private readonly probing = new Map<string, Promise<void>>();

    constructor(private readonly deps: RestartSuspicionsDeps) {}

    /**
     * Suspects and probes an endpoint. Ignores endpoints that do not report when their incarnation began, because a probe cannot
     * tell their incarnations apart.
     *
     * @returns Resolves when the probe is over; undefined if there is nothing to wait for.
     */
    raise(endpoint: EndpointIncarnation, cause: SuspicionCause): Promise<void> | undefined {
        const { incarnation, born } = endpoint;
        const placement = this.deps.placements.find(known => known.limitsWhileCold(incarnation));
        if (!placement || born === undefined) return undefined;
        const known = this.probing.get(incarnation);
        if (known) return known;
        placement.suspectRestart(incarnation, SUSPICION_MS);
        const settled = this.probeAndSettle(endpoint, cause, placement);
        this.probing.set(incarnation, settled);
        return settled;
    }

    /**
     * Settles whether an endpoint has restarted before a call is sent there without a connection. The call counts as one that a cold
     * endpoint gets.
     *
     * @returns As {@link raise} does.
     */
    settleBeforeCall(endpoint: EndpointIncarnation): Promise<void> | undefined {
        const settled = this.raise(endpoint, SuspicionCause.NoConnection);
        if (settled) { for (const placement of this.deps.placements) placement.countAdmission(endpoint.incarnation); }
        return settled;
    }

    private async probeAndSettle(
        endpoint: EndpointIncarnation,
        cause: SuspicionCause,
        placement: Placement,
    ): Promise<void> {
        const { incarnation } = endpoint;
        const sign = await this.deps.probe(endpoint);
        this.probing.delete(incarnation);
        this.deps.log.info({ endpoint: incarnation, cause, sign: sign.kind }, "endpoint_life_doubted");
        if (sign.kind === "lives" && sign.reportsBirth) placement.suspectRestart(incarnation, undefined);
        if (sign.kind === "laterLife") this.deps.learnIncarnation(sign.life);
    }
}
