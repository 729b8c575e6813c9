/**
 * A fleet under load: hosts decide, ask owners and tell each other by the modules that they run, before engines that read
 * prompts, make tokens and run out of memory. A load is data: who comes when and wants what, and how the engines fare. The same load
 * gives the same result.
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
    createShare,
    shareAsk,
    shareHear,
    type ShareMessage,
    shareRound,
    type ShareState,
    type ShareStep,
    TELL_OWNERS_MS,
    tellEvery,
} from "../src/index.js";
import { seeded } from "./fleet.js";

/** One kind of request. */
export interface Kind {
    readonly name: string;
    /** Requests a second of all callers, over time. */
    readonly perS: (now: number) => number;
    readonly rank: number;
    readonly objectiveMs: number;
    /** Callers leave without a first token after this. */
    readonly usefulMs: number;
    /** Longest pause between two pieces that is in time. */
    readonly gapMs: number;
    /** Mean tokens of prompts and outputs; drawn between half and one and a half of these, outputs from nearly nothing to twice. */
    readonly prompt: number;
    readonly output: number;
    /** Part of the requests that each workspace sends. */
    readonly workspaces: Readonly<Record<string, number>>;
    readonly backUp?: boolean;
}

/** A load and the fleet that meets it. */
export interface Load {
    readonly hosts: number;
    /** Time that each engine takes for its work, as a multiple of the plain engine's. */
    readonly engines: readonly number[];
    readonly memoryTokens: number;
    readonly kinds: readonly Kind[];
    readonly runMs: number;
    readonly seed: number;
    /** Spells in which an engine takes longer: the part of the time, how many times as long, and how long they last. */
    readonly spells?: { readonly share: number; readonly times: number; readonly everyMs: number };
    /** This part of the engines leaves every so often; new ones take their place after a while. */
    readonly leaves?: { readonly share: number; readonly everyMs: number; readonly replacedMs: number };
    /** Callers who are refused come back once, when they are told. */
    readonly comeBack?: boolean;
    /** Whether a message between two hosts is lost at a time. */
    readonly isLost?: (from: string, to: string, now: number) => boolean;
    /** What comes of a message that is sent; nothing where it is lost. */
    readonly arrives?: (from: string, message: ShareMessage) => ShareMessage | undefined;
    /** Hosts know each other for so long before the load comes. */
    readonly calmMs?: number;
    readonly variant?: Partial<Variant>;
}

/** What became of a request. Times are milliseconds from its first arrival. */
export interface Fate {
    readonly kind: string;
    readonly workspace: string;
    readonly rank: number;
    readonly host: string;
    readonly cameAt: number;
    /** `open`: it had not ended when the load was over. */
    outcome: "open" | "whole" | "refused" | "left";
    engine: number | undefined;
    /** Times that it was refused, and when that was last. */
    refusals: number;
    refusedMs: number | undefined;
    firstMs: number | undefined;
    longestGapMs: number;
    tokens: number;
}

/** What a load came to. */
export interface Replayed {
    readonly fates: readonly Fate[];
    readonly preemptions: number;
    /** The hosts' states at the end, by name. */
    readonly hosts: ReadonlyMap<string, SchedulerState>;
}

/** Steps of seven milliseconds and more, fourteen prompt tokens a millisecond, pieces of four tokens. */
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
const MESSAGE_MS = 3;
const TICK_MS = 50;
const HALL = "h";
/** Hosts know each other, and their owners have been told, before the load comes. */
const CALM_MS = 12_000;
const MOST_AWAY_MS = 13_000;

interface HostSim {
    readonly name: string;
    state: SchedulerState;
    share: ShareState;
}

interface EngineSim {
    readonly id: string;
    readonly at: number;
    readonly model: EngineModel;
    stepping: boolean;
    leaving: boolean;
}

interface Stream {
    readonly fate: Fate;
    readonly host: HostSim;
    readonly job: Job;
    readonly output: number;
    /** Number of the try; each has a request of its own name. */
    readonly tries: number;
    made: number;
    lastPieceAt: number;
    since: { pieces: number; sum: number; max: number };
    over: boolean;
}

interface Timed {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

/**
 * Replays a load.
 *
 * @example
 * ```ts
 * const { fates } = replay({ ...BURST, seed: 7 });
 * fates.filter(({ outcome }) => outcome === "refused").length;
 * ```
 */
export function replay(load: Load): Replayed {
    return new Replay(load).run();
}

class Replay {
    private readonly random: () => number;
    private readonly queue: Timed[] = [];
    private order = 0;
    private now: number;
    private readonly calmMs: number;
    private readonly hosts: readonly HostSim[];
    private readonly byName: ReadonlyMap<string, HostSim>;
    private readonly engines = new Map<string, EngineSim>();
    private readonly streams = new Map<string, Stream>();
    private readonly fates: Fate[] = [];
    private preemptions = 0;
    private started = 0;

    constructor(private readonly load: Load) {
        this.random = seeded(load.seed);
        this.calmMs = load.calmMs ?? CALM_MS;
        this.now = -this.calmMs;
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
            return { name, state: createScheduler(variant, at + 1, { hall: HALL }), share: createShare(name) };
        });
        this.byName = new Map(this.hosts.map(host => [host.name, host]));
        for (const at of load.engines.keys()) this.startEngine(at);
    }

    run(): Replayed {
        this.declare();
        for (const [at, host] of this.hosts.entries()) {
            const firstMs = TELL_OWNERS_MS * at / this.hosts.length;
            this.later(firstMs, () => this.round(host));
        }
        for (const kind of this.load.kinds) this.later(this.calmMs + this.wait(kind), () => this.come(kind));
        const { leaves } = this.load;
        if (leaves) this.later(this.calmMs + leaves.everyMs, () => this.leave(leaves));
        const endsAt = this.load.runMs + MOST_AWAY_MS;
        for (let next = this.pop(); next && next.at < endsAt; next = this.pop()) {
            this.now = next.at;
            next.run();
        }
        const hosts = new Map(this.hosts.map(({ name, state }) => [name, state]));
        return { fates: this.fates, preemptions: this.preemptions, hosts };
    }

    /** A binary heap by time, then by order. */
    private later(ms: number, run: () => void): void {
        const { queue } = this;
        queue.push({ at: this.now + ms, order: this.order++, run });
        for (let at = queue.length - 1; at > 0;) {
            const above = (at - 1) >> 1;
            if (!isBefore(queue[at]!, queue[above]!)) break;
            [queue[at], queue[above]] = [queue[above]!, queue[at]!];
            at = above;
        }
    }

    private pop(): Timed | undefined {
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

    private declare(): void {
        const staying = [...this.engines.values()].filter(({ leaving }) => !leaving);
        const endpoints = staying.map(({ id }): EndpointCfg => ({
            id,
            hall: HALL,
            models: ["m"],
            memoryTokens: this.load.memoryTokens,
        }));
        for (const host of this.hosts) this.tell(host, { kind: "endpoints", endpoints });
    }

    /** Some engines take nothing new and end when what runs there has ended; others take their place later. */
    private leave(leaves: NonNullable<Load["leaves"]>): void {
        this.later(leaves.everyMs, () => this.leave(leaves));
        const count = Math.round(leaves.share * this.load.engines.length);
        const known = [...this.engines.values()].filter(({ leaving }) => !leaving);
        for (let drawn = 0; drawn < count; drawn++) {
            const [engine] = known.splice(Math.floor(this.random() * known.length), 1);
            if (!engine) break;
            engine.leaving = true;
            this.later(leaves.replacedMs, () => {
                this.startEngine(engine.at);
                this.declare();
            });
        }
        this.declare();
    }

    private round(host: HostSim): void {
        this.later(TELL_OWNERS_MS, () => this.round(host));
        const names = this.hosts.map(({ name }) => name);
        const every = tellEvery(names.length);
        const othersEveryMs = every <= TELL_OWNERS_MS ? 0 : every;
        this.follow(host, shareRound(host.share, host.state.endpoints, names, this.now, othersEveryMs));
    }

    private follow(host: HostSim, { state, send, events }: ShareStep): void {
        host.share = state;
        for (const addressed of send) this.deliver(host, addressed);
        for (const event of events) this.tell(host, event);
    }

    private deliver(from: HostSim, { to, message }: AddressedLoadMessage): void {
        const peer = this.byName.get(to);
        if (!peer || this.load.isLost?.(from.name, to, this.now)) return;
        const { arrives } = this.load;
        const said = arrives ? arrives(from.name, message) : message;
        if (!said) return;
        this.later(MESSAGE_MS, () => this.follow(peer, shareHear(peer.share, from.name, said, peer.state, this.now)));
    }

    private tell(host: HostSim, event: SchedulerEvent): void {
        const waited = waits(host.state);
        const { state, actions } = decide(host.state, event, this.now);
        host.state = state;
        for (const action of actions) this.carryOut(host, action);
        if (!waited && waits(host.state)) this.later(TICK_MS, () => this.tick(host));
    }

    private tick(host: HostSim): void {
        this.tell(host, { kind: "tick" });
        if (waits(host.state)) this.later(TICK_MS, () => this.tick(host));
    }

    private carryOut(host: HostSim, action: SchedulerAction): void {
        if (action.kind === "ask") {
            const names = this.hosts.map(({ name }) => name);
            return this.follow(host, shareAsk(host.share, action, host.state.endpoints, names, this.now));
        }
        const stream = this.streams.get(action.job);
        if (!stream) return;
        if (action.kind === "refuse") return this.refused(stream, action.retryAfterMs);
        if (action.kind === "dispatch") this.begin(stream, action.endpoint);
    }

    private wait({ perS }: Kind): number {
        return -Math.log(1 - this.random()) * 1_000 / Math.max(perS(Math.max(0, this.now)), 1e-3);
    }

    private come(kind: Kind): void {
        if (this.now >= this.load.runMs) return;
        this.later(this.wait(kind), () => this.come(kind));
        const host = this.hosts[Math.floor(this.random() * this.hosts.length)]!;
        const fate: Fate = {
            kind: kind.name,
            workspace: this.drawWorkspace(kind),
            rank: kind.rank,
            host: host.name,
            cameAt: this.now,
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
        this.fates.push(fate);
        this.ask(kind, fate, { host, prompt, output, tries: 1 });
    }

    private drawWorkspace({ workspaces }: Kind): string {
        let left = this.random() * Object.values(workspaces).reduce((sum, part) => sum + part, 0);
        for (const [name, part] of Object.entries(workspaces)) {
            left -= part;
            if (left < 0) return name;
        }
        return "";
    }

    private ask(
        kind: Kind,
        fate: Fate,
        { host, prompt, output, tries }: {
            readonly host: HostSim;
            readonly prompt: number;
            readonly output: number;
            readonly tries: number;
        },
    ): void {
        const { rank, objectiveMs, usefulMs, gapMs, backUp } = kind;
        const id = `${this.fates.indexOf(fate)}/${tries}`;
        const job = makeJob(id, {
            group: { workspace: fate.workspace, service: kind.name, model: "m" },
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
        const begun = { made: 0, lastPieceAt: 0, since, over: false };
        const stream: Stream = { fate, host, job, output, tries, ...begun };
        this.streams.set(id, stream);
        this.later(usefulMs, () => this.leaveUnserved(id, stream));
        this.tell(host, { kind: "arrive", job, avoid: [], retry: false });
    }

    private leaveUnserved(id: string, stream: Stream): void {
        if (stream.over || stream.fate.firstMs !== undefined) return;
        for (const { model } of this.engines.values()) model.cancel(id);
        this.tell(stream.host, { kind: "withdraw", job: id });
        this.end(id, stream, "left", "cancelled");
    }

    private refused(stream: Stream, retryAfterMs: number): void {
        const { fate, job, host, output, tries } = stream;
        fate.refusals += 1;
        fate.refusedMs = this.now - fate.cameAt;
        fate.outcome = "refused";
        stream.over = true;
        this.streams.delete(job.id);
        const kind = this.load.kinds.find(({ name }) => name === fate.kind)!;
        if (this.load.comeBack !== true || tries > 1) return;
        this.later(Math.min(retryAfterMs, MOST_AWAY_MS), () => {
            fate.outcome = "open";
            this.ask(kind, fate, { host, prompt: job.promptTokens, output, tries: tries + 1 });
        });
    }

    private begin(stream: Stream, endpoint: string): void {
        const engine = this.engines.get(endpoint);
        const { job, output, fate } = stream;
        if (!engine) throw new Error(`${endpoint} was never started`);
        fate.engine = engine.at;
        // The platform's engines take ranks, the model priorities.
        const priority = 10 - fate.rank;
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
        engine.stepping = engine.model.busy;
        if (!engine.stepping) return;
        const { durationMs, emitted, preempted } = engine.model.step();
        this.preemptions += preempted.length;
        this.later(durationMs * this.slowness(engine), () => {
            for (const { id, last } of emitted) this.token(id, last);
            this.step(engine);
        });
    }

    private slowness({ at }: EngineSim): number {
        const { spells, engines, seed } = this.load;
        const own = engines[at]!;
        if (!spells) return own;
        const spell = Math.floor(this.now / spells.everyMs);
        const drawn = seeded(seed * 7_919 + spell * 131 + at)();
        return drawn < spells.share ? own * spells.times : own;
    }

    private token(id: string, last: boolean): void {
        const stream = this.streams.get(id);
        if (!stream) return;
        stream.made += 1;
        stream.fate.tokens = stream.made;
        const isPiece = stream.made === 1 || stream.made % TOKENS_PER_PIECE === 0 || last;
        if (isPiece) this.piece(stream);
        if (last) this.end(id, stream, "whole", "whole");
    }

    private piece(stream: Stream): void {
        const { fate, since, job } = stream;
        if (fate.firstMs === undefined) fate.firstMs = this.now - fate.cameAt;
        else {
            const gap = this.now - stream.lastPieceAt;
            fate.longestGapMs = Math.max(fate.longestGapMs, gap);
            since.pieces += 1;
            since.sum += gap;
            since.max = Math.max(since.max, gap);
        }
        stream.lastPieceAt = this.now;
        const pieces = Math.ceil(stream.made / TOKENS_PER_PIECE);
        if (!isProgressDue(pieces)) return;
        stream.since = { pieces: 0, sum: 0, max: 0 };
        const meanGapMs = since.pieces === 0 ? 0 : since.sum / since.pieces;
        const produced = pieces * TOKENS_PER_PIECE;
        this.tell(stream.host, { kind: "progress", job: job.id, produced, meanGapMs, maxGapMs: since.max });
    }

    private end(
        id: string,
        stream: Stream,
        outcome: Fate["outcome"],
        told: "whole" | "cancelled",
    ): void {
        stream.over = true;
        stream.fate.outcome = outcome;
        this.streams.delete(id);
        this.tell(stream.host, { kind: "ended", job: id, outcome: told, produced: stream.made });
    }
}

function isBefore(a: Timed, b: Timed): boolean {
    return a.at < b.at || a.at === b.at && a.order < b.order;
}

function waits({ waiting, asked, askedStandby }: SchedulerState): boolean {
    return waiting.length + asked.size + askedStandby.size > 0;
}

/** Whether a request was served as its caller wants it: its first piece and all pauses in time. */
export function inTime(fate: Fate, { objectiveMs, gapMs }: Kind): boolean {
    return fate.outcome === "whole" && (fate.firstMs ?? Infinity) <= objectiveMs && fate.longestGapMs <= gapMs;
}

/** The part of some fates for which something holds. */
export function part(fates: readonly Fate[], holds: (fate: Fate) => boolean): number {
    return fates.length === 0 ? 0 : fates.filter(holds).length / fates.length;
}
