/**
 * Decides which hosts of a hall watch the platform's store. The others follow the watchers: calls to the store cost money, and their
 * number has to grow more slowly than the fleet.
 *
 * The first {@link WATCHERS_PER_HALL} hosts of a hall by rank, which depends on their capacity, watch the store. At least every
 * {@link WATCHER_REPORT_INTERVAL_MS} they report to the hall their progress and whether the store answers them. A watcher that is silent, or that the
 * store does not answer, is passed over for {@link PASSED_OVER_MS} and the next by rank takes its place, so that the hosts of the hall
 * take turns while the store is unavailable. If all are passed over, those that failed first try again: a short outage uses up all
 * hosts of a small hall, and its end must not go unnoticed. The other hosts follow the watchers' reports and the progress of any peer. A host that
 * hears of neither watches the store itself, later the lower its rank is. Following only saves calls; nothing else depends on it.
 *
 *     store ---watch---> first, second          (by rank; if one fails, the next)
 *                          | report: revision, changes, whether the store answers
 *                          v
 *                        others --revision, age--> others (with probes; a host that stays behind asks for the rest)
 *
 * All functions are pure: they return the next state. Times are in milliseconds on the clock by which `now` is given.
 *
 * @module
 */
import { EQUAL_WEIGHTS, rank, WATCHERS_PER_HALL, type Weights } from "./ownership.js";
import { isFurther, type StoreProgress } from "./store-position.js";

/** Interval of a watcher's reports. */
export const WATCHER_REPORT_INTERVAL_MS = 400;
/** A watcher without a report for this long is passed over. It is half of the shortest bound on the delay of changes (2 s). */
export const WATCHER_REPORT_TTL_MS = 1_000;
/** A host that the store did not answer, or that sent no report when it was expected to, is not expected to watch for this long. */
const PASSED_OVER_MS = 3_000;
/** A host that has heard nothing of the store for this long, not even from peers, watches it itself. */
const STORE_SILENCE_MS = 1_500;
/** It waits this much longer for each host that ranks above it, up to {@link MAX_RANK_DELAY_MS}. */
const RANK_DELAY_MS = 50;
const MAX_RANK_DELAY_MS = 1_000;
/** A host that watches because it heard nothing continues for this long, so that it does not start over again and again. */
const KEEP_WATCHING_MS = 3_000;
/** A starting host watches only after this, if it is looking for peers. By then it knows its hall, and has read the store once. */
export const JOIN_GRACE_MS = 1_000;
/**
 * A host that is behind a peer asks the peer for the rest after this, if no watcher's report has arrived by then. The whole state is 10
 * to 100 times as large as a report.
 */
const CATCH_UP_DELAY_MS = 300;

/** A host's last report as a watcher. */
interface WatcherReport {
    readonly at: number;
    /** Whether the store answers the host. */
    readonly hears: boolean;
}

/** A host's view of the watchers of its hall. */
export interface WatcherView {
    readonly self: string;
    readonly startedAt: number;
    /** Last reports by host. */
    readonly reports: ReadonlyMap<string, WatcherReport>;
    /** When a host was first expected to watch, by host. It has {@link WATCHER_REPORT_TTL_MS} for its first report. */
    readonly expectedFrom: ReadonlyMap<string, number>;
    /** Whether this host was one of the watchers at its last plan. */
    readonly wasWatcher: boolean;
    /** Until when this host watches because it heard nothing of the store. */
    readonly watchUntil: number;
    /** When the store last failed to answer this host. */
    readonly storeFailedAt: number;
    /** Progress of a peer that is ahead of this host, and since when this host knows of it. */
    readonly missing: { readonly progress: StoreProgress; readonly since: number } | undefined;
}

/** What a host knows of the store when it plans whether to watch. */
export interface StoreContact {
    /** Whether the store answers this host; undefined while it does not watch or has no answer yet. */
    readonly hears: boolean | undefined;
    /** When the store last answered this host or one that it follows, as far as it knows. */
    readonly freshAt: number;
    /** Whether the host still tries to reach peers that it does not know yet. */
    readonly seeking: boolean;
}

/** Why a host watches: it is the first or second watcher by rank, or it heard nothing of the store. */
export type WatchReason = "first" | "second" | "alone";

/** What a host has to do now. */
export interface WatchPlan {
    readonly state: WatcherView;
    /** Why it watches the store; undefined if it follows. */
    readonly reason: WatchReason | undefined;
    /** Whether it sends its hall a report now. */
    readonly shouldReport: boolean;
}

/** Creates the view of a host that knows of no watcher. */
export function createWatcherView(self: string, now: number): WatcherView {
    return {
        self,
        startedAt: now,
        reports: new Map(),
        expectedFrom: new Map(),
        wasWatcher: false,
        watchUntil: -Infinity,
        storeFailedAt: -Infinity,
        missing: undefined,
    };
}

/** Records a host's report of whether the store answers it. */
export function recordWatcherReport(state: WatcherView, host: string, hears: boolean, now: number): WatcherView {
    return { ...state, reports: new Map(state.reports).set(host, { at: now, hears }) };
}

/**
 * Records a peer's progress. Returns the state and whether to ask this peer for what this host lacks. Only a peer that is ahead is asked,
 * and only if this host has been behind for {@link CATCH_UP_DELAY_MS}.
 *
 * @param theirs The peer's progress.
 * @param own This host's progress.
 */
export function recordPeerProgress(
    state: WatcherView,
    theirs: StoreProgress,
    own: StoreProgress,
    now: number,
): { readonly state: WatcherView; readonly asks: boolean } {
    const known = state.missing && isFurther(state.missing.progress, own) ? state.missing : undefined;
    const isBehind = isFurther(theirs, own);
    const missing = known ?? (isBehind ? { progress: theirs, since: now } : undefined);
    const asks = missing !== undefined && isBehind && now - missing.since >= CATCH_UP_DELAY_MS;
    return { state: { ...state, missing: asks ? { ...missing, since: now } : missing }, asks };
}

/**
 * Decides whether a host watches the store now, and whether it reports to its hall.
 *
 * @param hosts Live hosts of its hall, including itself unless it is leaving.
 * @param weights Weights by which they are ranked.
 *
 * @example
 * ```ts
 * const { state: next, reason, shouldReport } = planWatching(state, live, { hears, freshAt, seeking }, now);
 * ```
 */
export function planWatching(
    state: WatcherView,
    hosts: readonly string[],
    { hears, freshAt, seeking }: StoreContact,
    now: number,
    weights: Weights = EQUAL_WEIGHTS,
): WatchPlan {
    if (seeking && now - state.startedAt < JOIN_GRACE_MS) return { state, reason: undefined, shouldReport: false };
    const storeFailedAt = hears === false ? now : state.storeFailedAt;
    const hasStoreFailed = hears !== true && now - storeFailedAt < PASSED_OVER_MS;
    const ranked = rank("store-watch", hosts, weights);
    const picked = pickWatchers(state, ranked, hasStoreFailed, now);
    const expectedFrom = picked.expected;
    const watchers = picked.watchers.length > 0
        ? picked.watchers
        : longestPassedOver({ ...state, expectedFrom, storeFailedAt }, ranked);
    const watcherIndex = watchers.indexOf(state.self);
    const isAlone = watcherIndex < 0
        && now - lastStoreNewsAt(state, freshAt) > STORE_SILENCE_MS + rankDelay(ranked.indexOf(state.self));
    const watchUntil = isAlone ? now + KEEP_WATCHING_MS : state.watchUntil;
    const reason = watcherIndex >= 0 ? REASON_BY_PLACE[watcherIndex] : now < watchUntil ? "alone" : undefined;
    return {
        state: { ...state, expectedFrom, watchUntil, storeFailedAt, wasWatcher: watcherIndex >= 0 },
        reason,
        // A watcher whose call to the store just failed reports that once, so that the next need not wait for its silence.
        shouldReport: hears === undefined ? false : watcherIndex >= 0 || state.wasWatcher && hears === false,
    };
}

const REASON_BY_PLACE = ["first", "second"] as const satisfies readonly WatchReason[];

/** Returns when this host last heard of the store, including reports that it does not answer a watcher. */
function lastStoreNewsAt({ startedAt, reports }: WatcherView, freshAt: number): number {
    return Math.max(startedAt, freshAt, ...[...reports.values()].map(({ at }) => at));
}

function rankDelay(place: number): number {
    return Math.min(MAX_RANK_DELAY_MS, Math.max(0, place) * RANK_DELAY_MS);
}

/** Returns the first hosts by rank that watch, or that have only just been expected to. */
function pickWatchers(
    state: WatcherView,
    ranked: readonly string[],
    hasStoreFailed: boolean,
    now: number,
): { readonly expected: ReadonlyMap<string, number>; readonly watchers: readonly string[] } {
    const expected = new Map<string, number>();
    const watchers: string[] = [];
    for (const host of ranked) {
        if (watchers.length === WATCHERS_PER_HALL) break;
        const since = expectedSince(state.expectedFrom.get(host), state.reports.get(host), now);
        expected.set(host, since);
        const isActive = host === state.self ? !hasStoreFailed : isWatching(state.reports.get(host), since, now);
        if (isActive) watchers.push(host);
    }
    return { expected, watchers };
}

/** Returns the hosts whose last failure is the longest ago, by rank where that is equal. */
function longestPassedOver(
    { self, reports, expectedFrom, storeFailedAt }: WatcherView,
    ranked: readonly string[],
): readonly string[] {
    const failedAt = (host: string): number =>
        host === self ? storeFailedAt : reports.get(host)?.at ?? expectedFrom.get(host) ?? -Infinity;
    return ranked.toSorted((a, b) => failedAt(a) - failedAt(b)).slice(0, WATCHERS_PER_HALL);
}

/** Returns since when a host is expected to watch. A host that was passed over for its silence is expected again after a while. */
function expectedSince(since: number | undefined, report: WatcherReport | undefined, now: number): number {
    if (since === undefined) return now;
    const lastSign = Math.max(since, report?.at ?? -Infinity);
    return now - lastSign >= WATCHER_REPORT_TTL_MS + PASSED_OVER_MS ? now : since;
}

function isWatching(report: WatcherReport | undefined, since: number, now: number): boolean {
    if (report && now - report.at < WATCHER_REPORT_TTL_MS) return report.hears;
    if (report && !report.hears && now - report.at < PASSED_OVER_MS) return false;
    return now - since < WATCHER_REPORT_TTL_MS;
}
