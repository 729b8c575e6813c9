/**
 * Plain calls of three halls with one endpoint each, which serves a few calls at a time and lets others wait: how long calls
 * take and how many of them leave their hall, by what each host knows of its own calls alone.
 *
 * @module
 */
import { createScheduler, decide, DEFAULT_VARIANT, type SchedulerState } from "../src/index.js";
import { makeJob } from "./job.js";

/** How the halls fare. */
export interface PlainLoad {
    readonly hostsPerHall: number;
    /** Calls a second that come to the hosts of each hall. */
    readonly perS: readonly number[];
    readonly seed: number;
}

/** What became of the calls. */
export interface PlainDay {
    /** How long they took, in milliseconds, the shortest first. */
    readonly tookMs: readonly number[];
    /** Share of them that were served in another hall. */
    readonly awayShare: number;
}

const SLOTS = 6;
const RUN_MS = 30_000;
/** One way to an endpoint, in milliseconds. */
const NEAR_MS = 0.1;
const FAR_MS = 1.4;
/** Work of a call: log-normal, with a mean of 43 ms. */
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

interface Due {
    readonly at: number;
    readonly run: () => void;
}

/** Plays the calls of half a minute. */
export function playPlain(load: PlainLoad): PlainDay {
    return new Halls(load).play();
}

class Halls {
    private readonly random: () => number;
    private readonly hosts: readonly Host[];
    private readonly endpoints: readonly Endpoint[];
    private readonly due: Due[] = [];
    private readonly tookMs: number[] = [];
    private now = 0;
    private calls = 0;
    private away = 0;

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

    play(): PlainDay {
        for (const [hall, perS] of this.load.perS.entries()) {
            for (let at = this.pause(perS); at < RUN_MS; at += this.pause(perS)) this.at(at, () => this.call(hall));
        }
        for (let next = this.due.pop(); next; next = this.due.pop()) {
            this.now = next.at;
            next.run();
        }
        return { tookMs: this.tookMs.sort((a, b) => a - b), awayShare: this.away / this.calls };
    }

    private pause(perS: number): number {
        return -Math.log(1 - this.random()) * 1_000 / perS;
    }

    /** Does something at a time; what is due last stands first. */
    private at(time: number, run: () => void): void {
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
        const wayMs = dispatched === hall ? NEAR_MS : FAR_MS;
        if (dispatched !== hall) this.away += 1;
        const served = (): void => this.at(this.now + wayMs, () => this.answered(host, id, began));
        this.at(this.now + wayMs, () => this.reach(this.endpoints[dispatched!]!, served));
    }

    private reach(endpoint: Endpoint, served: () => void): void {
        const begin = (): void => {
            endpoint.busy += 1;
            this.at(this.now + this.work(), () => {
                endpoint.busy -= 1;
                served();
                endpoint.waiting.shift()?.();
            });
        };
        if (endpoint.busy < SLOTS) begin();
        else endpoint.waiting.push(begin);
    }

    private work(): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
        const normal = radius * Math.cos(2 * Math.PI * this.random());
        return Math.exp(WORK_LOG_MEAN + WORK_LOG_DEVIATION * normal);
    }

    private answered(host: Host, job: string, began: number): void {
        this.tookMs.push(this.now - began);
        host.state = decide(host.state, { kind: "ended", job, outcome: "whole", produced: 1 }, this.now).state;
    }
}

/** A seeded source of numbers in [0, 1) (mulberry32). */
function seeded(seed: number): () => number {
    let at = seed;
    return () => {
        at = (at + 0x6d2b79f5) | 0;
        let mixed = Math.imul(at ^ (at >>> 15), 1 | at);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
}
