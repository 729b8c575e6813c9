/**
 * Retry budgets: retries are bounded by a share of the requests, so that they do not multiply the load on a failing
 * fleet.
 *
 * @module
 */
import { emptyMap, getIn, setIn, type ShardMap } from "./shard-map.js";

/** Retries still allowed, by key: one for each workspace and each endpoint. */
export interface RetryBudget {
    readonly credit: ShardMap<number>;
}

/** Credit of a new key and the most that a key can accumulate, in retries. */
const START_CREDIT = 3;
const MAX_CREDIT = 20;

/** Creates a budget in which every key has its initial credit. */
export function createRetryBudget(): RetryBudget {
    return { credit: emptyMap() };
}

function creditOf(budget: RetryBudget, key: string): number {
    return getIn(budget.credit, key) ?? START_CREDIT;
}

/**
 * Returns the budget after a first attempt: each key earns its share of a retry.
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

/** Returns the budget after every key has paid for a retry; undefined if one of them cannot. */
export function spendRetry(budget: RetryBudget, keys: readonly string[]): RetryBudget | undefined {
    if (keys.some(key => creditOf(budget, key) < 1)) return undefined;
    let credit = budget.credit;
    for (const key of keys) credit = setIn(credit, key, creditOf(budget, key) - 1);
    return { credit };
}

/**
 * The budget of one host for retries: its share of a budget that all hosts have together, over a sliding window.
 */
export interface FleetRetryBudget {
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
    /** Retries allowed for each request of this host. */
    readonly ratio: number;
    /** Retries of all hosts together that are allowed beyond that in each window. */
    readonly slack: number;
    /** The largest number of hosts alive at one time. A host that is cut off must not take the others' shares. */
    readonly maxHosts: number;
    /** Requests and retries of this host, counted by slice of the window, oldest first. */
    readonly slices: readonly Slice[];
}

interface Slice {
    readonly number: number;
    readonly requests: number;
    readonly retries: number;
}

/** Fleet size that a host assumes before it has heard from others: the users' smallest fleet has six. */
const ASSUMED_HOSTS = 6;
/** Slices per window. A slice that is dropped late only lowers the budget. */
const SLICES = 10;
/**
 * Share of the budget that is used: hosts divide it by the number of hosts that they believe to be alive, which may be
 * too low.
 */
const USED_SHARE = 0.6;

/**
 * Creates an unused budget.
 *
 * @example
 * ```ts
 * createFleetRetryBudget({ windowMs: 10_000, ratio: 0.2, slack: 50 });
 * ```
 */
export function createFleetRetryBudget(
    bounds: Pick<FleetRetryBudget, "windowMs" | "ratio" | "slack">,
): FleetRetryBudget {
    return { ...bounds, maxHosts: ASSUMED_HOSTS, slices: [] };
}

function count(budget: FleetRetryBudget, now: number, requests: number, retries: number): FleetRetryBudget {
    const number = Math.floor(now / budget.windowMs * SLICES);
    // Part of the oldest slice may still lie in the window, so one slice more than a window is kept.
    const kept = budget.slices.filter(slice => slice.number >= number - SLICES && slice.number !== number);
    const current = budget.slices.find(slice => slice.number === number) ?? { number, requests: 0, retries: 0 };
    const next = { number, requests: current.requests + requests, retries: current.retries + retries };
    return { ...budget, slices: [...kept, next] };
}

/** Counts a new request. */
export function countRequest(budget: FleetRetryBudget, now: number): FleetRetryBudget {
    return count(budget, now, 1, 0);
}

/**
 * Returns the budget after paying for a retry; undefined if this host's share is used up.
 *
 * @param hosts Number of hosts believed to be alive, including this one.
 *
 * @example
 * ```ts
 * const paid = spendFleetRetry(budget, 9, now);
 * if (!paid) refuse();
 * ```
 */
export function spendFleetRetry(budget: FleetRetryBudget, hosts: number, now: number): FleetRetryBudget | undefined {
    const current = count(budget, now, 0, 0);
    const requests = current.slices.reduce((sum, slice) => sum + slice.requests, 0);
    const retries = current.slices.reduce((sum, slice) => sum + slice.retries, 0);
    const maxHosts = Math.max(budget.maxHosts, hosts);
    const allowed = USED_SHARE * (budget.ratio * requests + budget.slack / maxHosts);
    return retries + 1 <= allowed ? { ...count(current, now, 0, 1), maxHosts } : undefined;
}
