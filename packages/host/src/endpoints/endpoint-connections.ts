/**
 * Connections to endpoints. Each carries one call at a time, so that the outcome of a call can be read from its own connection:
 * whether its first byte was sent, and whether its answer ended in an orderly way.
 *
 * @module
 */
import { LinkFailureCause } from "@drumpaddle/hall";
import type { Clock, RawHeaders } from "@drumpaddle/protocol";
import type { Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";
import type { RelayRoute } from "../relay/relay-socket.js";
import { connectDirectly, reportSocketEnds } from "./connector.js";
import { routeOf } from "./dialer.js";
import { destroyOnError, onBytesRead, ReceivedBytes } from "./received-bytes.js";

/** One call as it is sent to an endpoint. */
export interface OutgoingCall {
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /**
     * Connections that carried the call before: it is not sent on them again, as the answer to its earlier attempt may be repeated
     * there.
     */
    readonly usedConnections?: ReadonlySet<number>;
}

/** On which connection a call is sent. */
export interface ConnectionUse {
    /** Number of the connection, unique in the process. */
    readonly connection: number;
    /** How many calls the connection has been used for, this one included. */
    readonly calls: number;
    /** By which peer the connection is relayed; undefined if it is direct. */
    readonly route: RelayRoute | undefined;
}

/** Receives the progress of one call, in the order of these methods; `onEnd` or `onBroken` is called last. */
export interface ExchangeSink {
    /** The first byte is about to be sent. If this throws, none is, and `onBroken` is called. */
    onSending(use: ConnectionUse): void;
    onHead(status: number, headers: RawHeaders): void;
    onData(chunk: Buffer): void;
    /**
     * The answer has ended. `orderly` is false if the connection was reset: an answer without a length is then not known to be
     * complete.
     */
    onEnd(orderly: boolean): void;
    onBroken(err: Error): void;
}

/** A call in progress. */
export interface Exchange {
    pause(): void;
    resume(): void;
    /** Bytes of the call that have not been handed to the operating system yet. */
    readonly unsentBytes: number;
    /**
     * Keeps the connection for another call, once the answer is complete.
     *
     * @param keepAliveMs For how long the endpoint said that it keeps idle connections open.
     */
    release(keepAliveMs: number | undefined): void;
    /** Closes the connection, also in the middle of a call. */
    destroy(): void;
}

/** Listeners for events of connections, by the endpoint's address. */
export interface ConnectionListeners {
    /** A connection was established, or an answer began. */
    readonly onAnswered?: (address: string) => void;
    /** A connection could not be established. */
    readonly onUnreachable?: (address: string) => void;
    /** An endpoint closed an idle connection before the keep-alive time that it had announced. */
    readonly onClosedWhileIdle?: (address: string) => void;
    /** A call is about to be sent on a direct connection. */
    readonly onSent?: () => void;
    /** Something was received on a direct connection. `isFirst`: it is the first thing on this connection. */
    readonly onReceived?: (address: string, isFirst: boolean) => void;
    /** A new direct connection ended before anything was received on it. */
    readonly onLinkFailed?: (address: string, cause: LinkFailureCause) => void;
}

/** A connection that was idle for longer is not reused: the endpoint may have dropped it. */
const MAX_IDLE_MS = 3_000;
/** A connection is not reused within this time of the moment when the endpoint would close it. */
const IDLE_MARGIN_MS = 1_000;
/** The heads of an answer, interim ones included, are much smaller. */
const MAX_SURPLUS_BYTES = 1_000_000;
/** Turns off undici's own timeouts for headers and body: the caller of {@link EndpointConnections.send} enforces the deadline. */
const NO_TIMEOUT = 0;

const NO_CONNECTIONS: ReadonlySet<number> = new Set();

interface Connection {
    readonly id: number;
    readonly client: Client;
    /** Number of calls that were sent on it. */
    calls: number;
    /** Undefined until the connection is established. */
    socket: Socket | undefined;
    /** By which peer it is relayed; undefined if it is direct. */
    route: RelayRoute | undefined;
    /** When something was last received on it; -Infinity if nothing was. */
    heardAt: number;
    /** Whether its socket was reset or failed. */
    failed: boolean;
    /** Whether its socket has ended; the rest of an answer is then read at once, and `pause` has no effect. */
    ended: boolean;
    /** Until when it may be reused, on the monotonic clock. */
    usableUntil: number;
    /** Until when the endpoint promised to keep it open while idle, less the margin; -Infinity if it made no promise. */
    keepAliveUntil: number;
    /** Resumes reading the answer of the call in progress, if there is one. */
    resumeReading: () => void;
    /** Limits what comes beside the answer of the call in progress. */
    readonly received: ReceivedBytes;
}

/** How connections are opened. */
export interface ConnectionWays {
    readonly dial: buildConnector.connector;
    /** When this host lost its links to the endpoints; undefined if it has them. */
    cutOffSince(): number | undefined;
}

const DIRECT_ONLY: ConnectionWays = { dial: connectDirectly, cutOffSince: () => undefined };

/** The connections to one address. */
interface AddressConnections {
    readonly open: Set<Connection>;
    /** When something was last received on one of them. */
    heardAt: number;
}

/** All connections of this host to endpoints. */
export class EndpointConnections {
    private readonly idle = new Map<string, Connection[]>();
    private readonly all = new Set<Connection>();
    /** The connections in {@link all} by address; an address without any has no entry. */
    private readonly byAddress = new Map<string, AddressConnections>();
    /** Number of connections opened so far. */
    private opened = 0;

    constructor(
        signal: AbortSignal,
        private readonly clock: Clock,
        private readonly onOpened: () => void,
        private readonly listeners: ConnectionListeners = {},
        private readonly ways: ConnectionWays = DIRECT_ONLY,
    ) {
        signal.addEventListener("abort", () => {
            for (const { client } of this.all) void client.destroy();
        }, { once: true });
    }

    /** Time since something was last received on a connection to an address, in milliseconds; Infinity if nothing was. */
    silentMs(address: string): number {
        return this.clock.now() - (this.byAddress.get(address)?.heardAt ?? -Infinity);
    }

    /** Whether a connection to an address is open, so that the end of the process there is noticed. */
    isConnected(address: string): boolean {
        const open = this.byAddress.get(address)?.open ?? [];
        return [...open].some(({ socket, ended }) => socket !== undefined && !ended);
    }

    /** Number of connections, in use or idle. */
    get size(): number {
        return this.all.size;
    }

    /**
     * Sends a call to an endpoint's address, on an idle connection or a new one.
     *
     * @example
     * ```ts
     * const exchange = connections.send("10.0.0.9:8080", call, sink);
     * ```
     */
    send(address: string, call: OutgoingCall, sink: ExchangeSink): Exchange {
        const connection = this.takeIdle(address, call.usedConnections) ?? this.open(address);
        const state: { controller?: Dispatcher.DispatchController; done: boolean } = { done: false };
        const drop = (): void => this.close(address, connection);
        connection.client.dispatch({
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body ?? null,
            headersTimeout: NO_TIMEOUT,
            bodyTimeout: NO_TIMEOUT,
        }, {
            onRequestStart: controller => {
                state.controller = controller;
                connection.resumeReading = () => controller.resume();
                if (!connection.route) this.listeners.onSent?.();
                connection.calls += 1;
                connection.received.reset();
                sink.onSending({ connection: connection.id, calls: connection.calls, route: connection.route });
            },
            onResponseStart: (controller, status) => {
                this.noteReceived(address, connection);
                this.listeners.onAnswered?.(address);
                sink.onHead(status, headerTexts(controller.rawHeaders));
            },
            onResponseData: (_controller, chunk) => {
                this.noteReceived(address, connection);
                connection.received.acceptBody(chunk.length);
                sink.onData(chunk);
            },
            onResponseEnd: () => {
                state.done = true;
                sink.onEnd(!connection.failed);
            },
            onResponseError: (_controller, err) => {
                state.done = true;
                this.reportFailedLink(address, connection);
                drop();
                sink.onBroken(err);
            },
        });
        return {
            pause: () => {
                if (!connection.ended) state.controller?.pause();
            },
            resume: () => state.controller?.resume(),
            get unsentBytes() {
                return connection.socket?.writableLength ?? 0;
            },
            release: keepAliveMs => this.keepIdle(address, connection, keepAliveMs),
            destroy: drop,
        };
    }

    /** Closes all idle connections to an address. */
    closeIdle(address: string): void {
        for (const connection of this.idle.get(address) ?? []) this.close(address, connection);
        this.idle.delete(address);
    }

    /**
     * Closes the direct connections that have brought nothing since this host lost its links. Calls on them may continue elsewhere. If
     * something was received on any direct connection, the link keeps those that are open, and those with a call stay.
     */
    closeSuspect(): void {
        const direct = [...this.byAddress].flatMap(([address, { open }]) =>
            [...open].filter(({ route, socket }) => !route && socket).map(connection => ({ address, connection }))
        );
        const keepsOpen = direct.some(({ connection }) => !this.isSuspect(connection));
        for (const { address, connection } of direct) {
            const isIdle = this.idle.get(address)?.includes(connection) === true;
            if (this.isSuspect(connection) && (isIdle || !keepsOpen)) this.close(address, connection);
        }
    }

    /** Closes all idle connections. */
    closeAllIdle(): void {
        for (const address of [...this.idle.keys()]) this.closeIdle(address);
    }

    private takeIdle(address: string, except: ReadonlySet<number> = NO_CONNECTIONS): Connection | undefined {
        const idle = this.idle.get(address) ?? [];
        const now = this.clock.now();
        for (;;) {
            const place = idle.findLastIndex(({ id }) => !except.has(id));
            const [connection] = place < 0 ? [] : idle.splice(place, 1);
            if (!connection) return undefined;
            const isUsable = !connection.client.destroyed && !connection.failed && now < connection.usableUntil;
            if (isUsable && !this.isSuspect(connection)) return connection;
            this.close(address, connection);
        }
    }

    /** Whether a direct connection has brought nothing since this host lost its links. */
    private isSuspect({ route, heardAt }: Connection): boolean {
        const since = this.ways.cutOffSince();
        return since !== undefined && !route && heardAt < since;
    }

    private open(address: string): Connection {
        const connectReportingEnds = reportSocketEnds(this.ways.dial, failed => {
            connection.failed ||= failed;
            connection.ended = true;
            // Undici's parser throws an uncaught exception if the socket ends while the parser is paused.
            connection.resumeReading();
        });
        this.opened += 1;
        const connection: Connection = {
            id: this.opened,
            calls: 0,
            socket: undefined,
            route: undefined,
            heardAt: -Infinity,
            failed: false,
            ended: false,
            usableUntil: 0,
            keepAliveUntil: -Infinity,
            resumeReading: () => undefined,
            received: new ReceivedBytes(MAX_SURPLUS_BYTES),
            client: new Client(`http://${address}`, {
                pipelining: 1,
                connect: (options, callback) =>
                    connectReportingEnds(options, (...result) => {
                        const [, socket] = result;
                        if (socket) {
                            connection.socket = socket;
                            connection.route = routeOf(socket);
                            onBytesRead(
                                socket,
                                bytes => destroyOnError(socket, connection.received.add(bytes)),
                            );
                            this.reportConnected(address);
                        }
                        // If the call was cancelled, the failure says nothing about the network.
                        else if (!connection.client.destroyed) this.listeners.onUnreachable?.(address);
                        callback(...result);
                    }),
            }),
        };
        connection.client.on("disconnect", () => {
            const isIdle = this.idle.get(address)?.includes(connection) === true;
            if (isIdle && this.clock.now() < connection.keepAliveUntil) this.listeners.onClosedWhileIdle?.(address);
            this.close(address, connection);
        });
        this.add(address, connection);
        return connection;
    }

    private add(address: string, connection: Connection): void {
        this.all.add(connection);
        const known = this.byAddress.get(address);
        if (known) known.open.add(connection);
        else this.byAddress.set(address, { open: new Set([connection]), heardAt: -Infinity });
    }

    private reportConnected(address: string): void {
        this.onOpened();
        this.noteHeard(address);
        this.listeners.onAnswered?.(address);
    }

    private noteReceived(address: string, connection: Connection): void {
        const isFirst = connection.heardAt === -Infinity;
        connection.heardAt = this.clock.now();
        this.noteHeard(address);
        if (!connection.route) this.listeners.onReceived?.(address, isFirst);
    }

    /** Reports a direct connection that the network has ended before anything was received on it. */
    private reportFailedLink(address: string, connection: Connection): void {
        const isOwnDoing = !this.all.has(connection);
        const { socket, route, heardAt } = connection;
        if (isOwnDoing || !socket || route || heardAt !== -Infinity) return;
        this.listeners.onLinkFailed?.(address, LinkFailureCause.Closed);
    }

    private noteHeard(address: string): void {
        const known = this.byAddress.get(address);
        if (known) known.heardAt = this.clock.now();
    }

    private keepIdle(address: string, connection: Connection, keepAliveMs: number | undefined): void {
        const idleMs = Math.min(MAX_IDLE_MS, (keepAliveMs ?? Infinity) - IDLE_MARGIN_MS);
        if (idleMs <= 0 || connection.failed || !this.all.has(connection)) return this.close(address, connection);
        const now = this.clock.now();
        connection.usableUntil = now + idleMs;
        connection.keepAliveUntil = keepAliveMs === undefined ? -Infinity : now + keepAliveMs - IDLE_MARGIN_MS;
        const idle = this.idle.get(address);
        if (idle) idle.push(connection);
        else this.idle.set(address, [connection]);
    }

    private close(address: string, connection: Connection): void {
        if (!this.all.delete(connection)) return;
        const known = this.byAddress.get(address);
        known?.open.delete(connection);
        if (known?.open.size === 0) this.byAddress.delete(address);
        const idle = this.idle.get(address);
        if (idle?.includes(connection)) this.idle.set(address, idle.filter(other => other !== connection));
        void connection.client.destroy();
    }
}

/** Raw headers as strings. Undici's object form of raw headers does not occur with HTTP/1.1. */
function headerTexts(headers: Dispatcher.DispatchController["rawHeaders"]): string[] {
    if (!Array.isArray(headers)) return [];
    return headers.map(text => typeof text === "string" ? text : text.toString("latin1"));
}
