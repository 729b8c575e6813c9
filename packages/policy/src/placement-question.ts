/**
 * What hosts of large fleets ask the owner of endpoints, and what it answers.
 *
 * @module
 */
import type { Demand } from "./demand.js";
import type { Curve } from "./memory-curve.js";

/** What another host asks. */
export interface Question {
    readonly demand: Demand;
    /** What the stream will hold. */
    readonly curve: Curve;
    /** Standard deviations at which memory peaks are asked for. */
    readonly z: number;
    /** The asker's hall. */
    readonly hall: string;
    /** Endpoints that the asker cannot use. */
    readonly exclude: readonly string[];
    /** Whether an endpoint is wanted as well that keeps a copy. */
    readonly backUp: boolean;
    /** Set where only an endpoint is sought that keeps a copy: the one where the request runs, and how full a standby may be. */
    readonly standbyOf?: { readonly endpoint: string; readonly roomShare: number };
}

/** Where the request goes. */
export interface PlacementAdvice {
    /** Undefined where only a standby was sought. */
    readonly endpoint: string | undefined;
    /** Endpoint that keeps the copy; undefined where none has room or none is wanted. */
    readonly standby: string | undefined;
}
