/**
 * A simulated fleet under load. Hosts run the real scheduler and load exchange; modelled engines read prompts, generate tokens and run
 * out of memory. A load describes the requests and the behaviour of the engines. The same load gives the same result.
 *
 * @module
 */
import {
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    isProgressDue,
    type Job,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
    type Variant,
} from "@drumpaddle/policy";
import { makeJob } from "../../policy/test/job.js";
import { EngineModel } from "../../standins/src/engine-model.js";
import {
    type AddressedLoadMessage,
    askOwner,
    createLoadExchange,
    HOST_REPORT_INTERVAL_MS,
    type LoadExchange,
    type LoadExchangeStep,
    type LoadMessage,
    ownerReportIntervalMs,
    receiveLoadMessage,
    runLoadRound,
} from "../src/index.js";
import { seeded } from "./fleet.js";

/** A kind of request. */
export interface RequestKind {
    readonly name: string;
    /** Requests per second of all callers, over time. */
    readonly perS: (now: number) => number;
    readonly rank: number;
    readonly objectiveMs: number;
    /** Callers cancel a request without a first token after this. */
    readonly usefulMs: number;
    /** Longest acceptable pause between two pieces. */
    readonly gapMs: number;
    /** Mean tokens of prompts and outputs. Prompts are uniform in 0.5 to 1.5 times the mean, outputs in 0 to 2 times. */
    readonly prompt: number;
    readonly output: number;
    /** Relative number of requests by workspace. */
    readonly workspaces: Readonly<Record<string, number>>;
    readonly backUp?: boolean;
}

/** A load and the fleet that meets it. */
export interface Load {
    readonly hosts: number;
    /** Slowness of each engine: its time per step as a multiple of the standard engine's. */
    readonly engines: readonly number[];
    readonly memoryTokens: number;
    readonly kinds: readonly RequestKind[];
    readonly runMs: number;
    readonly seed: number;
    /** Phases in which an engine is slower: their share of the time, the factor, and their length. */
    readonly slowPhases?: { readonly share: number; readonly times: number; readonly everyMs: number };
    /** Periodically this share of the engines starts to drain; new ones replace them after a while. */
    readonly leaves?: { readonly share: number; readonly everyMs: number; readonly replacedMs: number };
    /** Whether callers retry a refused request once, after the delay that they are told. */
    readonly retriesRefused?: boolean;
    /** Whether a message between two hosts is lost. */
    readonly isLost?: (from: string, to: string, now: number) => boolean;
    /** Replaces a message in transit; undefined drops it. */
    readonly transform?: (from: string, message: LoadMessage) => LoadMessage | undefined;
    /** Time for which hosts exchange messages before the load starts. */
    readonly warmupMs?: number;
    readonly variant?: Partial<Variant>;
}

/** Outcome of a request. Times are in milliseconds since its first arrival. */
export interface RequestRecord {
    readonly kind: string;
    readonly workspace: string;
    readonly rank: number;
    readonly host: string;
    readonly arrivedAt: number;
    /** `open` if it had not ended at the end of the replay. */
    outcome: "open" | "whole" | "refused" | "left";
    engine: number | undefined;
    /** How often it was refused, and when that last happened. */
    refusals: number;
    refusedMs: number | undefined;
    firstMs: number | undefined;
    longestGapMs: number;
    tokens: number;
}

/** Result of a replay. */
export interface ReplayResult {
    readonly records: readonly RequestRecord[];
    readonly preemptions: number;
    /** The hosts' states at the end, by name. */
    readonly hosts: ReadonlyMap<string, SchedulerState>;
}

/** Steps take at least 7 ms; prompts are read at 14 tokens per millisecond. */
const ENGINE = {
    maxBatch: 24,
    chunkTokens: 112,
    baseMs: 7,
    perStreamMs: 0.12,
    perPrefillTokenMs: 1 / 14,
    perHeldTokenMs: 0.000_004,
    prefixCacheTokens: 0,
} as const;
const TOKENS_PER_PIECE = 4;
const MESSAGE_DELAY_MS = 3;
const TICK_MS = 50;
const HALL = "h";
/** Long enough for all hosts to report to owners before the load starts. */
const WARMUP_MS = 12_000;
const MAX_RETRY_DELAY_MS = 13_000;

interface HostSim {
    readonly name: string;
    state: SchedulerState;
    share: LoadExchange;
}

interface EngineSim {
    readonly id: string;
    readonly at: number;
    readonly model: EngineModel;
    stepping: boolean;
    leaving: boolean;
}

interface Stream {
    readonly record: RequestRecord;
    readonly host: HostSim;
    readonly job: Job;
    readonly output: number;
    /** Number of the attempt. Each attempt is a job with its own id. */
    readonly attempt: number;
    tokensMade: number;
    lastPieceAt: number;
    since: { pieces: number; sum: number; max: number };
    over: boolean;
}

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

/**
 * Replays a load.
 *
 * @example
 * ```ts
 * const { records } = replay({ ...BURST, seed: 7 });
 * records.filter(({ outcome }) => outcome === "refused").length;
 * ```
 */
export function replay(load: Load): ReplayResult {
    return new Replay(load).run();
}

class Replay {
    private readonly random: () => number;
    private readonly queue: Timer[] = [];
    private order = 0;
    private now: number;
    private readonly warmupMs: number;
    private readonly hosts: readonly HostSim[];
    private readonly byName: ReadonlyMap<string, HostSim>;
    private readonly engines = new Map<string, EngineSim>();
    private readonly streams = new Map<string, Stream>();
    private readonly records: RequestRecord[] = [];
    private preemptions = 0;
    private started = 0;

    constructor(private readonly load: Load) {
        this.random = seeded(load.seed);
        this.warmupMs = load.warmupMs ?? WARMUP_MS;
        this.now = -this.warmupMs;
        const variant = {
            ...DEFAULT_VARIANT,
            prefix: false,
            forecast: true,
            backups: true,
            askAlways: true,
            ...load.variant,
        };
        this.hosts = Array.from({ length: load.hosts }, (_, at): HostSim => {
            const name = `host-${String(at).padStart(3, "0")}`;
            return { name, state: createScheduler(variant, at + 1, { hall: HALL }), share: createLoadExchange(name) };
        });
        this.byName = new Map(this.hosts.map(host => [host.name, host]));
        for (const at of load.engines.keys()) this.startEngine(at);
    }

    run(): ReplayResult {
        this.declareEndpoints();
        for (const [at, host] of this.hosts.entries()) {
            const firstMs = HOST_REPORT_INTERVAL_MS * at / this.hosts.length;
            this.schedule(firstMs, () => this.round(host));
        }
        for (const kind of this.load.kinds) this.schedule(this.warmupMs + this.drawWait(kind), () => this.arrive(kind));
        const { leaves } = this.load;
        if (leaves) this.schedule(this.warmupMs + leaves.everyMs, () => this.retireEngines(leaves));
        const endsAt = this.load.runMs + MAX_RETRY_DELAY_MS;
        for (let next = this.nextTimer(); next && next.at < endsAt; next = this.nextTimer()) {
            this.now = next.at;
            next.run();
        }
        const hosts = new Map(this.hosts.map(({ name, state }) => [name, state]));
        return { records: this.records, preemptions: this.preemptions, hosts };
    }

    /** Adds a timer to the queue, a binary heap by time, then by order. */
    private schedule(ms: number, run: () => void): void {
        const { queue } = this;
        queue.push({ at: this.now + ms, order: this.order++, run });
        for (let at = queue.length - 1; at > 0;) {
            const above = (at - 1) >> 1;
            if (!isBefore(queue[at]!, queue[above]!)) break;
            [queue[at], queue[above]] = [queue[above]!, queue[at]!];
            at = above;
        }
    }

    private nextTimer(): Timer | undefined {
        const { queue } = this;
        const first = queue[0];
        const last = queue.pop();
        if (!first || !last || queue.length === 0) return first;
        queue[0] = last;
        for (let at = 0;;) {
            const [left, right] = [2 * at + 1, 2 * at + 2];
            let least = at;
            if (left < queue.length && isBefore(queue[left]!, queue[least]!)) least = left;
            if (right < queue.length && isBefore(queue[right]!, queue[least]!)) least = right;
            if (least === at) return first;
            [queue[at], queue[least]] = [queue[least]!, queue[at]!];
            at = least;
        }
    }

    private startEngine(at: number): void {
        const id = `e${at}.${this.started++}`;
        const model = new EngineModel({ ...ENGINE, memoryTokens: this.load.memoryTokens });
        this.engines.set(id, { id, at, model, stepping: false, leaving: false });
    }

    private declareEndpoints(): void {
        const staying = [...this.engines.values()].filter(({ leaving }) => !leaving);
        const endpoints = staying.map(({ id }): EndpointCfg => ({
            id,
            hall: HALL,
            models: ["m"],
            memoryTokens: this.load.memoryTokens,
        }));
        for (const host of this.hosts) this.handleEvent(host, { kind: "endpoints", endpoints });
    }

    /** Drains some engines: they accept no new requests. Others replace them later. */
    private retireEngines(leaves: NonNullable<Load["leaves"]>): void {
        this.schedule(leaves.everyMs, () => this.retireEngines(leaves));
        const count = Math.round(leaves.share * this.load.engines.length);
        const known = [...this.engines.values()].filter(({ leaving }) => !leaving);
        for (let drawn = 0; drawn < count; drawn++) {
            const [engine] = known.splice(Math.floor(this.random() * known.length), 1);
            if (!engine) break;
            engine.leaving = true;
            this.schedule(leaves.replacedMs, () => {
                this.startEngine(engine.at);
                this.declareEndpoints();
            });
        }
        this.declareEndpoints();
    }

    private round(host: HostSim): void {
        this.schedule(HOST_REPORT_INTERVAL_MS, () => this.round(host));
        const names = this.hosts.map(({ name }) => name);
        const every = ownerReportIntervalMs(names.length);
        const othersEveryMs = every <= HOST_REPORT_INTERVAL_MS ? 0 : every;
        this.applyStep(host, runLoadRound(host.share, host.state.endpoints, names, this.now, othersEveryMs));
    }

    private applyStep(host: HostSim, { state, send, events }: LoadExchangeStep): void {
        host.share = state;
        for (const addressed of send) this.deliver(host, addressed);
        for (const event of events) this.handleEvent(host, event);
    }

    private deliver(from: HostSim, { to, message }: AddressedLoadMessage): void {
        const peer = this.byName.get(to);
        if (!peer || this.load.isLost?.(from.name, to, this.now)) return;
        const { transform } = this.load;
        const received = transform ? transform(from.name, message) : message;
        if (!received) return;
        this.schedule(
            MESSAGE_DELAY_MS,
            () => this.applyStep(peer, receiveLoadMessage(peer.share, from.name, received, peer.state, this.now)),
        );
    }

    private handleEvent(host: HostSim, event: SchedulerEvent): void {
        const waited = hasWaiting(host.state);
        const { state, actions } = decide(host.state, event, this.now);
        host.state = state;
        for (const action of actions) this.perform(host, action);
        if (!waited && hasWaiting(host.state)) this.schedule(TICK_MS, () => this.tick(host));
    }

    private tick(host: HostSim): void {
        this.handleEvent(host, { kind: "tick" });
        if (hasWaiting(host.state)) this.schedule(TICK_MS, () => this.tick(host));
    }

    private perform(host: HostSim, action: SchedulerAction): void {
        if (action.kind === "ask") {
            const names = this.hosts.map(({ name }) => name);
            return this.applyStep(host, askOwner(host.share, action, host.state.endpoints, names, this.now));
        }
        const stream = this.streams.get(action.job);
        if (!stream) return;
        if (action.kind === "refuse") return this.onRefused(stream, action.retryAfterMs);
        if (action.kind === "dispatch") this.startStream(stream, action.endpoint);
    }

    private drawWait({ perS }: RequestKind): number {
        return -Math.log(1 - this.random()) * 1_000 / Math.max(perS(Math.max(0, this.now)), 1e-3);
    }

    private arrive(kind: RequestKind): void {
        if (this.now >= this.load.runMs) return;
        this.schedule(this.drawWait(kind), () => this.arrive(kind));
        const host = this.hosts[Math.floor(this.random() * this.hosts.length)]!;
        const record: RequestRecord = {
            kind: kind.name,
            workspace: this.drawWorkspace(kind),
            rank: kind.rank,
            host: host.name,
            arrivedAt: this.now,
            outcome: "open",
            engine: undefined,
            refusals: 0,
            refusedMs: undefined,
            firstMs: undefined,
            longestGapMs: 0,
            tokens: 0,
        };
        const prompt = Math.round(kind.prompt * (0.5 + this.random()));
        const output = Math.max(1, Math.round(kind.output * 2 * this.random()));
        this.records.push(record);
        this.submit(kind, record, { host, prompt, output, attempt: 1 });
    }

    private drawWorkspace({ workspaces }: RequestKind): string {
        let left = this.random() * Object.values(workspaces).reduce((sum, part) => sum + part, 0);
        for (const [name, part] of Object.entries(workspaces)) {
            left -= part;
            if (left < 0) return name;
        }
        return "";
    }

    private submit(
        kind: RequestKind,
        record: RequestRecord,
        { host, prompt, output, attempt }: {
            readonly host: HostSim;
            readonly prompt: number;
            readonly output: number;
            readonly attempt: number;
        },
    ): void {
        const { rank, objectiveMs, usefulMs, gapMs, backUp } = kind;
        const id = `${this.records.indexOf(record)}/${attempt}`;
        const job = makeJob(id, {
            group: { workspace: record.workspace, service: kind.name, model: "m" },
            promptTokens: prompt,
            maxTokens: 2 * kind.output + 1,
            tokensPerPiece: TOKENS_PER_PIECE,
            backUp,
        }, {
            priority: rank === 0 ? "live" : rank === 1 ? "normal" : "batch",
            rank,
            gapTargetMs: gapMs,
            objectiveMs,
            maxWaitMs: objectiveMs,
            usefulMs,
            queueLimit: 500,
        });
        const since = { pieces: 0, sum: 0, max: 0 };
        const begun = { tokensMade: 0, lastPieceAt: 0, since, over: false };
        const stream: Stream = { record, host, job, output, attempt, ...begun };
        this.streams.set(id, stream);
        this.schedule(usefulMs, () => this.abandon(id, stream));
        this.handleEvent(host, { kind: "arrive", job, avoid: [], retry: false });
    }

    private abandon(id: string, stream: Stream): void {
        if (stream.over || stream.record.firstMs !== undefined) return;
        for (const { model } of this.engines.values()) model.cancel(id);
        this.handleEvent(stream.host, { kind: "withdraw", job: id });
        this.endStream(id, stream, "left", "cancelled");
    }

    private onRefused(stream: Stream, retryAfterMs: number): void {
        const { record, job, host, output, attempt } = stream;
        record.refusals += 1;
        record.refusedMs = this.now - record.arrivedAt;
        record.outcome = "refused";
        stream.over = true;
        this.streams.delete(job.id);
        const kind = this.load.kinds.find(({ name }) => name === record.kind)!;
        if (this.load.retriesRefused !== true || attempt > 1) return;
        this.schedule(Math.min(retryAfterMs, MAX_RETRY_DELAY_MS), () => {
            record.outcome = "open";
            this.submit(kind, record, { host, prompt: job.promptTokens, output, attempt: attempt + 1 });
        });
    }

    private startStream(stream: Stream, endpoint: string): void {
        const engine = this.engines.get(endpoint);
        const { job, output, record } = stream;
        if (!engine) throw new Error(`${endpoint} was never started`);
        record.engine = engine.at;
        // For the scheduler a lower rank goes first, for the engine model a higher priority.
        const priority = 10 - record.rank;
        engine.model.submit({
            id: job.id,
            promptTokens: job.promptTokens,
            prefix: "",
            prefixTokens: 0,
            output,
            priority,
        });
        if (!engine.stepping) this.step(engine);
    }

    private step(engine: EngineSim): void {
        engine.stepping = engine.model.hasWork;
        if (!engine.stepping) return;
        const { durationMs, emitted, preempted } = engine.model.step();
        this.preemptions += preempted.length;
        this.schedule(durationMs * this.slowness(engine), () => {
            for (const { id, last } of emitted) this.onToken(id, last);
            this.step(engine);
        });
    }

    private slowness({ at }: EngineSim): number {
        const { slowPhases, engines, seed } = this.load;
        const own = engines[at]!;
        if (!slowPhases) return own;
        const phase = Math.floor(this.now / slowPhases.everyMs);
        const drawn = seeded(seed * 7_919 + phase * 131 + at)();
        return drawn < slowPhases.share ? own * slowPhases.times : own;
    }

    private onToken(id: string, last: boolean): void {
        const stream = this.streams.get(id);
        if (!stream) return;
        stream.tokensMade += 1;
        stream.record.tokens = stream.tokensMade;
        const isPiece = stream.tokensMade === 1 || stream.tokensMade % TOKENS_PER_PIECE === 0 || last;
        if (isPiece) this.onPiece(stream);
        if (last) this.endStream(id, stream, "whole", "whole");
    }

    private onPiece(stream: Stream): void {
        const { record, since, job } = stream;
        if (record.firstMs === undefined) record.firstMs = this.now - record.arrivedAt;
        else {
            const gap = this.now - stream.lastPieceAt;
            record.longestGapMs = Math.max(record.longestGapMs, gap);
            since.pieces += 1;
            since.sum += gap;
            since.max = Math.max(since.max, gap);
        }
        stream.lastPieceAt = this.now;
        const pieces = Math.ceil(stream.tokensMade / TOKENS_PER_PIECE);
        if (!isProgressDue(pieces)) return;
        stream.since = { pieces: 0, sum: 0, max: 0 };
        const meanGapMs = since.pieces === 0 ? 0 : since.sum / since.pieces;
        const produced = pieces * TOKENS_PER_PIECE;
        this.handleEvent(stream.host, { kind: "progress", job: job.id, produced, meanGapMs, maxGapMs: since.max });
    }

    private endStream(
        id: string,
        stream: Stream,
        outcome: RequestRecord["outcome"],
        told: "whole" | "cancelled",
    ): void {
        stream.over = true;
        stream.record.outcome = outcome;
        this.streams.delete(id);
        this.handleEvent(stream.host, { kind: "ended", job: id, outcome: told, produced: stream.tokensMade });
    }
}

function isBefore(a: Timer, b: Timer): boolean {
    return a.at < b.at || a.at === b.at && a.order < b.order;
}

function hasWaiting({ waiting, asked, askedForStandby }: SchedulerState): boolean {
    return waiting.length + asked.size + askedForStandby.size > 0;
}

/** Returns whether a request met its objectives: first token and all pauses in time. */
export function isInTime(record: RequestRecord, { objectiveMs, gapMs }: RequestKind): boolean {
    return record.outcome === "whole" && (record.firstMs ?? Infinity) <= objectiveMs && record.longestGapMs <= gapMs;
}

/** Returns the fraction of records for which a condition holds. */
export function fractionOf(records: readonly RequestRecord[], holds: (record: RequestRecord) => boolean): number {
    return records.length === 0 ? 0 : records.filter(holds).length / records.length;
}
