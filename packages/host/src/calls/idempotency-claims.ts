/**
 * Runs a call at most once over all hosts: the host claims the caller's idempotency key in the platform's key-value
 * service before it dispatches the call, and records the answer under the claim.
 *
 * A claim is one conditional write. A later call with the same key gets the recorded answer, or an error that says that
 * it is not known whether the first call ran. While the service is unreachable nothing can be claimed, so no such call
 * is dispatched.
 *
 * @module
 */
import type { Clock, KeyValue, KvEntry, KvResult } from "@drumpaddle/protocol";
import { createHash } from "node:crypto";

/** A recorded answer. */
export interface Recorded {
    readonly status: number;
    readonly contentType: string | undefined;
    readonly contentEncoding: string | undefined;
    /** In base64. */
    readonly body: string;
}

/** The stored value of a claimed key. */
interface Claim {
    /** Id of the request that claimed the key. */
    readonly request: string;
    /** Hash of method, path and body: the key is refused for any other call. */
    readonly call: string;
    readonly at: number;
    readonly answer?: Recorded;
}

/** The result of a claim. */
export type ClaimResult =
    /** This request holds the key and may be dispatched once. */
    | { readonly kind: "mine" }
    | { readonly kind: "recorded"; readonly answer: Recorded }
    /** Another request holds the key and has recorded no answer: it is running, or its host crashed. */
    | { readonly kind: "taken" }
    /** The key was used for another call. */
    | { readonly kind: "otherCall" }
    /** The key-value service did not answer, so this request was not dispatched. */
    | { readonly kind: "away"; readonly detail: string };

/**
 * Larger answers are not recorded; a repeated call then gets an error that says that it is not known whether the first
 * one ran.
 */
export const MAX_RECORDED_BYTES = 65_536;
/** How long a claim is stored at least. */
const CLAIM_TTL_S = 86_400;
/** All claims made within this time share one lease, so that leases cause few writes. */
const LEASE_SHARING_MS = 3_600_000;
const MAX_TRIES = 3;

/** Returns the hash that identifies a call. */
export function callHash(method: string, path: string, body: Buffer | undefined): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body ?? "").digest("hex");
}

/** The claims of one host. */
export class IdempotencyClaims {
    private lease: { readonly id: string; readonly until: number } | undefined;

    /** @param clock Elapsed time: by the time of day, which may be set back, a lease would be shared for too long. */
    constructor(
        private readonly kv: KeyValue,
        private readonly prefix: string,
        private readonly signal: AbortSignal,
        private readonly clock: Pick<Clock, "now">,
    ) {}

    private keyOf(workspace: string, idempotencyKey: string): string {
        return `${this.prefix}/claim/${workspace}/${createHash("sha256").update(idempotencyKey).digest("hex")}`;
    }

    /**
     * Claims a key for a request. After a lost reply the same write is repeated; if it conflicts, the stored claim
     * shows who holds the key.
     */
    async claim(workspace: string, idempotencyKey: string, request: string, call: string): Promise<ClaimResult> {
        const key = this.keyOf(workspace, idempotencyKey);
        const claim: Claim = { request, call, at: Date.now() };
        let detail = "";
        for (let tries = 0; tries < MAX_TRIES; tries++) {
            const lease = await this.leaseId();
            if (!lease.ok) return { kind: "away", detail: lease.err.kind };
            const committed = await this.kv.commit(
                {
                    conditions: [{ key, modRevision: 0 }],
                    puts: [{ key, value: JSON.stringify(claim), lease: lease.value }],
                },
                this.signal,
            );
            if (committed.ok && committed.value) return { kind: "mine" };
            if (committed.ok) return this.readClaim(key, claim);
            // A service that was restored from a backup may have lost the lease.
            if (committed.err.kind === "refused") this.lease = undefined;
            detail = committed.err.detail;
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

    /**
     * Records an answer under this request's claim. If this fails, a repeated call gets an error; it still does not run
     * again.
     */
    async record(workspace: string, idempotencyKey: string, request: string, answer: Recorded): Promise<boolean> {
        return this.changeOwnClaim(workspace, idempotencyKey, request, (entry, claim) => ({
            conditions: [{ key: entry.key, modRevision: entry.modRevision }],
            puts: [{ key: entry.key, value: JSON.stringify({ ...claim, answer }), lease: this.lease?.id }],
        }));
    }

    /** Releases the key of a request that provably did not run. */
    async release(workspace: string, idempotencyKey: string, request: string): Promise<boolean> {
        return this.changeOwnClaim(workspace, idempotencyKey, request, entry => ({
            conditions: [{ key: entry.key, modRevision: entry.modRevision }],
            puts: [],
            deletes: [entry.key],
        }));
    }

    /** Changes a claim if it is still this request's; returns whether the change was committed. */
    private async changeOwnClaim(
        workspace: string,
        idempotencyKey: string,
        request: string,
        commitOf: (entry: KvEntry, claim: Claim) => Parameters<KeyValue["commit"]>[0],
    ): Promise<boolean> {
        const found = await this.kv.get(this.keyOf(workspace, idempotencyKey), this.signal);
        if (!found.ok || !found.value) return false;
        const claim = JSON.parse(found.value.value) as Claim;
        if (claim.request !== request) return false;
        const committed = await this.kv.commit(commitOf(found.value, claim), this.signal);
        return committed.ok && committed.value;
    }

    private async leaseId(): Promise<KvResult<string>> {
        const now = this.clock.now();
        if (this.lease && now < this.lease.until) return { ok: true, value: this.lease.id };
        const granted = await this.kv.grantLease(CLAIM_TTL_S + LEASE_SHARING_MS / 1000, this.signal);
        if (granted.ok) this.lease = { id: granted.value, until: now + LEASE_SHARING_MS };
        return granted;
    }
}
