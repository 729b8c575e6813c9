/**
 * Traffic of the two deployments from seeded generators: dawn bursts of short live summaries, long reconciliations with
 * a heavy tail, long logbook summaries over shared prompts.
 *
 * @module
 */
import { type RandomGenerator, uniformFloat64, xoroshiro128plus } from "./random.js";

/** One kind of request in a deployment's traffic. */
export interface RequestClass {
    readonly workspace: string;
    readonly service: string;
    readonly model: string;
    readonly priority: "live" | "normal" | "batch";
    /** Requests a second on average. */
    readonly requestsPerS: number;
    /** Rate is this many times higher within a burst; bursts last a fifth of each period. */
    readonly burstFactor: number;
    readonly burstPeriodMs: number;
    /** Median and spread (sigma of the logarithm) of the prompt, in tokens. */
    readonly promptLength: readonly [median: number, sigma: number];
    /** Median and spread of the output, in tokens. */
    readonly outputLength: readonly [median: number, sigma: number];
    readonly maxOutput: number;
    /** How many prompt starts the requests share; 0 for none. */
    readonly sharedPrefixes: number;
}

/** One request of the traffic. */
export interface Arrival {
    readonly at: number;
    readonly id: string;
    readonly requestClass: RequestClass;
    readonly promptTokens: number;
    readonly output: number;
    readonly prefix: string;
}

/** A deployment's traffic. */
export interface Deployment {
    readonly name: "kigali" | "clayhollow";
    readonly requestClasses: readonly RequestClass[];
}

const BURST_SHARE = 0.2;

/** The time-sheet assistant: live summaries in bursts, with clerks' reconciliations through the day. */
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

/** Kiln bookings: long logbook summaries over shared prompts, with short plans between them. */
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

/** A log-normal draw with a given median. */
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
        // Thinning: candidates come at the burst's rate, and outside of bursts only some of them stay.
        if (!isInBurst(requestClass, at) && uniformFloat64(random) > 1 / requestClass.burstFactor) continue;
        const prefix = requestClass.sharedPrefixes === 0
            ? ""
            : `book-${Math.floor(uniformFloat64(random) * requestClass.sharedPrefixes)}`;
        arrivals.push({
            at,
            id: `${requestClass.workspace}-${arrivals.length}`,
            requestClass: requestClass,
            promptTokens: drawLength(random, requestClass.promptLength, 20_000),
            output: drawLength(random, requestClass.outputLength, requestClass.maxOutput),
            prefix,
        });
    }
}
