/**
 * This host's links to the endpoints: what watches them, what opens connections over them or through peers, and what relays connections
 * of peers.
 *
 * @module
 */
import { type Clock, type PlatformWire, withTimeLimit } from "@drumpaddle/protocol";
import type { Socket } from "node:net";
import { RelayClient, type RelayClientDeps } from "../relay/relay-client.js";
import { RelayCode, RelayError } from "../relay/relay-protocol.js";
import { RelayServer } from "../relay/relay-server.js";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { callEndpoint } from "./call-endpoint.js";
import { createDispatchers, EndpointDialer, type EndpointDispatchers } from "./dialer.js";
import { LinkMonitor, type LinkMonitorDeps } from "./link-monitor.js";

/** Dependencies of {@link createEndpointLinks}. */
export interface EndpointLinksDeps
    extends
        Pick<LinkMonitorDeps, "addresses" | "mayProbe" | "onReached" | "onCutOff">,
        Pick<RelayClientDeps, "peers" | "openStream">
{
    readonly name: string;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly wire: PlatformWire;
    readonly signal: AbortSignal;
    /** Address from which connections to endpoints are opened; undefined to let the system choose. */
    readonly localAddress: string | undefined;
    /** Memory for what is held for others, in bytes; undefined if it is not bounded. */
    readonly budgetBytes: number | undefined;
    isStopping(): boolean;
    /** Whether the host has file descriptors left for one more call. */
    hasDescriptors(): boolean;
}

/** The links of one host. */
export interface EndpointLinks {
    readonly monitor: LinkMonitor;
    readonly dialer: EndpointDialer;
    readonly dispatchers: EndpointDispatchers;
    readonly relays: RelayServer;
}

/** Time limits of probes. Endpoints of the same region answer within 10 ms, but a peer may be busy. */
const PROBE_TIMEOUT_MS = { direct: 250, relayed: 1_000 } as const;
/** A link that resets new connections has done so by then. */
const RESET_WAIT_MS = 50;
/** Time limit of a connection that is opened for a peer: shorter than the peer's own, which includes its handshake. */
const PEER_CONNECT_TIMEOUT_MS = 400;
/** Share of the memory for others that relayed connections may fill. */
const RELAY_MEMORY_SHARE = 0.25;
/** What a relayed connection holds at most: the buffers of both directions. */
const RELAY_BYTES = 131_072;
const MIN_RELAYS = 8;

/** Creates the links; the monitor is not started. */
export function createEndpointLinks(deps: EndpointLinksDeps): EndpointLinks {
    const { name, clock, log, metrics, wire, signal } = deps;
    const relayClient = new RelayClient({
        name,
        clock,
        log,
        metrics,
        signal,
        peers: () => deps.peers(),
        openStream: (address, limited) => deps.openStream(address, limited),
    });
    const monitor: LinkMonitor = new LinkMonitor({
        clock,
        log,
        metrics,
        signal,
        addresses: deps.addresses,
        mayProbe: deps.mayProbe,
        probe: async (address, way) => {
            try {
                if (way === "connection") return await staysOpen(await dialer.direct(address));
                await callEndpoint(address, wire.leavingCall(), PROBE_TIMEOUT_MS[way], signal, dispatchers[way]);
                return true;
            }
            catch {
                return false;
            }
        },
        onCutOff: since => {
            relays.breakSilent(since);
            deps.onCutOff(since);
        },
        onReached: deps.onReached,
    });
    const dialer = new EndpointDialer({ links: monitor, relays: relayClient, localAddress: deps.localAddress, signal });
    const dispatchers = createDispatchers(dialer, signal);
    const maxRelays = maxRelaysWithin(deps.budgetBytes);
    const relays: RelayServer = new RelayServer({
        clock,
        log,
        metrics,
        signal,
        knowsEndpoint: address => deps.addresses().includes(address),
        refusal: open => {
            if (deps.isStopping()) return new RelayError(RelayCode.Stopping, "this host is stopping");
            if (monitor.isCutOff) return new RelayError(RelayCode.CutOff, "this host is cut off from the endpoints");
            const hasRoom = open < maxRelays && deps.hasDescriptors();
            return hasRoom ? undefined : new RelayError(RelayCode.NoRoom, `this host relays ${open} connections`);
        },
        connect: (address, limited) => connectInTime(dialer, address, limited),
    });
    return { monitor, dialer, dispatchers, relays };
}

/** Connects for a peer; closes a connection that is established too late. */
async function connectInTime(dialer: EndpointDialer, address: string, signal: AbortSignal): Promise<Socket> {
    const connecting = dialer.direct(address);
    try {
        return await withTimeLimit(PEER_CONNECT_TIMEOUT_MS, signal, () => connecting);
    }
    catch (err) {
        connecting.then(late => late.destroy(), () => undefined);
        throw err;
    }
}

/** Whether a new connection is not reset at once; closes it. */
async function staysOpen(socket: Socket): Promise<boolean> {
    const reset = new Promise<boolean>(resolve => socket.once("error", () => resolve(false)));
    const kept = new Promise<boolean>(resolve => setTimeout(() => resolve(true), RESET_WAIT_MS));
    const isOpen = await Promise.race([reset, kept]);
    socket.destroy();
    return isOpen;
}

/** How many relayed connections a memory budget allows. */
function maxRelaysWithin(budgetBytes: number | undefined): number {
    if (budgetBytes === undefined) return Infinity;
    return Math.max(MIN_RELAYS, Math.floor(budgetBytes * RELAY_MEMORY_SHARE / RELAY_BYTES));
}
