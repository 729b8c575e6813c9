import test from "ava";
import { request } from "undici";
import { type LocalCluster, startLocalCluster, waitUntil } from "../src/index.js";

const FATAL_PROMPT = "a prompt that crashes its engine";
const TRIES = 6;
/** How many engines a message may crash in all. */
const MAX_CRASHES = 5;
/** Pause between tries, in which a crashed engine restarts and the hosts of the hall exchange what they saw. */
const PAUSE_MS = 300;

interface Message {
    readonly role: string;
    readonly content: string;
}

/** Requests a generation from a host; returns the status and the error's code. */
function sendPrompt(
    cluster: LocalCluster,
    hostIndex: number,
    content: string,
): Promise<{ readonly status: number; readonly code: string }> {
    return sendMessages(cluster, hostIndex, [{ role: "user", content }]);
}

async function sendMessages(
    cluster: LocalCluster,
    hostIndex: number,
    messages: readonly Message[],
): Promise<{ readonly status: number; readonly code: string }> {
    const { daemon } = cluster.hosts[hostIndex % cluster.hosts.length]!;
    const res = await request(`${daemon.callersUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { "authorization": `Bearer ${cluster.keyOf("members")}`, "content-type": "application/json" },
        body: JSON.stringify({ model: "summary-8b", max_tokens: 5, messages }),
    });
    const text = await res.body.text();
    const code = /"code":"(\w+)"/.exec(text)?.[1] ?? "";
    return { status: res.statusCode, code };
}

test("a message of a chat that crashes engines is withheld, whatever the question behind it", async t => {
    const cluster = await startLocalCluster({
        halls: ["k1"],
        hostsPerHall: 2,
        enginesPerHall: 4,
        engine: { speed: 20 },
    });
    t.teardown(() => cluster.stop());
    await waitUntil(() => cluster.hosts.every(({ daemon }) => daemon.host.peers?.live.length === cluster.hosts.length));
    for (const { server } of cluster.engines) server.fatalPrompts.push(FATAL_PROMPT);
    const system = { role: "system", content: FATAL_PROMPT };
    const codes: string[] = [];
    for (let index = 0; index < 2 * TRIES; index++) {
        codes.push((await sendMessages(cluster, index, [system, { role: "user", content: `question ${index}` }])).code);
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
        const harmless = [{ role: "system", content: "be brief" }, { role: "user", content: `another ${index}` }];
        t.is((await sendMessages(cluster, index, harmless)).status, 200, `harmless ${index}`);
    }
    const crashes = cluster.engines.reduce((sum, { server }) => sum + server.crashCount, 0);
    t.true(crashes <= MAX_CRASHES, `${crashes}: ${codes.join(" ")}`);
    t.is(codes.at(-1), "request_quarantined");
});

test("after a prompt crashed three engines, no host of the hall sends it to another", async t => {
    const cluster = await startLocalCluster({
        halls: ["k1"],
        hostsPerHall: 2,
        enginesPerHall: 3,
        engine: { speed: 20 },
    });
    t.teardown(() => cluster.stop());
    await waitUntil(() => cluster.hosts.every(({ daemon }) => daemon.host.peers?.live.length === cluster.hosts.length));
    for (const { server } of cluster.engines) server.fatalPrompts.push(FATAL_PROMPT);
    const codes: string[] = [];
    for (let index = 0; index < TRIES; index++) {
        codes.push((await sendPrompt(cluster, index, FATAL_PROMPT)).code);
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
    const crashes = cluster.engines.reduce((sum, { server }) => sum + server.crashCount, 0);
    t.is(crashes, 3, codes.join(" "));
    t.is(codes.at(-1), "request_quarantined");
    t.is((await sendPrompt(cluster, 0, "another prompt")).status, 200);
});
