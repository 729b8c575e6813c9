/**
 * Keeps the newest version of the settings in force at this host: read at start, then a watch, then reads where the
 * watch falls silent. Versions that come from peers enter by the same door.
 *
 * @module
 */
import type { KeyValue } from "@drumpaddle/protocol";
import { adopt, type AdoptResult, type Head, type InForce, judgeHead, type Snapshot } from "@drumpaddle/settings";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { Directory } from "./directory.js";
import type { SettingsStore } from "./settings-store.js";

/** What the feed is made of. */
export interface FeedDeps {
    readonly kv: KeyValue;
    readonly store: SettingsStore;
    readonly hall: string;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
}

/** Where an offered version came from. */
export type OfferSource = "service" | "peer" | "edit";

const WATCH_RETRY_MS = 500;
/** A watch may stall without ending: the head is read at least this often by a host that watches. */
const READ_EVERY_MS = 5_000;

/** The settings in force at one host. */
export class SettingsFeed {
    private current: InForce | undefined;
    private indexed: Directory | undefined;
    private readonly listeners = new Set<(directory: Directory) => void>();
    private reading: Promise<void> | undefined;
    private wanted = 0;
    private watching = false;

    constructor(private readonly deps: FeedDeps) {}

    /** What is in force; undefined until a first version was learnt. */
    get inForce(): InForce | undefined {
        return this.current;
    }

    /** The version in force, indexed; undefined until a first version was learnt. */
    get directory(): Directory | undefined {
        return this.indexed;
    }

    /** Calls back with each version that comes into force, and at once with the one that is. */
    onChange(listener: (directory: Directory) => void): void {
        this.listeners.add(listener);
        if (this.indexed) listener(this.indexed);
    }

    /** Judges a version and takes it if it is newer and whole. */
    offer(snapshot: Snapshot, source: OfferSource): AdoptResult {
        const result = adopt(this.current, snapshot, Date.now());
        this.deps.metrics.countOffer(result.kind);
        if (result.kind === "adopted") this.take(result.inForce, source);
        else if (result.kind !== "same") {
            this.deps.log.warn({ source, ...result, kind: undefined, result: result.kind }, "settings_ignored");
        }
        return result;
    }

    private take(inForce: InForce, source: OfferSource): void {
        this.current = inForce;
        this.indexed = new Directory(inForce, this.deps.hall, this.indexed);
        const { version, hash } = inForce.snapshot.head;
        this.deps.metrics.version.set(version);
        this.deps.log.info({ version, hash, source }, "settings_in_force");
        for (const listener of this.listeners) listener(this.indexed);
    }

    /** Reads the service once; several callers share one read. */
    refresh(): Promise<void> {
        this.reading ??= this.read().finally(() => this.reading = undefined);
        return this.reading;
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

    /** Whether this host watches the service itself; the others hear from peers. */
    setWatching(watching: boolean): void {
        if (watching === this.watching) return;
        this.watching = watching;
        this.wanted += 1;
        if (watching) void this.watch(this.wanted);
    }

    private async watch(turn: number): Promise<void> {
        const { kv, store, signal, log } = this.deps;
        const own = new AbortController();
        const timer = setInterval(() => {
            if (turn === this.wanted) void this.refresh();
            else own.abort();
        }, READ_EVERY_MS);
        const both = AbortSignal.any([signal, own.signal]);
        while (!both.aborted && turn === this.wanted) {
            await this.refresh();
            const ended = await kv.watch({ prefix: store.headKey }, changes => {
                for (const { key, value } of changes) if (key === store.headKey) this.onHead(value);
            }, both);
            if (both.aborted || turn !== this.wanted) break;
            log.warn({ err: ended.kind, detail: "detail" in ended ? ended.detail : undefined }, "settings_watch_ended");
            await new Promise(resolve => setTimeout(resolve, WATCH_RETRY_MS));
        }
        clearInterval(timer);
    }

    private onHead(value: string | undefined): void {
        if (value === undefined) return;
        const head = JSON.parse(value) as Head;
        const verdict = judgeHead(this.current, head);
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
