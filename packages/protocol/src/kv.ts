/**
 * The interface of the platform's key-value service: reads, conditional writes, leases and watches. Adapters implement it
 * for the protocol of a particular service; the same contract tests run against each of them.
 *
 * @module
 */

/** One stored value. Within an epoch of the service, the revision increases with every write. */
export interface KvEntry {
    readonly key: string;
    readonly value: string;
    readonly modRevision: number;
    /** Why the stored value cannot be read; `value` is then empty. Undefined if it can be read. */
    readonly unreadable?: string | undefined;
}

/** Why a call failed. `tookEffect` says whether a write may have been stored nevertheless. */
export type KvError =
    /** The service could not be reached or did not answer in time. */
    | { readonly kind: "away"; readonly detail: string; readonly tookEffect: "no" | "unknown" }
    | { readonly kind: "refused"; readonly detail: string }
    /** A watch requested changes that the service has compacted: read all keys again, then watch from that revision. */
    | { readonly kind: "compacted"; readonly detail: string }
    /** The service was restored from an older copy of its data, so that earlier reads do not relate to later changes. */
    | { readonly kind: "restored"; readonly detail: string }
    | { readonly kind: "badAnswer"; readonly detail: string };

/** The result of a call, or why it failed. */
export type KvResult<T> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly err: KvError };

/** A condition of a write: the key was last written at this revision, or does not exist if the revision is 0. */
export interface KvCondition {
    readonly key: string;
    readonly modRevision: number;
}

/** An atomic conditional write of several keys. */
export interface KvCommit {
    readonly conditions: readonly KvCondition[];
    readonly puts: readonly { readonly key: string; readonly value: string; readonly lease?: string | undefined }[];
    readonly deletes?: readonly string[];
}

/** A change that a watch reports. `value` is undefined if the key was deleted. */
export interface KvChange {
    readonly key: string;
    readonly value: string | undefined;
    readonly modRevision: number;
    /** Why the new value cannot be read; `value` is then empty. Undefined if it can be read. */
    readonly unreadable?: string | undefined;
}

/** All entries with a prefix, and the revision from which a watch continues without a gap. */
export interface KvList {
    readonly entries: readonly KvEntry[];
    readonly revision: number;
    /** How often the service was restored from an older copy, after which it reuses the revisions that were lost. */
    readonly epoch: number;
}

/** Options of a watch. */
export interface KvWatchOptions {
    readonly prefix: string;
    /** Reports the changes after this revision; only future ones if absent. */
    readonly after?: number;
    /** The epoch of that revision, or the current one if absent. In any other epoch the watch ends with `restored`. */
    readonly epoch?: number;
    /** Called before each poll, in clients that implement a watch by long polling. */
    readonly timing?: () => WatchTiming;
}

/** Timing of a watch by long polling, in milliseconds. */
export interface WatchTiming {
    /** How long a poll may wait for a change; the client's default if absent. */
    readonly waitMs?: number;
    /** Pause after a poll that returned changes, so that the next one returns several at once. */
    readonly batchMs?: number;
}

/** The key-value service. Every call ends when its signal aborts. */
export interface KeyValue {
    /** Reads one key. */
    get(key: string, signal: AbortSignal): Promise<KvResult<KvEntry | undefined>>;
    /** Reads all keys with a prefix. A client that needs several calls may see writes that occur between them. */
    list(prefix: string, signal: AbortSignal): Promise<KvResult<KvList>>;
    /** Writes if all conditions hold; resolves with whether they did. */
    commit(commit: KvCommit, signal: AbortSignal): Promise<KvResult<boolean>>;
    /** Grants a lease that expires after `ttlS` seconds unless it is kept alive; resolves with its id. */
    grantLease(ttlS: number, signal: AbortSignal): Promise<KvResult<string>>;
    /** Renews a lease; false if it has expired. */
    keepLeaseAlive(lease: string, signal: AbortSignal): Promise<KvResult<boolean>>;
    /** Revokes a lease and deletes the keys attached to it. */
    revokeLease(lease: string, signal: AbortSignal): Promise<KvResult<void>>;
    /**
     * Reports changes in order until the signal aborts or the watch fails; resolves with the failure. An empty list means
     * only that the service has answered.
     */
    watch(
        watch: KvWatchOptions,
        onChanges: (changes: readonly KvChange[]) => void,
        signal: AbortSignal,
    ): Promise<KvError>;
}

/** Creates a successful result. */
export function kvOk<T>(value: T): KvResult<T> {
    return { ok: true, value };
}
