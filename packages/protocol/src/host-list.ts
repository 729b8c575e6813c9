/**
 * The platform's list of live and leaving hosts.
 *
 * @module
 */
import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { request } from "undici";
import { withinTime } from "./time-limit.js";

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

/** The list with the size of the answer, by which a host paces its questions. */
export interface HostListAnswer {
    readonly hosts: readonly ListedMachine[];
    readonly bytes: number;
}

/**
 * Asks for the machines of a hall; undefined where there is no sensible answer in time. A list that knows no `hall` in
 * the query answers with all.
 *
 * @example
 * ```ts
 * const answer = await fetchHosts("http://10.0.0.2:7000", "k1", 1000, signal);
 * ```
 */
export async function fetchHosts(
    url: string,
    hall: string,
    timeoutMs: number,
    signal: AbortSignal,
): Promise<HostListAnswer | undefined> {
    try {
        const { status, text } = await withinTime(timeoutMs, signal, async limited => {
            const res = await request(`${url}/hosts?hall=${encodeURIComponent(hall)}`, { signal: limited });
            return { status: res.statusCode, text: await res.body.text() };
        });
        const answer = JSON.parse(text) as unknown;
        if (status !== 200 || !Value.Check(HostList, answer)) return undefined;
        return { hosts: answer.hosts, bytes: text.length };
    }
    catch {
        return undefined;
    }
}
