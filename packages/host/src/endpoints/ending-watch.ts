/**
 * Finds out whether an endpoint's life ended when calls there broke off: a path that was cut and a connection that was reset break
 * them too, and leave the endpoint as it is.
 *
 * An endpoint whose call broke off is asked at once. Refused connections and a later life show that the one that ran the call is over;
 * any other answer shows that it is not. Where no answer comes, what the registry tells in the next seconds decides. An endpoint that
 * was leaving ends as planned, and its end tells nothing of what ran there.
 *
 * @module
 */
import type { Clock } from "@drumpaddle/protocol";
import { compareLives, type Life, LifeOrder, type Registry } from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { LifeSign } from "./life-probe.js";

/** An endpoint as the watch knows it. */
export interface WatchedEndpoint extends Life {
    /** Name of its life among all lives; its id alone where endpoints tell nothing of their lives. */
    readonly incarnation: string;
    /** Where it is reached. */
    readonly address: string;
    /** Version of its software; undefined where it does not say. */
    readonly software: string | undefined;
}

/** A call that broke off while it ran at an endpoint. */
export interface BrokenRun {
    readonly req: string;
    readonly route: string;
    readonly workspace: string | undefined;
    readonly fingerprint: string;
    /** How long it had run there, in milliseconds. */
    readonly ranMs: number;
    /** Whether it was begun there although it was known to have been at an ending. */
    readonly wasSuspect: boolean;
}

/** How it was found out that a life is over. */
export type EndingSign = "refused" | "laterLife" | "gone";

/** The end of a life under calls of this host. */
export interface SeenEnding {
    readonly endpoint: WatchedEndpoint;
    /** When the calls broke off, on the monotonic clock: an end that is found out later counts from then. */
    readonly at: number;
    readonly runs: readonly BrokenRun[];
    readonly sign: EndingSign;
}

/** What the watch needs of the gateway. */
export interface EndingWatchDeps {
    readonly clock: Clock;
    readonly log: Log;
    /** Asks an endpoint whether its life is still there. */
    probe(endpoint: WatchedEndpoint): Promise<LifeSign>;
    /** Whether an endpoint is known to be leaving, or to have left. */
    isLeaving(incarnation: string): boolean;
    /** Whether an endpoint that was not leaving is known to have begun a later life. */
    isOver(incarnation: string): boolean;
    /** Whether the store does not tell what becomes of registrations. */
    isDeaf(): boolean;
    onEnded(ending: SeenEnding): void;
    /** The endpoint lives on, or it cannot be asked; in the latter case its end may be found out later. */
    onNotEnded(runs: readonly BrokenRun[]): void;
    meetLife(life: Life): void;
}

/** A crashed endpoint's registration lapses after three heartbeats, seen after 2.8 s; one that has not by then is not over. */
const UNKNOWN_MS = 10_000;
/** Calls that were running at a life's end break off within this: a silent connection is given up by then. */
const SAME_ENDING_MS = 5_000;

interface Pending {
    readonly endpoint: WatchedEndpoint;
    readonly at: number;
    readonly runs: BrokenRun[];
    /** Whether it cannot be asked, so that only the registry can tell. */
    isUnknown: boolean;
}

/** The endings that one host sees. */
export class EndingWatch {
    private readonly pending = new Map<string, Pending>();
    /** When lives ended, by name. */
    private readonly ended = new Map<string, { readonly at: number; readonly sign: EndingSign }>();

    constructor(private readonly deps: EndingWatchDeps) {}

    /** A call broke off; what it is due to is told by one of the listeners, at once or later. */
    broke(endpoint: WatchedEndpoint, run: BrokenRun): void {
        const { incarnation } = endpoint;
        const now = this.deps.clock.now();
        if (this.deps.isOver(incarnation)) {
            return this.deps.onEnded({ endpoint, at: now, runs: [run], sign: "laterLife" });
        }
        if (this.deps.isLeaving(incarnation)) return this.deps.onNotEnded([run]);
        const known = this.ended.get(incarnation);
        if (known && now - run.ranMs < known.at) {
            return this.deps.onEnded({ endpoint, at: known.at, runs: [run], sign: known.sign });
        }
        const pending = this.pending.get(incarnation);
        if (pending) {
            pending.runs.push(run);
            if (pending.isUnknown) this.deps.onNotEnded([run]);
            return;
        }
        this.pending.set(incarnation, { endpoint, at: now, runs: [run], isUnknown: false });
        void this.ask(endpoint);
    }

    /** Takes in what the registry tells of endpoints. */
    take({ endpoints, departed, latest }: Registry): void {
        for (const { endpoint } of [...this.pending.values()]) {
            const { incarnation, id } = endpoint;
            const known = latest.get(id);
            if (known && compareLives(known, endpoint) === LifeOrder.Later) this.end(incarnation, "laterLife");
            else if (!endpoints.has(incarnation) && departed.has(incarnation) && !this.deps.isDeaf()) {
                this.end(incarnation, "gone");
            }
        }
    }

    private async ask(endpoint: WatchedEndpoint): Promise<void> {
        const { incarnation } = endpoint;
        const sign = await this.deps.probe(endpoint);
        if (sign.kind === "lives") return this.giveUp(incarnation);
        if (sign.kind === "unknown") {
            this.deps.log.debug({ endpoint: incarnation, detail: sign.detail }, "endpoint_end_unknown");
            return this.waitForRegistry(incarnation);
        }
        if (sign.kind === "laterLife") this.deps.meetLife(sign.life);
        this.end(incarnation, sign.kind);
    }

    private waitForRegistry(incarnation: string): void {
        const pending = this.pending.get(incarnation);
        if (!pending) return;
        pending.isUnknown = true;
        this.deps.onNotEnded([...pending.runs]);
        setTimeout(() => this.pending.delete(incarnation), UNKNOWN_MS).unref();
    }

    private end(incarnation: string, sign: EndingSign): void {
        const pending = this.pending.get(incarnation);
        if (!pending) return;
        this.pending.delete(incarnation);
        this.forgetOld();
        this.ended.set(incarnation, { at: pending.at, sign });
        this.deps.onEnded({ ...pending, sign });
    }

    private giveUp(incarnation: string): void {
        const pending = this.pending.get(incarnation);
        if (!pending) return;
        this.pending.delete(incarnation);
        this.deps.onNotEnded(pending.runs);
    }

    private forgetOld(): void {
        const now = this.deps.clock.now();
        for (const [incarnation, { at }] of this.ended) {
            if (now - at >= SAME_ENDING_MS) this.ended.delete(incarnation);
        }
    }
}
