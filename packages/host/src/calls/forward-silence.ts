/**
 * Decides when a forwarded stream that is silent counts as lost: before its first event, and afterwards if a standby holds a copy.
 *
 * @module
 */
import { errText } from "@drumpaddle/protocol";
import { compareIncarnations, type EndpointEntry, IncarnationOrder, RouteKind } from "@drumpaddle/routes";
import { callEndpoint } from "../endpoints/call-endpoint.js";
import { probeByStatusCall } from "../endpoints/endpoint-probe.js";
import type { FirstEventCfg } from "./first-event-watch.js";
import type { ForwardCall, GatewayContext } from "./forward-call.js";
import type { SilenceCfg } from "./silence-watch.js";

/**
 * The endpoint of a silent stream is probed after this share of the route's maximum gap, and has {@link
 * PROBE_TIMEOUT_MS} to answer: the rest of the gap is enough to continue elsewhere in time.
 */
const PROBE_GAP_SHARE = 0.4;
/** Endpoints in the same region answer a probe within 10 ms, including the connection setup. */
const PROBE_TIMEOUT_MS = 35;
/**
 * A silent stream counts as lost after this many times the route's maximum gap, even if its endpoint is alive. For the
 * streams that the system is designed for that is 1.1 s: the stream is late by then in any case, and callers leave
 * after two seconds or more.
 */
const LOST_GAPS = 6;

/**
 * Returns when a stream counts as lost; undefined if no standby receives a copy of it or its route sets no maximum gap.
 */
export function silenceCfgOf(
    deps: GatewayContext,
    { head, route: { gapMs } }: ForwardCall,
    endpoint: EndpointEntry,
    backUp: string | undefined,
): SilenceCfg | undefined {
    if (backUp === undefined || gapMs === undefined) return undefined;
    const awakeMs = (): number => deps.clock.awakeMs();
    return {
        probeAfterMs: gapMs * PROBE_GAP_SHARE,
        lostAfterMs: gapMs * LOST_GAPS,
        awakeMs,
        isAlive: () => probeIncarnation(deps, endpoint),
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
 * Probes whether the incarnation of an endpoint is still alive. An endpoint that does not answer gets no new work for a
 * while. A later incarnation that answers at the address does not have the streams of the earlier one.
 */
async function probeIncarnation(deps: GatewayContext, endpoint: EndpointEntry): Promise<boolean> {
    const { id, address, incarnation } = endpoint;
    // An endpoint that limits its requests may not be probed: it is slow rather than gone.
    if (!deps.engines.admitsControlCall(incarnation)) return true;
    try {
        const call = deps.wire.leavingCall();
        const { status, body } = await callEndpoint(
            address,
            call,
            PROBE_TIMEOUT_MS,
            deps.signal,
            deps.dispatchers.usual,
        );
        const stay = deps.wire.decodeLeavingAnswer(status, body);
        const answered = { id, born: stay.kind === "told" ? stay.born : undefined };
        if (compareIncarnations(answered, endpoint) !== IncarnationOrder.Later) return true;
        deps.learnIncarnation(answered);
        return false;
    }
    catch (err) {
        deps.log.info({ endpoint: incarnation, detail: errText(err) }, "endpoint_gives_no_sign");
        deps.engines.unreachable(incarnation);
        return false;
    }
}
