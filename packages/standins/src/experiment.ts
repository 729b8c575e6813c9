/**
 * Decisions against model engines on a virtual clock: one hall's hosts, each with its own decisions, before engines that
 * they share. Messages are handed over directly, with delay and loss; no network and no cluster is simulated.
 *
 * @module
 */
import {
    askOwner,
    createLoadExchange,
    HOLDER_REPORT_INTERVAL_MS,
    type LoadExchange,
    type LoadExchangeStep,
    type LoadMessage,
    ownerReportIntervalMs,
    receiveLoadMessage,
    runLoadRound,
} from "@drumpaddle/hall";
import { TimeHistogram } from "@drumpaddle/host";
import {
    createScheduler,
    decide,
    isProgressDue,
    type Job,
    type JobPolicy,
    quantileLength,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
    survivalOf,
    type Variant,
} from "@drumpaddle/policy";
import { encodeFrame } from "@drumpaddle/protocol";
import TinyQueue from "tinyqueue";
import { ENGINE, type EngineCfg, EngineModel } from "./engine-model.js";
import { type RandomGenerator, uniformFloat64, xoroshiro128plus } from "./random.js";
import type { Arrival } from "./traffic.js";

/** What is to be measured. Times are milliseconds of the virtual clock. */
export interface ExperimentCfg {
    readonly arrivals: readonly Arrival[];
    readonly variant: Variant;
    readonly policy: Omit<JobPolicy, "priority">;
    readonly engines: number;
    readonly engine?: EngineCfg;
    readonly hosts: number;
    readonly seed: number;
    /** Lag of each engine's load reports, drawn between these. */
    readonly lagMs: readonly [number, number];
    /** Share of reports that are missing. */
    readonly reportLoss: number;
    /** At this time a third of the engines is lost with all that runs there; undefined for never. */
    readonly loseThirdAt?: number | undefined;
    /** How often hosts tell owners, and owners tell hosts. */
    readonly tellMs?: number;
    /** Share of messages between hosts that are lost. */
    readonly messageLoss?: number;
}

/** What was measured. */
export interface Measured {
    readonly arrivals: number;
    readonly whole: number;
    /** Whole answers within their deadline ({@link deadlineOf}). */
    readonly good: number;
    readonly refused: number;
    readonly broken: number;
    readonly preemptions: number;
    /** Sum of what gaps lie above the target, over all streams, in seconds. */
    readonly stallS: number;
    readonly gaps: TimeHistogram;
    /** The 99.9 % quantile of gaps of each stream that has at least {@link STREAM_TAIL_GAPS}, over streams. */
    readonly streamTails: TimeHistogram;
    readonly firstToken: TimeHistogram;
    /** First tokens of live requests alone. */
    readonly liveFirstToken: TimeHistogram;
    /** Share of lengths that stayed within the 90 % quantile stated at dispatch: the estimates' calibration. */
    readonly within90: number;
    readonly decisions: number;
    /** Bytes that hosts sent each other, per host and second. */
    readonly peerBytesPerS: number;
}

/** A gap above this is stall time: letter 1's bound between tokens. */
export const GAP_TARGET_MS = 44;
const REPORT_EVERY_MS = 500;
const TICK_MS = 50;
const TO_ENGINE_MS = 1;
const TO_PEER_MS = 1;
/** Streams with fewer gaps have no tail to speak of. */
export const STREAM_TAIL_GAPS = 50;
const FIRST_TOKEN_ALLOWED_MS = 15_000;
const PER_TOKEN_ALLOWED_MS = 60;
/** After the last arrival, running work gets this long to end. */
const AFTER_MS = 600_000;
const LOST_SHARE = 1 / 3;

/** By when an answer must be whole to count as good, from its arrival. */
export function deadlineOf(arrival: Arrival): number {
    return FIRST_TOKEN_ALLOWED_MS + arrival.output * PER_TOKEN_ALLOWED_MS;
}

interface Timed {
    readonly at: number;
    readonly order: number;
    readonly run: (now: number) => void;
}

interface HostSim {
    state: SchedulerState;
    ticking: boolean;
    share: LoadExchange;
}

interface EngineSim {
    readonly model: EngineModel;
    readonly lagMs: number;
    stepping: boolean;
    lost: boolean;
}

interface StreamSim {
    readonly arrival: Arrival;
    readonly host: number;
    readonly job: Job;
    produced: number;
    lastAt: number;
    readonly gaps: number[];
    since: { tokens: number; sum: number; max: number };
    engine: number;
    /** The engine's work of this attempt; an earlier attempt's tokens are of another name. */
    attempt: number;
    ended: boolean;
    bound90: number;
}

/** One run of an experiment. */
class Experiment {
    private readonly queue = new TinyQueue<Timed>([], (a, b) => a.at - b.at || a.order - b.order);
    private order = 0;
    private readonly hosts: HostSim[];
    private readonly engines: EngineSim[];
    private readonly streams = new Map<string, StreamSim>();
    private readonly random: RandomGenerator;
    private readonly gaps = new TimeHistogram();
    private readonly streamTails = new TimeHistogram();
    private readonly firstToken = new TimeHistogram();
    private readonly liveFirstToken = new TimeHistogram();
    private open = 0;
    private peerBytes = 0;
    private readonly hostNames: readonly string[];
    private counts = {
        whole: 0,
        good: 0,
        refused: 0,
        broken: 0,
        preemptions: 0,
        stallMs: 0,
        within90: 0,
        decisions: 0,
    };

    constructor(private readonly cfg: ExperimentCfg) {
        this.random = xoroshiro128plus(cfg.seed);
        const [least, most] = cfg.lagMs;
        this.engines = Array.from({ length: cfg.engines }, () => ({
            model: new EngineModel(cfg.engine ?? ENGINE),
            lagMs: least + (most - least) * uniformFloat64(this.random),
            stepping: false,
            lost: false,
        }));
        this.hostNames = Array.from({ length: cfg.hosts }, (_, at) => `host-${at}`);
        this.hosts = Array.from(
            { length: cfg.hosts },
            (_, at) => ({
                state: createScheduler(cfg.variant, at + 1),
                ticking: false,
                share: createLoadExchange(`host-${at}`),
            }),
        );
    }

    private follow(host: number, { state, send, events }: LoadExchangeStep, now: number): void {
        this.hosts[host]!.share = state;
        for (const { to, message } of send) this.message(host, this.hostNames.indexOf(to), message, now);
        for (const event of events) this.tell(host, event, now);
    }

    /** Hands a message over after its delay, unless it is lost. */
    private message(from: number, to: number, message: LoadMessage, now: number): void {
        this.peerBytes += encodeFrame(message).length;
        if (uniformFloat64(this.random) < (this.cfg.messageLoss ?? 0)) return;
        this.at(now + TO_PEER_MS, later => {
            const sim = this.hosts[to]!;
            this.follow(to, receiveLoadMessage(sim.share, this.hostNames[from]!, message, sim.state, later), later);
        });
    }

    private round(host: number, now: number): void {
        this.at(now + Math.min(this.tellMs, HOLDER_REPORT_INTERVAL_MS), later => this.round(host, later));
        const sim = this.hosts[host]!;
        const othersEveryMs = this.tellMs <= HOLDER_REPORT_INTERVAL_MS ? 0 : this.tellMs;
        this.follow(host, runLoadRound(sim.share, sim.state.endpoints, this.hostNames, now, othersEveryMs), now);
    }

    private get tellMs(): number {
        return this.cfg.tellMs ?? ownerReportIntervalMs(this.cfg.hosts);
    }

    run(): Measured {
        const endpoints = this.engines.map(({ model }, at) => ({
            id: `e${at}`,
            hall: "h",
            models: ["m"],
            memoryTokens: model.cfg.memoryTokens,
        }));
        for (const at of this.hosts.keys()) {
            this.tell(at, { kind: "endpoints", endpoints }, -60_000);
            if (this.cfg.variant.share !== "owner" || this.cfg.hosts === 1) continue;
            this.round(at, -this.tellMs * uniformFloat64(this.random));
        }
        for (const [at, arrival] of this.cfg.arrivals.entries()) {
            this.at(arrival.at, now => this.arrive(arrival, at % this.cfg.hosts, now));
        }
        for (const at of this.engines.keys()) {
            this.at(REPORT_EVERY_MS * uniformFloat64(this.random), now => this.report(at, now));
        }
        if (this.cfg.loseThirdAt !== undefined) this.at(this.cfg.loseThirdAt, now => this.loseThird(now));
        const end = (this.cfg.arrivals.at(-1)?.at ?? 0) + AFTER_MS;
        this.open = this.cfg.arrivals.length;
        let lastAt = 1;
        for (let next = this.queue.pop(); next && next.at < end && this.open > 0; next = this.queue.pop()) {
            lastAt = next.at;
            next.run(next.at);
        }
        const { whole, good, refused, broken, preemptions, stallMs, within90, decisions } = this.counts;
        return {
            arrivals: this.cfg.arrivals.length,
            whole,
            good,
            refused,
            broken,
            preemptions,
            stallS: stallMs / 1000,
            gaps: this.gaps,
            streamTails: this.streamTails,
            firstToken: this.firstToken,
            liveFirstToken: this.liveFirstToken,
            within90: whole === 0 ? 0 : within90 / whole,
            decisions,
            peerBytesPerS: this.peerBytes / this.cfg.hosts / (lastAt / 1000),
        };
    }

    private at(at: number, run: (now: number) => void): void {
        this.queue.push({ at, order: this.order++, run });
    }

    private tell(host: number, event: SchedulerEvent, now: number): void {
        const sim = this.hosts[host]!;
        const { state, actions } = decide(sim.state, event, now);
        this.counts.decisions += 1;
        sim.state = state;
        for (const action of actions) this.carryOut(action, now);
        if (state.waiting.length + state.asked.size > 0 && !sim.ticking) {
            sim.ticking = true;
            this.at(now + TICK_MS, later => {
                sim.ticking = false;
                this.tell(host, { kind: "tick" }, later);
            });
        }
    }

    private arrive(arrival: Arrival, host: number, now: number): void {
        const { stream, promptTokens, prefix, output } = arrival;
        const job: Job = {
            id: arrival.id,
            group: { workspace: stream.workspace, service: stream.service, model: "m" },
            promptTokens,
            maxTokens: stream.maxOutput + 1,
            prefix,
            prefixTokens: prefix === "" ? 0 : Math.floor(promptTokens / 2),
            policy: { ...this.cfg.policy, priority: stream.priority },
            knownTokens: output,
        };
        const since = { tokens: 0, sum: 0, max: 0 };
        this.streams.set(job.id, {
            arrival,
            host,
            job,
            produced: 0,
            lastAt: now,
            gaps: [],
            since,
            engine: -1,
            attempt: 0,
            ended: false,
            bound90: 0,
        });
        this.tell(host, { kind: "arrive", job, avoid: [], retry: false }, now);
    }

    private carryOut(action: SchedulerAction, now: number): void {
        const stream = this.streams.get(action.job)!;
        if (action.kind === "ask") {
            const sim = this.hosts[stream.host]!;
            this.follow(stream.host, askOwner(sim.share, action, sim.state.endpoints, this.hostNames, now), now);
            return;
        }
        if (action.kind === "noCopy") return;
        if (action.kind === "refuse") {
            this.counts.refused += 1;
            this.end(stream);
            return;
        }
        // The experiment's engines neither leave nor keep copies.
        if (action.kind === "copy") return;
        stream.engine = Number(action.endpoint.slice(1));
        stream.bound90 = this.statedBound(stream);
        stream.attempt += 1;
        const { attempt } = stream;
        this.at(now + TO_ENGINE_MS, later => this.submit(stream, attempt, action.priority, later));
    }

    /** The length that the host's estimates say nine in ten outputs stay within. */
    private statedBound({ host, job }: StreamSim): number {
        return quantileLength(survivalOf(this.hosts[host]!.state.estimates, job.group, job.maxTokens), 0, 0.9);
    }

    private submit(stream: StreamSim, attempt: number, priority: number, now: number): void {
        const engine = this.engines[stream.engine]!;
        if (engine.lost) return this.lose(stream, now);
        const { job, arrival } = stream;
        const { promptTokens, prefix, prefixTokens } = job;
        engine.model.submit({
            id: `${job.id}#${attempt}`,
            promptTokens,
            prefix,
            prefixTokens,
            output: arrival.output,
            priority,
        });
        if (!engine.stepping) this.step(engine, now);
    }

    private step(engine: EngineSim, now: number): void {
        engine.stepping = engine.model.busy && !engine.lost;
        if (!engine.stepping) return;
        const { durationMs, emitted, preempted } = engine.model.step();
        this.counts.preemptions += preempted.length;
        this.at(now + durationMs, later => {
            if (engine.lost) return;
            for (const { id, last } of emitted) {
                this.token(this.streams.get(id.slice(0, id.indexOf("#")))!, last, later);
            }
            this.step(engine, later);
        });
    }

    private token(stream: StreamSim, last: boolean, now: number): void {
        const gap = now - stream.lastAt;
        if (stream.produced === 0) {
            this.firstToken.record(now - stream.arrival.at);
            if (stream.arrival.stream.priority === "live") this.liveFirstToken.record(now - stream.arrival.at);
        }
        else {
            this.gaps.record(gap);
            this.counts.stallMs += Math.max(0, gap - GAP_TARGET_MS);
            stream.gaps.push(gap);
            stream.since.tokens += 1;
            stream.since.sum += gap;
            stream.since.max = Math.max(stream.since.max, gap);
        }
        stream.produced += 1;
        stream.lastAt = now;
        if (last) this.finish(stream, now);
        else if (isProgressDue(stream.produced)) this.progress(stream, now);
    }

    private progress(stream: StreamSim, now: number): void {
        const { tokens, sum, max } = stream.since;
        stream.since = { tokens: 0, sum: 0, max: 0 };
        const meanGapMs = tokens === 0 ? 0 : sum / tokens;
        this.tell(stream.host, {
            kind: "progress",
            job: stream.job.id,
            produced: stream.produced,
            meanGapMs,
            maxGapMs: max,
        }, now);
    }

    private finish(stream: StreamSim, now: number): void {
        this.counts.whole += 1;
        if (stream.produced <= stream.bound90) this.counts.within90 += 1;
        if (now - stream.arrival.at <= deadlineOf(stream.arrival)) this.counts.good += 1;
        if (stream.gaps.length >= STREAM_TAIL_GAPS) {
            const sorted = stream.gaps.toSorted((a, b) => a - b);
            this.streamTails.record(sorted[Math.ceil(sorted.length * 0.999) - 1]!);
        }
        this.end(stream);
        this.tell(stream.host, { kind: "ended", job: stream.job.id, outcome: "whole", produced: stream.produced }, now);
    }

    private end(stream: StreamSim): void {
        stream.ended = true;
        this.open -= 1;
    }

    /** A stream's engine is gone: it is tried elsewhere if nothing has gone out, else its answer is broken. */
    private lose(stream: StreamSim, now: number): void {
        if (stream.ended) return;
        const lost = `e${stream.engine}`;
        stream.engine = -1;
        this.tell(
            stream.host,
            { kind: "ended", job: stream.job.id, outcome: "failed", produced: stream.produced },
            now,
        );
        if (stream.produced > 0) {
            this.counts.broken += 1;
            this.end(stream);
        }
        else this.tell(stream.host, { kind: "arrive", job: stream.job, avoid: [lost], retry: true }, now);
    }

    private loseThird(now: number): void {
        const lost = this.engines.slice(0, Math.floor(this.engines.length * LOST_SHARE));
        for (const engine of lost) engine.lost = true;
        for (const stream of [...this.streams.values()]) {
            if (stream.engine >= 0 && this.engines[stream.engine]!.lost) this.lose(stream, now);
        }
    }

    private report(at: number, now: number): void {
        const engine = this.engines[at]!;
        if (engine.lost) return;
        this.at(now + REPORT_EVERY_MS, later => this.report(at, later));
        const load = engine.model.load();
        for (const host of this.hosts.keys()) {
            if (uniformFloat64(this.random) < this.cfg.reportLoss) continue;
            const report = { ...load, at: now };
            this.at(
                now + engine.lagMs,
                later => this.tell(host, { kind: "report", endpoint: `e${at}`, report }, later),
            );
        }
    }
}

/**
 * Runs an experiment. The same settings and seed give the same result.
 *
 * @example
 * ```ts
 * runExperiment({ arrivals, variant: DEFAULT_VARIANT, policy, engines: 10, hosts: 1, seed: 1, lagMs: [500, 5000], reportLoss: 0.1 }).preemptions;
 * ```
 */
export function runExperiment(cfg: ExperimentCfg): Measured {
    return new Experiment(cfg).run();
}
