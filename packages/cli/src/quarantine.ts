/**
 * The commands on requests that are suspected of ending the endpoints that run them: list them, and lift a quarantine.
 *
 * @module
 */
import { callAnyHost, type ClientOptions } from "./client.js";
import { type CommandResult, errorMessageOf, Exit, formatTable, resultOf } from "./output.js";

/** An unexpected end of an endpoint at which the request was running there, in a host's answer. */
interface ListedEnding {
    readonly endpoint: string;
    readonly ageMs: number;
    readonly req?: string;
}

/** A suspected or quarantined request, or part of prompts, in a host's answer. */
export interface ListedRequest {
    /** Fingerprint of the request, or name of the part: `part:`, its model, a colon and its id. */
    readonly fingerprint: string;
    readonly quarantined: boolean;
    /** Other parts that may be to blame instead: only requests with all of them are withheld. */
    readonly alternatives?: readonly string[];
    readonly route?: string;
    readonly workspace?: string;
    readonly endings: readonly ListedEnding[];
}

const MS_PER_SECOND = 1_000;

/** Lists the suspected and quarantined requests and parts that one host knows. */
export async function listQuarantine(client: ClientOptions): Promise<CommandResult> {
    const result = await callAnyHost(client, "GET", "/quarantine");
    if (result.kind !== "answer") return resultOf(Exit.Failed, result.detail);
    if (result.status !== 200) return resultOf(Exit.Failed, errorMessageOf(result.body));
    const requests = result.body["requests"] as readonly ListedRequest[];
    const rows = requests.map(({ fingerprint, quarantined, alternatives = [], route, workspace, endings }) => [
        fingerprint,
        quarantined ? ["quarantined", ...alternatives.map(part => `with ${part}`)].join("\n") : "suspected",
        route ?? "-",
        workspace ?? "-",
        endings.map(formatEnding).join("\n"),
    ]);
    const table = formatTable(["fingerprint or part", "state", "route", "workspace", "endings"], rows);
    const text = requests.length === 0 ? "nothing is quarantined or suspected" : table;
    return { exit: Exit.Done, text, data: requests };
}

/** Lifts a quarantine at all hosts: the host that is called informs the others. */
export async function liftQuarantine(client: ClientOptions, fingerprint: string): Promise<CommandResult> {
    const result = await callAnyHost(client, "POST", `/quarantine/${encodeURIComponent(fingerprint)}/lift`, {});
    if (result.kind === "lost") return resultOf(Exit.Unknown, result.detail);
    if (result.kind === "unreachable") return resultOf(Exit.Failed, result.detail);
    if (result.status !== 200) return resultOf(Exit.Failed, errorMessageOf(result.body));
    return resultOf(Exit.Done, `lifted: ${fingerprint}`);
}

function formatEnding({ endpoint, ageMs, req }: ListedEnding): string {
    const by = req === undefined ? "" : `, request ${req}`;
    return `${endpoint} ${Math.round(ageMs / MS_PER_SECOND)} s ago${by}`;
}
