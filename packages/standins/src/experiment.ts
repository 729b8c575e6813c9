/**
 * Simulates the scheduling policy on a virtual clock. The hosts of one hall, each with its own scheduler, share model
 * engines. Messages between hosts are passed directly, with a delay and random loss; there are no sockets and no
 * daemons.
 *
 * @module
 */
import {
    askOwner,
    createLoadExchange,
    HOST_REPORT_INTERVAL_MS,
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

/** Configuration of an experiment. Times are in milliseconds of the virtual clock. */
export interface ExperimentCfg {
    readonly arrivals: readonly Arrival[];
    readonly variant: Variant;
    readonly policy: Omit<JobPolicy, "priority">;
    readonly engines: number;
    readonly engine?: EngineCfg;
    readonly hosts: number;
    readonly seed: number;
    /** Range from which the lag of each engine's load reports is drawn. */
    readonly loadReportLagMs: readonly [number, number];
    /** Share of load reports that are lost. */
    readonly loadReportLoss: number;
    /** Time at which a third of the engines fails with all its generations; undefined for never. */
    readonly engineLossAt?: number | undefined;
    /** Interval at which hosts report their load to owners, and owners report to hosts. */
    readonly reportIntervalMs?: number;
    /** Share of messages between hosts that are lost. */
    readonly messageLoss?: number;
}

/** Measurements of one run. */
export interface ExperimentResult {
    readonly arrivals: number;
    readonly whole: number;
    /** Whole answers that ended by their deadline ({@link deadlineOf}). */
    readonly good: number;
    readonly refused: number;
    /** Answers whose engine failed after their first token. */
    readonly broken: number;
    readonly preemptions: number;
    /** Sum over all gaps between tokens of the time by which each exceeds {@link GAP_TARGET_MS}, in seconds. */
    readonly stallS: number;
    readonly gaps: TimeHistogram;
    /** The 99.9 % quantiles of the gaps of single streams with at least {@link MIN_GAPS_FOR_TAIL} gaps. */
    readonly streamTails: TimeHistogram;
    readonly firstToken: TimeHistogram;
    /** Like `firstToken`, for requests of priority `live` only. */
    readonly liveFirstToken: TimeHistogram;
    /**
     * Share of whole answers no longer than the 90 % quantile estimated at dispatch: the calibration of the estimates.
     */
    readonly within90: number;
    readonly decisions: number;
    /** Bytes that each host sent to other hosts, per second. */
    readonly peerBytesPerS: number;
}

/** The required bound on the time between tokens; the time above it counts as stall time. */
export const GAP_TARGET_MS = 44;
const LOAD_REPORT_INTERVAL_MS = 500;
const TICK_INTERVAL_MS = 50;
const ENGINE_DELAY_MS = 1;
const PEER_DELAY_MS = 1;
/** Streams with fewer gaps are left out of `streamTails`: too few values for a tail quantile. */
export const MIN_GAPS_FOR_TAIL = 50;
const FIRST_TOKEN_ALLOWED_MS = 15_000;
const PER_TOKEN_ALLOWED_MS = 60;
/** Time after the last arrival until which running requests may end. */
const DRAIN_MS = 600_000;
const LOST_ENGINE_SHARE = 1 / 3;

/** Time after its arrival by which a request's answer must be whole to count as good. */
export function deadlineOf(arrival: Arrival): number {
    return FIRST_TOKEN_ALLOWED_MS + arrival.output * PER_TOKEN_ALLOWED_MS;
}

interface TimedEvent {
    readonly at: number;
    readonly sequence: number;
    readonly run: (now: number) => void;
}

interface HostSim {
    state: SchedulerState;
    isTickScheduled: boolean;
    exchange: LoadExchange;
}

interface EngineSim {
    readonly model: EngineModel;
    readonly loadReportLagMs: number;
    isRunning: boolean;
    isLost: boolean;
}

interface StreamSim {
    readonly arrival: Arrival;
    readonly host: number;
    readonly job: Job;
    produced: number;
    lastTokenAt: number;
    readonly gaps: number[];
    sinceProgress: { tokens: number; sum: number; max: number };
    engine: number;
    /** Number of the current attempt. It is part of the engine job's id, so that jobs of different attempts differ. */
    attempt: number;
    hasEnded: boolean;
    length90: number;
}

/** A running experiment: the virtual clock's queue of events, the simulated hosts and engines, and the counts. */
class Experiment {
    private readonly queue = new TinyQueue<TimedEvent>([], (a, b) => a.at - b.at || a.sequence - b.sequence);
    private nextSequence = 0;
    private readonly hosts: HostSim[];
    private readonly engines: EngineSim[];
    private readonly streams = new Map<string, StreamSim>();
    private readonly random: RandomGenerator;
    private readonly gaps = new TimeHistogram();
    private readonly streamTails = new TimeHistogram();
    private readonly firstToken = new TimeHistogram();
    private readonly liveFirstToken = new TimeHistogram();
    private openStreams = 0;
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
        const [minLagMs, maxLagMs] = cfg.loadReportLagMs;
        this.engines = Array.from({ length: cfg.engines }, () => ({
            model: new EngineModel(cfg.engine ?? ENGINE),
            loadReportLagMs: minLagMs + (maxLagMs - minLagMs) * uniformFloat64(this.random),
            isRunning: false,
            isLost: false,
        }));
        this.hostNames = Array.from({ length: cfg.hosts }, (_, index) => `host-${index}`);
        this.hosts = Array.from(
            { length: cfg.hosts },
            (_, index) => ({
                state: createScheduler(cfg.variant, index + 1),
                isTickScheduled: false,
                exchange: createLoadExchange(`host-${index}`),
            }),
        );
    }

    private applyExchangeStep(host: number, { state, send, events }: LoadExchangeStep, now: number): void {
        this.hosts[host]!.exchange = state;
        for (const { to, message } of send) this.sendMessage(host, this.hostNames.indexOf(to), message, now);
        for (const event of events) this.handleEvent(host, event, now);
    }

    /** Delivers a message to another host after the delay, or drops it. */
    private sendMessage(from: number, to: number, message: LoadMessage, now: number): void {
        this.peerBytes += encodeFrame(message).length;
        if (uniformFloat64(this.random) < (this.cfg.messageLoss ?? 0)) return;
        this.schedule(now + PEER_DELAY_MS, later => {
            const sim = this.hosts[to]!;
            this.applyExchangeStep(
                to,
                receiveLoadMessage(sim.exchange, this.hostNames[from]!, message, sim.state, later),
                later,
            );
        });
    }

    private runExchangeRound(host: number, now: number): void {
        this.schedule(
            now + Math.min(this.reportIntervalMs, HOST_REPORT_INTERVAL_MS),
            later => this.runExchangeRound(host, later),
        );
        const sim = this.hosts[host]!;
        const othersEveryMs = this.reportIntervalMs <= HOST_REPORT_INTERVAL_MS ? 0 : this.reportIntervalMs;
        this.applyExchangeStep(
            host,
            runLoadRound(sim.exchange, sim.state.endpoints, this.hostNames, now, othersEveryMs),
            now,
        );
    }

    private get reportIntervalMs(): number {
        return this.cfg.reportIntervalMs ?? ownerReportIntervalMs(this.cfg.hosts);
    }

    run(): ExperimentResult {
        const endpoints = this.engines.map(({ model }, index) => ({
            id: `e${index}`,
            hall: "h",
            models: ["m"],
            memoryTokens: model.cfg.memoryTokens,
        }));
        for (const index of this.hosts.keys()) {
            this.handleEvent(index, { kind: "endpoints", endpoints }, -60_000);
            if (this.cfg.variant.share !== "owner" || this.cfg.hosts === 1) continue;
            this.runExchangeRound(index, -this.reportIntervalMs * uniformFloat64(this.random));
        }
        for (const [index, arrival] of this.cfg.arrivals.entries()) {
            this.schedule(arrival.at, now => this.handleArrival(arrival, index % this.cfg.hosts, now));
        }
        for (const index of this.engines.keys()) {
            this.schedule(LOAD_REPORT_INTERVAL_MS * uniformFloat64(this.random), now => this.reportLoad(index, now));
        }
        if (this.cfg.engineLossAt !== undefined) this.schedule(this.cfg.engineLossAt, now => this.loseEngines(now));
        const end = (this.cfg.arrivals.at(-1)?.at ?? 0) + DRAIN_MS;
        this.openStreams = this.cfg.arrivals.length;
        let lastAt = 1;
        for (let next = this.queue.pop(); next && next.at < end && this.openStreams > 0; next = this.queue.pop()) {
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

    private schedule(at: number, run: (now: number) => void): void {
        this.queue.push({ at, sequence: this.nextSequence++, run });
    }

    private handleEvent(host: number, event: SchedulerEvent, now: number): void {
        const sim = this.hosts[host]!;
        const { state, actions } = decide(sim.state, event, now);
        this.counts.decisions += 1;
        sim.state = state;
        for (const action of actions) this.execute(action, now);
        if (state.waiting.length + state.asked.size > 0 && !sim.isTickScheduled) {
            sim.isTickScheduled = true;
            this.schedule(now + TICK_INTERVAL_MS, later => {
                sim.isTickScheduled = false;
                this.handleEvent(host, { kind: "tick" }, later);
            });
        }
    }

    private handleArrival(arrival: Arrival, host: number, now: number): void {
        const { requestClass, promptTokens, prefix, output } = arrival;
        const job: Job = {
            id: arrival.id,
            group: { workspace: requestClass.workspace, service: requestClass.service, model: "m" },
            promptTokens,
            maxTokens: requestClass.maxOutput + 1,
            prefix,
            prefixTokens: prefix === "" ? 0 : Math.floor(promptTokens / 2),
            policy: { ...this.cfg.policy, priority: requestClass.priority },
            knownTokens: output,
        };
        const since = { tokens: 0, sum: 0, max: 0 };
        this.streams.set(job.id, {
            arrival,
            host,
            job,
            produced: 0,
            lastTokenAt: now,
            gaps: [],
            sinceProgress: since,
            engine: -1,
            attempt: 0,
            hasEnded: false,
            length90: 0,
        });
        this.handleEvent(host, { kind: "arrive", job, avoid: [], retry: false }, now);
    }

    private execute(action: SchedulerAction, now: number): void {
        const stream = this.streams.get(action.job)!;
        if (action.kind === "ask") {
            const sim = this.hosts[stream.host]!;
            this.applyExchangeStep(
                stream.host,
                askOwner(sim.exchange, action, sim.state.endpoints, this.hostNames, now),
                now,
            );
            return;
        }
        if (action.kind === "noCopy") return;
        if (action.kind === "refuse") {
            this.counts.refused += 1;
            this.closeStream(stream);
            return;
        }
        // The simulated engines never leave and hold no copies.
        if (action.kind === "copy") return;
        stream.engine = Number(action.endpoint.slice(1));
        stream.length90 = this.estimateLength90(stream);
        stream.attempt += 1;
        const { attempt } = stream;
        this.schedule(now + ENGINE_DELAY_MS, later => this.submit(stream, attempt, action.priority, later));
    }

    /** The 90 % quantile of the output's length, by the estimates of the stream's host. */
    private estimateLength90({ host, job }: StreamSim): number {
        return quantileLength(survivalOf(this.hosts[host]!.state.estimates, job.group, job.maxTokens), 0, 0.9);
    }

    private submit(stream: StreamSim, attempt: number, priority: number, now: number): void {
        const engine = this.engines[stream.engine]!;
        if (engine.isLost) return this.handleEngineLoss(stream, now);
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
        if (!engine.isRunning) this.runIteration(engine, now);
    }

    private runIteration(engine: EngineSim, now: number): void {
        engine.isRunning = engine.model.hasWork && !engine.isLost;
        if (!engine.isRunning) return;
        const { durationMs, emitted, preempted } = engine.model.step();
        this.counts.preemptions += preempted.length;
        this.schedule(now + durationMs, later => {
            if (engine.isLost) return;
            for (const { id, last } of emitted) {
                this.handleToken(this.streams.get(id.slice(0, id.indexOf("#")))!, last, later);
            }
            this.runIteration(engine, later);
        });
    }

    private handleToken(stream: StreamSim, last: boolean, now: number): void {
        const gap = now - stream.lastTokenAt;
        if (stream.produced === 0) {
            this.firstToken.record(now - stream.arrival.at);
            if (stream.arrival.requestClass.priority === "live") this.liveFirstToken.record(now - stream.arrival.at);
        }
        else {
            this.gaps.record(gap);
            this.counts.stallMs += Math.max(0, gap - GAP_TARGET_MS);
            stream.gaps.push(gap);
            stream.sinceProgress.tokens += 1;
            stream.sinceProgress.sum += gap;
            stream.sinceProgress.max = Math.max(stream.sinceProgress.max, gap);
        }
        stream.produced += 1;
        stream.lastTokenAt = now;
        if (last) this.completeStream(stream, now);
        else if (isProgressDue(stream.produced)) this.reportProgress(stream, now);
    }

    private reportProgress(stream: StreamSim, now: number): void {
        const { tokens, sum, max } = stream.sinceProgress;
        stream.sinceProgress = { tokens: 0, sum: 0, max: 0 };
        const meanGapMs = tokens === 0 ? 0 : sum / tokens;
        this.handleEvent(stream.host, {
            kind: "progress",
            job: stream.job.id,
            produced: stream.produced,
            meanGapMs,
            maxGapMs: max,
        }, now);
    }

    private completeStream(stream: StreamSim, now: number): void {
        this.counts.whole += 1;
        if (stream.produced <= stream.length90) this.counts.within90 += 1;
        if (now - stream.arrival.at <= deadlineOf(stream.arrival)) this.counts.good += 1;
        if (stream.gaps.length >= MIN_GAPS_FOR_TAIL) {
            const sorted = stream.gaps.toSorted((a, b) => a - b);
            this.streamTails.record(sorted[Math.ceil(sorted.length * 0.999) - 1]!);
        }
        this.closeStream(stream);
        this.handleEvent(stream.host, {
            kind: "ended",
            job: stream.job.id,
            outcome: "whole",
            produced: stream.produced,
        }, now);
    }

    private closeStream(stream: StreamSim): void {
        stream.hasEnded = true;
        this.openStreams -= 1;
    }

    /**
     * Handles the loss of a stream's engine: retries the request if no token was produced, else counts it as broken.
     */
    private handleEngineLoss(stream: StreamSim, now: number): void {
        if (stream.hasEnded) return;
        const lost = `e${stream.engine}`;
        stream.engine = -1;
        this.handleEvent(
            stream.host,
            { kind: "ended", job: stream.job.id, outcome: "failed", produced: stream.produced },
            now,
        );
        if (stream.produced > 0) {
            this.counts.broken += 1;
            this.closeStream(stream);
        }
        else this.handleEvent(stream.host, { kind: "arrive", job: stream.job, avoid: [lost], retry: true }, now);
    }

    private loseEngines(now: number): void {
        const lost = this.engines.slice(0, Math.floor(this.engines.length * LOST_ENGINE_SHARE));
        for (const engine of lost) engine.isLost = true;
        for (const stream of [...this.streams.values()]) {
            if (stream.engine >= 0 && this.engines[stream.engine]!.isLost) this.handleEngineLoss(stream, now);
        }
    }

    private reportLoad(index: number, now: number): void {
        const engine = this.engines[index]!;
        if (engine.isLost) return;
        this.schedule(now + LOAD_REPORT_INTERVAL_MS, later => this.reportLoad(index, later));
        const load = engine.model.load();
        for (const host of this.hosts.keys()) {
            if (uniformFloat64(this.random) < this.cfg.loadReportLoss) continue;
            const report = { ...load, at: now };
            this.schedule(
                now + engine.loadReportLagMs,
                later => this.handleEvent(host, { kind: "report", endpoint: `e${index}`, report }, later),
            );
        }
    }
}

/**
 * Runs an experiment. The same configuration, seed included, gives the same result.
 *
 * @example
 * ```ts
 * const cfg = { arrivals, variant: DEFAULT_VARIANT, policy, engines: 10, hosts: 1, seed: 1 };
 * runExperiment({ ...cfg, loadReportLagMs: [500, 5000], loadReportLoss: 0.1 }).preemptions;
 * ```
 */
export function runExperiment(cfg: ExperimentCfg): ExperimentResult {
    return new Experiment(cfg).run();
}
