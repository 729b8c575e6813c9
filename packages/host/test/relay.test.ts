/**
 * Tests connections to endpoints that peers relay, over real streams between hosts.
 */
import {
    createClock,
    encodeFrame,
    type FrameMessage,
    FrameReader,
    openPeerStream,
    type PeerError,
    PeerMesh,
    PeerStreamError,
} from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { text } from "node:stream/consumers";
import { raceStaggered } from "../src/relay/race.js";
import { RelayClient } from "../src/relay/relay-client.js";
import { RelayCode, RelayError } from "../src/relay/relay-protocol.js";
import { RelayServer } from "../src/relay/relay-server.js";
import type { RelaySocket } from "../src/relay/relay-socket.js";
import { createLog } from "../src/runtime/log.js";

const SECRET = "a-secret-of-these-tests";
/** The time limit for one peer. */
const PEER_TIMEOUT_MS = 500;
const log = createLog("error", process.stderr);
const metrics = { countRelay: () => undefined };

/** Runs a function for each connection of a TCP server on the loopback interface; returns its address. */
async function startEndpoint(t: ExecutionContext, serve: (socket: Socket) => void): Promise<string> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        t.teardown(() => socket.destroy());
        serve(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

interface TestPeer {
    readonly name: string;
    readonly address: string;
    readonly weight: number;
    readonly server: RelayServer;
    readonly errors: PeerError[];
    /** Codes of the errors of the streams that it accepted. */
    readonly streamErrors: string[];
    /** Ends the peer as a crash does. */
    readonly kill: () => void;
}

/** Starts a peer that relays connections to the given endpoints. */
async function startPeer(
    t: ExecutionContext,
    name: string,
    endpoints: readonly string[],
    refusal: () => RelayError | undefined = () => undefined,
): Promise<TestPeer> {
    const controller = new AbortController();
    const clock = createClock();
    const sockets = new Set<Socket>();
    const server = new RelayServer({
        clock,
        log,
        metrics,
        signal: new AbortController().signal,
        knowsEndpoint: address => endpoints.includes(address),
        refusal,
        connect: async address => {
            const [host, port] = address.split(":");
            const socket = connect(Number(port), host);
            sockets.add(socket);
            await once(socket, "connect");
            return socket;
        },
    });
    const errors: PeerError[] = [];
    const streamErrors: string[] = [];
    const mesh = await PeerMesh.listen({
        name,
        listen: { ip: "127.0.0.1", port: 0 },
        secrets: [SECRET],
        onMessage: () => undefined,
        onError: (_peer, err) => errors.push(err),
        onBytes: () => undefined,
        onStream: (from, socket) => {
            sockets.add(socket);
            socket.on("error", (err: NodeJS.ErrnoException) => streamErrors.push(err.code ?? ""));
            server.accept(from, socket);
        },
        clock,
        signal: controller.signal,
    });
    const kill = (): void => {
        controller.abort();
        for (const socket of sockets) socket.destroy();
    };
    t.teardown(kill);
    return { name, address: mesh.at, weight: 1, server, errors, streamErrors, kill };
}

function startClient(
    t: ExecutionContext,
    peers: readonly Pick<TestPeer, "name" | "address" | "weight">[],
): RelayClient {
    const controller = new AbortController();
    t.teardown(() => controller.abort());
    return new RelayClient({
        name: "asking",
        clock: createClock(),
        log,
        metrics,
        signal: controller.signal,
        peers: () => peers,
        openStream: (to, signal) => openStream(to, signal),
    });
}

function openStream(to: string, signal = new AbortController().signal, secret = SECRET): Promise<Socket> {
    return openPeerStream({ name: "asking", address: "127.0.0.1:1", secrets: [secret], to, signal });
}

function connectThrough(client: RelayClient, endpoint: string): Promise<RelaySocket> {
    return client.connect(endpoint, AbortSignal.timeout(5_000));
}

async function codeOf(connecting: Promise<unknown>): Promise<string> {
    try {
        await connecting;
        return "connected";
    }
    catch (err) {
        return err instanceof RelayError ? err.code : String(err);
    }
}

/** How a connection ended, and what was received before. */
async function drain(socket: RelaySocket): Promise<{ readonly received: string; readonly isOrderly: boolean }> {
    let received = "";
    socket.on("data", chunk => received += String(chunk));
    const isOrderly = await new Promise<boolean>(resolve => {
        socket.on("end", () => resolve(true));
        socket.on("error", () => resolve(false));
    });
    return { received, isOrderly };
}

test("bytes pass in both directions, and each end is passed on", async t => {
    const endpoint = await startEndpoint(t, socket => socket.pipe(socket));
    const peer = await startPeer(t, "helper", [endpoint]);
    const socket = await connectThrough(startClient(t, [peer]), endpoint);
    t.is(socket.route.host, "helper");
    const all = "x".repeat(300_000);
    socket.end(all);
    t.deepEqual(await drain(socket), { received: all, isOrderly: true });
});

test("a connection that the endpoint resets ends with an error, after what was received", async t => {
    const endpoint = await startEndpoint(t, socket => {
        socket.once("data", () => socket.write("a part", () => setTimeout(() => socket.resetAndDestroy(), 50)));
    });
    const peer = await startPeer(t, "helper", [endpoint]);
    const socket = await connectThrough(startClient(t, [peer]), endpoint);
    socket.write("go");
    t.deepEqual(await drain(socket), { received: "a part", isOrderly: false });
    t.is(socket.remoteAddress, undefined, "as a socket that was reset");
});

test("an endpoint that answers and ends while the host still sends is not cut off by its relay", async t => {
    const answer = "x".repeat(6_000_000);
    const endpoint = await startEndpoint(t, socket => void socket.once("data", () => socket.end(answer)));
    const peer = await startPeer(t, "helper", [endpoint]);
    const socket = await connectThrough(startClient(t, [peer]), endpoint);
    const sending = setInterval(() => socket.writable && socket.write("b".repeat(10_000)), 1);
    t.teardown(() => clearInterval(sending));
    const read = socket.on("data", () => {
        socket.pause();
        setTimeout(() => socket.resume(), 2);
    });
    const { received, isOrderly } = await drain(read);
    t.deepEqual({ bytes: received.length, isOrderly }, { bytes: answer.length, isOrderly: true });
});

test("a peer that ends in the middle of an answer without a length does not make it look complete", async t => {
    const endpoint = await startEndpoint(t, socket => socket.write("a part"));
    const peer = await startPeer(t, "helper", [endpoint]);
    const socket = await connectThrough(startClient(t, [peer]), endpoint);
    const drained = drain(socket);
    await once(socket, "data");
    peer.kill();
    t.deepEqual(await drained, { received: "a part", isOrderly: false });
});

test("when the host leaves, the connection to the endpoint ends at once", async t => {
    let isClosed = false;
    const endpoint = await startEndpoint(t, socket => {
        socket.on("close", () => isClosed = true);
        socket.write("running");
    });
    const peer = await startPeer(t, "helper", [endpoint]);
    const socket = await connectThrough(startClient(t, [peer]), endpoint);
    await once(socket, "data");
    t.is(peer.server.size, 1);
    socket.destroy();
    for (let at = 0; at < 100 && !isClosed; at++) await new Promise(resolve => setTimeout(resolve, 10));
    t.true(isClosed);
    t.is(peer.server.size, 0);
});

// Guards against calls that reach an endpoint after they were given up: the system delivered what was on its way to the peer.
test("when the host leaves, its stream to the peer is reset, so that nothing held up is delivered", async t => {
    const endpoint = await startEndpoint(t, socket => void socket.resume());
    const peer = await startPeer(t, "helper", [endpoint]);
    const socket = await connectThrough(startClient(t, [peer]), endpoint);
    socket.write("go");
    socket.destroy();
    while (peer.server.size > 0) await new Promise(resolve => setTimeout(resolve, 5));
    t.deepEqual(peer.streamErrors, ["ECONNRESET"]);
});

test("an endpoint that does not read holds the writer up", async t => {
    const endpoint = await startEndpoint(t, socket => socket.pause());
    const peer = await startPeer(t, "helper", [endpoint]);
    const socket = await connectThrough(startClient(t, [peer]), endpoint);
    const chunk = Buffer.alloc(65_536);
    let written = 0;
    while (written < 64_000_000 && socket.write(chunk)) {
        written += chunk.length;
        await new Promise(resolve => setImmediate(resolve));
    }
    t.true(written < 64_000_000);
    socket.destroy();
});

const REFUSALS: Readonly<Record<string, RelayCode>> = {
    "a host that is cut off itself": RelayCode.CutOff,
    "a host without room": RelayCode.NoRoom,
    "a host that is stopping": RelayCode.Stopping,
};

for (const [name, code] of Object.entries(REFUSALS)) {
    test(`${name} refuses with its reason, and is left out for a while`, async t => {
        const endpoint = await startEndpoint(t, () => undefined);
        const peer = await startPeer(t, "helper", [endpoint], () => new RelayError(code, "for this test"));
        const client = startClient(t, [peer]);
        t.is(await codeOf(connectThrough(client, endpoint)), code);
        t.is(await codeOf(connectThrough(client, endpoint)), RelayCode.NoPeer);
    });
}

test("if one peer refuses, another is asked at once", async t => {
    const endpoint = await startEndpoint(t, () => undefined);
    const refuses = (): RelayError => new RelayError(RelayCode.CutOff, "for this test");
    const peers = [
        await startPeer(t, "cut-off-1", [endpoint], refuses),
        await startPeer(t, "cut-off-2", [endpoint], refuses),
        await startPeer(t, "helper", [endpoint]),
    ];
    const socket = await connectThrough(startClient(t, peers), endpoint);
    t.is(socket.route.host, "helper");
    socket.destroy();
});

test("a peer that is silent is not waited for", async t => {
    const endpoint = await startEndpoint(t, () => undefined);
    const silent = { name: "silent", address: await startEndpoint(t, () => undefined), weight: 1_000_000 };
    const helper = await startPeer(t, "helper", [endpoint]);
    const startedAt = performance.now();
    const socket = await connectThrough(startClient(t, [silent, helper]), endpoint);
    t.is(socket.route.host, "helper");
    t.true(performance.now() - startedAt < PEER_TIMEOUT_MS);
    socket.destroy();
});

test("only registered endpoints are reached, and what an endpoint does not accept says nothing about the peer", async t => {
    const endpoint = await startEndpoint(t, () => undefined);
    const closed = "127.0.0.1:1";
    const peer = await startPeer(t, "helper", [closed]);
    const client = startClient(t, [peer]);
    t.is(await codeOf(connectThrough(client, endpoint)), RelayCode.UnknownEndpoint);
    t.is(await codeOf(connectThrough(client, closed)), RelayCode.Unreached);
    t.is(await codeOf(connectThrough(client, closed)), RelayCode.Unreached, "it is asked again");
});

const BAD_REQUESTS: Readonly<Record<string, { method: string; path: string; id?: string }>> = {
    "another method": { method: "GET", path: "/endpoints/127.0.0.1:80", id: "a/1" },
    "another path": { method: "POST", path: "/endpoints/127.0.0.1:80/../x", id: "a/1" },
    "a host name": { method: "POST", path: "/endpoints/example.org:80", id: "a/1" },
    "no port": { method: "POST", path: "/endpoints/127.0.0.1", id: "a/1" },
    "no id": { method: "POST", path: "/endpoints/127.0.0.1:80" },
};

for (const [name, { method, path, id }] of Object.entries(BAD_REQUESTS)) {
    test(`a request with ${name} gets a typed error`, async t => {
        const peer = await startPeer(t, "helper", ["127.0.0.1:80"]);
        const socket = await openStream(peer.address);
        const headers = id === undefined ? {} : { "relay-id": id };
        const req = request({ createConnection: () => socket, method, path, headers });
        req.end();
        socket.resume();
        const [res] = await once(req, "response") as [IncomingMessage];
        t.is(res.statusCode, 400);
        t.deepEqual(JSON.parse(await text(res)), { code: "bad_request", detail: "no relay request" });
    });
}

test("a caller that does not know the secret gets no stream", async t => {
    const peer = await startPeer(t, "helper", []);
    const err = await t.throwsAsync(openStream(peer.address, undefined, "a-guess"), { instanceOf: PeerStreamError });
    t.is(err.kind, "badProof");
    const socket = connect(Number(peer.address.split(":")[1]), "127.0.0.1");
    socket.on("error", () => undefined);
    socket.write("POST /endpoints/127.0.0.1:80 HTTP/1.1\r\nRelay-Id: a/1\r\n\r\n");
    const received = await text(socket).catch(() => "");
    t.false(received.includes("HTTP/1.1"));
});

test("the proof by which a host accepts a stream does not open one in its name", async t => {
    const victim = await startPeer(t, "victim", []);
    const target = await startPeer(t, "target", []);
    const toTarget = connect(Number(target.address.split(":")[1]), "127.0.0.1");
    const toVictim = connect(Number(victim.address.split(":")[1]), "127.0.0.1");
    for (const socket of [toTarget, toVictim]) socket.on("error", () => undefined);
    const targetHello = await firstMessage(toTarget, "hello");
    const hello = { kind: "hello", version: targetHello["version"], address: "127.0.0.1:1", stream: true };
    const send = (socket: Socket, message: FrameMessage & Record<string, unknown>): void =>
        void socket.write(encodeFrame(message));
    // The victim proves to the impostor what the target wants to see proved.
    send(toVictim, { ...hello, name: "impostor", nonce: targetHello["nonce"] });
    const proof = await firstMessage(toVictim, "proof");
    send(toTarget, { ...hello, name: "victim", nonce: Buffer.alloc(16) });
    send(toTarget, proof);
    await once(toTarget, "close");
    t.deepEqual(target.errors.map(({ kind }) => kind), ["badProof"]);
});

function firstMessage(socket: Socket, kind: string): Promise<FrameMessage & Record<string, unknown>> {
    const reader = new FrameReader();
    return new Promise(resolve =>
        socket.on("data", (chunk: Buffer) => {
            const found = reader.push(chunk).messages.find(message => message.kind === kind);
            if (found) resolve(found as FrameMessage & Record<string, unknown>);
        })
    );
}

test("a race takes the first result, discards late ones, and tells the first attempt's error if all fail", async t => {
    const discarded: string[] = [];
    const after = (ms: number, result: string | Error) => () =>
        new Promise<string>((resolve, reject) =>
            setTimeout(() => result instanceof Error ? reject(result) : resolve(result), ms)
        );
    const cfg = { delayMs: 20, discard: (late: string) => discarded.push(late), signal: new AbortController().signal };
    t.is(await raceStaggered([after(200, "slow"), after(10, "quick")], cfg), "quick");
    await new Promise(resolve => setTimeout(resolve, 300));
    t.deepEqual(discarded, ["slow"]);
    t.is(
        await raceStaggered([after(0, new Error("a")), after(0, "next at once")], { ...cfg, delayMs: 5_000 }),
        "next at once",
    );
    await t.throwsAsync(raceStaggered([after(0, new Error("first")), after(0, new Error("second"))], cfg), {
        message: "first",
    });
});
