/**
 * The HTTP requests by which a host asks a peer to relay a connection to an endpoint.
 *
 * `POST /endpoints/IP:PORT` on a stream between the hosts, with a body in chunks. The peer connects to the endpoint and answers 200; from
 * then on the request's body is what the host sends to the endpoint, and the answer's body is what the endpoint sends. The chunks mark
 * the end of either direction, so a connection that a fault has cut off never looks complete. Any other status comes with
 * `{"code": ..., "detail": ...}`; nothing was sent to the endpoint then.
 *
 *     POST /endpoints/10.0.0.9:8080 HTTP/1.1
 *     Relay-Id: k1-a/17
 *     Transfer-Encoding: chunked
 *
 * @module
 */
import { Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";

/** Why a peer does not relay a connection. */
export const RelayCode = {
    /** The request is none of this protocol. */
    BadRequest: "bad_request",
    /** The peer knows no endpoint at this address. */
    UnknownEndpoint: "unknown_endpoint",
    /** The peer is cut off from the endpoints itself. */
    CutOff: "cut_off",
    /** The peer has no descriptors or memory left for another connection. */
    NoRoom: "no_room",
    /** The peer could not connect to the endpoint. */
    Unreached: "unreached",
    /** The peer is stopping. */
    Stopping: "stopping",
    /** The peer was not reached or is no longer there. */
    PeerLost: "peer_lost",
    /** No peer is left to ask. */
    NoPeer: "no_peer",
} as const;
export type RelayCode = typeof RelayCode[keyof typeof RelayCode];

/** A connection to an endpoint could not be relayed; nothing was sent to the endpoint. */
export class RelayError extends Error {
    override readonly name = "RelayError";

    constructor(readonly code: RelayCode, detail: string) {
        super(detail);
    }
}

/** Statuses of the answers that refuse a connection. */
export const RELAY_STATUS: Partial<Readonly<Record<RelayCode, number>>> = {
    [RelayCode.BadRequest]: 400,
    [RelayCode.UnknownEndpoint]: 404,
    [RelayCode.Unreached]: 502,
    [RelayCode.CutOff]: 503,
    [RelayCode.NoRoom]: 503,
    [RelayCode.Stopping]: 503,
};

/** Names the relayed connection in the logs of both hosts. */
export const RELAY_ID_HEADER = "relay-id";
const PATH = /^\/endpoints\/([0-9a-f.:[\]]+:\d{1,5})$/i;
const RELAY_ID = /^[\x21-\x7e]{1,300}$/;

/** Path of the request for a connection to an endpoint. */
export function relayPath(endpoint: string): string {
    return `/endpoints/${endpoint}`;
}

/** A request for a connection. */
export interface RelayRequest {
    readonly endpoint: string;
    readonly id: string;
}

/** Decodes a request; undefined if it is none of this protocol. */
export function decodeRelayRequest(
    method: string | undefined,
    path: string | undefined,
    id: string | string[] | undefined,
): RelayRequest | undefined {
    const endpoint = PATH.exec(path ?? "")?.[1];
    const isValid = method === "POST" && endpoint !== undefined && typeof id === "string" && RELAY_ID.test(id);
    return isValid ? { endpoint, id } : undefined;
}

const RefusalShape = TypeCompiler.Compile(Type.Object({
    code: Type.Union(Object.values(RelayCode).map(code => Type.Literal(code))),
    detail: Type.String(),
}));

/** Encodes the body of a refusal. */
export function encodeRelayRefusal({ code, message }: RelayError): string {
    return JSON.stringify({ code, detail: message });
}

/** Decodes the body of a refusal. */
export function decodeRelayRefusal(status: number, body: string): RelayError {
    try {
        const refusal = JSON.parse(body) as unknown;
        if (RefusalShape.Check(refusal)) return new RelayError(refusal.code, refusal.detail);
    }
    catch {
        // A body that is not JSON is reported like one of another shape.
    }
    return new RelayError(RelayCode.PeerLost, `the peer answered ${status} without a reason`);
}
