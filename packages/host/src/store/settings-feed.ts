/**
 * Keeps the newest version of the settings in force at this host. A host that watches the store also reads the head at
 * intervals, in case the watch stalls; the others get versions from peers, which pass the same checks.
 *
 * @module
 */
import type { KeyValue } from "@drumpaddle/protocol";
import {
    type AdoptResult,
    adoptSnapshot,
    checkHead,
    type SettingsInForce,
    type Snapshot,
    type SnapshotHead,
} from "@drumpaddle/settings";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { Directory } from "./directory.js";
import type { SettingsStore } from "./settings-store.js";

/** What a {@link SettingsFeed} depends on. */
export interface SettingsFeedDeps {
    readonly kv: KeyValue;
    readonly store: SettingsStore;
    readonly hall: string;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
}

/** Where an offered version came from: the store, a peer, or an edit at this host. */
export type OfferSource = "service" | "peer" | "edit";

const WATCH_RETRY_DELAY_MS = 500;
/** How often a watching host also reads the head, as a watch may stall without ending. */
const READ_INTERVAL_MS = 5_000;

/** Holds the settings in force at one host and follows their changes. */
export class SettingsFeed {
    private current: SettingsInForce | undefined;
    private currentDirectory: Directory | undefined;
    private readonly listeners = new Set<(directory: Directory) => void>();
    private pendingRead: Promise<void> | undefined;
    private watchGeneration = 0;
    private isWatching = false;

    constructor(private readonly deps: SettingsFeedDeps) {}

    /** The version in force; undefined before the first one. */
    get inForce(): SettingsInForce | undefined {
        return this.current;
    }

    /** The index of the version in force; undefined before the first one. */
    get directory(): Directory | undefined {
        return this.currentDirectory;
    }

    /** Registers a listener for each version that comes into force; it is called at once if there is one already. */
    onChange(listener: (directory: Directory) => void): void {
        this.listeners.add(listener);
        if (this.currentDirectory) listener(this.currentDirectory);
    }

    /** Puts a version in force if it is newer and complete; otherwise logs why not. */
    offer(snapshot: Snapshot, source: OfferSource): AdoptResult {
        const result = adoptSnapshot(this.current, snapshot, Date.now());
        this.deps.metrics.countOffer(result.kind);
        if (result.kind === "adopted") this.putInForce(result.inForce, source);
        else if (result.kind !== "same") {
            this.deps.log.warn({ source, ...result, kind: undefined, result: result.kind }, "settings_ignored");
        }
        return result;
    }

    private putInForce(inForce: SettingsInForce, source: OfferSource): void {
        this.current = inForce;
        this.currentDirectory = new Directory(inForce, this.deps.hall, this.currentDirectory);
        const { version, hash } = inForce.snapshot.head;
        this.deps.metrics.version.set(version);
        this.deps.log.info({ version, hash, source }, "settings_in_force");
        for (const listener of this.listeners) listener(this.currentDirectory);
    }

    /** Reads the newest version from the store; concurrent callers share one read. */
    refresh(): Promise<void> {
        this.pendingRead ??= this.read().finally(() => this.pendingRead = undefined);
        return this.pendingRead;
    }

    private async read(): Promise<void> {
        const { store, signal, log } = this.deps;
        const stored = await store.read(this.current, signal);
        if (!stored.ok) {
            if (!signal.aborted) log.warn({ err: stored.err.kind, detail: stored.err.detail }, "settings_read_failed");
            return;
        }
        if (stored.value) this.offer(stored.value.snapshot, "service");
    }

    /** Starts or stops watching the store; a host that does not watch gets versions from peers. */
    setWatching(watching: boolean): void {
        if (watching === this.isWatching) return;
        this.isWatching = watching;
        this.watchGeneration += 1;
        if (watching) void this.watch(this.watchGeneration);
    }

    private async watch(generation: number): Promise<void> {
        const { kv, store, signal, log } = this.deps;
        const controller = new AbortController();
        const timer = setInterval(() => {
            if (generation === this.watchGeneration) void this.refresh();
            else controller.abort();
        }, READ_INTERVAL_MS);
        const watchSignal = AbortSignal.any([signal, controller.signal]);
        while (!watchSignal.aborted && generation === this.watchGeneration) {
            await this.refresh();
            const watchError = await kv.watch({ prefix: store.headKey }, changes => {
                for (const { key, value } of changes) if (key === store.headKey) this.onHead(value);
            }, watchSignal);
            if (watchSignal.aborted || generation !== this.watchGeneration) break;
            log.warn(
                { err: watchError.kind, detail: "detail" in watchError ? watchError.detail : undefined },
                "settings_watch_ended",
            );
            await new Promise(resolve => setTimeout(resolve, WATCH_RETRY_DELAY_MS));
        }
        clearInterval(timer);
    }

    private onHead(value: string | undefined): void {
        if (value === undefined) return;
        const head = JSON.parse(value) as SnapshotHead;
        const verdict = checkHead(this.current, head);
        if (!verdict) {
            void this.refresh().then(() =>
                this.current && this.current.snapshot.head.version < head.version ? this.refresh() : undefined
            );
        }
        else if (verdict.kind !== "same") {
            this.deps.metrics.countOffer(verdict.kind);
            this.deps.log.warn({ result: verdict.kind, version: head.version }, "settings_ignored");
        }
    }
}
