/**
 * Many users come at once: 1.7 times as many streams as usual. The workers' memory runs out, so they put back the newest streams, and go on
 * with them when there is room. Two of six workers do not drop a request whose connection closes. Checks the rule TWICE: a request does not
 * go on at another worker while the one before still works on it.
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
/** Streams for each daemon: usually, and in the burst. */
const USUAL = 12;
const BURST = 1.7;
const STREAMS_PER_DAEMON = TROUBLE ? Math.floor(USUAL * BURST) : USUAL;
/** They begin within this time. */
const BEGIN_MS = 100;
/** Urgent requests in a second: usually, and in the first seconds in the burst. */
const USUAL_PER_S = 20;
const BURST_MS = 3_000;
const LAST_AT_MS = 6_500;
const URGENT = { promptTokens: 2_200, mostTokens: 200 };
/** At most this many tokens are generated; how many it will be nobody knows before. */
const MOST_TOKENS = 2_400;

const store = await Store.start();
const zones = ["hall-a", "hall-b", "hall-c"];
const engines = [];
for (let at = 0; at < 6; at++) engines.push(await Engine.start(`i-${at + 1}`, "pool", zones[at % zones.length]));
for (const engine of engines.slice(0, 2)) engine.dropsOnClose = false;
const deployment = new Deployment();
const record = [];
const note = text => record.push(text);
let status = 2;
try {
    const routes = [
        route("plan", "streaming", "pool", { TimeoutMs: 39_000, SloMs: 1_800, gap_aim_ms: 180 }),
        route("digest", "streaming", "pool", { TimeoutMs: 6_000, SloMs: 1_500, gap_aim_ms: 180, Priority: 0 }),
    ];
    const deployed = config(7, routes, [["huka270", KEY]]);
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
    const streams = [];
    for (let number = 0; number < STREAMS_PER_DAEMON; number++) {
        for (const { ports } of deployment.daemons) {
            streams.push(stream(ports.front, { path: "/plan/x", key: KEY, agent, mostTokens: MOST_TOKENS }));
        }
        await pause(BEGIN_MS / STREAMS_PER_DAEMON);
    }
    const urgent = [];
    let due = performance.now() - began;
    for (let now = began; now < began + LAST_AT_MS; now = performance.now()) {
        const { ports } = deployment.daemons[urgent.length % deployment.daemons.length];
        urgent.push(stream(ports.front, { path: "/digest/x", key: KEY, agent, ...URGENT }));
        due += 1000 / USUAL_PER_S / (TROUBLE && now < began + BURST_MS ? BURST : 1);
        await pause(due - (performance.now() - began));
    }
    const served = (await Promise.all(urgent)).filter(answer => answer.status === 200 && answer.isWhole).length;
    note(`${urgent.length} urgent requests sent, ${served} answered whole`);
    const answers = await Promise.all(streams);
    await pause(3_000);
    agent.destroy();
    const runs = engines.flatMap(engine => engine.runs);
    const answered = answers.filter(answer => answer.status === 200 && answer.isWhole).length;
    note(`${answers.length} streams sent, ${answered} answered whole`);
    for (const engine of engines) {
        const own = engine.runs.filter(({ continued }) => !continued).length;
        note(`${engine.id}: ${own} requests run, ${engine.runs.length - own} gone on with from a copy; it put back ${engine.putBack}`
            + (engine.dropsOnClose ? "" : "; it goes on when a connection closes"));
    }
    let twice = 0;
    for (const later of runs.filter(({ continued }) => continued)) {
        const before = runs.find(run => run.id === later.id && run !== later && run.began < later.began);
        const both = before.madeAt.filter(time => time > later.began + STILL_WORKS_MS && time < later.lastAt);
        if (both.length === 0) continue;
        twice += 1;
        note(`${later.id} went on at ${later.engine} from ${at(later.began)} to ${at(later.lastAt)}; ${before.engine}, whose connection had `
            + `closed at ${at(before.closedAt)}, made ${both.length} events of it from ${at(both[0])} to ${at(both.at(-1))}`);
    }
    note(`requests that went on elsewhere, and the worker before worked on them more than ${STILL_WORKS_MS} ms later: ${twice}`);
    for (const { name, hasEnded } of deployment.daemons) if (hasEnded) note(`${name} ended by itself`);
    return twice > 0 ? 1 : 0;
}
