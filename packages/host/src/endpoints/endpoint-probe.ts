/**
 * Asks an endpoint whether the life that ran a call is still there.
 *
 * @module
 */
import { errText, type PlatformWire } from "@drumpaddle/protocol";
import { compareLives, type Life, LifeOrder } from "@drumpaddle/routes";
import { connect } from "node:net";
import { callEndpoint } from "./call-endpoint.js";

/** What an endpoint's answer shows of a life. */
export type LifeSign =
    /** `saysBorn`: it tells when its life began, so that it is surely the one that is known. */
    | { readonly kind: "lives"; readonly reportsBirth: boolean }
    | { readonly kind: "refused" }
    /** A later life answered. */
    | { readonly kind: "laterLife"; readonly life: Life }
    | { readonly kind: "unknown"; readonly detail: string };

/** Endpoints of a region refuse a connection within 10 ms; a cut one is not waited for. */
const PROBE_TIMEOUT_MS = 250;
const REFUSED_CODE = "ECONNREFUSED";

/**
 * Asks by the endpoint's own report, which may tell when its life began.
 *
 * @param address `ip:port`
 *
 * @example
 * ```ts
 * (await probeByReport(wire, "10.0.0.9:8080", { id: "i-7", born: 1700 }, signal)).kind; // "lives"
 * ```
 */
export async function probeByReport(
    wire: PlatformWire,
    address: string,
    known: Life,
    signal: AbortSignal,
): Promise<LifeSign> {
    try {
        const { status, body } = await callEndpoint(address, wire.stayCall(), PROBE_TIMEOUT_MS, signal);
        const stay = wire.readStay(status, body);
        const life = { id: known.id, born: stay.kind === "told" ? stay.born : undefined };
        if (compareLives(life, known) === LifeOrder.Later) return { kind: "laterLife", life };
        return { kind: "lives", reportsBirth: life.born !== undefined };
    }
    catch (err) {
        return resultOfError(err);
    }
}

/**
 * Asks by a connection alone, where endpoints tell nothing of their lives: one that has started again meanwhile passes for the same.
 *
 * @param url Where the endpoint is reached.
 *
 * @example
 * ```ts
 * (await probeByConnecting("http://10.0.0.9:8080")).kind; // "refused" where nobody listens
 * ```
 */
export function probeByConnecting(url: string): Promise<LifeSign> {
    const { hostname, port, protocol } = new URL(url);
    return new Promise(resolve => {
        const socket = connect({
            host: hostname.replace(/^\[|\]$/g, ""),
            port: Number(port || (protocol === "https:" ? 443 : 80)),
            timeout: PROBE_TIMEOUT_MS,
        });
        const finish = (sign: LifeSign): void => {
            socket.destroy();
            resolve(sign);
        };
        socket.once("connect", () => finish({ kind: "lives", reportsBirth: false }));
        socket.once("timeout", () => finish({ kind: "unknown", detail: `no connection in ${PROBE_TIMEOUT_MS} ms` }));
        socket.once("error", err => finish(resultOfError(err)));
    });
}

function resultOfError(err: unknown): LifeSign {
    const isRefused = err instanceof Error && "code" in err && err.code === REFUSED_CODE;
    return isRefused ? { kind: "refused" } : { kind: "unknown", detail: errText(err) };
}
