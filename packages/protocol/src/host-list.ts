/**
 * The platform's list of live and leaving hosts.
 *
 * @module
 */
import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { request } from "undici";

const Listed = Type.Object({
    name: Type.String(),
    hall: Type.String(),
    state: Type.Union([Type.Literal("live"), Type.Literal("leaving")]),
    /** Where an entry host listens for its peers, as `ip:port`. */
    peer: Type.Optional(Type.String()),
    /** Name of the endpoint that runs on the machine. */
    endpoint: Type.Optional(Type.String()),
});
const HostList = Type.Object({ hosts: Type.Array(Listed) });

/** A machine as the platform lists it. */
export type ListedMachine = Static<typeof Listed>;

/**
 * Asks for the list; undefined where there is no sensible answer in time.
 *
 * @example
 * ```ts
 * const hosts = await fetchHosts("http://10.0.0.2:7000", 1000, signal);
 * ```
 */
export async function fetchHosts(
    url: string,
    timeoutMs: number,
    signal: AbortSignal,
): Promise<readonly ListedMachine[] | undefined> {
    try {
        const res = await request(`${url}/hosts`, {
            signal: AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]),
        });
        const answer = await res.body.json();
        return res.statusCode === 200 && Value.Check(HostList, answer) ? answer.hosts : undefined;
    }
    catch {
        return undefined;
    }
}
