/**
 * A simplified model of an inference engine: continuous batching, memory that fills as generations grow, preemption by
 * priority, iteration times that depend on batch size, memory and prefill, and a bounded cache of prompt prefixes.
 *
 * Each call of {@link EngineModel.step} is one iteration. The model has no clock: a simulation advances its virtual
 * clock by the iteration's duration, the HTTP stand-in waits that long.
 *
 * @module
 */

/** Sizes and speeds of an engine. */
export interface EngineCfg {
    /** Number of prompt and output tokens that fit into memory. */
    readonly memoryTokens: number;
    readonly maxBatch: number;
    /** Maximum number of prompt tokens that one iteration prefills. */
    readonly chunkTokens: number;
    readonly baseMs: number;
    readonly perStreamMs: number;
    readonly perPrefillTokenMs: number;
    readonly perHeldTokenMs: number;
    readonly prefixCacheTokens: number;
}

/** The default engine. At 64 streams and 100,000 tokens in memory, an iteration with a full chunk takes about 38 ms. */
export const ENGINE: EngineCfg = {
    memoryTokens: 100_000,
    maxBatch: 256,
    chunkTokens: 512,
    baseMs: 8,
    perStreamMs: 0.15,
    perPrefillTokenMs: 0.02,
    perHeldTokenMs: 0.0001,
    prefixCacheTokens: 40_000,
};

/** A generation to run. `output` is its true length in tokens, which only the engine knows. */
export interface EngineJob {
    readonly id: string;
    readonly promptTokens: number;
    readonly prefix: string;
    readonly prefixTokens: number;
    readonly output: number;
    readonly priority: number;
}

interface Sequence {
    readonly job: EngineJob;
    readonly arrivalOrder: number;
    produced: number;
    prefillLeft: number;
    preemptionCount: number;
}

/** A token that an iteration generated. */
export interface EmittedToken {
    readonly id: string;
    readonly index: number;
    readonly last: boolean;
}

/** Result of one iteration. Its tokens become available after `durationMs`. */
export interface Iteration {
    readonly durationMs: number;
    readonly emitted: readonly EmittedToken[];
    readonly preempted: readonly string[];
}

/** Current load of an engine. `preemptions` counts from the engine's start. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
    readonly memoryUsed: number;
    readonly preemptions: number;
}

/** The state of one engine. */
export class EngineModel {
    private readonly running: Sequence[] = [];
    private readonly waiting: Sequence[] = [];
    private readonly prefixCache = new Map<string, number>();
    private cachedPrefixTokens = 0;
    private usedTokens = 0;
    private preemptionCount = 0;
    private arrivalCount = 0;

    constructor(readonly cfg: EngineCfg = ENGINE) {}

    /** Queues a job; a later iteration starts it. */
    submit(job: EngineJob): void {
        this.waiting.push({ job, arrivalOrder: this.arrivalCount++, produced: 0, prefillLeft: 0, preemptionCount: 0 });
        this.sortWaiting();
    }

    /** Removes a job from the queue or the batch; false if it is in neither. */
    cancel(id: string): boolean {
        const waiting = this.waiting.findIndex(sequence => sequence.job.id === id);
        if (waiting >= 0) this.waiting.splice(waiting, 1);
        const running = this.running.findIndex(sequence => sequence.job.id === id);
        if (running >= 0) this.removeRunning(running);
        return waiting >= 0 || running >= 0;
    }

    /** Whether any job is running or waiting. */
    get hasWork(): boolean {
        return this.running.length > 0 || this.waiting.length > 0;
    }

    load(): EngineLoad {
        return {
            running: this.running.length,
            waiting: this.waiting.length,
            memoryUsed: this.usedTokens,
            preemptions: this.preemptionCount,
        };
    }

    /** Runs one iteration. */
    step(): Iteration {
        this.startWaiting();
        const preempted = this.preemptUntilFits();
        const prefilled = this.prefill();
        const emitted: EmittedToken[] = [];
        const streams = this.running.length;
        for (const sequence of [...this.running]) {
            if (sequence.prefillLeft > 0) continue;
            emitted.push(this.produce(sequence));
        }
        const { baseMs, perStreamMs, perPrefillTokenMs, perHeldTokenMs } = this.cfg;
        const durationMs = baseMs + perStreamMs * streams + perPrefillTokenMs * prefilled
            + perHeldTokenMs * this.usedTokens;
        return { durationMs, emitted, preempted };
    }

    private produce(sequence: Sequence): EmittedToken {
        const index = sequence.produced;
        sequence.produced += 1;
        this.usedTokens += 1;
        const last = sequence.produced >= sequence.job.output;
        if (last) this.removeRunning(this.running.indexOf(sequence));
        return { id: sequence.job.id, index, last };
    }

    /** Moves waiting sequences into the batch, in order, up to the first that does not fit; an empty batch takes any. */
    private startWaiting(): void {
        while (this.waiting.length > 0 && this.running.length < this.cfg.maxBatch) {
            const sequence = this.waiting[0]!;
            const neededTokens = sequence.job.promptTokens + sequence.produced;
            if (
                this.usedTokens + neededTokens + this.running.length + 1 > this.cfg.memoryTokens
                && this.running.length > 0
            ) return;
            this.waiting.shift();
            sequence.prefillLeft = neededTokens - this.lookUpPrefix(sequence.job);
            this.usedTokens += neededTokens;
            this.running.push(sequence);
        }
    }

    /**
     * Preempts sequences until each remaining one can grow by a token. Picks the lowest priority first, then the
     * sequence preempted least often, then the latest arrival.
     */
    private preemptUntilFits(): string[] {
        const preempted: string[] = [];
        while (this.usedTokens + this.running.length > this.cfg.memoryTokens && this.running.length > 1) {
            const victim = this.running.reduce((a, b) => isPreemptedBefore(b, a) ? b : a);
            this.removeRunning(this.running.indexOf(victim));
            victim.preemptionCount += 1;
            this.preemptionCount += 1;
            this.waiting.push(victim);
            this.sortWaiting();
            preempted.push(victim.job.id);
        }
        return preempted;
    }

    private prefill(): number {
        let left = this.cfg.chunkTokens;
        for (const sequence of this.running) {
            const taken = Math.min(left, sequence.prefillLeft);
            sequence.prefillLeft -= taken;
            left -= taken;
        }
        return this.cfg.chunkTokens - left;
    }

    private removeRunning(index: number): void {
        const [sequence] = this.running.splice(index, 1);
        this.usedTokens -= sequence!.job.promptTokens + sequence!.produced;
    }

    /**
     * Returns how many of the job's prompt tokens are cached, and caches its prefix; evicts the least recently used
     * ones.
     */
    private lookUpPrefix(job: EngineJob): number {
        if (job.prefix === "") return 0;
        const hit = this.prefixCache.get(job.prefix) ?? 0;
        this.prefixCache.delete(job.prefix);
        this.prefixCache.set(job.prefix, job.prefixTokens);
        this.cachedPrefixTokens += job.prefixTokens - hit;
        for (const [name, tokens] of this.prefixCache) {
            if (this.cachedPrefixTokens <= this.cfg.prefixCacheTokens || name === job.prefix) break;
            this.prefixCache.delete(name);
            this.cachedPrefixTokens -= tokens;
        }
        return Math.min(hit, job.promptTokens - 1);
    }

    private sortWaiting(): void {
        this.waiting.sort((a, b) =>
            b.job.priority - a.job.priority || b.preemptionCount - a.preemptionCount || a.arrivalOrder - b.arrivalOrder
        );
    }
}

function isPreemptedBefore(a: Sequence, b: Sequence): boolean {
    if (a.job.priority !== b.job.priority) return a.job.priority < b.job.priority;
    if (a.preemptionCount !== b.preemptionCount) return a.preemptionCount < b.preemptionCount;
    return a.arrivalOrder > b.arrivalOrder;
}
