/**
 * How long endpoints take to prefill prompts, measured from each request's time to first token.
 *
 * @module
 */

/**
 * Decayed sums over requests that have started: prompt tokens to prefill before the first token, and the time until it
 * came.
 */
export interface PrefillRate {
    readonly tokens: number;
    readonly ms: number;
}

/**
 * After ten more requests a sample still weighs three quarters, so the rate follows a change within a few dozen
 * requests.
 */
const RATE_DECAY = 0.97;
/** Prior until requests have started: one prompt of 1,000 tokens prefilled in 100 ms. */
const PRIOR: PrefillRate = { tokens: 1_000, ms: 100 };

/** Returns the rate before any request has started. */
export function createPrefillRate(): PrefillRate {
    return PRIOR;
}

/**
 * Updates the rate after a request's first token.
 *
 * @param tokens Prompt tokens that the endpoint still had to prefill when the request was sent, its own included.
 * @param ms Time from sending the request to its first token.
 *
 * @example
 * ```ts
 * prefillMs(observePrefill(createPrefillRate(), 4_000, 300), 1_000);
 * ```
 */
export function observePrefill(rate: PrefillRate, tokens: number, ms: number): PrefillRate {
    if (tokens <= 0) return rate;
    return { tokens: rate.tokens * RATE_DECAY + tokens, ms: rate.ms * RATE_DECAY + ms };
}

/** Expected time to prefill so many prompt tokens, in milliseconds. */
export function prefillMs({ tokens, ms }: PrefillRate, unread: number): number {
    return unread * ms / tokens;
}
