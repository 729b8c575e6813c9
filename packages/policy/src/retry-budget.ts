/**
 * A budget of retries: a share of the requests, so that a failing fleet is not given more load than it had.
 *
 * @module
 */
import { emptyMap, getIn, setIn, type ShardMap } from "./shard-map.js";

/** Retries that are still allowed, by workspace and by endpoint. */
export interface RetryBudget {
    readonly credit: ShardMap<number>;
}

/** What a key starts with and may save up at most, in retries. */
const START_CREDIT = 3;
const MAX_CREDIT = 20;

/** A budget in which every key has its first few retries. */
export function createRetryBudget(): RetryBudget {
    return { credit: emptyMap() };
}

function creditOf(budget: RetryBudget, key: string): number {
    return getIn(budget.credit, key) ?? START_CREDIT;
}

/**
 * The budget after a first attempt: each key earns its share of a retry.
 *
 * @example
 * ```ts
 * earnRetry(budget, ["w/payroll", "e/engine-1"], 0.1);
 * ```
 */
export function earnRetry(budget: RetryBudget, keys: readonly string[], share: number): RetryBudget {
    let credit = budget.credit;
    for (const key of keys) credit = setIn(credit, key, Math.min(MAX_CREDIT, creditOf(budget, key) + share));
    return { credit };
}

/** The budget after a retry was paid for by every key, or undefined where one of them cannot pay. */
export function spendRetry(budget: RetryBudget, keys: readonly string[]): RetryBudget | undefined {
    if (keys.some(key => creditOf(budget, key) < 1)) return undefined;
    let credit = budget.credit;
    for (const key of keys) credit = setIn(credit, key, creditOf(budget, key) - 1);
    return { credit };
}

/** Repeated sends that a host may make: its part of what all hosts together may, in any window. */
export interface FleetRetryBudget {
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
    /** Repeated sends for each request of this host. */
    readonly ratio: number;
    /** Repeated sends of all hosts together beyond that, in each window. */
    readonly slack: number;
    /** The most hosts that were alive at a time: one that is cut off must not take the others' parts. */
    readonly maxHosts: number;
    /** Requests and repeated sends of this host, by the part of the window that they fell into; the oldest first. */
    readonly slices: readonly Slice[];
}

interface Slice {
    readonly number: number;
    readonly requests: number;
    readonly repeats: number;
}

/** Before it has seen others, a host takes the fleet for one of this many: the users' smallest has six. */
const ASSUMED_HOSTS = 6;
/** Parts of a window that are counted apart: what is forgotten a part too late only lowers the budget. */
const SLICES = 10;
/** The part of the budget that is used: hosts share it by how many they believe to be alive, which may be too few. */
const USED_SHARE = 0.6;

/**
 * A budget that nothing was taken from.
 *
 * @example
 * ```ts
 * createFleetBudget({ windowMs: 10_000, ratio: 0.2, slack: 50 });
 * ```
 */
export function createFleetBudget(bounds: Pick<FleetRetryBudget, "windowMs" | "ratio" | "slack">): FleetRetryBudget {
    return { ...bounds, maxHosts: ASSUMED_HOSTS, slices: [] };
}

function count(budget: FleetRetryBudget, now: number, requests: number, repeats: number): FleetRetryBudget {
    const number = Math.floor(now / budget.windowMs * SLICES);
    // The window before the current one's begin may still count: one slice more is kept.
    const kept = budget.slices.filter(slice => slice.number >= number - SLICES && slice.number !== number);
    const current = budget.slices.find(slice => slice.number === number) ?? { number, requests: 0, repeats: 0 };
    const next = { number, requests: current.requests + requests, repeats: current.repeats + repeats };
    return { ...budget, slices: [...kept, next] };
}

/** The budget after a request came in. */
export function countRequest(budget: FleetRetryBudget, now: number): FleetRetryBudget {
    return count(budget, now, 1, 0);
}

/**
 * The budget after a repeated send was paid for, or undefined where this host's part is used up.
 *
 * @param hosts Hosts that are believed to be alive, this one included.
 *
 * @example
 * ```ts
 * const paid = takeRepeat(budget, 9, now);
 * if (!paid) refuse();
 * ```
 */
export function spendRepeat(budget: FleetRetryBudget, hosts: number, now: number): FleetRetryBudget | undefined {
    const current = count(budget, now, 0, 0);
    const requests = current.slices.reduce((sum, slice) => sum + slice.requests, 0);
    const repeats = current.slices.reduce((sum, slice) => sum + slice.repeats, 0);
    const maxHosts = Math.max(budget.maxHosts, hosts);
    const allowed = USED_SHARE * (budget.ratio * requests + budget.slack / maxHosts);
    return repeats + 1 <= allowed ? { ...count(current, now, 0, 1), maxHosts } : undefined;
}
