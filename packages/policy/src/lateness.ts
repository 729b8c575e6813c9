/**
 * Chance that a request would be late at an endpoint, by its first token or by a pause in its stream. Computed only
 * where the endpoints of a pool are known to differ in speed.
 *
 * @module
 */
import { cumulativeStdNormalProbability } from "simple-statistics";
import type { Demand } from "./demand.js";
import { type EndpointView, pendingPrefill, streamCount } from "./endpoint.js";
import { pauseChance } from "./pause-risk.js";
import {
    expectedFirstTokenMs,
    expectedGapMs,
    noiseOf,
    type Slowness,
    slownessOf,
    type SpeedPool,
} from "./speed-pool.js";

/** Expected timing of a request at an endpoint. */
export interface Outlook {
    /** Median time until its prompt and all prompts before it are prefilled, in milliseconds. */
    readonly firstTokenMs: number;
    /** Chance that its first token is late or that a pause exceeds its target. */
    readonly lateness: number;
}

/**
 * Predicts the timing of a request at an endpoint; undefined if the endpoints of its pool are not known to differ.
 *
 * @example
 * ```ts
 * outlookAt(view, demand, pool, now)?.lateness; // 0.3
 * ```
 */
export function outlookAt(view: EndpointView, demand: Demand, pool: SpeedPool, now: number): Outlook | undefined {
    if (pool.variance === 0) return undefined;
    const slowness = slownessOf(pool, view.speed, now);
    const firstTokenMs = expectedFirstTokenMs(pool, slowness.logRatio, pendingPrefill(view) + demand.promptTokens);
    if (firstTokenMs === undefined) return undefined;
    const deviation = Math.sqrt(noiseOf(pool, "first") + slowness.deviation ** 2);
    const startsInTime = chanceWithin(demand.leftMs, firstTokenMs, deviation);
    return { firstTokenMs, lateness: 1 - startsInTime * (1 - latePauseChance(view, demand, pool, slowness)) };
}

/** Chance that a log-normal duration with median `expectedMs` ends within `leftMs`. */
function chanceWithin(leftMs: number, expectedMs: number, deviation: number): number {
    if (leftMs <= 0) return 0;
    if (expectedMs <= 0) return 1;
    return cumulativeStdNormalProbability(Math.log(leftMs / expectedMs) / deviation);
}

/** Three-point Gauss-Hermite quadrature over a normal distribution. */
const QUADRATURE_POINTS = [
    { deviations: -Math.sqrt(3), share: 1 / 6 },
    { deviations: 0, share: 2 / 3 },
    { deviations: Math.sqrt(3), share: 1 / 6 },
] as const;

/** Chance that a stream pauses for longer than its target, averaged over the uncertainty of the endpoint's slowness. */
function latePauseChance(
    view: EndpointView,
    { gapTargetMs, expectedPieces }: Demand,
    pool: SpeedPool,
    { logRatio, deviation }: Slowness,
): number {
    let chance = 0;
    for (const { deviations, share } of QUADRATURE_POINTS) {
        const gapMs = expectedGapMs(pool, logRatio + deviations * deviation, streamCount(view) + 1);
        if (gapMs === undefined) return 0;
        chance += share * pauseChance(pool.pauses, gapTargetMs / gapMs, expectedPieces);
    }
    return chance;
}
