/**
 * Stops generations at endpoints before they go on elsewhere. That their connection closes is not enough: an endpoint may work
 * on, beside the one that continues.
 *
 * @module
 */
import {
    type Clock,
    type EndpointCall,
    errText,
    neverSent,
    type PlatformWire,
    type StopAnswer,
} from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { Dispatcher } from "undici";
import { callEndpoint } from "../endpoints/call-endpoint.js";
import type { Placement } from "../endpoints/placement.js";
import type { Log } from "../runtime/log.js";
import type { Copy } from "./generation-copies.js";

/** A generation that is to stop at one endpoint, as it goes on at another. */
export interface StopOrder {
    /** Id of the call. */
    readonly call: string;
    readonly source: EndpointEntry;
    readonly standby: EndpointEntry;
}

/** What an order to stop a generation has shown. */
export type StopResult = StopAnswer | { readonly kind: "noAnswer"; readonly detail: string };

/** Dependencies of {@link GenerationStops}. */
export interface GenerationStopsDeps {
    readonly clock: Pick<Clock, "now">;
    readonly engines: Pick<Placement, "admitsControlCall">;
    readonly wire: Pick<PlatformWire, "stopCall" | "decodeStopAnswer">;
    readonly log: Log;
    readonly signal: AbortSignal;
    readonly dispatcher: Dispatcher;
    /** Deletes a copy that is not needed. */
    dropCopy(copy: Copy): void;
}

/** The answer comes once the generation's state is copied, which may wait for other copies. */
const STOP_TIMEOUT_MS = 1_500;
/** Pause before an order without a clear answer is repeated; it doubles each time. */
const REPEAT_MS = 100;
const MAX_REPEAT_MS = 1_000;
const REFUSED_CODE = "ECONNREFUSED";

/** Orders endpoints to stop generations. */
export class GenerationStops {
    /** Orders that were not answered yet, by call. */
    private readonly pending = new Map<string, { readonly source: string; readonly answer: Promise<StopResult> }>();
    /** Aborts the repetition of an order, by call and incarnation. */
    private readonly repeating = new Map<string, AbortController>();

    constructor(private readonly deps: GenerationStopsDeps) {}

    /**
     * Orders an endpoint once to stop a generation. While an earlier order to it is not answered, its answer is awaited instead.
     *
     * @param before What an order to the same endpoint has shown before; only another result is logged.
     *
     * @example
     * ```ts
     * if ((await stops.order({ call: "r1", source, standby })).kind === "stopped") continueAt(standby);
     * ```
     */
    order(order: StopOrder, signal: AbortSignal = this.deps.signal, before?: StopResult): Promise<StopResult> {
        const { call, source } = order;
        const known = this.pending.get(call);
        if (known?.source === source.incarnation) return known.answer;
        const answer = this.send(order, signal, before).finally(() => {
            if (this.pending.get(call)?.answer === answer) this.pending.delete(call);
        });
        this.pending.set(call, { source: source.incarnation, answer });
        return answer;
    }

    /** Whether an order to an endpoint waits for its answer. */
    isPending({ call, source }: Pick<StopOrder, "call" | "source">): boolean {
        return this.pending.get(call)?.source === source.incarnation;
    }

    /**
     * Orders an endpoint to stop a generation whose connection is lost, until it has answered clearly or has ended. Resolves with the
     * first answer.
     *
     * @param until When the generation is over in any case, in milliseconds on the monotonic clock.
     */
    async insist(order: StopOrder, until: number): Promise<StopResult> {
        const key = keyOf(order.call, order.source.incarnation);
        const controller = new AbortController();
        this.repeating.get(key)?.abort();
        this.repeating.set(key, controller);
        const first = await this.order(order, controller.signal);
        void this.repeat(order, first, until, controller.signal).finally(() => {
            if (this.repeating.get(key) === controller) this.repeating.delete(key);
        });
        return first;
    }

    /** Ends the repetition of orders to an endpoint, as the generation is about to run there again. */
    cancel(call: string, incarnation: string): void {
        this.repeating.get(keyOf(call, incarnation))?.abort();
    }

    private async repeat(order: StopOrder, first: StopResult, until: number, signal: AbortSignal): Promise<void> {
        let answer = first;
        for (let waitMs = REPEAT_MS; !isSettled(answer); waitMs = Math.min(2 * waitMs, MAX_REPEAT_MS)) {
            await pause(waitMs);
            if (signal.aborted || this.deps.signal.aborted || this.deps.clock.now() >= until) return;
            answer = await this.order(order, signal, answer);
            // The generation goes on from another copy already.
            if (answer.kind === "stopped") this.deps.dropCopy({ ...order, name: answer.copy });
        }
    }

    private async send(
        order: StopOrder,
        signal: AbortSignal,
        before: StopResult | undefined,
    ): Promise<StopResult> {
        const { deps } = this;
        const { call, source, standby } = order;
        const startedAt = deps.clock.now();
        const answer = await this.request(source, deps.wire.stopCall(call, standby.address), signal);
        const { kind, ...facts } = answer;
        if (kind === before?.kind) return answer;
        const ms = Math.round(deps.clock.now() - startedAt);
        deps.log.info(
            { req: call, from: source.incarnation, to: standby.incarnation, answer: kind, ms, ...facts },
            "generation_stop_ordered",
        );
        return answer;
    }

    private async request(
        { address, incarnation }: EndpointEntry,
        call: EndpointCall,
        signal: AbortSignal,
    ): Promise<StopResult> {
        const { engines, dispatcher, wire } = this.deps;
        if (!engines.admitsControlCall(incarnation)) return { kind: "notStopped", detail: "it may not be asked now" };
        try {
            const { status, body } = await callEndpoint(address, call, STOP_TIMEOUT_MS, signal, dispatcher);
            return wire.decodeStopAnswer(status, body);
        }
        catch (err) {
            const hasEnded = neverSent(err) && (err as NodeJS.ErrnoException).code === REFUSED_CODE;
            return hasEnded ? { kind: "notRunning" } : { kind: "noAnswer", detail: errText(err) };
        }
    }
}

/** Whether the generation certainly no longer runs at the endpoint. */
function isSettled({ kind }: StopResult): boolean {
    return kind === "stopped" || kind === "notRunning";
}

function keyOf(call: string, incarnation: string): string {
    return `${call} ${incarnation}`;
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
