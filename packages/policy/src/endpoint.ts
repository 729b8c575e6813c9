/**
 * What one host knows of one endpoint, as a value: its own streams there, the last load report, the fitted pace, what
 * is cached, and who says that it is leaving.
 *
 * @module
 */
import { type Breaker, CLOSED } from "./breaker.js";
import type { Job } from "./job.js";
import type { Survival } from "./length-estimate.js";
import { addCurve, type Curve, HORIZON_TOKENS, streamCurve, zeroCurve } from "./memory-curve.js";
import { createPace, type PaceFit } from "./pace.js";
import { type SpeedEvidence, UNKNOWN_SPEED } from "./speed-estimate.js";
import { NOTHING_SHOWN, type Shown } from "./speed-samples.js";

/**
 * Sources that may say that an endpoint is leaving; each takes back only its own word. `endpoint`: it said so when it was asked;
 * `answer`: in its answers, which holds for its life; `address`: another one answers at its address, and will.
 */
export type LeavingSource = "settings" | "hostList" | "registry" | "endpoint" | "answer" | "address";

/** What is declared of an endpoint. */
export interface EndpointCfg {
    readonly id: string;
    readonly hall: string;
    readonly models: readonly string[];
    readonly memoryTokens: number;
    /** Whether the operator has evacuated its hall: nothing new goes there, what runs there runs on. */
    readonly isEvacuated?: boolean | undefined;
    /** What it bears while it is cold; undefined where nothing is declared of that. */
    readonly cold?: ColdCfg | undefined;
}

/** What is declared of a cold endpoint. */
export interface ColdCfg {
    /** When it is warm; -Infinity where it is not cold. */
    readonly until: number;
    /** Requests that it may be sent in any second by all hosts together. */
    readonly perS: number;
}

/** One of this host's streams on an endpoint. */
export interface RunningStream {
    readonly job: Job;
    readonly survival: Survival;
    readonly produced: number;
    readonly dispatchedAt: number;
    /** Prompt tokens that were unread at the endpoint when it was sent there, its own included. */
    readonly prefillAhead: number;
    readonly started: boolean;
    /** Whether it has just gone on from a copy: the pause until then says nothing of its endpoint. */
    readonly resumedFromCopy?: boolean;
    readonly curve: Curve;
}

/** A load report, which the endpoint made at `at` on this host's clock and which may be seconds old. */
export interface LoadReport {
    readonly at: number;
    readonly running: number;
    readonly waiting: number;
    readonly memoryUsed: number;
}

/** A stream that ended lately, kept until load reports that still count it are past. */
interface RecentlyEnded {
    readonly dispatchedAt: number;
    readonly endedAt: number;
    readonly held: number;
}

/** What other hosts have on the endpoint. */
export interface Others {
    readonly streams: number;
    /** Prompt tokens of streams that have not begun: work that a new stream's prompt waits for. */
    readonly unread: number;
    /** Streams that have waited for their first token for longer than their objective. */
    readonly stalled: number;
    readonly curve: Curve;
}

/** What an endpoint said last of itself, in an answer to any host. */
export interface Said {
    /** Requests a second that it takes from all hosts together; undefined where it names no limit. */
    readonly limitPerS: number | undefined;
    /** When it said so, in milliseconds on the scheduler's clock. */
    readonly at: number;
}

/** The same, with how long it is known. */
export interface KnownLimit extends Said {
    /** When this host first took in the limit that is known now. */
    readonly since: number;
}

/** One endpoint as this host sees it. */
export interface EndpointView {
    readonly cfg: EndpointCfg;
    readonly since: number;
    readonly leavingBy: readonly LeavingSource[];
    /** Since when it is known to be leaving, or to be declared no more; undefined while it stays. */
    readonly closingSince: number | undefined;
    readonly streams: ReadonlyMap<string, RunningStream>;
    /** Copies that it keeps of this host's streams at other endpoints: memory without any work. */
    readonly backups: ReadonlyMap<string, RunningStream>;
    /** Sum over own streams and backups. */
    readonly curve: Curve;
    readonly others: Others;
    /** When its owner last told what others hold; `undefined` before that. */
    readonly toldAt: number | undefined;
    readonly pace: PaceFit;
    /** How slow it is by what all hosts' streams showed, as far as this host knows. */
    readonly speed: SpeedEvidence;
    /** What this host's own streams have shown of its speed. */
    readonly shown: Shown;
    readonly breaker: Breaker;
    /** Whether it can probably not be reached from here: it is tried where nothing else is left. */
    readonly isInDoubt: boolean;
    readonly recentlyEnded: readonly RecentlyEnded[];
    /** Prompt starts that the endpoint has probably cached, the latest use last. */
    readonly prefixes: ReadonlyMap<string, number>;
    /** Undefined before it was heard. */
    readonly said: KnownLimit | undefined;
    /** Until when it wants nothing from this host, in milliseconds on the scheduler's clock; undefined where it never said so. */
    readonly restUntil: number | undefined;
    /** Until when it may be a later life than the one known, and is taken for cold; undefined where nothing shows that. */
    readonly restartDoubtUntil: number | undefined;
}

const NO_OTHERS: Others = { streams: 0, unread: 0, stalled: 0, curve: zeroCurve() };
/** Reports are at most this old: letter 1's engines lag by 0.5 to 5 s. */
const MAX_REPORT_LAG_MS = 6_000;
const MAX_PREFIXES = 64;
/** How streams of other hosts are taken to grow where too few own streams tell. */
const ASSUMED_GROWTH = 1.1;
const MIN_STREAMS_FOR_GROWTH = 4;
const GROWTH_BOUNDS = [0.1, 1.6] as const;

/** A newly seen endpoint. */
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
        toldAt: undefined,
        pace: createPace(),
        speed: UNKNOWN_SPEED,
        shown: NOTHING_SHOWN,
        breaker: CLOSED,
        isInDoubt: false,
        recentlyEnded: [],
        prefixes: new Map(),
        said: undefined,
        restUntil: undefined,
        restartDoubtUntil: undefined,
    };
}

/** Prompt tokens of own streams that have not begun. */
export function unreadTokens(view: EndpointView): number {
    let unread = 0;
    for (const { started, job } of view.streams.values()) if (!started) unread += job.promptTokens;
    return unread;
}

/** Prompt tokens that are unread at an endpoint, as far as this host knows. */
export function unreadAt(view: EndpointView): number {
    return unreadTokens(view) + view.others.unread;
}

/** Own streams without a first token within their objective: a sign that the endpoint hangs. */
export function stalledStreams(view: EndpointView, now: number): number {
    let stalled = 0;
    for (const { started, dispatchedAt, job } of view.streams.values()) {
        if (!started && now - dispatchedAt > job.policy.objectiveMs) stalled += 1;
    }
    return stalled;
}

/** Own and other hosts' streams. */
export function streamCount(view: EndpointView): number {
    return view.streams.size + view.others.streams;
}

/**
 * The endpoint after a request was given to it.
 *
 * @param unread Prompt tokens that were unread there before; what this host knows of it where it was not told.
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
    unread = unreadAt(view),
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

/** The endpoint after it was named as the standby of a stream's copy. */
export function addBackup(view: EndpointView, running: RunningStream): EndpointView {
    const curve = addCurve(view.curve, running.curve, 1);
    return { ...view, backups: new Map(view.backups).set(running.job.id, running), curve };
}

/** The endpoint after a copy that it kept was given up. */
export function removeBackup(view: EndpointView, id: string): EndpointView {
    const running = view.backups.get(id);
    if (!running) return view;
    const backups = new Map(view.backups);
    backups.delete(id);
    return { ...view, backups, curve: addCurve(view.curve, running.curve, -1) };
}

/** The endpoint after a stream goes on from the copy that it kept. */
export function promoteBackup(view: EndpointView, id: string): EndpointView {
    const running = view.backups.get(id);
    if (!running) return view;
    const backups = new Map(view.backups);
    backups.delete(id);
    return { ...view, backups, streams: new Map(view.streams).set(id, { ...running, resumedFromCopy: true }) };
}

/** The endpoint after one of its streams, or one that it keeps a copy of, went on to `produced` tokens. */
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

/** The endpoint after one of its streams ended, however it did. */
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
    // With no stream left the sum is set to zero, so that rounding does not add up over days.
    const curve = streams.size + view.backups.size === 0 ? zeroCurve() : addCurve(view.curve, running.curve, -1);
    return { ...view, streams, curve, recentlyEnded: [...kept, ended] };
}

/**
 * The endpoint after a load report: what the report counts beyond this host's own streams of that time is held by other
 * hosts. Without correction for the lag, own streams are counted as they stand now.
 *
 * @example
 * ```ts
 * takeReport(view, { at: now - 800, running: 12, waiting: 0, memoryUsed: 30_000 }, true).others.streams;
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

/** A curve for memory whose streams are not known, shaped like that of own streams. */
function projectLikeOwn(view: EndpointView, held: number): Curve {
    const curve = zeroCurve();
    const own = view.curve.mean[0]!;
    const [least, most] = GROWTH_BOUNDS;
    for (let at = 0; at < HORIZON_TOKENS.length; at++) {
        const growth = view.streams.size >= MIN_STREAMS_FOR_GROWTH && own > 0
            ? view.curve.mean[at]! / own
            : ASSUMED_GROWTH;
        curve.mean[at] = held * Math.min(most, Math.max(least, growth));
        const ownSquare = own * own;
        const relative = view.streams.size >= MIN_STREAMS_FOR_GROWTH && ownSquare > 0
            ? view.curve.variance[at]! / ownSquare
            : 0.01;
        curve.variance[at] = held * held * Math.min(1, relative);
    }
    return curve;
}

/** What an owner told counts for this long; after that the host plans as if alone with its share. */
export const OTHERS_VALID_MS = 15_000;

/** The endpoint after its owner told what others hold. */
export function applyOthers(view: EndpointView, others: Others, now: number): EndpointView {
    return { ...view, others, toldAt: now };
}

/**
 * The share of an endpoint that a host may plan with: all of it while it is the hall's only host or knows what the others
 * hold, else an equal part.
 *
 * @param hosts Live hosts of the hall.
 *
 * @example
 * ```ts
 * plannedShare(view, 3, now); // 1 / 3 while the owner is silent
 * ```
 */
export function plannedShare(view: EndpointView, hosts: number, now: number): number {
    const known = view.toldAt !== undefined && now - view.toldAt <= OTHERS_VALID_MS;
    return hosts <= 1 || known ? 1 : 1 / hosts;
}

/**
 * The endpoint after it was heard to say something of itself. What it said before that changes nothing.
 *
 * @example
 * ```ts
 * takeSaid(view, { limitPerS: 2.3, at: now }, now).said?.limitPerS; // 2.3
 * ```
 */
export function applyAnnouncedLimit(view: EndpointView, said: Said, now: number): EndpointView {
    const known = view.said;
    if (known && known.at >= said.at) return view;
    const since = known?.limitPerS === said.limitPerS ? known?.since ?? now : now;
    return { ...view, said: { ...said, since } };
}

/** The endpoint after it asked this host for rest. Of several times the last one counts. */
export function applyRest(view: EndpointView, until: number): EndpointView {
    return { ...view, restUntil: Math.max(until, view.restUntil ?? -Infinity) };
}

/** Whether an endpoint wants nothing from this host now. */
export function isResting({ restUntil }: EndpointView, now: number): boolean {
    return restUntil !== undefined && now < restUntil;
}

/** The endpoint after a source said whether it is leaving. */
export function setLeaving(view: EndpointView, source: LeavingSource, leaving: boolean, now: number): EndpointView {
    const others = view.leavingBy.filter(other => other !== source);
    return updateClosing({ ...view, leavingBy: leaving ? [...others, source] : others }, now);
}

/** The endpoint as it is declared now; with no models where it is declared no more. */
export function redeclare(view: EndpointView, cfg: EndpointCfg, now: number): EndpointView {
    return updateClosing({ ...view, cfg }, now);
}

function updateClosing(view: EndpointView, now: number): EndpointView {
    const stays = view.leavingBy.length === 0 && view.cfg.models.length > 0;
    return { ...view, closingSince: stays ? undefined : view.closingSince ?? now };
}

/**
 * What an endpoint may still be sent for so long after it is known to be leaving: a stream that loses its own endpoint, as one of the
 * same reclaim. Nothing may reach it 2 s after the word of its leaving, which takes up to a second to be known here.
 */
const LAST_SENDS_MS = 1_000;

/** Whether a stream may still go on at an endpoint that keeps its copy, as far as leaving is concerned. */
export function acceptsContinuation({ closingSince }: EndpointView, now: number): boolean {
    return closingSince === undefined || now - closingSince < LAST_SENDS_MS;
}

/** Whether an endpoint has said in an answer that it is leaving. */
export function saysLeaving({ leavingBy }: EndpointView): boolean {
    return leavingBy.includes("answer");
}

/**
 * Whether an endpoint takes new work at all: it is declared, is not about to leave, and its hall is not evacuated.
 *
 * @example
 * ```ts
 * const open = views.filter(takesNew);
 * ```
 */
export function takesNew({ cfg, leavingBy }: EndpointView): boolean {
    return leavingBy.length === 0 && cfg.models.length > 0 && cfg.isEvacuated !== true;
}

/** Whether an endpoint may serve a request by the halls that are allowed to it. */
export function isHallAllowed({ cfg }: EndpointView, halls: readonly string[] | undefined): boolean {
    return halls === undefined || halls.includes(cfg.hall);
}
