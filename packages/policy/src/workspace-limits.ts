/**
 * Limits of a workspace: requests and tokens per minute, and open streams. Every limit must allow a request before
 * anything is sent. Tokens are reserved by estimate and settled by what ran; only requests that provably did not run
 * are refunded in full. (The pattern "Per-Caller Caps Layered on Top of Tool Tiers": all limits must have room, the
 * check comes before the call is built, there is no refund after a time-out, and a refusal names window, limit, use and
 * reset.)
 *
 * @module
 */
import { deleteIn, emptyMap, getIn, setIn, type ShardMap } from "./shard-map.js";

/** The limits of a workspace, or this host's share of them. */
export interface WorkspaceLimits {
    readonly requestsPerMinute: number;
    readonly tokensPerMinute: number;
    readonly openStreams: number;
}

/**
 * Usage of one workspace. `requests` and `tokens` are what is left in token buckets that hold at most one minute's
 * worth.
 */
interface Usage {
    readonly requests: number;
    readonly tokens: number;
    readonly open: number;
    readonly at: number;
}

/** Usage of all workspaces on this host. */
export interface LimitState {
    readonly usage: ShardMap<Usage>;
    readonly reserved: ShardMap<Reservation>;
}

/** Tokens reserved for one request until it is settled. */
interface Reservation {
    readonly workspace: string;
    readonly tokens: number;
}

/** A refusal that names the limit, its usage, and when the request could fit. */
export interface LimitRefusal {
    readonly kind: "limitReached";
    readonly limit: keyof WorkspaceLimits;
    readonly allowed: number;
    readonly used: number;
    /** Milliseconds until the request could fit; undefined where it never can under these limits. */
    readonly resetMs?: number | undefined;
}

/** Result of {@link reserve}. */
export type ReserveResult =
    | { readonly ok: true; readonly state: LimitState }
    | { readonly ok: false; readonly refusal: LimitRefusal };

const MINUTE_MS = 60_000;
/** It is not known when an open stream will end; callers are asked to retry after this time. */
const OPEN_STREAM_RETRY_MS = 1_000;

/** Creates the state without any usage. */
export function createLimits(): LimitState {
    return { usage: emptyMap(), reserved: emptyMap() };
}

function refill(usage: Usage | undefined, limits: WorkspaceLimits, now: number): Usage {
    if (!usage) return { requests: limits.requestsPerMinute, tokens: limits.tokensPerMinute, open: 0, at: now };
    const passed = Math.max(0, now - usage.at) / MINUTE_MS;
    return {
        requests: Math.min(limits.requestsPerMinute, usage.requests + passed * limits.requestsPerMinute),
        tokens: Math.min(limits.tokensPerMinute, usage.tokens + passed * limits.tokensPerMinute),
        open: usage.open,
        at: Math.max(now, usage.at),
    };
}

function refillMs(missing: number, perMinute: number): number | undefined {
    return perMinute === 0 ? undefined : Math.ceil(missing / perMinute * MINUTE_MS);
}

function refusalOf(usage: Usage, tokens: number, limits: WorkspaceLimits): LimitRefusal | undefined {
    if (usage.open >= limits.openStreams) {
        const resetMs = limits.openStreams === 0 ? undefined : OPEN_STREAM_RETRY_MS;
        return { kind: "limitReached", limit: "openStreams", allowed: limits.openStreams, used: usage.open, resetMs };
    }
    if (usage.requests < 1) {
        const used = limits.requestsPerMinute - Math.floor(usage.requests);
        const resetMs = refillMs(1 - usage.requests, limits.requestsPerMinute);
        return { kind: "limitReached", limit: "requestsPerMinute", allowed: limits.requestsPerMinute, used, resetMs };
    }
    if (usage.tokens < tokens) {
        const used = limits.tokensPerMinute - Math.floor(usage.tokens);
        const resetMs = tokens > limits.tokensPerMinute
            ? undefined
            : refillMs(tokens - usage.tokens, limits.tokensPerMinute);
        return { kind: "limitReached", limit: "tokensPerMinute", allowed: limits.tokensPerMinute, used, resetMs };
    }
    return undefined;
}

/**
 * Reserves what a request needs of every limit, or of none if one of them is exhausted.
 *
 * @param tokens Prompt tokens and expected output.
 *
 * @example
 * ```ts
 * const taken = reserve(createLimits(), "r1", "payroll", limits, 900, now);
 * if (!taken.ok) taken.refusal.resetMs;
 * ```
 */
export function reserve(
    state: LimitState,
    request: string,
    workspace: string,
    limits: WorkspaceLimits,
    tokens: number,
    now: number,
): ReserveResult {
    const usage = refill(getIn(state.usage, workspace), limits, now);
    const refusal = refusalOf(usage, tokens, limits);
    if (refusal) return { ok: false, refusal };
    const taken: Usage = {
        ...usage,
        requests: usage.requests - 1,
        tokens: usage.tokens - tokens,
        open: usage.open + 1,
    };
    return {
        ok: true,
        state: {
            usage: setIn(state.usage, workspace, taken),
            reserved: setIn(state.reserved, request, { workspace, tokens }),
        },
    };
}

/**
 * How a request ended, as far as its limits are concerned. `ranTokens` is undefined if unknown; then the reservation is
 * kept.
 */
export type Settlement =
    | { readonly kind: "notRun" }
    | { readonly kind: "ran"; readonly ranTokens: number | undefined };

/**
 * Settles a request: refunds everything if it did not run, otherwise the difference between estimate and actual tokens.
 * A second call for the same request changes nothing.
 *
 * @example
 * ```ts
 * settle(state, "r1", { kind: "ran", ranTokens: 640 });
 * ```
 */
export function settle(state: LimitState, request: string, settlement: Settlement): LimitState {
    const reservation = getIn(state.reserved, request);
    if (!reservation) return state;
    const usage = getIn(state.usage, reservation.workspace)!;
    const notRun = settlement.kind === "notRun";
    const ran = notRun ? 0 : settlement.ranTokens ?? reservation.tokens;
    const next: Usage = {
        ...usage,
        requests: usage.requests + (notRun ? 1 : 0),
        tokens: usage.tokens + reservation.tokens - ran,
        open: usage.open - 1,
    };
    return {
        usage: setIn(state.usage, reservation.workspace, next),
        reserved: deleteIn(state.reserved, request),
    };
}
