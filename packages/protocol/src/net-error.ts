/**
 * Classifies and formats errors of network calls.
 *
 * @module
 */

/** Error codes of connections that were never established. */
const NEVER_SENT_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EAI_AGAIN",
    "UND_ERR_CONNECT_TIMEOUT",
]);

interface NetError {
    readonly code?: unknown;
    readonly syscall?: unknown;
    readonly cause?: unknown;
}

/**
 * Whether an error proves that nothing was sent because the connection was never established. A reset or an abort does
 * not prove it.
 *
 * @example
 * ```ts
 * neverSent(Object.assign(new Error(), { code: "ECONNREFUSED" })); // true
 * ```
 */
export function neverSent(err: unknown): boolean {
    if (typeof err !== "object" || err === null) return false;
    const { code, syscall, cause } = err as NetError;
    if (err instanceof AggregateError && err.errors.length > 0) return err.errors.every(neverSent);
    if (typeof code === "string" && NEVER_SENT_CODES.has(code)) return true;
    if (code === "ETIMEDOUT" && syscall === "connect") return true;
    return cause !== undefined && neverSent(cause);
}

/** Formats an error as a short text for `detail` members and logs. */
export function errText(err: unknown): string {
    if (!(err instanceof Error)) return String(err);
    const { code } = err as NetError;
    return typeof code === "string" && !err.message.includes(code) ? `${code}: ${err.message}` : err.message;
}
