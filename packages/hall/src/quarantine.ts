/**
 * Quarantine of requests that crash the endpoints that run them, and of the parts of prompts that make them do so. An ending is the unexpected end of one life of an endpoint, i.e. of one
 * run of its process.
 *
 * A request that was involved in an ending is a suspect: all hosts together run it at one endpoint at a time. After three endings it is
 * quarantined: no host begins it until a period is over that doubles with each further ending, or until endpoints with other software
 * are available. Then a single trial run decides again.
 *
 * The same holds for a part that prompts share, with three differences. A request with it that is answered clears it. As long as
 * requests with it were answered recently, it is not held back to one run at a time: a part that most requests share is involved in every
 * ending, and the next answer clears it. And it is tried again sooner, as a quarantine of a sound part refuses many requests.
 *
 *     a --news (ending, trial)--> some hosts, each of which passes on what is new to it
 *     a --digest (with each probe)--> b, and if b knows other endings: b --all its endings--> a
 *     a, when it starts: a --ask--> b, b --all its endings--> a
 *
 * A partitioned host decides by the endings that it knows. When the partition heals, both sides merge what they know.
 *
 * All functions are pure: they return the next state. Times are in milliseconds on the clock by which `now` is given.
 *
 * @module
 */
import { type Assessment, type Assessments, assessSuspects, ENDINGS_TO_QUARANTINE } from "./assessment.js";
import {
    clearingNews,
    digestOfEndings,
    type EndingNews,
    type Endings,
    mergeEnding,
    newsOfEnding,
    SuspectKind,
} from "./endings.js";

/** What identifies a request: its content, and what other requests may share of it, parts of its prompt and its body. */
export interface RequestIdentity {
    readonly fingerprint: string;
    /** Names of these parts. */
    readonly parts: readonly string[];
}

/** A run of a suspect. */
interface Trial {
    /** Name of the attempt, unique among all hosts. */
    readonly attempt: string;
    /** Fingerprint of the request, or name of the part that is on trial. */
    readonly fingerprint: string;
    readonly at: number;
    readonly isOver: boolean;
}

/** A trial as hosts send it to each other. */
export interface TrialNews {
    /** Name of the attempt, unique among all hosts. */
    readonly attempt: string;
    readonly fingerprint: string;
    readonly agoMs: number;
    readonly isOver: boolean;
}

/** News that hosts send to each other: what is new, or all that they know. */
export interface QuarantineNews {
    readonly endings: readonly EndingNews[];
    readonly trials: readonly TrialNews[];
}

/** A host's knowledge of endings, trials and suspects. */
export interface Quarantine {
    readonly endings: Endings;
    /** By attempt and suspect. */
    readonly trials: ReadonlyMap<string, Trial>;
    /** Derived from the endings. */
    readonly assessments: Assessments;
    /** Culpable parts for which no request without them was answered since. */
    readonly uncontrolled: readonly Assessment[];
    /** Digest of the endings. */
    readonly digest: number;
}

/** The next state and the news to send to peers; undefined if there is none. */
export interface QuarantineStep {
    readonly state: Quarantine;
    readonly news: QuarantineNews | undefined;
}

/** The state of a host that knows nothing. */
export const EMPTY_QUARANTINE: Quarantine = {
    endings: new Map(),
    trials: new Map(),
    assessments: new Map(),
    uncontrolled: [],
    digest: 0,
};

/**
 * How long a quarantine lasts before a trial decides again. It doubles with each further ending. Endpoints were back 3 s after such an
 * ending and callers retried for 15 s: half an hour is far longer than both, and gives an operator time to investigate.
 */
const QUARANTINE_MS = 30 * 60_000;
/** After this many failed trials, only an operator can lift the quarantine. */
const MAX_TRIALS = 2;
/**
 * How long the first quarantines of a part last, by the number of endings after the one that led to the quarantine; then they last as
 * long as those of requests. A trial of a part that crashes endpoints costs one more endpoint; these add two in five minutes.
 */
const PART_QUARANTINE_MS = [60_000, 240_000] as const;
/** A part that was answered recently was probably at the endings by chance: it is tried as soon as these are known everywhere. */
const PROVEN_PART_QUARANTINE_MS = 250;
/**
 * How long a quarantine of a part lasts if nothing without it was answered since its first ending, so that the endpoints rather than the
 * part may be the cause; it grows by the factor with each further ending.
 */
const UNCONTROLLED_PART_QUARANTINE_MS = 500;
const UNCONTROLLED_PART_FACTOR = 3;
/** Endings that no quarantine is based on are forgotten after this. Repeated endings came within seconds, at most within minutes. */
const EVIDENCE_RETENTION_MS = 10 * 60_000;
/** Endings that a quarantine is based on are forgotten after this, which ends the quarantine. */
const QUARANTINE_RETENTION_MS = 24 * 60 * 60_000;
/** How many endings are kept at most. Together with {@link MAX_REQUESTS_PER_ENDING} it bounds memory to some 16,000 entries. */
const MAX_ENDINGS = 256;
/**
 * A trial blocks other runs of the same request for at most this long. Culprits crashed their endpoints within 0.5 s. The bound also holds
 * if the host that runs the trial has crashed and will not report its end.
 */
const TRIAL_TIMEOUT_MS = 3_000;

/**
 * Time after which each host has all observations of an ending, unless it is partitioned: two hops of a few milliseconds each. Before
 * that, the evidence against the culprit may still be missing. In simulations, 7.8 of 10,000 innocent requests were refused without
 * this wait (and with other faults of the model), 2.6 with it.
 */
export const ENDING_SPREAD_MS = 50;

/** Whether a request may be begun. */
export type Verdict =
    /** No ending counts against it. */
    | { readonly kind: "free" }
    /** It was involved in endings. It may begin at an endpoint with little load. */
    | { readonly kind: "suspect"; readonly endings: number }
    /** It is a suspect that is running elsewhere, or is about to be tried. It may begin after `trialEndsInMs` at the latest. */
    | { readonly kind: "onTrial"; readonly trialEndsInMs: number }
    /**
     * It may not begin, because of the request itself or of the part `by`. For another `evidencePendingMs`, observations of its last
     * ending may still arrive and clear it.
     */
    | {
        readonly kind: "quarantined";
        readonly by: string;
        readonly suspectKind: SuspectKind;
        readonly endings: number;
        readonly evidencePendingMs: number;
    };

const FREE: Verdict = { kind: "free" };

/** The circumstances in which a request is about to begin. */
export interface VerdictContext {
    /** Name of the attempt that is about to begin, if it is known. */
    readonly attempt?: string | undefined;
    /** Software versions of the endpoints that may run it. */
    readonly software?: readonly string[] | undefined;
    /** Whether requests with a part were answered recently. */
    readonly isProven?: ((part: string) => boolean) | undefined;
    /** How much later than other hosts this host tries a part again, so that not all do at once. */
    readonly trialDelayMs?: number | undefined;
}

/**
 * Returns whether a request may begin now.
 *
 * @example
 * ```ts
 * verdictOf(quarantine, { fingerprint, parts: [] }, now).kind; // "free"
 * ```
 */
export function verdictOf(
    state: Quarantine,
    request: RequestIdentity,
    now: number,
    context: VerdictContext = {},
): Verdict {
    const suspects = suspectsIn(state, request, context.isProven);
    if (suspects.length === 0) return FREE;
    const culprits = suspects.filter(assessment =>
        assessment.isCulprit
        && assessment.alternatives.every(part => request.parts.includes(part))
        && !mayRunOnOtherSoftware(assessment, context.software)
    );
    const quarantines = culprits.map(culprit => ({ culprit, ...quarantineOf(culprit, context) }));
    const certain = quarantines.find(({ until, isProvisional }) => now < until && !isProvisional);
    if (certain) return quarantined(certain.culprit, now);
    const trialsEndInMs = suspects.map(({ fingerprint }) => remainingTrialMs(state, fingerprint, now, context.attempt));
    const trialEndsInMs = Math.max(...trialsEndInMs, ...quarantines.map(({ until }) => until - now));
    if (trialEndsInMs > 0) return { kind: "onTrial", trialEndsInMs };
    return { kind: "suspect", endings: Math.max(...suspects.map(({ endings }) => endings.length)) };
}

function quarantined({ fingerprint, kind, endings, lastAt }: Assessment, now: number): Verdict {
    return {
        kind: "quarantined",
        by: fingerprint,
        suspectKind: kind,
        endings: endings.length,
        evidencePendingMs: Math.max(0, lastAt + ENDING_SPREAD_MS - now),
    };
}

/** Returns the assessments that concern a request, without those of proven parts that are no culprits. */
function suspectsIn(
    { assessments }: Quarantine,
    { fingerprint, parts }: RequestIdentity,
    isProven: (part: string) => boolean = () => false,
): readonly Assessment[] {
    if (assessments.size === 0) return [];
    return [fingerprint, ...parts].flatMap(name => {
        const assessment = assessments.get(name);
        if (!assessment || assessment.endings.length === 0) return [];
        const isDisregarded = assessment.kind === SuspectKind.Part && !assessment.isCulprit && isProven(name);
        return isDisregarded ? [] : [assessment];
    });
}

/**
 * Returns whether a quarantined request may run on software that it has not crashed yet. A trial there decides again, but only one:
 * simultaneous endings count once, and at most three trials are allowed after the third ending.
 */
function mayRunOnOtherSoftware({ endings }: Assessment, versions: readonly string[] = []): boolean {
    const ended = new Set(endings.flatMap(({ software }) => software ?? []));
    return endings.length <= ENDINGS_TO_QUARANTINE && ended.size > 0 && versions.some(version => !ended.has(version));
}

/** A quarantine, until a trial may decide again. */
interface QuarantinePeriod {
    readonly until: number;
    /** Whether the suspect is a part that may well be sound, so that callers may come back for the trial. */
    readonly isProvisional: boolean;
}

function quarantineOf(assessment: Assessment, context: VerdictContext): QuarantinePeriod {
    const { kind, fingerprint, endings, lastAt, isControlled } = assessment;
    const failedTrials = endings.length - ENDINGS_TO_QUARANTINE;
    if (kind === SuspectKind.Request) return { until: lastAt + quarantineMs(failedTrials), isProvisional: false };
    const { isProven, trialDelayMs = 0 } = context;
    const from = lastAt + trialDelayMs;
    if (failedTrials === 0 && isProven?.(fingerprint)) {
        return { until: from + PROVEN_PART_QUARANTINE_MS, isProvisional: true };
    }
    const knownMs = PART_QUARANTINE_MS[failedTrials] ?? quarantineMs(failedTrials - PART_QUARANTINE_MS.length);
    const shortMs = UNCONTROLLED_PART_QUARANTINE_MS * UNCONTROLLED_PART_FACTOR ** failedTrials;
    const isProvisional = !isControlled && shortMs < knownMs;
    return { until: from + (isProvisional ? shortMs : knownMs), isProvisional };
}

/** How long a quarantine lasts, by the number of trials that have failed. */
function quarantineMs(failedTrials: number): number {
    return failedTrials >= MAX_TRIALS ? Infinity : QUARANTINE_MS * 2 ** failedTrials;
}

function remainingTrialMs(
    { trials }: Quarantine,
    fingerprint: string,
    now: number,
    ownAttempt: string | undefined,
): number {
    let left = 0;
    for (const trial of trials.values()) {
        if (trial.fingerprint !== fingerprint || trial.isOver || trial.attempt === ownAttempt) continue;
        left = Math.max(left, trial.at + TRIAL_TIMEOUT_MS - now);
    }
    return left;
}

/** Returns whether a request or a part was involved in an ending and not cleared since. */
export function isSuspect({ assessments }: Quarantine, fingerprint: string): boolean {
    return assessments.has(fingerprint);
}

/**
 * Merges news that this host observed, or that a peer sent.
 *
 * @example
 * ```ts
 * const { state, news } = mergeNews(quarantine, { endings: [ending], trials: [] }, now);
 * ```
 */
export function mergeNews(state: Quarantine, received: QuarantineNews, now: number): QuarantineStep {
    const endings = mergeEndings(state, received.endings, now);
    const trials = mergeTrials(endings.state, received.trials, now);
    const hasNews = endings.added.length + trials.added.length > 0;
    return { state: trials.state, news: hasNews ? { endings: endings.added, trials: trials.added } : undefined };
}

/** Clears a request or a part of all known endings, because it ran to completion or an operator lifts its quarantine. */
export function clearRequest(state: Quarantine, fingerprint: string, now: number): QuarantineStep {
    return mergeNews(state, { endings: clearingNews(state.endings, fingerprint, now), trials: [] }, now);
}

/** Clears a part of the endings of endpoints with the same software as one that has begun to answer a request with it. */
export function clearPart(
    state: Quarantine,
    part: string,
    software: string | undefined,
    now: number,
): QuarantineStep {
    return mergeNews(state, { endings: clearingNews(state.endings, part, now, software), trials: [] }, now);
}

/** An answer to a request with some parts, and when it began. */
export interface PartAnswer {
    readonly at: number;
    readonly parts: readonly string[];
}

/**
 * Marks the culpable parts that an answer controls: one to a request with parts of the same kind, but without these.
 *
 * @example
 * ```ts
 * controlParts(quarantine, { at: now, parts: ["part:m:other"] }, now).news; // marks "part:m:bad", if that is a culprit
 * ```
 */
export function controlParts(state: Quarantine, { at, parts }: PartAnswer, now: number): QuarantineStep {
    const endings = state.uncontrolled
        .filter(({ fingerprint, endings }) => at > endings[0]!.at && isComparable(parts, fingerprint))
        .map(({ fingerprint, endings }): EndingNews => {
            const { life, at: endedAt, software, parts } = endings.at(-1)!;
            const involved = { fingerprint, ...parts.get(fingerprint)!, controlled: true };
            return { life, agoMs: now - endedAt, software, requests: [], parts: [involved] };
        });
    return endings.length === 0 ? { state, news: undefined } : mergeNews(state, { endings, trials: [] }, now);
}

/** Whether a request has parts of the same kind as one that it lacks: their names are equal up to the last colon. */
function isComparable(parts: readonly string[], lacking: string): boolean {
    const kind = lacking.slice(0, lacking.lastIndexOf(":") + 1);
    return !parts.includes(lacking) && parts.some(part => part.startsWith(kind));
}

/** Returns all known endings, for a host that starts or whose digest differs. Trials are left out: most are over before they could be sent again. */
export function allEndingNews({ endings }: Quarantine, now: number): QuarantineNews {
    return { endings: [...endings.values()].map(ending => newsOfEnding(ending, now)), trials: [] };
}

/** Drops expired endings and trials. The host calls it periodically. */
export function dropExpired(state: Quarantine, now: number): Quarantine {
    const culprits = livesOfCulprits(state);
    const kept = [...state.endings].filter(([life, { at }]) =>
        now - at < (culprits.has(life) ? QUARANTINE_RETENTION_MS : EVIDENCE_RETENTION_MS)
    );
    const trials = [...state.trials].filter(([, { at }]) => now - at < TRIAL_TIMEOUT_MS);
    const known = trials.length === state.trials.size ? state : { ...state, trials: new Map(trials) };
    return kept.length === state.endings.size ? known : withEndings(known, new Map(kept));
}

function mergeEndings(
    state: Quarantine,
    received: readonly EndingNews[],
    now: number,
): { readonly state: Quarantine; readonly added: readonly EndingNews[] } {
    const added: EndingNews[] = [];
    let { endings } = state;
    for (const ending of received) {
        const merged = mergeEnding(endings, ending, now);
        endings = merged.endings;
        if (merged.news) added.push(merged.news);
    }
    return added.length === 0
        ? { state, added }
        : { state: dropOldestEndings(withEndings(state, endings)), added };
}

function withEndings(state: Quarantine, endings: Endings): Quarantine {
    const assessments = assessSuspects(endings);
    const uncontrolled = [...assessments.values()].filter(({ kind, isCulprit, isControlled }) =>
        kind === SuspectKind.Part && isCulprit && !isControlled
    );
    const digest = digestOfEndings(endings, state.endings, state.digest);
    return { ...state, endings, assessments, uncontrolled, digest };
}

/** Drops endings above {@link MAX_ENDINGS}: first those that no quarantine is based on, the oldest first. */
function dropOldestEndings(state: Quarantine): Quarantine {
    const { endings } = state;
    if (endings.size <= MAX_ENDINGS) return state;
    const culprits = livesOfCulprits(state);
    const sorted = [...endings].sort(([a, { at: atA }], [b, { at: atB }]) =>
        Number(culprits.has(b)) - Number(culprits.has(a)) || atB - atA || (a < b ? -1 : 1)
    );
    return withEndings(state, new Map(sorted.slice(0, MAX_ENDINGS)));
}

function livesOfCulprits({ assessments }: Quarantine): ReadonlySet<string> {
    const culprits = [...assessments.values()].filter(({ isCulprit }) => isCulprit);
    return new Set(culprits.flatMap(({ endings }) => endings.map(({ life }) => life)));
}

function mergeTrials(
    state: Quarantine,
    received: readonly TrialNews[],
    now: number,
): { readonly state: Quarantine; readonly added: readonly TrialNews[] } {
    const trials = new Map(state.trials);
    const added: TrialNews[] = [];
    for (const trial of received) {
        const key = `${trial.attempt} ${trial.fingerprint}`;
        const known = trials.get(key);
        if (trial.agoMs >= TRIAL_TIMEOUT_MS || known && (known.isOver || !trial.isOver)) continue;
        const { attempt, fingerprint, agoMs, isOver } = trial;
        trials.set(key, { attempt, fingerprint, at: known?.at ?? now - agoMs, isOver });
        added.push(trial);
    }
    return added.length === 0 ? { state, added } : { state: { ...state, trials }, added };
}
