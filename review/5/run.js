/**
 * The link to a worker is cut just as requests are sent to it; their clients leave, and after the cut the worker leaves too. Checks the
 * rule DRAIN: no request reaches the worker later than `DrainMs` after the store took its leave.
 */
import { writeFileSync } from "node:fs";
import { Agent } from "node:http";
import { connect } from "node:net";
import { call } from "../kit-2/client.js";
import { config, HOST, route } from "../kit-2/config.js";
import { Link } from "../kit-2/link.js";
import { BOUNDS, Deployment, pause } from "../kit-2/platform.js";
import { Store } from "../kit-2/store.js";
import { Worker } from "../kit-2/worker.js";

const TROUBLE = process.env.TROUBLE !== "0";
const KEY = "key-of-huka270";
const CUT_MS = 6_500;
const CLIENTS_PER_DAEMON = 24;
/** When a client leaves that has no answer. */
const LEAVES_MS = 400;
/** When the worker says that it is leaving, from the end of the cut. */
const DRAINS_AFTER_MS = 300;

const store = await Store.start();
const workers = [];
for (const [at, zone] of ["hall-a", "hall-b", "hall-c"].entries()) {
    workers.push(await Worker.start(`i-${at + 1}`, "desk", zone, 60));
}
const [behind] = workers;
const link = await Link.open(behind.address);
behind.link = link;
const deployment = new Deployment();
const record = [];
const note = text => record.push(text);
let status = 2;
try {
    store.put("op/config", config(7, [route("hold", "unsafe", "desk")], [["huka270", KEY]]));
    for (const worker of workers) store.put(worker.key, worker.entry);
    const hosts = ["hall-b", "hall-c"].map((zone, at) => ({ name: `front-${at}`, zone }));
    await deployment.start(hosts, () => `127.0.0.1:${store.port}`);
    if (await deployment.untilReady()) {
        await pause(4_000);
        status = await play();
    }
    else note("the daemons did not become ready");
}
finally {
    await deployment.stop();
    store.stop();
    link.close();
    for (const worker of workers) worker.stop();
    writeFileSync(new URL("record.txt", import.meta.url), `${record.join("\n")}\n`);
}
process.exit(status);

/** Sends a request on a connection of its own, and leaves if there is no answer in time. */
function callAndLeave(port, id) {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        let answer = "";
        let leftAt;
        const head = [
            "POST /hold/x HTTP/1.1",
            `Host: ${HOST}`,
            `Attempt-Id: ${id}`,
            "Deadline-Ms: 1000",
            `Authorization: Token ${KEY}`,
            "Content-Length: 5",
        ];
        socket.write(`${head.join("\r\n")}\r\n\r\nhello`);
        const timer = setTimeout(() => {
            leftAt = performance.now();
            socket.destroy();
        }, LEAVES_MS);
        socket.on("data", chunk => {
            answer += String(chunk);
            clearTimeout(timer);
            socket.destroy();
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve({ id, leftAt, status: Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 0) }));
    });
}

async function play() {
    const agent = new Agent();
    const began = performance.now();
    const at = time => `${((time - began) / 1000).toFixed(3)} s`;
    const all = make => Promise.all(
        deployment.daemons.flatMap(({ ports }, place) =>
            Array.from({ length: CLIENTS_PER_DAEMON }, (_, number) => make(ports.front, `${place}-${number}`))
        ),
    );
    // Leaves connections to all workers open.
    await all(port => call(port, { path: "/hold/first", key: KEY, agent }));
    await pause(200);
    const cutAt = performance.now();
    if (TROUBLE) {
        link.cut();
        note(`${at(cutAt)} the link to ${behind.id} is cut`);
    }
    const calls = await all((port, id) => callAndLeave(port, `leaving-${id}`));
    const left = calls.filter(({ leftAt }) => leftAt !== undefined);
    note(`${calls.length} requests sent then, ${calls.filter(({ status: code }) => code === 200).length} answered with 200, `
        + `${left.length} clients left without an answer after ${LEAVES_MS} ms`);
    let healedAt = cutAt;
    if (TROUBLE) {
        await pause(CUT_MS - (performance.now() - cutAt));
        healedAt = performance.now();
        link.heal();
        note(`${at(healedAt)} the link carries again`);
    }
    await pause(DRAINS_AFTER_MS);
    const leavesAt = store.put(behind.key, { ...behind.entry, State: "draining", Seq: 2 });
    note(`${at(leavesAt)} ${behind.id} says that it is draining, which the store acknowledges`);
    await pause(9_000);
    const leftAt = new Map(left.map(({ id, leftAt: time }) => [id, time]));
    const late = behind.arrivals.filter(arrival => arrival.at > leavesAt + BOUNDS.DrainMs);
    // Not late at a worker is what arrives while its link was cut in the last ContactMs ("Held up").
    const counted = late.filter(arrival => arrival.at > healedAt + BOUNDS.ContactMs);
    for (const { id, at: time } of late) {
        note(`${id} reached ${behind.id} at ${at(time)}, ${Math.round(time - leavesAt)} ms after its leave and `
            + `${Math.round(time - leftAt.get(id))} ms after its client had left, and was run`);
    }
    note(`requests that reached it later than DrainMs after its leave: ${late.length}; `
        + `${counted.length} of them later than ContactMs after the cut`);
    for (const { name, hasEnded } of deployment.daemons) if (hasEnded) note(`${name} ended by itself`);
    return counted.length > 0 ? 1 : 0;
}
