/**
 * The question that a host of a large fleet asks an endpoint's owner before it places a request, and the owner's
 * answer.
 *
 * @module
 */
import type { Demand } from "./demand.js";
import type { MemoryCurve } from "./memory-curve.js";

/** A host asks an owner where one of its requests, or the copy of a running one, should go. */
export interface PlacementQuestion {
    readonly demand: Demand;
    /** Memory that the stream is expected to hold. */
    readonly curve: MemoryCurve;
    /** Standard deviations above the mean at which the memory peak must still fit. */
    readonly z: number;
    /** Hall of the host that asks. */
    readonly hall: string;
    /** Endpoints that the asking host cannot use. */
    readonly exclude: readonly string[];
    /** Whether the owner should also name a standby, the endpoint that keeps a copy of the stream. */
    readonly backUp: boolean;
    /** Set if only a standby is sought. */
    readonly standbyOf?: StandbyQuestion;
}

/**
 * What a standby is sought for. `evacuate`: the request's endpoint is leaving. `continue`: the request continues at
 * another endpoint once the next standby is known.
 */
export type StandbyPurpose = "evacuate" | "continue";

/** The stream for which a standby is sought; an answer repeats it, so that it settles no other question. */
export interface StandbySubject {
    /** Endpoint where the request runs, or where it continues. */
    readonly endpoint: string;
    readonly purpose: StandbyPurpose;
}

/** A question for a standby only. */
export interface StandbyQuestion extends StandbySubject {
    /** Share of a standby's memory that may be planned. */
    readonly roomShare: number;
}

/**
 * Returns what an answer to a question repeats of it; undefined if the question is where a request should run.
 *
 * @example
 * ```ts
 * subjectOf({ ...question, standbyOf: { endpoint: "e1", purpose: "evacuate", roomShare: 0.9 } })?.endpoint; // "e1"
 * ```
 */
export function subjectOf({ standbyOf }: Pick<PlacementQuestion, "standbyOf">): StandbySubject | undefined {
    return standbyOf && { endpoint: standbyOf.endpoint, purpose: standbyOf.purpose };
}

/** An owner's answer: where the request should run and who keeps its copy. */
export interface PlacementAdvice {
    /** Undefined if only a standby was sought. */
    readonly endpoint: string | undefined;
    /** Endpoint that keeps the copy; undefined if none has capacity or none was wanted. */
    readonly standby: string | undefined;
}
