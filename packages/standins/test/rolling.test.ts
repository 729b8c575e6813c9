import test from "ava";
import { type CallerResult, callOnce, type Stage, startStage, waitUntil } from "../src/index.js";

/** Sends to whichever host is ready, as the platform's balancer does, again if it is refused as not run. */
async function sendBalanced(stage: Stage, tag: string): Promise<CallerResult> {
    for (;;) {
        const ready = stage.hosts.filter(host => !host.daemon.host.runs.stopping);
        const host = ready[Number(/\d+/.exec(tag)) % ready.length]!;
        const result = await callOnce({
            url: host.daemon.callersUrl,
            key: stage.keyOf("members"),
            model: "summary-8b",
            tag,
            promptTokens: 50,
            output: 30,
        });
        if (result.outcome !== "refused") return result;
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

/** Calls that begin before each stop, so that each has some to lose, however fast hosts are replaced. */
const CALLS_PER_STOP = 6;

test("replacing every host of a hall one after the other, under load, loses no request", async t => {
    const stage = await startStage({
        halls: ["k1"],
        hostsPerHall: 3,
        enginesPerHall: 2,
        engine: { speed: 10 },
        flags: { "control.heartbeat": "100ms" },
    });
    t.teardown(() => stage.stop());
    await waitUntil(() => stage.hosts.every(host => host.daemon.host.peers?.live.length === 3));
    let replacing = true;
    const results: Promise<CallerResult>[] = [];
    const load = (async () => {
        for (let at = 0; replacing; at++) {
            results.push(sendBalanced(stage, `t${at}`));
            await new Promise(resolve => setTimeout(resolve, 15));
        }
    })();
    for (const old of [...stage.hosts]) {
        const before = results.length;
        await stage.addHost("k1", `${old.name}-next`);
        await waitUntil(() => results.length >= before + CALLS_PER_STOP);
        await old.daemon.stop();
        (stage.hosts as typeof old[]).splice(stage.hosts.indexOf(old), 1);
    }
    replacing = false;
    await load;
    const outcomes = (await Promise.all(results)).map(result => result.outcome);
    t.true(outcomes.length >= 3 * CALLS_PER_STOP);
    t.deepEqual(outcomes.filter(outcome => outcome !== "whole"), []);
    t.is(stage.hosts.length, 3);
});
