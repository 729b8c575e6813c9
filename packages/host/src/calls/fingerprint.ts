/**
 * Identifies calls by their content: a caller that repeats a call gives it another id, and may send it to any host.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** The parts of a call that identify it. */
export interface CallContent {
    readonly method: string;
    /** The host name in the call's head. */
    readonly host: string;
    /** Path with the query. */
    readonly target: string;
    /** Empty if the route needs no key. */
    readonly workspace: string;
    readonly body: Buffer | undefined;
}

/** Length of the truncated hash: two different calls collide once in about 2^64 calls. */
const FINGERPRINT_BYTES = 16;

/**
 * Returns the fingerprint of a call, of 22 characters. It can be logged, as the body cannot be derived from the hash.
 *
 * @example
 * ```ts
 * fingerprintOf({ method: "POST", host: "api.example", target: "/draft/x", workspace: "payroll", body });
 * ```
 */
export function fingerprintOf({ method, host, target, workspace, body }: CallContent): string {
    const head = JSON.stringify([method, host, target, workspace]);
    const hash = createHash("sha256").update(head);
    if (body) hash.update(body);
    return hash.digest().subarray(0, FINGERPRINT_BYTES).toString("base64url");
}
