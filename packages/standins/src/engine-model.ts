/**
 * A small model of a model engine: continuous batching, memory that fills as generations grow, preemption by priority,
 * a pace that depends on batch, memory and prefill, and a bounded cache of prompt prefixes.
 *
 * One call of {@link EngineModel.step} is one iteration of the engine. The caller owns the clock: a measurement adds up
 * the durations, the HTTP stand-in waits for them.
 *
 * @module
 */

/** Sizes and speeds of an engine. */
export interface EngineCfg {
    /** Tokens of prompt and output that fit the memory. */
    readonly memoryTokens: number;
    readonly maxBatch: number;
    /** Prompt tokens that one iteration takes in at most. */
    readonly chunkTokens: number;
    readonly baseMs: number;
    readonly perStreamMs: number;
    readonly perPrefillTokenMs: number;
    readonly perHeldTokenMs: number;
    readonly prefixCacheTokens: number;
}

/** An engine of today's size. At 64 streams and 100,000 held tokens an iteration with a full chunk takes about 38 ms. */
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

/** What an engine is asked to generate. `output` is the true length, which no one but the engine knows. */
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
    readonly order: number;
    produced: number;
    prefillLeft: number;
    preempted: number;
}

/** A token that one iteration made. */
export interface Emitted {
    readonly id: string;
    readonly index: number;
    readonly last: boolean;
}

/** What one iteration did. The tokens are there when `durationMs` is over. */
export interface Iteration {
    readonly durationMs: number;
    readonly emitted: readonly Emitted[];
    readonly preempted: readonly string[];
}

/** Load as the engine sees it at this moment. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
    readonly memoryUsed: number;
    readonly preemptions: number;
}

/** One engine. */
export class EngineModel {
    private readonly running: Sequence[] = [];
    private readonly waiting: Sequence[] = [];
    private readonly prefixes = new Map<string, number>();
    private prefixTokens = 0;
    private used = 0;
    private preemptions = 0;
    private arrivals = 0;

    constructor(readonly cfg: EngineCfg = ENGINE) {}

    /** Takes a job in; it waits until an iteration starts it. */
    submit(job: EngineJob): void {
        this.waiting.push({ job, order: this.arrivals++, produced: 0, prefillLeft: 0, preempted: 0 });
        this.sortWaiting();
    }

    /** Forgets a job; false if it is not there. */
    cancel(id: string): boolean {
        const waiting = this.waiting.findIndex(sequence => sequence.job.id === id);
        if (waiting >= 0) this.waiting.splice(waiting, 1);
        const running = this.running.findIndex(sequence => sequence.job.id === id);
        if (running >= 0) this.free(running);
        return waiting >= 0 || running >= 0;
    }

    /** Whether an iteration would do anything. */
    get busy(): boolean {
        return this.running.length > 0 || this.waiting.length > 0;
    }

    /** Load now, without a lag. */
    load(): EngineLoad {
        return {
            running: this.running.length,
            waiting: this.waiting.length,
            memoryUsed: this.used,
            preemptions: this.preemptions,
        };
    }

    /** Runs one iteration. */
    step(): Iteration {
        this.start();
        const preempted = this.makeRoom();
        const prefilled = this.prefill();
        const emitted: Emitted[] = [];
        const streams = this.running.length;
        for (const sequence of [...this.running]) {
            if (sequence.prefillLeft > 0) continue;
            emitted.push(this.produce(sequence));
        }
        const { baseMs, perStreamMs, perPrefillTokenMs, perHeldTokenMs } = this.cfg;
        const durationMs = baseMs + perStreamMs * streams + perPrefillTokenMs * prefilled + perHeldTokenMs * this.used;
        return { durationMs, emitted, preempted };
    }

    private produce(sequence: Sequence): Emitted {
        const index = sequence.produced;
        sequence.produced += 1;
        this.used += 1;
        const last = sequence.produced >= sequence.job.output;
        if (last) this.free(this.running.indexOf(sequence));
        return { id: sequence.job.id, index, last };
    }

    /** Starts waiting sequences while they fit; the first that does not holds up the rest. */
    private start(): void {
        while (this.waiting.length > 0 && this.running.length < this.cfg.maxBatch) {
            const sequence = this.waiting[0]!;
            const held = sequence.job.promptTokens + sequence.produced;
            if (this.used + held + this.running.length + 1 > this.cfg.memoryTokens && this.running.length > 0) return;
            this.waiting.shift();
            sequence.prefillLeft = held - this.cached(sequence.job);
            this.used += held;
            this.running.push(sequence);
        }
    }

    /** Puts sequences back until every running one can grow by a token: lowest priority, least displaced, latest. */
    private makeRoom(): string[] {
        const preempted: string[] = [];
        while (this.used + this.running.length > this.cfg.memoryTokens && this.running.length > 1) {
            const victim = this.running.reduce((a, b) => displacedBefore(b, a) ? b : a);
            this.free(this.running.indexOf(victim));
            victim.preempted += 1;
            this.preemptions += 1;
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

    private free(at: number): void {
        const [sequence] = this.running.splice(at, 1);
        this.used -= sequence!.job.promptTokens + sequence!.produced;
    }

    /** Tokens of the prompt that are cached; uses and fills the cache, the longest unused going first. */
    private cached(job: EngineJob): number {
        if (job.prefix === "") return 0;
        const hit = this.prefixes.get(job.prefix) ?? 0;
        this.prefixes.delete(job.prefix);
        this.prefixes.set(job.prefix, job.prefixTokens);
        this.prefixTokens += job.prefixTokens - hit;
        for (const [name, tokens] of this.prefixes) {
            if (this.prefixTokens <= this.cfg.prefixCacheTokens || name === job.prefix) break;
            this.prefixes.delete(name);
            this.prefixTokens -= tokens;
        }
        return Math.min(hit, job.promptTokens - 1);
    }

    private sortWaiting(): void {
        this.waiting.sort((a, b) => b.job.priority - a.job.priority || b.preempted - a.preempted || a.order - b.order);
    }
}

function displacedBefore(a: Sequence, b: Sequence): boolean {
    if (a.job.priority !== b.job.priority) return a.job.priority < b.job.priority;
    if (a.preempted !== b.preempted) return a.preempted < b.preempted;
    return a.order > b.order;
}
