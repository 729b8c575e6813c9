/**
 * Generates the traffic of two example deployments from a seed: bursts of short live summaries, long reconciliations
 * with a heavy-tailed length, and long logbook summaries with shared prompt prefixes.
 *
 * @module
 */
import { type RandomGenerator, uniformFloat64, xoroshiro128plus } from "./random.js";

/** A class of requests of one workspace, with its rate and the distributions of its lengths. */
export interface RequestClass {
    readonly workspace: string;
    readonly service: string;
    readonly model: string;
    readonly priority: "live" | "normal" | "batch";
    /** Requests a second outside of bursts. */
    readonly requestsPerS: number;
    /** Factor by which the rate is higher during a burst. A burst lasts the first fifth of each period. */
    readonly burstFactor: number;
    readonly burstPeriodMs: number;
    /** Log-normal distribution of the prompt's length: median in tokens, and sigma of the logarithm. */
    readonly promptLength: readonly [median: number, sigma: number];
    /** Log-normal distribution of the output's length: median in tokens, and sigma of the logarithm. */
    readonly outputLength: readonly [median: number, sigma: number];
    readonly maxOutput: number;
    /** Number of prompt prefixes that the requests share; 0 for none. */
    readonly sharedPrefixes: number;
}

/** A generated request. */
export interface Arrival {
    readonly at: number;
    readonly id: string;
    readonly requestClass: RequestClass;
    readonly promptTokens: number;
    readonly output: number;
    readonly prefix: string;
}

/** A deployment with its classes of requests. */
export interface Deployment {
    readonly name: "kigali" | "clayhollow";
    readonly requestClasses: readonly RequestClass[];
}

const BURST_SHARE = 0.2;

/** A time-sheet assistant: live summaries in bursts, and clerks' reconciliations at a constant rate. */
export const KIGALI: Deployment = {
    name: "kigali",
    requestClasses: [
        {
            workspace: "foremen",
            service: "scribe",
            model: "summary-8b",
            priority: "live",
            requestsPerS: 6,
            burstFactor: 4,
            burstPeriodMs: 60_000,
            promptLength: [600, 0.5],
            outputLength: [180, 0.6],
            maxOutput: 2_000,
            sharedPrefixes: 0,
        },
        {
            workspace: "clerks",
            service: "scribe",
            model: "summary-8b",
            priority: "normal",
            requestsPerS: 2.2,
            burstFactor: 1,
            burstPeriodMs: 60_000,
            promptLength: [3_000, 0.5],
            outputLength: [500, 1.2],
            maxOutput: 16_000,
            sharedPrefixes: 6,
        },
    ],
};

/** A booking system for kilns: long logbook summaries with shared prompt prefixes, and short plans. */
export const CLAYHOLLOW: Deployment = {
    name: "clayhollow",
    requestClasses: [
        {
            workspace: "studios",
            service: "scribe",
            model: "summary-8b",
            priority: "normal",
            requestsPerS: 1.7,
            burstFactor: 2,
            burstPeriodMs: 90_000,
            promptLength: [5_000, 0.6],
            outputLength: [900, 1.0],
            maxOutput: 24_000,
            sharedPrefixes: 10,
        },
        {
            workspace: "members",
            service: "scribe",
            model: "summary-8b",
            priority: "normal",
            requestsPerS: 4,
            burstFactor: 1,
            burstPeriodMs: 60_000,
            promptLength: [800, 0.5],
            outputLength: [220, 0.7],
            maxOutput: 4_000,
            sharedPrefixes: 0,
        },
    ],
};

/** Both deployments by name. */
export const DEPLOYMENTS = { kigali: KIGALI, clayhollow: CLAYHOLLOW } as const;

/** Draws from a log-normal distribution with the given median. */
function drawLogNormal(random: RandomGenerator, median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(random)));
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * uniformFloat64(random)));
}

function drawLength(random: RandomGenerator, [median, sigma]: readonly [number, number], max: number): number {
    return Math.max(1, Math.min(max, Math.round(drawLogNormal(random, median, sigma))));
}

function isInBurst(requestClass: RequestClass, at: number): boolean {
    return at % requestClass.burstPeriodMs < requestClass.burstPeriodMs * BURST_SHARE;
}

/**
 * Generates all requests of a deployment during `durationMs`, ordered by arrival time.
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
    for (const [index, requestClass] of deployment.requestClasses.entries()) {
        arrivals.push(...arrivalsOfClass(requestClass, durationMs, scale, xoroshiro128plus(seed * 31 + index)));
    }
    return arrivals.sort((a, b) => a.at - b.at);
}

function arrivalsOfClass(
    requestClass: RequestClass,
    durationMs: number,
    scale: number,
    random: RandomGenerator,
): Arrival[] {
    const arrivals: Arrival[] = [];
    const peakPerMs = requestClass.requestsPerS * requestClass.burstFactor * scale / 1000;
    let at = 0;
    for (;;) {
        at += -Math.log(1 - uniformFloat64(random)) / peakPerMs;
        if (at >= durationMs) return arrivals;
        // Thinning: candidates are drawn at the rate of bursts, and outside of bursts only a share of them is kept.
        if (!isInBurst(requestClass, at) && uniformFloat64(random) > 1 / requestClass.burstFactor) continue;
        const prefix = requestClass.sharedPrefixes === 0
            ? ""
            : `book-${Math.floor(uniformFloat64(random) * requestClass.sharedPrefixes)}`;
        arrivals.push({
            at,
            id: `${requestClass.workspace}-${arrivals.length}`,
            requestClass,
            promptTokens: drawLength(random, requestClass.promptLength, 20_000),
            output: drawLength(random, requestClass.outputLength, requestClass.maxOutput),
            prefix,
        });
    }
}
