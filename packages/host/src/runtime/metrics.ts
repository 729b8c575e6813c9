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
/** How it is known that an attempt did not run: none of its bytes was sent, or its endpoint refused it. */
export type NotRunCause = "never_sent" | "refused";

/** How a request ended. */
export type Outcome = "whole" | "endpoint_failed" | FailCode | "bad_request" | "unauthorized" | "refused";

/** All metrics of one daemon. */
export class Metrics {
    readonly firstToken = new TimeHistogram();
    readonly betweenTokens = new TimeHistogram();
    readonly stall = new TimeHistogram();
    readonly loopDelay = new TimeHistogram();
    private readonly registry = new Registry();
    private readonly outcomes = this.counter("drumpaddle_requests_total", "Requests by how they ended.", [
        "outcome",
        "ran",
    ]);
    private readonly discards = this.counter(
        "drumpaddle_discarded_tokens_total",
        "Tokens that did not fit.",
        ["reason"],
    );
    private readonly dispatches = this.counter(
        "drumpaddle_dispatches_total",
        "Attempts, first and repeated.",
        ["kind"],
    );
    private readonly notRun = this.counter(
        "drumpaddle_attempts_not_run_total",
        "Attempts that did not run, by how that is known.",
        ["cause"],
    );
    private readonly preemptions = this.counter("drumpaddle_preemptions_total", "Preemptions that engines reported.", [
        "endpoint",
    ]);
    private readonly settingsOffers = this.counter(
        "drumpaddle_settings_offers_total",
        "Versions of settings offered, by what became of them.",
        ["result"],
    );
    private readonly unreadableRegistrations = this.counter(
        "drumpaddle_unreadable_registrations_total",
        "Registrations of endpoints that could not be read, by where they came from.",
        ["source"],
    );
    private readonly storeCalls = this.counter("drumpaddle_store_calls_total", "Calls to the platform's store.", [
        "call",
        "reason",
    ]);
    private readonly copies = this.counter(
        "drumpaddle_copies_total",
        "Copies of running generations ordered.",
        ["result"],
    );
    private readonly stayAnswers = this.counter(
        "drumpaddle_stay_answers_total",
        "What engines said of leaving when asked.",
        ["answer"],
    );
    private readonly connections = this.counter("drumpaddle_connections_total", "Connections opened to endpoints.", []);
    private readonly givenUpCalls = this.counter(
        "drumpaddle_memory_given_up_total",
        "Calls given up for the memory that they held, by whose reading they waited for.",
        ["unread_by"],
    );
    private readonly memoryRefusals = this.counter(
        "drumpaddle_memory_refused_total",
        "Calls refused as there was no memory left for their bodies.",
        [],
    );
    private readonly droppedPeerMessages = this.counter(
        "drumpaddle_peer_messages_dropped_total",
        "Messages to peers that read too slowly.",
        [],
    );
    private readonly peerBytes = this.counter("drumpaddle_peer_bytes_total", "Bytes to and from peers.", [
        "direction",
    ]);
    private readonly relays = this.counter(
        "drumpaddle_relays_total",
        "Connections to endpoints through peers: asked of peers or served for them, by result.",
        ["role", "result"],
    );
    private readonly endings = this.counter(
        "drumpaddle_endings_total",
        "Endpoints that ended under calls of this host, by how that was found out.",
        ["sign"],
    );
    private readonly withheldCalls = this.counter(
        "drumpaddle_withheld_total",
        "Calls that were not begun, as they were running where endpoints ended.",
        ["code"],
    );
    readonly quarantined = this.gauge(
        "drumpaddle_quarantined_requests",
        "Requests that are begun nowhere.",
    );
    readonly unreachedEndpoints = this.gauge(
        "drumpaddle_unreached_endpoints",
        "Endpoints to which this host's last new connection failed.",
    );
    readonly cutOff = this.gauge("drumpaddle_cut_off", "1 while this host is cut off from the endpoints, otherwise 0.");
    readonly open = this.gauge("drumpaddle_open_requests", "Requests being served.");
    readonly waiting = this.gauge("drumpaddle_waiting_requests", "Requests that wait for room.");
    readonly liveHosts = this.gauge(
        "drumpaddle_live_hosts",
        "Hosts of the scope that this one relies on, itself included.",
    );
    readonly capacity = this.gauge(
        "drumpaddle_capacity_cores",
        "What this host tells others that it can carry; 0 where it does not say.",
    );
    readonly ownedEndpoints = this.gauge(
        "drumpaddle_owned_endpoints",
        "Endpoints of which this host advises others where requests go.",
    );
    readonly storeEpoch = this.gauge(
        "drumpaddle_store_epoch",
        "How often the platform's store has come back from an older copy, by its own count.",
    );
    readonly evacuated = this.gauge(
        "drumpaddle_evacuated_halls",
        "Halls that take nothing new by the operator's order.",
    );
    readonly doubtedHalls = this.gauge(
        "drumpaddle_halls_in_doubt",
        "Other halls that this host can probably not reach.",
    );
    readonly limitedEndpoints = this.gauge(
        "drumpaddle_limited_endpoints",
        "Endpoints that name a limit of requests a second.",
    );
    readonly speedSpread = this.gauge(
        "drumpaddle_endpoint_speed_spread",
        "How far endpoints of one kind differ in speed: standard deviation of the logarithm of their times, 0 where they may be alike.",
    );
    readonly version = this.gauge("drumpaddle_settings_version", "Version of settings in force.");

    constructor() {
        this.summary(
            "drumpaddle_first_token_ms",
            "Time from acceptance to the first token.",
            this.firstToken,
        );
        this.summary("drumpaddle_between_tokens_ms", "Time between tokens.", this.betweenTokens);
        this.summary(
            "drumpaddle_stall_ms",
            "Stall time of a request: what its gaps lie above the target.",
            this.stall,
        );
        this.summary("drumpaddle_event_loop_delay_ms", "How late a timer of 50 ms fires.", this.loopDelay);
    }

    countOutcome(outcome: Outcome, ran: Ran): void {
        this.outcomes.inc({ outcome, ran });
    }

    countNotRun(cause: NotRunCause): void {
        this.notRun.inc({ cause });
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
            help: "Bytes held for callers, endpoints and peers, by what they are.",
            labelNames: ["kind"],
            registers: [this.registry],
            collect() {
                for (const [kind, bytes] of Object.entries(held())) this.set({ kind }, bytes);
            },
        });
        if (budgetBytes !== undefined) {
            this.gauge("drumpaddle_held_budget_bytes", "Most that is held.").set(budgetBytes);
        }
    }

    countConnection(): void {
        this.connections.inc();
    }

    countRelay(role: "asked" | "served", result: string): void {
        this.relays.inc({ role, result });
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
