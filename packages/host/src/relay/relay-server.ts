/**
 * Relays connections of peers to endpoints. The bytes are not interpreted: the peer schedules, limits and judges its calls itself, as if
 * it had connected directly.
 *
 * A relayed connection is never relayed on, so calls cannot go in circles.
 *
 * @module
 */
import { type Clock, errText, type PeerName } from "@drumpaddle/protocol";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { LingeringClose } from "../runtime/lingering-close.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { wasReset } from "../runtime/socket-end.js";
import {
    decodeRelayRequest,
    encodeRelayRefusal,
    RELAY_ID_HEADER,
    RELAY_STATUS,
    RelayCode,
    RelayError,
    type RelayRequest,
} from "./relay-protocol.js";

/** Dependencies of {@link RelayServer}. */
export interface RelayServerDeps {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Pick<Metrics, "countRelay">;
    readonly signal: AbortSignal;
    /** Whether an endpoint that this host knows has this address. */
    knowsEndpoint(address: string): boolean;
    /** Why this host relays nothing more now; undefined if it does. */
    refusal(openRelays: number): RelayError | undefined;
    /** Connects to an endpoint, never through a peer. */
    connect(address: string, signal: AbortSignal): Promise<Socket>;
}

/** A relayed connection. */
interface Relay {
    readonly request: RelayRequest;
    readonly from: string;
    readonly openedAt: number;
    readonly endpoint: Socket;
    readonly res: ServerResponse;
    /** When something was last received from the endpoint. */
    heardAt: number;
}

/** Time limit for a peer to send the head of its request. */
const HEAD_TIMEOUT_MS = 2_000;
/** Bytes of an HTTP head; those of this protocol are much smaller. */
const MAX_HEAD_BYTES = 4_096;
/** How long a peer may take to read what is left of a relayed connection, and to end its own side. */
const LINGER_MS = 5_000;

/** Relays connections of peers. */
export class RelayServer {
    private readonly server: Server;
    /** The peers at the other ends of the streams. */
    private readonly peers = new WeakMap<Socket, string>();
    private readonly open = new Set<Relay>();

    constructor(private readonly deps: RelayServerDeps) {
        this.server = createServer({
            maxHeaderSize: MAX_HEAD_BYTES,
            headersTimeout: HEAD_TIMEOUT_MS,
            // A relayed connection is one request, which may last as long as the endpoint's calls.
            requestTimeout: 0,
        }, (req, res) => void this.serve(req, res));
        LingeringClose.of(this.server, LINGER_MS);
        deps.signal.addEventListener("abort", () => this.open.forEach(breakOff), { once: true });
    }

    /** Number of relayed connections. */
    get size(): number {
        return this.open.size;
    }

    /** Serves a stream that a peer has opened. */
    accept(from: PeerName, socket: Socket): void {
        this.peers.set(socket, from.name);
        this.server.emit("connection", socket);
    }

    /** Breaks off the connections on which the endpoints have sent nothing since a time, so that peers try another way. */
    breakSilent(since: number): void {
        for (const relay of this.open) if (relay.heardAt < since) breakOff(relay);
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const from = this.peers.get(req.socket) ?? "";
        const request = decodeRelayRequest(req.method, req.url, req.headers[RELAY_ID_HEADER]);
        if (!request) {
            return this.refuse(res, from, undefined, new RelayError(RelayCode.BadRequest, "no relay request"));
        }
        const controller = new AbortController();
        res.once("close", () => controller.abort(new RelayError(RelayCode.PeerLost, "the peer left")));
        try {
            const endpoint = await this.connect(request, controller.signal);
            this.relay(request, from, endpoint, req, res);
        }
        catch (err) {
            const refusal = err instanceof RelayError ? err : new RelayError(RelayCode.Unreached, errText(err));
            this.refuse(res, from, request, refusal);
        }
    }

    private async connect({ endpoint }: RelayRequest, signal: AbortSignal): Promise<Socket> {
        const refusal = this.deps.refusal(this.open.size);
        if (refusal) throw refusal;
        if (!this.deps.knowsEndpoint(endpoint)) {
            throw new RelayError(RelayCode.UnknownEndpoint, "no endpoint with this address is registered here");
        }
        const socket = await this.deps.connect(endpoint, signal);
        if (!signal.aborted) return socket;
        socket.destroy();
        throw signal.reason as Error;
    }

    private relay(
        request: RelayRequest,
        from: string,
        endpoint: Socket,
        req: IncomingMessage,
        res: ServerResponse,
    ): void {
        const now = this.deps.clock.now();
        const relay: Relay = { request, from, openedAt: now, endpoint, res, heardAt: now };
        this.open.add(relay);
        this.deps.metrics.countRelay("served", "relayed");
        this.deps.log.info({ relay: request.id, peer: from, address: request.endpoint }, "relay_opened");
        res.writeHead(200, { "Transfer-Encoding": "chunked", Connection: "close" });
        res.flushHeaders();
        endpoint.on("data", () => relay.heardAt = this.deps.clock.now());
        endpoint.on("error", () => breakOff(relay));
        endpoint.on("end", () => {
            // After both sides have ended, the system no longer knows the address of the other one either.
            if (!req.readableEnded && wasReset(endpoint)) return breakOff(relay);
            // The endpoint's end also ends what can be written to it.
            req.unpipe(endpoint).resume();
            res.end();
        });
        endpoint.on("close", () => {
            if (!endpoint.readableEnded) breakOff(relay);
        });
        req.on("error", () => breakOff(relay));
        res.on("close", () => this.end(relay));
        req.pipe(endpoint);
        endpoint.pipe(res, { end: false });
    }

    private end(relay: Relay): void {
        const { request, from, openedAt, endpoint, res } = relay;
        this.open.delete(relay);
        this.deps.log.info({
            relay: request.id,
            peer: from,
            address: request.endpoint,
            sent: endpoint.bytesWritten,
            received: endpoint.bytesRead,
            whole: res.writableFinished,
            ms: Math.round(this.deps.clock.now() - openedAt),
        }, "relay_ended");
        endpoint.destroy();
    }

    private refuse(res: ServerResponse, from: string, request: RelayRequest | undefined, refusal: RelayError): void {
        const { code, message: detail } = refusal;
        this.deps.metrics.countRelay("served", code);
        this.deps.log.info(
            { relay: request?.id, peer: from, address: request?.endpoint, code, detail },
            "relay_not_served",
        );
        if (res.destroyed) return;
        res.writeHead(RELAY_STATUS[code] ?? 503, { "Content-Type": "application/json", Connection: "close" });
        res.end(encodeRelayRefusal(refusal));
    }
}

/** Ends both sides at once; the peer sees that the answer is not complete. */
function breakOff({ endpoint, res }: Relay): void {
    res.destroy();
    endpoint.destroy();
}
