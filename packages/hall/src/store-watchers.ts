/**
 * Which hosts of a hall watch the platform's store, and which follow those that do: a call to the store is paid for, and
 * its rate grows more slowly than the fleet.
 *
 * The first {@link WATCHERS} of a hall by rank, which follows what hosts can carry, watch and say at least every {@link WORD_EVERY_MS} how far they are and
 * whether the store answers them. One that is silent, or that the store does not answer, is passed over for
 * {@link OUT_MS}, and the next by rank takes its place, so that while the store is away the hall asks it in turn. Others
 * follow: by the watchers' words, and by what any peer last heard. A host that hears neither turns to the store itself,
 * later the later it comes by rank; following saves calls and decides nothing else.
 *
 *     store ---watch---> first, second          (by rank; one that fails: the next two)
 *                          | word: revision, changes, whether the store answers
 *                          v
 *                        others --revision, age--> others (with probes; who stays behind asks for the rest)
 *
 * Pure: each function returns the next state. Times are milliseconds on one clock of the caller's choice.
 *
 * @module
 */
import { EQUAL, rank, WATCHERS, type Weights } from "./ownership.js";
import { isFurther, type StoreProgress } from "./store-position.js";

/** How often a watcher says where it stands. */
export const WORD_EVERY_MS = 400;
/** A watcher that says nothing for so long is passed over: half of the shortest bound on news (2 s). */
export const WORD_VALID_MS = 1_000;
/** A host that the store did not answer, or that said nothing when it was expected to, is not expected to for so long. */
const OUT_MS = 3_000;
/** Who has heard nothing for so long of the store, from anyone, watches by itself. */
const ALONE_MS = 1_500;
/** A host waits this much longer for each place that it has by rank, up to {@link MOST_STAGGER_MS}. */
const STAGGER_MS = 50;
const MOST_STAGGER_MS = 1_000;
/** A host that began to watch by itself goes on for this long, so that it does not begin again and again. */
const KEEP_WATCHING_MS = 3_000;
/** A host that starts and looks for others knows its hall after this; it has read the store by then. */
export const JOIN_MS = 1_000;
/**
 * Who hears that a peer is further than it is asks for the rest after this, if the watcher's word has not come by then: a
 * whole state is 10 to 100 times as large as a word.
 */
const BEHIND_MS = 300;

/** What a host last said of itself as a watcher. */
interface Word {
    readonly at: number;
    /** Whether the store answers it. */
    readonly hears: boolean;
}

/** What a host knows of its hall's watchers. */
export interface Following {
    readonly self: string;
    readonly startedAt: number;
    readonly words: ReadonlyMap<string, Word>;
    /** Since when a host is expected to watch; it has {@link WORD_VALID_MS} to say so. */
    readonly expected: ReadonlyMap<string, number>;
    /** Whether it was one of the watchers when it last looked. */
    readonly placed: boolean;
    /** Until when this host watches by itself. */
    readonly watchUntil: number;
    /** When the store last failed to answer this host. */
    readonly deafAt: number;
    /** How far a peer is that knows what this host lacks, and since when that is known. */
    readonly lacked: { readonly progress: StoreProgress; readonly since: number } | undefined;
}

/** What a host knows of the store when it looks whether to watch. */
export interface StoreHeard {
    /** Whether the store answers this host; undefined while it does not watch, or has no answer yet. */
    readonly hears: boolean | undefined;
    /** As of when the store is known to have answered this host or one that it follows. */
    readonly freshAt: number;
    /** Whether it tries to reach hosts that it has not heard of yet. */
    readonly seeking: boolean;
}

/** Why a host watches. */
export type WatchReason = "first" | "second" | "alone";

/** What a host has to do. */
export interface FollowPlan {
    readonly state: Following;
    /** Why it watches the store; undefined where it follows. */
    readonly reason: WatchReason | undefined;
    /** Whether it tells its hall now where it stands. */
    readonly says: boolean;
}

/** A host that knows of no watcher. */
export function createFollowing(self: string, now: number): Following {
    return {
        self,
        startedAt: now,
        words: new Map(),
        expected: new Map(),
        placed: false,
        watchUntil: -Infinity,
        deafAt: -Infinity,
        lacked: undefined,
    };
}

/** The state after a host said whether the store answers it. */
export function hearWatcher(state: Following, host: string, hears: boolean, now: number): Following {
    return { ...state, words: new Map(state.words).set(host, { at: now, hears }) };
}

/**
 * The state after a peer said how far it is, and whether it is to be asked for what is missing here. What other peers lack as
 * well says nothing.
 *
 * @param theirs How far the peer is with what the store tells.
 * @param own How far this host is.
 */
export function hearProgress(
    state: Following,
    theirs: StoreProgress,
    own: StoreProgress,
    now: number,
): { readonly state: Following; readonly asks: boolean } {
    const known = state.lacked && isFurther(state.lacked.progress, own) ? state.lacked : undefined;
    const isBehind = isFurther(theirs, own);
    const lacked = known ?? (isBehind ? { progress: theirs, since: now } : undefined);
    const asks = lacked !== undefined && isBehind && now - lacked.since >= BEHIND_MS;
    return { state: { ...state, lacked: asks ? { ...lacked, since: now } : lacked }, asks };
}

/**
 * Whether a host watches now, and whether others rely on it.
 *
 * @param hosts Live hosts of its hall, itself included unless it is leaving.
 * @param weights By which they are ranked.
 *
 * @example
 * ```ts
 * const { state: next, reason, says } = planFollowing(state, live, { hears, freshAt }, now);
 * ```
 */
export function planFollowing(
    state: Following,
    hosts: readonly string[],
    { hears, freshAt, seeking }: StoreHeard,
    now: number,
    weights: Weights = EQUAL,
): FollowPlan {
    if (seeking && now - state.startedAt < JOIN_MS) return { state, reason: undefined, says: false };
    const deafAt = hears === false ? now : state.deafAt;
    const isDeaf = hears !== true && now - deafAt < OUT_MS;
    const ranked = rank("store-watch", hosts, weights);
    const { expected, watchers } = pickWatchers(state, ranked, isDeaf, now);
    const place = watchers.indexOf(state.self);
    const isAlone = place < 0 && now - aloneSince(state, freshAt) > ALONE_MS + stagger(ranked.indexOf(state.self));
    const watchUntil = isAlone ? now + KEEP_WATCHING_MS : state.watchUntil;
    const reason = place >= 0 ? PLACES[place] : now < watchUntil ? "alone" : undefined;
    return {
        state: { ...state, expected, watchUntil, deafAt, placed: place >= 0 },
        reason,
        // One that has just been passed over says so once, that the next need not wait for its silence.
        says: hears === undefined ? false : place >= 0 || state.placed && hears === false,
    };
}

const PLACES = ["first", "second"] as const satisfies readonly WatchReason[];

/** Since when nothing was heard of the store, not even that it does not answer a watcher. */
function aloneSince({ startedAt, words }: Following, freshAt: number): number {
    return Math.max(startedAt, freshAt, ...[...words.values()].map(({ at }) => at));
}

function stagger(place: number): number {
    return Math.min(MOST_STAGGER_MS, Math.max(0, place) * STAGGER_MS);
}

/** The first hosts by rank that watch or have only just been expected to. */
function pickWatchers(
    state: Following,
    ranked: readonly string[],
    isDeaf: boolean,
    now: number,
): { readonly expected: ReadonlyMap<string, number>; readonly watchers: readonly string[] } {
    const expected = new Map<string, number>();
    const watchers: string[] = [];
    for (const host of ranked) {
        if (watchers.length === WATCHERS) break;
        const since = expectedSince(state.expected.get(host), state.words.get(host), now);
        expected.set(host, since);
        const counts = host === state.self ? !isDeaf : isWatching(state.words.get(host), since, now);
        if (counts) watchers.push(host);
    }
    return { expected, watchers };
}

/** A host that has been passed over for its silence is expected to speak again after a while. */
function expectedSince(since: number | undefined, word: Word | undefined, now: number): number {
    if (since === undefined) return now;
    const lastSign = Math.max(since, word?.at ?? -Infinity);
    return now - lastSign >= WORD_VALID_MS + OUT_MS ? now : since;
}

function isWatching(word: Word | undefined, since: number, now: number): boolean {
    if (word && now - word.at < WORD_VALID_MS) return word.hears;
    if (word && !word.hears && now - word.at < OUT_MS) return false;
    return now - since < WORD_VALID_MS;
}
