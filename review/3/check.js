// A caller does not read for some seconds. Its answer is complete at the daemon, but the last part of it still waits in the daemon
// when the daemon gets SIGTERM.
import { createServer } from "node:http";
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { API_KEY, configOf, Daemon, listen, LOOPBACK, pause, registrationOf, ROUTE_HOST, routeOf, Store, waitFor } from "../stand-in/deployment.js";
import { hasTrouble, runTrial } from "../stand-in/trial.js";

const DEADLINE_MS = 39_000;
/** The worker sends its answer in parts of this size. */
const PART_BYTES = 32_768;
const PART_MS = 5;
const MOST_PARTS = 600;
/** How long the daemon has to hold unread bytes before the worker ends its answer: the kernel's buffers are full then. */
const SETTLED_MS = 400;
/** The caller reads again this long after SIGTERM, well within GraceS. */
const READS_AGAIN_MS = 4_000;
const GRACE_MS = 8_000;
const LAST_CHUNK = "0\r\n\r\n";

/** The bytes that the daemon holds for callers that have not read them, by its metrics. */
async function unreadBytes({ ports }) {
    const res = await fetch(`http://${LOOPBACK}:${ports.metrics}/metrics`);
    return Number(/^drumpaddle_held_bytes\{kind="unread"\} (\d+)/m.exec(await res.text())?.[1] ?? 0);
}

await runTrial(dirname(fileURLToPath(import.meta.url)), async (record, onEnd) => {
    const store = new Store();
    await store.start();
    onEnd(() => store.stop());
    store.put("op/config", configOf([routeOf("records", "unsafe", "app")]));
    const daemon = new Daemon("front-hall-a-1", store);
    let answer;
    // The answer is as long as what the connection to the caller holds, and one part more.
    const worker = createServer(async (req, res) => {
        req.resume();
        const id = req.headers["attempt-id"];
        if (id === undefined) return void res.writeHead(200, { "Content-Length": 2 }).end("{}");
        record.write(`${id}: the worker begins to answer`);
        res.writeHead(200, { "Attempt-Id": id, "Response-Seal": "s", "Content-Type": "application/octet-stream" });
        let bytes = 0;
        for (let part = 0; part < MOST_PARTS && !res.destroyed; part++) {
            res.write("x".repeat(PART_BYTES));
            bytes += PART_BYTES;
            await pause(PART_MS);
            if (await unreadBytes(daemon) === 0) continue;
            await pause(SETTLED_MS);
            if (await unreadBytes(daemon) > 0) break;
        }
        res.end(() => {
            answer = { bytes, isWhole: !res.destroyed };
            record.say(`${id}: the worker has sent its whole answer of ${bytes} bytes`);
        });
    });
    store.put("servers/i-0", registrationOf("app", await listen(worker)));
    onEnd(() => {
        worker.closeAllConnections();
        worker.close();
    });
    onEnd(() => daemon.end());
    await daemon.start();

    const sentAt = performance.now();
    const socket = connect(daemon.ports.front, LOOPBACK);
    socket.pause();
    const caller = { bytes: 0, tail: "", head: "", end: undefined };
    socket.on("error", err => caller.end ??= err.code);
    socket.on("end", () => caller.end ??= "the daemon closed the connection");
    socket.write([
        "POST /records/x HTTP/1.1",
        `Host: ${ROUTE_HOST}`,
        "Attempt-Id: a1",
        `Deadline-Ms: ${DEADLINE_MS}`,
        `Authorization: Token ${API_KEY}`,
        "Content-Length: 2",
        "\r\n{}",
    ].join("\r\n"));
    record.write("a1: sent; the caller does not read yet");
    await waitFor("the worker has answered", () => answer !== undefined, 30_000);
    await pause(500);
    const unread = await unreadBytes(daemon);
    record.say(`the daemon holds ${unread} bytes of the answer for its caller`);
    if (unread === 0) throw new Error("the kernel's buffers took the whole answer");

    const stoppedAt = performance.now();
    if (hasTrouble) {
        record.say("SIGTERM to the daemon");
        daemon.kill("SIGTERM");
        void daemon.exited.then(({ code, signal }) =>
            record.say(`the daemon has ended ${Math.round(performance.now() - stoppedAt)} ms after SIGTERM (${signal ?? code}); GraceS is ${GRACE_MS} ms`)
        );
    }
    await pause(READS_AGAIN_MS);
    record.say("the caller reads again");
    socket.on("data", chunk => {
        caller.bytes += chunk.length;
        if (caller.head.length < 1_000) caller.head += chunk.toString("latin1");
        caller.tail = (caller.tail + chunk.toString("latin1")).slice(-LAST_CHUNK.length);
    });
    socket.resume();
    const isWhole = () => caller.tail === LAST_CHUNK;
    await waitFor("the answer has ended", () => isWhole() || caller.end !== undefined, GRACE_MS - READS_AGAIN_MS + 1_000);
    const isInTime = performance.now() - sentAt < DEADLINE_MS;
    socket.destroy();
    record.say(`a1: ${caller.head.slice(9, 12)}, ${caller.bytes} bytes with head and chunks, ${isWhole() ? "whole" : `not whole: ${caller.end}`}`);
    record.say(`a1: within its deadline and its route's timeout: ${isInTime ? "yes" : "no"}`);
    return answer.isWhole && isInTime && !isWhole();
});
