/**
 * A client of the operators' API of hosts. It tries one host after another, and its results distinguish an answer, no
 * connection to any host, and a lost answer, after which the effect of the call is unknown.
 *
 * @module
 */
import { errText, reportSending } from "@drumpaddle/protocol";
import { getGlobalDispatcher, request } from "undici";

/** The hosts to call, by the base URL of their operators' port, and how to call them. */
export interface ClientOptions {
    readonly hosts: readonly string[];
    readonly token: string;
    readonly timeoutMs: number;
}

/** The result of a call to the operators' API. */
export type CallResult =
    | { readonly kind: "answer"; readonly status: number; readonly body: Record<string, unknown> }
    /** No host could be reached, so the call had no effect. */
    | { readonly kind: "unreachable"; readonly detail: string }
    /** A host may have received the call, but its answer was lost. */
    | { readonly kind: "lost"; readonly detail: string };

/** A host's status if it cannot reach the store; another host may. */
const SERVICE_UNAVAILABLE = 503;

/**
 * Calls the hosts in turn until one answers with another status than 503. A call may therefore reach several hosts, so
 * that one with a body must be safe to repeat; edits carry an id for this.
 *
 * @example
 * ```ts
 * const result = await callAnyHost(client, "GET", "/settings");
 * ```
 */
export async function callAnyHost(
    client: ClientOptions,
    method: "GET" | "POST",
    path: string,
    body?: object,
): Promise<CallResult> {
    let failure: CallResult = { kind: "unreachable", detail: "no host was given" };
    for (const host of client.hosts) {
        const result = await callHost(client, host, method, path, body);
        if (result.kind === "answer" && result.status !== SERVICE_UNAVAILABLE) return result;
        // A lost answer is kept over later failures: the call may have taken effect at that host.
        if (failure.kind !== "lost") failure = result;
    }
    return failure;
}

/** Calls one host, by the base URL of its operators' port. */
export async function callHost(
    client: ClientOptions,
    host: string,
    method: "GET" | "POST",
    path: string,
    body?: object,
): Promise<CallResult> {
    let isSent = false;
    const dispatcher = reportSending(getGlobalDispatcher(), () => isSent = true);
    try {
        const res = await request(host.replace(/\/$/, "") + path, {
            method,
            headers: {
                "authorization": `Bearer ${client.token}`,
                ...(body ? { "content-type": "application/json" } : {}),
            },
            ...(body ? { body: JSON.stringify(body) } : {}),
            signal: AbortSignal.timeout(client.timeoutMs),
            dispatcher,
        });
        return { kind: "answer", status: res.statusCode, body: await res.body.json() as Record<string, unknown> };
    }
    catch (err) {
        return { kind: isSent ? "lost" : "unreachable", detail: `${host}: ${errText(err)}` };
    }
}
