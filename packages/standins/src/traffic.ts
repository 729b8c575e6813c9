/**
 * Traffic of the two deployments from seeded generators: dawn bursts of short live summaries, long reconciliations with
 * a heavy tail, long logbook summaries over shared prompts.
 *
 * @module
 */
import { type RandomGenerator, uniformFloat64, xoroshiro128plus } from "./random.js";

/** One kind of request in a deployment's traffic. */
export interface Stream {
    readonly workspace: string;
    readonly service: string;
    readonly model: string;
    readonly priority: "live" | "normal" | "batch";
    /** Requests a second on average. */
    readonly rate: number;
    /** Rate is this many times higher within a burst; bursts last a fifth of each period. */
    readonly burst: number;
    readonly burstPeriodMs: number;
    /** Median and spread (sigma of the logarithm) of the prompt, in tokens. */
    readonly prompt: readonly [median: number, sigma: number];
    /** Median and spread of the output, in tokens. */
    readonly output: readonly [median: number, sigma: number];
    readonly maxOutput: number;
    /** How many prompt starts the requests share; 0 for none. */
    readonly prefixes: number;
}

/** One request of the traffic. */
export interface Arrival {
    readonly at: number;
    readonly id: string;
    readonly stream: Stream;
    readonly promptTokens: number;
    readonly output: number;
    readonly prefix: string;
}

/** A deployment's traffic. */
export interface Deployment {
    readonly name: "kigali" | "clayhollow";
    readonly streams: readonly Stream[];
}

const BURST_SHARE = 0.2;

/** The time-sheet assistant: live summaries in bursts, with clerks' reconciliations through the day. */
export const KIGALI: Deployment = {
    name: "kigali",
    streams: [
        {
            workspace: "foremen",
            service: "scribe",
            model: "summary-8b",
            priority: "live",
            rate: 6,
            burst: 4,
            burstPeriodMs: 60_000,
            prompt: [600, 0.5],
            output: [180, 0.6],
            maxOutput: 2_000,
            prefixes: 0,
        },
        {
            workspace: "clerks",
            service: "scribe",
            model: "summary-8b",
            priority: "normal",
            rate: 2.2,
            burst: 1,
            burstPeriodMs: 60_000,
            prompt: [3_000, 0.5],
            output: [500, 1.2],
            maxOutput: 16_000,
            prefixes: 6,
        },
    ],
};

/** Kiln bookings: long logbook summaries over shared prompts, with short plans between them. */
export const CLAYHOLLOW: Deployment = {
    name: "clayhollow",
    streams: [
        {
            workspace: "studios",
            service: "scribe",
            model: "summary-8b",
            priority: "normal",
            rate: 1.7,
            burst: 2,
            burstPeriodMs: 90_000,
            prompt: [5_000, 0.6],
            output: [900, 1.0],
            maxOutput: 24_000,
            prefixes: 10,
        },
        {
            workspace: "members",
            service: "scribe",
            model: "summary-8b",
            priority: "normal",
            rate: 4,
            burst: 1,
            burstPeriodMs: 60_000,
            prompt: [800, 0.5],
            output: [220, 0.7],
            maxOutput: 4_000,
            prefixes: 0,
        },
    ],
};

/** Both deployments by name. */
export const DEPLOYMENTS = { kigali: KIGALI, clayhollow: CLAYHOLLOW } as const;

/** A log-normal draw with a given median. */
function logNormal(random: RandomGenerator, median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(random)));
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * uniformFloat64(random)));
}

function draw(random: RandomGenerator, [median, sigma]: readonly [number, number], most: number): number {
    return Math.max(1, Math.min(most, Math.round(logNormal(random, median, sigma))));
}

function inBurst(stream: Stream, at: number): boolean {
    return at % stream.burstPeriodMs < stream.burstPeriodMs * BURST_SHARE;
}

/**
 * All requests of a deployment within a time, in order.
 *
 * @param scale Multiplies every rate.
 *
 * @example
 * ```ts
 * generateTraffic(KIGALI, 120_000, 1, 42).length;
 * ```
 */
export function generateTraffic(
    deployment: Deployment,
    durationMs: number,
    scale: number,
    seed: number,
): readonly Arrival[] {
    const arrivals: Arrival[] = [];
    for (const [at, stream] of deployment.streams.entries()) {
        arrivals.push(...streamArrivals(stream, durationMs, scale, xoroshiro128plus(seed * 31 + at)));
    }
    return arrivals.sort((a, b) => a.at - b.at);
}

function streamArrivals(stream: Stream, durationMs: number, scale: number, random: RandomGenerator): Arrival[] {
    const arrivals: Arrival[] = [];
    const peak = stream.rate * stream.burst * scale / 1000;
    let at = 0;
    for (;;) {
        at += -Math.log(1 - uniformFloat64(random)) / peak;
        if (at >= durationMs) return arrivals;
        // Thinning: candidates come at the burst's rate, and outside of bursts only some of them stay.
        if (!inBurst(stream, at) && uniformFloat64(random) > 1 / stream.burst) continue;
        const prefix = stream.prefixes === 0 ? "" : `book-${Math.floor(uniformFloat64(random) * stream.prefixes)}`;
        arrivals.push({
            at,
            id: `${stream.workspace}-${arrivals.length}`,
            stream,
            promptTokens: draw(random, stream.prompt, 20_000),
            output: draw(random, stream.output, stream.maxOutput),
            prefix,
        });
    }
}
