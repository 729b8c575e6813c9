/**
 * Simulates random days, on a virtual clock, on which some requests crash the endpoints that run them. Each host
 * decides with the modules that daemons use, and learns of crashes that other hosts saw from messages that are delayed
 * or lost.
 *
 * @module
 */
import {
    allEndingNews,
    clearPart,
    clearRequest,
    controlParts,
    EMPTY_QUARANTINE,
    isSuspect,
    mergeNews,
    type Quarantine,
    type QuarantineNews,
    type QuarantineStep,
    type RequestNews,
    verdictOf,
} from "@drumpaddle/hall";
import TinyQueue from "tinyqueue";
import { type RandomGenerator, uniformFloat64, xoroshiro128plus } from "./random.js";

/** Configuration of a simulated day. */
export interface QuarantineDayCfg {
    readonly seed: number;
    readonly hosts: number;
    readonly endpoints: number;
    readonly seconds: number;
    /** Number of requests that crash each endpoint that runs them. Their callers resend them all day. */
    readonly fatalRequests: number;
    /** Number of parts of prompts that crash each endpoint that begins to answer a request with them; each comes all day. */
    readonly badParts: number;
    /** Whether each bad part always comes with a sound part that some harmless requests hold. */
    readonly hasCompanions: boolean;
    /** Whether hosts quarantine requests. */
    readonly isQuarantineOn: boolean;
    /** How hosts judge parts of prompts. */
    readonly partRules: PartRules;
    /** Number of endpoints, and of racks with several endpoints each, that crash during the day for other reasons. */
    readonly crashes: number;
    readonly rackFailures: number;
}

/** How hosts judge parts of prompts. */
export interface PartRules {
    /** Whether endings are held against parts. */
    readonly areJudged: boolean;
    /** Whether endings are held against the parts of requests that were being answered, too. */
    readonly chargesAnswering: boolean;
    /** Whether a part is cleared by the first event of an answer, or only by the answer's end. */
    readonly clearsAtFirstEvent: boolean;
    /** Whether a suspected part that was answered recently may run at many endpoints at once. */
    readonly trustsProven: boolean;
}

/** The rules of the daemons. */
export const PART_RULES: PartRules = {
    areJudged: true,
    chargesAnswering: false,
    clearsAtFirstEvent: true,
    trustsProven: true,
};

/** Counts of a simulated day. A request is harmless if it crashes no endpoint. */
export interface QuarantineResult {
    /** Endpoint crashes that fatal requests caused. */
    readonly crashesByFatal: number;
    readonly harmlessRequests: number;
    /** Harmless streams that were lost in an endpoint's crash. */
    readonly lostStreams: number;
    /** Harmless requests that were refused as quarantined. */
    readonly harmlessQuarantined: number;
    /** Harmless requests that were told to retry later, because one with the same fingerprint was on trial. */
    readonly harmlessDeferred: number;
    /** For each fatal request that caused three crashes: time until every host quarantined it, in ms; NaN for never. */
    readonly propagationMs: readonly number[];
    /** Runs of fatal requests that started after their third crash. */
    readonly runsAfterThreshold: number;
    /** Endpoint crashes that bad parts caused, and requests with them that started 3 s after the fifth crash or later. */
    readonly crashesByParts: number;
    readonly latePartRuns: number;
}

/** Number of requests that an endpoint runs at once, as the users' engines do. */
const SLOTS_PER_ENDPOINT = 24;
/** Mean share of slots in use. */
const UTILIZATION = 0.5;
const MEAN_STREAM_MS = 5_000;
const MEAN_LOOKUP_MS = 200;
/**
 * Share of harmless requests that share a fingerprint, such as lookups without a body, and the number of such
 * fingerprints.
 */
const LOOKUP_SHARE = 0.2;
const LOOKUP_KINDS = 5;
/** Share of streams of which another endpoint holds a copy, so that they continue there after a crash. */
const REPLICATED_SHARE = 0.7;
/** A fatal request crashes its endpoint within this time. */
const MAX_CRASH_DELAY_MS = 500;
/** Mean time after which its caller resends a fatal request. */
const MEAN_RESEND_MS = 1_200;
const RESTART_MS = 3_000;
const RACK_SIZE = 4;
/** Time from a crash until the hosts with requests at the endpoint detect it. */
const CRASH_DETECTION_MS = 5;
/** Range of the delay of messages between hosts. */
const MESSAGE_DELAY_MS = [1, 8] as const;
const MESSAGE_LOSS = 0.01;
const FANOUT = 6;
const SYNC_INTERVAL_MS = 500;
/** Number of crashes after which a request is to be quarantined. */
const THRESHOLD = 3;

/** Number of first parts, one of which each harmless stream holds, and of parts that some hold, by a skewed law. */
const FIRST_PARTS = 3;
const MIDDLE_PARTS = 200;
const SKEW = 2;
/** Mean time from the start of a harmless stream until its first event. */
const MEAN_FIRST_EVENT_MS = 400;
/** Mean time between two requests with a bad part. */
const MEAN_BAD_PART_GAP_MS = 400;
/** Crashes after which no more requests with a bad part are to start, once hosts had time to learn of them. */
const PART_CRASHES = 5;
const CONTACT_MS = 3_000;
/** How long an answer shows that a part is sound. */
const PROVEN_MS = 10_000;
/** Hosts try a part again at different times. */
const MAX_TRIAL_DELAY_MS = 500;

interface Run {
    readonly fingerprint: string;
    readonly parts: readonly string[];
    readonly badPart: string | undefined;
    hasAnswered: boolean;
    readonly suspects: ReadonlySet<string>;
    readonly attempt: string;
    readonly host: Host;
    readonly startedAt: number;
    readonly endsAt: number;
    readonly isFatal: boolean;
}

/** A request to run. */
interface SimulatedRequest {
    readonly host: Host;
    readonly fingerprint: string;
    readonly parts: readonly string[];
    /** The part that crashes its endpoint, if it has one. */
    readonly badPart?: string | undefined;
    readonly ms: number;
    readonly isFatal: boolean;
    /** Whether it continues from its copy after a crash. */
    readonly isContinuation?: boolean;
}

interface Endpoint {
    incarnation: string;
    isUp: boolean;
    readonly runs: Set<Run>;
}

interface Host {
    state: Quarantine;
    readonly answeredAt: Map<string, number>;
    readonly trialDelayMs: number;
}

interface TimedEvent {
    readonly at: number;
    readonly run: () => void;
}

/** Simulates a day. The same configuration gives the same result. */
export function simulateQuarantineDay(day: QuarantineDayCfg): QuarantineResult {
    return new DaySimulation(day).run();
}

/** State of a simulated day. */
class DaySimulation {
    private now = 0;
    private readonly random: RandomGenerator;
    private readonly queue = new TinyQueue<TimedEvent>([], (a, b) => a.at - b.at);
    private readonly hosts: readonly Host[];
    private readonly endpoints: readonly Endpoint[];
    private incarnationCount = 0;
    private attemptCount = 0;
    private readonly crashCounts = new Map<string, number>();
    private readonly thresholdReachedAt = new Map<string, number>();
    private readonly quarantinedEverywhereAt = new Map<string, number>();
    private readonly counts = {
        crashesByFatal: 0,
        harmlessRequests: 0,
        lostStreams: 0,
        harmlessQuarantined: 0,
        harmlessDeferred: 0,
        runsAfterThreshold: 0,
        crashesByParts: 0,
        latePartRuns: 0,
    };
    private readonly partCrashes = new Map<string, number[]>();

    constructor(private readonly day: QuarantineDayCfg) {
        this.random = xoroshiro128plus(day.seed);
        this.hosts = Array.from({ length: day.hosts }, () => ({
            state: EMPTY_QUARANTINE,
            answeredAt: new Map(),
            trialDelayMs: this.uniform(0, MAX_TRIAL_DELAY_MS),
        }));
        this.endpoints = Array.from({ length: day.endpoints }, () => this.newEndpoint());
    }

    run(): QuarantineResult {
        const { seconds, fatalRequests, badParts, crashes, rackFailures } = this.day;
        const end = seconds * 1_000;
        for (let i = 0; i < fatalRequests; i++) this.scheduleFatalRequest(`guilty-${i}`);
        for (let i = 0; i < badParts; i++) this.scheduleBadPart(`part:m:bad-${i}`, 0);
        for (let i = 0; i < crashes; i++) this.schedule(this.uniform(0, end), () => this.crashUpTo(1));
        for (let i = 0; i < rackFailures; i++) this.schedule(this.uniform(0, end), () => this.crashUpTo(RACK_SIZE));
        this.handleHarmlessArrival();
        for (const host of this.hosts) this.schedule(this.uniform(0, SYNC_INTERVAL_MS), () => this.syncWithPeer(host));
        for (let next = this.queue.pop(); next && next.at < end; next = this.queue.pop()) {
            this.now = next.at;
            next.run();
        }
        return {
            ...this.counts,
            propagationMs: [...this.thresholdReachedAt].flatMap(([name, at]) =>
                (this.quarantinedEverywhereAt.get(name) ?? NaN) - at
            ),
        };
    }

    private newEndpoint(): Endpoint {
        this.incarnationCount += 1;
        return { incarnation: `e${this.incarnationCount}`, isUp: true, runs: new Set() };
    }

    private schedule(ms: number, run: () => void): void {
        this.queue.push({ at: this.now + ms, run });
    }

    private uniform(min: number, max: number): number {
        return min + (max - min) * uniformFloat64(this.random);
    }

    private exponential(mean: number): number {
        return -Math.log(1 - uniformFloat64(this.random)) * mean;
    }

    private pick<T>(list: readonly T[]): T {
        return list[Math.floor(uniformFloat64(this.random) * list.length)]!;
    }

    private handleHarmlessArrival(): void {
        const isLookup = uniformFloat64(this.random) < LOOKUP_SHARE;
        const fingerprint = isLookup
            ? `alike-${Math.floor(this.uniform(0, LOOKUP_KINDS))}`
            : `own-${this.counts.harmlessRequests}`;
        this.counts.harmlessRequests += 1;
        this.handleRequest({
            host: this.pick(this.hosts),
            fingerprint,
            parts: isLookup ? [] : this.drawParts(),
            ms: this.exponential(isLookup ? MEAN_LOOKUP_MS : MEAN_STREAM_MS),
            isFatal: false,
        });
        const arrivalsPerMs = this.day.endpoints * SLOTS_PER_ENDPOINT * UTILIZATION / MEAN_STREAM_MS;
        this.schedule(this.exponential(1 / arrivalsPerMs), () => this.handleHarmlessArrival());
    }

    /** Draws the parts of a stream: a first one that many share, and one whose popularity follows a skewed law. */
    private drawParts(): readonly string[] {
        const middle = Math.floor(MIDDLE_PARTS * uniformFloat64(this.random) ** SKEW);
        return [`part:m:first-${Math.floor(this.uniform(0, FIRST_PARTS))}`, `part:m:middle-${middle}`];
    }

    private scheduleFatalRequest(fingerprint: string): void {
        this.schedule(this.exponential(MEAN_RESEND_MS), () => {
            this.handleRequest({ host: this.pick(this.hosts), fingerprint, parts: [], ms: Infinity, isFatal: true });
            this.scheduleFatalRequest(fingerprint);
        });
    }

    private scheduleBadPart(badPart: string, sent: number): void {
        this.schedule(this.exponential(MEAN_BAD_PART_GAP_MS), () => {
            const [first, middle] = this.drawParts();
            const companion = this.day.hasCompanions ? `part:m:middle-${Number(badPart.split("-")[1])}` : middle!;
            const parts = [first!, badPart, companion];
            const fingerprint = `${badPart}-${sent}`;
            const host = this.pick(this.hosts);
            this.handleRequest({ host, fingerprint, parts, badPart, ms: Infinity, isFatal: true });
            this.scheduleBadPart(badPart, sent + 1);
        });
    }

    private isProven(host: Host, part: string): boolean {
        return this.day.partRules.trustsProven && this.now - (host.answeredAt.get(part) ?? -Infinity) < PROVEN_MS;
    }

    private judgedParts(parts: readonly string[]): readonly string[] {
        return this.day.partRules.areJudged ? parts : [];
    }

    private handleRequest(request: SimulatedRequest): void {
        const { host, fingerprint, isFatal } = request;
        const parts = this.judgedParts(request.parts);
        const verdict = verdictOf(host.state, { fingerprint, parts }, this.now, {
            isProven: part => this.isProven(host, part),
            trialDelayMs: host.trialDelayMs,
        });
        if (this.day.isQuarantineOn && verdict.kind === "quarantined") {
            if (verdict.evidencePendingMs > 0) {
                this.schedule(verdict.evidencePendingMs, () => this.handleRequest(request));
                return;
            }
            if (!isFatal) this.counts.harmlessQuarantined += 1;
            return;
        }
        if (this.day.isQuarantineOn && verdict.kind === "onTrial") {
            if (!isFatal) this.counts.harmlessDeferred += 1;
            return;
        }
        const suspects = new Set(
            [fingerprint, ...parts].filter(name => isSuspect(host.state, name) && !this.isProven(host, name)),
        );
        const up = this.endpoints.filter(({ isUp }) => isUp);
        if (up.length === 0) return;
        // A stream continues at the endpoint with its copy, which was chosen before the request became suspect.
        const endpoint = suspects.size > 0 && !request.isContinuation
            ? up.reduce((a, b) => b.runs.size < a.runs.size ? b : a)
            : this.pick(up);
        this.startRun(endpoint, request, suspects);
    }

    private startRun(endpoint: Endpoint, request: SimulatedRequest, suspects: ReadonlySet<string>): void {
        const { host, fingerprint, parts, badPart, ms, isFatal } = request;
        this.attemptCount += 1;
        const attempt = `r${this.attemptCount}`;
        const { now: startedAt } = this;
        const run: Run = {
            fingerprint,
            parts,
            badPart,
            hasAnswered: false,
            suspects,
            attempt,
            host,
            startedAt,
            endsAt: startedAt + ms,
            isFatal,
        };
        endpoint.runs.add(run);
        this.recordTrials(run, [...suspects], false);
        if (isFatal && !badPart && (this.crashCounts.get(fingerprint) ?? 0) >= THRESHOLD) {
            this.counts.runsAfterThreshold += 1;
        }
        const fifthCrash = this.partCrashes.get(badPart ?? "")?.[PART_CRASHES - 1];
        if (fifthCrash !== undefined && startedAt > fifthCrash + CONTACT_MS) this.counts.latePartRuns += 1;
        const { incarnation } = endpoint;
        if (isFatal) {
            this.schedule(this.uniform(0, MAX_CRASH_DELAY_MS), () => this.failRun(endpoint, incarnation, run));
            return;
        }
        const firstEventMs = Math.min(ms, this.exponential(MEAN_FIRST_EVENT_MS));
        this.schedule(firstEventMs, () => this.answerRun(endpoint, run));
        this.schedule(ms, () => this.finishRun(endpoint, run));
    }

    /** Handles the first event of an answer. */
    private answerRun(endpoint: Endpoint, run: Run): void {
        if (!endpoint.runs.has(run)) return;
        run.hasAnswered = true;
        if (this.day.partRules.clearsAtFirstEvent) this.clearParts(run);
    }

    private clearParts(run: Run): void {
        const { host } = run;
        const parts = this.judgedParts(run.parts);
        for (const part of parts) {
            host.answeredAt.set(part, this.now);
            if (isSuspect(host.state, part)) this.applyStep(host, clearPart(host.state, part, undefined, this.now));
        }
        this.applyStep(host, controlParts(host.state, { at: this.now, parts }, this.now));
        this.recordTrials(run, parts.filter(part => run.suspects.has(part)), true);
    }

    /** Crashes the endpoint of a fatal request, unless it has restarted since the request began. */
    private failRun(endpoint: Endpoint, incarnation: string, { fingerprint, badPart }: Run): void {
        if (endpoint.incarnation !== incarnation || !endpoint.isUp) return;
        if (badPart) {
            this.counts.crashesByParts += 1;
            this.partCrashes.set(badPart, [...this.partCrashes.get(badPart) ?? [], this.now]);
            return this.crashEndpoint(endpoint);
        }
        const crashes = (this.crashCounts.get(fingerprint) ?? 0) + 1;
        this.crashCounts.set(fingerprint, crashes);
        if (crashes === THRESHOLD) this.thresholdReachedAt.set(fingerprint, this.now);
        this.counts.crashesByFatal += 1;
        this.crashEndpoint(endpoint);
    }

    private finishRun(endpoint: Endpoint, run: Run): void {
        if (!endpoint.runs.delete(run)) return;
        this.recordTrials(run, [...run.suspects], true);
        if (!this.day.partRules.clearsAtFirstEvent) this.clearParts(run);
        if (isSuspect(run.host.state, run.fingerprint)) {
            this.applyStep(run.host, clearRequest(run.host.state, run.fingerprint, this.now));
        }
    }

    private crashUpTo(count: number): void {
        const up = this.endpoints.filter(({ isUp }) => isUp);
        for (const endpoint of up.slice(0, count)) this.crashEndpoint(endpoint);
    }

    /** Crashes an endpoint with all its runs. The hosts of the runs detect it after a delay. */
    private crashEndpoint(endpoint: Endpoint): void {
        const { incarnation } = endpoint;
        const runs = [...endpoint.runs];
        endpoint.isUp = false;
        endpoint.runs.clear();
        this.schedule(RESTART_MS, () => Object.assign(endpoint, this.newEndpoint(), { runs: endpoint.runs }));
        const crashedAt = this.now;
        for (const host of new Set(runs.map(({ host }) => host))) {
            const runsOfHost = runs.filter(run => run.host === host);
            this.schedule(CRASH_DETECTION_MS, () => {
                this.recordCrash(host, incarnation, crashedAt, runsOfHost);
                for (const run of runsOfHost) this.continueElsewhere(run);
            });
        }
    }

    private recordCrash(host: Host, incarnation: string, crashedAt: number, runs: readonly Run[]): void {
        const involvementOf = ({ startedAt, suspects }: Run, fingerprint: string): RequestNews => ({
            fingerprint,
            ranMs: crashedAt - startedAt,
            wasSuspect: suspects.has(fingerprint),
            cleared: false,
        });
        const { chargesAnswering } = this.day.partRules;
        const requests = runs.map(run => involvementOf(run, run.fingerprint));
        const parts = runs.filter(({ hasAnswered }) => chargesAnswering || !hasAnswered)
            .flatMap(run => this.judgedParts(run.parts).map(part => involvementOf(run, part)));
        const endings = [{ life: incarnation, agoMs: this.now - crashedAt, requests, parts }];
        for (const run of runs) this.recordTrials(run, [...run.suspects], true);
        this.applyStep(host, mergeNews(host.state, { endings, trials: [] }, this.now));
    }

    private continueElsewhere({ host, fingerprint, parts, badPart, endsAt, isFatal }: Run): void {
        const ms = Math.max(0, endsAt - this.now);
        if (uniformFloat64(this.random) < REPLICATED_SHARE) {
            this.handleRequest({ host, fingerprint, parts, badPart, ms, isFatal, isContinuation: true });
        }
        else if (!isFatal) this.counts.lostStreams += 1;
    }

    private recordTrials({ host, attempt }: Run, names: readonly string[], isOver: boolean): void {
        if (names.length === 0) return;
        const trials = names.map(fingerprint => ({ attempt, fingerprint, agoMs: 0, isOver }));
        this.applyStep(host, mergeNews(host.state, { endings: [], trials }, this.now));
    }

    private applyStep(host: Host, { state, news }: QuarantineStep): void {
        host.state = state;
        if (!this.day.isQuarantineOn || !news) return;
        this.recordPropagation();
        for (let sent = 0; sent < FANOUT && this.hosts.length > 1; sent++) this.sendNews(this.pick(this.hosts), news);
    }

    private sendNews(to: Host, news: QuarantineNews): void {
        if (uniformFloat64(this.random) < MESSAGE_LOSS) return;
        const sentAt = this.now;
        this.schedule(this.uniform(...MESSAGE_DELAY_MS), () => {
            // The ages in the message are those at sending: the receiver does not know the delay.
            this.applyStep(to, mergeNews(to.state, news, Math.max(sentAt, this.now)));
        });
    }

    private syncWithPeer(host: Host): void {
        const other = this.pick(this.hosts);
        if (host.state.digest !== other.state.digest) {
            this.sendNews(other, allEndingNews(host.state, this.now));
            this.sendNews(host, allEndingNews(other.state, this.now));
        }
        this.schedule(SYNC_INTERVAL_MS, () => this.syncWithPeer(host));
    }

    /** Records the time for each fatal request that all hosts have quarantined by now. */
    private recordPropagation(): void {
        for (const name of this.thresholdReachedAt.keys()) {
            if (this.quarantinedEverywhereAt.has(name)) continue;
            const isQuarantinedEverywhere = this.hosts.every(({ state }) =>
                verdictOf(state, { fingerprint: name, parts: [] }, this.now).kind === "quarantined"
            );
            if (isQuarantinedEverywhere) this.quarantinedEverywhereAt.set(name, this.now);
        }
    }
}
