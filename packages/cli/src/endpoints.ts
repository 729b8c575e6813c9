/**
 * The endpoints that a host knows: which take new work, which stand in evacuated halls, which are cold, which name a limit or want rest,
 * which the host can probably not reach, and how slow each is.
 *
 * @module
 */
import { callAnyHost, type ClientCfg } from "./client.js";
import { type CommandResult, errorMessageOf, Exit, formatTable, resultOf } from "./output.js";

/** An endpoint, as a host tells it. */
interface ListedEndpoint {
    readonly endpoint: string;
    readonly hall: string;
    readonly takesNew: boolean;
    readonly hallEvacuated: boolean;
    readonly coldForMs: number;
    /** Requests a second that it takes from all hosts together; absent where it names no limit. */
    readonly limitPerS?: number;
    /** How much longer it wants nothing from this host, in milliseconds. */
    readonly restsForMs: number;
    /** Whether the host can probably not reach it; absent where it is of a version that does not tell. */
    readonly inDoubt?: boolean;
    readonly running: number;
    /** Its time for the same work against the mean of its kind, as a factor. */
    readonly slowness: number;
    /** Relative standard error of that; 0 where all may be alike. */
    readonly slownessError: number;
    /** Time since streams last showed something of it, in milliseconds; absent where none did. */
    readonly slownessAgeMs?: number;
}

/** How slow an endpoint is, how certainly, and since when that is known. */
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

/** Lists endpoints by what a host knows. */
export async function listEndpoints(client: ClientCfg): Promise<CommandResult> {
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
