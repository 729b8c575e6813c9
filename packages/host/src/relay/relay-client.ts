/**
 * Opens connections to endpoints through peers, when this host's own links to them are down.
 *
 * @module
 */
import { type AvoidedPeers, avoidPeer, chooseRelays, type RelayPeer } from "@drumpaddle/hall";
import { type Clock, errText, withTimeLimit } from "@drumpaddle/protocol";
import { type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { resetWhenDestroyed } from "../runtime/socket-end.js";
import { raceStaggered } from "./race.js";
import { decodeRelayRefusal, RELAY_ID_HEADER, RelayCode, RelayError, relayPath } from "./relay-protocol.js";
import { RelaySocket } from "./relay-socket.js";

/** Dependencies of {@link RelayClient}. */
export interface RelayClientDeps {
    readonly name: string;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Pick<Metrics, "countRelay">;
    readonly signal: AbortSignal;
    /** The live peers in the scope of this host. */
    peers(): readonly RelayPeer[];
    /** Opens a stream to a peer's address. */
    openStream(address: string, signal: AbortSignal): Promise<Socket>;
    /** Random numbers in [0, 1) by which peers are drawn; `Math.random` by default. */
    readonly random?: () => number;
}

/** Peers that are asked for one connection. With half of all hosts cut off, one call in eight finds none of three. */
const MAX_PEERS = 3;
/** A peer that has not answered after this long is probably cut off as well, and the next one is asked. */
const STAGGER_MS = 100;
/** Time limit for one peer: its handshake, and its own connection to the endpoint. */
const PEER_TIMEOUT_MS = 500;
const OK = 200;
/** A refusal is a short JSON text; a longer one is not read. */
const MAX_REFUSAL_BYTES = 4_096;
/** Refusals that say nothing about the peer's own links. */
const ABOUT_ENDPOINT: ReadonlySet<RelayCode> = new Set([RelayCode.Unreached, RelayCode.UnknownEndpoint]);

/** Opens relayed connections. */
export class RelayClient {
    private avoided: AvoidedPeers = new Map();
    private opened = 0;

    constructor(private readonly deps: RelayClientDeps) {}

    /**
     * Opens a connection to an endpoint through one of several peers. Rejects with a {@link RelayError}.
     *
     * @param address `ip:port` of the endpoint.
     *
     * @example
     * ```ts
     * const socket = await relays.connect("10.0.0.9:8080", signal);
     * ```
     */
    async connect(address: string, signal: AbortSignal): Promise<RelaySocket> {
        const { clock, random = Math.random } = this.deps;
        const chosen = chooseRelays(this.deps.peers(), this.avoided, MAX_PEERS, clock.now(), random);
        if (chosen.length === 0) {
            throw new RelayError(RelayCode.NoPeer, "no peer is left that could reach the endpoint");
        }
        const starts = chosen.map(peer => (limited: AbortSignal) => this.connectThrough(peer, address, limited));
        return raceStaggered(starts, { delayMs: STAGGER_MS, discard: late => late.destroy(), signal });
    }

    private async connectThrough(peer: RelayPeer, address: string, signal: AbortSignal): Promise<RelaySocket> {
        this.opened += 1;
        const route = { host: peer.name, id: `${this.deps.name}/${this.opened}` };
        try {
            const socket = await withTimeLimit(
                PEER_TIMEOUT_MS,
                signal,
                limited => this.open(peer, address, route, limited),
            );
            this.deps.metrics.countRelay("asked", "relayed");
            return socket;
        }
        catch (err) {
            const failure = err instanceof RelayError ? err : new RelayError(RelayCode.PeerLost, errText(err));
            // Another peer was faster, which says nothing about this one.
            if (signal.aborted) throw failure;
            if (!ABOUT_ENDPOINT.has(failure.code)) {
                const hasRefused = failure.code !== RelayCode.PeerLost;
                this.avoided = avoidPeer(this.avoided, peer.name, hasRefused, this.deps.clock.now());
            }
            this.deps.metrics.countRelay("asked", failure.code);
            this.deps.log.debug(
                { relay: route.id, peer: peer.name, address, code: failure.code },
                "relay_refused",
            );
            throw failure;
        }
    }

    private async open(
        peer: RelayPeer,
        address: string,
        route: RelaySocket["route"],
        signal: AbortSignal,
    ): Promise<RelaySocket> {
        const socket = await this.deps.openStream(peer.address, signal);
        if (signal.aborted) {
            socket.destroy();
            throw signal.reason as Error;
        }
        return exchangeHeads(socket, address, route, signal);
    }
}

/** Sends the request for a connection and waits for the head of its answer. */
function exchangeHeads(
    socket: Socket,
    address: string,
    route: RelaySocket["route"],
    signal: AbortSignal,
): Promise<RelaySocket> {
    // What a cut link holds up must not reach the endpoint through the peer once the call was given up.
    resetWhenDestroyed(socket);
    return new Promise((resolve, reject) => {
        const req = request({
            createConnection: () => socket,
            method: "POST",
            path: relayPath(address),
            headers: { host: "peer", [RELAY_ID_HEADER]: route.id, "transfer-encoding": "chunked" },
        });
        const onAbort = (): void => void req.destroy(signal.reason as Error);
        signal.addEventListener("abort", onAbort, { once: true });
        const onFailed = (err: Error): void => reject(new RelayError(RelayCode.PeerLost, errText(err)));
        req.once("error", onFailed);
        req.once("response", res => {
            signal.removeEventListener("abort", onAbort);
            if (res.statusCode === OK) {
                resolve(new RelaySocket(route, req, res));
                req.off("error", onFailed);
            }
            else {
                req.end();
                void readRefusal(res).then(reject);
            }
        });
        req.flushHeaders();
        socket.resume();
    });
}

async function readRefusal(res: IncomingMessage): Promise<RelayError> {
    let text = "";
    try {
        for await (const chunk of res) {
            text += String(chunk);
            if (text.length > MAX_REFUSAL_BYTES) break;
        }
    }
    catch (err) {
        return new RelayError(RelayCode.PeerLost, errText(err));
    }
    return decodeRelayRefusal(res.statusCode ?? 0, text);
}
