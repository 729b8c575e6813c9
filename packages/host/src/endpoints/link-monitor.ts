/**
 * Finds out whether this host has lost its links to the endpoints, and when they are back. The rules stand in `endpoint-links` of the
 * package `hall`.
 *
 * Calls show most: connections that fail, and answers that do not come. If nothing is heard from any endpoint, the host first opens a
 * connection to one of them, which costs the endpoint no request. If that fails, or a call still has no answer, it probes two of them,
 * directly and through a peer: only an endpoint that a peer reaches and this host does not speaks against this host's links.
 *
 * @module
 */
import {
    type EndpointLinks,
    LinkFailureCause,
    needsRelay,
    recordLinkFailure,
    recordLinkUp,
    recordReachedByPeer,
    UNKNOWN_LINKS,
} from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { randomSample } from "../runtime/random-sample.js";
import { repeat } from "../runtime/repeat.js";

/** How an endpoint is probed: by a request, directly or through a peer, or only by opening a connection directly. */
export type ProbeWay = "direct" | "relayed" | "connection";

/** Dependencies of {@link LinkMonitor}. */
export interface LinkMonitorDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Pick<Metrics, "unreachedEndpoints" | "cutOff">;
    readonly signal: AbortSignal;
    /** Addresses of the endpoints that this host knows. */
    addresses(): readonly string[];
    /** Whether the endpoint may be sent a probe now. */
    mayProbe(address: string): boolean;
    /** Probes an endpoint; resolves with whether it answered anything, or kept the connection open. */
    probe(address: string, way: ProbeWay): Promise<boolean>;
    /** Called when this host finds itself cut off. `since`: when its connections began to fail. */
    onCutOff(since: number): void;
    /** Called when this host reaches the endpoints again. */
    onReached(): void;
}

/** Interval at which the silence is checked. */
const CHECK_INTERVAL_MS = 100;
/** Silence of all endpoints after which a connection is opened while a call waits. Short calls are answered by then. */
const BUSY_SILENCE_MS = 500;
/** As {@link BUSY_SILENCE_MS}, while no call waits. */
const IDLE_SILENCE_MS = 1_500;
/** Silence after which endpoints are probed by requests while a call waits, even though connections can be opened. */
const PROBE_SILENCE_MS = 1_000;
/** Pause after probes that left the question open, and between probes of a host that is cut off; it is drawn up to twice as long. */
const PROBE_INTERVAL_MS = 250;
/** Endpoints that are probed after a silence: as many as have to fail. */
const PROBED_ENDPOINTS = 2;
/** Endpoints that must have failed in a row before it is logged: a single one may have ended. */
const MIN_LOGGED_FAILURES = 2;

/** The links of one host to the endpoints. */
export class LinkMonitor {
    private links: EndpointLinks = UNKNOWN_LINKS;
    /** When something was last received from any endpoint on a direct connection. */
    private heardAt: number;
    /** When the first call since then was sent directly; undefined if none was. */
    private unansweredSince: number | undefined;
    /** Whether failures were logged that no connection has followed yet. */
    private isFailureLogged = false;
    private nextProbeAt = -Infinity;
    /** When a connection was last opened because of a silence. */
    private connectionTriedAt = -Infinity;
    /** Endpoints that a peer is being asked for. */
    private readonly confirming = new Set<string>();

    constructor(private readonly deps: LinkMonitorDeps) {
        this.heardAt = deps.clock.now();
    }

    /** Starts probing; stops when the signal aborts. */
    start(): void {
        repeat(() => this.check(), () => CHECK_INTERVAL_MS, this.deps.signal);
    }

    /** Whether this host is cut off from the endpoints. */
    get isCutOff(): boolean {
        return this.links.cutOff !== undefined;
    }

    /** When the connections began to fail that show that this host is cut off; undefined if it is not. */
    get cutOffSince(): number | undefined {
        return this.links.cutOff?.since;
    }

    /** Whether connections to an endpoint have to go through a peer. */
    needsRelay(address: string): boolean {
        return needsRelay(this.links, address, this.deps.clock.now());
    }

    /** Called when a call is sent on a direct connection. */
    sent(): void {
        this.unansweredSince ??= this.deps.clock.now();
    }

    /** Called when something was received on a direct connection. `isFirst`: it is the first thing on a new connection. */
    received(address: string, isFirst: boolean): void {
        const now = this.deps.clock.now();
        this.heardAt = now;
        this.unansweredSince = undefined;
        if (!isFirst) return;
        this.update(recordLinkUp(this.links, address, this.knownEndpoints, now));
        if (this.isFailureLogged && !this.isCutOff) {
            this.isFailureLogged = false;
            this.deps.log.info({ address }, "endpoints_reached_again");
        }
    }

    /** Called when a new direct connection to an endpoint failed. */
    failed(address: string, cause: LinkFailureCause): void {
        const now = this.deps.clock.now();
        this.update(recordLinkFailure(this.links, address, cause, this.knownEndpoints, now));
        this.logFailures(cause);
        // A connection that was not established has made the host ask a peer already.
        if (cause !== LinkFailureCause.Closed || this.isCutOff) return;
        void this.confirm(address, probed => this.deps.probe(probed, "relayed"));
    }

    /** Called when a peer has connected to an endpoint to which a direct connection was not established. */
    reachedByPeer(address: string): void {
        if (!this.isCutOff && !this.confirming.has(address)) void this.confirm(address, () => Promise.resolve(true));
    }

    private async check(): Promise<void> {
        const now = this.deps.clock.now();
        if (now < this.nextProbeAt) return;
        if (this.isCutOff) return this.probeWhileCutOff();
        // Calls that have ended without an answer count as well: their deadlines may be shorter than this silence.
        const isBusy = now - (this.unansweredSince ?? now) >= BUSY_SILENCE_MS;
        const silentMs = now - this.heardAt;
        if (isBusy && silentMs >= PROBE_SILENCE_MS) return this.probeAfterSilence();
        const isConnectionDue = now - this.connectionTriedAt >= IDLE_SILENCE_MS;
        if (silentMs < (isBusy ? BUSY_SILENCE_MS : IDLE_SILENCE_MS) || !isConnectionDue) return;
        this.connectionTriedAt = now;
        const [address] = randomSample(this.deps.addresses(), 1);
        if (address !== undefined && !await this.deps.probe(address, "connection")) await this.probeAfterSilence();
    }

    private async probeAfterSilence(): Promise<void> {
        const drawn = this.drawEndpoints(PROBED_ENDPOINTS);
        const answers = await Promise.all(drawn.map(address => this.probeDirectly(address)));
        if (answers.includes(true)) return;
        for (const address of drawn) this.failed(address, LinkFailureCause.Silent);
        // If no peer reaches it either, the endpoint is silent itself, and so may the others be.
        if (drawn[0] !== undefined) await this.confirm(drawn[0], address => this.deps.probe(address, "relayed"));
        if (!this.isCutOff) this.postponeProbes();
    }

    private async probeWhileCutOff(): Promise<void> {
        const reached = this.links.cutOff?.reachedAgain ?? new Set<string>();
        const [address] = this.drawEndpoints(1, reached);
        this.postponeProbes();
        if (address === undefined) return;
        if (!await this.probeDirectly(address)) return this.failed(address, LinkFailureCause.Silent);
        // The second endpoint that it takes is probed at once.
        this.nextProbeAt = -Infinity;
    }

    /**
     * Checks whether a peer reaches an endpoint that this host does not. The endpoint is probed directly again after the peer has
     * reached it: it may have been silent itself until then.
     */
    private async confirm(address: string, isReachedByPeer: (address: string) => Promise<boolean>): Promise<void> {
        if (this.confirming.has(address)) return;
        this.confirming.add(address);
        const speaksAgainstLink = this.deps.mayProbe(address) && await isReachedByPeer(address)
            && !await this.probeDirectly(address);
        this.confirming.delete(address);
        if (!speaksAgainstLink) return;
        this.update(recordReachedByPeer(this.links, address, this.knownEndpoints, this.deps.clock.now()));
    }

    private async probeDirectly(address: string): Promise<boolean> {
        const isAnswered = await this.deps.probe(address, "direct");
        if (isAnswered) this.received(address, true);
        return isAnswered;
    }

    private drawEndpoints(count: number, except: ReadonlySet<string> = new Set()): readonly string[] {
        const addresses = this.deps.addresses().filter(address => !except.has(address));
        const drawn: string[] = [];
        for (const address of randomSample(addresses, addresses.length)) {
            if (drawn.length === count) break;
            // Checked last, because a probe counts against the endpoint's limit.
            if (this.deps.mayProbe(address)) drawn.push(address);
        }
        return drawn;
    }

    /** Jitter keeps the hosts of a hall that was cut off from probing at the same moments. */
    private postponeProbes(): void {
        this.nextProbeAt = this.deps.clock.now() + PROBE_INTERVAL_MS * (1 + Math.random());
    }

    private update(links: EndpointLinks): void {
        const { cutOff: before } = this.links;
        this.links = links;
        this.deps.metrics.unreachedEndpoints.set(links.failures.size);
        if (links.cutOff && !before) this.onCutOff(links.cutOff);
        if (before && !links.cutOff) this.onReached(before.since);
    }

    private onCutOff({ since, cause, failedEndpoints }: NonNullable<EndpointLinks["cutOff"]>): void {
        const now = this.deps.clock.now();
        this.deps.metrics.cutOff.set(1);
        this.deps.log.warn({
            endpoints: failedEndpoints,
            known: this.knownEndpoints,
            cause,
            since_ms: Math.round(now - since),
            unheard_ms: Math.round(now - this.heardAt),
        }, "host_cut_off");
        this.postponeProbes();
        this.deps.onCutOff(since);
    }

    private onReached(since: number): void {
        this.deps.metrics.cutOff.set(0);
        this.isFailureLogged = false;
        this.deps.log.info({ after_ms: Math.round(this.deps.clock.now() - since) }, "host_reaches_endpoints");
        this.deps.onReached();
    }

    private logFailures(cause: LinkFailureCause): void {
        const { size } = this.links.failures;
        if (this.isFailureLogged || size < Math.min(MIN_LOGGED_FAILURES, this.knownEndpoints)) return;
        this.isFailureLogged = true;
        const unheard = Math.round(this.deps.clock.now() - this.heardAt);
        const fields = { endpoints: size, known: this.knownEndpoints, cause, unheard_ms: unheard };
        this.deps.log.warn(fields, "endpoints_unreached");
    }

    private get knownEndpoints(): number {
        return this.deps.addresses().length;
    }
}
