/**
 * Copies running generations away from endpoints that are leaving, so that they can go on elsewhere when their endpoint
 * ends. The generation goes on at its endpoint meanwhile; what ends in time needs no copy, and its copy is given up.
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
import { callEndpoint } from "../endpoints/call-endpoint.js";
import type { CopyAction, Placement } from "../endpoints/placement.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";

/** A copy of a running generation. */
export interface Copy {
    /** Endpoint that holds it and may go on with it. */
    readonly standby: EndpointEntry;
    /** Endpoint that made it. */
    readonly source: EndpointEntry;
    /** Its name at the source. */
    readonly name: string;
}

/** A running call whose generation may be copied. */
export interface Copied {
    onCopied(copy: Copy): void;
}

/** What copies need of the gateway. */
export interface CopiesDeps {
    readonly clock: Clock;
    readonly engines: Placement;
    readonly wire: PlatformWire;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
    endpoint(incarnation: string): EndpointEntry | undefined;
}

/** Copies of one endpoint's generations go over its link one after another: the last of a dozen takes some seconds. */
const COPY_TIMEOUT_MS = 5_000;
/** A copy is brought up to date this often, so that little is left to read and it does not lapse. */
const REFRESH_MS = 800;
/** A copy that could not be made is tried again after this, elsewhere if room is there: notices leave two seconds or so. */
const TRY_AGAIN_MS = 250;
/** Time for an endpoint to take back a copy. */
const DROP_TIMEOUT_MS = 1_000;

/** The copies that one host has made. */
export class Copies {
    private readonly calls = new Map<string, Copied>();
    private readonly made = new Map<string, Copy>();
    private readonly busy = new Set<string>();

    constructor(private readonly deps: CopiesDeps) {
        // That an endpoint cannot be reached, and that it can be again, is told by no event.
        repeat(() => this.evacuate(), () => TRY_AGAIN_MS, deps.signal);
    }

    /** A call began to run. */
    add(call: string, copied: Copied): void {
        this.calls.set(call, copied);
    }

    /** A call ended or goes on from its copy: a copy that nobody used is given up. */
    end(call: string, used: boolean): void {
        const copy = this.made.get(call);
        this.made.delete(call);
        if (!used) this.calls.delete(call);
        if (copy && !used) void this.drop(copy);
    }

    /** Copies what runs on leaving endpoints and has no copy at one that stays and can be reached. */
    evacuate(): void {
        for (const job of jobsToEvacuate(this.deps.engines.view, this.deps.clock.now())) {
            if (this.calls.has(job) && !this.busy.has(job)) void this.copyAway(job);
        }
    }

    private async copyAway(job: string): Promise<void> {
        this.busy.add(job);
        const plan = await this.deps.engines.planEvacuation(job);
        const source = plan && this.deps.endpoint(plan.from);
        const standby = plan && this.deps.endpoint(plan.to);
        if (plan && source && standby) await this.keepCopied(plan, source, standby);
        else this.deps.log.info({ req: job, planned: plan !== undefined }, "generation_not_copied");
        await pause(TRY_AGAIN_MS);
        this.busy.delete(job);
        if (this.calls.has(job) && !this.deps.signal.aborted) this.evacuate();
    }

    /** Makes the copy, and again and again while the generation still runs at its source. */
    private async keepCopied({ job }: CopyAction, source: EndpointEntry, standby: EndpointEntry): Promise<void> {
        const { engines, wire, log, metrics } = this.deps;
        const call = wire.copyCall(job, standby.address);
        while (this.calls.has(job) && engines.view.endpoints.get(source.incarnation)?.streams.has(job)) {
            if (!keepsCopy(engines.view, job, standby.incarnation, this.deps.clock.now())) return this.giveUp(job);
            const began = this.deps.clock.now();
            const answer = await this.order(source, call);
            const ms = Math.round(this.deps.clock.now() - began);
            metrics.countCopy(answer.kind);
            const from = source.incarnation;
            const to = standby.incarnation;
            if (answer.kind === "notMade") {
                log.info({ req: job, from, to, ms, detail: answer.detail }, "generation_not_copied");
                if (!this.made.has(job)) engines.copyLost(job);
                return;
            }
            log.info({ req: job, from, to, ms, copy: answer.copy }, "generation_copied");
            const copy = { standby, source, name: answer.copy };
            const target = this.calls.get(job);
            if (!target) return void this.drop(copy);
            this.made.set(job, copy);
            target.onCopied(copy);
            await pause(REFRESH_MS);
        }
    }

    /** Takes back a copy whose standby is no longer the one to go on with it. */
    private giveUp(job: string): void {
        const copy = this.made.get(job);
        this.made.delete(job);
        if (copy) void this.drop(copy);
    }

    private async order({ address, incarnation }: EndpointEntry, call: EndpointCall): Promise<CopyAnswer> {
        try {
            const { status, body } = await callEndpoint(address, call, COPY_TIMEOUT_MS, this.deps.signal);
            return this.deps.wire.readCopy(status, body);
        }
        catch (err) {
            // Its streams end by themselves: nothing more is planned from it or to it.
            if (neverSent(err)) this.deps.engines.unreachable(incarnation);
            return { kind: "notMade", detail: errText(err) };
        }
    }

    private async drop({ source, name }: Copy): Promise<void> {
        // A later life of the source may have given the name to another copy.
        if (!this.deps.endpoint(source.incarnation)) return;
        try {
            const { signal, wire } = this.deps;
            await callEndpoint(source.address, wire.dropCopyCall(name), DROP_TIMEOUT_MS, signal);
        }
        catch (err) {
            // The copy lapses by itself a few seconds later.
            this.deps.log.debug({ copy: name, endpoint: source.incarnation, detail: errText(err) }, "copy_not_dropped");
        }
    }
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
