/**
 * Watches whether this host reaches the endpoints at all, by the connections that it opens to them. The rules stand in
 * `endpoint-links` of the package `hall`.
 *
 * @module
 */
import {
    type EndpointLinks,
    type LinkFailureCause,
    recordLinkFailure,
    recordLinkUp,
    UNKNOWN_LINKS,
} from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";

/** Dependencies of {@link LinkMonitor}. */
export interface LinkMonitorDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Pick<Metrics, "unreachedEndpoints">;
    /** Addresses of the endpoints that this host knows. */
    addresses(): readonly string[];
}

/** Endpoints that must have failed in a row before it is logged: a single one may have ended. */
const MIN_FAILED_ENDPOINTS = 2;

/** The links of one host to the endpoints. */
export class LinkMonitor {
    private links: EndpointLinks = UNKNOWN_LINKS;
    /** When something was last received from any endpoint. */
    private heardAt: number;
    /** Whether failures were logged that no connection has followed yet. */
    private isFailureLogged = false;

    constructor(private readonly deps: LinkMonitorDeps) {
        this.heardAt = deps.clock.now();
    }

    /** Called when something was received from an endpoint. `isFirst`: it is the first thing on a new connection. */
    received(address: string, isFirst: boolean): void {
        const now = this.deps.clock.now();
        this.heardAt = now;
        if (!isFirst) return;
        this.links = recordLinkUp(this.links, address, this.knownEndpoints, now);
        if (this.isFailureLogged) this.deps.log.info({ endpoint: address }, "endpoints_reached_again");
        this.isFailureLogged = false;
        this.updateGauge();
    }

    /** Called when a new connection to an endpoint failed. */
    failed(address: string, cause: LinkFailureCause): void {
        const now = this.deps.clock.now();
        this.links = recordLinkFailure(this.links, address, cause, this.knownEndpoints, now);
        this.updateGauge();
        const { size } = this.links.failures;
        if (this.isFailureLogged || size < Math.min(MIN_FAILED_ENDPOINTS, this.knownEndpoints)) return;
        this.isFailureLogged = true;
        const unheard = Math.round(now - this.heardAt);
        this.deps.log.warn(
            { endpoints: size, known: this.knownEndpoints, cause, unheard_ms: unheard },
            "endpoints_unreached",
        );
    }

    private get knownEndpoints(): number {
        return this.deps.addresses().length;
    }

    private updateGauge(): void {
        this.deps.metrics.unreachedEndpoints.set(this.links.failures.size);
    }
}
