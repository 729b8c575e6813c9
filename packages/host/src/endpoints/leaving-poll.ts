/**
 * Asks engines whether they are leaving while the platform's store, which says so otherwise, does not answer.
 *
 * @module
 */
import { errText, type PlatformWire, type StayAnswer } from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { repeat } from "../runtime/repeat.js";
import { callEndpoint } from "./call-endpoint.js";

/** What the watch needs of the gateway. */
export interface LeavingPollDeps {
    readonly wire: PlatformWire;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
    /** Whether neither the store nor a peer that hears it tells this host of leaving endpoints. */
    isDeaf(): boolean;
    /** Engines that this host asks for all hosts. */
    owned(): readonly EndpointEntry[];
    /** Whether a question may go to an endpoint now. */
    mayAsk(incarnation: string): boolean;
    onStay(endpoint: EndpointEntry, stay: Extract<StayAnswer, { kind: "told" }>): void;
}

/**
 * Engines that are reclaimed give notice of 1.5 to 2 s, and a report is about 0.5 s old: asked four times a second, one
 * leaves more than half of the notice for copies.
 */
const POLL_INTERVAL_MS = 250;
/** An answer that takes longer than the next question is of no more use. */
const POLL_TIMEOUT_MS = 250;

/** Starts to watch; ends with the signal. */
export function watchStays(deps: LeavingPollDeps): void {
    const ask = (): void => {
        if (!deps.isDeaf()) return;
        for (const endpoint of deps.owned()) {
            if (deps.mayAsk(endpoint.incarnation)) void pollOne(deps, endpoint);
        }
    };
    repeat(ask, () => POLL_INTERVAL_MS, deps.signal);
}

async function pollOne(deps: LeavingPollDeps, endpoint: EndpointEntry): Promise<void> {
    const { wire, log, metrics, signal } = deps;
    const { incarnation, address } = endpoint;
    try {
        const { status, body } = await callEndpoint(address, wire.stayCall(), POLL_TIMEOUT_MS, signal);
        const answer = wire.readStay(status, body);
        metrics.countStay(answer.kind === "told" ? leavingLabel(answer.leaving) : answer.kind);
        if (answer.kind === "told") return deps.onStay(endpoint, answer);
        log.debug({ endpoint: incarnation, detail: answer.detail }, "stay_not_told");
    }
    catch (err) {
        metrics.countStay("notTold");
        log.debug({ endpoint: incarnation, detail: errText(err) }, "stay_not_told");
    }
}

function leavingLabel(leaving: boolean): string {
    return leaving ? "leaving" : "stays";
}
