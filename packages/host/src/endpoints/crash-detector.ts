/**
 * Finds out whether an endpoint crashed when calls to it were interrupted. A network partition or a reset connection interrupts
 * calls too, without harm to the endpoint.
 *
 * The host probes the endpoint as soon as a call there is interrupted. A refused connection or a later incarnation shows that the
 * incarnation that ran the call has ended; any other answer shows that it is alive. If the probe gets no answer, the registry
 * decides within the next seconds. An endpoint that was leaving ends as planned, which says nothing about the requests it ran.
 *
 * @module
 */
import type { Clock } from "@drumpaddle/protocol";
import { compareIncarnations, type IncarnationId, IncarnationOrder, type Registry } from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { ProbeResult } from "./endpoint-probe.js";

/** One incarnation of an endpoint: one run of its process. */
export interface EndpointIncarnation extends IncarnationId {
    /** Unique name of the incarnation; the endpoint's id alone if endpoints do not report their incarnations. */
    readonly incarnation: string;
    /** `ip:port`, or the endpoint's URL if endpoints do not report their incarnations. */
    readonly address: string;
    /** Version of its software; undefined if the endpoint does not report one. */
    readonly software: string | undefined;
}

/** A run of a request at an endpoint that was interrupted before its answer was complete. */
export interface InterruptedRun {
    readonly req: string;
    readonly route: string;
    readonly workspace: string | undefined;
    readonly fingerprint: string;
    /** Names of its parts that other requests may share: of the prompt, and the body. */
    readonly parts: readonly string[];
    /** How long it had been running there, in milliseconds. */
    readonly ranMs: number;
    /** Whether its answer had begun: the endpoint had survived the parts of its prompt. */
    readonly wasAnswering: boolean;
    /** The request and those of its parts that were already suspected of crashing endpoints when this run began. */
    readonly suspects: ReadonlySet<string>;
}

/** What showed that an incarnation has ended: a refused connection, a later incarnation, or its removal from the registry. */
export type CrashEvidence = "refused" | "laterLife" | "gone";

/** The crash of an endpoint while it ran calls of this host. */
export interface EndpointCrash {
    readonly endpoint: EndpointIncarnation;
    /** When the first call was interrupted, on the monotonic clock; the crash counts from then, whenever it is confirmed. */
    readonly at: number;
    readonly runs: readonly InterruptedRun[];
    readonly sign: CrashEvidence;
}

/** Dependencies of {@link CrashDetector}. */
export interface CrashDetectorDeps {
    readonly clock: Clock;
    readonly log: Log;
    /** Asks an endpoint whether this incarnation is still alive. */
    probe(endpoint: EndpointIncarnation): Promise<ProbeResult>;
    /** Whether the endpoint is known to be leaving, or to have left. */
    isLeaving(incarnation: string): boolean;
    /** Whether an endpoint that was not leaving is known to have started a later incarnation. */
    isOver(incarnation: string): boolean;
    /** Whether this host gets no changes of the registry at present, neither from the store nor from a peer. */
    isRegistryStale(): boolean;
    onCrash(ending: EndpointCrash): void;
    /** The endpoint is alive, or it cannot be probed; in the latter case a crash may still be reported later. */
    onNoCrash(runs: readonly InterruptedRun[]): void;
    /** A probe was answered by this later incarnation. */
    learnIncarnation(incarnation: IncarnationId): void;
}

/**
 * How long an endpoint that cannot be probed may take to leave the registry. A crashed endpoint's registration lapses after three
 * missed heartbeats, which was seen to take 2.8 s.
 */
const REGISTRY_WAIT_MS = 10_000;
/** Calls that ran at an endpoint when it crashed are interrupted within this time: by then silent connections time out. */
const SAME_CRASH_MS = 5_000;

/** An endpoint whose calls were interrupted, until it is known whether it crashed. */
interface Investigation {
    readonly endpoint: EndpointIncarnation;
    readonly at: number;
    readonly runs: InterruptedRun[];
    /** Whether the endpoint did not answer the probe, so that only the registry can show a crash. */
    awaitsRegistry: boolean;
}

/** Detects crashes of the endpoints at which calls of this host run. */
export class CrashDetector {
    private readonly pending = new Map<string, Investigation>();
    /** Recent crashes, by incarnation. */
    private readonly crashes = new Map<string, { readonly at: number; readonly sign: CrashEvidence }>();

    constructor(private readonly deps: CrashDetectorDeps) {}

    /**
     * Investigates an interrupted call. {@link CrashDetectorDeps.onCrash} or {@link CrashDetectorDeps.onNoCrash} receives the finding,
     * at once or later.
     */
    investigate(endpoint: EndpointIncarnation, run: InterruptedRun): void {
        const { incarnation } = endpoint;
        const now = this.deps.clock.now();
        if (this.deps.isOver(incarnation)) {
            return this.deps.onCrash({ endpoint, at: now, runs: [run], sign: "laterLife" });
        }
        if (this.deps.isLeaving(incarnation)) return this.deps.onNoCrash([run]);
        const known = this.crashes.get(incarnation);
        if (known && now - run.ranMs < known.at) {
            return this.deps.onCrash({ endpoint, at: known.at, runs: [run], sign: known.sign });
        }
        const pending = this.pending.get(incarnation);
        if (pending) {
            pending.runs.push(run);
            if (pending.awaitsRegistry) this.deps.onNoCrash([run]);
            return;
        }
        this.pending.set(incarnation, { endpoint, at: now, runs: [run], awaitsRegistry: false });
        void this.probeEndpoint(endpoint);
    }

    /** Checks the endpoints under investigation against a new state of the registry. */
    applyRegistry({ endpoints, departed, latest }: Registry): void {
        for (const { endpoint } of [...this.pending.values()]) {
            const { incarnation, id } = endpoint;
            const known = latest.get(id);
            if (known && compareIncarnations(known, endpoint) === IncarnationOrder.Later) {
                this.confirmCrash(incarnation, "laterLife");
            }
            else if (!endpoints.has(incarnation) && departed.has(incarnation) && !this.deps.isRegistryStale()) {
                this.confirmCrash(incarnation, "gone");
            }
        }
    }

    private async probeEndpoint(endpoint: EndpointIncarnation): Promise<void> {
        const { incarnation } = endpoint;
        const sign = await this.deps.probe(endpoint);
        if (sign.kind === "lives") return this.dismiss(incarnation);
        if (sign.kind === "unknown") {
            this.deps.log.debug({ endpoint: incarnation, detail: sign.detail }, "endpoint_end_unknown");
            return this.waitForRegistry(incarnation);
        }
        if (sign.kind === "laterLife") this.deps.learnIncarnation(sign.life);
        this.confirmCrash(incarnation, sign.kind);
    }

    private waitForRegistry(incarnation: string): void {
        const pending = this.pending.get(incarnation);
        if (!pending) return;
        pending.awaitsRegistry = true;
        this.deps.onNoCrash([...pending.runs]);
        setTimeout(() => this.pending.delete(incarnation), REGISTRY_WAIT_MS).unref();
    }

    private confirmCrash(incarnation: string, sign: CrashEvidence): void {
        const pending = this.pending.get(incarnation);
        if (!pending) return;
        this.pending.delete(incarnation);
        this.forgetOldCrashes();
        this.crashes.set(incarnation, { at: pending.at, sign });
        this.deps.onCrash({ ...pending, sign });
    }

    private dismiss(incarnation: string): void {
        const pending = this.pending.get(incarnation);
        if (!pending) return;
        this.pending.delete(incarnation);
        this.deps.onNoCrash(pending.runs);
    }

    private forgetOldCrashes(): void {
        const now = this.deps.clock.now();
        for (const [incarnation, { at }] of this.crashes) {
            if (now - at >= SAME_CRASH_MS) this.crashes.delete(incarnation);
        }
    }
}
