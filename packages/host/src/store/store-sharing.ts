/**
 * Shares the store's changes among the hosts of a hall, of which only a few watch the store. Carries out what `following` in the
 * package `hall` decides.
 *
 * @module
 */
import {
    createWatcherView,
    planWatching,
    recordPeerProgress,
    recordWatcherReport,
    type StoreContact,
    type StoreProgress,
    WATCHER_REPORT_INTERVAL_MS,
    type WatcherView,
    type WatchPlan,
    type WatchReason,
    type Weights,
} from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import type { IncarnationId } from "@drumpaddle/routes";
import { repeat } from "../runtime/repeat.js";
import type { StorePeerMessage, StoreStamp, StoreState, StoreUpdate } from "./store-messages.js";

/** What a host knows from the store, and its own watch of the store, as {@link StoreSharing} uses them. */
export interface StoreFollower {
    /** Whether the store answers this host's watch, and when it last answered this host or one that it follows. */
    storeContact(): Omit<StoreContact, "seeking">;
    /** Whether this host knows enough to serve. */
    isReady(): boolean;
    /** This host's position as an update without changes; undefined before it has one. */
    currentUpdate(): StoreUpdate | undefined;
    /** Starts to watch the store for a reason, or stops if undefined: then this host follows others. */
    setWatching(reason: WatchReason | undefined): void;
    /** Registers a listener for changes that this host gets from the store itself. */
    onChanges(listener: (update: StoreUpdate) => void): void;
    /** Registers a listener that is called when the store begins or ceases to answer this host. */
    onAnswer(listener: () => void): void;
    /** Applies a watcher's update; returns true if this host lacks changes that precede it. */
    receiveUpdate(update: StoreUpdate): boolean;
    /** Notes that the store answered a peer at a time. */
    noteStoreAnswered(freshAt: number): void;
    /** The position and version up to which this host knows the store. */
    progress(): StoreProgress;
    /** The whole state for a peer, the deployment only if it is newer than the peer's; undefined if the peer lacks nothing. */
    state(asker: StoreProgress): StoreState | undefined;
    /** Replaces this host's state with a peer's, if that is further ahead. */
    adoptState(state: StoreState): void;
    /** Records a later incarnation of an endpoint; returns whether this host did not know it. */
    learnIncarnation(incarnation: IncarnationId, source: "endpoint" | "peer"): boolean;
}

/** What {@link StoreSharing} depends on. */
export interface StoreSharingDeps {
    readonly name: string;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    readonly follower: StoreFollower;
    /** Live hosts of this hall, this one included. */
    inHall(): readonly string[];
    /** The weights by which hosts are ranked as watchers. */
    weights(): Weights;
    /** Whether this host still looks for hosts that it has not heard from yet. */
    seeking(): boolean;
    /** Live hosts of the scope, this one included. */
    live(): readonly string[];
    send(names: readonly string[], message: StorePeerMessage): void;
}

/** Decides whether this host watches the store, and exchanges the store's changes with its peers. */
export class StoreSharing {
    private following: WatcherView;
    /** Counts the requests of {@link StoreSharing.requestFromNextPeer}, which choose the peer in turn. */
    private askCount = 0;

    constructor(private readonly deps: StoreSharingDeps) {
        this.following = createWatcherView(deps.name, deps.clock.now());
        const { follower, signal } = deps;
        follower.onChanges(update => this.relay(update));
        follower.onAnswer(() => this.reviewWatch());
        repeat(() => this.reviewWatch(), () => WATCHER_REPORT_INTERVAL_MS, signal);
    }

    /** Starts or stops the watch as planned, informs the hall if due, and asks a peer if the store does not answer this host. */
    private reviewWatch(): void {
        const { follower } = this.deps;
        const { hears } = follower.storeContact();
        const { reason, shouldReport } = this.planWatch();
        follower.setWatching(reason);
        const update = follower.currentUpdate();
        if (shouldReport && update) this.tellHall(update);
        if (hears === false || !follower.isReady()) this.requestFromNextPeer();
    }

    private planWatch(): WatchPlan {
        const { deps } = this;
        const contact = { ...deps.follower.storeContact(), seeking: deps.seeking() };
        const plan = planWatching(this.following, deps.inHall(), contact, deps.clock.now(), deps.weights());
        this.following = plan.state;
        return plan;
    }

    /** Sends the hall what this host got from the store, if it is the hall's first watcher; the second is its standby. */
    private relay(update: StoreUpdate): void {
        const { reason } = this.planWatch();
        if (reason === "first") this.tellHall(update);
    }

    private tellHall(update: StoreUpdate): void {
        this.deps.send(this.deps.inHall().filter(name => name !== this.deps.name), { kind: "storeWord", ...update });
    }

    /** Records which incarnation of an endpoint has answered this host, and informs the hall if it was not known. */
    learnIncarnation({ id, born }: IncarnationId): void {
        const { deps } = this;
        if (born === undefined || !deps.follower.learnIncarnation({ id, born }, "endpoint")) return;
        deps.send(deps.inHall().filter(name => name !== deps.name), { kind: "lifeMet", id, born });
    }

    private requestFromNextPeer(): void {
        const others = this.deps.live().filter(name => name !== this.deps.name);
        this.askCount += 1;
        const name = others[this.askCount % Math.max(1, others.length)];
        if (name !== undefined) this.requestState(name);
    }

    private requestState(name: string): void {
        const { follower } = this.deps;
        this.deps.send([name], { kind: "storeAsk", ...follower.progress() });
    }

    /** How far this host is with the store, as probes carry it; undefined before it has heard of the store. */
    stamp(): StoreStamp | undefined {
        const { follower } = this.deps;
        const { freshAt } = follower.storeContact();
        if (freshAt === -Infinity) return undefined;
        const { epoch, revision, version } = follower.progress();
        return [epoch, revision, version, Math.round(this.deps.clock.now() - freshAt)];
    }

    /** Handles a peer's stamp; a host that has been behind the peer for a while asks it for its state. */
    receiveStamp(from: string, [epoch, revision, version, ageMs]: StoreStamp): void {
        const { follower } = this.deps;
        const now = this.deps.clock.now();
        follower.noteStoreAnswered(now - ageMs);
        const { state, asks } = recordPeerProgress(
            this.following,
            { epoch, revision, version },
            follower.progress(),
            now,
        );
        this.following = state;
        if (asks) this.requestState(from);
    }

    /** Handles a message of a peer. */
    receive(from: string, message: StorePeerMessage): void {
        const handler = this.handlers[message.kind] as (from: string, message: StorePeerMessage) => void;
        handler(from, message);
    }

    private readonly handlers: {
        readonly [K in StorePeerMessage["kind"]]: (
            from: string,
            message: Extract<StorePeerMessage, { kind: K }>,
        ) => void;
    } = {
        storeWord: (from, update) => {
            this.following = recordWatcherReport(this.following, from, update.hears, this.deps.clock.now());
            if (this.deps.follower.receiveUpdate(update)) this.requestState(from);
        },
        storeAsk: (from, asker) => {
            const state = this.deps.follower.state(asker);
            if (state) this.deps.send([from], { kind: "storeState", ...state });
        },
        storeState: (_from, state) => this.deps.follower.adoptState(state),
        lifeMet: (_from, { id, born }) => void this.deps.follower.learnIncarnation({ id, born }, "peer"),
    };
}
