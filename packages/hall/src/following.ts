/**
 * Which hosts of a hall watch the platform's store, and which follow those that do: a call to the store is paid for, and
 * its rate grows more slowly than the fleet.
 *
 * In a hall of more than {@link MOST_ALL_WATCH} hosts the first {@link WATCHERS} by rank watch and say at least every
 * {@link WORD_EVERY_MS} how far they are and whether the store answers them. One that is silent, or that the store does
 * not answer, is passed over, so that the next by rank takes its place. A host that hears of no watcher that the store
 * answers watches by itself: following saves calls and decides nothing else.
 *
 * Pure: each function returns the next state. Times are milliseconds on one clock of the caller's choice.
 *
 * @module
 */
import { rank, WATCHERS } from "./ownership.js";

/** Up to this many hosts of a hall all watch: there is little to save, and nothing to wait for when one dies. */
export const MOST_ALL_WATCH = 4;
/** How often a watcher says where it stands. */
export const WORD_EVERY_MS = 250;
/** A watcher that says nothing for three times as long is not relied on: well within the shortest bound on news (2 s). */
export const WORD_VALID_MS = 750;
/** A host that the store did not answer counts as no watcher for this long, though it does not watch meanwhile. */
const DEAF_MS = 3_000;
/** A host that began to watch by itself goes on for this long, so that it does not begin again and again. */
const KEEP_WATCHING_MS = 3_000;

/** What a host last said of itself as a watcher. */
interface Word {
    readonly at: number;
    /** Whether the store answers it. */
    readonly hears: boolean;
}

/** What a host knows of its hall's watchers. */
export interface Following {
    readonly self: string;
    readonly words: ReadonlyMap<string, Word>;
    /** Since when a host is expected to watch; it has {@link WORD_VALID_MS} to say so. */
    readonly expected: ReadonlyMap<string, number>;
    /** Until when this host watches whatever others say. */
    readonly watchUntil: number;
    /** When the store last failed to answer this host. */
    readonly deafAt: number;
}

/** What a host has to do. */
export interface FollowPlan {
    readonly state: Following;
    /** Whether it watches the store. */
    readonly watches: boolean;
    /** Its place among its hall's watchers, 0 the first; undefined where it is none or where all watch. */
    readonly place: number | undefined;
}

/** A host that knows of no watcher. */
export function createFollowing(self: string): Following {
    return { self, words: new Map(), expected: new Map(), watchUntil: -Infinity, deafAt: -Infinity };
}

/** The state after a host said whether the store answers it. */
export function hearWatcher(state: Following, host: string, hears: boolean, now: number): Following {
    return { ...state, words: new Map(state.words).set(host, { at: now, hears }) };
}

/**
 * Whether a host watches now, and whether others rely on it.
 *
 * @param hosts Live hosts of its hall, itself included unless it is leaving.
 * @param hears Whether the store answers this host; undefined while it does not watch.
 *
 * @example
 * ```ts
 * const { state: next, watches, place } = planFollowing(state, live, hears, now);
 * ```
 */
export function planFollowing(
    state: Following,
    hosts: readonly string[],
    hears: boolean | undefined,
    now: number,
): FollowPlan {
    if (hosts.length <= MOST_ALL_WATCH) return { state, watches: true, place: undefined };
    const deafAt = hears === false ? now : state.deafAt;
    const isDeaf = hears !== true && now - deafAt < DEAF_MS;
    const { expected, watchers } = pickWatchers(state, hosts, isDeaf, now);
    const isFollowed = [...state.words].some(([host, word]) => hosts.includes(host) && isRelied(word, now));
    const watchUntil = isFollowed ? state.watchUntil : now + KEEP_WATCHING_MS;
    const at = watchers.indexOf(state.self);
    const place = at < 0 ? undefined : at;
    return {
        state: { ...state, expected, watchUntil, deafAt },
        watches: place !== undefined || now < watchUntil,
        place,
    };
}

function isRelied({ at, hears }: Word, now: number): boolean {
    return hears && now - at < WORD_VALID_MS;
}

/** The first hosts by rank that watch or have only just been expected to. */
function pickWatchers(
    state: Following,
    hosts: readonly string[],
    isDeaf: boolean,
    now: number,
): { readonly expected: ReadonlyMap<string, number>; readonly watchers: readonly string[] } {
    const expected = new Map<string, number>();
    const watchers: string[] = [];
    for (const host of rank("store-watch", hosts)) {
        if (watchers.length === WATCHERS) break;
        const since = state.expected.get(host) ?? now;
        expected.set(host, since);
        const word = state.words.get(host);
        const counts = host === state.self
            ? !isDeaf
            : word && now - word.at < WORD_VALID_MS
            ? word.hears
            : now - since < WORD_VALID_MS;
        if (counts) watchers.push(host);
    }
    return { expected, watchers };
}
