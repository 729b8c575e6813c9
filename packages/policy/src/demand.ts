/**
 * What a request asks of an endpoint.
 *
 * @module
 */
import { probit } from "simple-statistics";
import type { Job } from "./job.js";
import { meanLength, type Survival } from "./length-estimate.js";
import { type Curve, streamCurve } from "./memory-curve.js";

/** What a request asks of an endpoint; hosts tell it to owners. */
export interface Demand {
    readonly model: string;
    readonly promptTokens: number;
    readonly prefix: string;
    readonly prefixTokens: number;
    readonly gapTargetMs: number;
    readonly objectiveMs: number;
    /** Time that its first token has left, in milliseconds. */
    readonly leftMs: number;
    /** Pieces that its stream will probably have. */
    readonly expectedPieces: number;
    readonly weightTail: number;
    readonly weightStall: number;
    readonly weightPrefix: number;
    /** Halls whose endpoints may serve it; all where it is absent. */
    readonly halls?: readonly string[] | undefined;
}

/** A request with what is the same for every endpoint, worked out once. */
export interface RequestProfile {
    readonly demand: Demand;
    readonly curve: Curve;
    /** Standard deviations at which the peak is asked for. */
    readonly z: number;
}

/** What a request asks of an endpoint. */
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
 * A request as it is held against endpoints.
 *
 * @example
 * ```ts
 * assess(view, wantedOf(job, lengths), state, now);
 * ```
 */
export function profileOf(job: Job, survival: Survival, waitedMs = 0): RequestProfile {
    const curve = streamCurve(survival, job.promptTokens, 0);
    return { demand: demandOf(job, survival, waitedMs), curve, z: probit(job.policy.quantile) };
}
