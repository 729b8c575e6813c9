/**
 * A model worker puts its streams back for want of memory and goes on with them later. It is one of those that do not drop a request
 * whose connection closes. Checks the rule TWICE: a request does not go on at another worker while the one before still works on it.
 */
import { writeFileSync } from "node:fs";
import { Agent } from "node:http";
import { config, route } from "../kit-2/config.js";
import { Engine } from "../kit-2/engine.js";
import { Deployment, pause } from "../kit-2/platform.js";
import { Store } from "../kit-2/store.js";
import { stream } from "../kit-2/client.js";

const TROUBLE = process.env.TROUBLE !== "0";
const KEY = "key-of-huka270";
/** By the rule: how long the worker before may still work on a request after it went on at another. */
const STILL_WORKS_MS = 400;
/** How long the streams of the worker rest. */
const REST_MS = 2_500;
const RESTS_AFTER_MS = 2_500;
const STREAMS_PER_DAEMON = 6;

const store = await Store.start();
const zones = ["hall-a", "hall-b", "hall-c"];
const engines = [];
for (let at = 0; at < 6; at++) engines.push(await Engine.start(`i-${at + 1}`, "pool", zones[at % zones.length]));
const [odd] = engines;
odd.dropsOnClose = false;
const deployment = new Deployment();
const record = [];
const note = text => record.push(text);
let status = 2;
try {
    const deployed = config(7, [route("plan", "streaming", "pool", { TimeoutMs: 39_000, SloMs: 1_800, gap_aim_ms: 180 })], [
        ["huka270", KEY],
    ]);
    const engine = { Slots: 24, KvCapacity: 34305, KvTokenBytes: 327680, LinkMbps: 47000, moves: true, backups: true, stride: 4 };
    deployed.Services.push({ ...deployed.Services[0], Name: "pool", MaxConns: 232, Engine: { ...engine, HandleS: 5 } });
    store.put("op/config", deployed);
    for (const { key, entry } of engines) store.put(key, entry);
    await deployment.start(zones.map((zone, at) => ({ name: `front-${at}`, zone })), () => `127.0.0.1:${store.port}`);
    if (await deployment.untilReady()) {
        await pause(3_000);
        status = await play();
    }
    else note("the daemons did not become ready");
}
finally {
    await deployment.stop();
    store.stop();
    for (const engine of engines) engine.stop();
    writeFileSync(new URL("record.txt", import.meta.url), `${record.join("\n")}\n`);
}
process.exit(status);

async function play() {
    const agent = new Agent({ keepAlive: true });
    const began = performance.now();
    const at = time => `${((time - began) / 1000).toFixed(3)} s`;
    const streams = deployment.daemons.flatMap(({ ports }) =>
        Array.from({ length: STREAMS_PER_DAEMON }, () => stream(ports.front, { path: "/plan/x", key: KEY, agent }))
    );
    await pause(RESTS_AFTER_MS);
    if (TROUBLE) {
        odd.restsUntil = performance.now() + REST_MS;
        note(`${at(performance.now())} ${odd.id} puts its ${odd.runs.filter(({ isOver }) => !isOver).length} streams back for ${REST_MS} ms`);
    }
    const answers = await Promise.all(streams);
    await pause(3_000);
    agent.destroy();
    const runs = engines.flatMap(engine => engine.runs);
    const answered = answers.filter(answer => answer.status === 200 && answer.isWhole).length;
    note(`${answers.length} streams sent, ${answered} answered whole`);
    for (const engine of engines) {
        const own = engine.runs.filter(({ continued }) => !continued).length;
        note(`${engine.id}: ${own} requests run, ${engine.runs.length - own} gone on with from a copy`);
    }
    let twice = 0;
    for (const later of runs.filter(({ continued }) => continued)) {
        const before = runs.find(run => run.id === later.id && run !== later && run.began < later.began);
        const overlapMs = Math.round(before.lastAt - later.began);
        note(`${later.id} went on at ${later.engine} at ${at(later.began)}; ${before.engine} worked on it until ${at(before.lastAt)}, `
            + `its connection had closed at ${at(before.closedAt)}`);
        if (overlapMs > STILL_WORKS_MS) twice += 1;
    }
    note(`requests on which two workers worked for more than ${STILL_WORKS_MS} ms: ${twice}`);
    for (const { name, hasEnded } of deployment.daemons) if (hasEnded) note(`${name} ended by itself`);
    return twice > 0 ? 1 : 0;
}
