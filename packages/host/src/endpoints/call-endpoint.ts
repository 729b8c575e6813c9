/**
 * Sends control calls to endpoints: calls that a host makes on its own behalf, not for a caller.
 *
 * @module
 */
import { type EndpointCall, withTimeLimit } from "@drumpaddle/protocol";
import { type Dispatcher, request } from "undici";

/** Status and body of an endpoint's answer. */
export interface EndpointResponse {
    readonly status: number;
    readonly body: string;
}

/**
 * Sends a control call. Rejects with the network's error if no complete answer arrives within `timeoutMs`.
 *
 * @param address `ip:port`
 * @param dispatcher Opens the connection.
 *
 * @example
 * ```ts
 * const { status, body } = await callEndpoint("10.0.0.9:8080", wire.leavingCall(), 500, signal, dispatchers.usual);
 * ```
 */
export async function callEndpoint(
    address: string,
    { method, path, body }: EndpointCall,
    timeoutMs: number,
    signal: AbortSignal,
    dispatcher: Dispatcher,
): Promise<EndpointResponse> {
    const headers = body === undefined ? {} : { "content-type": "application/json" };
    return withTimeLimit(timeoutMs, signal, async limited => {
        const url = `http://${address}${path}`;
        const res = await request(url, { method, headers, signal: limited, body: body ?? null, dispatcher });
        return { status: res.statusCode, body: await res.body.text() };
    });
}
