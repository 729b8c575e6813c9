/**
 * The daemon's metrics in the Prometheus text format: quantiles of times from HDR histograms, counters and gauges.
 *
 * @module
 */
import type { FailCode, Ran } from "@drumpaddle/request";
import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
/** Histograms count in tenths of a millisecond, so that gaps of a few milliseconds keep their shape. */
const UNITS_PER_MS = 10;
const MAX_TIME_MS = 3_600_000;

/** A histogram of times in milliseconds. */
export class TimeHistogram {
    private readonly histogram: Histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_TIME_MS * UNITS_PER_MS,
        numberOfSignificantValueDigits: 3,
    });
    private total = 0;

    /** Adds a time. */
    record(ms: number): void {
        const bounded = Math.min(Math.max(ms, 0), MAX_TIME_MS);
        this.histogram.recordValue(Math.round(bounded * UNITS_PER_MS));
        this.total += bounded;
    }

    /** The quantile of the recorded times for a share in [0, 1], in milliseconds. */
    quantile(share: number): number {
        return this.histogram.getValueAtPercentile(share * 100) / UNITS_PER_MS;
    }

    get count(): number {
        return this.histogram.totalCount;
    }

    /** The sum of all recorded times, in milliseconds. */
    get sum(): number {
        return this.total;
    }
}

/** Why a request is sent to an endpoint. */
export type DispatchKind = "first" | "retry" | "resume" | "continue";

/** How a request ended. */
export type Outcome = "whole" | "endpoint_failed" | FailCode | "bad_request" | "unauthorized" | "refused";

/** All metrics of one daemon. */
export class Metrics {
    readonly firstToken = new TimeHistogram();
    readonly betweenTokens = new TimeHistogram();
    readonly stall = new TimeHistogram();
    private readonly registry = new Registry();
    private readonly outcomes = this.counter("drumpaddle_requests_total", "Requests, by outcome.", [
        "outcome",
        "ran",
    ]);
    private readonly discards = this.counter(
        "drumpaddle_discarded_tokens_total",
        "Tokens from endpoints that were discarded.",
        ["reason"],
    );
    private readonly dispatches = this.counter(
        "drumpaddle_dispatches_total",
        "Requests sent to endpoints, first and repeated.",
        ["kind"],
    );
    private readonly preemptions = this.counter("drumpaddle_preemptions_total", "Preemptions reported by engines.", [
        "endpoint",
    ]);
    private readonly settingsOffers = this.counter(
        "drumpaddle_settings_offers_total",
        "Offered versions of the settings or the deployment, by result.",
        ["result"],
    );
    private readonly unreadableRegistrations = this.counter(
        "drumpaddle_unreadable_registrations_total",
        "Registrations of endpoints that could not be decoded, by source.",
        ["source"],
    );
    private readonly storeCalls = this.counter("drumpaddle_store_calls_total", "Calls to the platform's store.", [
        "call",
        "reason",
    ]);
    private readonly copies = this.counter(
        "drumpaddle_copies_total",
        "Copies of running generations requested, by result.",
        ["result"],
    );
    private readonly stayAnswers = this.counter(
        "drumpaddle_stay_answers_total",
        "Answers of engines asked whether they leave.",
        ["answer"],
    );
    private readonly connections = this.counter("drumpaddle_connections_total", "Connections opened to endpoints.", []);
    private readonly givenUpCalls = this.counter(
        "drumpaddle_memory_given_up_total",
        "Calls ended to free the memory that they held, by the side that did not read.",
        ["unread_by"],
    );
    private readonly memoryRefusals = this.counter(
        "drumpaddle_memory_refused_total",
        "Calls refused as the memory budget had no room for their bodies.",
        [],
    );
    private readonly droppedPeerMessages = this.counter(
        "drumpaddle_peer_messages_dropped_total",
        "Messages dropped as their peer read too slowly.",
        [],
    );
    private readonly peerBytes = this.counter("drumpaddle_peer_bytes_total", "Bytes sent to and received from peers.", [
        "direction",
    ]);
    private readonly endings = this.counter(
        "drumpaddle_endings_total",
        "Endpoints that ended while calls of this host ran there, by how the end was detected.",
        ["sign"],
    );
    private readonly withheldCalls = this.counter(
        "drumpaddle_withheld_total",
        "Calls that were withheld, as endpoints had ended while running the same request.",
        ["code"],
    );
    readonly quarantined = this.gauge(
        "drumpaddle_quarantined_requests",
        "Requests in quarantine, which are sent to no endpoint.",
    );
    readonly open = this.gauge("drumpaddle_open_requests", "Requests being served.");
    readonly waiting = this.gauge("drumpaddle_waiting_requests", "Requests waiting for an endpoint with capacity.");
    readonly liveHosts = this.gauge(
        "drumpaddle_live_hosts",
        "Hosts of the scope that this host counts as live, itself included.",
    );
    readonly capacity = this.gauge(
        "drumpaddle_capacity_cores",
        "Capacity that this host reports to others; 0 if none is set.",
    );
    readonly ownedEndpoints = this.gauge(
        "drumpaddle_owned_endpoints",
        "Endpoints that this host owns: others ask it where to send requests.",
    );
    readonly storeEpoch = this.gauge(
        "drumpaddle_store_epoch",
        "How often the platform's store has been restored from an older copy, as the store counts it.",
    );
    readonly evacuated = this.gauge(
        "drumpaddle_evacuated_halls",
        "Halls that an operator has evacuated; they take no new requests.",
    );
    readonly doubtedHalls = this.gauge(
        "drumpaddle_halls_in_doubt",
        "Other halls that this host probably cannot reach.",
    );
    readonly limitedEndpoints = this.gauge(
        "drumpaddle_limited_endpoints",
        "Endpoints that report a limit of requests per second.",
    );
    readonly speedSpread = this.gauge(
        "drumpaddle_endpoint_speed_spread",
        "How far endpoints of one kind differ in speed: standard deviation of the logarithm of their times, 0 if they may be equal.",
    );
    readonly version = this.gauge("drumpaddle_settings_version", "Version of the settings or the deployment in force.");

    constructor() {
        this.summary(
            "drumpaddle_first_token_ms",
            "Time from the acceptance of a request to its first token.",
            this.firstToken,
        );
        this.summary("drumpaddle_between_tokens_ms", "Time between tokens.", this.betweenTokens);
        this.summary(
            "drumpaddle_stall_ms",
            "Stall time of a request: the sum by which gaps between its tokens exceed the target.",
            this.stall,
        );
    }

    countOutcome(outcome: Outcome, ran: Ran): void {
        this.outcomes.inc({ outcome, ran });
    }

    countDispatch(kind: DispatchKind): void {
        this.dispatches.inc({ kind });
    }

    countDiscardedTokens(discards: Readonly<Record<string, number>>): void {
        for (const [reason, number] of Object.entries(discards)) if (number > 0) this.discards.inc({ reason }, number);
    }

    countPreemptions(endpoint: string, number: number): void {
        if (number > 0) this.preemptions.inc({ endpoint }, number);
    }

    countOffer(result: string): void {
        this.settingsOffers.inc({ result });
    }

    /** Counts a registration that cannot be decoded, from the store or from a peer's list. */
    countUnreadable(source: "store" | "peer"): void {
        this.unreadableRegistrations.inc({ source });
    }

    countPeerBytes(direction: "in" | "out", bytes: number): void {
        this.peerBytes.inc({ direction }, bytes);
    }

    /** `reason`: why this host calls: as its hall's `first` or `second` watcher, `alone`, or at its `start`. */
    countStoreCall(call: string, reason: string): void {
        this.storeCalls.inc({ call, reason });
    }

    countCopy(result: string): void {
        this.copies.inc({ result });
    }

    countStayAnswer(answer: string): void {
        this.stayAnswers.inc({ answer });
    }

    countEndpointEnd(sign: string): void {
        this.endings.inc({ sign });
    }

    countWithheld(code: FailCode): void {
        this.withheldCalls.inc({ code });
    }

    /** `unreadBy`: the side whose reading the call waited for, or `nobody`. */
    countGivenUp(unreadBy: string): void {
        this.givenUpCalls.inc({ unread_by: unreadBy });
    }

    countMemoryRefusal(): void {
        this.memoryRefusals.inc();
    }

    countDroppedPeerMessage(): void {
        this.droppedPeerMessages.inc();
    }

    /** Exports the bytes held for others by kind, and the budget for them; undefined if there is none. */
    exportHeldBytes(held: () => Readonly<Record<string, number>>, budgetBytes: number | undefined): void {
        new Gauge({
            name: "drumpaddle_held_bytes",
            help: "Bytes held for callers, endpoints and peers, by kind.",
            labelNames: ["kind"],
            registers: [this.registry],
            collect() {
                for (const [kind, bytes] of Object.entries(held())) this.set({ kind }, bytes);
            },
        });
        if (budgetBytes !== undefined) {
            this.gauge("drumpaddle_held_budget_bytes", "Maximum number of bytes that may be held.").set(budgetBytes);
        }
    }

    countConnection(): void {
        this.connections.inc();
    }

    /** All metrics in the Prometheus text format. */
    text(): Promise<string> {
        return this.registry.metrics();
    }

    private counter<L extends string>(name: string, help: string, labelNames: readonly L[]): Counter<L> {
        return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] });
    }

    private gauge(name: string, help: string): Gauge {
        return new Gauge({ name, help, registers: [this.registry] });
    }

    private summary(name: string, help: string, timing: TimeHistogram): void {
        new Gauge({
            name,
            help,
            labelNames: ["quantile"],
            registers: [this.registry],
            collect() {
                for (const share of QUANTILES) this.set({ quantile: String(share) }, timing.quantile(share));
            },
        });
        new Gauge({
            name: `${name}_count`,
            help,
            registers: [this.registry],
            collect() {
                this.set(timing.count);
            },
        });
        new Gauge({
            name: `${name}_sum`,
            help,
            registers: [this.registry],
            collect() {
                this.set(timing.sum);
            },
        });
    }
}
