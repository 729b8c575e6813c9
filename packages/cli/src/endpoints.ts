/**
 * The endpoints that a host knows: which take new work, which stand in evacuated halls, which are cold, which name a limit or want rest, and
 * which the host can probably not reach.
 *
 * @module
 */
import { call, type ClientCfg } from "./client.js";
import { Exit, messageOf, type Outcome, said, tableOf } from "./output.js";

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
}

/** Lists endpoints by what a host knows. */
export async function listEndpoints(client: ClientCfg): Promise<Outcome> {
    const result = await call(client, "GET", "/endpoints");
    if (result.kind !== "answer") return said(Exit.Failed, result.detail);
    if (result.status !== 200) return said(Exit.Failed, messageOf(result.body));
    const endpoints = result.body["endpoints"] as readonly ListedEndpoint[];
    const rows = endpoints.map((
        { endpoint, hall, takesNew, hallEvacuated, coldForMs, limitPerS, restsForMs, inDoubt, running },
    ) => [
        endpoint,
        hall,
        hallEvacuated ? "hall evacuated" : takesNew ? "open" : "leaving",
        coldForMs > 0 ? `cold for ${coldForMs} ms` : "warm",
        limitPerS === undefined ? "none" : `${limitPerS} a second`,
        restsForMs > 0 ? `for ${restsForMs} ms` : "no",
        inDoubt === true ? "in doubt" : "yes",
        String(running),
    ]);
    const text = tableOf(["endpoint", "hall", "new work", "warmth", "limit", "rests", "reached", "running here"], rows);
    return { exit: Exit.Done, text, data: endpoints };
}
