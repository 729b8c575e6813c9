/**
 * What a request needs from an endpoint.
 *
 * @module
 */
import { probit } from "simple-statistics";
import type { Job } from "./job.js";
import { meanLength, type Survival } from "./length-estimate.js";
import { type MemoryCurve, streamCurve } from "./memory-curve.js";

/** What a request needs from an endpoint. Hosts send it to owners with their questions. */
export interface Demand {
    readonly model: string;
    readonly promptTokens: number;
    readonly prefix: string;
    readonly prefixTokens: number;
    readonly gapTargetMs: number;
    readonly objectiveMs: number;
    /** Time left until its first token is due, in milliseconds. */
    readonly leftMs: number;
    /** Expected number of pieces (streamed chunks) of its answer. */
    readonly expectedPieces: number;
    readonly weightTail: number;
    readonly weightStall: number;
    readonly weightPrefix: number;
    /** Halls whose endpoints may serve it; any hall if absent. */
    readonly halls?: readonly string[] | undefined;
}

/** What is needed to judge a request at any endpoint, computed once. */
export interface RequestProfile {
    readonly demand: Demand;
    readonly curve: MemoryCurve;
    /** Standard deviations above the mean at which the memory peak must still fit. */
    readonly z: number;
}

/** Computes what a request needs from an endpoint. */
export function demandOf(
    { group, promptTokens, prefix, prefixTokens, policy, halls, tokensPerPiece = 1 }: Job,
    survival: Survival,
    waitedMs = 0,
): Demand {
    const { gapTargetMs, objectiveMs, maxWaitMs, weightTail, weightStall, weightPrefix } = policy;
    return {
        model: group.model,
        promptTokens,
        prefix,
        prefixTokens,
        gapTargetMs,
        objectiveMs,
        leftMs: maxWaitMs - waitedMs,
        expectedPieces: meanLength(survival) / tokensPerPiece,
        weightTail,
        weightStall,
        weightPrefix,
        ...(halls ? { halls } : {}),
    };
}

/**
 * Computes the profile with which endpoints are judged for a request.
 *
 * @example
 * ```ts
 * assess(view, profileOf(job, lengths), state, now);
 * ```
 */
export function profileOf(job: Job, survival: Survival, waitedMs = 0): RequestProfile {
    const curve = streamCurve(survival, job.promptTokens, 0);
    return { demand: demandOf(job, survival, waitedMs), curve, z: probit(job.policy.quantile) };
}
