import test from "ava";
import { request } from "undici";
import { type Stage, startStage, waitUntil } from "../src/index.js";

const FATAL = "a prompt that ends its engine";
const TRIES = 6;
/** Between two tries: an engine is back, and the hosts of a hall have told each other. */
const PAUSE_MS = 300;

/** Asks a host for a generation; gives the status and the code of the error. */
async function ask(
    stage: Stage,
    at: number,
    content: string,
): Promise<{ readonly status: number; readonly code: string }> {
    const { daemon } = stage.hosts[at % stage.hosts.length]!;
    const res = await request(`${daemon.callersUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { "authorization": `Bearer ${stage.keyOf("members")}`, "content-type": "application/json" },
        body: JSON.stringify({ model: "summary-8b", max_tokens: 5, messages: [{ role: "user", content }] }),
    });
    const text = await res.body.text();
    const code = /"code":"(\w+)"/.exec(text)?.[1] ?? "";
    return { status: res.statusCode, code };
}

test("a generation that has ended three engines is begun at no fourth, by no host of the hall", async t => {
    const stage = await startStage({ halls: ["k1"], hostsPerHall: 2, enginesPerHall: 3, engine: { speed: 20 } });
    t.teardown(() => stage.stop());
    await waitUntil(() => stage.hosts.every(({ daemon }) => daemon.host.peers?.live.length === stage.hosts.length));
    for (const { server } of stage.engines) server.fatal.push(FATAL);
    const codes: string[] = [];
    for (let at = 0; at < TRIES; at++) {
        codes.push((await ask(stage, at, FATAL)).code);
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
    const endings = stage.engines.reduce((sum, { server }) => sum + server.endings, 0);
    t.is(endings, 3, codes.join(" "));
    t.is(codes.at(-1), "request_quarantined");
    t.is((await ask(stage, 0, "another prompt")).status, 200);
});
