/**
 * Sends control calls to endpoints: calls that a host makes on its own behalf, not for a caller.
 *
 * @module
 */
import { type EndpointCall, withTimeLimit } from "@drumpaddle/protocol";
import { request } from "undici";

/** Status and body of an endpoint's answer. */
export interface EndpointResponse {
    readonly status: number;
    readonly body: string;
}

/**
 * Sends a control call. Rejects with the network's error if no complete answer arrives within `timeoutMs`.
 *
 * @param address `ip:port`
 *
 * @example
 * ```ts
 * const { status, body } = await callEndpoint("10.0.0.9:8080", wire.leavingCall(), 500, signal);
 * ```
 */
export async function callEndpoint(
    address: string,
    { method, path, body }: EndpointCall,
    timeoutMs: number,
    signal: AbortSignal,
): Promise<EndpointResponse> {
    const headers = body === undefined ? {} : { "content-type": "application/json" };
    return withTimeLimit(timeoutMs, signal, async limited => {
        const res = await request(`http://${address}${path}`, { method, headers, signal: limited, body: body ?? null });
        return { status: res.statusCode, body: await res.body.text() };
    });
}
