/**
 * Copies running generations from endpoints that are leaving to standby endpoints, which continue them when the source
 * ends. Meanwhile the generation keeps running at its source; if it finishes there, its copy is dropped.
 *
 * @module
 */
import { jobsToEvacuate, keepsCopy } from "@drumpaddle/policy";
import {
    type Clock,
    type CopyAnswer,
    type EndpointCall,
    errText,
    neverSent,
    type PlatformWire,
} from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { Dispatcher } from "undici";
import { callEndpoint } from "../endpoints/call-endpoint.js";
import type { CopyAction, Placement } from "../endpoints/placement.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";

/** A copy of a running generation. */
export interface Copy {
    /** The endpoint that holds the copy and can continue it. */
    readonly standby: EndpointEntry;
    /** The endpoint that made the copy. */
    readonly source: EndpointEntry;
    /** The name of the copy at its source. */
    readonly name: string;
}

/** Called for a call whose generation may be copied. */
export interface CopyListener {
    onCopied(copy: Copy): void;
}

/** Dependencies of {@link GenerationCopies}. */
export interface GenerationCopiesDeps {
    readonly clock: Clock;
    readonly engines: Placement;
    readonly wire: PlatformWire;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
    readonly dispatcher: Dispatcher;
    endpoint(incarnation: string): EndpointEntry | undefined;
}

/** Copies from one endpoint share its link one after another: the last of a dozen takes some seconds. */
const COPY_TIMEOUT_MS = 5_000;
/** How often a copy is refreshed, so that the standby has few tokens to catch up on and the copy does not expire. */
const REFRESH_MS = 800;
/**
 * Delay before a failed copy is retried, at another standby if one has room: endpoints announce their end about two
 * seconds ahead.
 */
const RETRY_MS = 250;
/** Time for an endpoint to drop a copy. */
const DROP_TIMEOUT_MS = 1_000;

/** Makes and refreshes the copies of the generations that run for one host. */
export class GenerationCopies {
    private readonly listeners = new Map<string, CopyListener>();
    private readonly copies = new Map<string, Copy>();
    private readonly copying = new Set<string>();

    constructor(private readonly deps: GenerationCopiesDeps) {
        // No event reports that an endpoint became unreachable, or reachable again.
        repeat(() => this.copyFromLeaving(), () => RETRY_MS, deps.signal);
    }

    /** Registers a call that has started to run. */
    add(call: string, listener: CopyListener): void {
        this.listeners.set(call, listener);
    }

    /** Forgets a call's copy, as the call ended or continues from it; a copy that was not used is dropped. */
    end(call: string, used: boolean): void {
        const copy = this.copies.get(call);
        this.copies.delete(call);
        if (!used) this.listeners.delete(call);
        if (copy && !used) void this.dropAtSource(copy);
    }

    /** Takes a copy that was made as its generation was stopped. */
    adopt(job: string, copy: Copy): void {
        const listener = this.listeners.get(job);
        if (!listener) return this.drop(copy);
        this.copies.set(job, copy);
        listener.onCopied(copy);
    }

    /** Has the endpoint that made a copy delete it. */
    drop(copy: Copy): void {
        void this.dropAtSource(copy);
    }

    /**
     * Starts to copy the generations that run on leaving endpoints and have no copy at a reachable endpoint that stays.
     */
    copyFromLeaving(): void {
        for (const job of jobsToEvacuate(this.deps.engines.view, this.deps.clock.now())) {
            if (this.listeners.has(job) && !this.copying.has(job)) void this.startCopying(job);
        }
    }

    private async startCopying(job: string): Promise<void> {
        this.copying.add(job);
        const plan = await this.deps.engines.planEvacuation(job);
        const source = plan && this.deps.endpoint(plan.from);
        const standby = plan && this.deps.endpoint(plan.to);
        if (plan && source && standby) await this.keepCopyFresh(plan, source, standby);
        else this.deps.log.info({ req: job, planned: plan !== undefined }, "generation_not_copied");
        await pause(RETRY_MS);
        this.copying.delete(job);
        if (this.listeners.has(job) && !this.deps.signal.aborted) this.copyFromLeaving();
    }

    /** Makes the copy, and refreshes it while the generation runs at its source. */
    private async keepCopyFresh({ job }: CopyAction, source: EndpointEntry, standby: EndpointEntry): Promise<void> {
        const { engines, wire, log, metrics } = this.deps;
        const call = wire.copyCall(job, standby.address);
        while (this.listeners.has(job) && engines.view.endpoints.get(source.incarnation)?.streams.has(job)) {
            if (!keepsCopy(engines.view, job, standby.incarnation, this.deps.clock.now())) return this.discard(job);
            const startedAt = this.deps.clock.now();
            const answer = await this.requestCopy(source, call);
            const ms = Math.round(this.deps.clock.now() - startedAt);
            metrics.countCopy(answer.kind);
            const from = source.incarnation;
            const to = standby.incarnation;
            if (answer.kind === "notMade") {
                log.info({ req: job, from, to, ms, detail: answer.detail }, "generation_not_copied");
                if (!this.copies.has(job)) engines.copyFailed(job);
                return;
            }
            log.info({ req: job, from, to, ms, copy: answer.copy }, "generation_copied");
            const copy = { standby, source, name: answer.copy };
            this.adopt(job, copy);
            await pause(REFRESH_MS);
        }
    }

    /** Drops a copy whose standby is no longer to continue the generation. */
    private discard(job: string): void {
        const copy = this.copies.get(job);
        this.copies.delete(job);
        if (copy) void this.dropAtSource(copy);
    }

    private async requestCopy({ address, incarnation }: EndpointEntry, call: EndpointCall): Promise<CopyAnswer> {
        try {
            const { signal, dispatcher } = this.deps;
            const { status, body } = await callEndpoint(address, call, COPY_TIMEOUT_MS, signal, dispatcher);
            return this.deps.wire.decodeCopyAnswer(status, body);
        }
        catch (err) {
            // Nothing more is scheduled to or copied from this endpoint; its streams end on their own.
            if (neverSent(err)) this.deps.engines.unreachable(incarnation);
            return { kind: "notMade", detail: errText(err) };
        }
    }

    private async dropAtSource({ source, name }: Copy): Promise<void> {
        // A later incarnation of the source may use the name for another copy.
        if (!this.deps.endpoint(source.incarnation)) return;
        try {
            const { signal, wire, dispatcher } = this.deps;
            await callEndpoint(source.address, wire.dropCopyCall(name), DROP_TIMEOUT_MS, signal, dispatcher);
        }
        catch (err) {
            // The copy expires by itself a few seconds later.
            this.deps.log.debug({ copy: name, endpoint: source.incarnation, detail: errText(err) }, "copy_not_dropped");
        }
    }
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
