/**
 * What the hosts of a hall hold on shared endpoints: each host tells an endpoint's owner what its own streams hold and
 * will hold; the owner tells each what the others do. Only changes are sent.
 *
 * The account is soft: what is lost is sent again when it next changes or grows old, and what a silent host held is
 * dropped after {@link HELD_VALID_MS}. A new owner has the account as soon as the holders have spoken, which they do at
 * once when they see that the owner changed.
 *
 * Pure: every function returns the next state.
 *
 * @module
 */
import {
    addCurve,
    type Curve,
    NOTHING_SHOWN,
    type Others,
    type Shown,
    shownSince,
    zeroCurve,
} from "@drumpaddle/policy";
import { type ShownWords, shownWords, speedOf, type SpeedWords } from "./speed-encoding.js";

/** What one host holds on one endpoint. */
export interface Held {
    readonly endpoint: string;
    readonly streams: number;
    /** Prompt tokens of those that have not begun. */
    readonly unread: number;
    /** Streams that wait too long for their first token. */
    readonly stalled: number;
    /** Mean of the memory at each point of the horizon, in units of {@link TOKENS_PER_UNIT} tokens. */
    readonly mean: readonly number[];
    /** Its standard deviation, in the same units. */
    readonly deviation: readonly number[];
    /** Told to owners: what its streams showed of the endpoint's speed since it was last told; absent where that is nothing. */
    readonly shown?: ShownWords;
    /** Told by owners: what all streams showed of it; absent where they showed nothing. */
    readonly speed?: SpeedWords;
}

/** What one host holds on one endpoint, with all that its streams ever showed of its speed. */
export interface Holding extends Held {
    readonly allShown?: Shown;
}

/** What an owner has been told, by endpoint and host, with what it granted since. */
export interface Account {
    readonly held: ReadonlyMap<string, Tally>;
}

/** What all hosts hold on one endpoint, with the sum over them: it is asked for with every request. */
interface Tally {
    readonly hosts: ReadonlyMap<string, Entry>;
    readonly sum: Others;
}

/** What one host holds on one endpoint by the account. */
interface Entry {
    /** What it told, and what was granted to it since. */
    readonly others: Others;
    readonly at: number;
}

/** What a host has told owners, so that it says only what is new. */
export interface Told {
    readonly last: ReadonlyMap<string, ToldHeld>;
}

interface ToldHeld {
    readonly owner: string;
    readonly held: Holding;
    readonly at: number;
}

/** What a host held counts for this long after it was last said. */
export const HELD_VALID_MS = 15_000;
/** Unchanged holdings are said again this often. */
export const REPEAT_MS = 4_000;
/** How often owners tell hosts in a hall of up to {@link SMALL_ROUND} hosts, in milliseconds. */
const TELL_MS = 250;
const SMALL_ROUND = 2.5;
/** Up to this many hosts rounds are short: what they send then still fits the budget of a host. */
const FEW_HOSTS = 12;
const FEW_HOSTS_TELL_MS = 100;

/** How often hosts of larger halls tell owners what they hold: what an owner advises by is this old at most. */
export const TELL_OWNERS_MS = 250;

/**
 * How often owners tell hosts what others hold: more rarely in larger halls, where asking owners carries what rounds no
 * longer do.
 *
 * @example
 * ```ts
 * tellEvery(9); // 100
 * tellEvery(58); // 5800
 * ```
 */
export function tellEvery(hosts: number): number {
    if (hosts <= FEW_HOSTS) return FEW_HOSTS_TELL_MS;
    return Math.round(TELL_MS * Math.max(1, hosts / SMALL_ROUND));
}
/** A change of the expected memory by this share is worth saying. */
const CHANGE_SHARE = 0.03;

/** An owner that has been told nothing. */
export const EMPTY_ACCOUNT: Account = { held: new Map() };
/** A host that has told nothing. */
export const NOTHING_TOLD: Told = { last: new Map() };

/** Holdings are sent in units of so many tokens, which keeps nearly all numbers in three bytes. */
const TOKENS_PER_UNIT = 16;

/**
 * A host's holdings on an endpoint, as they are sent: in units, and variances as standard deviations, so that they pack
 * small.
 *
 * @example
 * ```ts
 * heldOf("e1", { streams: view.streams.size, unread: unreadTokens(view), stalled: 0, curve: view.curve });
 * ```
 */
export function heldOf(endpoint: string, { streams, unread, stalled, curve }: Others): Held {
    const mean = Array.from(curve.mean, value => Math.round(value / TOKENS_PER_UNIT));
    const deviation = Array.from(curve.variance, value => Math.round(Math.sqrt(value) / TOKENS_PER_UNIT));
    return { endpoint, streams, unread, stalled, mean, deviation };
}

/**
 * Which of a host's holdings are worth saying now, by owner.
 *
 * @example
 * ```ts
 * const { state, toSay } = planTelling(told, holdings, endpoint => ownerOf(`endpoint/${endpoint}`, live), now);
 * ```
 */
export function planTelling(
    told: Told,
    holdings: readonly Holding[],
    ownerOf: (endpoint: string) => string | undefined,
    now: number,
): { readonly state: Told; readonly toSay: ReadonlyMap<string, readonly Held[]> } {
    const last = new Map(told.last);
    const toSay = new Map<string, Held[]>();
    for (const held of holdings) {
        const owner = ownerOf(held.endpoint);
        const before = last.get(held.endpoint);
        const shown = shownSince(held.allShown ?? NOTHING_SHOWN, before?.held.allShown ?? NOTHING_SHOWN);
        if (owner === undefined || !shown && !worthSaying(before, held, owner, now)) continue;
        last.set(held.endpoint, { owner, held, at: now });
        const said = withShown(held, shown);
        const list = toSay.get(owner);
        if (list) list.push(said);
        else toSay.set(owner, [said]);
    }
    return { state: { last }, toSay };
}

/** Holdings as they are sent: with what is new of what was shown, in place of all of it. */
function withShown({ endpoint, streams, unread, stalled, mean, deviation }: Holding, shown: Shown | undefined): Held {
    return { endpoint, streams, unread, stalled, mean, deviation, ...(shown ? { shown: shownWords(shown) } : {}) };
}

function worthSaying(
    last: ToldHeld | undefined,
    held: Held,
    owner: string,
    now: number,
): boolean {
    if (!last || last.owner !== owner) return holdsAny(held);
    if (!holdsAny(held) && !holdsAny(last.held)) return false;
    return now - last.at >= REPEAT_MS || isNews(last.held, held);
}

/** Whether a host's holdings differ from those that were said last by enough to say them again. */
export function isNews(last: Held, held: Held): boolean {
    if (held.streams !== last.streams || held.unread !== last.unread || held.stalled !== last.stalled) return true;
    if (isOtherSpeed(last.speed, held.speed)) return true;
    return held.mean.some((mean, at) => Math.abs(mean - last.mean[at]!) > CHANGE_SHARE * Math.max(1, last.mean[at]!));
}

/** Whether a speed was not known yet, or lies outside of what was said with its uncertainty. */
function isOtherSpeed(last: SpeedWords | undefined, speed: SpeedWords | undefined): boolean {
    if (!last || !speed) return last !== speed;
    const { value, weight } = speedOf(last);
    return (speedOf(speed).value - value) ** 2 * weight > 1;
}

/** Copies of streams hold memory without being streams. */
function holdsAny({ streams, mean }: Held): boolean {
    return streams > 0 || mean[0]! > 0;
}

const NO_TALLY: Tally = { hosts: new Map(), sum: { streams: 0, unread: 0, stalled: 0, curve: zeroCurve() } };

function plus(a: Others, b: Others, sign: 1 | -1): Others {
    return {
        streams: a.streams + sign * b.streams,
        unread: a.unread + sign * b.unread,
        stalled: a.stalled + sign * b.stalled,
        curve: addCurve(a.curve, b.curve, sign),
    };
}

function withEntry({ hosts, sum }: Tally, host: string, entry: Entry): Tally {
    const known = hosts.get(host);
    const rest = known ? plus(sum, known.others, -1) : sum;
    return { hosts: new Map(hosts).set(host, entry), sum: plus(rest, entry.others, 1) };
}

/** What was sent of one endpoint. */
export function othersOf(held: Held): Others {
    return { streams: held.streams, unread: held.unread, stalled: held.stalled, curve: curveOf(held) };
}

/** The account after a host told what it holds. Anything of another shape than a {@link Held} is left out. */
export function takeHeld(account: Account, host: string, holdings: readonly Held[], now: number): Account {
    if (holdings.length === 0) return account;
    const next = new Map(account.held);
    for (const held of holdings) {
        const tally = next.get(held.endpoint) ?? NO_TALLY;
        next.set(held.endpoint, withEntry(tally, host, { others: othersOf(held), at: now }));
    }
    return { held: next };
}

/** The account without what hosts said so long ago that it no longer counts. */
export function dropStale(account: Account, now: number): Account {
    const held = new Map<string, Tally>();
    for (const [endpoint, tally] of account.held) {
        const fresh = [...tally.hosts].filter(([, { at }]) => now - at <= HELD_VALID_MS);
        if (fresh.length === 0) continue;
        const sum = fresh.length === tally.hosts.size
            ? tally.sum
            : fresh.reduce((total, [, { others }]) => plus(total, others, 1), NO_TALLY.sum);
        held.set(endpoint, { hosts: new Map(fresh), sum });
    }
    return { held };
}

/**
 * What hosts other than `host` hold on an endpoint by the account.
 *
 * @example
 * ```ts
 * othersFor(account, "e1", "k1-a").streams;
 * ```
 */
export function othersFor(account: Account, endpoint: string, host: string): Others {
    const { hosts, sum } = account.held.get(endpoint) ?? NO_TALLY;
    const own = hosts.get(host);
    return own ? plus(sum, own.others, -1) : sum;
}

/** What an owner granted to a host: a stream, or a copy, which holds memory without any work. */
export interface Grant {
    readonly endpoint: string;
    readonly kind: "stream" | "copy";
    readonly curve: Curve;
}

/** The account after a grant, which counts until the host next tells what it holds there. */
export function addGrant(account: Account, host: string, { endpoint, kind, curve }: Grant, now: number): Account {
    const tally = account.held.get(endpoint) ?? NO_TALLY;
    const before = tally.hosts.get(host)?.others ?? NO_TALLY.sum;
    // A granted stream holds its prompt, which is still to be read.
    const isStream = kind === "stream";
    const granted: Others = { streams: isStream ? 1 : 0, unread: isStream ? curve.mean[0]! : 0, stalled: 0, curve };
    const entry: Entry = { others: plus(before, granted, 1), at: now };
    return { held: new Map(account.held).set(endpoint, withEntry(tally, host, entry)) };
}

/** A curve from what was sent. */
export function curveOf(held: Held): Curve {
    return {
        mean: Float64Array.from(held.mean, units => units * TOKENS_PER_UNIT),
        variance: Float64Array.from(held.deviation, units => (units * TOKENS_PER_UNIT) ** 2),
    };
}
