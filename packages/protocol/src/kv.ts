/**
 * The platform's key-value service as an interface: reads, one conditional write, leases and a watch. Adapters turn it
 * into a service's own protocol; the contract tests run against any of them.
 *
 * @module
 */

/** One stored value. Revisions grow with every write to the service, within one of its epochs. */
export interface KvEntry {
    readonly key: string;
    readonly value: string;
    readonly modRevision: number;
    /** Why the stored value cannot be read, where it cannot: `value` is empty then. */
    readonly unreadable?: string | undefined;
}

/** Why a call gave no answer. `tookEffect` says whether a write may stand nevertheless. */
export type KvError =
    | { readonly kind: "away"; readonly detail: string; readonly tookEffect: "no" | "unknown" }
    | { readonly kind: "refused"; readonly detail: string }
    /** A watch asked for changes that the service has forgotten: read again, then watch from there. */
    | { readonly kind: "compacted"; readonly detail: string }
    /** The service came back from an older copy of its data meanwhile: what was read before tells nothing of what follows. */
    | { readonly kind: "restored"; readonly detail: string }
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
    /** Why the value that was written cannot be read, where it cannot: `value` is empty then. */
    readonly unreadable?: string | undefined;
}

/** All keys with a prefix, and the service's revision at which a watch goes on without a gap. */
export interface KvList {
    readonly entries: readonly KvEntry[];
    readonly revision: number;
    /** How often the service has come back from an older copy: it gives out again the revisions that it has lost. */
    readonly epoch: number;
}

/** What to watch. */
export interface KvWatch {
    readonly prefix: string;
    /** Changes after this revision are told; only coming ones where it is absent. */
    readonly after?: number;
    /** The epoch of that revision: the watch ends as `restored` in any other; the present one where it is absent. */
    readonly epoch?: number;
    /** Where a watch is made of calls: asked before each of them. */
    readonly timing?: () => WatchTiming;
}

/** How often a watch that is made of calls calls. Times are milliseconds. */
export interface WatchTiming {
    /** How long a call may wait for a change; the client's own where it is absent. */
    readonly waitMs?: number;
    /** How long changes gather after a call that told some, so that one call tells several. */
    readonly gatherMs?: number;
}

/** The key-value service. Every call takes a signal that ends it. */
export interface KeyValue {
    /** Reads one key. */
    get(key: string, signal: AbortSignal): Promise<KvResult<KvEntry | undefined>>;
    /** Reads all keys with a prefix. Where it takes several calls, a later one may see later writes. */
    list(prefix: string, signal: AbortSignal): Promise<KvResult<KvList>>;
    /** Writes if all conditions hold; the value says whether they did. */
    commit(commit: KvCommit, signal: AbortSignal): Promise<KvResult<boolean>>;
    /** A lease that lapses unless it is kept alive. */
    grantLease(ttlS: number, signal: AbortSignal): Promise<KvResult<string>>;
    /** Keeps a lease alive; false if it has lapsed. */
    keepLease(lease: string, signal: AbortSignal): Promise<KvResult<boolean>>;
    /** Ends a lease and deletes the keys under it. */
    revokeLease(lease: string, signal: AbortSignal): Promise<KvResult<void>>;
    /**
     * Tells changes in order until the signal or a failure ends it; resolves with the failure. An empty list says only
     * that the service answered.
     */
    watch(watch: KvWatch, onChanges: (changes: readonly KvChange[]) => void, signal: AbortSignal): Promise<KvError>;
}

/** The successful result. */
export function kvOk<T>(value: T): KvResult<T> {
    return { ok: true, value };
}
