/**
 * State and services that the servers of one daemon share.
 *
 * @module
 */
import { createLimits, type LimitState } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import type { Dispatcher } from "undici";
import type { Placement } from "../endpoints/placement.js";
import type { RequestGuard } from "../endpoints/request-guard.js";
import type { Peers } from "../peers/peers.js";
import type { HostCfg } from "../runtime/config.js";
import type { HostMemory } from "../runtime/host-memory.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import type { SettingsFeed } from "../store/settings-feed.js";
import type { SettingsStore } from "../store/settings-store.js";
import type { IdempotencyClaims } from "./idempotency-claims.js";

/** Services of a daemon that serve its requests. */
export interface Host {
    readonly cfg: HostCfg;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly feed: SettingsFeed;
    readonly store: SettingsStore;
    /** Schedules generations on engines. */
    readonly engines: Placement;
    /** Schedules calls of plain services. */
    readonly plain: Placement;
    readonly dispatcher: Dispatcher;
    readonly signal: AbortSignal;
    readonly openRequests: OpenRequests;
    readonly limits: WorkspaceUsage;
    readonly claims: IdempotencyClaims;
    /** Accounts for the memory that calls hold. */
    readonly memory: HostMemory;
    /** Withholds requests that crash the endpoints that run them. */
    readonly guard: RequestGuard;
    /** Undefined until the host listens for its peers. */
    peers: Peers | undefined;
}

/** A request that the host is serving. */
export interface OpenRequest {
    /** Handles the shutdown of the host. */
    handle(event: { readonly kind: "stopping" }): void;
    /** Called after the host was suspended, during which timers did not run. */
    onWake(): void;
}

/** The requests that the host is serving. */
export class OpenRequests {
    private readonly requests = new Set<OpenRequest>();
    private onEmpty: (() => void) | undefined;
    /** Whether the host is shutting down. */
    stopping = false;

    get size(): number {
        return this.requests.size;
    }

    add(request: OpenRequest): void {
        this.requests.add(request);
    }

    delete(request: OpenRequest): void {
        this.requests.delete(request);
        if (this.requests.size === 0) this.onEmpty?.();
    }

    /** Notifies every request that the host was suspended. */
    onWake(): void {
        for (const request of [...this.requests]) request.onWake();
    }

    /**
     * Notifies every request that the host is shutting down: waiting ones end, running ones continue. Resolves when all
     * have ended.
     */
    drain(): Promise<void> {
        this.stopping = true;
        for (const request of [...this.requests]) request.handle({ kind: "stopping" });
        return this.requests.size === 0 ? Promise.resolve() : new Promise(resolve => this.onEmpty = resolve);
    }
}

/** Holds the current usage of the workspaces' limits. */
export class WorkspaceUsage {
    state: LimitState = createLimits();
}
