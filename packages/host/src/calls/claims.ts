/**
 * At most once over all hosts: a caller's own idempotency key is claimed in the platform's key-value service before the
 * call is dispatched, and the answer is recorded under the claim.
 *
 * A claim is one conditional write. Whoever finds the key claimed gets the recorded answer, or the honest word that it is
 * not known whether the first call ran. With the service away nothing is claimed, so nothing is dispatched.
 *
 * @module
 */
import type { KeyValue, KvEntry, KvResult } from "@drumpaddle/protocol";
import { createHash } from "node:crypto";

/** A recorded answer. The body is in base64. */
export interface Recorded {
    readonly status: number;
    readonly contentType: string | undefined;
    readonly contentEncoding: string | undefined;
    /** Not true where only the end of its connection ended the answer, and in records of older hosts, which do not say. */
    readonly framed: boolean;
    readonly body: string;
}

/** What stands under a claimed key. */
interface Claim {
    /** The request that claimed it. */
    readonly request: string;
    /** Hash of method, path and body: the same key with another call is refused. */
    readonly call: string;
    readonly at: number;
    readonly answer?: Recorded;
}

/** What claiming came to. */
export type ClaimResult =
    /** The key is this request's: it may be dispatched, once. */
    | { readonly kind: "mine" }
    | { readonly kind: "recorded"; readonly answer: Recorded }
    /** Another request has it and has recorded no answer: it runs, or its host died. */
    | { readonly kind: "taken" }
    /** The key was used for another call. */
    | { readonly kind: "otherCall" }
    /** The service gave no answer; this request has not been dispatched. */
    | { readonly kind: "away"; readonly detail: string };

/** Answers above this many bytes are not recorded; a resend of such a call hears that it is not known. */
export const MAX_RECORDED_BYTES = 65_536;
/** Claims live this long. */
const CLAIM_TTL_S = 86_400;
/** Claims of so long share one lease, so that leases cost almost no writes. */
const LEASE_SHARED_MS = 3_600_000;
const TRIES = 3;

/** The hash that tells calls apart. */
export function callHash(method: string, path: string, body: Buffer | undefined): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body ?? "").digest("hex");
}

/** Claims of one host. */
export class Claims {
    private lease: { readonly id: string; readonly until: number } | undefined;

    constructor(private readonly kv: KeyValue, private readonly prefix: string, private readonly signal: AbortSignal) {}

    private keyOf(workspace: string, idempotencyKey: string): string {
        return `${this.prefix}/claim/${workspace}/${createHash("sha256").update(idempotencyKey).digest("hex")}`;
    }

    /** Claims a key for a request. A lost reply is settled by the same conditional write again, then by reading. */
    async claim(workspace: string, idempotencyKey: string, request: string, call: string): Promise<ClaimResult> {
        const key = this.keyOf(workspace, idempotencyKey);
        const claim: Claim = { request, call, at: Date.now() };
        let detail = "";
        for (let tried = 0; tried < TRIES; tried++) {
            const lease = await this.leaseId();
            if (!lease.ok) return { kind: "away", detail: lease.err.kind };
            const written = await this.kv.commit(
                {
                    conditions: [{ key, modRevision: 0 }],
                    puts: [{ key, value: JSON.stringify(claim), lease: lease.value }],
                },
                this.signal,
            );
            if (written.ok && written.value) return { kind: "mine" };
            if (written.ok) return this.readClaim(key, claim);
            // A service that came back from an older copy may have lost the lease.
            if (written.err.kind === "refused") this.lease = undefined;
            detail = written.err.detail;
        }
        return { kind: "away", detail };
    }

    private async readClaim(key: string, mine: Claim): Promise<ClaimResult> {
        const found = await this.kv.get(key, this.signal);
        if (!found.ok) return { kind: "away", detail: found.err.detail };
        if (!found.value) return { kind: "away", detail: "the claim went away while it was read" };
        const claim = JSON.parse(found.value.value) as Claim;
        if (claim.request === mine.request) return { kind: "mine" };
        if (claim.call !== mine.call) return { kind: "otherCall" };
        return claim.answer ? { kind: "recorded", answer: claim.answer } : { kind: "taken" };
    }

    /** Records an answer under this request's claim. Failing costs the caller a recorded answer, never a second run. */
    async record(workspace: string, idempotencyKey: string, request: string, answer: Recorded): Promise<boolean> {
        return this.change(workspace, idempotencyKey, request, (entry, claim) => ({
            conditions: [{ key: entry.key, modRevision: entry.modRevision }],
            puts: [{ key: entry.key, value: JSON.stringify({ ...claim, answer }), lease: this.lease?.id }],
        }));
    }

    /** Gives the key back: the request provably did not run. */
    async release(workspace: string, idempotencyKey: string, request: string): Promise<boolean> {
        return this.change(workspace, idempotencyKey, request, entry => ({
            conditions: [{ key: entry.key, modRevision: entry.modRevision }],
            puts: [],
            deletes: [entry.key],
        }));
    }

    private async change(
        workspace: string,
        idempotencyKey: string,
        request: string,
        commitOf: (entry: KvEntry, claim: Claim) => Parameters<KeyValue["commit"]>[0],
    ): Promise<boolean> {
        const found = await this.kv.get(this.keyOf(workspace, idempotencyKey), this.signal);
        if (!found.ok || !found.value) return false;
        const claim = JSON.parse(found.value.value) as Claim;
        if (claim.request !== request) return false;
        const written = await this.kv.commit(commitOf(found.value, claim), this.signal);
        return written.ok && written.value;
    }

    private async leaseId(): Promise<KvResult<string>> {
        const now = Date.now();
        if (this.lease && now < this.lease.until) return { ok: true, value: this.lease.id };
        const granted = await this.kv.grantLease(CLAIM_TTL_S + LEASE_SHARED_MS / 1000, this.signal);
        if (granted.ok) this.lease = { id: granted.value, until: now + LEASE_SHARED_MS };
        return granted;
    }
}
