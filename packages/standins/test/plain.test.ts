import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { type LocalCluster, type PlainFault, startLocalCluster } from "../src/index.js";

async function startCluster(t: ExecutionContext, deskSettings: Record<string, string> = {}): Promise<LocalCluster> {
    const cluster = await startLocalCluster({
        halls: ["k1"],
        hostsPerHall: 2,
        enginesPerHall: 1,
        tree: { "service/desk": deskSettings },
    });
    t.teardown(() => cluster.stop());
    return cluster;
}

interface Answer {
    readonly status: number;
    readonly ran: string | undefined;
    readonly recorded: boolean;
    readonly text: string;
}

async function callDesk(
    cluster: LocalCluster,
    method: "GET" | "POST",
    path: string,
    headers: Record<string, string> = {},
    host = 0,
): Promise<Answer> {
    const res = await request(`${cluster.hosts[host]!.daemon.callersUrl}/services/desk${path}`, {
        method,
        headers: { authorization: `Bearer ${cluster.keyOf("members")}`, ...headers },
        ...(method === "POST" ? { body: "slot 7" } : {}),
    });
    const ran = res.headers["x-ran"];
    return {
        status: res.statusCode,
        ran: typeof ran === "string" ? ran : undefined,
        recorded: res.headers["x-recorded"] === "true",
        text: await res.body.text(),
    };
}

const countRuns = (cluster: LocalCluster): number =>
    [...cluster.plainServices[0]!.server.runsByCall.values()].reduce((sum, count) => sum + count, 0);

test("a call is passed on with its method, path, query and body", async t => {
    const cluster = await startCluster(t);
    const answer = await callDesk(cluster, "POST", "/holds/7?quick=1");
    t.deepEqual(JSON.parse(answer.text), {
        service: "desk-k1",
        method: "POST",
        url: "/holds/7?quick=1",
        body: "slot 7",
    });
});

const FAULT_CASES: readonly {
    readonly fault: PlainFault;
    readonly get: number;
    readonly post: number;
    readonly postRan: string | undefined;
}[] = [
    { fault: "refuse", get: 200, post: 200, postRan: undefined },
    { fault: "closeBeforeRun", get: 200, post: 502, postRan: "unknown" },
    { fault: "closeAfterRun", get: 200, post: 502, postRan: "unknown" },
    { fault: "error", get: 500, post: 500, postRan: undefined },
];

for (const { fault, get, post, postRan } of FAULT_CASES) {
    test(`a service with the fault ${fault}: GET and POST are retried only where that is safe`, async t => {
        const cluster = await startCluster(t);
        cluster.plainServices[0]!.server.faults.push(fault);
        t.is((await callDesk(cluster, "GET", "/holds")).status, get);
        cluster.plainServices[0]!.server.faults.push(fault);
        const before = countRuns(cluster);
        const changed = await callDesk(cluster, "POST", "/holds");
        t.deepEqual([changed.status, changed.ran], [post, postRan]);
        t.true(countRuns(cluster) - before <= 1);
    });
}

test("a call resent with its idempotency key to any host runs once and gets the recorded answer", async t => {
    const cluster = await startCluster(t);
    const key = { "idempotency-key": "hold-7" };
    const first = await callDesk(cluster, "POST", "/holds", key);
    let again = await callDesk(cluster, "POST", "/holds", key, 1);
    for (let tries = 0; tries < 50 && again.status === 409; tries++) {
        again = await callDesk(cluster, "POST", "/holds", key, 1);
    }
    t.deepEqual([again.status, again.text, again.recorded], [first.status, first.text, true]);
    t.is(countRuns(cluster), 1);
    t.is((await callDesk(cluster, "POST", "/cancellations", key)).status, 422);
});

test("concurrent calls with the same idempotency key run once", async t => {
    const cluster = await startCluster(t);
    const answers = await Promise.all(
        Array.from(
            { length: 10 },
            (_, index) => callDesk(cluster, "POST", "/holds", { "idempotency-key": "race" }, index % 2),
        ),
    );
    t.is(countRuns(cluster), 1);
    t.is(answers.filter(answer => answer.status === 200 && !answer.recorded).length, 1);
    t.true(answers.every(answer => answer.status === 200 || answer.ran === "unknown"));
});

test("a call whose endpoint broke off is never run again under its idempotency key", async t => {
    const cluster = await startCluster(t);
    cluster.plainServices[0]!.server.faults.push("closeAfterRun");
    const key = { "idempotency-key": "broken" };
    t.is((await callDesk(cluster, "POST", "/holds", key)).ran, "unknown");
    t.is((await callDesk(cluster, "POST", "/holds", key, 1)).ran, "unknown");
    t.is(countRuns(cluster), 1);
});

test("a call with a key is refused during a store outage, and runs once if the store's reply is lost", async t => {
    const cluster = await startCluster(t);
    await callDesk(cluster, "POST", "/holds", { "idempotency-key": "warm" });
    cluster.kv.setDown(true);
    t.deepEqual(await callDesk(cluster, "POST", "/holds", { "idempotency-key": "away" }).then(a => [a.status, a.ran]), [
        503,
        "no",
    ]);
    cluster.kv.setDown(false);
    cluster.kv.faults.loseReplies = 1;
    t.is((await callDesk(cluster, "POST", "/holds", { "idempotency-key": "lost" })).status, 200);
    t.is(countRuns(cluster), 2);
});
