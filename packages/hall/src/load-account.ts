/**
 * Accounts of the load of a hall's hosts on the endpoints that they share. Each host reports the current and the forecast load of its
 * own streams to an endpoint's owner. The owner reports to each host the load of the others. Only changes are sent.
 *
 * The owner's account is soft state: a lost report is replaced by the next one, which comes with the next change or after
 * {@link LOAD_REPEAT_MS}, and the load of a silent host expires after {@link LOAD_TTL_MS}. Hosts report at once when the owner of an
 * endpoint changes, so that a new owner soon has a complete account.
 *
 * All functions are pure: they return the next state.
 *
 * @module
 */
import {
    addCurve,
    type MemoryCurve,
    NO_SPEED_SUMS,
    type OthersLoad,
    type SpeedSums,
    speedSumsSince,
    zeroCurve,
} from "@drumpaddle/policy";
import { decodeSpeed, type EncodedSamples, type EncodedSpeed, encodeSamples } from "./speed-encoding.js";

/** The load of one host, or of several, on one endpoint, as hosts send it to each other. */
export interface EndpointLoad {
    readonly endpoint: string;
    readonly streams: number;
    /** Prompt tokens of streams that have not produced a token yet. */
    readonly unread: number;
    /** Streams that have waited too long for their first token. */
    readonly stalled: number;
    /** Expected memory at each point of the forecast horizon, in units of {@link TOKENS_PER_UNIT} tokens. */
    readonly mean: readonly number[];
    /** Standard deviation of the memory, in the same units. */
    readonly deviation: readonly number[];
    /** In reports to owners: speed samples since the last report; absent if there are none. */
    readonly shown?: EncodedSamples;
    /** In reports of owners: the speed estimated from the samples of all hosts; absent if there are none. */
    readonly speed?: EncodedSpeed;
}

/** This host's load on one endpoint, with the sums of all speed samples of its streams so far. */
export interface LocalLoad extends EndpointLoad {
    readonly allSamples?: SpeedSums;
}

/** An owner's account: the loads that hosts reported, and the grants since. */
export interface LoadAccount {
    /** By endpoint. */
    readonly tallies: ReadonlyMap<string, Tally>;
}

/** The loads of all hosts on one endpoint. Their sum is kept because every request needs it. */
interface Tally {
    readonly hosts: ReadonlyMap<string, HostEntry>;
    readonly sum: OthersLoad;
}

/** One host's load on one endpoint. */
interface HostEntry {
    /** The host's last report, plus what was granted to it since. */
    readonly load: OthersLoad;
    readonly at: number;
}

/** A host's last reports to owners, so that it sends only changes. */
export interface ReportedLoads {
    /** By endpoint. */
    readonly last: ReadonlyMap<string, ReportedLoad>;
}

interface ReportedLoad {
    readonly owner: string;
    readonly load: LocalLoad;
    readonly at: number;
}

/** A host's load counts for this long after its last report. */
export const LOAD_TTL_MS = 15_000;
/** Unchanged loads are reported again after this. */
export const LOAD_REPEAT_MS = 4_000;
/** In a larger hall the interval of an owner's reports to hosts is this for each {@link OWNER_REPORT_HOSTS} hosts. */
const OWNER_REPORT_MS = 250;
const OWNER_REPORT_HOSTS = 2.5;
/** In a hall of up to this many hosts, owners report at a short fixed interval; the traffic stays within a host's budget. */
const SMALL_HALL_HOSTS = 12;
const SMALL_HALL_OWNER_REPORT_MS = 100;

/** In larger halls, hosts report to owners at this interval; an owner decides by loads that are at most this old. */
export const HOST_REPORT_INTERVAL_MS = 250;

/**
 * Returns the interval of an owner's reports to hosts, in milliseconds. It grows with the hall; in larger halls hosts ask owners where to
 * send requests instead of relying on reports.
 *
 * @example
 * ```ts
 * ownerReportIntervalMs(9); // 100
 * ownerReportIntervalMs(58); // 5800
 * ```
 */
export function ownerReportIntervalMs(hosts: number): number {
    if (hosts <= SMALL_HALL_HOSTS) return SMALL_HALL_OWNER_REPORT_MS;
    return Math.round(OWNER_REPORT_MS * Math.max(1, hosts / OWNER_REPORT_HOSTS));
}

/** A change of the expected memory by more than this fraction is reported. */
const MIN_MEMORY_CHANGE = 0.03;

/** The account of an owner without any reports. */
export const EMPTY_ACCOUNT: LoadAccount = { tallies: new Map() };
/** The state of a host that has reported nothing. */
export const NOTHING_REPORTED: ReportedLoads = { last: new Map() };

/** Memory is sent in units of this many tokens, so that nearly all numbers take at most three bytes. */
const TOKENS_PER_UNIT = 16;

/**
 * Encodes a load on an endpoint compactly: memory in units of {@link TOKENS_PER_UNIT}, and standard deviations instead of variances.
 *
 * @example
 * ```ts
 * encodeLoad("e1", { streams: view.streams.size, unread: unreadTokens(view), stalled: 0, curve: view.curve });
 * ```
 */
export function encodeLoad(endpoint: string, { streams, unread, stalled, curve }: OthersLoad): EndpointLoad {
    const mean = Array.from(curve.mean, value => Math.round(value / TOKENS_PER_UNIT));
    const deviation = Array.from(curve.variance, value => Math.round(Math.sqrt(value) / TOKENS_PER_UNIT));
    return { endpoint, streams, unread, stalled, mean, deviation };
}

/**
 * Returns the loads that a host reports now, by owner: those that have changed, have a new owner or are due for a repeat.
 *
 * @example
 * ```ts
 * const { state, reports } = planReports(reported, loads, endpoint => ownerOf(`endpoint/${endpoint}`, live), now);
 * ```
 */
export function planReports(
    reported: ReportedLoads,
    loads: readonly LocalLoad[],
    ownerOf: (endpoint: string) => string | undefined,
    now: number,
): { readonly state: ReportedLoads; readonly reports: ReadonlyMap<string, readonly EndpointLoad[]> } {
    const last = new Map(reported.last);
    const reportsByOwner = new Map<string, EndpointLoad[]>();
    for (const load of loads) {
        const owner = ownerOf(load.endpoint);
        const previous = last.get(load.endpoint);
        const newSamples = speedSumsSince(load.allSamples ?? NO_SPEED_SUMS, previous?.load.allSamples ?? NO_SPEED_SUMS);
        if (owner === undefined || !newSamples && !shouldReport(previous, load, owner, now)) continue;
        last.set(load.endpoint, { owner, load, at: now });
        const report = withNewSamples(load, newSamples);
        const ownerReports = reportsByOwner.get(owner);
        if (ownerReports) ownerReports.push(report);
        else reportsByOwner.set(owner, [report]);
    }
    return { state: { last }, reports: reportsByOwner };
}

/** Returns a load for a report: with the new speed samples instead of all samples. */
function withNewSamples(
    { endpoint, streams, unread, stalled, mean, deviation }: LocalLoad,
    newSamples: SpeedSums | undefined,
): EndpointLoad {
    return {
        endpoint,
        streams,
        unread,
        stalled,
        mean,
        deviation,
        ...(newSamples ? { shown: encodeSamples(newSamples) } : {}),
    };
}

function shouldReport(
    last: ReportedLoad | undefined,
    load: EndpointLoad,
    owner: string,
    now: number,
): boolean {
    if (!last || last.owner !== owner) return hasLoad(load);
    if (!hasLoad(load) && !hasLoad(last.load)) return false;
    return now - last.at >= LOAD_REPEAT_MS || hasChanged(last.load, load);
}

/** Returns whether a load differs enough from the last reported one to be reported again. */
export function hasChanged(last: EndpointLoad, load: EndpointLoad): boolean {
    if (load.streams !== last.streams || load.unread !== last.unread || load.stalled !== last.stalled) return true;
    if (hasSpeedChanged(last.speed, load.speed)) return true;
    return load.mean.some((mean, at) =>
        Math.abs(mean - last.mean[at]!) > MIN_MEMORY_CHANGE * Math.max(1, last.mean[at]!)
    );
}

/** Returns whether a speed is new, or differs from the reported one by more than its standard deviation. */
function hasSpeedChanged(last: EncodedSpeed | undefined, speed: EncodedSpeed | undefined): boolean {
    if (!last || !speed) return last !== speed;
    const { value, weight } = decodeSpeed(last);
    return (decodeSpeed(speed).value - value) ** 2 * weight > 1;
}

/** Returns whether a host has any load on an endpoint. Standby copies of streams hold memory but do not count as streams. */
function hasLoad({ streams, mean }: EndpointLoad): boolean {
    return streams > 0 || mean[0]! > 0;
}

const EMPTY_TALLY: Tally = { hosts: new Map(), sum: { streams: 0, unread: 0, stalled: 0, curve: zeroCurve() } };

function addLoad(a: OthersLoad, b: OthersLoad, sign: 1 | -1): OthersLoad {
    return {
        streams: a.streams + sign * b.streams,
        unread: a.unread + sign * b.unread,
        stalled: a.stalled + sign * b.stalled,
        curve: addCurve(a.curve, b.curve, sign),
    };
}

function withEntry({ hosts, sum }: Tally, host: string, entry: HostEntry): Tally {
    const known = hosts.get(host);
    const rest = known ? addLoad(sum, known.load, -1) : sum;
    return { hosts: new Map(hosts).set(host, entry), sum: addLoad(rest, entry.load, 1) };
}

export function decodeLoad(encoded: EndpointLoad): OthersLoad {
    return { streams: encoded.streams, unread: encoded.unread, stalled: encoded.stalled, curve: decodeCurve(encoded) };
}

/** Records a host's report in an owner's account. */
export function recordLoads(
    account: LoadAccount,
    host: string,
    loads: readonly EndpointLoad[],
    now: number,
): LoadAccount {
    if (loads.length === 0) return account;
    const next = new Map(account.tallies);
    for (const load of loads) {
        const tally = next.get(load.endpoint) ?? EMPTY_TALLY;
        next.set(load.endpoint, withEntry(tally, host, { load: decodeLoad(load), at: now }));
    }
    return { tallies: next };
}

/** Drops loads whose last report is older than {@link LOAD_TTL_MS}. */
export function dropExpiredLoads(account: LoadAccount, now: number): LoadAccount {
    const tallies = new Map<string, Tally>();
    for (const [endpoint, tally] of account.tallies) {
        const fresh = [...tally.hosts].filter(([, { at }]) => now - at <= LOAD_TTL_MS);
        if (fresh.length === 0) continue;
        const sum = fresh.length === tally.hosts.size
            ? tally.sum
            : fresh.reduce((total, [, { load }]) => addLoad(total, load, 1), EMPTY_TALLY.sum);
        tallies.set(endpoint, { hosts: new Map(fresh), sum });
    }
    return { tallies };
}

/**
 * Returns the load of all hosts other than `host` on an endpoint.
 *
 * @example
 * ```ts
 * loadOfOthers(account, "e1", "k1-a").streams;
 * ```
 */
export function loadOfOthers(account: LoadAccount, endpoint: string, host: string): OthersLoad {
    const { hosts, sum } = account.tallies.get(endpoint) ?? EMPTY_TALLY;
    const ownEntry = hosts.get(host);
    return ownEntry ? addLoad(sum, ownEntry.load, -1) : sum;
}

/** Room that an owner granted to a host: for a stream, or for a standby copy, which holds memory but needs no computation. */
export interface Grant {
    readonly endpoint: string;
    readonly kind: "stream" | "copy";
    readonly curve: MemoryCurve;
}

/** Records a grant. It counts until the host's next report for the endpoint. */
export function recordGrant(
    account: LoadAccount,
    host: string,
    { endpoint, kind, curve }: Grant,
    now: number,
): LoadAccount {
    const tally = account.tallies.get(endpoint) ?? EMPTY_TALLY;
    const previous = tally.hosts.get(host)?.load ?? EMPTY_TALLY.sum;
    // A granted stream starts with its prompt, all of which is unread.
    const isStream = kind === "stream";
    const granted: OthersLoad = { streams: isStream ? 1 : 0, unread: isStream ? curve.mean[0]! : 0, stalled: 0, curve };
    const entry: HostEntry = { load: addLoad(previous, granted, 1), at: now };
    return { tallies: new Map(account.tallies).set(endpoint, withEntry(tally, host, entry)) };
}

/** Decodes the forecast of memory of a load. */
export function decodeCurve(encoded: EndpointLoad): MemoryCurve {
    return {
        mean: Float64Array.from(encoded.mean, units => units * TOKENS_PER_UNIT),
        variance: Float64Array.from(encoded.deviation, units => (units * TOKENS_PER_UNIT) ** 2),
    };
}
