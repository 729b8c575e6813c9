/**
 * A request as the decisions see it, and the settings by which it is weighed.
 *
 * @module
 */
import type { RequestGroup } from "./length-estimate.js";

/** Rank of each priority class. Higher classes go first and are displaced last. */
export const PRIORITY_RANK = { live: 20, normal: 10, batch: 0 } as const;
/** Priority class of a request. */
export type Priority = keyof typeof PRIORITY_RANK;

/** The settings that decisions use, fixed for the lifetime of a request. Times are milliseconds. */
export interface JobPolicy {
    readonly priority: Priority;
    /** Order among waiting requests: 0 goes first. */
    readonly rank: number;
    /** Relative share of a model's capacity that its workspace may hold while requests of several workspaces wait. */
    readonly weight: number;
    /** Probability with which the admitted streams must fit the endpoint's memory over the horizon. */
    readonly quantile: number;
    /** Target for the largest gap between two pieces of the answer. */
    readonly gapTargetMs: number;
    /** Target for the time from arrival to the first token. */
    readonly objectiveMs: number;
    /** Weight of the batch size in an endpoint's score. */
    readonly weightTail: number;
    /** Weight of the planned memory peak in an endpoint's score. */
    readonly weightStall: number;
    /** Weight of the cached share of the prompt in an endpoint's score. */
    readonly weightPrefix: number;
    /** Time from arrival to the first token beyond which the request does not wait. */
    readonly maxWaitMs: number;
    /**
     * Time from arrival to the first token up to which the answer is still useful to the caller; at least `maxWaitMs`.
     */
    readonly usefulMs: number;
    /** Largest number of waiting requests. */
    readonly queueLimit: number;
    /** Retries that each request earns for the retry budget. */
    readonly retryShare: number;
}

export interface Job {
    readonly id: string;
    readonly group: RequestGroup;
    readonly promptTokens: number;
    readonly maxTokens: number;
    /** Key of the prompt prefix that requests share, or `""`. */
    readonly prefix: string;
    readonly prefixTokens: number;
    readonly policy: JobPolicy;
    /** Whether losing its endpoint midway would cost so much that a copy is worth its memory. */
    readonly backUp?: boolean | undefined;
    /** Halls whose endpoints may serve it; any hall if absent. */
    readonly halls?: readonly string[] | undefined;
    /**
     * Whether the request is suspected of crashing the endpoint that runs it. It is placed where the fewest other
     * streams would be lost.
     */
    readonly isSuspect?: boolean | undefined;
    /** Tokens in each piece (streamed chunk) of the answer; 1 if absent. */
    readonly tokensPerPiece?: number | undefined;
    /** The true output length; known in measurements only, for {@link Variant.oracle}. */
    readonly knownTokens?: number | undefined;
}

/** Variants of the decisions. A daemon runs the defaults; the others are baselines and switches for measurement. */
export interface Variant {
    /**
     * `peak`: admit by the memory peak at a quantile. `free`: by the memory that is free now. `none`: admit everything
     * at once.
     */
    readonly admission: "peak" | "free" | "none";
    /** Whether the batch size is bounded by the pace model. */
    readonly pace: boolean;
    /** `score`: weigh wait, batch size, memory peak and cached prefix. The others are common baselines. */
    readonly choice: "score" | "twoChoices" | "leastOutstanding" | "roundRobin";
    /** Whether load reports are corrected by this host's own dispatches and ends since the report. */
    readonly lagCorrection: boolean;
    /**
     * How hosts learn of each other's streams: from an endpoint's owner, or only from the endpoint's lagging load
     * reports.
     */
    readonly share: "owner" | "reports";
    /** Whether a host asks the owner of a crowded endpoint before it sends a request there. */
    readonly ask: boolean;
    /** Whether hosts of large halls ask the owner for every request. */
    readonly askAlways: boolean;
    readonly prefix: boolean;
    /**
     * Whether a request is refused as soon as no capacity is forecast for it in time. Meant for waits of about a
     * second: over a queue of many seconds forecasts are too rough (of live and clerks' requests that may wait 20 s it
     * refuses 10 %, where 2 % go unserved without it; medians of 3 seeds in bench:policy).
     */
    readonly forecast: boolean;
    /** Whether streams that ask for a copy get one at a second endpoint, if there is capacity. */
    readonly backups: boolean;
    readonly priorities: boolean;
    /** Whether known speed differences between endpoints of the same models are taken into account. */
    readonly speeds: boolean;
    /** Whether output lengths are known in advance (measurement only). */
    readonly oracle: boolean;
}

/** The variant that a daemon runs. */
export const DEFAULT_VARIANT: Variant = {
    admission: "peak",
    pace: true,
    choice: "score",
    lagCorrection: true,
    share: "owner",
    ask: true,
    askAlways: false,
    prefix: true,
    forecast: false,
    backups: false,
    priorities: true,
    speeds: true,
    oracle: false,
};
