/**
 * Opens connections to endpoints: directly, or through a peer where this host's own link is down.
 *
 * A usual connection is tried directly first. If it is not there soon, a peer is asked as well, and the first to succeed is used. Once
 * the link to the endpoint is known to be down, only peers are asked.
 *
 * @module
 */
import { LinkFailureCause } from "@drumpaddle/hall";
import { errText } from "@drumpaddle/protocol";
import type { Socket } from "node:net";
import { Agent, type buildConnector } from "undici";
import { raceStaggered } from "../relay/race.js";
import type { RelayClient } from "../relay/relay-client.js";
import { type RelayRoute, RelaySocket } from "../relay/relay-socket.js";
import { connectDirectly } from "./connector.js";
import type { LinkMonitor } from "./link-monitor.js";
import { limitAnswers } from "./received-bytes.js";

/** Dependencies of {@link EndpointDialer}. */
export interface EndpointDialerDeps {
    readonly links: Pick<LinkMonitor, "needsRelay" | "failed" | "reachedByPeer">;
    readonly relays: Pick<RelayClient, "connect">;
    /** Address from which connections are opened; undefined to let the system choose. */
    readonly localAddress: string | undefined;
    readonly signal: AbortSignal;
}

/** A direct connection that is not established by then makes the host ask a peer as well; three round trips between regions. */
const ASK_PEER_AFTER_MS = 150;
/** Reports name each run of an endpoint, of which there are some hundreds at most. */
const MAX_CONTROL_ANSWER_BYTES = 1_000_000;
const HTTP_PORT = "80";

/** Opens connections to endpoints. */
export class EndpointDialer {
    constructor(private readonly deps: EndpointDialerDeps) {}

    /** Connector for undici that tries directly and through peers. */
    readonly usual: buildConnector.connector = (options, callback) => {
        const address = addressOf(options);
        if (this.deps.links.needsRelay(address)) return this.relayed(options, callback);
        const ways = [() => this.direct(address), (signal: AbortSignal) => this.insteadOfDirect(address, signal)];
        const cfg = {
            delayMs: ASK_PEER_AFTER_MS,
            discard: (late: Socket) => late.destroy(),
            signal: this.deps.signal,
        };
        settle(raceStaggered<Socket>(ways, cfg), callback);
    };

    /** Connector for undici that asks only peers. */
    readonly relayed: buildConnector.connector = (options, callback) =>
        settle(this.throughPeer(addressOf(options), this.deps.signal), callback);

    /** Connector for undici that asks no peer. */
    readonly directOnly: buildConnector.connector = (options, callback) =>
        settle(this.direct(addressOf(options)), callback);

    /** Connects directly. A failure counts against the host's own link. */
    direct(address: string): Promise<Socket> {
        const separator = address.lastIndexOf(":");
        const target = {
            hostname: address.slice(0, separator),
            port: address.slice(separator + 1),
            protocol: "http:",
            localAddress: this.deps.localAddress ?? null,
        };
        return new Promise((resolve, reject) =>
            connectDirectly(target, (err, socket) => {
                if (socket) return resolve(socket);
                this.deps.links.failed(address, LinkFailureCause.Connect);
                reject(err);
            })
        );
    }

    /** Connects through a peer after a direct connection was not established, which is evidence against the host's own link. */
    private async insteadOfDirect(address: string, signal: AbortSignal): Promise<Socket> {
        const socket = await this.throughPeer(address, signal);
        this.deps.links.reachedByPeer(address);
        return socket;
    }

    private async throughPeer(address: string, signal: AbortSignal): Promise<Socket> {
        try {
            // Undici uses of a socket only what every duplex stream has.
            return await this.deps.relays.connect(address, signal) as unknown as Socket;
        }
        catch (err) {
            throw Object.assign(new Error(`no peer reaches it: ${errText(err)}`, { cause: err }), {
                code: "EHOSTUNREACH",
            });
        }
    }
}

/** Dispatchers for control calls, by the way in which they connect. */
export interface EndpointDispatchers {
    /** As calls of callers do. */
    readonly usual: Agent;
    readonly direct: Agent;
    readonly relayed: Agent;
}

/** Creates dispatchers for control calls. Those of one way only keep no connection for another call. */
export function createDispatchers(dialer: EndpointDialer, signal: AbortSignal): EndpointDispatchers {
    const limited = (connect: buildConnector.connector): buildConnector.connector =>
        limitAnswers(connect, MAX_CONTROL_ANSWER_BYTES);
    const dispatchers = {
        usual: new Agent({ connect: limited(dialer.usual) }),
        direct: new Agent({ connect: limited(dialer.directOnly), pipelining: 0 }),
        relayed: new Agent({ connect: limited(dialer.relayed), pipelining: 0 }),
    };
    signal.addEventListener("abort", () => Object.values(dispatchers).forEach(agent => void agent.destroy()), {
        once: true,
    });
    return dispatchers;
}

/** By which peer a connection is relayed; undefined if it is direct. */
export function routeOf(socket: unknown): RelayRoute | undefined {
    return socket instanceof RelaySocket ? socket.route : undefined;
}

function addressOf({ hostname, port }: buildConnector.Options): string {
    return `${hostname}:${port || HTTP_PORT}`;
}

function settle(connecting: Promise<Socket>, callback: buildConnector.Callback): void {
    connecting.then(socket => callback(null, socket), (err: Error) => callback(err, null));
}
