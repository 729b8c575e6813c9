/**
 * Gives copies to running generations that have none: looks again and again, few at a time, while endpoints are known to end
 * without notice.
 *
 * @module
 */
import { type CopyEvidence, lateCopySpacingMs, type LatePlan, planLateCopy, takesNew } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import type { Placement } from "../endpoints/placement.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";
import { type Copies, REFRESH_MS } from "./copies.js";

/** What late copies need of the gateway. */
export interface LateCopiesDeps {
    readonly clock: Clock;
    readonly engines: Placement;
    readonly copies: Copies;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
    /** Endings of endpoints without notice that this host saw or was told of, of the last so many milliseconds. */
    endingsWithin(ms: number): number;
}

/** Endings are counted over this time at most: a fleet that lost endpoints an hour ago may be sound again. */
const WINDOW_MS = 10 * 60_000;
/** A host that has just started takes what it was told of for the rate of at least this time. */
const LEAST_WINDOW_MS = 60_000;
const MS_PER_S = 1_000;
const LOOK_EVERY_MS = 200;
/** A generation that found no room is tried again after this, as memory changes by the second. */
const TRY_AGAIN_MS = 1_000;

/** The late copies of one host. */
export class LateCopies {
    private readonly startedAt: number;
    private nextAt = -Infinity;
    private reason = "";
    /** Endpoints that make a late copy now. */
    private readonly sources = new Set<string>();
    /** Generations that found no room, and when they may be tried again. */
    private readonly tried = new Map<string, number>();

    constructor(private readonly deps: LateCopiesDeps) {
        this.startedAt = deps.clock.now();
        repeat(() => this.look(), () => LOOK_EVERY_MS, deps.signal);
    }

    private look(): void {
        const { clock, engines, copies } = this.deps;
        const now = clock.now();
        for (const [job, until] of this.tried) if (now >= until) this.tried.delete(job);
        if (now < this.nextAt) return;
        const isBusy = {
            job: (id: string): boolean => this.tried.has(id) || !copies.mayCopy(id),
            source: (id: string): boolean => this.sources.has(id),
        };
        const plan = planLateCopy(engines.view, this.evidence(now), isBusy, now);
        if (plan.kind === "none") return this.explain(plan.reason);
        this.explain("copy");
        const { hosts, endpoints } = engines.view;
        const sources = endpoints.values().filter(takesNew).length;
        this.nextAt = now + lateCopySpacingMs(copies.observed.copyMs, sources, hosts);
        void this.copy(plan);
    }

    private async copy({ job, from, atStakeMs, costMs }: Extract<LatePlan, { kind: "copy" }>): Promise<void> {
        const { log, metrics, copies, clock } = this.deps;
        log.info(
            { req: job, from, at_stake_ms: Math.round(atStakeMs), cost_ms: Math.round(costMs) },
            "late_copy_planned",
        );
        this.sources.add(from);
        const made = await copies.copyLate(job);
        this.sources.delete(from);
        metrics.countLateCopy(made ? "made" : "notMade");
        if (!made) this.tried.set(job, clock.now() + TRY_AGAIN_MS);
    }

    /** Tells why late copies are made or not, when that changes. */
    private explain(reason: string): void {
        if (reason === this.reason) return;
        this.reason = reason;
        this.deps.log.debug({ reason }, "late_copies");
    }

    private evidence(now: number): CopyEvidence {
        const { engines, copies } = this.deps;
        const windowMs = Math.min(WINDOW_MS, Math.max(LEAST_WINDOW_MS, now - this.startedAt));
        const endpoints = Math.max(1, engines.view.endpoints.values().length);
        const { msPerToken, refreshMs } = copies.observed;
        const lossesPerS = this.deps.endingsWithin(windowMs) * MS_PER_S / (endpoints * windowMs);
        return { lossesPerS, msPerToken, refreshMs, refreshEveryMs: REFRESH_MS };
    }
}
