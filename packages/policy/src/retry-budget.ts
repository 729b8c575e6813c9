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
const MOST_CREDIT = 20;

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
    for (const key of keys) credit = setIn(credit, key, Math.min(MOST_CREDIT, creditOf(budget, key) + share));
    return { credit };
}

/** The budget after a retry was paid for by every key, or undefined where one of them cannot pay. */
export function spendRetry(budget: RetryBudget, keys: readonly string[]): RetryBudget | undefined {
    if (keys.some(key => creditOf(budget, key) < 1)) return undefined;
    let credit = budget.credit;
    for (const key of keys) credit = setIn(credit, key, creditOf(budget, key) - 1);
    return { credit };
}
