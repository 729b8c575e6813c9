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
import type { LifeSign } from "./endpoint-probe.js";

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
export interface InterruptedRun {
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
export type CrashEvidence = "refused" | "laterLife" | "gone";

/** The end of a life under calls of this host. */
export interface EndpointCrash {
    readonly endpoint: WatchedEndpoint;
    /** When the calls broke off, on the monotonic clock: an end that is found out later counts from then. */
    readonly at: number;
    readonly runs: readonly InterruptedRun[];
    readonly sign: CrashEvidence;
}

/** What the watch needs of the gateway. */
export interface CrashDetectorDeps {
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
    onEnded(ending: EndpointCrash): void;
    /** The endpoint lives on, or it cannot be asked; in the latter case its end may be found out later. */
    onNotEnded(runs: readonly InterruptedRun[]): void;
    meetLife(life: Life): void;
}

/** A crashed endpoint's registration lapses after three heartbeats, seen after 2.8 s; one that has not by then is not over. */
const REGISTRY_WAIT_MS = 10_000;
/** Calls that were running at a life's end break off within this: a silent connection is given up by then. */
const SAME_CRASH_MS = 5_000;

interface Investigation {
    readonly endpoint: WatchedEndpoint;
    readonly at: number;
    readonly runs: InterruptedRun[];
    /** Whether it cannot be asked, so that only the registry can tell. */
    awaitsRegistry: boolean;
}

/** The endings that one host sees. */
export class EndingWatch {
    private readonly pending = new Map<string, Investigation>();
    /** When lives ended, by name. */
    private readonly crashes = new Map<string, { readonly at: number; readonly sign: CrashEvidence }>();

    constructor(private readonly deps: CrashDetectorDeps) {}

    /** A call broke off; what it is due to is told by one of the listeners, at once or later. */
    broke(endpoint: WatchedEndpoint, run: InterruptedRun): void {
        const { incarnation } = endpoint;
        const now = this.deps.clock.now();
        if (this.deps.isOver(incarnation)) {
            return this.deps.onEnded({ endpoint, at: now, runs: [run], sign: "laterLife" });
        }
        if (this.deps.isLeaving(incarnation)) return this.deps.onNotEnded([run]);
        const known = this.crashes.get(incarnation);
        if (known && now - run.ranMs < known.at) {
            return this.deps.onEnded({ endpoint, at: known.at, runs: [run], sign: known.sign });
        }
        const pending = this.pending.get(incarnation);
        if (pending) {
            pending.runs.push(run);
            if (pending.awaitsRegistry) this.deps.onNotEnded([run]);
            return;
        }
        this.pending.set(incarnation, { endpoint, at: now, runs: [run], awaitsRegistry: false });
        void this.probeEndpoint(endpoint);
    }

    /** Takes in what the registry tells of endpoints. */
    take({ endpoints, departed, latest }: Registry): void {
        for (const { endpoint } of [...this.pending.values()]) {
            const { incarnation, id } = endpoint;
            const known = latest.get(id);
            if (known && compareLives(known, endpoint) === LifeOrder.Later) this.confirmCrash(incarnation, "laterLife");
            else if (!endpoints.has(incarnation) && departed.has(incarnation) && !this.deps.isDeaf()) {
                this.confirmCrash(incarnation, "gone");
            }
        }
    }

    private async probeEndpoint(endpoint: WatchedEndpoint): Promise<void> {
        const { incarnation } = endpoint;
        const sign = await this.deps.probe(endpoint);
        if (sign.kind === "lives") return this.dismiss(incarnation);
        if (sign.kind === "unknown") {
            this.deps.log.debug({ endpoint: incarnation, detail: sign.detail }, "endpoint_end_unknown");
            return this.waitForRegistry(incarnation);
        }
        if (sign.kind === "laterLife") this.deps.meetLife(sign.life);
        this.confirmCrash(incarnation, sign.kind);
    }

    private waitForRegistry(incarnation: string): void {
        const pending = this.pending.get(incarnation);
        if (!pending) return;
        pending.awaitsRegistry = true;
        this.deps.onNotEnded([...pending.runs]);
        setTimeout(() => this.pending.delete(incarnation), REGISTRY_WAIT_MS).unref();
    }

    private confirmCrash(incarnation: string, sign: CrashEvidence): void {
        const pending = this.pending.get(incarnation);
        if (!pending) return;
        this.pending.delete(incarnation);
        this.forgetOldCrashes();
        this.crashes.set(incarnation, { at: pending.at, sign });
        this.deps.onEnded({ ...pending, sign });
    }

    private dismiss(incarnation: string): void {
        const pending = this.pending.get(incarnation);
        if (!pending) return;
        this.pending.delete(incarnation);
        this.deps.onNotEnded(pending.runs);
    }

    private forgetOldCrashes(): void {
        const now = this.deps.clock.now();
        for (const [incarnation, { at }] of this.crashes) {
            if (now - at >= SAME_CRASH_MS) this.crashes.delete(incarnation);
        }
    }
}
