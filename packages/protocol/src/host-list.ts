/**
 * Client of the platform's list of live and leaving hosts.
 *
 * @module
 */
import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { request } from "undici";
import { withTimeLimit } from "./time-limit.js";

const ListedHostSchema = Type.Object({
    name: Type.String(),
    hall: Type.String(),
    state: Type.Union([Type.Literal("live"), Type.Literal("leaving")]),
    /** Address on which the host listens for its peers, as `ip:port`; absent on machines that run only an endpoint. */
    peer: Type.Optional(Type.String()),
    /** Name of the endpoint that runs on the same machine. */
    endpoint: Type.Optional(Type.String()),
});
const HostListSchema = Type.Object({ hosts: Type.Array(ListedHostSchema) });

/** An entry of the platform's list. */
export type ListedHost = Static<typeof ListedHostSchema>;

/** The listed hosts, and the size of the response, which determines how often a host polls the list. */
export interface HostListAnswer {
    readonly hosts: readonly ListedHost[];
    readonly bytes: number;
}

/**
 * Fetches the hosts of a hall; undefined if no valid response arrives in time. A server that does not support the query
 * parameter `hall` returns the hosts of all halls.
 *
 * @example
 * ```ts
 * const answer = await fetchHostList("http://10.0.0.2:7000", "k1", 1000, signal);
 * ```
 */
export async function fetchHostList(
    url: string,
    hall: string,
    timeoutMs: number,
    signal: AbortSignal,
): Promise<HostListAnswer | undefined> {
    try {
        const { status, text } = await withTimeLimit(timeoutMs, signal, async limited => {
            const res = await request(`${url}/hosts?hall=${encodeURIComponent(hall)}`, { signal: limited });
            return { status: res.statusCode, text: await res.body.text() };
        });
        const answer = JSON.parse(text) as unknown;
        if (status !== 200 || !Value.Check(HostListSchema, answer)) return undefined;
        return { hosts: answer.hosts, bytes: text.length };
    }
    catch {
        return undefined;
    }
}
