/**
 * Simulates plain calls of three halls with one endpoint each, which serves a few calls at a time and queues the
 * others. Measures how long calls take and how many are served in another hall, if each host knows only its own calls.
 *
 * @module
 */
import { createScheduler, decide, DEFAULT_VARIANT, type SchedulerState } from "../src/index.js";
import { makeJob } from "./job.js";

/** Load of the halls. */
export interface PlainLoad {
    readonly hostsPerHall: number;
    /** Calls per second that arrive at the hosts of each hall. */
    readonly perS: readonly number[];
    readonly seed: number;
}

/** Outcome of a simulation. */
export interface PlainOutcome {
    /** Durations of the calls in milliseconds, shortest first. */
    readonly durationsMs: readonly number[];
    /** Share of the calls that were served in another hall. */
    readonly remoteShare: number;
}

const SLOTS = 6;
const RUN_MS = 30_000;
/** One-way latency to an endpoint in the own or another hall, in milliseconds. */
const OWN_HALL_MS = 0.1;
const REMOTE_HALL_MS = 1.4;
/** Service time of a call: log-normal, with a mean of 43 ms. */
const WORK_LOG_MEAN = 3.65;
const WORK_LOG_DEVIATION = 0.47;

interface Host {
    readonly hall: number;
    state: SchedulerState;
}

interface Endpoint {
    busy: number;
    readonly waiting: (() => void)[];
}

interface ScheduledEvent {
    readonly at: number;
    readonly run: () => void;
}

/** Simulates half a minute of calls. */
export function simulatePlainCalls(load: PlainLoad): PlainOutcome {
    return new Simulation(load).run();
}

class Simulation {
    private readonly random: () => number;
    private readonly hosts: readonly Host[];
    private readonly endpoints: readonly Endpoint[];
    private readonly due: ScheduledEvent[] = [];
    private readonly durationsMs: number[] = [];
    private now = 0;
    private calls = 0;
    private remoteCalls = 0;

    constructor(private readonly load: PlainLoad) {
        this.random = seeded(load.seed);
        const halls = load.perS.map((_, hall) => hall);
        this.endpoints = halls.map(() => ({ busy: 0, waiting: [] }));
        const cfgs = halls.map(hall => ({ id: String(hall), hall: String(hall), models: ["m"], memoryTokens: 1 }));
        const variant = { ...DEFAULT_VARIANT, admission: "none", choice: "leastOutstanding" } as const;
        this.hosts = halls.flatMap(hall =>
            Array.from({ length: load.hostsPerHall }, (): Host => {
                const begun = createScheduler(variant, Math.floor(this.random() * 1e6), { hall: String(hall) });
                return { hall, state: decide(begun, { kind: "endpoints", endpoints: cfgs }, 0).state };
            })
        );
    }

    run(): PlainOutcome {
        for (const [hall, perS] of this.load.perS.entries()) {
            for (let at = this.gap(perS); at < RUN_MS; at += this.gap(perS)) this.schedule(at, () => this.call(hall));
        }
        for (let next = this.due.pop(); next; next = this.due.pop()) {
            this.now = next.at;
            next.run();
        }
        return { durationsMs: this.durationsMs.sort((a, b) => a - b), remoteShare: this.remoteCalls / this.calls };
    }

    /** Random time until the next call, in milliseconds. */
    private gap(perS: number): number {
        return -Math.log(1 - this.random()) * 1_000 / perS;
    }

    /** Schedules an event; the queue is sorted by time, latest first. */
    private schedule(time: number, run: () => void): void {
        let [low, high] = [0, this.due.length];
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.due[middle]!.at > time) low = middle + 1;
            else high = middle;
        }
        this.due.splice(low, 0, { at: time, run });
    }

    private call(hall: number): void {
        const { hostsPerHall } = this.load;
        const host = this.hosts[hall * hostsPerHall + Math.floor(this.random() * hostsPerHall)]!;
        const id = `r${this.calls += 1}`;
        const { state, actions } = decide(
            host.state,
            { kind: "arrive", job: makeJob(id), avoid: [], retry: false },
            this.now,
        );
        host.state = state;
        const [dispatched] = actions.flatMap(action => action.kind === "dispatch" ? [Number(action.endpoint)] : []);
        const began = this.now;
        const wayMs = dispatched === hall ? OWN_HALL_MS : REMOTE_HALL_MS;
        if (dispatched !== hall) this.remoteCalls += 1;
        const served = (): void => this.schedule(this.now + wayMs, () => this.onAnswer(host, id, began));
        this.schedule(this.now + wayMs, () => this.serve(this.endpoints[dispatched!]!, served));
    }

    private serve(endpoint: Endpoint, served: () => void): void {
        const begin = (): void => {
            endpoint.busy += 1;
            this.schedule(this.now + this.serviceMs(), () => {
                endpoint.busy -= 1;
                served();
                endpoint.waiting.shift()?.();
            });
        };
        if (endpoint.busy < SLOTS) begin();
        else endpoint.waiting.push(begin);
    }

    private serviceMs(): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
        const normal = radius * Math.cos(2 * Math.PI * this.random());
        return Math.exp(WORK_LOG_MEAN + WORK_LOG_DEVIATION * normal);
    }

    private onAnswer(host: Host, job: string, began: number): void {
        this.durationsMs.push(this.now - began);
        host.state = decide(host.state, { kind: "ended", job, outcome: "whole", produced: 1 }, this.now).state;
    }
}

/** Seeded random numbers in [0, 1) (mulberry32). */
function seeded(seed: number): () => number {
    let at = seed;
    return () => {
        at = (at + 0x6d2b79f5) | 0;
        let mixed = Math.imul(at ^ (at >>> 15), 1 | at);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
}
