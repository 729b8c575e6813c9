/**
 * How likely a request would be late at an endpoint, by its first token or by a pause, where endpoints are known to differ.
 *
 * @module
 */
import { cumulativeStdNormalProbability } from "simple-statistics";
import type { Demand } from "./demand.js";
import { type EndpointView, streamCount, unreadAt } from "./endpoint.js";
import { pauseChance } from "./pause-risk.js";
import { expectedFirstMs, expectedGapMs, noiseOf, slownessNow, slownessOf, type SpeedPool } from "./speed-pool.js";

/** What is expected of a request at an endpoint. */
export interface Outlook {
    /** Natural logarithm of the endpoint's time for the same work against the mean of its kind. */
    readonly slowness: number;
    /** Expected time until its prompt and all before it are read, in milliseconds. */
    readonly firstMs: number;
    /** Expected time until what is unread there now is read, in milliseconds. */
    readonly waitMs: number;
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
    const current = slownessNow(pool, view.speed, now);
    const unread = unreadAt(view);
    const firstMs = expectedFirstMs(pool, current, unread + demand.promptTokens);
    const waitMs = expectedFirstMs(pool, current, unread);
    if (firstMs === undefined || waitMs === undefined) return undefined;
    const deviation = Math.sqrt(noiseOf(pool, "first") + current.deviation ** 2);
    const inTime = chanceWithin(demand.leftMs, firstMs, deviation) * (1 - pauseLateness(view, demand, pool, now));
    return { slowness: slownessOf(pool, view.speed, now).log, firstMs, waitMs, lateness: 1 - inTime };
}

/** The chance that something that takes `expectedMs` at the median is over within a time. */
function chanceWithin(leftMs: number, expectedMs: number, deviation: number): number {
    if (leftMs <= 0) return 0;
    if (expectedMs <= 0) return 1;
    return cumulativeStdNormalProbability(Math.log(leftMs / expectedMs) / deviation);
}

/** The chance that a stream pauses for too long at an endpoint. */
function pauseLateness(view: EndpointView, demand: Demand, pool: SpeedPool, now: number): number {
    const { gapTargetMs, expectedPieces } = demand;
    const gapMs = expectedGapMs(pool, slownessOf(pool, view.speed, now), streamCount(view) + 1);
    return gapMs === undefined ? 0 : pauseChance(pool.pauses, gapTargetMs / gapMs, expectedPieces);
}
