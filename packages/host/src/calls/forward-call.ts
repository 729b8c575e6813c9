/**
 * A call that is forwarded as it is, and what the calls of one gateway share.
 *
 * @module
 */
import type { CallHead, Clock, PlatformWire } from "@drumpaddle/protocol";
import type { EndpointEntry, EngineCfg, Life, Route, RouteTable, WorkspaceCfg } from "@drumpaddle/routes";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EndpointConnections } from "../endpoints/endpoint-connections.js";
import type { EndpointWords } from "../endpoints/endpoint-notices.js";
import type { LifeSignals } from "../endpoints/incarnation-signals.js";
import type { Placement } from "../endpoints/placement.js";
import type { RequestGuard } from "../endpoints/request-guard.js";
import type { CallMemory } from "../runtime/call-memory.js";
import type { HostMemory } from "../runtime/host-memory.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import type { Copies } from "./copies.js";
import type { OpenRuns } from "./host.js";

/** What the calls of one gateway share. */
export interface Forwarding {
    readonly wire: PlatformWire;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly connections: EndpointConnections;
    readonly engines: Placement;
    readonly plain: Placement;
    readonly runs: OpenRuns;
    readonly copies: Copies;
    /** What this host holds for those that read slowly. */
    readonly memory: HostMemory;
    /** Takes in what endpoints say of themselves. */
    readonly words: EndpointWords;
    readonly signal: AbortSignal;
    /** Time for a caller to send a body, in milliseconds. */
    readonly bodyMs: number;
    /** Whether each call is logged. */
    readonly logCalls: boolean;
    /** Whether this host has descriptors left for one more call. */
    hasDescriptors(): boolean;
    /** Whether this host was suspended and has heard nothing since. */
    isStale(): boolean;
    /** What is declared now; undefined until it was learnt. */
    table(): RouteTable | undefined;
    endpoint(incarnation: string): EndpointEntry | undefined;
    /** Whether the operator has evacuated a hall. */
    isEvacuated(hall: string): boolean;
    /** Halls that lie in some regions. */
    hallsIn(homes: readonly string[]): readonly string[];
    /** Versions of the software of a service's endpoints that take new work. */
    softwareOf(service: string): readonly string[];
    /** When this host ends, on the monotonic clock; undefined while it is not told to stop. */
    endsAt(): number | undefined;
    readonly lives: LifeSignals;
    /** Keeps requests away that end the endpoints that run them. */
    readonly guard: RequestGuard;
    /** An endpoint is not the one that was called: its address has another one. */
    onOtherIncarnation(incarnation: string): void;
    /** Takes in that a later life of an endpoint has answered than the one that was called. */
    meetLife(life: Life): void;
}

/** A call with all that is pinned for it. */
export interface ForwardCall {
    readonly at: number;
    readonly req: IncomingMessage;
    readonly out: ServerResponse;
    readonly target: string;
    readonly head: CallHead;
    readonly route: Route;
    readonly workspace: WorkspaceCfg | undefined;
    readonly service: string;
    readonly engine: EngineCfg | undefined;
    /** What it holds. */
    readonly memory: CallMemory;
    readonly version: number;
}
