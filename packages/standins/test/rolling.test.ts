import test from "ava";
import { type CallerResult, callOnce, type LocalCluster, startLocalCluster, waitUntil } from "../src/index.js";

/**
 * Sends a request to a ready host, as the platform's load balancer does, and resends it if it was refused as not run.
 */
async function sendBalanced(cluster: LocalCluster, tag: string): Promise<CallerResult> {
    for (;;) {
        const ready = cluster.hosts.filter(host => !host.daemon.host.openRequests.stopping);
        const host = ready[Number(/\d+/.exec(tag)) % ready.length]!;
        const result = await callOnce({
            url: host.daemon.callersUrl,
            key: cluster.keyOf("members"),
            model: "summary-8b",
            tag,
            promptTokens: 50,
            output: 30,
        });
        if (result.outcome !== "refused") return result;
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

/** Calls to start before each stop, so that each stop meets running calls even if hosts are replaced quickly. */
const MIN_CALLS_PER_STOP = 6;

test("replacing all hosts of a hall one by one under load loses no request", async t => {
    const cluster = await startLocalCluster({
        halls: ["k1"],
        hostsPerHall: 3,
        enginesPerHall: 2,
        engine: { speed: 10 },
        flags: { "control.heartbeat": "100ms" },
    });
    t.teardown(() => cluster.stop());
    await waitUntil(() => cluster.hosts.every(host => host.daemon.host.peers?.live.length === 3));
    let replacing = true;
    const results: Promise<CallerResult>[] = [];
    const load = (async () => {
        for (let index = 0; replacing; index++) {
            results.push(sendBalanced(cluster, `t${index}`));
            await new Promise(resolve => setTimeout(resolve, 15));
        }
    })();
    for (const old of [...cluster.hosts]) {
        const before = results.length;
        await cluster.addHost("k1", `${old.name}-next`);
        await waitUntil(() => results.length >= before + MIN_CALLS_PER_STOP);
        await old.daemon.stop();
        (cluster.hosts as typeof old[]).splice(cluster.hosts.indexOf(old), 1);
    }
    replacing = false;
    await load;
    const outcomes = (await Promise.all(results)).map(result => result.outcome);
    t.true(outcomes.length >= 3 * MIN_CALLS_PER_STOP);
    t.deepEqual(outcomes.filter(outcome => outcome !== "whole"), []);
    t.is(cluster.hosts.length, 3);
});
