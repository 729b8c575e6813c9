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
import { addCurve, type Bounds, type Curve, type Others, peakOf, zeroCurve } from "@drumpaddle/policy";

/** What one host holds on one endpoint. */
export interface Held {
    readonly endpoint: string;
    readonly streams: number;
    /** Prompt tokens of those that have not begun. */
    readonly unread: number;
    /** Mean of the memory at each point of the horizon, in units of {@link TOKENS_PER_UNIT} tokens. */
    readonly mean: readonly number[];
    /** Its standard deviation, in the same units. */
    readonly deviation: readonly number[];
}

/** What an owner has been told, by endpoint and host, with what it granted since. */
export interface Account {
    readonly held: ReadonlyMap<string, ReadonlyMap<string, Entry>>;
}

interface Entry {
    readonly held: Held;
    readonly at: number;
    /** Streams granted to the host since it last told. */
    readonly granted: readonly Curve[];
}

/** What a host has told owners, so that it says only what is new. */
export interface Told {
    readonly last: ReadonlyMap<string, { readonly owner: string; readonly held: Held; readonly at: number }>;
}

/** What a host held counts for this long after it was last said. */
export const HELD_VALID_MS = 15_000;
/** Unchanged holdings are said again this often. */
export const REPEAT_MS = 4_000;
/** How often holdings are told in a hall of up to {@link SMALL_ROUND} hosts, in milliseconds. */
const TELL_MS = 250;
const SMALL_ROUND = 2.5;
/** Up to this many hosts rounds are short: what they send then still fits the budget of a host. */
const FEW_HOSTS = 12;
const FEW_HOSTS_TELL_MS = 100;

/**
 * How often a host tells owners what it holds, and owners tell hosts: more rarely in larger halls, where asking before
 * crowded endpoints carries what rounds no longer do.
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
 * heldOf("e1", view.streams.size, unreadTokens(view), view.curve);
 * ```
 */
export function heldOf(endpoint: string, streams: number, unread: number, curve: Curve): Held {
    const mean = Array.from(curve.mean, value => Math.round(value / TOKENS_PER_UNIT));
    const deviation = Array.from(curve.variance, value => Math.round(Math.sqrt(value) / TOKENS_PER_UNIT));
    return { endpoint, streams, unread, mean, deviation };
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
    holdings: readonly Held[],
    ownerOf: (endpoint: string) => string | undefined,
    now: number,
): { readonly state: Told; readonly toSay: ReadonlyMap<string, readonly Held[]> } {
    const last = new Map(told.last);
    const toSay = new Map<string, Held[]>();
    for (const held of holdings) {
        const owner = ownerOf(held.endpoint);
        if (owner === undefined || !worthSaying(last.get(held.endpoint), held, owner, now)) continue;
        last.set(held.endpoint, { owner, held, at: now });
        const list = toSay.get(owner);
        if (list) list.push(held);
        else toSay.set(owner, [held]);
    }
    return { state: { last }, toSay };
}

function worthSaying(
    last: { readonly owner: string; readonly held: Held; readonly at: number } | undefined,
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
    if (held.streams !== last.streams || held.unread !== last.unread) return true;
    return held.mean.some((mean, at) => Math.abs(mean - last.mean[at]!) > CHANGE_SHARE * Math.max(1, last.mean[at]!));
}

/** Copies of streams hold memory without being streams. */
function holdsAny({ streams, mean }: Held): boolean {
    return streams > 0 || mean[0]! > 0;
}

/** The account after a host told what it holds. Anything of another shape than a {@link Held} is left out. */
export function takeHeld(account: Account, host: string, holdings: readonly Held[], now: number): Account {
    const next = new Map(account.held);
    for (const held of holdings) {
        const hosts = new Map(next.get(held.endpoint));
        hosts.set(host, { held, at: now, granted: [] });
        next.set(held.endpoint, hosts);
    }
    return { held: next };
}

/**
 * What hosts other than `host` hold on an endpoint by the account.
 *
 * @example
 * ```ts
 * othersFor(account, "e1", "k1-a", now).streams;
 * ```
 */
export function othersFor(account: Account, endpoint: string, host: string, now: number): Others {
    let streams = 0;
    let unread = 0;
    let curve = zeroCurve();
    for (const [name, { held, at, granted }] of account.held.get(endpoint) ?? []) {
        if (name === host || now - at > HELD_VALID_MS) continue;
        streams += held.streams + granted.length;
        // A granted stream holds its prompt, which is still to be read.
        unread += granted.reduce((sum, stream) => sum + stream.mean[0]!, held.unread);
        curve = granted.reduce((sum, one) => addCurve(sum, one, 1), addCurve(curve, curveOf(held), 1));
    }
    return { streams, unread, curve };
}

/** A host's question whether a stream may be added on an endpoint; `held` is all that the host holds there, without it. */
export interface Question {
    readonly held: Held;
    /** The stream, as a {@link Held} of one. */
    readonly stream: Held;
    readonly bounds: Bounds;
}

/** An owner's judgement. */
export interface Judgement {
    readonly account: Account;
    readonly granted: boolean;
}

/**
 * Judges a host's question by all that is held: a grant is kept in the account until the host next tells what it holds.
 *
 * @example
 * ```ts
 * const { account: next, granted } = judge(account, "k1-b", question, now);
 * ```
 */
export function judge(account: Account, host: string, { held, stream, bounds }: Question, now: number): Judgement {
    const { endpoint } = held;
    const known = account.held.get(endpoint)?.get(host);
    // What was granted to the host since it last told is in what it tells now.
    const current = takeHeld(account, host, [held], known ? Math.max(known.at, now) : now);
    const others = othersFor(current, endpoint, host, now);
    const streams = others.streams + held.streams + 1;
    const curve = addCurve(addCurve(others.curve, curveOf(held), 1), curveOf(stream), 1);
    const unread = others.unread + held.unread;
    const fits = streams <= bounds.limit && unread <= bounds.unread
        && (peakOf([curve], bounds.z) <= bounds.room || streams === 1);
    return fits
        ? { account: addGrant(current, endpoint, host, curveOf(stream)), granted: true }
        : { account: current, granted: false };
}

function addGrant(account: Account, endpoint: string, host: string, stream: Curve): Account {
    const hosts = new Map(account.held.get(endpoint));
    const entry = hosts.get(host)!;
    hosts.set(host, { ...entry, granted: [...entry.granted, stream] });
    return { held: new Map(account.held).set(endpoint, hosts) };
}

/** A curve from what was sent. */
export function curveOf(held: Held): Curve {
    return {
        mean: Float64Array.from(held.mean, units => units * TOKENS_PER_UNIT),
        variance: Float64Array.from(held.deviation, units => (units * TOKENS_PER_UNIT) ** 2),
    };
}
