/**
 * Connections to endpoints, one call at a time on each, so that what becomes of a call is known from its own connection:
 * whether its first byte left, and whether its end was an orderly one.
 *
 * @module
 */
import type { Clock, RawHeaders } from "@drumpaddle/protocol";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import { reportSocketEnds } from "./connector.js";

/** One call as it is written to an endpoint. */
export interface OutgoingCall {
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** What a call's connection reports, in order; `onEnd` or `onBroken` comes last. */
export interface ExchangeSink {
    /** The first byte is about to leave. */
    onSending(): void;
    onHead(status: number, headers: RawHeaders): void;
    onData(chunk: Buffer): void;
    /** The answer is whole; `orderly` is false where its connection was reset, which ends no answer without a length. */
    onEnd(orderly: boolean): void;
    onBroken(err: Error): void;
}

/** A call that is on its way. */
export interface Exchange {
    pause(): void;
    resume(): void;
    /** Bytes of the call that the endpoint has not taken yet, nor the system for it. */
    readonly unsentBytes: number;
    /** Keeps the connection for another call, once the answer is whole. */
    release(keepMs: number | undefined): void;
    /** Closes the connection, whatever is on it. */
    destroy(): void;
}

/** Told what becomes of connections to an address. */
export interface ConnectionListeners {
    /** A connection came up, or an answer began. */
    readonly onAnswered?: (address: string) => void;
    /** No connection came up. */
    readonly onUnreachable?: (address: string) => void;
    /** An endpoint ended a connection at rest before the time for which it said it would keep it. */
    readonly onEndedAtRest?: (address: string) => void;
}

/** Time for a connection to come up: the networks of a region answer within milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/** A connection that rested longer is not used again: endpoints may have forgotten it. */
const MAX_IDLE_MS = 3_000;
/** A connection is given up this long before the endpoint would close it. */
const IDLE_MARGIN_MS = 1_000;
/** Probes on silent connections begin after this. */
const TCP_PROBE_DELAY_MS = 1_000;
/** Undici's own limits on silence are off: a call's deadline ends it. */
const NO_TIMEOUT = 0;

interface Connection {
    readonly client: Client;
    /** Undefined until the connection is up. */
    socket: Socket | undefined;
    /** Whether its socket was reset or failed, as opposed to an orderly end. */
    failed: boolean;
    /** Whether its socket has ended: what is left of an answer is taken at once. */
    ended: boolean;
    usableUntil: number;
    /** Until when its endpoint said that it keeps the connection at rest; -Infinity where it did not say. */
    keepAliveUntil: number;
    /** Reads on, where a call is on its way. */
    resumeReading: () => void;
}

const connector = buildConnector({
    timeout: CONNECT_TIMEOUT_MS,
    keepAlive: true,
    keepAliveInitialDelay: TCP_PROBE_DELAY_MS,
});

/** Connections of one host to all endpoints. */
export class EndpointConnections {
    private readonly idle = new Map<string, Connection[]>();
    private readonly all = new Set<Connection>();

    constructor(
        signal: AbortSignal,
        private readonly clock: Clock,
        private readonly onOpened: () => void,
        private readonly listeners: ConnectionListeners = {},
    ) {
        signal.addEventListener("abort", () => {
            for (const { client } of this.all) void client.destroy();
        }, { once: true });
    }

    /** Open connections, used and idle. */
    get size(): number {
        return this.all.size;
    }

    /**
     * Sends a call to an address.
     *
     * @example
     * ```ts
     * const exchange = connections.send("10.0.0.9:8080", call, sink);
     * ```
     */
    send(address: string, call: OutgoingCall, sink: ExchangeSink): Exchange {
        const connection = this.takeIdle(address) ?? this.open(address);
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
                sink.onSending();
            },
            onResponseStart: (controller, status) => {
                this.listeners.onAnswered?.(address);
                sink.onHead(status, headerTexts(controller.rawHeaders));
            },
            onResponseData: (_controller, chunk) => sink.onData(chunk),
            onResponseEnd: () => {
                state.done = true;
                sink.onEnd(!connection.failed);
            },
            onResponseError: (_controller, err) => {
                state.done = true;
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
            release: keepMs => this.keepIdle(address, connection, keepMs),
            destroy: drop,
        };
    }

    /** Closes all idle connections to an address. */
    forget(address: string): void {
        for (const connection of this.idle.get(address) ?? []) this.close(address, connection);
        this.idle.delete(address);
    }

    /** Closes all idle connections. */
    forgetAll(): void {
        for (const address of [...this.idle.keys()]) this.forget(address);
    }

    private takeIdle(address: string): Connection | undefined {
        const idle = this.idle.get(address);
        const now = this.clock.now();
        for (;;) {
            const connection = idle?.pop();
            if (!connection) return undefined;
            if (!connection.client.destroyed && !connection.failed && now < connection.usableUntil) return connection;
            this.close(address, connection);
        }
    }

    private open(address: string): Connection {
        const connectReportingEnds = reportSocketEnds(connector, failed => {
            connection.failed ||= failed;
            connection.ended = true;
            // Undici's parser throws where it ends while it is paused, which nothing catches.
            connection.resumeReading();
        });
        const connection: Connection = {
            socket: undefined,
            failed: false,
            ended: false,
            usableUntil: 0,
            keepAliveUntil: -Infinity,
            resumeReading: () => undefined,
            client: new Client(`http://${address}`, {
                pipelining: 1,
                connect: (options, callback) =>
                    connectReportingEnds(options, (...result) => {
                        const [, socket] = result;
                        if (socket) {
                            connection.socket = socket;
                            this.reportConnected(address);
                        }
                        // A call that was given up says nothing of the way.
                        else if (!connection.client.destroyed) this.listeners.onUnreachable?.(address);
                        callback(...result);
                    }),
            }),
        };
        connection.client.on("disconnect", () => {
            const isIdle = this.idle.get(address)?.includes(connection) === true;
            if (isIdle && this.clock.now() < connection.keepAliveUntil) this.listeners.onEndedAtRest?.(address);
            this.close(address, connection);
        });
        this.all.add(connection);
        return connection;
    }

    private reportConnected(address: string): void {
        this.onOpened();
        this.listeners.onAnswered?.(address);
    }

    private keepIdle(address: string, connection: Connection, keepMs: number | undefined): void {
        const idleMs = Math.min(MAX_IDLE_MS, (keepMs ?? Infinity) - IDLE_MARGIN_MS);
        if (idleMs <= 0 || connection.failed || !this.all.has(connection)) return this.close(address, connection);
        const now = this.clock.now();
        connection.usableUntil = now + idleMs;
        connection.keepAliveUntil = keepMs === undefined ? -Infinity : now + keepMs - IDLE_MARGIN_MS;
        const idle = this.idle.get(address);
        if (idle) idle.push(connection);
        else this.idle.set(address, [connection]);
    }

    private close(address: string, connection: Connection): void {
        if (!this.all.delete(connection)) return;
        const idle = this.idle.get(address);
        if (idle?.includes(connection)) this.idle.set(address, idle.filter(other => other !== connection));
        void connection.client.destroy();
    }
}

/** Headers as they came; the table form is never used for HTTP/1.1. */
function headerTexts(headers: Dispatcher.DispatchController["rawHeaders"]): string[] {
    if (!Array.isArray(headers)) return [];
    return headers.map(text => typeof text === "string" ? text : text.toString("latin1"));
}
