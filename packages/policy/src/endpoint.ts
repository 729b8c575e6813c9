/**
 * One host's view of one endpoint, as an immutable value: its own streams there, what other hosts hold, the fitted
 * pace, cached prefixes, and who reports that the endpoint is leaving.
 *
 * @module
 */
import { type Breaker, CLOSED } from "./breaker.js";
import type { Job } from "./job.js";
import type { Survival } from "./length-estimate.js";
import { addCurve, HORIZON_TOKENS, type MemoryCurve, streamCurve, zeroCurve } from "./memory-curve.js";
import { createPace, type PaceFit } from "./pace.js";
import { type SpeedEvidence, UNKNOWN_SPEED } from "./speed-estimate.js";
import { NO_SPEED_SUMS, type SpeedSums } from "./speed-samples.js";

/**
 * Sources that may report that an endpoint is leaving; each can take back only its own report. `endpoint`: it said so
 * when it was asked. `answer`: it said so in an answer to a request, which holds for its life. `address`: another
 * endpoint answers at its address and will continue to.
 */
export type LeavingSource = "settings" | "hostList" | "registry" | "endpoint" | "answer" | "address";

/** Declaration of an endpoint. */
export interface EndpointCfg {
    readonly id: string;
    readonly hall: string;
    readonly models: readonly string[];
    /** Capacity of its KV cache. */
    readonly memoryTokens: number;
    /** Whether the operator has evacuated its hall: it gets nothing new, and what runs there runs on. */
    readonly isEvacuated?: boolean | undefined;
    /** Requests that it runs at once; undefined if it does not declare that. */
    readonly places?: number | undefined;
    /** Its bound while it is cold; undefined if none is declared. */
    readonly cold?: ColdCfg | undefined;
}

/** Declared bound of a cold endpoint. */
export interface ColdCfg {
    /** When it is warm; -Infinity if it is not cold. */
    readonly until: number;
    /** Requests that all hosts together may send to it in any second. */
    readonly perS: number;
}

/** One of this host's streams at an endpoint. */
export interface RunningStream {
    readonly job: Job;
    readonly survival: Survival;
    readonly produced: number;
    readonly dispatchedAt: number;
    /** Prompt tokens that the endpoint still had to prefill when the stream was sent there, its own included. */
    readonly prefillAhead: number;
    readonly started: boolean;
    /** Whether it has just continued from a copy: the pause until the next progress says nothing about its endpoint. */
    readonly resumedFromCopy?: boolean;
    readonly curve: MemoryCurve;
}

/** A load report of an endpoint. It was made at `at` on this host's clock and may be seconds old. */
export interface LoadReport {
    readonly at: number;
    readonly running: number;
    readonly waiting: number;
    /** Tokens held in its KV cache. */
    readonly memoryUsed: number;
}

/** A stream that ended recently, kept until no load report can count it any more. */
interface RecentlyEnded {
    readonly dispatchedAt: number;
    readonly endedAt: number;
    readonly held: number;
}

/** What other hosts hold at an endpoint. */
export interface OthersLoad {
    readonly streams: number;
    /** Prompt tokens of streams that have not started, which a new stream's prefill must wait for. */
    readonly unread: number;
    /** Streams that have waited for their first token for longer than their objective. */
    readonly stalled: number;
    readonly curve: MemoryCurve;
}

/** The limit that an endpoint last announced, in an answer to any host. */
export interface AnnouncedLimit {
    /** Requests per second that it takes from all hosts together; undefined if it announces no limit. */
    readonly limitPerS: number | undefined;
    /** It fails if it turns away more requests than this in a second for want of room; undefined if it announces no such bound. */
    readonly maxRejectsPerS?: number | undefined;
    /** When it announced this, in milliseconds on the scheduler's clock. */
    readonly at: number;
}

/** An announced limit with the time since which this host knows it. */
export interface KnownLimit extends AnnouncedLimit {
    /** When this host first heard the limit that is known now. */
    readonly since: number;
}

/** One endpoint as this host knows it. */
export interface EndpointView {
    readonly cfg: EndpointCfg;
    readonly since: number;
    readonly leavingBy: readonly LeavingSource[];
    /** When it was first known to be leaving or no longer declared; undefined while it stays. */
    readonly closingSince: number | undefined;
    readonly streams: ReadonlyMap<string, RunningStream>;
    /** Copies that it keeps of this host's streams at other endpoints: they use memory but no compute. */
    readonly backups: ReadonlyMap<string, RunningStream>;
    /** Projected memory of this host's streams and backups. */
    readonly curve: MemoryCurve;
    readonly others: OthersLoad;
    /** When its owner last sent what others hold; undefined before that. */
    readonly othersReceivedAt: number | undefined;
    readonly pace: PaceFit;
    /** Evidence of its speed from the streams of all hosts, as far as this host knows it. */
    readonly speed: SpeedEvidence;
    /** Sums of the speed samples of this host's own streams. */
    readonly ownSpeedSums: SpeedSums;
    readonly breaker: Breaker;
    /** Whether it can probably not be reached from this host; it is then tried only if nothing else is left. */
    readonly isInDoubt: boolean;
    readonly recentlyEnded: readonly RecentlyEnded[];
    /** Prompt prefixes that the endpoint has probably cached, with their tokens, least recently used first. */
    readonly prefixes: ReadonlyMap<string, number>;
    /** The limit that it announced; undefined before it announced anything. */
    readonly announcedLimit: KnownLimit | undefined;
    /** Mean time that it takes for a request of this host; undefined if none has ended yet. */
    readonly serviceMs: number | undefined;
    /** When it last refused a request of this host; undefined if it never did. */
    readonly rejectedAt: number | undefined;
    /** Until when it asked this host for rest, in milliseconds on the scheduler's clock; undefined if it never did. */
    readonly restUntil: number | undefined;
    /**
     * Until when it may be a restarted endpoint rather than the known one, and counts as cold; undefined if nothing
     * suggests that.
     */
    readonly restartDoubtUntil: number | undefined;
}

const NO_OTHERS: OthersLoad = { streams: 0, unread: 0, stalled: 0, curve: zeroCurve() };
/** Maximum age of a load report: the reports of the users' endpoints lag by 0.5 to 5 s. */
const MAX_REPORT_LAG_MS = 6_000;
const MAX_PREFIXES = 64;
/** Growth assumed for other hosts' streams while there are too few own streams to extrapolate from. */
const ASSUMED_GROWTH = 1.1;
const MIN_STREAMS_FOR_GROWTH = 4;
const GROWTH_BOUNDS = [0.1, 1.6] as const;

/** Creates the view of a newly declared endpoint. */
export function createEndpoint(cfg: EndpointCfg, now: number): EndpointView {
    return {
        cfg,
        since: now,
        leavingBy: [],
        closingSince: undefined,
        streams: new Map(),
        backups: new Map(),
        curve: zeroCurve(),
        others: NO_OTHERS,
        othersReceivedAt: undefined,
        pace: createPace(),
        speed: UNKNOWN_SPEED,
        ownSpeedSums: NO_SPEED_SUMS,
        breaker: CLOSED,
        isInDoubt: false,
        recentlyEnded: [],
        prefixes: new Map(),
        announcedLimit: undefined,
        serviceMs: undefined,
        rejectedAt: undefined,
        restUntil: undefined,
        restartDoubtUntil: undefined,
    };
}

/** Prompt tokens of this host's streams that have not started. */
export function ownPendingPrefill(view: EndpointView): number {
    let unread = 0;
    for (const { started, job } of view.streams.values()) if (!started) unread += job.promptTokens;
    return unread;
}

/** Prompt tokens that an endpoint still has to prefill, as far as this host knows. */
export function pendingPrefill(view: EndpointView): number {
    return ownPendingPrefill(view) + view.others.unread;
}

/**
 * Number of this host's streams that have waited for their first token for longer than their objective: a sign that the
 * endpoint hangs.
 */
export function stalledStreams(view: EndpointView, now: number): number {
    let stalled = 0;
    for (const { started, dispatchedAt, job } of view.streams.values()) {
        if (!started && now - dispatchedAt > job.policy.objectiveMs) stalled += 1;
    }
    return stalled;
}

/** Number of streams at an endpoint, of this and other hosts. */
export function streamCount(view: EndpointView): number {
    return view.streams.size + view.others.streams;
}

/**
 * Adds a stream.
 *
 * @param unread Prompt tokens that the endpoint still had to prefill before; by default what this host knows.
 *
 * @example
 * ```ts
 * addStream(view, job, lengths, now).streams.size;
 * ```
 */
export function addStream(
    view: EndpointView,
    job: Job,
    survival: Survival,
    now: number,
    unread = pendingPrefill(view),
): EndpointView {
    const curve = streamCurve(survival, job.promptTokens, 0);
    const prefillAhead = unread + job.promptTokens;
    const running: RunningStream = {
        job,
        survival,
        produced: 0,
        dispatchedAt: now,
        prefillAhead,
        started: false,
        curve,
    };
    return {
        ...view,
        streams: new Map(view.streams).set(job.id, running),
        curve: addCurve(view.curve, curve, 1),
        prefixes: job.prefix === "" ? view.prefixes : touchPrefix(view.prefixes, job),
    };
}

function touchPrefix(prefixes: ReadonlyMap<string, number>, job: Job): ReadonlyMap<string, number> {
    const next = new Map(prefixes);
    next.delete(job.prefix);
    next.set(job.prefix, job.prefixTokens);
    const oldest = next.keys().next().value;
    if (next.size > MAX_PREFIXES && oldest !== undefined) next.delete(oldest);
    return next;
}

/** Adds the copy of a stream that runs elsewhere. */
export function addBackup(view: EndpointView, running: RunningStream): EndpointView {
    const curve = addCurve(view.curve, running.curve, 1);
    return { ...view, backups: new Map(view.backups).set(running.job.id, running), curve };
}

/** Removes a copy. */
export function removeBackup(view: EndpointView, id: string): EndpointView {
    const running = view.backups.get(id);
    if (!running) return view;
    const backups = new Map(view.backups);
    backups.delete(id);
    return { ...view, backups, curve: addCurve(view.curve, running.curve, -1) };
}

/** Turns a copy into a running stream. */
export function promoteBackup(view: EndpointView, id: string): EndpointView {
    const running = view.backups.get(id);
    if (!running) return view;
    const backups = new Map(view.backups);
    backups.delete(id);
    return { ...view, backups, streams: new Map(view.streams).set(id, { ...running, resumedFromCopy: true }) };
}

/** Advances a stream, or the copy of one, to `produced` tokens. */
export function advanceStream(view: EndpointView, id: string, produced: number, survival: Survival): EndpointView {
    const held = view.streams.has(id) ? "streams" : "backups";
    const running = view[held].get(id);
    if (!running) return view;
    const curve = streamCurve(survival, running.job.promptTokens + produced, produced);
    const next: RunningStream = { ...running, produced, survival, curve, started: true, resumedFromCopy: false };
    return {
        ...view,
        [held]: new Map(view[held]).set(id, next),
        curve: addCurve(addCurve(view.curve, running.curve, -1), curve, 1),
    };
}

/** Removes a stream, however it ended. */
export function removeStream(view: EndpointView, id: string, now: number): EndpointView {
    const running = view.streams.get(id);
    if (!running) return view;
    const streams = new Map(view.streams);
    streams.delete(id);
    const ended: RecentlyEnded = {
        dispatchedAt: running.dispatchedAt,
        endedAt: now,
        held: running.job.promptTokens + running.produced,
    };
    const kept = view.recentlyEnded.filter(old => now - old.endedAt < MAX_REPORT_LAG_MS);
    // Once no stream or copy is left the sum is reset to zero, so that rounding errors do not accumulate over days.
    const curve = streams.size + view.backups.size === 0 ? zeroCurve() : addCurve(view.curve, running.curve, -1);
    return { ...view, streams, curve, recentlyEnded: [...kept, ended] };
}

/**
 * Applies a load report: what it counts beyond this host's own streams at the time of the report is held by other
 * hosts. Without lag correction, own streams are counted as they are now.
 *
 * @example
 * ```ts
 * applyReport(view, { at: now - 800, running: 12, waiting: 0, memoryUsed: 30_000 }, true).others.streams;
 * ```
 */
export function applyReport(view: EndpointView, report: LoadReport, lagCorrection: boolean): EndpointView {
    let ownStreams = 0;
    let ownHeld = 0;
    for (const stream of view.streams.values()) {
        if (lagCorrection && stream.dispatchedAt > report.at) continue;
        ownStreams += 1;
        ownHeld += stream.job.promptTokens + stream.produced;
    }
    for (const ended of lagCorrection ? view.recentlyEnded : []) {
        if (ended.dispatchedAt > report.at || ended.endedAt <= report.at) continue;
        ownStreams += 1;
        ownHeld += ended.held;
    }
    const streams = Math.max(0, report.running + report.waiting - ownStreams);
    const held = streams === 0 ? 0 : Math.max(0, report.memoryUsed - ownHeld);
    const others = {
        streams,
        begun: Math.min(streams, report.running),
        unread: 0,
        stalled: 0,
        curve: projectLikeOwn(view, held),
    };
    return { ...view, others };
}

/** Projects memory of unknown streams with the growth of this host's own streams. */
function projectLikeOwn(view: EndpointView, held: number): MemoryCurve {
    const curve = zeroCurve();
    const own = view.curve.mean[0]!;
    const [least, most] = GROWTH_BOUNDS;
    for (let at = 0; at < HORIZON_TOKENS.length; at++) {
        const growth = view.streams.size >= MIN_STREAMS_FOR_GROWTH && own > 0
            ? view.curve.mean[at]! / own
            : ASSUMED_GROWTH;
        curve.mean[at] = held * Math.min(most, Math.max(least, growth));
        const ownSquare = own * own;
        const relativeVariance = view.streams.size >= MIN_STREAMS_FOR_GROWTH && ownSquare > 0
            ? view.curve.variance[at]! / ownSquare
            : 0.01;
        curve.variance[at] = held * held * Math.min(1, relativeVariance);
    }
    return curve;
}

/** What an owner sent counts for this long; after that the host plans with its equal share only. */
export const OTHERS_VALID_MS = 15_000;

/** Applies what the owner sent about other hosts' load. */
export function applyOthers(view: EndpointView, others: OthersLoad, now: number): EndpointView {
    return { ...view, others, othersReceivedAt: now };
}

/**
 * Share of an endpoint's capacity that a host may plan with: all of it if it is the hall's only host or knows what the
 * others hold, otherwise an equal part.
 *
 * @param hosts Number of live hosts of the hall.
 *
 * @example
 * ```ts
 * plannedShare(view, 3, now); // 1 / 3 while the owner is silent
 * ```
 */
export function plannedShare(view: EndpointView, hosts: number, now: number): number {
    const isOthersLoadKnown = view.othersReceivedAt !== undefined && now - view.othersReceivedAt <= OTHERS_VALID_MS;
    return hosts <= 1 || isOthersLoadKnown ? 1 : 1 / hosts;
}

/**
 * Applies a limit that the endpoint announced. An announcement older than the known one is ignored.
 *
 * @example
 * ```ts
 * applyAnnouncedLimit(view, { limitPerS: 2.3, at: now }, now).announcedLimit?.limitPerS; // 2.3
 * ```
 */
export function applyAnnouncedLimit(view: EndpointView, said: AnnouncedLimit, now: number): EndpointView {
    const known = view.announcedLimit;
    if (known && known.at >= said.at) return view;
    const since = known?.limitPerS === said.limitPerS ? known?.since ?? now : now;
    return { ...view, announcedLimit: { ...said, since } };
}

/** Applies the endpoint's request for rest. The latest end time counts. */
export function applyRest(view: EndpointView, until: number): EndpointView {
    return { ...view, restUntil: Math.max(until, view.restUntil ?? -Infinity) };
}

/** Whether an endpoint has asked this host for rest that is not over yet. */
export function isResting({ restUntil }: EndpointView, now: number): boolean {
    return restUntil !== undefined && now < restUntil;
}

/** Records a source's report on whether the endpoint is leaving. */
export function setLeaving(view: EndpointView, source: LeavingSource, leaving: boolean, now: number): EndpointView {
    const others = view.leavingBy.filter(other => other !== source);
    return updateClosing({ ...view, leavingBy: leaving ? [...others, source] : others }, now);
}

/** Applies a new declaration; an endpoint that is no longer declared gets one without models. */
export function redeclare(view: EndpointView, cfg: EndpointCfg, now: number): EndpointView {
    return updateClosing({ ...view, cfg }, now);
}

function updateClosing(view: EndpointView, now: number): EndpointView {
    const stays = view.leavingBy.length === 0 && view.cfg.models.length > 0;
    return { ...view, closingSince: stays ? undefined : view.closingSince ?? now };
}

/**
 * For so long after an endpoint is known to be leaving, streams that lose their own endpoint may still continue there,
 * as both may be hit by the same reclaim. Nothing may reach it 2 s after it announced that it leaves, and this host
 * learns of that up to a second late.
 */
const LAST_SENDS_MS = 1_000;

/** Whether a stream may still continue at an endpoint that keeps its copy, as far as leaving is concerned. */
export function acceptsContinuation({ closingSince }: EndpointView, now: number): boolean {
    return closingSince === undefined || now - closingSince < LAST_SENDS_MS;
}

/** Whether an endpoint has announced in an answer that it is leaving. */
export function announcedLeaving({ leavingBy }: EndpointView): boolean {
    return leavingBy.includes("answer");
}

/**
 * Whether an endpoint takes new work: it is declared, is not about to leave, and its hall is not evacuated.
 *
 * @example
 * ```ts
 * const open = views.filter(takesNew);
 * ```
 */
export function takesNew({ cfg, leavingBy }: EndpointView): boolean {
    return leavingBy.length === 0 && cfg.models.length > 0 && cfg.isEvacuated !== true;
}

/** Whether a request's allowed halls include the endpoint's. */
export function isHallAllowed({ cfg }: EndpointView, halls: readonly string[] | undefined): boolean {
    return halls === undefined || halls.includes(cfg.hall);
}
