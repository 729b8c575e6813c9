/**
 * How a forwarded stream that falls silent is taken for lost, where a copy of it is kept elsewhere.
 *
 * @module
 */
import { errText } from "@drumpaddle/protocol";
import { compareLives, type EndpointEntry, LifeOrder } from "@drumpaddle/routes";
import { callEndpoint } from "../endpoints/call-endpoint.js";
import type { ForwardCall, Forwarding } from "./forward-call.js";
import type { SilenceCfg } from "./silence-watch.js";

/**
 * The endpoint of a stream with a copy elsewhere is asked for a sign of life after a silence of this share of the longest
 * pause that is in time, and has {@link SIGN_MS} to answer: what is left of the pause is enough to go on in time.
 */
const ASK_SHARE = 0.4;
/** Endpoints of a region answer such a question within ten milliseconds, their connection included. */
const SIGN_MS = 35;
/**
 * A stream with a copy elsewhere is taken for lost after a silence of this many times the longest pause that is in time
 * (1.1 s for the users' streams): it is late by then in any case, and callers give up after two seconds or more.
 */
const SILENT_GAPS = 6;
/** When a stream is taken for lost; only where a copy is kept elsewhere. */
export function silenceOf(
    deps: Forwarding,
    { head, route: { gapMs } }: ForwardCall,
    endpoint: EndpointEntry,
    backUp: string | undefined,
): SilenceCfg | undefined {
    if (backUp === undefined || gapMs === undefined) return undefined;
    const awake = (): number => deps.clock.awake();
    return {
        askMs: gapMs * ASK_SHARE,
        lostMs: gapMs * SILENT_GAPS,
        awake,
        answers: () => givesSign(deps, endpoint),
        canGoOn: () => deps.engines.canGoOn(head.id),
    };
}

/**
 * Whether an endpoint's life gives a sign of itself; one that gives none is planned with no more for a while. A later life that
 * answers at the address knows nothing of the streams that ran there.
 */
async function givesSign(deps: Forwarding, endpoint: EndpointEntry): Promise<boolean> {
    const { id, address, incarnation } = endpoint;
    // One that limits what it is sent is slow, and not gone.
    if (!deps.engines.mayAsk(incarnation)) return true;
    try {
        const { status, body } = await callEndpoint(address, deps.wire.stayCall(), SIGN_MS, deps.signal);
        const stay = deps.wire.readStay(status, body);
        const life = { id, born: stay.kind === "told" ? stay.born : undefined };
        if (compareLives(life, endpoint) !== LifeOrder.Later) return true;
        deps.meetLife(life);
        return false;
    }
    catch (err) {
        deps.log.info({ endpoint: incarnation, detail: errText(err) }, "endpoint_gives_no_sign");
        deps.engines.unreachable(incarnation);
        return false;
    }
}
