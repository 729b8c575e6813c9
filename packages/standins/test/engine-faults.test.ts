import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import {
    type CallerResult,
    callOnce,
    type EngineFault,
    type LocalCluster,
    startLocalCluster,
    waitUntil,
} from "../src/index.js";

/**
 * Short timeouts, yet above the time to the first token on a machine that runs all tests and other work at once (1,256
 * ms were measured), so that only injected faults run into them.
 */
const SHORT_TIMEOUTS = { "idle-timeout": "3s", "first-token-timeout": "3s", "connect-timeout": "3s" };

async function startCluster(
    t: ExecutionContext,
    members: Record<string, string> = {},
    engines = 2,
): Promise<LocalCluster> {
    const cluster = await startLocalCluster({
        halls: ["k1"],
        enginesPerHall: engines,
        engine: { speed: 20 },
        tree: { root: SHORT_TIMEOUTS, "workspace/members": members },
    });
    t.teardown(() => cluster.stop());
    return cluster;
}

function send(cluster: LocalCluster, headers: { tag?: string; output?: number } = {}): Promise<CallerResult> {
    return callOnce({
        url: cluster.hosts[0]!.daemon.callersUrl,
        key: cluster.keyOf("members"),
        model: "summary-8b",
        tag: headers.tag ?? "t",
        promptTokens: 50,
        output: headers.output ?? 20,
    });
}

function countRuns(cluster: LocalCluster): number {
    return cluster.engines.flatMap(({ server }) => [...server.runsByRequest.values()]).reduce(
        (sum, runs) => sum + runs,
        0,
    );
}

interface Case {
    readonly fault: EngineFault;
    /** Outcome of a repeatable, streamed request if the first of two engines has the fault. */
    readonly outcome: CallerResult["outcome"];
    readonly runs: number;
    readonly code?: string;
}

const CASES: readonly Case[] = [
    { fault: { kind: "refuse" }, outcome: "whole", runs: 1 },
    { fault: { kind: "serverError" }, outcome: "whole", runs: 1 },
    { fault: { kind: "html" }, outcome: "whole", runs: 1 },
    { fault: { kind: "noAnswer" }, outcome: "whole", runs: 1 },
    { fault: { kind: "closeBeforeHead" }, outcome: "whole", runs: 1 },
    { fault: { kind: "resetAt", at: 5 }, outcome: "whole", runs: 1 },
    { fault: { kind: "loseGenerationAt", at: 5 }, outcome: "failed", runs: 1, code: "stream_incomplete" },
    { fault: { kind: "stallAt", at: 5 }, outcome: "whole", runs: 1 },
    { fault: { kind: "repeatAt", at: 5 }, outcome: "whole", runs: 1 },
    { fault: { kind: "skipAt", at: 5 }, outcome: "whole", runs: 1 },
    { fault: { kind: "swapAt", at: 5 }, outcome: "whole", runs: 1 },
    { fault: { kind: "foreignTokenAt", at: 5 }, outcome: "whole", runs: 1 },
    { fault: { kind: "otherGenerationAt", at: 5 }, outcome: "whole", runs: 1 },
    { fault: { kind: "halfChunkAt", at: 5 }, outcome: "whole", runs: 1 },
    { fault: { kind: "hugeChunkAt", at: 5 }, outcome: "failed", runs: 1, code: "endpoint_invalid_answer" },
    { fault: { kind: "shortTotal" }, outcome: "whole", runs: 1 },
];

for (const { fault, outcome, runs, code } of CASES) {
    test(`an engine with the fault ${fault.kind}`, async t => {
        const cluster = await startCluster(t);
        cluster.engines[0]!.server.faults.push(fault);
        const result = await send(cluster);
        t.is(result.outcome, outcome, JSON.stringify(result));
        t.is(result.code, code);
        t.is(countRuns(cluster), runs);
    });
}

test("a request that is not repeatable is never sent twice", async t => {
    const cluster = await startCluster(t, { repeatable: "false" });
    for (const kind of ["serverError", "noAnswer", "closeBeforeHead"] as const) {
        for (const { server } of cluster.engines) server.faults.push({ kind });
        const result = await send(cluster);
        t.is(result.outcome, "failed", kind);
        t.is(result.ran, "unknown", kind);
        for (const { server } of cluster.engines) server.faults.length = 0;
    }
    t.is(countRuns(cluster), 0);
});

test("a request that is not repeatable is retried elsewhere after a refusal that proves it did not run", async t => {
    const cluster = await startCluster(t, { repeatable: "false" });
    cluster.engines[0]!.server.faults.push({ kind: "refuse" });
    t.is((await send(cluster)).outcome, "whole");
    t.is(countRuns(cluster), 1);
});

/** Number of requests within which each of three engines gets at least one. */
const MAX_TURNS = 30;

test("refusals for lack of room do not count for the circuit breaker, failures do", async t => {
    const cluster = await startCluster(t, {}, 3);
    // One fault at a time, so that the initial retry budget of three is not exhausted.
    const failuresAfter = async (kind: "refuse" | "serverError"): Promise<number> => {
        const { faults } = cluster.engines[0]!.server;
        faults.push({ kind });
        // Equal endpoints are chosen in turn, but on a slow machine their loads differ for a while; so sends until
        // engine-1 is chosen.
        for (let sent = 0; faults.length > 0 && sent < MAX_TURNS; sent++) {
            t.is((await send(cluster)).outcome, "whole");
        }
        t.is(faults.length, 0);
        return cluster.hosts[0]!.daemon.host.engines.view.endpoints.get("engine-1")!.breaker.failures;
    };
    t.is(await failuresAfter("refuse"), 0);
    t.is(await failuresAfter("serverError"), 1);
});

test("answers of concurrent requests are never mixed up", async t => {
    // Long timeouts: on a busy machine first tokens would run into short ones, and the retries would exhaust their
    // budget.
    const cluster = await startCluster(t, { "first-token-timeout": "60s", "idle-timeout": "60s" });
    const results = await Promise.all(
        Array.from({ length: 40 }, (_, index) => send(cluster, { tag: `t${index}`, output: 5 + index })),
    );
    const bad = results.filter(result => result.outcome !== "whole");
    t.deepEqual(bad, [], JSON.stringify(bad));
});

test("an endpoint that is leaving gets no new requests, whether it or the host list says so", async t => {
    const cluster = await startCluster(t);
    const [first, second] = cluster.engines.map(({ server }) => server);
    const host = cluster.hosts[0]!.daemon.host;
    const leaving = (at: number) => [...host.engines.view.endpoints.values()][at]!.leavingBy;
    first!.leaving = true;
    await waitUntil(() => leaving(0).includes("endpoint"));
    cluster.hostList.set([{ name: "m", hall: "k1", state: "live", endpoint: "engine-1" }]);
    for (let index = 0; index < 5; index++) t.is((await send(cluster)).outcome, "whole");
    t.is(first!.runsByRequest.size, 0);
    t.is(second!.runsByRequest.size, 5);
    cluster.hostList.set([{ name: "m", hall: "k1", state: "leaving", endpoint: "engine-2" }]);
    await waitUntil(() => leaving(1).includes("hostList"));
    const refused = await send(cluster);
    t.deepEqual([refused.code, refused.ran], ["no_endpoint", "no"]);
    t.is(second!.runsByRequest.size, 5);
});

test("a stopping host finishes running requests, refuses new ones and is not ready", async t => {
    const cluster = await startCluster(t);
    const daemon = cluster.hosts[0]!.daemon;
    const running = send(cluster, { output: 400 });
    await waitUntil(() => daemon.host.openRequests.size === 1);
    const stopped = daemon.stop();
    const late = await send(cluster);
    t.deepEqual([late.outcome, late.code, late.ran], ["refused", "host_stopping", "no"]);
    const ready = await request(`${daemon.operatorsUrl}/readyz`);
    t.is(ready.statusCode, 503);
    await ready.body.dump();
    t.is((await running).outcome, "whole");
    await stopped;
});

test("a stopping host without running requests still answers callers that the load balancer sends", async t => {
    const cluster = await startCluster(t, {}, 1);
    const daemon = cluster.hosts[0]!.daemon;
    const stopped = daemon.stop();
    const refused = await send(cluster);
    t.deepEqual([refused.outcome, refused.code, refused.ran], ["refused", "host_stopping", "no"]);
    await new Promise(resolve => setTimeout(resolve, 500));
    const later = await send(cluster);
    t.deepEqual([later.outcome, later.code, later.ran], ["refused", "host_stopping", "no"]);
    await stopped;
});

test("waiting requests are refused as not run when the host is stopped", async t => {
    const cluster = await startCluster(t, { "gap-target": "1ms" }, 1);
    const daemon = cluster.hosts[0]!.daemon;
    const running = send(cluster, { output: 300 });
    await waitUntil(() => daemon.host.engines.view.placed.size === 1);
    const waiting = send(cluster);
    await waitUntil(() => daemon.host.engines.view.waiting.length === 1);
    const stopped = daemon.stop();
    const refused = await waiting;
    t.deepEqual([refused.outcome, refused.ran], ["refused", "no"]);
    t.is((await running).outcome, "whole");
    await stopped;
});

test("a caller that reads nothing does not fill the daemon's memory, and is disconnected in time", async t => {
    const cluster = await startCluster(t, { "caller-stall-timeout": "2s" });
    const controller = new AbortController();
    const res = await request(`${cluster.hosts[0]!.daemon.callersUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${cluster.keyOf("members")}` },
        body: JSON.stringify({
            model: "summary-8b",
            stream: true,
            messages: [{ role: "user", content: "x" }],
            x_output: 60_000,
            x_tag: "y".repeat(20_000),
        }),
        signal: controller.signal,
    });
    t.is(res.statusCode, 200);
    await waitUntil(() => cluster.logLines.some(line => line.includes("outcome=caller_gone")));
    await waitUntil(() => cluster.engines.some(({ server }) => server.cancelledGenerations.length === 1));
    const generated = cluster.engines.reduce((sum, { server }) => sum + server.tokensGenerated, 0);
    const line = cluster.logLines.find(other => other.includes("outcome=caller_gone")) ?? "";
    const readTokens = Number(/ tokens=(\d+)/.exec(line)?.[1]);
    t.log(`${generated} tokens generated, ${readTokens} read from the engine`);
    t.true(readTokens < generated / 2, `${readTokens} of ${generated} tokens were read for a caller that reads none`);
    controller.abort();
    res.body.on("error", () => undefined);
});
