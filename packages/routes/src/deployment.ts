/**
 * The operator's configuration of forwarded calls: routes, services, workspaces and caller limits. A deployment is one
 * value whose version only increases.
 *
 * @module
 */

import type { IncarnationId } from "./incarnation.js";

/** How often a call of a route may run, and how it is answered. */
export const RouteKind = {
    /** May run more than once. */
    Repeatable: "repeatable",
    /** Runs at most once. */
    Once: "once",
    /** Answered by a stream of events; runs at most once. */
    Stream: "stream",
} as const;
/** One of {@link RouteKind}. */
export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** A service that receives a share of a route's calls. */
export interface WeightedService {
    readonly service: string;
    /** Share relative to the weights of the route's other services; not negative. */
    readonly weight: number;
}

/** Where calls with one host name and path prefix are sent. Times are in milliseconds. */
export interface Route {
    readonly name: string;
    /** Host name in the caller's request. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Time after which a call that has not been answered fails. */
    readonly timeoutMs: number;
    /** Target time for the response or, in a stream, for the first event. */
    readonly objectiveMs: number;
    /** Target for the longest gap between two events of a stream; undefined for other kinds. */
    readonly gapMs: number | undefined;
    /** Silence after which a stream's caller disconnects; undefined for other kinds. */
    readonly patienceMs: number | undefined;
    /** Priority of the route's calls, from 0 (first). */
    readonly rank: number;
    /** Largest number of endpoints to which one call may be sent. */
    readonly attempts: number;
    /** Whether calls are accepted without a workspace's key. */
    readonly isPublic: boolean;
    /** Whether a stream may run again and resume after an event that the caller names. */
    readonly resumable: boolean;
    /** Regions whose endpoints may serve the route's calls; undefined if all may. */
    readonly allowedRegions: readonly string[] | undefined;
    readonly services: readonly WeightedService[];
}

/** The declared capacity and features of a service's model engines. */
export interface EngineCfg {
    /** Generations that one engine runs concurrently. */
    readonly slots: number;
    /** Memory of one engine, in tokens. */
    readonly memoryTokens: number;
    /** Bytes of one token in an engine's memory. */
    readonly bytesPerToken: number;
    /** Network bandwidth of one engine, in megabits per second. */
    readonly linkMbps: number;
    /** Tokens per event of a stream. */
    readonly tokensPerEvent: number;
    /** Whether a running generation can be copied to another engine, which then continues it. */
    readonly canMove: boolean;
    /** Whether a generation can be copied continuously to a standby engine as it grows. */
    readonly canBackUp: boolean;
    /** How long an engine keeps a copy that is not continued, in milliseconds. */
    readonly copyTtlMs: number;
}

/** A service and the limits of its endpoints. */
export interface ServiceCfg {
    readonly name: string;
    /** Connections that one endpoint accepts in total. */
    readonly maxConnections: number;
    /** How long an endpoint is cold after it starts, in milliseconds, unless it declares a time itself. */
    readonly coldMs: number;
    /** Requests per second that a cold endpoint can handle; undefined if not declared. */
    readonly coldPerS: number | undefined;
    /** Undefined for services that are not model engines. */
    readonly engine: EngineCfg | undefined;
}

/** Limits on the size and duration of callers' requests. Times are in milliseconds. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    /** Time limit for receiving the head of a request. */
    readonly headerMs: number;
    /** How long a connection may be idle between two requests. */
    readonly idleMs: number;
}

/** A workspace and its keys. */
export interface WorkspaceCfg {
    readonly name: string;
    readonly keys: readonly string[];
    /** Priority of the workspace's calls, which overrides the route's; undefined to use the route's. */
    readonly rank: number | undefined;
    /** Regions whose endpoints may serve the workspace's calls, in addition to the route's restriction; undefined if all may. */
    readonly allowedRegions: readonly string[] | undefined;
}

/** The complete configuration at one version. */
export interface Deployment {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceCfg[];
    readonly limits: CallerLimits;
    /** Undefined if calls need no keys. */
    readonly workspaces: readonly WorkspaceCfg[] | undefined;
}

/** The state that an endpoint declares in its registration. */
export const EndpointState = { Ready: "ready", Leaving: "leaving" } as const;
/** One of {@link EndpointState}. */
export type EndpointState = typeof EndpointState[keyof typeof EndpointState];

/** The registration of one incarnation of an endpoint. */
export interface EndpointEntry extends IncarnationId {
    /** Name of the incarnation, by which hosts refer to its running calls, its load and its measurements. */
    readonly incarnation: string;
    readonly service: string;
    /** `ip:port`. */
    readonly address: string;
    readonly hall: string;
    readonly slots: number;
    readonly state: EndpointState;
    /** How much longer the endpoint is cold as of this registration, in milliseconds; undefined if not declared. */
    readonly coldMs: number | undefined;
    /** Version of the endpoint's software. */
    readonly software: string;
}
