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
    /**
     * Set if only a standby is sought: the endpoint where the request runs, and the share of a standby's memory that
     * may be planned.
     */
    readonly standbyOf?: { readonly endpoint: string; readonly roomShare: number };
}

/** An owner's answer: where the request should run and who keeps its copy. */
export interface PlacementAdvice {
    /** Undefined if only a standby was sought. */
    readonly endpoint: string | undefined;
    /** Endpoint that keeps the copy; undefined if none has capacity or none was wanted. */
    readonly standby: string | undefined;
}
