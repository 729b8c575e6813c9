/**
 * Sends one of the system's own calls to an endpoint.
 *
 * @module
 */
import { type EndpointCall, withinTime } from "@drumpaddle/protocol";
import { request } from "undici";

/** What an endpoint answered. */
export interface EndpointResponse {
    readonly status: number;
    readonly body: string;
}

/**
 * Sends the call; rejects with the error of the network where no whole answer comes in time.
 *
 * @param address `ip:port`
 *
 * @example
 * ```ts
 * const { status, body } = await callEndpoint("10.0.0.9:8080", wire.stayCall(), 500, signal);
 * ```
 */
export async function callEndpoint(
    address: string,
    { method, path, body }: EndpointCall,
    timeoutMs: number,
    signal: AbortSignal,
): Promise<EndpointResponse> {
    const headers = body === undefined ? {} : { "content-type": "application/json" };
    return withinTime(timeoutMs, signal, async limited => {
        const res = await request(`http://${address}${path}`, { method, headers, signal: limited, body: body ?? null });
        return { status: res.statusCode, body: await res.body.text() };
    });
}
