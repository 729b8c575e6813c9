import test, { type ExecutionContext } from "ava";
import { createHmac } from "node:crypto";
import { connect, type Socket } from "node:net";
import { createClock } from "../src/clock.js";
import { encodeFrame, type FrameMessage, FrameReader, PEER_VERSION } from "../src/peer-codec.js";
import { PeerMesh, type WaitingBounds } from "../src/peer-mesh.js";

const SECRET = "a-secret-of-these-tests";
/** Where the peer says that it is; nobody dials it. */
const ADDRESS = "127.0.0.9:9";
/** Messages of this size fill what the system buffers within some dozen. */
const TEXT = "x".repeat(500_000);
const MESSAGES = 60;
const MOST = 2_000_000;

async function meshOf(t: ExecutionContext, waiting?: WaitingBounds): Promise<{ mesh: PeerMesh; errors: string[] }> {
    const own = new AbortController();
    t.teardown(() => own.abort());
    const errors: string[] = [];
    const mesh = await PeerMesh.listen({
        name: "host-a",
        listen: { ip: "127.0.0.1", port: 0 },
        secrets: [SECRET],
        onMessage: () => undefined,
        onError: (_peer, err) => void errors.push(err.kind),
        onBytes: () => undefined,
        ...(waiting ? { waiting } : {}),
        clock: createClock(),
        signal: own.signal,
    });
    return { mesh, errors };
}

/** A peer that proves who it is and then reads nothing, until it is told to. */
async function deafPeer(t: ExecutionContext, mesh: PeerMesh): Promise<{ socket: Socket; received: FrameMessage[] }> {
    const socket = connect(Number(mesh.at.split(":")[1]), "127.0.0.1");
    t.teardown(() => socket.destroy());
    const reader = new FrameReader();
    const received: FrameMessage[] = [];
    const nonce = Buffer.alloc(16);
    socket.write(
        encodeFrame({ kind: "hello", version: PEER_VERSION, name: "host-b", address: ADDRESS, nonce } as FrameMessage),
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
    // Its own proof has to arrive there.
    await new Promise(resolve => setTimeout(resolve, 50));
    return { socket, received };
}

function tell(mesh: PeerMesh): void {
    for (let at = 0; at < MESSAGES; at++) mesh.send(ADDRESS, { kind: "news", at, text: TEXT } as FrameMessage);
}

const WAIT_MS = 5_000;

async function until(what: () => boolean): Promise<void> {
    const end = performance.now() + WAIT_MS;
    while (!what()) {
        if (performance.now() > end) throw new Error(`not in ${WAIT_MS} ms: ${what.toString()}`);
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

test("what is sent to a peer that reads nothing is dropped above the bound, and it hears again once it reads", async t => {
    const waiting = new Map<number, number>();
    let mostWaiting = 0;
    let dropped = 0;
    const { mesh, errors } = await meshOf(t, {
        most: () => MOST,
        onChange: (link, bytes) => {
            waiting.set(link, bytes);
            mostWaiting = Math.max(mostWaiting, bytes);
        },
        onDrop: () => dropped += 1,
    });
    const { socket, received } = await deafPeer(t, mesh);
    tell(mesh);
    t.true(dropped > 0);
    // One message may come on top of the bound.
    t.true(mostWaiting >= MOST && mostWaiting <= MOST + 2 * TEXT.length, `${mostWaiting}`);
    socket.resume();
    await until(() => received.filter(({ kind }) => kind === "news").length === MESSAGES - dropped);
    await until(() => [...waiting.values()].every(bytes => bytes === 0));
    mesh.send(ADDRESS, { kind: "later" });
    await until(() => received.at(-1)?.kind === "later");
    t.deepEqual(errors, []);
});

test("a message goes to a peer for which nothing waits, also where nothing more may wait", async t => {
    let dropped = 0;
    const { mesh } = await meshOf(t, { most: () => 0, onChange: () => undefined, onDrop: () => dropped += 1 });
    const { socket, received } = await deafPeer(t, mesh);
    socket.resume();
    mesh.send(ADDRESS, { kind: "tree", text: TEXT } as FrameMessage);
    await until(() => received.at(-1)?.kind === "tree");
    t.is(dropped, 0);
});

test("a link that is cut off lets go of all that waited on it", async t => {
    const waiting = new Map<number, number>();
    const { mesh, errors } = await meshOf(t, {
        most: () => MOST,
        onChange: (link, bytes) => waiting.set(link, bytes),
        onDrop: () => undefined,
    });
    await deafPeer(t, mesh);
    tell(mesh);
    const [[link, bytes]] = [...waiting] as [[number, number]];
    t.true(bytes > 0);
    mesh.cutOff(link);
    await until(() => waiting.get(link) === 0);
    t.deepEqual(errors, ["slow"]);
});

test("without a bound of the host's, a link is ended as before when too much waits for its peer", async t => {
    const { mesh, errors } = await meshOf(t);
    await deafPeer(t, mesh);
    tell(mesh);
    await until(() => errors.length > 0);
    t.deepEqual([...new Set(errors)], ["slow"]);
});
