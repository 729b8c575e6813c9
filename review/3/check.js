// A caller does not read for some seconds. Its answer is complete at the daemon, but the last part of it still waits in the daemon
// when the daemon gets SIGTERM.
import { createServer } from "node:http";
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { API_KEY, configOf, Daemon, listen, LOOPBACK, pause, registrationOf, ROUTE_HOST, routeOf, Store, waitFor } from "../stand-in/deployment.js";
import { hasTrouble, runTrial } from "../stand-in/trial.js";
import { answerOther } from "../stand-in/worker.js";

const DEADLINE_MS = 39_000;
/** The worker sends its answers in parts of this size. */
const PART_BYTES = 32_768;
const PART_MS = 5;
/** Size of an answer that is longer than what the connection to the caller holds. */
const PROBE_BYTES = 12_000_000;
/** An answer counts as delivered by its worker, and the kernel's buffers as full, after this time without a change. */
const SETTLED_MS = 500;
/** Answers of different sizes that are tried until the daemon holds only the last part. */
const MAX_TRIES = 10;
/** The caller reads again this long after SIGTERM, well within GraceS. */
const READS_AGAIN_MS = 4_000;
const GRACE_MS = 8_000;
/** Daemons of the deployment, of which one is stopped. */
const DAEMONS = 3;
const LAST_CHUNK = "0\r\n\r\n";

/** The bytes that the daemon holds for callers that have not read them, by its metrics. */
async function unreadBytes({ ports }) {
    const res = await fetch(`http://${LOOPBACK}:${ports.metrics}/metrics`);
    return Number(/^drumpaddle_held_bytes\{kind="unread"\} (\d+)/m.exec(await res.text())?.[1] ?? 0);
}

/** Sends a request for an answer of so many bytes, and reads nothing of it yet. */
function callWithoutReading(port, id, bytes) {
    const caller = { bytes: 0, tail: "", head: "", end: undefined, sentAt: performance.now() };
    const socket = connect(port, LOOPBACK);
    socket.pause();
    socket.on("error", err => caller.end ??= err.code);
    socket.on("end", () => caller.end ??= "the daemon closed the connection");
    socket.write([
        `POST /records/${bytes} HTTP/1.1`,
        `Host: ${ROUTE_HOST}`,
        `Attempt-Id: ${id}`,
        `Deadline-Ms: ${DEADLINE_MS}`,
        `Authorization: Token ${API_KEY}`,
        "Content-Length: 2",
        "\r\n{}",
    ].join("\r\n"));
    const read = () => {
        socket.on("data", chunk => {
            const text = chunk.toString("latin1");
            caller.bytes += chunk.length;
            if (caller.head.length < 1_000) caller.head += text;
            caller.tail = (caller.tail + text).slice(-LAST_CHUNK.length);
        });
        socket.resume();
    };
    return { caller, read, isWhole: () => caller.tail === LAST_CHUNK, close: () => socket.destroy() };
}

await runTrial(dirname(fileURLToPath(import.meta.url)), async (record, onEnd) => {
    const store = new Store();
    await store.start();
    onEnd(() => store.stop());
    store.put("op/config", configOf([routeOf("records", "unsafe", "app")]));
    /** The answers that the worker has sent whole, by the id of the attempt. */
    const sent = new Set();
    const worker = createServer(async (req, res) => {
        if (answerOther(req, res, "i-0")) return;
        req.resume();
        const id = req.headers["attempt-id"];
        res.writeHead(200, { "Attempt-Id": id, "Response-Seal": "s", "Content-Type": "application/octet-stream" });
        const parts = Math.ceil(Number(req.url.split("/").at(-1)) / PART_BYTES);
        for (let part = 0; part < parts && !res.destroyed; part++) {
            res.write("x".repeat(PART_BYTES));
            await pause(PART_MS);
        }
        if (res.destroyed) return;
        res.end(() => {
            sent.add(id);
            record.write(`${id}: the worker has sent its whole answer of ${parts * PART_BYTES} bytes`);
        });
    });
    store.put("servers/i-0", registrationOf("app", await listen(worker)));
    onEnd(() => {
        worker.closeAllConnections();
        worker.close();
    });
    const daemons = [];
    for (let at = 0; at < DAEMONS; at++) {
        const seeds = daemons.map(({ ports }) => ports.control);
        const started = new Daemon(`front-hall-a-${at + 1}`, store, { seeds });
        onEnd(() => started.end());
        daemons.push(started);
        await started.start();
    }
    const [daemon] = daemons;

    const call = async (id, bytes) => {
        const calling = callWithoutReading(daemon.ports.front, id, bytes);
        await waitFor("the worker has answered", () => sent.has(id), 20_000);
        await pause(SETTLED_MS);
        const held = await unreadBytes(daemon);
        record.write(`${id}: the daemon holds ${held} of ${bytes} bytes`);
        return { ...calling, held };
    };
    /** Reads an answer that showed the size, so that no client leaves early. */
    const readToEnd = async ({ read, isWhole, close }) => {
        read();
        await waitFor("an answer has been read", isWhole);
        close();
        await waitFor("the daemon holds nothing", async () => await unreadBytes(daemon) === 0);
    };
    const probe = await call("probe", PROBE_BYTES);
    await readToEnd(probe);
    let bytes = (Math.floor((PROBE_BYTES - probe.held) / PART_BYTES) + 1) * PART_BYTES;
    let last;
    for (let attempt = 1; attempt <= MAX_TRIES; attempt++) {
        last = await call(`a${attempt}`, bytes);
        if (last.held > 0 && last.held < 2 * PART_BYTES) break;
        await readToEnd(last);
        bytes += last.held === 0 ? PART_BYTES : -PART_BYTES * Math.max(1, Math.floor(last.held / PART_BYTES) - 1);
        last = undefined;
    }
    if (!last) throw new Error("no size was found of which the daemon holds only the last part");
    record.say(`the worker has sent its whole answer of ${bytes} bytes; the daemon holds the last ${last.held} for its caller`);

    const { caller, read, isWhole, close } = last;
    onEnd(close);
    const stoppedAt = performance.now();
    if (hasTrouble) {
        record.say("SIGTERM to the daemon");
        daemon.kill("SIGTERM");
        // The platform starts it again once it has ended.
        void daemon.exited.then(({ code, signal }) => {
            record.say(`the daemon has ended ${Math.round(performance.now() - stoppedAt)} ms after SIGTERM (${signal ?? code}); GraceS is ${GRACE_MS} ms`);
            return daemon.start();
        });
    }
    await pause(READS_AGAIN_MS);
    record.say("the caller reads again");
    read();
    await waitFor("the answer has ended", () => isWhole() || caller.end !== undefined, GRACE_MS - READS_AGAIN_MS + 1_000);
    const isInTime = performance.now() - caller.sentAt < DEADLINE_MS;
    record.say(`${caller.head.slice(9, 12)}, ${caller.bytes} bytes with head and chunks, ${isWhole() ? "whole" : `not whole: ${caller.end}`}`);
    record.say(`within its deadline and its route's timeout: ${isInTime ? "yes" : "no"}`);
    return isInTime && !isWhole();
});
