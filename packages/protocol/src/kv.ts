/**
 * The platform's key-value service as an interface: reads, one conditional write, leases and a watch. Adapters turn it
 * into a service's own protocol; the contract tests run against any of them.
 *
 * @module
 */

/** One stored value. Revisions grow with every write to the service. */
export interface KvEntry {
    readonly key: string;
    readonly value: string;
    readonly modRevision: number;
}

/** Why a call gave no answer. `tookEffect` says whether a write may stand nevertheless. */
export type KvError =
    | { readonly kind: "away"; readonly detail: string; readonly tookEffect: "no" | "unknown" }
    | { readonly kind: "refused"; readonly detail: string }
    | { readonly kind: "badAnswer"; readonly detail: string };

/** The answer of the service, or why there is none. */
export type KvResult<T> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly err: KvError };

/** A condition of a write: the key was last written at this revision; 0 means that it does not exist. */
export interface KvCondition {
    readonly key: string;
    readonly modRevision: number;
}

/** A conditional write of several keys, all or none. */
export interface KvCommit {
    readonly conditions: readonly KvCondition[];
    readonly puts: readonly { readonly key: string; readonly value: string; readonly lease?: string | undefined }[];
    readonly deletes?: readonly string[];
}

/** What a watch tells. `value` is undefined for a key that was deleted. */
export interface KvChange {
    readonly key: string;
    readonly value: string | undefined;
    readonly modRevision: number;
}

/** The key-value service. Every call takes a signal that ends it. */
export interface KeyValue {
    /** Reads one key. */
    get(key: string, signal: AbortSignal): Promise<KvResult<KvEntry | undefined>>;
    /** Reads all keys with a prefix; one call. */
    list(prefix: string, signal: AbortSignal): Promise<KvResult<readonly KvEntry[]>>;
    /** Writes if all conditions hold; the value says whether they did. */
    commit(commit: KvCommit, signal: AbortSignal): Promise<KvResult<boolean>>;
    /** A lease that lapses unless it is kept alive. */
    grantLease(ttlS: number, signal: AbortSignal): Promise<KvResult<string>>;
    /** Keeps a lease alive; false if it has lapsed. */
    keepLease(lease: string, signal: AbortSignal): Promise<KvResult<boolean>>;
    /** Ends a lease and deletes the keys under it. */
    revokeLease(lease: string, signal: AbortSignal): Promise<KvResult<void>>;
    /** Tells changes of one key until the signal or a failure ends it; resolves with the failure. */
    watch(key: string, onChange: (change: KvChange) => void, signal: AbortSignal): Promise<KvError>;
}

/** The successful result. */
export function kvOk<T>(value: T): KvResult<T> {
    return { ok: true, value };
}
