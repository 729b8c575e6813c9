/**
 * The settings in the platform's key-value service: reads a complete version, and writes an edit together with its audit
 * entry in one conditional transaction.
 *
 * Keys, where P is the prefix: `P/settings/head`, `P/settings/part/NAME`, `P/audit/VERSION`, `P/edit/ID`.
 *
 * @module
 */
import type { KeyValue, KvEntry, KvError } from "@drumpaddle/protocol";
import {
    applyChanges,
    type AuditEntry,
    type Authorship,
    type Change,
    checkTree,
    completeSnapshot,
    type EditConflict,
    EMPTY_TREE,
    formatTree,
    joinSnapshot,
    parseSettingsFiles,
    partsToRead,
    type SettingsError,
    type SettingsInForce,
    type Snapshot,
    type SnapshotHead,
    snapshotOf,
    type Tree,
} from "@drumpaddle/settings";

/** An operator's edit of the settings. */
export interface EditRequest extends Authorship {
    readonly changes: readonly Change[];
    /** The only version that the edit may apply to; if undefined, it applies to any version whose edited keys are unchanged. */
    readonly onlyAt?: number | undefined;
}

/** The outcome of an edit. */
export type EditResult =
    | { readonly kind: "accepted"; readonly version: number; readonly snapshot: Snapshot | undefined }
    | { readonly kind: "conflict"; readonly version: number; readonly conflicts: readonly EditConflict[] }
    | { readonly kind: "invalid"; readonly errors: readonly SettingsError[] }
    | { readonly kind: "noChange"; readonly version: number }
    /** Nothing was written: the store did not answer, refused the write or holds corrupt settings, or other edits kept competing. */
    | { readonly kind: "away"; readonly detail: string }
    /** It may have been written or not: {@link SettingsStore.outcome} tells later. */
    | { readonly kind: "unknown"; readonly detail: string };

/** A version as the store holds it, with the revision of its head. */
export interface StoredSettings {
    readonly snapshot: Snapshot;
    readonly headRevision: number;
}

/** The result of a read of the store. */
export type StoreResult<T> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly err: KvError };

const VERSION_DIGITS = 10;
const MAX_ATTEMPTS = 12;
const RETRY_DELAY_STEP_MS = 100;

/** The settings in one key-value service under one prefix. */
export class SettingsStore {
    readonly headKey: string;

    constructor(private readonly kv: KeyValue, private readonly prefix: string) {
        this.headKey = `${prefix}/settings/head`;
    }

    /** Reads the newest version. Only the parts that differ from `inForce` are read, if it is given. */
    async read(
        inForce: SettingsInForce | undefined,
        signal: AbortSignal,
    ): Promise<StoreResult<StoredSettings | undefined>> {
        const head = await this.kv.get(this.headKey, signal);
        if (!head.ok) return head;
        if (!head.value) return { ok: true, value: undefined };
        return inForce ? this.readChanged(inForce, head.value, signal) : this.readAll(signal);
    }

    private async readChanged(
        inForce: SettingsInForce,
        entry: KvEntry,
        signal: AbortSignal,
    ): Promise<StoreResult<StoredSettings | undefined>> {
        const head = JSON.parse(entry.value) as SnapshotHead;
        const read: Record<string, string> = {};
        for (const name of partsToRead(inForce, head)) {
            const part = await this.kv.get(this.partKey(name), signal);
            if (!part.ok) return part;
            if (part.value) read[name] = part.value.value;
        }
        const snapshot = completeSnapshot(inForce, head, read);
        // A part was written after the head was read: read everything atomically.
        if (!joinSnapshot(snapshot).ok) return this.readAll(signal);
        return { ok: true, value: { snapshot, headRevision: entry.modRevision } };
    }

    private async readAll(signal: AbortSignal): Promise<StoreResult<StoredSettings | undefined>> {
        const listed = await this.kv.list(`${this.prefix}/settings/`, signal);
        if (!listed.ok) return listed;
        const head = listed.value.entries.find(entry => entry.key === this.headKey);
        if (!head) return { ok: true, value: undefined };
        const partPrefix = this.partKey("");
        const parts = listed.value.entries.filter(entry => entry.key.startsWith(partPrefix));
        const named = Object.fromEntries(parts.map(entry => [entry.key.slice(partPrefix.length), entry.value]));
        const snapshot = completeSnapshot(undefined, JSON.parse(head.value) as SnapshotHead, named);
        return { ok: true, value: { snapshot, headRevision: head.modRevision } };
    }

    /**
     * Writes an edit. If a reply is lost, the edit is planned and written again; every write is conditional on the edit's id not
     * being written yet, so that the edit takes effect at most once.
     */
    async edit(edit: EditRequest, inForce: SettingsInForce | undefined, signal: AbortSignal): Promise<EditResult> {
        let maybeWritten = false;
        for (let attempt = 0; attempt < MAX_ATTEMPTS && !signal.aborted; attempt++) {
            const result = await this.tryEdit(edit, inForce, signal);
            if (result.kind !== "again") {
                if (result.kind === "away" && maybeWritten) return { kind: "unknown", detail: result.detail };
                if (result.kind === "conflict" && maybeWritten) return this.confirm(edit.editId, result, signal);
                return result;
            }
            maybeWritten ||= result.maybeWritten;
            await pause(RETRY_DELAY_STEP_MS * (attempt + 1), signal);
        }
        if (maybeWritten) return { kind: "unknown", detail: "the service did not say whether the edit stands" };
        return { kind: "away", detail: "others kept editing at the same time" };
    }

    /** The edit's outcome by its id, as an earlier attempt may have written it; `otherwise` if none did. */
    private async confirm(editId: string, otherwise: EditResult, signal: AbortSignal): Promise<EditResult> {
        const outcome = await this.outcome(editId, signal);
        if (!outcome.ok) return { kind: "unknown", detail: "the service is away" };
        return outcome.value === undefined
            ? otherwise
            : { kind: "accepted", version: outcome.value, snapshot: undefined };
    }

    private async tryEdit(
        edit: EditRequest,
        inForce: SettingsInForce | undefined,
        signal: AbortSignal,
    ): Promise<EditResult | { readonly kind: "again"; readonly maybeWritten: boolean }> {
        const done = await this.outcome(edit.editId, signal);
        if (!done.ok) return { kind: "away", detail: done.err.kind };
        if (done.value !== undefined) return { kind: "accepted", version: done.value, snapshot: undefined };
        const stored = await this.read(inForce, signal);
        if (!stored.ok) return { kind: "away", detail: stored.err.detail };
        const planned = planEdit(edit, stored.value);
        if (planned.kind !== "write") return planned;
        const written = await this.kv.commit(
            {
                conditions: [
                    { key: this.headKey, modRevision: stored.value?.headRevision ?? 0 },
                    { key: this.editKey(edit.editId), modRevision: 0 },
                ],
                puts: this.keysToPut(planned),
                deletes: planned.removedParts.map(name => this.partKey(name)),
            },
            signal,
        );
        if (written.ok && written.value) {
            return { kind: "accepted", version: planned.entry.version, snapshot: planned.next };
        }
        if (written.ok) return { kind: "again", maybeWritten: false };
        if (written.err.kind === "refused") return { kind: "away", detail: written.err.detail };
        return { kind: "again", maybeWritten: written.err.kind !== "away" || written.err.tookEffect === "unknown" };
    }

    private keysToPut({ next, changedParts, entry }: PlannedWrite): { key: string; value: string }[] {
        return [
            { key: this.headKey, value: JSON.stringify(next.head) },
            ...changedParts.map(name => ({ key: this.partKey(name), value: next.parts[name]! })),
            { key: this.auditKey(entry.version), value: JSON.stringify(entry) },
            { key: this.editKey(entry.editId), value: String(entry.version) },
        ];
    }

    /** The version that an edit made; undefined if the edit was not written. */
    async outcome(editId: string, signal: AbortSignal): Promise<StoreResult<number | undefined>> {
        const found = await this.kv.get(this.editKey(editId), signal);
        return found.ok ? { ok: true, value: found.value ? Number(found.value.value) : undefined } : found;
    }

    /** The whole audit trail, oldest entry first. */
    async auditTrail(signal: AbortSignal): Promise<StoreResult<readonly AuditEntry[]>> {
        const found = await this.kv.list(`${this.prefix}/audit/`, signal);
        return found.ok
            ? { ok: true, value: found.value.entries.map(entry => JSON.parse(entry.value) as AuditEntry) }
            : found;
    }

    private partKey(name: string): string {
        return `${this.prefix}/settings/part/${name}`;
    }

    private auditKey(version: number): string {
        return `${this.prefix}/audit/${String(version).padStart(VERSION_DIGITS, "0")}`;
    }

    private editKey(editId: string): string {
        return `${this.prefix}/edit/${editId}`;
    }
}

interface PlannedWrite {
    readonly kind: "write";
    readonly next: Snapshot;
    readonly changedParts: readonly string[];
    readonly removedParts: readonly string[];
    readonly entry: AuditEntry;
}

/** Plans what an edit writes on top of the stored version, or why it writes nothing. */
function planEdit(edit: EditRequest, stored: StoredSettings | undefined): PlannedWrite | EditResult {
    const version = stored?.snapshot.head.version ?? 0;
    const tree = treeOf(stored);
    if (!tree) return { kind: "away", detail: "the stored settings are corrupt" };
    if (edit.onlyAt !== undefined && edit.onlyAt !== version) return { kind: "conflict", version, conflicts: [] };
    const applied = applyChanges(tree, edit.changes);
    if (!applied.ok) return { kind: "conflict", version, conflicts: applied.conflicts };
    const read = parseSettingsFiles([{ name: "(edit)", text: formatTree(applied.tree) }]);
    const errors = [...read.errors, ...checkTree(read)];
    if (errors.length > 0) return { kind: "invalid", errors };
    const next = snapshotOf(version + 1, applied.tree);
    const before = stored?.snapshot.head.parts ?? {};
    const changedParts = Object.keys(next.parts).filter(name => before[name] !== next.head.parts[name]);
    const removedParts = Object.keys(before).filter(name => next.head.parts[name] === undefined);
    if (changedParts.length + removedParts.length === 0) return { kind: "noChange", version };
    const { editId, who, why, at, changes } = edit;
    return {
        kind: "write",
        next,
        changedParts,
        removedParts,
        entry: { version: version + 1, editId, who, why, at, changes },
    };
}

function treeOf(stored: StoredSettings | undefined): Tree | undefined {
    if (!stored) return EMPTY_TREE;
    const joined = joinSnapshot(stored.snapshot);
    return joined.ok ? joined.joined.tree : undefined;
}

function pause(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(resolve, ms);
        signal.addEventListener("abort", () => (clearTimeout(timer), resolve()), { once: true });
    });
}
