/**
 * What the servers of one daemon share.
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
import type { Claims } from "./claims.js";

/** The parts of a daemon that requests use. */
export interface Host {
    readonly cfg: HostCfg;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly feed: SettingsFeed;
    readonly store: SettingsStore;
    readonly engines: Placement;
    readonly plain: Placement;
    readonly dispatcher: Dispatcher;
    readonly signal: AbortSignal;
    readonly runs: OpenRuns;
    readonly limits: LimitBook;
    readonly claims: Claims;
    /** What this host holds for those that read slowly. */
    readonly memory: HostMemory;
    /** Keeps requests away that end the endpoints that run them. */
    readonly guard: RequestGuard;
    /** Set as soon as the host listens for its peers. */
    peers: Peers | undefined;
}

/** A request that can be told that the host stops. */
export interface OpenRun {
    event(event: { readonly kind: "stopping" }): void;
    /** Looks at the time anew: its timers stood still while the host was suspended. */
    woke(): void;
}

/** Requests that are being served. */
export class OpenRuns {
    private readonly runs = new Set<OpenRun>();
    private emptied: (() => void) | undefined;
    /** True from the moment that the host was told to stop. */
    stopping = false;

    get size(): number {
        return this.runs.size;
    }

    add(run: OpenRun): void {
        this.runs.add(run);
    }

    delete(run: OpenRun): void {
        this.runs.delete(run);
        if (this.runs.size === 0) this.emptied?.();
    }

    /** Tells every request that the host was suspended. */
    woke(): void {
        for (const run of [...this.runs]) run.woke();
    }

    /** Tells every request that the host stops: waiting ones end, running ones go on. Resolves when none is left. */
    drain(): Promise<void> {
        this.stopping = true;
        for (const run of [...this.runs]) run.event({ kind: "stopping" });
        return this.runs.size === 0 ? Promise.resolve() : new Promise(resolve => this.emptied = resolve);
    }
}

/** Holds the value of the limits' state. */
export class LimitBook {
    state: LimitState = createLimits();
}
