/**
 * Tells whether two calls ask for the same: a caller that sends a call again gives it another id, and may send it to any host.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** What makes two calls the same. */
export interface CallContent {
    readonly method: string;
    /** Host name that the call names, and its path with the query. */
    readonly host: string;
    readonly target: string;
    /** Empty where the route asks for no key. */
    readonly workspace: string;
    readonly body: Buffer | undefined;
}

/** Bytes of the hash that are kept: two different calls of a fleet share them by chance once in 2^64 calls. */
const KEPT_BYTES = 16;

/**
 * The name of what a call asks for, of 22 characters. It says nothing of the body: a hash cannot be turned back.
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
    return hash.digest().subarray(0, KEPT_BYTES).toString("base64url");
}
