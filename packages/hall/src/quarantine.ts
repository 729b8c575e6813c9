/**
 * Requests that end the endpoints that run them, and who may begin them still.
 *
 * A request that was at an ending is a suspect: it is begun at one endpoint at a time, by whichever host. After three endings it is
 * quarantined: no host begins it, until a time is over that doubles with each ending more, or endpoints of other software serve; then
 * one try, alone, decides again.
 *
 *     a --news (ending, try)--> some hosts, each of which passes on what it had not known
 *     a --digest (with each probe)--> b, and where b knows other endings: b --all that it knows--> a
 *     a, as it starts: a --ask--> b, b --all that it knows--> a
 *
 * A host that is cut off judges by what it knows; what both sides know is joined when they hear each other again.
 *
 * Pure: each function returns the next state. Times are milliseconds on one clock of the caller's choice.
 *
 * @module
 */
import { type Charge, ENDINGS_TO_QUARANTINE, judge } from "./assessment.js";
import { clearingOf, digestOfEndings, type EndingNews, type Endings, joinEnding, newsOfEnding } from "./endings.js";

/** A suspect that is being run. */
interface Trial {
    readonly fingerprint: string;
    readonly at: number;
    readonly isOver: boolean;
}

/** What hosts tell each other of suspects that are being run. */
export interface TrialNews {
    /** Unique among all hosts' attempts. */
    readonly attempt: string;
    readonly fingerprint: string;
    readonly agoMs: number;
    readonly isOver: boolean;
}

/** What hosts tell each other: a part of what they know, or all of it. */
export interface QuarantineNews {
    readonly endings: readonly EndingNews[];
    readonly trials: readonly TrialNews[];
}

/** What a host knows of such requests. */
export interface Quarantine {
    readonly endings: Endings;
    readonly trials: ReadonlyMap<string, Trial>;
    /** By fingerprint; worked out of the endings. */
    readonly charges: ReadonlyMap<string, Charge>;
    readonly digest: number;
}

/** The next state, and what of it peers are to be told; undefined where nothing is new. */
export interface QuarantineStep {
    readonly state: Quarantine;
    readonly news: QuarantineNews | undefined;
}

/** A state in which nothing is known. */
export const EMPTY_QUARANTINE: Quarantine = { endings: new Map(), trials: new Map(), charges: new Map(), digest: 0 };

/**
 * How long a quarantine lasts before one try decides again; doubled by each ending more. Engines were seen to be back 3 s after such
 * an ending, and callers to try for 15 s: half an hour outlasts both by far, and is what an operator needs to look into it.
 */
const HOLD_MS = 30 * 60_000;
/** Endings after which only an operator ends the quarantine: two tries that decided again. */
const ENDINGS_FOR_GOOD = ENDINGS_TO_QUARANTINE + 2;
/** What is held against a request that is not quarantined is forgotten after this: repeats came within seconds, and at most minutes. */
const EVIDENCE_MS = 10 * 60_000;
/** A quarantine is forgotten after this, whatever became of it. */
const KEPT_MS = 24 * 60 * 60_000;
/** Lives whose endings are kept: bounds memory to some 16,000 entries; reasoned, not measured. */
const MOST_ENDINGS = 256;
/**
 * A suspect that is being run keeps others of its kind from being begun for this long at most: guilty ones ended their engines within
 * 0.5 s, and the host that runs it may have ended itself.
 */
const TRIAL_MS = 3_000;

/**
 * What all hosts saw of an ending is together after this, where no host is cut off: two passes from host to host, each of a few
 * milliseconds. Before that, the one to blame may be missing: 7.8 of 10,000 innocent requests were refused on drawn days without this and with
 * other faults of the model, 2.6 with it.
 */
export const NEWS_MS = 50;

/** Whether a request may be begun. */
export type Verdict =
    /** Nothing is held against it. */
    | { readonly kind: "free" }
    /** It was at an ending; it may be begun at an endpoint that carries little. */
    | { readonly kind: "suspect"; readonly endings: number }
    /** It is a suspect that runs elsewhere now; `againMs`: until it may be begun at the latest. */
    | { readonly kind: "onTrial"; readonly againMs: number }
    /** It is not begun; `sureMs`: what others saw of its last ending may come for so long, and clear it. */
    | { readonly kind: "quarantined"; readonly endings: number; readonly sureMs: number };

const FREE: Verdict = { kind: "free" };

/** For what it is asked whether a request may be begun. */
export interface Asked {
    /** The attempt that is about to begin, where that is known. */
    readonly attempt?: string | undefined;
    /** Versions of the software that it may meet. */
    readonly software?: readonly string[] | undefined;
}

/**
 * Whether a request may be begun now.
 *
 * @example
 * ```ts
 * verdictOf(quarantine, fingerprint, now).kind; // "free"
 * ```
 */
export function verdictOf(state: Quarantine, fingerprint: string, now: number, asked: Asked = {}): Verdict {
    const charge = state.charges.get(fingerprint);
    if (!charge || charge.endings.length === 0) return FREE;
    const endings = charge.endings.length;
    if (charge.isGuilty && now < heldUntil(charge) && !meetsOther(charge, asked.software)) {
        return { kind: "quarantined", endings, sureMs: Math.max(0, charge.lastAt + NEWS_MS - now) };
    }
    const againMs = trialLeftMs(state, fingerprint, now, asked.attempt);
    return againMs > 0 ? { kind: "onTrial", againMs } : { kind: "suspect", endings };
}

/**
 * Whether a request may meet software that it has not ended yet: one try there decides again, and no more than one, as endings of one
 * moment count once and three tries after the third are all that is allowed.
 */
function meetsOther({ endings }: Charge, versions: readonly string[] = []): boolean {
    const ended = new Set(endings.flatMap(({ software }) => software ?? []));
    return endings.length <= ENDINGS_TO_QUARANTINE && ended.size > 0 && versions.some(version => !ended.has(version));
}

/** When one try may decide again. */
function heldUntil({ endings, lastAt }: Charge): number {
    if (endings.length >= ENDINGS_FOR_GOOD) return Infinity;
    return lastAt + HOLD_MS * 2 ** (endings.length - ENDINGS_TO_QUARANTINE);
}

function trialLeftMs({ trials }: Quarantine, fingerprint: string, now: number, own: string | undefined): number {
    let left = 0;
    for (const [attempt, trial] of trials) {
        if (trial.fingerprint !== fingerprint || trial.isOver || attempt === own) continue;
        left = Math.max(left, trial.at + TRIAL_MS - now);
    }
    return left;
}

/** Whether anything is held against a request. */
export function isSuspect({ charges }: Quarantine, fingerprint: string): boolean {
    return charges.has(fingerprint);
}

/**
 * Takes in what this host saw, or what a peer told.
 *
 * @example
 * ```ts
 * const { state, news } = joinNews(quarantine, { endings: [ending], trials: [] }, now);
 * ```
 */
export function joinNews(state: Quarantine, told: QuarantineNews, now: number): QuarantineStep {
    const endings = joinEndings(state, told.endings, now);
    const trials = joinTrials(endings.state, told.trials, now);
    const hasNews = endings.news.length + trials.news.length > 0;
    return { state: trials.state, news: hasNews ? { endings: endings.news, trials: trials.news } : undefined };
}

/** A request ran to its end, or an operator lifts its quarantine: nothing that is known is held against it any more. */
export function clear(state: Quarantine, fingerprint: string, now: number): QuarantineStep {
    return joinNews(state, { endings: clearingOf(state.endings, fingerprint, now), trials: [] }, now);
}

/** All endings that are known, for a host that starts or knows others. Trials are over by the time that they would be told again. */
export function allNews({ endings }: Quarantine, now: number): QuarantineNews {
    return { endings: [...endings.values()].map(ending => newsOfEnding(ending, now)), trials: [] };
}

/** The state without what is too old; called from time to time. */
export function forgetOld(state: Quarantine, now: number): Quarantine {
    const guilty = livesOfGuilty(state);
    const kept = [...state.endings].filter(([life, { at }]) => now - at < (guilty.has(life) ? KEPT_MS : EVIDENCE_MS));
    const trials = [...state.trials].filter(([, { at }]) => now - at < TRIAL_MS);
    const known = trials.length === state.trials.size ? state : { ...state, trials: new Map(trials) };
    return kept.length === state.endings.size ? known : withEndings(known, new Map(kept));
}

function joinEndings(
    state: Quarantine,
    told: readonly EndingNews[],
    now: number,
): { readonly state: Quarantine; readonly news: readonly EndingNews[] } {
    const news: EndingNews[] = [];
    let { endings } = state;
    for (const ending of told) {
        const joined = joinEnding(endings, ending, now);
        endings = joined.endings;
        if (joined.news) news.push(joined.news);
    }
    return news.length === 0 ? { state, news } : { state: bounded(withEndings(state, endings)), news };
}

function withEndings(state: Quarantine, endings: Endings): Quarantine {
    return { ...state, endings, charges: judge(endings), digest: digestOfEndings(endings) };
}

/** The oldest go first, and of those first the ones that no quarantine rests on. */
function bounded(state: Quarantine): Quarantine {
    const { endings } = state;
    if (endings.size <= MOST_ENDINGS) return state;
    const guilty = livesOfGuilty(state);
    const sorted = [...endings].sort(([a, { at: atA }], [b, { at: atB }]) =>
        Number(guilty.has(b)) - Number(guilty.has(a)) || atB - atA || (a < b ? -1 : 1)
    );
    return withEndings(state, new Map(sorted.slice(0, MOST_ENDINGS)));
}

function livesOfGuilty({ charges }: Quarantine): ReadonlySet<string> {
    const guilty = [...charges.values()].filter(({ isGuilty }) => isGuilty);
    return new Set(guilty.flatMap(({ endings }) => endings.map(({ life }) => life)));
}

function joinTrials(
    state: Quarantine,
    told: readonly TrialNews[],
    now: number,
): { readonly state: Quarantine; readonly news: readonly TrialNews[] } {
    const trials = new Map(state.trials);
    const news: TrialNews[] = [];
    for (const trial of told) {
        const known = trials.get(trial.attempt);
        if (trial.agoMs >= TRIAL_MS || known && (known.isOver || !trial.isOver)) continue;
        const { attempt, fingerprint, agoMs, isOver } = trial;
        trials.set(attempt, { fingerprint, at: known?.at ?? now - agoMs, isOver });
        news.push(trial);
    }
    return news.length === 0 ? { state, news } : { state: { ...state, trials }, news };
}
