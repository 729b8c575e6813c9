/**
 * Lists the endpoints that a host knows: whether each takes new work, is in an evacuated hall, is cold, limits its
 * requests, wants a pause, can be reached from the host, and how slow it is.
 *
 * @module
 */
import { callAnyHost, type ClientOptions } from "./client.js";
import { type CommandResult, errorMessageOf, Exit, formatTable, resultOf } from "./output.js";

/** An endpoint in a host's answer. */
interface ListedEndpoint {
    readonly endpoint: string;
    readonly hall: string;
    readonly takesNew: boolean;
    readonly hallEvacuated: boolean;
    readonly coldForMs: number;
    /** Requests per second that the endpoint takes from all hosts together; absent if it reports no limit. */
    readonly limitPerS?: number;
    /** For how much longer the endpoint wants no requests from this host, in milliseconds; 0 if it takes them. */
    readonly restsForMs: number;
    /** Whether the host probably cannot reach the endpoint; absent in answers of older hosts. */
    readonly inDoubt?: boolean;
    readonly running: number;
    /** The endpoint's time for the same work, relative to the mean of its kind. */
    readonly slowness: number;
    /** The relative standard error of `slowness`; 0 if all endpoints of the kind may be equally fast. */
    readonly slownessError: number;
    /** Time since a stream last gave a measure of the endpoint's speed, in milliseconds; absent if none has. */
    readonly slownessAgeMs?: number;
}

/** Describes how slow an endpoint is, with the error and the age of this estimate. */
function formatSlowness({ slowness, slownessError, slownessAgeMs }: ListedEndpoint): string {
    if (slownessAgeMs === undefined) return "not seen";
    const error = Math.round(100 * slownessError);
    const seen = slownessAgeMs < 1_000 ? "now" : `${Math.round(slownessAgeMs / 1_000)} s ago`;
    return `${slowness} times, within ${error} %, seen ${seen}`;
}

function tableRowOf(listed: ListedEndpoint): readonly string[] {
    const { endpoint, hall, takesNew, hallEvacuated, coldForMs, limitPerS, restsForMs, inDoubt, running } = listed;
    return [
        endpoint,
        hall,
        hallEvacuated ? "hall evacuated" : takesNew ? "open" : "leaving",
        coldForMs > 0 ? `cold for ${coldForMs} ms` : "warm",
        limitPerS === undefined ? "none" : `${limitPerS} a second`,
        restsForMs > 0 ? `for ${restsForMs} ms` : "no",
        inDoubt === true ? "in doubt" : "yes",
        String(running),
        formatSlowness(listed),
    ];
}

/** The command `endpoints`: lists the endpoints that one host knows. */
export async function listEndpoints(client: ClientOptions): Promise<CommandResult> {
    const result = await callAnyHost(client, "GET", "/endpoints");
    if (result.kind !== "answer") return resultOf(Exit.Failed, result.detail);
    if (result.status !== 200) return resultOf(Exit.Failed, errorMessageOf(result.body));
    const endpoints = result.body["endpoints"] as readonly ListedEndpoint[];
    const text = formatTable(
        ["endpoint", "hall", "new work", "warmth", "limit", "rests", "reached", "running here", "time for its work"],
        endpoints.map(tableRowOf),
    );
    return { exit: Exit.Done, text, data: endpoints };
}
