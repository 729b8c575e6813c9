/**
 * A client of the operators' port: tries one host after another, and keeps "refused", "away" and "unknown" apart.
 *
 * @module
 */
import { errText, neverSent } from "@drumpaddle/protocol";
import { request } from "undici";

/** Where the operators' ports are, and with which token they are used. */
export interface ClientCfg {
    readonly hosts: readonly string[];
    readonly token: string;
    readonly timeoutMs: number;
}

/** What an operator's call came to. */
export type CallResult =
    | { readonly kind: "answer"; readonly status: number; readonly body: Record<string, unknown> }
    /** No host could be reached, so nothing was done. */
    | { readonly kind: "unreachable"; readonly detail: string }
    /** A host was reached and its answer was lost. */
    | { readonly kind: "lost"; readonly detail: string };

const SERVICE_UNAVAILABLE = 503;

/**
 * Calls the first host that answers. A call with a body must be safe to send twice: edits carry an id for that.
 *
 * @example
 * ```ts
 * const result = await call(client, "GET", "/settings");
 * ```
 */
export async function callAnyHost(
    client: ClientCfg,
    method: "GET" | "POST",
    path: string,
    body?: object,
): Promise<CallResult> {
    let failure: CallResult = { kind: "unreachable", detail: "no host was given" };
    for (const host of client.hosts) {
        const result = await callHost(client, host, method, path, body);
        if (result.kind === "answer" && result.status !== SERVICE_UNAVAILABLE) return result;
        // What may have happened at one host outweighs that another could not be reached.
        if (failure.kind !== "lost") failure = result;
    }
    return failure;
}

/** Calls one host. */
export async function callHost(
    client: ClientCfg,
    host: string,
    method: "GET" | "POST",
    path: string,
    body?: object,
): Promise<CallResult> {
    try {
        const res = await request(host.replace(/\/$/, "") + path, {
            method,
            headers: {
                "authorization": `Bearer ${client.token}`,
                ...(body ? { "content-type": "application/json" } : {}),
            },
            ...(body ? { body: JSON.stringify(body) } : {}),
            signal: AbortSignal.timeout(client.timeoutMs),
        });
        return { kind: "answer", status: res.statusCode, body: await res.body.json() as Record<string, unknown> };
    }
    catch (err) {
        return { kind: neverSent(err) ? "unreachable" : "lost", detail: `${host}: ${errText(err)}` };
    }
}
