/**
 * Decides when a forwarded stream that is silent counts as lost: before its first event, and afterwards if a standby holds a copy.
 *
 * @module
 */
import { errText, reportSending, TimeLimitError } from "@drumpaddle/protocol";
import { compareIncarnations, type EndpointEntry, IncarnationOrder, RouteKind } from "@drumpaddle/routes";
import { callEndpoint } from "../endpoints/call-endpoint.js";
import { probeByStatusCall } from "../endpoints/endpoint-probe.js";
import type { FirstEventCfg } from "./first-event-watch.js";
import type { ForwardCall, GatewayContext } from "./forward-call.js";
import { EndpointSign, type SilenceCfg, type StreamStop } from "./silence-watch.js";

/**
 * The endpoint of a silent stream is probed after this share of the route's maximum gap, and has {@link
 * PROBE_TIMEOUT_MS} to answer: the rest of the gap is enough to continue elsewhere in time.
 */
const PROBE_GAP_SHARE = 0.4;
/** Endpoints in the same region answer a probe within 10 ms, including the connection setup. */
const PROBE_TIMEOUT_MS = 35;
/**
 * A silent stream is stopped, to continue elsewhere, after this many times the route's maximum gap, even if its endpoint is alive. For the
 * streams that the system is designed for that is 1.1 s: the stream is late by then in any case, and callers leave
 * after two seconds or more.
 */
const LOST_GAPS = 6;
/**
 * A sound endpoint may be held up for a second or more. Until it reads that its connection was closed it goes on with the stream, which
 * must not run at two endpoints. So this share of the time after which the caller leaves is waited; the rest is enough to continue.
 */
const UNSURE_PATIENCE_SHARE = 0.6;
/** The same for routes whose callers have no known patience. */
const UNSURE_MS = 2_000;

/**
 * Returns when a stream counts as lost; undefined if no standby receives a copy of it or its route sets no maximum gap.
 *
 * @param isRelayed Whether the stream's connection goes through a peer.
 * @param stop Has the endpoint stop the stream.
 */
export function silenceCfgOf(
    deps: GatewayContext,
    { head, route: { gapMs, patienceMs } }: ForwardCall,
    endpoint: EndpointEntry,
    backUp: string | undefined,
    isRelayed: () => boolean,
    stop: () => Promise<StreamStop>,
): SilenceCfg | undefined {
    if (backUp === undefined || gapMs === undefined) return undefined;
    const awakeMs = (): number => deps.clock.awakeMs();
    return {
        probeAfterMs: gapMs * PROBE_GAP_SHARE,
        lostAfterMs: gapMs * LOST_GAPS,
        unsureAfterMs: patienceMs === undefined ? UNSURE_MS : patienceMs * UNSURE_PATIENCE_SHARE,
        awakeMs,
        probe: () => probeIncarnation(deps, endpoint, isRelayed()),
        stop,
        canContinue: () => deps.engines.canContinue(head.id),
    };
}

/** Returns how a stream is watched until its first event; undefined for other calls. */
export function firstEventCfgOf(
    deps: GatewayContext,
    { route }: ForwardCall,
    endpoint: EndpointEntry,
): FirstEventCfg | undefined {
    if (route.kind !== RouteKind.Stream) return undefined;
    return {
        probeAfterMs: route.objectiveMs,
        endpointSilentMs: () => deps.connections.silentMs(endpoint.address),
        hasEnded: () => hasIncarnationEnded(deps, endpoint),
    };
}

/** Probes whether an incarnation has certainly ended; it is reported to the hall if a later one answers. */
async function hasIncarnationEnded(deps: GatewayContext, endpoint: EndpointEntry): Promise<boolean> {
    const { incarnation, address } = endpoint;
    if (!deps.engines.admitsControlCall(incarnation)) return false;
    const sign = await probeByStatusCall(deps.wire, address, endpoint, deps.signal, deps.dispatchers.usual);
    const hasEnded = sign.kind === "laterLife" || sign.kind === "refused";
    // Under load many streams wait for their first event, each of them asking: only what ends one is worth a line.
    deps.log[hasEnded ? "info" : "debug"]({ endpoint: incarnation, sign: sign.kind }, "endpoint_without_events");
    if (sign.kind === "laterLife") deps.learnIncarnation(sign.life);
    return hasEnded;
}

/**
 * Probes the incarnation of an endpoint on a new connection: only that shows whether the endpoint's machine is reached now. An endpoint
 * that does not answer gets no new work for a while. A later incarnation that answers at the address does not have the streams of the
 * earlier one.
 */
async function probeIncarnation(
    deps: GatewayContext,
    endpoint: EndpointEntry,
    isRelayed: boolean,
): Promise<EndpointSign> {
    const { id, address, incarnation } = endpoint;
    if (!deps.engines.admitsControlCall(incarnation)) return EndpointSign.Unsure;
    let isConnected = false;
    const { direct, relayed } = deps.dispatchers;
    const dispatcher = reportSending(isRelayed ? relayed : direct, () => isConnected = true);
    try {
        const call = deps.wire.leavingCall();
        const { status, body } = await callEndpoint(address, call, PROBE_TIMEOUT_MS, deps.signal, dispatcher);
        const stay = deps.wire.decodeLeavingAnswer(status, body);
        const answered = { id, born: stay.kind === "told" ? stay.born : undefined };
        if (compareIncarnations(answered, endpoint) !== IncarnationOrder.Later) return EndpointSign.Serves;
        deps.learnIncarnation(answered);
        return EndpointSign.Gone;
    }
    catch (err) {
        const sign = signOfFailure(err, isConnected, isRelayed);
        deps.log.info({ endpoint: incarnation, sign, detail: errText(err) }, "endpoint_gives_no_sign");
        const { breaker } = deps.engines.view.endpoints.get(incarnation) ?? {};
        // Many streams of an endpoint fall silent together, which is one failure.
        if (!breaker || breaker.openUntil <= deps.clock.now()) deps.engines.unreachable(incarnation);
        return sign;
    }
}

function signOfFailure(err: unknown, isConnected: boolean, isRelayed: boolean): EndpointSign {
    // An endpoint that has closed the connection has noticed it.
    if (isConnected) return err instanceof TimeLimitError ? EndpointSign.Unsure : EndpointSign.Serves;
    // A failed relay says nothing about the endpoint: the peers may be full, stopping or cut off.
    return isRelayed ? EndpointSign.Unsure : EndpointSign.Gone;
}
