/**
 * Settings in the platform's key-value service: reading a version whole, and writing an edit as one conditional write
 * that carries its audit entry.
 *
 * Keys: `P/settings/head`, `P/settings/part/NAME`, `P/audit/VERSION`, `P/edit/ID`.
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
    EMPTY,
    type Head,
    type InForce,
    joinSnapshot,
    partsToRead,
    readFiles,
    type SettingsError,
    type Snapshot,
    snapshotOf,
    type Tree,
    writeTree,
} from "@drumpaddle/settings";

/** What an operator asks for. */
export interface EditRequest extends Authorship {
    readonly changes: readonly Change[];
    /** The version that the change was planned against; undefined lets an edit of untouched keys rebase by itself. */
    readonly onlyAt?: number | undefined;
}

/** What became of an edit. */
export type EditResult =
    | { readonly kind: "accepted"; readonly version: number; readonly snapshot: Snapshot | undefined }
    | { readonly kind: "conflict"; readonly version: number; readonly conflicts: readonly EditConflict[] }
    | { readonly kind: "invalid"; readonly errors: readonly SettingsError[] }
    | { readonly kind: "noChange"; readonly version: number }
    /** Not accepted: the service is away and nothing was written. */
    | { readonly kind: "away"; readonly detail: string }
    /** It may stand or not; ask for its outcome later by its id. */
    | { readonly kind: "unknown"; readonly detail: string };

/** A version as it stands in the service, with the revision of its head; undefined where there is none yet. */
export interface Stored {
    readonly snapshot: Snapshot;
    readonly headRevision: number;
}

/** A read of the service. */
export type StoreResult<T> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly err: KvError };

const VERSION_DIGITS = 10;
const MAX_TRIES = 12;
const RETRY_PAUSE_MS = 100;

/** Settings in one key-value service under one prefix. */
export class SettingsStore {
    readonly headKey: string;

    constructor(private readonly kv: KeyValue, private readonly prefix: string) {
        this.headKey = `${prefix}/settings/head`;
    }

    /** Reads the newest version; parts that `have` already holds are not read again where there are few others. */
    async read(have: InForce | undefined, signal: AbortSignal): Promise<StoreResult<Stored | undefined>> {
        const head = await this.kv.get(this.headKey, signal);
        if (!head.ok) return head;
        if (!head.value) return { ok: true, value: undefined };
        return have ? this.readChanged(have, head.value, signal) : this.readAll(signal);
    }

    private async readChanged(
        have: InForce,
        entry: KvEntry,
        signal: AbortSignal,
    ): Promise<StoreResult<Stored | undefined>> {
        const head = JSON.parse(entry.value) as Head;
        const read: Record<string, string> = {};
        for (const name of partsToRead(have, head)) {
            const part = await this.kv.get(this.partKey(name), signal);
            if (!part.ok) return part;
            if (part.value) read[name] = part.value.value;
        }
        const snapshot = completeSnapshot(have, head, read);
        // A part that was written again since the head was read: take all in one atomic read.
        if (!joinSnapshot(snapshot).ok) return this.readAll(signal);
        return { ok: true, value: { snapshot, headRevision: entry.modRevision } };
    }

    private async readAll(signal: AbortSignal): Promise<StoreResult<Stored | undefined>> {
        const all = await this.kv.list(`${this.prefix}/settings/`, signal);
        if (!all.ok) return all;
        const head = all.value.entries.find(entry => entry.key === this.headKey);
        if (!head) return { ok: true, value: undefined };
        const start = this.partKey("");
        const parts = all.value.entries.filter(entry => entry.key.startsWith(start));
        const named = Object.fromEntries(parts.map(entry => [entry.key.slice(start.length), entry.value]));
        const snapshot = completeSnapshot(undefined, JSON.parse(head.value) as Head, named);
        return { ok: true, value: { snapshot, headRevision: head.modRevision } };
    }

    /**
     * Writes an edit. A lost reply is settled by sending the same conditional write again: it names the edit's id as not
     * yet written, so it can take effect once only.
     */
    async edit(edit: EditRequest, have: InForce | undefined, signal: AbortSignal): Promise<EditResult> {
        let maybeWritten = false;
        for (let tried = 0; tried < MAX_TRIES && !signal.aborted; tried++) {
            const result = await this.tryEdit(edit, have, signal);
            if (result.kind !== "again") {
                if (result.kind === "away" && maybeWritten) return { kind: "unknown", detail: result.detail };
                if (result.kind === "conflict" && maybeWritten) return this.settle(edit.editId, result, signal);
                return result;
            }
            maybeWritten ||= result.maybeWritten;
            await pause(RETRY_PAUSE_MS * (tried + 1), signal);
        }
        if (maybeWritten) return { kind: "unknown", detail: "the service did not say whether the edit stands" };
        return { kind: "away", detail: "others kept editing at the same time" };
    }

    private async settle(editId: string, otherwise: EditResult, signal: AbortSignal): Promise<EditResult> {
        const outcome = await this.outcome(editId, signal);
        if (!outcome.ok) return { kind: "unknown", detail: "the service is away" };
        return outcome.value === undefined
            ? otherwise
            : { kind: "accepted", version: outcome.value, snapshot: undefined };
    }

    private async tryEdit(
        edit: EditRequest,
        have: InForce | undefined,
        signal: AbortSignal,
    ): Promise<EditResult | { readonly kind: "again"; readonly maybeWritten: boolean }> {
        const done = await this.outcome(edit.editId, signal);
        if (!done.ok) return { kind: "away", detail: done.err.kind };
        if (done.value !== undefined) return { kind: "accepted", version: done.value, snapshot: undefined };
        const stored = await this.read(have, signal);
        if (!stored.ok) return { kind: "away", detail: stored.err.detail };
        const planned = plan(edit, stored.value);
        if (planned.kind !== "write") return planned;
        const written = await this.kv.commit(
            {
                conditions: [
                    { key: this.headKey, modRevision: stored.value?.headRevision ?? 0 },
                    { key: this.editKey(edit.editId), modRevision: 0 },
                ],
                puts: this.putsOf(planned),
                deletes: planned.dropped.map(name => this.partKey(name)),
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

    private putsOf({ next, changed, entry }: PlannedWrite): { key: string; value: string }[] {
        return [
            { key: this.headKey, value: JSON.stringify(next.head) },
            ...changed.map(name => ({ key: this.partKey(name), value: next.parts[name]! })),
            { key: this.auditKey(entry.version), value: JSON.stringify(entry) },
            { key: this.editKey(entry.editId), value: String(entry.version) },
        ];
    }

    /** Version that an edit made; undefined if it does not stand. */
    async outcome(editId: string, signal: AbortSignal): Promise<StoreResult<number | undefined>> {
        const found = await this.kv.get(this.editKey(editId), signal);
        return found.ok ? { ok: true, value: found.value ? Number(found.value.value) : undefined } : found;
    }

    /** The whole audit trail, the oldest first. */
    async trail(signal: AbortSignal): Promise<StoreResult<readonly AuditEntry[]>> {
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
    readonly changed: readonly string[];
    readonly dropped: readonly string[];
    readonly entry: AuditEntry;
}

/** What an edit would write on top of what is stored. */
function plan(edit: EditRequest, stored: Stored | undefined): PlannedWrite | EditResult {
    const version = stored?.snapshot.head.version ?? 0;
    const tree = treeOf(stored);
    if (!tree) return { kind: "away", detail: "the stored settings are corrupt" };
    if (edit.onlyAt !== undefined && edit.onlyAt !== version) return { kind: "conflict", version, conflicts: [] };
    const applied = applyChanges(tree, edit.changes);
    if (!applied.ok) return { kind: "conflict", version, conflicts: applied.conflicts };
    const read = readFiles([{ name: "(edit)", text: writeTree(applied.tree) }]);
    const errors = [...read.errors, ...checkTree(read)];
    if (errors.length > 0) return { kind: "invalid", errors };
    const next = snapshotOf(version + 1, applied.tree);
    const before = stored?.snapshot.head.parts ?? {};
    const changed = Object.keys(next.parts).filter(name => before[name] !== next.head.parts[name]);
    const dropped = Object.keys(before).filter(name => next.head.parts[name] === undefined);
    if (changed.length + dropped.length === 0) return { kind: "noChange", version };
    const { editId, who, why, at, changes } = edit;
    return { kind: "write", next, changed, dropped, entry: { version: version + 1, editId, who, why, at, changes } };
}

function treeOf(stored: Stored | undefined): Tree | undefined {
    if (!stored) return EMPTY;
    const joined = joinSnapshot(stored.snapshot);
    return joined.ok ? joined.joined.tree : undefined;
}

function pause(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(resolve, ms);
        signal.addEventListener("abort", () => (clearTimeout(timer), resolve()), { once: true });
    });
}
