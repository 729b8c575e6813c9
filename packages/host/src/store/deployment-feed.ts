/**
 * Keeps the newest deployment and the endpoints at this host: read at start, then a watch, or the word of peers that
 * watch. What comes from peers enters by the same door; a version only ever grows within the life of a process, and so
 * does the store's position, whose revision starts over when the store comes back from an older copy.
 *
 * @module
 */
import {
    isAfter,
    isFurther,
    NO_POSITION,
    type SettingsGive,
    type StorePosition,
    type StoreProgress,
    type WatchReason,
    WORD_VALID_MS,
} from "@drumpaddle/hall";
import type { Clock, KeyValue, KvChange, KvEntry, KvError, PlatformWire, WatchTiming } from "@drumpaddle/protocol";
import {
    adoptEndpoints,
    applyChanges,
    EMPTY_REGISTRY,
    type EndpointEntry,
    type HallOrders,
    type Life,
    meetLife,
    nameOfLife,
    type Registry,
    replaceAll,
    RouteTable,
    settle,
    storeAnswered,
    storeFailed,
    storeRestored,
    writeEndpoints,
} from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { logChange, logDifferences, type ToldChange } from "./endpoint-log.js";
import { Registrations } from "./registrations.js";
import type { Spread } from "./spread.js";
import type { StoreFollower } from "./store-follower.js";
import type { StoreState, StoreWord } from "./store-words.js";

/** What the feed is made of. */
export interface DeploymentFeedDeps {
    readonly clock: Clock;
    readonly kv: KeyValue;
    readonly wire: PlatformWire;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
}

/** Where a deployment came from. */
export type DeploymentSource = "store" | "peer";

/** What a host says that knows no deployment. */
const NO_VERSION = -1;
/** Pauses between two tries to read the store, in milliseconds: short, as a host that knows nothing serves nobody. */
const FIRST_RETRY_MS = 100;
/** With the time for a read (1 s) well within the least time after the store's return by which its news must be in force (3 s). */
const LONGEST_RETRY_MS = 500;
/**
 * What other hosts rely on is known to be cut off this soon: their own bound on news is 2 s at the least. Calls are paid
 * for, so that changes of a few moments ride on one; a watcher that only stands by lets more of them gather.
 */
const TIMING: Readonly<Record<WatchReason, WatchTiming>> = {
    first: { waitMs: 1_000, gatherMs: 100 },
    second: { waitMs: 1_000, gatherMs: 600 },
    alone: { waitMs: 1_000, gatherMs: 300 },
};
/** The first call of a watch waits for nothing: it shows at once whether the store answers. */
const FIRST_TIMING: WatchTiming = { waitMs: 1 };
/** Lapsed registrations are looked at this often. */
const EXPIRE_EVERY_MS = 250;
/** A host that hears of nobody after a suspension serves by what it knew after this: the store and peers answer within milliseconds. */
const STALE_MOST_MS = 500;
/** The store's whole content is watched by one call: deployment and endpoints have no prefix in common. */
const EVERYTHING = "";

/** The deployment in force and the endpoints that are there. */
export class DeploymentFeed {
    private current: { readonly table: RouteTable; readonly text: string } | undefined;
    private registry: Registry = EMPTY_REGISTRY;
    private endpointsRead = false;
    /** The point in the store's history that this host is up to date with. */
    private position: StorePosition | undefined;
    /** Whether the store answered last; undefined before the first answer. */
    private answered: boolean | undefined;
    /** When the store last answered this host. */
    private answeredAt = -Infinity;
    /** As of when the store is known to have answered a peer. */
    private peersAnsweredAt = -Infinity;
    private readonly registrations: Registrations;
    private watching: AbortController | undefined;
    /** When the host woke last from a suspension. */
    private wokeAt: number | undefined;
    /** Why this host watches. */
    private reason: WatchReason | undefined;
    private readonly answerListeners = new Set<() => void>();
    private readonly changeListeners = new Set<(word: StoreWord) => void>();
    private readonly deploymentListeners = new Set<(table: RouteTable) => void>();
    private readonly endpointListeners = new Set<(registry: Registry) => void>();

    constructor(private readonly deps: DeploymentFeedDeps) {
        this.registrations = new Registrations(deps);
    }

    /** The deployment in force; undefined until a first one was learnt. */
    get table(): RouteTable | undefined {
        return this.current?.table;
    }

    /** Whether neither the store nor a peer that it answers tells this host what changes. */
    get isDeaf(): boolean {
        return this.registry.storeAway;
    }

    /** How this host and its peers tell each other of deployments, so that one that the store is deaf to hears too. */
    get spread(): Spread {
        return {
            news: () => ({ version: this.table?.version ?? NO_VERSION, hash: "" }),
            ask: ({ version }) => version > (this.table?.version ?? NO_VERSION) ? { have: {} } : undefined,
            give: () => this.toGive(),
            take: given => this.takeGiven(given),
            setWatching: () => undefined,
        };
    }

    private toGive(): SettingsGive | undefined {
        if (!this.current) return undefined;
        const { table, text } = this.current;
        return { head: { version: table.version, parts: {}, hash: "" }, parts: { deployment: text } };
    }

    private takeGiven({ parts }: SettingsGive): void {
        if (parts.deployment !== undefined) this.offer(parts.deployment, "peer");
    }

    /** As of when the store is known to have answered this host, or one that told it. */
    private get freshAt(): number {
        return Math.max(this.answeredAt, this.peersAnsweredAt);
    }

    /** Why this host calls the store now, for the count of what is paid for. */
    get callReason(): WatchReason | "start" {
        return this.reason ?? "start";
    }

    /** How this host and its peers share what they hear of the store. */
    get follower(): StoreFollower {
        return {
            heard: () => ({ hears: this.watching ? this.answered : undefined, freshAt: this.freshAt }),
            isReady: () => this.isReady,
            word: () => this.word([]),
            setWatching: reason => this.setWatching(reason),
            onChanges: listener => void this.changeListeners.add(listener),
            onAnswer: listener => void this.answerListeners.add(listener),
            hear: word => this.hear(word),
            hearOf: freshAt => this.hearOf(freshAt),
            progress: () => this.progress,
            state: asker => this.state(asker),
            take: state => this.takeState(state),
            meetLife: (life, source) => this.meetLife(life, source),
        };
    }

    private get progress(): StoreProgress {
        return { ...this.position ?? NO_POSITION, version: this.table?.version ?? NO_VERSION };
    }

    /** What this host says of the store: how far it is, and what has just changed. */
    private word(changes: readonly KvChange[], after = this.position?.revision): StoreWord | undefined {
        if (this.position === undefined || after === undefined) return undefined;
        return { ...this.position, hears: this.answered === true, after, changes };
    }

    /** Takes in a watcher's word; true if changes before it are missing here. */
    private hear({ epoch, revision, hears, after, changes }: StoreWord): boolean {
        const now = this.deps.clock.now();
        const known = this.position ?? NO_POSITION;
        if (!hears) {
            // Mere silence does not show that the store is away; a watcher that it does not answer does.
            if (now - this.freshAt > WORD_VALID_MS) this.setRegistry(storeFailed(this.registry));
            return isAfter({ epoch, revision }, known);
        }
        this.peersAnsweredAt = now;
        if (isAfter({ epoch, revision: after }, known)) return true;
        this.take(changes, epoch, "peer");
        return false;
    }

    /** A peer knows that the store answered at a time. */
    private hearOf(freshAt: number): void {
        this.peersAnsweredAt = Math.max(this.peersAnsweredAt, freshAt);
        const now = this.deps.clock.now();
        if (now - freshAt < WORD_VALID_MS) this.setRegistry(storeAnswered(this.registry, now));
    }

    /** All that is known here; the deployment only where the asker has an older version. */
    private state(asker: StoreProgress): StoreState | undefined {
        if (this.position === undefined || !this.current || !isFurther(this.progress, asker)) return undefined;
        const endpoints = writeEndpoints([...this.registry.endpoints.values()].map(({ entry }) => entry));
        const evacuated = [...this.registry.halls.evacuated];
        const { table, text } = this.current;
        return {
            ...this.position,
            ageMs: Math.round(this.deps.clock.now() - this.freshAt),
            ...(table.version > asker.version ? { deployment: text } : {}),
            endpoints,
            evacuated,
        };
    }

    /** Takes over what a peer knows, if it is further than this host. */
    private takeState({ epoch, revision, ageMs, deployment, endpoints, evacuated }: StoreState): void {
        this.hearOf(this.deps.clock.now() - ageMs);
        if (deployment !== undefined) this.offer(deployment, "peer");
        if (!isAfter({ epoch, revision }, this.position ?? NO_POSITION)) return;
        const entries = this.registrations.fromPeer(endpoints);
        if (!entries) return;
        this.moveTo({ epoch, revision }, "peer");
        this.deps.log.info({ endpoints: entries.length, revision, age_ms: ageMs }, "endpoints_from_peer");
        this.setWhole(adoptEndpoints(this.registry, entries, evacuated, this.deps.clock.now()));
    }

    /**
     * Takes in that an endpoint has begun a later life than the one that is known, by its own word or a peer's.
     *
     * @returns Whether it was news.
     */
    private meetLife(life: Life, source: "endpoint" | "peer"): boolean {
        const next = meetLife(this.registry, life, this.deps.clock.now());
        if (next === this.registry) return false;
        this.deps.log.info({ endpoint: nameOfLife(life), source }, "endpoint_began_again");
        this.setRegistry(next);
        return true;
    }

    /** The host was suspended, or may have been: what was heard before is old, and the store is asked at once. */
    woke(suspendedMs: number): void {
        if (suspendedMs > 0) this.wokeAt = this.deps.clock.now();
        if (this.watching) this.beginWatch();
    }

    /** Whether nothing was heard since the host was suspended: versions may have come meanwhile. A cut-off host serves again soon. */
    get isStale(): boolean {
        const { wokeAt } = this;
        return wokeAt !== undefined && this.freshAt < wokeAt && this.deps.clock.now() - wokeAt < STALE_MOST_MS;
    }

    /** Whether deployment and endpoints were read. */
    get isReady(): boolean {
        return this.current !== undefined && this.endpointsRead;
    }

    /** An endpoint that is registered, or was until lately; undefined for a life that is over. */
    endpoint(incarnation: string): EndpointEntry | undefined {
        const registered = this.registry.endpoints.get(incarnation);
        if (registered) return registered.entry;
        const departed = this.registry.departed.get(incarnation);
        return departed?.isOver === false ? departed.entry : undefined;
    }

    /** Calls back with each deployment that comes into force. */
    onDeployment(listener: (table: RouteTable) => void): void {
        this.deploymentListeners.add(listener);
    }

    /** Calls back whenever endpoints change. */
    onEndpoints(listener: (registry: Registry) => void): void {
        this.endpointListeners.add(listener);
    }

    /** Reads the store once, or until a peer has told what it holds; ends with the signal. */
    start(): void {
        const { signal } = this.deps;
        const timer = setInterval(
            () => this.setRegistry(settle(this.registry, this.deps.clock.now())),
            EXPIRE_EVERY_MS,
        );
        signal.addEventListener("abort", () => clearInterval(timer), { once: true });
        void this.readFirst(signal);
    }

    private async readFirst(signal: AbortSignal): Promise<void> {
        let pauseMs = FIRST_RETRY_MS;
        while (!signal.aborted && !this.isReady && !this.watching) {
            if (await this.readAll(signal) !== undefined) return;
            await pause(pauseMs);
            pauseMs = Math.min(LONGEST_RETRY_MS, pauseMs * 2);
        }
    }

    /** Begins or ends to watch. */
    private setWatching(reason: WatchReason | undefined): void {
        if (reason === this.reason) return;
        this.deps.log.info({ reason, before: this.reason, revision: this.position?.revision }, "store_watching");
        this.reason = reason;
        if (reason === undefined) {
            this.watching?.abort();
            this.watching = undefined;
            return;
        }
        if (!this.watching) this.beginWatch();
    }

    private beginWatch(): void {
        this.watching?.abort();
        const own = new AbortController();
        this.watching = own;
        this.answered = undefined;
        void this.follow(AbortSignal.any([this.deps.signal, own.signal]));
    }

    /** Judges a deployment and puts it in force if it is newer; a malformed one is ignored with a log line. */
    offer(text: string, source: DeploymentSource): void {
        const { wire, log, metrics } = this.deps;
        if (text === this.current?.text) {
            metrics.countOffer("same");
            return;
        }
        const decoded = wire.decodeDeployment(text);
        if (!decoded.ok) {
            metrics.countOffer("invalid");
            log.warn({ source, at: decoded.err.at, detail: decoded.err.detail }, "deployment_ignored");
            return;
        }
        const { version } = decoded.value;
        const known = this.current?.table.version;
        if (known !== undefined && version <= known) {
            metrics.countOffer(version === known ? "same" : "older");
            return;
        }
        const table = RouteTable.of(decoded.value);
        this.current = { table, text };
        metrics.countOffer("adopted");
        metrics.version.set(version);
        log.info({ version, before: known, source, routes: decoded.value.routes.length }, "deployment_in_force");
        for (const listener of this.deploymentListeners) listener(table);
    }

    private async follow(signal: AbortSignal): Promise<void> {
        const { log } = this.deps;
        let pauseMs = FIRST_RETRY_MS;
        // One that has followed others is up to date: it goes on from there, without reading all again.
        let position = this.isReady ? this.position : undefined;
        while (!signal.aborted) {
            position ??= await this.readAll(signal);
            if (position !== undefined) {
                pauseMs = FIRST_RETRY_MS;
                const ended = await this.watchFrom(position, signal);
                if (signal.aborted) return;
                if (isAway(ended)) this.onStoreAway();
                log.warn({ err: ended.kind, detail: ended.detail }, "store_watch_ended");
                position = undefined;
                continue;
            }
            await pause(pauseMs);
            pauseMs = Math.min(LONGEST_RETRY_MS, pauseMs * 2);
        }
    }

    private watchFrom({ epoch, revision }: StorePosition, signal: AbortSignal): Promise<KvError> {
        let isFirst = true;
        const timing = (): WatchTiming => {
            if (!isFirst) return this.reason === undefined ? {} : TIMING[this.reason];
            isFirst = false;
            return FIRST_TIMING;
        };
        const watch = { prefix: EVERYTHING, after: revision, epoch, timing };
        return this.deps.kv.watch(watch, changes => this.take(changes, epoch, "store"), signal);
    }

    /** Reads everything; returns the position to watch from, or undefined where the store did not answer. */
    private async readAll(signal: AbortSignal): Promise<StorePosition | undefined> {
        const { kv, wire, log } = this.deps;
        const listed = await kv.list(EVERYTHING, signal);
        if (signal.aborted) return undefined;
        if (!listed.ok) {
            if (isAway(listed.err)) this.onStoreAway();
            if (!signal.aborted) log.warn({ err: listed.err.kind, detail: listed.err.detail }, "store_read_failed");
            return undefined;
        }
        const { entries, epoch, revision } = listed.value;
        const now = this.deps.clock.now();
        // A peer may have told of changes after this read.
        const isBehind = this.position !== undefined && isAfter(this.position, { epoch, revision });
        if (!isBehind) this.moveTo({ epoch, revision }, "store");
        const answered = storeAnswered(this.registry, now);
        const changes = entries.flatMap(entry => this.registrations.changeOf(entry) ?? []);
        const endpoints = changes.flatMap(change => change.kind === "registered" ? [change.entry] : []);
        const unreadable = changes.flatMap(change => change.kind === "unreadable" ? [change.id] : []);
        const evacuated = changes.flatMap(change => change.kind === "evacuated" ? [change.hall] : []);
        const deployment = entries.find(entry => entry.key === wire.storeKeys.deployment);
        if (deployment) this.offerStored(deployment, "store");
        const found = { endpoints: endpoints.length, deployment: deployment !== undefined };
        log.info({ epoch, revision, ...found, behind: isBehind }, "store_read");
        const whole = isBehind ? answered : replaceAll(answered, endpoints, unreadable, evacuated, now);
        this.setWhole(whole, unreadable);
        this.setAnswered(true);
        return { epoch, revision };
    }

    /** Goes on to a later point in the store's history; in another epoch what the store holds is older than what is known here. */
    private moveTo(position: StorePosition, source: DeploymentSource): void {
        const before = this.position;
        this.position = position;
        this.deps.metrics.storeEpoch.set(position.epoch);
        if (before === undefined || before.epoch === position.epoch) return;
        const { epoch, revision } = position;
        const told = { source, epoch, revision, before_epoch: before.epoch, before_revision: before.revision };
        this.deps.log.warn(told, "store_restored");
        this.registrations.forget();
        this.setRegistry(storeRestored(this.registry, this.deps.clock.now()));
    }

    private offerStored({ value, unreadable }: KvEntry, source: DeploymentSource): void {
        if (unreadable === undefined) return this.offer(value, source);
        this.deps.metrics.countOffer("invalid");
        this.deps.log.warn({ source, at: "/", detail: unreadable }, "deployment_ignored");
    }

    /** The store does not answer this host; that it is away is believed only while no peer is answered either. */
    private onStoreAway(): void {
        if (this.deps.clock.now() - this.peersAnsweredAt > WORD_VALID_MS) this.setRegistry(storeFailed(this.registry));
        this.setAnswered(false);
    }

    private setAnswered(answered: boolean): void {
        if (answered) this.answeredAt = this.deps.clock.now();
        if (answered === this.answered) return;
        this.answered = answered;
        for (const listener of this.answerListeners) listener();
    }

    private take(changes: readonly KvChange[], epoch: number, source: DeploymentSource): void {
        const now = this.deps.clock.now();
        if (source === "store") this.setAnswered(true);
        const answered = storeAnswered(this.registry, now);
        const told: ToldChange[] = [];
        const known = this.position ?? NO_POSITION;
        const news = changes.filter(({ modRevision }) => isAfter({ epoch, revision: modRevision }, known));
        for (const item of news) {
            const { key, value, modRevision } = item;
            const position = { epoch, revision: modRevision };
            if (isAfter(position, this.position ?? NO_POSITION)) this.position = position;
            if (key === this.deps.wire.storeKeys.deployment && value !== undefined) {
                this.offerStored({ ...item, value }, source);
            }
            const change = this.registrations.changeOf(item);
            if (change) told.push({ change, revision: modRevision });
        }
        const next = told.length > 0 ? applyChanges(answered, told.map(({ change }) => change), now) : answered;
        for (const one of told) logChange(this.deps.log, one, next);
        this.setRegistry(next);
        if (source === "peer" || news.length === 0) return;
        const word = this.word(news, known.revision);
        if (word) { for (const listener of this.changeListeners) listener(word); }
    }

    private logEvacuations(before: HallOrders, { evacuated }: HallOrders): void {
        if (evacuated === before.evacuated) return;
        const { log, metrics } = this.deps;
        const revision = this.position?.revision;
        for (const hall of evacuated) if (!before.evacuated.has(hall)) log.warn({ hall, revision }, "hall_evacuated");
        for (const hall of before.evacuated) if (!evacuated.has(hall)) log.warn({ hall, revision }, "hall_reopened");
        metrics.evacuated.set(evacuated.size);
    }

    /** Takes over all endpoints at once. The first ones are not told one by one. */
    private setWhole(registry: Registry, unreadable: readonly string[] = []): void {
        const { registry: before } = this;
        const revision = this.position?.revision;
        if (this.endpointsRead) logDifferences(this.deps.log, { before, after: registry, revision, unreadable });
        this.endpointsRead = true;
        this.setRegistry(registry);
    }

    private setRegistry(registry: Registry): void {
        if (registry === this.registry) return;
        const { storeAway, endpoints, halls } = this.registry;
        this.registry = registry;
        if (registry.storeAway !== storeAway) {
            this.deps.log.info({}, registry.storeAway ? "store_lost" : "store_regained");
        }
        this.logEvacuations(halls, registry.halls);
        if (registry.endpoints === endpoints && registry.halls === halls) return;
        for (const listener of this.endpointListeners) listener(registry);
    }
}

/** Whether an error tells that the store does not answer; it does where only what it held before is gone. */
function isAway({ kind }: KvError): boolean {
    return kind !== "compacted" && kind !== "restored";
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
