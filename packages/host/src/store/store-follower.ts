/**
 * How the hosts of a hall share what a few of them hear of the store: the shell around the decisions of `following` in the
 * package `hall`.
 *
 * @module
 */
import {
    createFollowing,
    type Following,
    type FollowPlan,
    hearProgress,
    hearWatcher,
    planFollowing,
    type StoreHeard,
    type StoreProgress,
    type WatchReason,
    type Weights,
    WORD_EVERY_MS,
} from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import type { Life } from "@drumpaddle/routes";
import { repeat } from "../runtime/repeat.js";
import type { StorePeerMessage, StoreStamp, StoreState, StoreWord } from "./store-words.js";

/** A host's own part in hearing of the store. */
export interface StoreFollower {
    /** Whether the store answers this host, and as of when it is known to have answered one that it follows. */
    heard(): Omit<StoreHeard, "seeking">;
    /** Whether it knows enough to serve. */
    isReady(): boolean;
    /** Undefined before anything was learnt. */
    word(): StoreWord | undefined;
    /** Undefined: it follows others. */
    setWatching(reason: WatchReason | undefined): void;
    /** Calls back with what this host learns from the store itself. */
    onChanges(listener: (word: StoreWord) => void): void;
    /** Calls back when the store begins or ceases to answer this host. */
    onAnswer(listener: () => void): void;
    /** Takes in a watcher's word; true if changes before it are missing here. */
    hear(word: StoreWord): boolean;
    /** A peer knows that the store answered at this time. */
    hearOf(freshAt: number): void;
    /** How far it is with what the store tells. */
    progress(): StoreProgress;
    /** All that it knows, the deployment only if it is newer than the asker's; undefined where the asker lacks nothing. */
    state(asker: StoreProgress): StoreState | undefined;
    take(state: StoreState): void;
    /** Takes in that an endpoint has begun a later life; returns whether it was news. */
    meetLife(life: Life, source: "endpoint" | "peer"): boolean;
}

/** What sharing needs of the peers. */
export interface StoreSharingDeps {
    readonly name: string;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    readonly follower: StoreFollower;
    /** Live hosts of this hall, itself included. */
    inHall(): readonly string[];
    /** By which hosts are ranked. */
    weights(): Weights;
    /** Whether hosts are looked for that were not heard of yet. */
    seeking(): boolean;
    /** Live hosts of the scope, itself included. */
    live(): readonly string[];
    send(names: readonly string[], message: StorePeerMessage): void;
}

/** This host's part in sharing what is heard of the store. */
export class StoreSharing {
    private following: Following;
    /** Turns the choice of whom a host asks that the store does not answer. */
    private askTurn = 0;

    constructor(private readonly deps: StoreSharingDeps) {
        this.following = createFollowing(deps.name, deps.clock.now());
        const { follower, signal } = deps;
        follower.onChanges(word => this.relay(word));
        follower.onAnswer(() => this.plan());
        repeat(() => this.plan(), () => WORD_EVERY_MS, signal);
    }

    /** Sees whether this host watches the store, says so, and asks a peer where it is not answered. */
    private plan(): void {
        const { follower } = this.deps;
        const { hears } = follower.heard();
        const { reason, says } = this.look();
        follower.setWatching(reason);
        const word = follower.word();
        if (says && word) this.tellHall(word);
        if (hears === false || !follower.isReady()) this.askNext();
    }

    private look(): FollowPlan {
        const { deps } = this;
        const heard = { ...deps.follower.heard(), seeking: deps.seeking() };
        const plan = planFollowing(this.following, deps.inHall(), heard, deps.clock.now(), deps.weights());
        this.following = plan.state;
        return plan;
    }

    /** Passes on what this host learnt from the store: the first of a hall's watchers does, the second stands by. */
    private relay(word: StoreWord): void {
        const { reason } = this.look();
        if (reason === "first") this.tellHall(word);
    }

    private tellHall(word: StoreWord): void {
        this.deps.send(this.deps.inHall().filter(name => name !== this.deps.name), { kind: "storeWord", ...word });
    }

    /** Takes in which life of an endpoint has answered this host; the hall is told of one that was not known. */
    meetLife({ id, born }: Life): void {
        const { deps } = this;
        if (born === undefined || !deps.follower.meetLife({ id, born }, "endpoint")) return;
        deps.send(deps.inHall().filter(name => name !== deps.name), { kind: "lifeMet", id, born });
    }

    private askNext(): void {
        const others = this.deps.live().filter(name => name !== this.deps.name);
        this.askTurn += 1;
        const name = others[this.askTurn % Math.max(1, others.length)];
        if (name !== undefined) this.ask(name);
    }

    private ask(name: string): void {
        const { follower } = this.deps;
        this.deps.send([name], { kind: "storeAsk", ...follower.progress() });
    }

    /** What probes say of how far this host is. */
    stamp(): StoreStamp | undefined {
        const { follower } = this.deps;
        const { freshAt } = follower.heard();
        if (freshAt === -Infinity) return undefined;
        const { epoch, revision, version } = follower.progress();
        return [epoch, revision, version, Math.round(this.deps.clock.now() - freshAt)];
    }

    /** Takes in how far a peer is; who stays behind for a while asks it. */
    hearStamp(from: string, [epoch, revision, version, ageMs]: StoreStamp): void {
        const { follower } = this.deps;
        const now = this.deps.clock.now();
        follower.hearOf(now - ageMs);
        const { state, asks } = hearProgress(this.following, { epoch, revision, version }, follower.progress(), now);
        this.following = state;
        if (asks) this.ask(from);
    }

    /** Takes in a message of a peer. */
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
        storeWord: (from, word) => {
            this.following = hearWatcher(this.following, from, word.hears, this.deps.clock.now());
            if (this.deps.follower.hear(word)) this.ask(from);
        },
        storeAsk: (from, asker) => {
            const state = this.deps.follower.state(asker);
            if (state) this.deps.send([from], { kind: "storeState", ...state });
        },
        storeState: (_from, state) => this.deps.follower.take(state),
        lifeMet: (_from, { id, born }) => void this.deps.follower.meetLife({ id, born }, "peer"),
    };
}
