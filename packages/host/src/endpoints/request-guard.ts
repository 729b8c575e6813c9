/**
 * Withholds requests that crash the endpoints that run them. The guard records interrupted attempts of this host, answers before
 * each attempt whether it may start, and shares its findings with the peers. The rules stand in `quarantine` of the package `hall`.
 *
 * @module
 */
import {
    allEndingNews,
    type Assessment,
    clearRequest,
    dropExpired,
    EMPTY_QUARANTINE,
    ENDING_SPREAD_MS,
    type EndingNews,
    ENDINGS_TO_QUARANTINE,
    isSuspect,
    mergeNews,
    nameOfEndedLife,
    type Quarantine,
    type QuarantineNews,
    type QuarantineStep,
    type Verdict,
    type VerdictContext,
    verdictOf,
} from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import { FailCode } from "@drumpaddle/request";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";
import type { EndpointCrash, EndpointIncarnation, InterruptedRun } from "./crash-detector.js";

/** Why an attempt may not start. */
export interface Withheld {
    readonly code: typeof FailCode.Quarantined | typeof FailCode.OnTrial;
    readonly detail: string;
    readonly retryAfterMs?: number;
    /** Set if the refusal is provisional: asked again after this time, the guard gives a final answer. */
    readonly evidencePendingMs?: number;
}

/** Dependencies of {@link RequestGuard}. */
export interface RequestGuardDeps {
    readonly log: Log;
    readonly metrics: Metrics;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Shares news with the peers. */
    share(news: QuarantineNews): void;
    /**
     * Finds out whether the endpoint of an interrupted run crashed, and reports by {@link RequestGuard.endpointCrashed} or
     * {@link RequestGuard.noCrashFound}.
     */
    investigate(endpoint: EndpointIncarnation, run: InterruptedRun): void;
}

/** A suspected or quarantined request, as operators see it. */
export interface ListedRequest {
    readonly fingerprint: string;
    readonly quarantined: boolean;
    /** Known if a call of this host ran at one of the endpoints when it crashed. */
    readonly route: string | undefined;
    readonly workspace: string | undefined;
    readonly endings: readonly {
        readonly endpoint: string;
        readonly ageMs: number;
        /** The call that ran there, if it was one of this host. */
        readonly req: string | undefined;
    }[];
}

/** A call of this host that ran at an endpoint when the endpoint crashed. */
type CrashedCall = Pick<InterruptedRun, "req" | "route" | "workspace">;

/** Calls kept for operators' listings: enough for a day of crashes. */
const MAX_CALLS = 1_024;
/** Interval at which expired state is dropped. */
const FORGET_EVERY_MS = 10_000;
/** How long completed requests are remembered, and how many: news of a crash arrives at most a few seconds late. */
const COMPLETED_KEPT_MS = 10_000;
const MAX_COMPLETED = 4_096;
/** Refusals of one request are logged at most this often, so that repeated calls cannot flood the log. */
const REFUSAL_LOG_MS = 1_000;

/** Decides on this host which requests are withheld. */
export class RequestGuard {
    private state: Quarantine = EMPTY_QUARANTINE;
    /** Interrupted runs whose endpoint is still being probed, by the request's fingerprint; each with the endpoint's incarnation. */
    private readonly unresolved = new Map<string, Map<InterruptedRun, string>>();
    /** When requests last completed, by fingerprint, the oldest first. */
    private readonly completedAt = new Map<string, number>();
    private readonly refusalLoggedAt = new Map<string, number>();
    /** By incarnation and fingerprint, the oldest first. */
    private readonly crashedCalls = new Map<string, CrashedCall>();

    constructor(private readonly deps: RequestGuardDeps) {
        repeat(() => this.forgetExpired(), () => FORGET_EVERY_MS, deps.signal);
    }

    /** The current time of the guard's clock. */
    now(): number {
        return this.deps.clock.now();
    }

    /** A digest of the known crashes, by which peers see whether they know the same ones. */
    get digest(): number {
        return this.state.digest;
    }

    /** Everything that this host knows, for a peer. */
    all(): QuarantineNews {
        return allEndingNews(this.state, this.deps.clock.now());
    }

    /** All quarantined and suspected requests, for operators. */
    list(): readonly ListedRequest[] {
        const charges = [...this.state.assessments.values()].filter(({ endings }) => endings.length > 0);
        return charges.map(charge => this.describe(charge));
    }

    private describe({ fingerprint, endings }: Assessment): ListedRequest {
        const now = this.deps.clock.now();
        const crashed = endings.map(({ life }) => this.crashedCalls.get(`${life} ${fingerprint}`));
        const first = crashed.find(sighting => sighting !== undefined);
        return {
            fingerprint,
            quarantined: verdictOf(this.state, fingerprint, now).kind === "quarantined",
            route: first?.route,
            workspace: first?.workspace,
            endings: endings.map(({ life, at }, index) => ({
                endpoint: life,
                ageMs: Math.round(now - at),
                req: crashed[index]?.req,
            })),
        };
    }

    /**
     * Why a request may not start now; undefined if it may.
     *
     * @example
     * ```ts
     * const withheld = guard.withhold(fingerprint);
     * if (withheld) refuse(withheld.code);
     * ```
     */
    withhold(fingerprint: string, asked: VerdictContext = {}): Withheld | undefined {
        const verdict = verdictOf(this.state, fingerprint, this.deps.clock.now(), asked);
        const probedEndpoints = new Set(this.unresolved.get(fingerprint)?.values()).size;
        // Count crashes that are still under investigation: otherwise the request reaches the next endpoint before they are confirmed.
        if (probedEndpoints > 0 && crashCountOf(verdict) + probedEndpoints >= ENDINGS_TO_QUARANTINE) {
            return withheldAsQuarantined(ENDINGS_TO_QUARANTINE, ENDING_SPREAD_MS);
        }
        return WITHHELD_BY_VERDICT[verdict.kind](verdict as never);
    }

    /** Whether a request ran at an endpoint that crashed or may have crashed. It is then sent where little else runs. */
    isSuspect(fingerprint: string): boolean {
        return this.unresolved.has(fingerprint) || isSuspect(this.state, fingerprint);
    }

    /** Called when an attempt is being sent; returns whether its request is suspected. */
    attemptStarted(fingerprint: string, attempt: string): boolean {
        const suspect = this.isSuspect(fingerprint);
        if (suspect) this.publishTrial(fingerprint, attempt, false);
        return suspect;
    }

    /** Called when an attempt is over, whatever its outcome. */
    attemptEnded(fingerprint: string, attempt: string): void {
        if (this.state.trials.has(attempt)) this.publishTrial(fingerprint, attempt, true);
    }

    /** Called when an attempt was interrupted while it ran. */
    attemptInterrupted(endpoint: EndpointIncarnation, run: InterruptedRun): void {
        const runs = this.unresolved.get(run.fingerprint) ?? new Map<InterruptedRun, string>();
        this.unresolved.set(run.fingerprint, runs.set(run, endpoint.incarnation));
        this.deps.investigate(endpoint, run);
    }

    /** Called when an attempt completed. As its endpoint survived it, the request is cleared. */
    attemptCompleted(fingerprint: string): void {
        const now = this.deps.clock.now();
        this.completedAt.delete(fingerprint);
        this.completedAt.set(fingerprint, now);
        if (this.completedAt.size > MAX_COMPLETED) this.completedAt.delete(this.completedAt.keys().next().value!);
        if (isSuspect(this.state, fingerprint)) this.clear(fingerprint, "whole");
    }

    /** Drops all evidence against a request. */
    clear(fingerprint: string, reason: "whole" | "operator"): void {
        const charge = this.state.assessments.get(fingerprint);
        if (charge && (charge.isCulprit || reason === "operator")) {
            this.deps.log.warn({ fingerprint, reason }, "request_quarantine_lifted");
        }
        this.applyStep(clearRequest(this.state, fingerprint, this.deps.clock.now()));
    }

    /** Called when an endpoint crashed while it ran calls of this host. */
    endpointCrashed({ endpoint, at, runs, sign }: EndpointCrash): void {
        this.removeUnresolved(runs);
        const { incarnation } = endpoint;
        this.deps.metrics.countEndpointEnd(sign);
        this.deps.log.warn({ endpoint: incarnation, sign, runs: runs.length }, "endpoint_ended_under_calls");
        for (const { req, fingerprint, parts, ranMs, wasSuspect } of runs) {
            this.deps.log.info({
                req,
                fingerprint,
                parts: parts.length > 0 ? parts.join(",") : undefined,
                endpoint: incarnation,
                ran_ms: Math.round(ranMs),
                suspect: wasSuspect,
            }, "call_at_ending");
        }
        const requests = runs.map(({ fingerprint, ranMs, wasSuspect }) => ({
            fingerprint,
            ranMs: Math.round(ranMs),
            wasSuspect,
            cleared: false,
        }));
        const beganAt = at - Math.max(...runs.map(({ ranMs }) => ranMs));
        const life = nameOfEndedLife(this.state.endings, incarnation, beganAt);
        const ending = { life, agoMs: this.deps.clock.now() - at, software: endpoint.software, requests };
        for (const { req, route, workspace, fingerprint } of runs) {
            this.crashedCalls.set(`${life} ${fingerprint}`, { req, route, workspace });
            if (this.crashedCalls.size > MAX_CALLS) this.crashedCalls.delete(this.crashedCalls.keys().next().value!);
        }
        this.applyStep(mergeNews(this.state, { endings: [ending], trials: [] }, this.deps.clock.now()));
        this.clearCompleted([ending]);
    }

    /**
     * Called when the endpoint of interrupted runs is alive, or cannot be probed; in the latter case {@link RequestGuard.endpointCrashed} may
     * still follow.
     */
    noCrashFound(runs: readonly InterruptedRun[]): void {
        this.removeUnresolved(runs);
    }

    /** Merges news from a peer, and passes on what is new. */
    receive(told: QuarantineNews): void {
        this.applyStep(mergeNews(this.state, told, this.deps.clock.now()));
        this.clearCompleted(told.endings);
    }

    /** Counts a refusal, and logs it at a limited rate. */
    recordRefusal(req: string, fingerprint: string, { code, detail }: Withheld): void {
        this.deps.metrics.countWithheld(code);
        const now = this.deps.clock.now();
        if (now - (this.refusalLoggedAt.get(fingerprint) ?? -Infinity) < REFUSAL_LOG_MS) return;
        this.refusalLoggedAt.set(fingerprint, now);
        this.deps.log.info({ req, fingerprint, outcome: code, detail }, "call_withheld");
    }

    /** Clears requests that completed here after the crashes that are reported only now. */
    private clearCompleted(endings: readonly EndingNews[]): void {
        const now = this.deps.clock.now();
        for (const { agoMs, requests } of endings) {
            for (const { fingerprint, cleared } of requests) {
                const doneAt = this.completedAt.get(fingerprint);
                if (!cleared && doneAt !== undefined && doneAt >= now - agoMs) this.clear(fingerprint, "whole");
            }
        }
    }

    private removeUnresolved(runs: readonly InterruptedRun[]): void {
        for (const run of runs) {
            const known = this.unresolved.get(run.fingerprint);
            if (known?.delete(run) && known.size === 0) this.unresolved.delete(run.fingerprint);
        }
    }

    private publishTrial(fingerprint: string, attempt: string, isOver: boolean): void {
        const trials = [{ attempt, fingerprint, agoMs: 0, isOver }];
        this.applyStep(mergeNews(this.state, { endings: [], trials }, this.deps.clock.now()));
    }

    private applyStep({ state, news }: QuarantineStep): void {
        const before = this.state.assessments;
        this.state = state;
        if (!news) return;
        for (const charge of state.assessments.values()) {
            if (charge.isCulprit && before.get(charge.fingerprint)?.endings.length !== charge.endings.length) {
                this.logQuarantine(charge);
            }
        }
        this.deps.metrics.quarantined.set(
            [...state.assessments.values()].filter(({ isCulprit }) => isCulprit).length,
        );
        this.deps.share(news);
    }

    private logQuarantine({ fingerprint, endings }: Assessment): void {
        const now = this.deps.clock.now();
        this.deps.log.warn({
            fingerprint,
            endings: endings.length,
            endpoints: endings.map(({ life }) => life).join(","),
            ages_ms: endings.map(({ at }) => Math.round(now - at)).join(","),
        }, "request_quarantined");
    }

    private forgetExpired(): void {
        const now = this.deps.clock.now();
        this.state = dropExpired(this.state, now);
        for (const [fingerprint, at] of this.completedAt) {
            if (now - at < COMPLETED_KEPT_MS) break;
            this.completedAt.delete(fingerprint);
        }
        for (const [fingerprint, at] of this.refusalLoggedAt) {
            if (now - at >= REFUSAL_LOG_MS) this.refusalLoggedAt.delete(fingerprint);
        }
    }
}

function crashCountOf(verdict: Verdict): number {
    return "endings" in verdict ? verdict.endings : 0;
}

function withheldAsQuarantined(endings: number, evidencePendingMs: number): Withheld {
    const detail = `this request was running at ${endings} endpoints when they ended; do not send it again`;
    return { code: FailCode.Quarantined, detail, evidencePendingMs };
}

const WITHHELD_BY_VERDICT: {
    readonly [K in Verdict["kind"]]: (verdict: Extract<Verdict, { kind: K }>) => Withheld | undefined;
} = {
    free: () => undefined,
    suspect: () => undefined,
    onTrial: ({ trialEndsInMs }) => ({
        code: FailCode.OnTrial,
        detail: "this request was running at an endpoint when that ended, and runs once more now",
        retryAfterMs: trialEndsInMs,
    }),
    quarantined: ({ endings, evidencePendingMs }) => withheldAsQuarantined(endings, evidencePendingMs),
};
