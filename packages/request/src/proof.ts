/**
 * Proof that a request did not run. An error with `ran: "no"` needs such a proof, and only {@link proveNotRun} creates
 * one, from the record of the attempts: either no byte of any was sent, or each endpoint refused its attempt before
 * running it.
 *
 * @module
 */

declare const notRunProofBrand: unique symbol;

/** Proof that no endpoint ran the request. The brand keeps other modules from writing it as a literal. */
export interface NotRunProof {
    readonly kind: "nothingSent" | "endpointRefused";
    readonly [notRunProofBrand]: true;
}

/** Which attempts of a request were sent, and which of these their endpoints refused. */
export interface DispatchRecord {
    /** Ids of the attempts whose first byte may have been sent. */
    readonly sent: readonly string[];
    /** Those of {@link sent} that their endpoint refused before running them. */
    readonly refused: readonly string[];
}

/** The record of a request that was never dispatched. */
export const NOTHING_SENT: DispatchRecord = { sent: [], refused: [] };

/**
 * Records that the first byte of an attempt may have been sent. Call it before the byte is written.
 *
 * @example
 * ```ts
 * const record = recordSent(NOTHING_SENT, "r1.1");
 * proveNotRun(record); // undefined: the request may have run
 * ```
 */
export function recordSent(record: DispatchRecord, attempt: string): DispatchRecord {
    return record.sent.includes(attempt) ? record : { ...record, sent: [...record.sent, attempt] };
}

/**
 * Records that an endpoint refused an attempt before running it. The refusal of an attempt that was never sent, or that
 * was refused before, changes nothing.
 *
 * @example
 * ```ts
 * proveNotRun(recordRefused(recordSent(NOTHING_SENT, "r1.1"), "r1.1"))?.kind; // "endpointRefused"
 * ```
 */
export function recordRefused(record: DispatchRecord, attempt: string): DispatchRecord {
    const isOutstanding = record.sent.includes(attempt) && !record.refused.includes(attempt);
    return isOutstanding ? { ...record, refused: [...record.refused, attempt] } : record;
}

/**
 * Returns the proof that the request did not run, or undefined if any attempt may have run.
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
