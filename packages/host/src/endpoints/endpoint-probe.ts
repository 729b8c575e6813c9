/**
 * Probes an endpoint: is the incarnation that ran a call still alive?
 *
 * @module
 */
import { errText, type PlatformWire } from "@drumpaddle/protocol";
import { compareIncarnations, type IncarnationId, IncarnationOrder } from "@drumpaddle/routes";
import { connect } from "node:net";
import type { Dispatcher } from "undici";
import { callEndpoint } from "./call-endpoint.js";

/** What a probe shows about an incarnation. */
export type ProbeResult =
    /** `reportsBirth`: the answer also says when the incarnation began, so that it certainly came from the known one. */
    | { readonly kind: "lives"; readonly reportsBirth: boolean }
    /** The connection was refused. */
    | { readonly kind: "refused" }
    /** A later incarnation answered. */
    | { readonly kind: "laterLife"; readonly life: IncarnationId }
    /** The probe got no usable answer. */
    | { readonly kind: "unknown"; readonly detail: string };

/** Endpoints of the same region refuse a connection within 10 ms; the host does not wait for one behind a partition. */
const PROBE_TIMEOUT_MS = 250;
const REFUSED_CODE = "ECONNREFUSED";

/**
 * Probes by the endpoint's status call, whose answer may say when its incarnation began.
 *
 * @param address `ip:port`
 * @param dispatcher Opens the connection.
 *
 * @example
 * ```ts
 * (await probeByStatusCall(wire, "10.0.0.9:8080", { id: "i-7", born: 1700 }, signal, usual)).kind; // "lives"
 * ```
 */
export async function probeByStatusCall(
    wire: PlatformWire,
    address: string,
    known: IncarnationId,
    signal: AbortSignal,
    dispatcher: Dispatcher,
): Promise<ProbeResult> {
    try {
        const { status, body } = await callEndpoint(address, wire.leavingCall(), PROBE_TIMEOUT_MS, signal, dispatcher);
        const stay = wire.decodeLeavingAnswer(status, body);
        const life = { id: known.id, born: stay.kind === "told" ? stay.born : undefined };
        if (compareIncarnations(life, known) === IncarnationOrder.Later) return { kind: "laterLife", life };
        return { kind: "lives", reportsBirth: life.born !== undefined };
    }
    catch (err) {
        return resultOfError(err);
    }
}

/**
 * Probes by opening a connection, for endpoints that do not report their incarnations. An endpoint that has restarted in the
 * meantime passes as alive.
 *
 * @param url URL of the endpoint.
 *
 * @example
 * ```ts
 * (await probeByConnecting("http://10.0.0.9:8080")).kind; // "refused" if nothing listens there
 * ```
 */
export function probeByConnecting(url: string): Promise<ProbeResult> {
    const { hostname, port, protocol } = new URL(url);
    return new Promise(resolve => {
        const socket = connect({
            host: hostname.replace(/^\[|\]$/g, ""),
            port: Number(port || (protocol === "https:" ? 443 : 80)),
            timeout: PROBE_TIMEOUT_MS,
        });
        const finish = (sign: ProbeResult): void => {
            socket.destroy();
            resolve(sign);
        };
        socket.once("connect", () => finish({ kind: "lives", reportsBirth: false }));
        socket.once("timeout", () => finish({ kind: "unknown", detail: `no connection in ${PROBE_TIMEOUT_MS} ms` }));
        socket.once("error", err => finish(resultOfError(err)));
    });
}

function resultOfError(err: unknown): ProbeResult {
    const isRefused = err instanceof Error && "code" in err && err.code === REFUSED_CODE;
    return isRefused ? { kind: "refused" } : { kind: "unknown", detail: errText(err) };
}
