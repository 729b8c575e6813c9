/**
 * Sees to it that a forwarded generation runs at one endpoint only: its earlier run is told to stop before another one starts.
 *
 * @module
 */
import type { EndpointEntry } from "@drumpaddle/routes";
import { type CallProgress, knownStandby } from "./call-progress.js";
import type { ForwardCall, GatewayContext } from "./forward-call.js";
import type { StopOrder, StopResult } from "./generation-stops.js";
import type { AttemptPlan } from "./request-driver.js";
import { StreamStop } from "./silence-watch.js";

/** Most endpoints whose connections break off have ended, which shows within a round trip. The rest of the gap is needed to continue. */
const HEAD_START_MS = 50;

const STREAM_STOPS: { readonly [K in StopResult["kind"]]: StreamStop } = {
    stopped: StreamStop.Stopped,
    notRunning: StreamStop.NotStopped,
    notStopped: StreamStop.NotStopped,
    noAnswer: StreamStop.Unknown,
};

/** Has the endpoint of a silent stream stop it. The stream's connection stays open until it has. */
export async function stopSilentStream(
    deps: GatewayContext,
    { head, engine }: ForwardCall,
    progress: CallProgress,
    source: EndpointEntry,
): Promise<StreamStop> {
    const standby = progress.copy?.standby ?? progress.standby;
    if (!engine?.canMove || !standby) return StreamStop.NotStopped;
    const order = { call: head.id, source, standby };
    const result = await deps.stops.order(order);
    takeCopy(deps, progress, order, result);
    return STREAM_STOPS[result.kind];
}

/**
 * Has the endpoint of an attempt whose connection was lost stop the generation, which is about to start at another one. Returns what
 * the start waits for; undefined if it need not.
 */
export function stopEarlierRun(
    deps: GatewayContext,
    { head, engine }: ForwardCall,
    progress: CallProgress,
    { endpoint: next, continueAt }: AttemptPlan,
): Promise<void> | undefined {
    const { endpoint: source, lostBy, isStopped } = progress;
    const standby = knownStandby(progress, next) ?? deps.endpoint(next);
    if (!engine?.canMove || !source || !standby || lostBy === undefined || isStopped) return undefined;
    if (deps.incarnationSignals.signalOf(source.incarnation).aborted) return undefined;
    const order = { call: head.id, source, standby };
    const isAwaited = deps.stops.isPending(order);
    const stopping = deps.stops.insist(order, progress.deadline).then(result => {
        if (continueAt !== undefined) takeCopy(deps, progress, order, result);
        else if (result.kind === "stopped") deps.copies.drop({ ...order, name: result.copy });
    });
    if (isAwaited) return stopping;
    // An endpoint that is not reached can't answer in time.
    return lostBy === "idle" ? undefined : Promise.race([stopping, pause(HEAD_START_MS)]);
}

/** Keeps the copy of a generation that has stopped if it can go on from there; another copy may be used already. */
function takeCopy(deps: GatewayContext, progress: CallProgress, order: StopOrder, result: StopResult): void {
    if (result.kind !== "stopped") return;
    const copy = { ...order, name: result.copy };
    const isCurrent = progress.endpoint?.incarnation === order.source.incarnation;
    if (isCurrent && !progress.isStopped && result.isCopied) deps.copies.adopt(order.call, copy);
    else if (!progress.isStopped) deps.copies.drop(copy);
    if (isCurrent) progress.isStopped = true;
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
