/**
 * Keeps this host's deployment and list of endpoints up to date. A host reads the store at start; afterwards it watches the
 * store itself or receives the changes from peers that do. What peers send passes the same checks as what the store
 * sends. Within the life of a process the version of the deployment only grows, and so does the position in the store's
 * history; the revision alone starts over when the store is restored from an older copy.
 *
 * @module
 */
import {
    isAfter,
    isFurther,
    NO_POSITION,
    type SettingsResponse,
    type StorePosition,
    type StoreProgress,
    WATCHER_REPORT_TTL_MS,
    type WatchReason,
} from "@drumpaddle/hall";
import type { Clock, KeyValue, KvChange, KvEntry, KvError, PlatformWire, WatchTiming } from "@drumpaddle/protocol";
import {
    adoptPeerEndpoints,
    applyChanges,
    EMPTY_REGISTRY,
    type EndpointEntry,
    expireGracePeriods,
    type HallEvacuations,
    type IncarnationId,
    incarnationOf,
    learnIncarnation,
    type Registry,
    replaceRegistrations,
    RouteTable,
    storeAnswered,
    storeFailed,
    storeRestored,
    writeEndpoints,
} from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { type ChangeAtRevision, logChange, logDifferences } from "./endpoint-log.js";
import { RegistrationReader } from "./registrations.js";
import type { StoreState, StoreUpdate } from "./store-messages.js";
import type { StoreFollower } from "./store-sharing.js";
import type { VersionExchange } from "./version-exchange.js";

/** What a {@link DeploymentFeed} depends on. */
export interface DeploymentFeedDeps {
    readonly clock: Clock;
    readonly kv: KeyValue;
    readonly wire: PlatformWire;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
}

/** Who sent a deployment to this host. */
export type DeploymentSource = "store" | "peer";

/** The version that a host without a deployment reports. */
const NO_VERSION = -1;
/** First delay between two reads of the store that fail, doubled each time. Short, as a host without a deployment serves nobody. */
const INITIAL_RETRY_DELAY_MS = 100;
/** Together with the time limit of a read (1 s) well below the 3 s after the store's return in which its changes must be in force. */
const MAX_RETRY_DELAY_MS = 500;
/**
 * Timing of the calls of a watch, by why this host watches. Other hosts rely on a watcher, and the shortest time in which a
 * change must reach them is 2 s, so a call waits for 1 s at most: a watcher notices that soon that it is cut off. Each call
 * costs money, so changes that follow each other closely share one; the second watcher is a standby and gathers more of them.
 */
const WATCH_TIMINGS: Readonly<Record<WatchReason, WatchTiming>> = {
    first: { waitMs: 1_000, batchMs: 100 },
    second: { waitMs: 1_000, batchMs: 600 },
    alone: { waitMs: 1_000, batchMs: 300 },
};
/** The first call of a watch returns without waiting for changes, which shows at once whether the store answers. */
const INITIAL_WATCH_TIMING: WatchTiming = { waitMs: 1 };
/** How often the registry is checked for registrations that have lapsed. */
const EXPIRY_INTERVAL_MS = 250;
/**
 * A host that has been suspended and that neither the store nor a peer answers serves by its old state again after this time;
 * they usually answer within milliseconds.
 */
const MAX_STALE_MS = 500;
/** The prefix of all keys. One watch covers the whole store, as deployment and endpoints have no longer prefix in common. */
const ALL_KEYS = "";

/** Holds the deployment in force and the registry of endpoints, and follows the store for both. */
export class DeploymentFeed {
    private current: { readonly table: RouteTable; readonly text: string } | undefined;
    private registry: Registry = EMPTY_REGISTRY;
    private endpointsRead = false;
    /** The position in the store's history up to which this host knows all changes. */
    private position: StorePosition | undefined;
    /** Whether the store answered this host's last call; undefined until a call has ended since the watch was started. */
    private lastCallAnswered: boolean | undefined;
    /** When the store last answered this host. */
    private lastAnsweredAt = -Infinity;
    /** The latest time at which the store is known to have answered a peer. */
    private peersAnsweredAt = -Infinity;
    private readonly registrations: RegistrationReader;
    private watchController: AbortController | undefined;
    /** When this host last resumed from a suspension. */
    private wokeAt: number | undefined;
    /** Why this host watches the store; undefined while it does not. */
    private watchReason: WatchReason | undefined;
    private readonly answerListeners = new Set<() => void>();
    private readonly changeListeners = new Set<(update: StoreUpdate) => void>();
    private readonly deploymentListeners = new Set<(table: RouteTable) => void>();
    private readonly endpointListeners = new Set<(registry: Registry) => void>();

    constructor(private readonly deps: DeploymentFeedDeps) {
        this.registrations = new RegistrationReader(deps);
    }

    /** The routes of the deployment in force; undefined before the first deployment. */
    get table(): RouteTable | undefined {
        return this.current?.table;
    }

    /** Whether this host gets no changes: neither the store answers it, nor a peer that the store answers. */
    get isStoreAway(): boolean {
        return this.registry.isStoreAway;
    }

    /** Exchanges deployments with peers, so that a host that the store does not answer gets them too. */
    get versionExchange(): VersionExchange {
        return {
            news: () => ({ version: this.table?.version ?? NO_VERSION, hash: "" }),
            ask: ({ version }) => version > (this.table?.version ?? NO_VERSION) ? { have: {} } : undefined,
            give: () => this.currentDeployment(),
            accept: given => this.offerFromPeer(given),
            setWatching: () => undefined,
        };
    }

    private currentDeployment(): SettingsResponse | undefined {
        if (!this.current) return undefined;
        const { table, text } = this.current;
        return { head: { version: table.version, parts: {}, hash: "" }, parts: { deployment: text } };
    }

    private offerFromPeer({ parts }: SettingsResponse): void {
        if (parts.deployment !== undefined) this.offer(parts.deployment, "peer");
    }

    /** The latest time at which the store is known to have answered this host, or a peer that reported it. */
    private get freshAt(): number {
        return Math.max(this.lastAnsweredAt, this.peersAnsweredAt);
    }

    /** Why this host calls the store now: the label of the metric that counts the calls, each of which costs money. */
    get callReason(): WatchReason | "start" {
        return this.watchReason ?? "start";
    }

    /** This feed as {@link StoreSharing} uses it to share the store's changes with peers. */
    get follower(): StoreFollower {
        return {
            storeContact: () => ({
                hears: this.watchController ? this.lastCallAnswered : undefined,
                freshAt: this.freshAt,
            }),
            isReady: () => this.isReady,
            currentUpdate: () => this.updateWith([]),
            setWatching: reason => this.setWatching(reason),
            onChanges: listener => void this.changeListeners.add(listener),
            onAnswer: listener => void this.answerListeners.add(listener),
            receiveUpdate: update => this.receiveUpdate(update),
            noteStoreAnswered: freshAt => this.noteStoreAnswered(freshAt),
            progress: () => this.progress,
            state: asker => this.stateNewerThan(asker),
            adoptState: state => this.adoptState(state),
            learnIncarnation: (life, source) => this.learnIncarnation(life, source),
        };
    }

    private get progress(): StoreProgress {
        return { ...this.position ?? NO_POSITION, version: this.table?.version ?? NO_VERSION };
    }

    /** The message that tells peers this host's position and the changes since `after`; undefined before the first read. */
    private updateWith(changes: readonly KvChange[], after = this.position?.revision): StoreUpdate | undefined {
        if (this.position === undefined || after === undefined) return undefined;
        return { ...this.position, hears: this.lastCallAnswered === true, after, changes };
    }

    /** Applies a watcher's update; returns true if this host lacks changes that precede it. */
    private receiveUpdate({ epoch, revision, hears, after, changes }: StoreUpdate): boolean {
        const now = this.deps.clock.now();
        const known = this.position ?? NO_POSITION;
        if (!hears) {
            // Getting no updates does not show that the store is away; a watcher whose calls it does not answer does.
            if (now - this.freshAt > WATCHER_REPORT_TTL_MS) this.setRegistry(storeFailed(this.registry, this.freshAt));
            return isAfter({ epoch, revision }, known);
        }
        this.peersAnsweredAt = now;
        if (isAfter({ epoch, revision: after }, known)) return true;
        this.applyStoreChanges(changes, epoch, "peer");
        return false;
    }

    /** Notes that the store answered a peer at a time. */
    private noteStoreAnswered(freshAt: number): void {
        this.peersAnsweredAt = Math.max(this.peersAnsweredAt, freshAt);
        const now = this.deps.clock.now();
        if (now - freshAt < WATCHER_REPORT_TTL_MS) this.setRegistry(storeAnswered(this.registry, now));
    }

    /** This host's whole state for a peer that is behind it; the deployment only where the peer's version is older. */
    private stateNewerThan(asker: StoreProgress): StoreState | undefined {
        if (this.position === undefined || !this.current || !isFurther(this.progress, asker)) return undefined;
        // Only what is registered: what this host keeps for a while is gone by the time at which the peer would have to learn that.
        const registered = [...this.registry.endpoints.values()].filter(({ lapsedAt }) => lapsedAt === undefined);
        const endpoints = writeEndpoints(registered.map(({ entry }) => entry));
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

    /** Replaces this host's state with a peer's, if the peer is further ahead in the store's history. */
    private adoptState({ epoch, revision, ageMs, deployment, endpoints, evacuated }: StoreState): void {
        this.noteStoreAnswered(this.deps.clock.now() - ageMs);
        if (deployment !== undefined) this.offer(deployment, "peer");
        if (!isAfter({ epoch, revision }, this.position ?? NO_POSITION)) return;
        const entries = this.registrations.readPeerList(endpoints);
        if (!entries) return;
        this.setPosition({ epoch, revision }, "peer");
        this.deps.log.info({ endpoints: entries.length, revision, age_ms: ageMs }, "endpoints_from_peer");
        this.replaceRegistry(adoptPeerEndpoints(this.registry, entries, evacuated, this.deps.clock.now()));
    }

    /**
     * Records a later incarnation of an endpoint than the known one, as the endpoint or a peer reports.
     *
     * @returns Whether this host did not know that incarnation.
     */
    private learnIncarnation(incarnation: IncarnationId, source: "endpoint" | "peer"): boolean {
        const next = learnIncarnation(this.registry, incarnation, this.deps.clock.now());
        if (next === this.registry) return false;
        this.deps.log.info({ endpoint: incarnationOf(incarnation), source }, "endpoint_began_again");
        this.setRegistry(next);
        return true;
    }

    /** Handles the end of a suspension, or of a possible one: the state may be outdated, so a watching host calls the store at once. */
    onWake(suspendedMs: number): void {
        if (suspendedMs > 0) this.wokeAt = this.deps.clock.now();
        if (this.watchController) this.restartWatch();
    }

    /**
     * Whether the known state may be out of date, as the store has answered neither this host nor a peer since a suspension. Ends
     * after {@link MAX_STALE_MS}, so that a host that is cut off from the store serves again soon.
     */
    get isStale(): boolean {
        const { wokeAt } = this;
        return wokeAt !== undefined && this.freshAt < wokeAt && this.deps.clock.now() - wokeAt < MAX_STALE_MS;
    }

    /** Whether this host has a deployment and a list of endpoints. */
    get isReady(): boolean {
        return this.current !== undefined && this.endpointsRead;
    }

    /** An endpoint that is registered, or was until recently; undefined for an incarnation that has ended. */
    endpoint(incarnation: string): EndpointEntry | undefined {
        const registered = this.registry.endpoints.get(incarnation);
        if (registered) return registered.entry;
        const departed = this.registry.departed.get(incarnation);
        return departed?.isOver === false ? departed.entry : undefined;
    }

    /** Registers a listener for each deployment that comes into force. */
    onDeployment(listener: (table: RouteTable) => void): void {
        this.deploymentListeners.add(listener);
    }

    /** Registers a listener for each change of the endpoints or of the evacuated halls. */
    onEndpoints(listener: (registry: Registry) => void): void {
        this.endpointListeners.add(listener);
    }

    /** Reads the store until a read succeeds, a peer has sent its state or this host begins to watch. Ends with the signal. */
    start(): void {
        const { signal } = this.deps;
        const timer = setInterval(
            () => this.setRegistry(expireGracePeriods(this.registry, this.deps.clock.now())),
            EXPIRY_INTERVAL_MS,
        );
        signal.addEventListener("abort", () => clearInterval(timer), { once: true });
        void this.readUntilReady(signal);
    }

    private async readUntilReady(signal: AbortSignal): Promise<void> {
        let delayMs = INITIAL_RETRY_DELAY_MS;
        while (!signal.aborted && !this.isReady && !this.watchController) {
            if (await this.readAll(signal) !== undefined) return;
            await pause(delayMs);
            delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
        }
    }

    /** Starts or stops watching the store, or changes the reason for it. */
    private setWatching(reason: WatchReason | undefined): void {
        if (reason === this.watchReason) return;
        this.deps.log.info({ reason, before: this.watchReason, revision: this.position?.revision }, "store_watching");
        this.watchReason = reason;
        if (reason === undefined) {
            this.watchController?.abort();
            this.watchController = undefined;
            return;
        }
        if (!this.watchController) this.restartWatch();
    }

    private restartWatch(): void {
        this.watchController?.abort();
        const controller = new AbortController();
        this.watchController = controller;
        this.lastCallAnswered = undefined;
        void this.readAndWatch(AbortSignal.any([this.deps.signal, controller.signal]));
    }

    /** Puts a deployment in force if it is newer than the current one; a malformed one is logged and ignored. */
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

    private async readAndWatch(signal: AbortSignal): Promise<void> {
        const { log } = this.deps;
        let delayMs = INITIAL_RETRY_DELAY_MS;
        // A host that has followed peers is up to date and watches from its position, without another full read.
        let position = this.isReady ? this.position : undefined;
        while (!signal.aborted) {
            position ??= await this.readAll(signal);
            if (position !== undefined) {
                delayMs = INITIAL_RETRY_DELAY_MS;
                const ended = await this.watchFrom(position, signal);
                if (signal.aborted) return;
                if (isUnanswered(ended)) this.onStoreUnanswered(this.freshAt);
                log.warn({ err: ended.kind, detail: ended.detail }, "store_watch_ended");
                position = undefined;
                continue;
            }
            await pause(delayMs);
            delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
        }
    }

    private watchFrom({ epoch, revision }: StorePosition, signal: AbortSignal): Promise<KvError> {
        let isFirst = true;
        const timing = (): WatchTiming => {
            if (!isFirst) return this.watchReason === undefined ? {} : WATCH_TIMINGS[this.watchReason];
            isFirst = false;
            return INITIAL_WATCH_TIMING;
        };
        const watch = { prefix: ALL_KEYS, after: revision, epoch, timing };
        return this.deps.kv.watch(watch, changes => this.applyStoreChanges(changes, epoch, "store"), signal);
    }

    /** Reads the whole store; returns the position to watch from, or undefined if the read failed. */
    private async readAll(signal: AbortSignal): Promise<StorePosition | undefined> {
        const { kv, wire, log } = this.deps;
        const listed = await kv.list(ALL_KEYS, signal);
        if (signal.aborted) return undefined;
        if (!listed.ok) {
            if (isUnanswered(listed.err)) this.onStoreUnanswered();
            if (!signal.aborted) log.warn({ err: listed.err.kind, detail: listed.err.detail }, "store_read_failed");
            return undefined;
        }
        const { entries, epoch, revision } = listed.value;
        const now = this.deps.clock.now();
        // A peer may have sent changes that are later than this read.
        const isOutdated = this.position !== undefined && isAfter(this.position, { epoch, revision });
        if (!isOutdated) this.setPosition({ epoch, revision }, "store");
        const answered = storeAnswered(this.registry, now);
        const changes = entries.flatMap(entry => this.registrations.changeOf(entry) ?? []);
        const endpoints = changes.flatMap(change => change.kind === "registered" ? [change.entry] : []);
        const unreadable = changes.flatMap(change => change.kind === "unreadable" ? [change.id] : []);
        const evacuated = changes.flatMap(change => change.kind === "evacuated" ? [change.hall] : []);
        const deployment = entries.find(entry => entry.key === wire.storeKeys.deployment);
        if (deployment) this.offerStored(deployment, "store");
        const summary = { endpoints: endpoints.length, deployment: deployment !== undefined };
        log.info({ epoch, revision, ...summary, behind: isOutdated }, "store_read");
        const registry = isOutdated ? answered : replaceRegistrations(answered, endpoints, unreadable, evacuated, now);
        this.replaceRegistry(registry, unreadable);
        this.setLastCallAnswered(true);
        return { epoch, revision };
    }

    /** Sets the position. A new epoch means that the store was restored from a copy older than what this host knows. */
    private setPosition(position: StorePosition, source: DeploymentSource): void {
        const before = this.position;
        this.position = position;
        this.deps.metrics.storeEpoch.set(position.epoch);
        if (before === undefined || before.epoch === position.epoch) return;
        const { epoch, revision } = position;
        const fields = { source, epoch, revision, before_epoch: before.epoch, before_revision: before.revision };
        this.deps.log.warn(fields, "store_restored");
        this.registrations.resetReported();
        this.setRegistry(storeRestored(this.registry, this.deps.clock.now()));
    }

    private offerStored({ value, unreadable }: KvEntry, source: DeploymentSource): void {
        if (unreadable === undefined) return this.offer(value, source);
        this.deps.metrics.countOffer("invalid");
        this.deps.log.warn({ source, at: "/", detail: unreadable }, "deployment_ignored");
    }

    /** Handles a call that the store did not answer. The store counts as away only if it has lately answered no peer either. */
    private onStoreUnanswered(answeredAt?: number): void {
        if (this.deps.clock.now() - this.peersAnsweredAt > WATCHER_REPORT_TTL_MS) {
            this.setRegistry(storeFailed(this.registry, answeredAt));
        }
        this.setLastCallAnswered(false);
    }

    private setLastCallAnswered(answered: boolean): void {
        if (answered) this.lastAnsweredAt = this.deps.clock.now();
        if (answered === this.lastCallAnswered) return;
        this.lastCallAnswered = answered;
        for (const listener of this.answerListeners) listener();
    }

    private applyStoreChanges(changes: readonly KvChange[], epoch: number, source: DeploymentSource): void {
        const now = this.deps.clock.now();
        if (source === "store") this.setLastCallAnswered(true);
        const answered = storeAnswered(this.registry, now);
        const registryChanges: ChangeAtRevision[] = [];
        const known = this.position ?? NO_POSITION;
        const newChanges = changes.filter(({ modRevision }) => isAfter({ epoch, revision: modRevision }, known));
        for (const entry of newChanges) {
            const { key, value, modRevision } = entry;
            const position = { epoch, revision: modRevision };
            if (isAfter(position, this.position ?? NO_POSITION)) this.position = position;
            if (key === this.deps.wire.storeKeys.deployment && value !== undefined) {
                this.offerStored({ ...entry, value }, source);
            }
            const change = this.registrations.changeOf(entry);
            if (change) registryChanges.push({ change, revision: modRevision });
        }
        const next = registryChanges.length > 0
            ? applyChanges(answered, registryChanges.map(({ change }) => change), now)
            : answered;
        for (const change of registryChanges) logChange(this.deps.log, change, next);
        this.setRegistry(next);
        if (source === "peer" || newChanges.length === 0) return;
        const update = this.updateWith(newChanges, known.revision);
        if (update) { for (const listener of this.changeListeners) listener(update); }
    }

    private logEvacuations(before: HallEvacuations, { evacuated }: HallEvacuations): void {
        if (evacuated === before.evacuated) return;
        const { log, metrics } = this.deps;
        const revision = this.position?.revision;
        for (const hall of evacuated) if (!before.evacuated.has(hall)) log.warn({ hall, revision }, "hall_evacuated");
        for (const hall of before.evacuated) if (!evacuated.has(hall)) log.warn({ hall, revision }, "hall_reopened");
        metrics.evacuated.set(evacuated.size);
    }

    /** Replaces the whole registry and logs what differs, except for the first registry. */
    private replaceRegistry(registry: Registry, unreadable: readonly string[] = []): void {
        const { registry: before } = this;
        const revision = this.position?.revision;
        if (this.endpointsRead) logDifferences(this.deps.log, { before, after: registry, revision, unreadable });
        this.endpointsRead = true;
        this.setRegistry(registry);
    }

    private setRegistry(registry: Registry): void {
        if (registry === this.registry) return;
        const { isStoreAway, endpoints, halls } = this.registry;
        this.registry = registry;
        if (registry.isStoreAway !== isStoreAway) {
            this.deps.log.info({}, registry.isStoreAway ? "store_lost" : "store_regained");
        }
        this.logEvacuations(halls, registry.halls);
        if (registry.endpoints === endpoints && registry.halls === halls) return;
        for (const listener of this.endpointListeners) listener(registry);
    }
}

/** Whether an error means that the store did not answer. Not so where it answers that it lacks the requested history. */
function isUnanswered({ kind }: KvError): boolean {
    return kind !== "compacted" && kind !== "restored";
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
