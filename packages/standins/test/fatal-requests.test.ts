import test from "ava";
import { request } from "undici";
import { type LocalCluster, startLocalCluster, waitUntil } from "../src/index.js";

const FATAL_PROMPT = "a prompt that crashes its engine";
const TRIES = 6;
/** Pause between tries, in which a crashed engine restarts and the hosts of the hall exchange what they saw. */
const PAUSE_MS = 300;

/** Requests a generation from a host; returns the status and the error's code. */
async function sendPrompt(
    cluster: LocalCluster,
    hostIndex: number,
    content: string,
): Promise<{ readonly status: number; readonly code: string }> {
    const { daemon } = cluster.hosts[hostIndex % cluster.hosts.length]!;
    const res = await request(`${daemon.callersUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { "authorization": `Bearer ${cluster.keyOf("members")}`, "content-type": "application/json" },
        body: JSON.stringify({ model: "summary-8b", max_tokens: 5, messages: [{ role: "user", content }] }),
    });
    const text = await res.body.text();
    const code = /"code":"(\w+)"/.exec(text)?.[1] ?? "";
    return { status: res.statusCode, code };
}

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
