import test, { type ExecutionContext } from "ava";
import { createHmac } from "node:crypto";
import { connect, type Socket } from "node:net";
import { createClock } from "../src/clock.js";
import { encodeFrame, type FrameMessage, FrameReader, PEER_VERSION } from "../src/peer-codec.js";
import { PeerMesh, type SendQueueBounds } from "../src/peer-mesh.js";

const SECRET = "a-secret-of-these-tests";
/** The address that the peer claims in its hello; it is never dialled. */
const PEER_ADDRESS = "127.0.0.9:9";
/** A few dozen messages of this size fill the socket buffers of the operating system. */
const TEXT = "x".repeat(500_000);
const MESSAGES = 60;
const MAX_BYTES = 2_000_000;

async function startMesh(
    t: ExecutionContext,
    waiting?: SendQueueBounds,
): Promise<{ mesh: PeerMesh; errors: string[] }> {
    const controller = new AbortController();
    t.teardown(() => controller.abort());
    const errors: string[] = [];
    const mesh = await PeerMesh.listen({
        name: "host-a",
        listen: { ip: "127.0.0.1", port: 0 },
        secrets: [SECRET],
        onMessage: () => undefined,
        onError: (_peer, err) => void errors.push(err.kind),
        onBytes: () => undefined,
        ...(waiting ? { sendQueues: waiting } : {}),
        clock: createClock(),
        signal: controller.signal,
    });
    return { mesh, errors };
}

/** Connects a peer that completes the handshake and then reads nothing until its socket is resumed. */
async function connectDeafPeer(
    t: ExecutionContext,
    mesh: PeerMesh,
): Promise<{ socket: Socket; received: FrameMessage[] }> {
    const socket = connect(Number(mesh.at.split(":")[1]), "127.0.0.1");
    t.teardown(() => socket.destroy());
    const reader = new FrameReader();
    const received: FrameMessage[] = [];
    const nonce = Buffer.alloc(16);
    socket.write(
        encodeFrame(
            { kind: "hello", version: PEER_VERSION, name: "host-b", address: PEER_ADDRESS, nonce } as FrameMessage,
        ),
    );
    await new Promise<void>(resolve => {
        socket.on("data", (chunk: Buffer) => {
            for (const message of reader.push(chunk).messages) {
                received.push(message);
                if (message.kind === "hello") {
                    const { nonce: theirs } = message as FrameMessage & { nonce: Uint8Array };
                    const mac = createHmac("sha256", SECRET).update(theirs).update("host-b").digest();
                    socket.write(encodeFrame({ kind: "proof", mac } as FrameMessage));
                }
                if (message.kind === "proof") resolve();
            }
        });
    });
    socket.pause();
    // Leaves time for the peer's own proof to arrive at the mesh.
    await new Promise(resolve => setTimeout(resolve, 50));
    return { socket, received };
}

function sendMessages(mesh: PeerMesh): void {
    for (let at = 0; at < MESSAGES; at++) mesh.send(PEER_ADDRESS, { kind: "news", at, text: TEXT } as FrameMessage);
}

const WAIT_MS = 5_000;

async function waitUntil(condition: () => boolean): Promise<void> {
    const end = performance.now() + WAIT_MS;
    while (!condition()) {
        if (performance.now() > end) throw new Error(`not in ${WAIT_MS} ms: ${condition.toString()}`);
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

test("messages to a peer that does not read are dropped above the bound, and delivered again once it reads", async t => {
    const waiting = new Map<number, number>();
    let mostWaiting = 0;
    let dropped = 0;
    const { mesh, errors } = await startMesh(t, {
        most: () => MAX_BYTES,
        onChange: (link, bytes) => {
            waiting.set(link, bytes);
            mostWaiting = Math.max(mostWaiting, bytes);
        },
        onDrop: () => dropped += 1,
    });
    const { socket, received } = await connectDeafPeer(t, mesh);
    sendMessages(mesh);
    t.true(dropped > 0);
    // One message may exceed the bound.
    t.true(mostWaiting >= MAX_BYTES && mostWaiting <= MAX_BYTES + 2 * TEXT.length, `${mostWaiting}`);
    socket.resume();
    await waitUntil(() => received.filter(({ kind }) => kind === "news").length === MESSAGES - dropped);
    await waitUntil(() => [...waiting.values()].every(bytes => bytes === 0));
    mesh.send(PEER_ADDRESS, { kind: "later" });
    await waitUntil(() => received.at(-1)?.kind === "later");
    t.deepEqual(errors, []);
});

test("a message is sent to a peer with an empty queue, even with a bound of 0", async t => {
    let dropped = 0;
    const { mesh } = await startMesh(t, { most: () => 0, onChange: () => undefined, onDrop: () => dropped += 1 });
    const { socket, received } = await connectDeafPeer(t, mesh);
    socket.resume();
    mesh.send(PEER_ADDRESS, { kind: "tree", text: TEXT } as FrameMessage);
    await waitUntil(() => received.at(-1)?.kind === "tree");
    t.is(dropped, 0);
});

test("a link that is closed discards its queue", async t => {
    const waiting = new Map<number, number>();
    const { mesh, errors } = await startMesh(t, {
        most: () => MAX_BYTES,
        onChange: (link, bytes) => waiting.set(link, bytes),
        onDrop: () => undefined,
    });
    await connectDeafPeer(t, mesh);
    sendMessages(mesh);
    const [[link, bytes]] = [...waiting] as [[number, number]];
    t.true(bytes > 0);
    mesh.closeLink(link);
    await waitUntil(() => waiting.get(link) === 0);
    t.deepEqual(errors, ["slow"]);
});

test("without queue bounds, a link is closed when its queue exceeds the fixed bound", async t => {
    const { mesh, errors } = await startMesh(t);
    await connectDeafPeer(t, mesh);
    sendMessages(mesh);
    await waitUntil(() => errors.length > 0);
    t.deepEqual([...new Set(errors)], ["slow"]);
});
