/**
 * Simulates hosts of three halls that forward plain calls, while a partition separates one hall from the others: what happens to the
 * calls, with and without shared findings about reachability. The failure detector, the scheduler and the sharing among the hosts of a
 * hall are the real ones; links, endpoints and callers are simulated.
 *
 * @module
 */
import { liveHostsInHall, otherHalls } from "@drumpaddle/hall";
import {
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    type SchedulerEvent,
    type SchedulerState,
} from "@drumpaddle/policy";
import { Fleet, seeded, type SimHost } from "../../hall/test/fleet.js";
import { makeJob } from "../../policy/test/job.js";
import type { ReachPeerMessage } from "../src/peers/peer-messages.js";
import { ReachSharing } from "../src/peers/reach-sharing.js";

/** The fleet, and the faults that it meets. */
export interface PartitionScenario {
    readonly hosts: number;
    readonly seed: number;
    /** Whether hosts share their findings on which halls are reachable. */
    readonly isShared: boolean;
    /** How long the first hall is partitioned from the others. */
    readonly partitionMs: number;
    /** How a connection attempt across the partition fails: by timeout, or at once. */
    readonly how: "silent" | "refused";
    /** Halls whose application takes no new calls, so that its calls go to other halls. */
    readonly closed?: readonly string[];
    /** Share of the engines that crash when the partition begins. */
    readonly crashed?: number;
}

/** What happened to the calls. */
export interface PartitionResult {
    /** Failed connections: when each was attempted, in milliseconds since the partition began. */
    readonly failed: readonly number[];
    /** Calls that were answered. */
    readonly served: number;
    /** Calls that were not answered before their deadline, or had too many failed connections. */
    readonly lost: number;
    /** Calls that were answered after at least one failed connection. */
    readonly delayed: number;
    /** Messages by which hosts reported failed connections to each other. */
    readonly messages: number;
    /** Total time that hosts held a hall in doubt, in host-seconds. */
    readonly hostSecondsInDoubt: number;
}

const HALLS = 3;
const PARTITIONED_HALL = "h0";
/** Calls per second at each host: for the application, with one endpoint per hall, and for engines, with ten per hall. */
const APP_PER_S = 1;
const ENGINE_PER_S = 0.4;
const ENGINES_PER_HALL = 10;
const WORK_MS = 43;
const CONNECT_MS = 500;
const REFUSED_MS = 3;
const MESSAGE_MS = 1;
const HEARTBEAT_MS = 250;
const CALL_DEADLINE_MS = 1_500;
/** Failed connections after which a call is given up. */
const MAX_FAILED_CONNECTIONS = 4;
const WARM_UP_MS = 3_000;
const AFTER_MS = 3_000;
const STEP_MS = 5;
const RECEIVER_SEED_OFFSET = 1_000;

interface CallingHost {
    readonly sim: SimHost;
    readonly reach: ReachSharing;
    state: SchedulerState;
    doubtedHalls: number;
}

interface Call {
    readonly id: string;
    readonly model: string;
    readonly endsAt: number;
    readonly avoid: readonly string[];
}

const SILENT_LOG = { info: () => undefined } as never;
const NO_METRICS = { doubtedHalls: { set: () => undefined } } as never;

/** Simulates one partition. */
export function simulatePartition(cut: PartitionScenario): PartitionResult {
    return new PartitionFleet(cut).play();
}

class PartitionFleet {
    private readonly fleet: Fleet;
    private readonly random: () => number;
    /** A separate generator for the receivers of messages, so that the drawn calls do not depend on the messages sent. */
    private readonly receiverRandom: () => number;
    private readonly hosts: readonly CallingHost[];
    private readonly byName: ReadonlyMap<string, CallingHost>;
    private readonly hallOf: ReadonlyMap<string, string>;
    private readonly dead = new Set<string>();
    private readonly failed: number[] = [];
    private served = 0;
    private lost = 0;
    private delayed = 0;
    private doubtMs = 0;
    private messages = 0;
    private calls = 0;
    private isPartitioned = false;

    constructor(private readonly cut: PartitionScenario) {
        this.random = seeded(cut.seed);
        this.receiverRandom = seeded(cut.seed + RECEIVER_SEED_OFFSET);
        this.fleet = new Fleet({ hosts: cut.hosts, halls: HALLS, seed: cut.seed });
        this.fleet.passes = (from, to) => this.passes(from.hall, to.hall);
        const endpoints = endpointsOf(cut.closed ?? []);
        this.hallOf = new Map(endpoints.map(({ id, hall }) => [id, hall]));
        this.hosts = this.fleet.hosts.map(sim => this.startHost(sim, endpoints));
        this.byName = new Map(this.hosts.map(host => [host.sim.name, host]));
        this.fleet.onMessage = (to, from) => this.byName.get(to.name)!.reach.recordContact(from.hall);
    }

    private startHost(sim: SimHost, endpoints: readonly EndpointCfg[]): CallingHost {
        const variant = { ...DEFAULT_VARIANT, admission: "none", choice: "leastOutstanding" } as const;
        const emptyState = createScheduler(variant, 1 + Math.floor(this.random() * 1e6), { hall: sim.hall });
        const reach = new ReachSharing({
            name: sim.name,
            hall: sim.hall,
            clock: { now: () => this.fleet.now, onWake: () => undefined } as never,
            log: SILENT_LOG,
            metrics: NO_METRICS,
            inHall: () => liveHostsInHall(sim.state.membership, this.fleet.now),
            otherHalls: () => otherHalls(sim.state.membership, this.fleet.now),
            send: (names, message) => this.tell(names, message),
            applyEvent: event => this.doubt(host, event),
            random: this.receiverRandom,
        });
        const host: CallingHost = {
            sim,
            reach,
            doubtedHalls: 0,
            state: decide(emptyState, { kind: "endpoints", endpoints }, 0).state,
        };
        reach.setEndpoints(endpoints.map(({ id, hall }) => ({ incarnation: id, address: id, hall })));
        return host;
    }

    private doubt(host: CallingHost, event: SchedulerEvent): void {
        if (event.kind === "reach") host.doubtedHalls = event.doubted.halls.length;
        if (this.cut.isShared) host.state = decide(host.state, event, this.fleet.now).state;
    }

    private tell(names: readonly string[], message: ReachPeerMessage): void {
        this.messages += names.length;
        this.after(MESSAGE_MS, () => {
            for (const name of names) this.byName.get(name)!.reach.receive(message);
        });
    }

    private after(ms: number, run: () => void): void {
        this.fleet.at(this.fleet.now + Math.max(1, Math.round(ms)), run);
    }

    private passes(from: string, to: string): boolean {
        return !this.isPartitioned || (from === PARTITIONED_HALL) === (to === PARTITIONED_HALL);
    }

    play(): PartitionResult {
        for (const host of this.hosts) this.beat(host);
        this.fleet.run(WARM_UP_MS);
        this.isPartitioned = this.cut.partitionMs > 0;
        for (const id of this.hallOf.keys()) {
            if (id.includes("engine") && this.random() < (this.cut.crashed ?? 0)) this.dead.add(id);
        }
        const from = this.fleet.now;
        const runMs = this.cut.partitionMs + AFTER_MS;
        for (let at = 0; at < runMs; at += STEP_MS) {
            if (at >= this.cut.partitionMs) this.isPartitioned = false;
            for (const host of this.hosts) this.step(host, from);
            this.fleet.run(STEP_MS);
        }
        this.fleet.run(CALL_DEADLINE_MS);
        const { failed, served, lost, delayed, messages } = this;
        return { failed, served, lost, delayed, messages, hostSecondsInDoubt: this.doubtMs / 1_000 };
    }

    private beat(host: CallingHost): void {
        host.reach.update();
        this.after(HEARTBEAT_MS, () => this.beat(host));
    }

    /** Simulates the calls that arrive at a host in one step. */
    private step(host: CallingHost, from: number): void {
        this.doubtMs += host.doubtedHalls * STEP_MS;
        for (const [model, perS] of [["app", APP_PER_S], ["engine", ENGINE_PER_S]] as const) {
            if (this.random() >= perS * STEP_MS / 1_000) continue;
            this.calls += 1;
            const id = `c${this.calls}`;
            this.send(host, { id, model, endsAt: this.fleet.now + CALL_DEADLINE_MS, avoid: [] }, from);
        }
    }

    private send(host: CallingHost, call: Call, from: number): void {
        const job = makeJob(call.id, { group: { workspace: "w", service: call.model, model: call.model } });
        const arrived = { kind: "arrive", job, avoid: call.avoid, retry: false } as const;
        const { state, actions } = decide(host.state, arrived, this.fleet.now);
        host.state = state;
        const [dispatched] = actions.flatMap(action => action.kind === "dispatch" ? [action.endpoint] : []);
        if (dispatched === undefined) this.lost += 1;
        else this.connect(host, call, dispatched, from);
    }

    private connect(host: CallingHost, call: Call, endpoint: string, from: number): void {
        const startedAt = this.fleet.now;
        const isReachable = this.passes(host.sim.hall, this.hallOf.get(endpoint)!) && !this.dead.has(endpoint);
        if (isReachable) {
            this.after(WORK_MS, () => this.answered(host, call, endpoint));
            return;
        }
        this.failed.push(startedAt - from);
        this.after(this.cut.how === "silent" ? CONNECT_MS : REFUSED_MS, () => {
            this.end(host, call, "unreachable");
            host.reach.connectionFailed(endpoint);
            const avoid = [...call.avoid, endpoint];
            const isOver = this.fleet.now >= call.endsAt || avoid.length >= MAX_FAILED_CONNECTIONS;
            if (isOver) this.lost += 1;
            else this.send(host, { ...call, avoid }, from);
        });
    }

    private answered(host: CallingHost, call: Call, endpoint: string): void {
        this.end(host, call, "whole");
        host.reach.endpointAnswered(endpoint);
        this.served += 1;
        if (call.avoid.length > 0) this.delayed += 1;
    }

    private end(host: CallingHost, { id }: Call, outcome: "whole" | "unreachable"): void {
        host.state = decide(host.state, { kind: "ended", job: id, outcome, produced: 1 }, this.fleet.now).state;
    }
}

function endpointsOf(closed: readonly string[]): readonly EndpointCfg[] {
    const halls = Array.from({ length: HALLS }, (_, at) => `h${at}`);
    return halls.flatMap(hall => [
        { id: `${hall}-app`, hall, models: closed.includes(hall) ? [] : ["app"], memoryTokens: 1 },
        ...Array.from({ length: ENGINES_PER_HALL }, (_, at) => ({
            id: `${hall}-engine-${at}`,
            hall,
            models: ["engine"],
            memoryTokens: 1,
        })),
    ]);
}
