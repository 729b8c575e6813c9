/**
 * What the operator declares for a deployment whose calls are forwarded as they are: routes, services, workspaces and
 * bounds on callers. A deployment is one versioned value; versions only ever grow.
 *
 * @module
 */

import type { Life } from "./incarnation.js";

/** How often a call of a route may run. */
export const RouteKind = {
    /** May run more than once. */
    Repeatable: "repeatable",
    /** Runs at most once. */
    Once: "once",
    /** Answered by a series of events; runs at most once. */
    Stream: "stream",
} as const;
/** One of {@link RouteKind}. */
export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** A service that a route's calls go to, with its part of them. */
export interface WeightedService {
    readonly service: string;
    /** Relative to the weights of the route's other services; not negative. */
    readonly weight: number;
}

/** Where calls of one host name and path prefix go. Times are milliseconds. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** The longest that a call may be held. */
    readonly timeoutMs: number;
    /** An answer (of a stream: its first event) within this time counts in full. */
    readonly objectiveMs: number;
    /** Longest pause between two events that still keeps a stream in time; undefined for other kinds. */
    readonly gapMs: number | undefined;
    /** Silence after which a stream's caller leaves; undefined for other kinds. */
    readonly patienceMs: number | undefined;
    /** Rank of the route's calls: 0 goes first. */
    readonly rank: number;
    /** Endpoints that one call may be sent to at most. */
    readonly attempts: number;
    /** Whether calls need no workspace's key. */
    readonly isPublic: boolean;
    /** Whether a stream may run more than once, and a new run may continue it at an event that the caller names. */
    readonly resumable: boolean;
    /** Regions whose endpoints may serve its calls; undefined where all may. */
    readonly homes: readonly string[] | undefined;
    readonly services: readonly WeightedService[];
}

/** What is declared of a service's model engines. */
export interface EngineCfg {
    /** Generations that run at once. */
    readonly slots: number;
    readonly memoryTokens: number;
    /** Bytes of one token in an engine's memory. */
    readonly bytesPerToken: number;
    /** Link of one engine, in megabits a second. */
    readonly linkMbps: number;
    /** Tokens in one event of a stream. */
    readonly tokensPerEvent: number;
    /** Whether running generations can be copied to another engine. */
    readonly canMove: boolean;
    /** Whether a generation can be copied to another engine as it grows. */
    readonly canBackUp: boolean;
    /** How long an engine keeps a copy that nobody continues, in milliseconds. */
    readonly copyTtlMs: number;
}

/** A service and how its endpoints are spoken to. */
export interface ServiceCfg {
    readonly name: string;
    /** Connections that one endpoint accepts from all callers together. */
    readonly maxConnections: number;
    /** How long an endpoint is cold from its start where it does not say so itself, in milliseconds. */
    readonly coldMs: number;
    /** Requests that a cold endpoint bears in a second; undefined where none is declared. */
    readonly coldPerS: number | undefined;
    /** Undefined for plain services. */
    readonly engine: EngineCfg | undefined;
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    /** Time to send the head of a request. */
    readonly headerMs: number;
    /** How long a connection may rest between two requests. */
    readonly idleMs: number;
}

/** A workspace with its keys. */
export interface WorkspaceCfg {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before a route's rank where it is given. */
    readonly rank: number | undefined;
    /** Regions whose endpoints may serve its calls, besides what their route says; undefined where all may. */
    readonly homes: readonly string[] | undefined;
}

/** Everything that is declared, at one version. */
export interface Deployment {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceCfg[];
    readonly limits: CallerLimits;
    /** Undefined where calls carry no keys at all. */
    readonly workspaces: readonly WorkspaceCfg[] | undefined;
}

/** An endpoint's state by its own word. */
export const EndpointState = { Ready: "ready", Leaving: "leaving" } as const;
/** One of {@link EndpointState}. */
export type EndpointState = typeof EndpointState[keyof typeof EndpointState];

/** One life of an endpoint, as it registered itself. */
export interface EndpointEntry extends Life {
    /** Name of this life: what runs, is held and was learnt there is known by it. */
    readonly incarnation: string;
    readonly service: string;
    /** `ip:port`. */
    readonly address: string;
    readonly hall: string;
    readonly slots: number;
    readonly state: EndpointState;
    /** How much longer it was cold when it registered, in milliseconds; undefined where it has not said so. */
    readonly coldMs: number | undefined;
    /** Version of its software. */
    readonly software: string;
}
