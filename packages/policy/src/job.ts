/**
 * What the decisions know of one request, and how the deployment weighs it.
 *
 * @module
 */
import type { RequestGroup } from "./length-estimate.js";

/** Rank of a request's class; the higher goes first and is displaced last. */
export const PRIORITY_RANK = { live: 20, normal: 10, batch: 0 } as const;
/** Class of a request. */
export type Priority = keyof typeof PRIORITY_RANK;

/** The part of the settings that decisions use, pinned for the whole request. Times are milliseconds. */
export interface JobPolicy {
    readonly priority: Priority;
    /** Its place among requests that wait: 0 goes first. */
    readonly rank: number;
    /** Part of a model's room that its workspace may hold, relative to the others, while requests of several wait. */
    readonly weight: number;
    /** Chance that admitted work fits the engine's memory over the horizon. */
    readonly quantile: number;
    readonly gapTargetMs: number;
    /** Time to the first token, from arrival, within which an answer is worth most. */
    readonly objectiveMs: number;
    readonly weightTail: number;
    readonly weightStall: number;
    readonly weightPrefix: number;
    /** Time until its first token, from arrival, beyond which it is not worth waiting. */
    readonly maxWaitMs: number;
    /** Time until its first token, from arrival, up to which its caller still has a use for it; not below `maxWaitMs`. */
    readonly usefulMs: number;
    readonly queueLimit: number;
    readonly retryShare: number;
}

/** A request as decisions see it. */
export interface Job {
    readonly id: string;
    readonly group: RequestGroup;
    readonly promptTokens: number;
    readonly maxTokens: number;
    /** Name of the prompt's shared start, or `""`. */
    readonly prefix: string;
    readonly prefixTokens: number;
    readonly policy: JobPolicy;
    /** Whether losing its endpoint midway would lose so much that a copy is worth its memory. */
    readonly backUp?: boolean | undefined;
    /** Halls whose endpoints may serve it; all where it is absent. */
    readonly halls?: readonly string[] | undefined;
    /** Whether it may end the endpoint that runs it: it is begun where the least else would be lost. */
    readonly isSuspect?: boolean | undefined;
    /** Tokens in each piece of the stream; 1 where it is absent. */
    readonly tokensPerPiece?: number | undefined;
    /** The true length, for the all-knowing comparison in measurements only. */
    readonly knownTokens?: number | undefined;
}

/** Variants of the decisions; the defaults are what a daemon runs, the others are baselines and switches for measurement. */
export interface Variant {
    /** `peak`: admit by the memory peak at a quantile. `free`: by what is free now. `none`: everything at once. */
    readonly admission: "peak" | "free" | "none";
    /** Whether the batch is bounded by the pace model. */
    readonly pace: boolean;
    /** `score`: weigh pace, peak and prefix; the others are the usual baselines. */
    readonly choice: "score" | "twoChoices" | "leastOutstanding" | "roundRobin";
    /** Whether own dispatches and ends since a load report are counted in. */
    readonly lagCorrection: boolean;
    /** How hosts know of each other's streams: from an endpoint's owner, or from its lagging reports alone. */
    readonly share: "owner" | "reports";
    /** Whether a crowded endpoint's owner is asked before a request is sent there. */
    readonly ask: boolean;
    /** Whether in large halls every endpoint's owner is asked. */
    readonly askAlways: boolean;
    readonly prefix: boolean;
    /**
     * Whether a request is refused as soon as no room is forecast for it in time. For waits of a second or so: over a queue
     * of many seconds forecasts are too rough (of live and clerks' requests that may wait 20 s it refuses 10 % where 2 % go
     * unserved without it, medians of 3 seeds in bench:policy).
     */
    readonly forecast: boolean;
    /** Whether streams that ask for it are backed up at a second endpoint, where there is room. */
    readonly backups: boolean;
    readonly priorities: boolean;
    /** Whether endpoints that are known to be slower or faster than their kind are told apart. */
    readonly speeds: boolean;
    /** Whether lengths are known ahead (measurement only). */
    readonly oracle: boolean;
}

/** What a daemon runs. */
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
