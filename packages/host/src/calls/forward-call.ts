/**
 * A forwarded call, and the state and services that all calls of a gateway share.
 *
 * @module
 */
import type { CallHead, Clock, PlatformWire } from "@drumpaddle/protocol";
import type { EndpointEntry, EngineCfg, IncarnationId, Route, RouteTable, WorkspaceCfg } from "@drumpaddle/routes";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EndpointDispatchers } from "../endpoints/dialer.js";
import type { EndpointConnections } from "../endpoints/endpoint-connections.js";
import type { EndpointNotices } from "../endpoints/endpoint-notices.js";
import type { IncarnationSignals } from "../endpoints/incarnation-signals.js";
import type { Placement } from "../endpoints/placement.js";
import type { RequestGuard } from "../endpoints/request-guard.js";
import type { CallMemory } from "../runtime/call-memory.js";
import type { HostMemory } from "../runtime/host-memory.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import type { GenerationCopies } from "./generation-copies.js";
import type { GenerationStops } from "./generation-stops.js";
import type { OpenRequests } from "./host.js";

/** State and services that the calls of one gateway share. */
export interface GatewayContext {
    readonly wire: PlatformWire;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly connections: EndpointConnections;
    /** Send control calls to endpoints. */
    readonly dispatchers: EndpointDispatchers;
    /** Schedules generations on engines. */
    readonly engines: Placement;
    /** Schedules calls of plain services. */
    readonly plain: Placement;
    readonly openRequests: OpenRequests;
    readonly copies: GenerationCopies;
    readonly stops: GenerationStops;
    /** Accounts for the memory that calls hold. */
    readonly memory: HostMemory;
    /** Receives the notices that endpoints add to their answers, such as a limit. */
    readonly notices: EndpointNotices;
    readonly signal: AbortSignal;
    /** Time limit for a caller to send a body, in milliseconds. */
    readonly bodyTimeoutMs: number;
    /** Maximum number of requests of one connection that are open at a time. */
    readonly maxPipelined: number;
    /** Whether each call is logged. */
    readonly logCalls: boolean;
    /** Whether the host has file descriptors left for one more call. */
    hasDescriptors(): boolean;
    /** Whether the host was suspended and has received no deployment or registry update since. */
    isStale(): boolean;
    /** The routes of the current deployment; undefined until the host has received one. */
    table(): RouteTable | undefined;
    /** Returns the registration of an endpoint. */
    endpoint(incarnation: string): EndpointEntry | undefined;
    /** Whether the operator has evacuated a hall. */
    isEvacuated(hall: string): boolean;
    /** Returns the halls that lie in some regions. */
    hallsInRegions(homes: readonly string[]): readonly string[];
    /** Returns the software versions of a service's endpoints that accept new work. */
    softwareVersionsOf(service: string): readonly string[];
    /** When the host exits, in milliseconds on the monotonic clock; undefined unless it is shutting down. */
    exitsAt(): number | undefined;
    /** Signals that abort when an incarnation of an endpoint is over. */
    readonly incarnationSignals: IncarnationSignals;
    /** Withholds requests that crash the endpoints that run them. */
    readonly guard: RequestGuard;
    /** Called when an endpoint refused a call because another incarnation runs at its address. */
    onMisdirected(incarnation: string): void;
    /** Called when a later incarnation of an endpoint has answered than the one that was called. */
    learnIncarnation(incarnation: IncarnationId): void;
    /**
     * Settles whether an endpoint has restarted, if a restart may have left no sign. Undefined if there is nothing to settle.
     */
    settleRestart(endpoint: EndpointEntry): Promise<void> | undefined;
}

/** A call, with what is fixed when it arrives. */
export interface ForwardCall {
    /** When the call arrived, in milliseconds on the monotonic clock. */
    readonly arrivedAt: number;
    readonly req: IncomingMessage;
    readonly out: ServerResponse;
    /** Path with the query. */
    readonly target: string;
    readonly head: CallHead;
    readonly route: Route;
    readonly workspace: WorkspaceCfg | undefined;
    readonly service: string;
    readonly engine: EngineCfg | undefined;
    /** Accounts for the memory that the call holds. */
    readonly memory: CallMemory;
    /** Version of the deployment. */
    readonly version: number;
}
