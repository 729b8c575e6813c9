/**
 * Polls engines whether they are leaving, while the platform's store, which otherwise says so, does not answer.
 *
 * @module
 */
import { errText, type LeavingAnswer, type PlatformWire } from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { Dispatcher } from "undici";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";
import { callEndpoint } from "./call-endpoint.js";

/** Dependencies of {@link pollLeaving}. */
export interface LeavingPollDeps {
    readonly wire: PlatformWire;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
    readonly dispatcher: Dispatcher;
    /** Whether this host gets no changes of the registry at present, neither from the store nor from a peer. */
    isRegistryStale(): boolean;
    /** Engines that this host polls on behalf of all hosts. */
    owned(): readonly EndpointEntry[];
    /** Whether a control call may be sent to the endpoint now. */
    mayPoll(incarnation: string): boolean;
    /** An engine answered whether it is leaving. */
    onAnswer(endpoint: EndpointEntry, stay: Extract<LeavingAnswer, { kind: "told" }>): void;
}

/**
 * An engine that is reclaimed gives 1.5 to 2 s notice, and its answer is about 0.5 s old. With four polls per second more than
 * half of the notice is left for copying its streams.
 */
const POLL_INTERVAL_MS = 250;
/** An answer that arrives after the next poll is useless. */
const POLL_TIMEOUT_MS = 250;

/** Starts polling; stops when the signal aborts. */
export function pollLeaving(deps: LeavingPollDeps): void {
    const ask = (): void => {
        if (!deps.isRegistryStale()) return;
        for (const endpoint of deps.owned()) {
            if (deps.mayPoll(endpoint.incarnation)) void pollOne(deps, endpoint);
        }
    };
    repeat(ask, () => POLL_INTERVAL_MS, deps.signal);
}

async function pollOne(deps: LeavingPollDeps, endpoint: EndpointEntry): Promise<void> {
    const { wire, log, metrics, signal, dispatcher } = deps;
    const { incarnation, address } = endpoint;
    try {
        const { status, body } = await callEndpoint(address, wire.leavingCall(), POLL_TIMEOUT_MS, signal, dispatcher);
        const answer = wire.decodeLeavingAnswer(status, body);
        metrics.countStayAnswer(answer.kind === "told" ? leavingLabel(answer.leaving) : answer.kind);
        if (answer.kind === "told") return deps.onAnswer(endpoint, answer);
        log.debug({ endpoint: incarnation, detail: answer.detail }, "stay_not_told");
    }
    catch (err) {
        metrics.countStayAnswer("notTold");
        log.debug({ endpoint: incarnation, detail: errText(err) }, "stay_not_told");
    }
}

function leavingLabel(leaving: boolean): string {
    return leaving ? "leaving" : "stays";
}
