/**
 * Proof that a request did not run. An error that says `ran: "no"` can be built only from such a proof, and a proof
 * only by {@link proveNotRun} from a record of what was sent: no byte left, or the endpoint itself refused before running.
 *
 * @module
 */

declare const proven: unique symbol;

/** Evidence that no endpoint ran the request. Cannot be written as a literal outside this module. */
export interface NotRunProof {
    readonly kind: "nothingSent" | "endpointRefused";
    readonly [proven]: true;
}

/** What is known of all dispatches of one request so far. */
export interface DispatchRecord {
    /** Attempts whose first byte may have left, by id. */
    readonly sent: readonly string[];
    /** Of these, attempts that their endpoint refused before running. */
    readonly refused: readonly string[];
}

/** The record of a request that was never dispatched. */
export const NOTHING_SENT: DispatchRecord = { sent: [], refused: [] };

/**
 * The record after the first byte of an attempt may have left. Call it before the byte is written.
 *
 * @example
 * ```ts
 * const record = recordSent(NOTHING_SENT, "r1.1");
 * proveNotRun(record); // undefined: it may have run
 * ```
 */
export function recordSent(record: DispatchRecord, attempt: string): DispatchRecord {
    return record.sent.includes(attempt) ? record : { ...record, sent: [...record.sent, attempt] };
}

/**
 * The record after an endpoint refused an attempt before running it. A refusal of an attempt that was never sent, or
 * that comes after the attempt was already settled, changes nothing.
 *
 * @example
 * ```ts
 * proveNotRun(recordRefused(recordSent(NOTHING_SENT, "r1.1"), "r1.1"))?.kind; // "endpointRefused"
 * ```
 */
export function recordRefused(record: DispatchRecord, attempt: string): DispatchRecord {
    const known = record.sent.includes(attempt) && !record.refused.includes(attempt);
    return known ? { ...record, refused: [...record.refused, attempt] } : record;
}

/**
 * The record after an attempt turned out never to have left: its connection was never there.
 *
 * @example
 * ```ts
 * proveNotRun(recordNeverSent(recordSent(NOTHING_SENT, "r1.1"), "r1.1"))?.kind; // "nothingSent"
 * ```
 */
export function recordNeverSent(record: DispatchRecord, attempt: string): DispatchRecord {
    return { ...record, sent: record.sent.filter(other => other !== attempt) };
}

/**
 * Proof that the request did not run, or undefined where any attempt may have run.
 *
 * @example
 * ```ts
 * proveNotRun(NOTHING_SENT)?.kind; // "nothingSent"
 * ```
 */
export function proveNotRun(record: DispatchRecord): NotRunProof | undefined {
    if (record.sent.length === 0) return { kind: "nothingSent" } as NotRunProof;
    const allRefused = record.sent.every(attempt => record.refused.includes(attempt));
    return allRefused ? { kind: "endpointRefused" } as NotRunProof : undefined;
}
