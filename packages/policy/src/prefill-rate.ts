/**
 * How long engines take to read prompts, measured from the requests' own first tokens.
 *
 * @module
 */

/** Decayed sums over requests that began: prompt tokens ahead of their first token, and the time until it came. */
export interface PrefillRate {
    readonly tokens: number;
    readonly ms: number;
}

/** Of ten requests back, a sample still weighs three quarters: a rate follows a change of the fleet within a few dozen. */
const RATE_DECAY = 0.97;
/** Counts until the first requests have begun: as one prompt of a thousand tokens that took a tenth of a second. */
const PRIOR: PrefillRate = { tokens: 1_000, ms: 100 };

/** The rate before any request began. */
export function createPrefillRate(): PrefillRate {
    return PRIOR;
}

/**
 * The rate after a request's first token came.
 *
 * @param tokens Prompt tokens that were unread at its endpoint when it was sent, its own included.
 * @param ms Time from then to its first token.
 *
 * @example
 * ```ts
 * readingMs(observeReading(createReadingRate(), 4_000, 300), 1_000);
 * ```
 */
export function observePrefill(rate: PrefillRate, tokens: number, ms: number): PrefillRate {
    if (tokens <= 0) return rate;
    return { tokens: rate.tokens * RATE_DECAY + tokens, ms: rate.ms * RATE_DECAY + ms };
}

/** Expected time until so many prompt tokens are read, in milliseconds. */
export function prefillMs({ tokens, ms }: PrefillRate, unread: number): number {
    return unread * ms / tokens;
}
