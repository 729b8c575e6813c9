/**
 * How likely a request would be late at an endpoint, by its first token or by a pause, where endpoints are known to differ.
 *
 * @module
 */
import { cumulativeStdNormalProbability } from "simple-statistics";
import type { Demand } from "./demand.js";
import { type EndpointView, streamCount, unreadAt } from "./endpoint.js";
import { pauseChance } from "./pause-risk.js";
import {
    expectedFirstTokenMs,
    expectedGapMs,
    noiseOf,
    type Slowness,
    slownessOf,
    type SpeedPool,
} from "./speed-pool.js";

/** What is expected of a request at an endpoint. */
export interface Outlook {
    /** Median time until its prompt and all before it are read, in milliseconds. */
    readonly firstTokenMs: number;
    /** Chance that its first token comes too late or a pause is too long. */
    readonly lateness: number;
}

/**
 * What is expected of a request at an endpoint; undefined where the endpoints of its kind are not known to differ.
 *
 * @example
 * ```ts
 * outlookAt(view, demand, pool, now)?.lateness; // 0.3
 * ```
 */
export function outlookAt(view: EndpointView, demand: Demand, pool: SpeedPool, now: number): Outlook | undefined {
    if (pool.variance === 0) return undefined;
    const slowness = slownessOf(pool, view.speed, now);
    const firstTokenMs = expectedFirstTokenMs(pool, slowness.log, unreadAt(view) + demand.promptTokens);
    if (firstTokenMs === undefined) return undefined;
    const deviation = Math.sqrt(noiseOf(pool, "first") + slowness.deviation ** 2);
    const startsInTime = chanceWithin(demand.leftMs, firstTokenMs, deviation);
    return { firstTokenMs, lateness: 1 - startsInTime * (1 - latePauseChance(view, demand, pool, slowness)) };
}

/** The chance that something that takes `expectedMs` at the median is over within a time. */
function chanceWithin(leftMs: number, expectedMs: number, deviation: number): number {
    if (leftMs <= 0) return 0;
    if (expectedMs <= 0) return 1;
    return cumulativeStdNormalProbability(Math.log(leftMs / expectedMs) / deviation);
}

/** Three points whose weighted mean is that of a normal distribution (Gauss and Hermite). */
const QUADRATURE_POINTS = [
    { deviations: -Math.sqrt(3), share: 1 / 6 },
    { deviations: 0, share: 2 / 3 },
    { deviations: Math.sqrt(3), share: 1 / 6 },
] as const;

/** The chance that a stream pauses for too long, as the mean over how slow the endpoint may be. */
function latePauseChance(
    view: EndpointView,
    { gapTargetMs, expectedPieces }: Demand,
    pool: SpeedPool,
    { log, deviation }: Slowness,
): number {
    let chance = 0;
    for (const { deviations, share } of QUADRATURE_POINTS) {
        const gapMs = expectedGapMs(pool, log + deviations * deviation, streamCount(view) + 1);
        if (gapMs === undefined) return 0;
        chance += share * pauseChance(pool.pauses, gapTargetMs / gapMs, expectedPieces);
    }
    return chance;
}
