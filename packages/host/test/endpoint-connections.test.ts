import { createClock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { EndpointConnections, type Exchange } from "../src/endpoints/endpoint-connections.js";

interface Endpoint {
    readonly address: string;
    readonly sockets: Socket[];
}

/** An endpoint that never reads; closing it with bytes unread resets the connection. */
async function deafEndpoint(t: ExecutionContext, onSocket: (socket: Socket) => void): Promise<Endpoint> {
    const sockets: Socket[] = [];
    const server = createServer({ pauseOnConnect: true }, socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        onSocket(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        for (const socket of sockets) socket.destroy();
        server.close();
    });
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets };
}

type Ended = "orderly" | "reset" | "broken";

interface Sent {
    readonly exchange: Exchange;
    readonly ended: Promise<Ended>;
    readonly sent: () => boolean;
    /** Resolves when the first byte is about to leave. */
    readonly sending: Promise<void>;
    /** Resolves with the first bytes of the body. */
    readonly data: Promise<void>;
}

function connectionsOf(t: ExecutionContext): { connections: EndpointConnections; opened: () => number } {
    const own = new AbortController();
    t.teardown(() => own.abort());
    let opened = 0;
    const connections = new EndpointConnections(own.signal, createClock(), () => opened += 1);
    return { connections, opened: () => opened };
}

function send(connections: EndpointConnections, address: string): Sent {
    let sent = false;
    let end: (ended: Ended) => void = () => undefined;
    const ended = new Promise<Ended>(resolve => end = resolve);
    let onSending: () => void = () => undefined;
    const sending = new Promise<void>(resolve => onSending = resolve);
    let onData: () => void = () => undefined;
    const data = new Promise<void>(resolve => onData = resolve);
    const exchange = connections.send(address, { method: "GET", path: "/", headers: [], body: undefined }, {
        onSending: () => {
            sent = true;
            onSending();
        },
        onHead: () => undefined,
        onData: () => onData(),
        onEnd: orderly => end(orderly ? "orderly" : "reset"),
        onBroken: () => end("broken"),
    });
    return { exchange, ended, sent: () => sent, sending, data };
}

const UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of it";
const WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const AFTER_DATA_MS = 50;
const SLICES = 4;

/** Waits for a time in which the process could read: Node runs timers first, so that of a delay of its own one slice counts at most. */
async function awakeFor(ms: number): Promise<void> {
    for (let slice = 0; slice < SLICES; slice++) await new Promise(resolve => setTimeout(resolve, ms / SLICES));
}

test("an answer without a length that ends with an orderly close ends orderly", async t => {
    const { connections } = connectionsOf(t);
    const { address } = await deafEndpoint(t, socket => {
        socket.resume();
        socket.end(UNFRAMED);
    });
    t.is(await send(connections, address).ended, "orderly");
});

test("an answer without a length whose connection is reset does not end orderly", async t => {
    const { connections } = connectionsOf(t);
    const { address, sockets } = await deafEndpoint(t, () => undefined);
    const call = send(connections, address);
    // The request is in the endpoint's buffer before it answers, and the answer with its caller before it closes: with
    // bytes unread, that resets the connection.
    await call.sending;
    await new Promise(resolve => setImmediate(resolve));
    sockets[0]!.write(UNFRAMED);
    await call.data;
    sockets[0]!.destroy();
    t.not(await call.ended, "orderly");
});

test("an answer with a length that stops short is broken", async t => {
    const { connections } = connectionsOf(t);
    const { address } = await deafEndpoint(t, socket => {
        socket.resume();
        socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    });
    t.is(await send(connections, address).ended, "broken");
});

test("a call to an address where nothing listens never left", async t => {
    const { connections } = connectionsOf(t);
    const { address, sockets } = await deafEndpoint(t, () => undefined);
    t.is(sockets.length, 0);
    const call = send(connections, address.replace(/:\d+$/, ":1"));
    t.is(await call.ended, "broken");
    t.false(call.sent());
});

test("a connection is used again after a whole answer, and not once it was closed or spoke unasked", async t => {
    const { connections, opened } = connectionsOf(t);
    const { address, sockets } = await deafEndpoint(t, socket => {
        socket.resume();
        socket.on("data", () => socket.write(WHOLE));
    });
    const answered = async (): Promise<void> => {
        const { exchange, ended } = send(connections, address);
        t.is(await ended, "orderly");
        exchange.release(undefined);
    };
    await answered();
    await answered();
    t.is(opened(), 1);
    sockets[0]!.write("bytes that belong to no call");
    await awakeFor(AFTER_DATA_MS);
    await answered();
    t.is(opened(), 2);
    sockets[1]!.destroy();
    await awakeFor(AFTER_DATA_MS);
    await answered();
    t.is(opened(), 3);
});

test("a connection that rested too long for its endpoint is not used again", async t => {
    const { connections, opened } = connectionsOf(t);
    const { address } = await deafEndpoint(t, socket => {
        socket.resume();
        socket.on("data", () => socket.write(WHOLE));
    });
    for (let at = 0; at < 2; at++) {
        const { exchange, ended } = send(connections, address);
        await ended;
        // The endpoint keeps idle connections for as long as the margin: none is left.
        exchange.release(1_000);
    }
    t.is(opened(), 2);
});

/** What ends a connection at rest, and whether its endpoint ended it early. */
const ENDS_AT_REST: Readonly<
    Record<string, {
        /** How long the endpoint says that it keeps a connection, in milliseconds. */
        readonly keepMs: number | undefined;
        readonly end: (sockets: readonly Socket[], connections: EndpointConnections, address: string) => void;
        readonly isEarly: boolean;
    }>
> = {
    "its endpoint, before its time": { keepMs: 5_000, end: ([socket]) => void socket!.end(), isEarly: true },
    "a reset, before its time": { keepMs: 5_000, end: ([socket]) => void socket!.resetAndDestroy(), isEarly: true },
    "its endpoint, which did not say when": {
        keepMs: undefined,
        end: ([socket]) => void socket!.end(),
        isEarly: false,
    },
    "this host": {
        keepMs: 5_000,
        end: (_sockets, connections, address) => connections.forget(address),
        isEarly: false,
    },
};

for (const [name, { keepMs, end, isEarly }] of Object.entries(ENDS_AT_REST)) {
    test(`a connection at rest that is ended by ${name} is ${isEarly ? "" : "not "}told as ended early`, async t => {
        const own = new AbortController();
        t.teardown(() => own.abort());
        const early: string[] = [];
        const connections = new EndpointConnections(
            own.signal,
            createClock(),
            () => undefined,
            { onEndedAtRest: address => void early.push(address) },
        );
        const { address, sockets } = await deafEndpoint(t, socket => {
            socket.resume();
            socket.write(WHOLE);
        });
        const call = send(connections, address);
        await call.ended;
        call.exchange.release(keepMs);
        t.is(connections.size, 1);
        end(sockets, connections, address);
        await awakeFor(AFTER_DATA_MS);
        t.is(connections.size, 0);
        t.deepEqual(early, isEarly ? [address] : []);
    });
}

/** What a host is told of the ways to addresses. */
function signsOf(t: ExecutionContext): { readonly connections: EndpointConnections; readonly told: readonly string[] } {
    const own = new AbortController();
    t.teardown(() => own.abort());
    const told: string[] = [];
    const connections = new EndpointConnections(own.signal, createClock(), () => undefined, {
        onAnswered: address => void told.push(`answered ${address}`),
        onUnreachable: address => void told.push(`unreachable ${address}`),
    });
    return { connections, told };
}

test("that a connection came up and that an answer began is told, also on a connection that is used again", async t => {
    const { connections, told } = signsOf(t);
    const { address } = await deafEndpoint(t, socket => {
        socket.resume();
        socket.on("data", () => socket.write(WHOLE));
    });
    for (let times = 0; times < 2; times++) {
        const call = send(connections, address);
        await call.ended;
        call.exchange.release(5_000);
    }
    t.deepEqual(told, [1, 2, 3].map(() => `answered ${address}`));
});

test("that no connection came up is told", async t => {
    const { connections, told } = signsOf(t);
    await send(connections, "127.0.0.1:1").ended;
    t.deepEqual(told, ["unreachable 127.0.0.1:1"]);
});
