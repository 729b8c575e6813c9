/**
 * Withholds requests that crash the endpoints that run them, by their content or by a part that they share. The guard records
 * interrupted attempts of this host, answers before each attempt whether it may start, and shares its findings with the peers. The
 * rules stand in `quarantine` of the package `hall`.
 *
 * @module
 */
import {
    allEndingNews,
    type Assessment,
    clearPart,
    clearRequest,
    controlParts,
    dropExpired,
    EMPTY_QUARANTINE,
    ENDING_SPREAD_MS,
    type EndingNews,
    ENDINGS_TO_QUARANTINE,
    isSuspect,
    mergeNews,
    nameOfEndedLife,
    type PartAnswer,
    type Quarantine,
    type QuarantineNews,
    type QuarantineStep,
    type RequestIdentity,
    type RequestNews,
    SuspectKind,
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
import { PartAnswers } from "./part-answers.js";

/** Why an attempt may not start. */
export interface Withheld {
    readonly code: typeof FailCode.Quarantined | typeof FailCode.OnTrial;
    readonly detail: string;
    /** The fingerprint or the part that is quarantined. */
    readonly by?: string;
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
    /** A random number in [0, 1) that spreads the trials of hosts; `Math.random` by default. */
    readonly random?: () => number;
}

/** A suspected or quarantined request, or part of prompts, as operators see it. */
export interface ListedRequest {
    /** Fingerprint of the request, or name of the part. */
    readonly fingerprint: string;
    readonly quarantined: boolean;
    /** Other parts that may be to blame instead: only requests with all of them are withheld. */
    readonly alternatives: readonly string[];
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

/** Calls kept for operators' listings, by crash and suspect: enough for a day of crashes. */
const MAX_CALLS = 4_096;
/** Interval at which expired state is dropped. */
const FORGET_EVERY_MS = 10_000;
/** How long completed requests are remembered, and how many: news of a crash arrives at most a few seconds late. */
const COMPLETED_KEPT_MS = 10_000;
const MAX_COMPLETED = 4_096;
/** Hosts try a part again at different times, as each hears only some milliseconds later that another one does. */
const MAX_TRIAL_DELAY_MS = 500;
/** Refusals of one request are logged at most this often, so that repeated calls cannot flood the log. */
const REFUSAL_LOG_MS = 1_000;

/** Decides on this host which requests are withheld. */
export class RequestGuard {
    private state: Quarantine = EMPTY_QUARANTINE;
    /** Interrupted runs whose endpoint is still being probed, by suspect; each with the endpoint's incarnation. */
    private readonly unresolved = new Map<string, Map<InterruptedRun, string>>();
    /** When requests last completed, by fingerprint, the oldest first. */
    private readonly completedAt = new Map<string, number>();
    private readonly partAnswers = new PartAnswers();
    private readonly refusalLoggedAt = new Map<string, number>();
    /** By incarnation and fingerprint, the oldest first. */
    private readonly crashedCalls = new Map<string, CrashedCall>();

    private readonly trialDelayMs: number;

    constructor(private readonly deps: RequestGuardDeps) {
        this.trialDelayMs = MAX_TRIAL_DELAY_MS * (deps.random ?? Math.random)();
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

    /** All quarantined and suspected requests and parts, for operators; no parts that only shared the endings of culprits. */
    list(): readonly ListedRequest[] {
        const charges = [...this.state.assessments.values()].filter(({ endings }) => endings.length > 0);
        const culprits = charges.filter(({ isCulprit }) => isCulprit);
        const explained = new Set(culprits.flatMap(({ endings }) => endings.map(({ life }) => life)));
        const isExplained = ({ kind, isCulprit, endings }: Assessment): boolean =>
            kind === SuspectKind.Part && !isCulprit && endings.every(({ life }) => explained.has(life));
        return charges.filter(charge => !isExplained(charge)).map(charge => this.describe(charge));
    }

    private describe({ fingerprint, endings, alternatives }: Assessment): ListedRequest {
        const now = this.deps.clock.now();
        const crashed = endings.map(({ life }) => this.crashedCalls.get(`${life} ${fingerprint}`));
        const first = crashed.find(sighting => sighting !== undefined);
        return {
            fingerprint,
            quarantined: verdictOf(this.state, { fingerprint, parts: alternatives }, now, this.partContext).kind
                === "quarantined",
            alternatives,
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
     * const withheld = guard.withhold({ fingerprint, parts: [] });
     * if (withheld) refuse(withheld.code);
     * ```
     */
    withhold(request: RequestIdentity, asked: VerdictContext = {}): Withheld | undefined {
        const verdict = verdictOf(this.state, request, this.deps.clock.now(), { ...asked, ...this.partContext });
        const isPending = verdict.kind !== "onTrial"
            && this.suspectNames(request).some(name => this.mayBeCulprit(name));
        if (isPending) return withheldAsRequest(request.fingerprint, ENDINGS_TO_QUARANTINE, ENDING_SPREAD_MS);
        return WITHHELD_BY_VERDICT[verdict.kind](verdict as never);
    }

    /**
     * Whether crashes that are still under investigation may make a suspect a culprit. If these did not count, its requests would reach
     * the next endpoint before they are confirmed.
     */
    private mayBeCulprit(name: string): boolean {
        const probedEndpoints = new Set(this.unresolved.get(name)?.values()).size;
        const crashes = this.state.assessments.get(name)?.endings.length ?? 0;
        return probedEndpoints > 0 && crashes + probedEndpoints >= ENDINGS_TO_QUARANTINE;
    }

    /** What this host knows of parts, for verdicts. */
    private get partContext(): Pick<VerdictContext, "isProven" | "trialDelayMs"> {
        return { isProven: part => this.isProven(part), trialDelayMs: this.trialDelayMs };
    }

    /** Whether a request with a part was answered recently. */
    private isProven(part: string): boolean {
        return this.partAnswers.isProven(part, this.deps.clock.now());
    }

    /** The names under which a request may be a suspect: its fingerprint, and its parts that are not proven, or that are culprits. */
    private suspectNames({ fingerprint, parts }: RequestIdentity): readonly string[] {
        const isCulprit = (part: string): boolean => this.state.assessments.get(part)?.isCulprit === true;
        return [fingerprint, ...parts.filter(part => !this.isProven(part) || isCulprit(part))];
    }

    /**
     * Whether a request, or an unproven part of its prompt, ran at an endpoint that crashed or may have crashed. It is then sent where
     * little else runs.
     */
    isSuspect(request: RequestIdentity): boolean {
        return this.suspectsOf(request).size > 0;
    }

    private suspectsOf(request: RequestIdentity): ReadonlySet<string> {
        if (this.unresolved.size === 0 && this.state.assessments.size === 0) return NO_SUSPECTS;
        return new Set(this.suspectNames(request).filter(name => this.isHeldAgainst(name)));
    }

    /** Whether anything is held against a request, by its fingerprint, or against a part, by its name. */
    isHeldAgainst(name: string): boolean {
        return this.unresolved.has(name) || isSuspect(this.state, name);
    }

    /** Called when an attempt is being sent; returns the fingerprint and the parts of its request that are suspected. */
    attemptStarted(request: RequestIdentity, attempt: string): ReadonlySet<string> {
        const suspects = this.suspectsOf(request);
        if (suspects.size > 0) this.publishTrials(attempt, [...suspects], false);
        return suspects;
    }

    /** Called when an attempt is over, whatever its outcome. */
    attemptEnded(attempt: string): void {
        this.endTrials(attempt, () => true);
    }

    /** Called when an attempt was interrupted while it ran. */
    attemptInterrupted(endpoint: EndpointIncarnation, run: InterruptedRun): void {
        for (const name of suspectsIn(run)) {
            const runs = this.unresolved.get(name) ?? new Map<InterruptedRun, string>();
            this.unresolved.set(name, runs.set(run, endpoint.incarnation));
        }
        this.deps.investigate(endpoint, run);
    }

    /** Called when the answer of an attempt has begun: its endpoint has survived the parts of the prompt. */
    answerBegan({ parts }: RequestIdentity, attempt: string, software: string | undefined): void {
        const answer = { at: this.deps.clock.now(), parts };
        this.partAnswers.add(answer, software);
        this.applyControl(answer);
        for (const part of parts) {
            if (isSuspect(this.state, part)) this.clearAnsweredPart(part, software);
        }
        this.endTrials(attempt, name => parts.includes(name));
    }

    /** Records that an answer shows that the endpoints are sound, where parts are held to blame. */
    private applyControl(answer: PartAnswer): void {
        if (this.state.uncontrolled.length > 0) this.applyStep(controlParts(this.state, answer, this.deps.clock.now()));
    }

    private clearAnsweredPart(part: string, software: string | undefined): void {
        const charge = this.state.assessments.get(part);
        if (charge?.isCulprit) {
            this.deps.log.warn({ fingerprint: part, reason: "answered" }, "request_quarantine_lifted");
        }
        this.applyStep(clearPart(this.state, part, software, this.deps.clock.now()));
    }

    /** Called when an attempt completed. As its endpoint survived it, the request is cleared. */
    attemptCompleted(fingerprint: string): void {
        const now = this.deps.clock.now();
        this.completedAt.delete(fingerprint);
        this.completedAt.set(fingerprint, now);
        if (this.completedAt.size > MAX_COMPLETED) this.completedAt.delete(this.completedAt.keys().next().value!);
        if (isSuspect(this.state, fingerprint)) this.clear(fingerprint, "whole");
    }

    /** Drops all evidence against a request or a part. */
    clear(fingerprint: string, reason: "whole" | "operator"): void {
        const charge = this.state.assessments.get(fingerprint);
        if (charge && (charge.isCulprit || reason === "operator")) {
            this.deps.log.warn({ fingerprint, reason }, "request_quarantine_lifted");
        }
        // Otherwise the parts of the request would be held to blame for the same endings instead.
        const parts = charge && reason === "operator" ? this.partsExplainedBy(charge) : [];
        for (const name of [fingerprint, ...parts]) {
            this.applyStep(clearRequest(this.state, name, this.deps.clock.now()));
        }
    }

    /** Parts that were at no other endings than a suspect. */
    private partsExplainedBy({ endings }: Assessment): readonly string[] {
        const lives = new Set(endings.map(({ life }) => life));
        return [...this.state.assessments.values()]
            .filter(other => other.kind === SuspectKind.Part && other.endings.every(({ life }) => lives.has(life)))
            .map(other => other.fingerprint);
    }

    /** Called when an endpoint crashed while it ran calls of this host. */
    endpointCrashed({ endpoint, at, runs, sign }: EndpointCrash): void {
        this.removeUnresolved(runs);
        const { incarnation } = endpoint;
        this.deps.metrics.countEndpointEnd(sign);
        this.deps.log.warn({ endpoint: incarnation, sign, runs: runs.length }, "endpoint_ended_under_calls");
        for (const { req, fingerprint, parts, ranMs, wasAnswering, suspects } of runs) {
            this.deps.log.info({
                req,
                fingerprint,
                parts: parts.length > 0 ? parts.join(",") : undefined,
                endpoint: incarnation,
                ran_ms: Math.round(ranMs),
                answering: wasAnswering,
                suspect: suspects.size > 0,
            }, "call_at_ending");
        }
        const requests = runs.map(run => involvementOf(run, run.fingerprint));
        const parts = runs.flatMap(run => partsAtRisk(run).map(part => involvementOf(run, part)));
        const beganAt = at - Math.max(...runs.map(({ ranMs }) => ranMs));
        const life = nameOfEndedLife(this.state.endings, incarnation, beganAt);
        const ending = { life, agoMs: this.deps.clock.now() - at, software: endpoint.software, requests, parts };
        for (const run of runs) this.recordCrashedCall(life, run);
        this.applyStep(mergeNews(this.state, { endings: [ending], trials: [] }, this.deps.clock.now()));
        this.clearCompleted([ending]);
    }

    private recordCrashedCall(life: string, run: InterruptedRun): void {
        const { req, route, workspace } = run;
        for (const name of suspectsIn(run)) {
            this.crashedCalls.set(`${life} ${name}`, { req, route, workspace });
            if (this.crashedCalls.size > MAX_CALLS) this.crashedCalls.delete(this.crashedCalls.keys().next().value!);
        }
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
    recordRefusal(req: string, fingerprint: string, { code, detail, by }: Withheld): void {
        this.deps.metrics.countWithheld(code);
        const now = this.deps.clock.now();
        const reason = by ?? fingerprint;
        if (now - (this.refusalLoggedAt.get(reason) ?? -Infinity) < REFUSAL_LOG_MS) return;
        this.refusalLoggedAt.set(reason, now);
        this.deps.log.info({ req, fingerprint, by, outcome: code, detail }, "call_withheld");
    }

    /** Clears requests that completed here, and parts that were answered here, after the crashes that are reported only now. */
    private clearCompleted(endings: readonly EndingNews[]): void {
        const now = this.deps.clock.now();
        for (const { agoMs, requests, parts = [] } of endings) {
            const crashedAt = now - agoMs;
            const isLater = (at: number | undefined): boolean => at !== undefined && at >= crashedAt;
            for (const { fingerprint, cleared } of requests) {
                if (!cleared && isLater(this.completedAt.get(fingerprint))) this.clear(fingerprint, "whole");
            }
            for (const { fingerprint: part, cleared } of parts) {
                const answer = this.partAnswers.lastTo(part);
                if (!cleared && isLater(answer?.at)) this.clearAnsweredPart(part, answer!.software);
            }
        }
    }

    private removeUnresolved(runs: readonly InterruptedRun[]): void {
        for (const run of runs) {
            for (const name of suspectsIn(run)) {
                const known = this.unresolved.get(name);
                if (known?.delete(run) && known.size === 0) this.unresolved.delete(name);
            }
        }
    }

    private publishTrials(attempt: string, names: readonly string[], isOver: boolean): void {
        const trials = names.map(fingerprint => ({ attempt, fingerprint, agoMs: 0, isOver }));
        this.applyStep(mergeNews(this.state, { endings: [], trials }, this.deps.clock.now()));
    }

    /** Ends the trials of an attempt, of those suspects that `isEnded` names. */
    private endTrials(attempt: string, isEnded: (name: string) => boolean): void {
        const running = [...this.state.trials.values()].filter(trial =>
            trial.attempt === attempt && !trial.isOver && isEnded(trial.fingerprint)
        );
        if (running.length > 0) this.publishTrials(attempt, running.map(({ fingerprint }) => fingerprint), true);
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
        for (const answer of state.uncontrolled.length > 0 ? this.partAnswers.recent : []) this.applyControl(answer);
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
        this.partAnswers.dropExpired(now);
    }
}

const NO_SUSPECTS: ReadonlySet<string> = new Set();

/** The parts of a run's prompt that may have crashed its endpoint. */
function partsAtRisk({ parts, wasAnswering }: InterruptedRun): readonly string[] {
    return wasAnswering ? [] : parts;
}

/** What may be to blame if the endpoint of a run crashed. */
function suspectsIn(run: InterruptedRun): readonly string[] {
    return [run.fingerprint, ...partsAtRisk(run)];
}

function involvementOf({ ranMs, suspects }: InterruptedRun, fingerprint: string): RequestNews {
    return { fingerprint, ranMs: Math.round(ranMs), wasSuspect: suspects.has(fingerprint), cleared: false };
}

function withheldAsRequest(by: string, endings: number, evidencePendingMs: number): Withheld {
    const detail = `this request was running at ${endings} endpoints when they ended; do not send it again`;
    return { code: FailCode.Quarantined, detail, by, evidencePendingMs };
}

function withheldAsPart(by: string, endings: number, evidencePendingMs: number): Withheld {
    const detail = `requests with ${by} were running at ${endings} endpoints when they ended, and are withheld for now`;
    return { code: FailCode.Quarantined, detail, by, evidencePendingMs };
}

const WITHHELD_BY_SUSPECT: {
    readonly [K in SuspectKind]: (by: string, endings: number, evidencePendingMs: number) => Withheld;
} = {
    [SuspectKind.Request]: withheldAsRequest,
    [SuspectKind.Part]: withheldAsPart,
};

const WITHHELD_BY_VERDICT: {
    readonly [K in Verdict["kind"]]: (verdict: Extract<Verdict, { kind: K }>) => Withheld | undefined;
} = {
    free: () => undefined,
    suspect: () => undefined,
    onTrial: ({ trialEndsInMs }) => ({
        code: FailCode.OnTrial,
        detail: "this request, or one like it, was running at an endpoint when that ended, and runs once more now",
        retryAfterMs: trialEndsInMs,
    }),
    quarantined: ({ by, suspectKind, endings, evidencePendingMs }) =>
        WITHHELD_BY_SUSPECT[suspectKind](by, endings, evidencePendingMs),
};
