import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { type PlainFault, type Stage, startStage } from "../src/index.js";

async function stageFor(t: ExecutionContext, desks: Record<string, string> = {}): Promise<Stage> {
    const stage = await startStage({
        halls: ["k1"],
        hostsPerHall: 2,
        enginesPerHall: 1,
        tree: { "service/desk": desks },
    });
    t.teardown(() => stage.stop());
    return stage;
}

interface Answer {
    readonly status: number;
    readonly ran: string | undefined;
    readonly recorded: boolean;
    readonly text: string;
}

async function callDesk(
    stage: Stage,
    method: "GET" | "POST",
    path: string,
    headers: Record<string, string> = {},
    host = 0,
): Promise<Answer> {
    const res = await request(`${stage.hosts[host]!.daemon.callersUrl}/services/desk${path}`, {
        method,
        headers: { authorization: `Bearer ${stage.keyOf("members")}`, ...headers },
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

const runs = (stage: Stage): number => [...stage.plain[0]!.server.ran.values()].reduce((sum, count) => sum + count, 0);

test("a call goes through with method, path, query and body", async t => {
    const stage = await stageFor(t);
    const answer = await callDesk(stage, "POST", "/holds/7?quick=1");
    t.deepEqual(JSON.parse(answer.text), {
        service: "desk-k1",
        method: "POST",
        url: "/holds/7?quick=1",
        body: "slot 7",
    });
});

const FAULTS: readonly {
    readonly fault: PlainFault;
    readonly get: number;
    readonly post: number;
    readonly postRan: string | undefined;
}[] = [
    { fault: "refuse", get: 200, post: 200, postRan: undefined },
    { fault: "breakBefore", get: 200, post: 502, postRan: "unknown" },
    { fault: "runThenBreak", get: 200, post: 502, postRan: "unknown" },
    { fault: "error", get: 500, post: 500, postRan: undefined },
];

for (const { fault, get, post, postRan } of FAULTS) {
    test(`a service that does ${fault}: reading is tried again, changing is not`, async t => {
        const stage = await stageFor(t);
        stage.plain[0]!.server.faults.push(fault);
        t.is((await callDesk(stage, "GET", "/holds")).status, get);
        stage.plain[0]!.server.faults.push(fault);
        const before = runs(stage);
        const changed = await callDesk(stage, "POST", "/holds");
        t.deepEqual([changed.status, changed.ran], [post, postRan]);
        t.true(runs(stage) - before <= 1);
    });
}

test("a call resent with its key to any host runs once and gets the recorded answer", async t => {
    const stage = await stageFor(t);
    const key = { "idempotency-key": "hold-7" };
    const first = await callDesk(stage, "POST", "/holds", key);
    let again = await callDesk(stage, "POST", "/holds", key, 1);
    for (let tried = 0; tried < 50 && again.status === 409; tried++) {
        again = await callDesk(stage, "POST", "/holds", key, 1);
    }
    t.deepEqual([again.status, again.text, again.recorded], [first.status, first.text, true]);
    t.is(runs(stage), 1);
    t.is((await callDesk(stage, "POST", "/cancellations", key)).status, 422);
});

test("calls sent at once with one key run once", async t => {
    const stage = await stageFor(t);
    const answers = await Promise.all(
        Array.from({ length: 10 }, (_, at) => callDesk(stage, "POST", "/holds", { "idempotency-key": "race" }, at % 2)),
    );
    t.is(runs(stage), 1);
    t.is(answers.filter(answer => answer.status === 200 && !answer.recorded).length, 1);
    t.true(answers.every(answer => answer.status === 200 || answer.ran === "unknown"));
});

test("a call whose endpoint broke off is never run again under its key", async t => {
    const stage = await stageFor(t);
    stage.plain[0]!.server.faults.push("runThenBreak");
    const key = { "idempotency-key": "broken" };
    t.is((await callDesk(stage, "POST", "/holds", key)).ran, "unknown");
    t.is((await callDesk(stage, "POST", "/holds", key, 1)).ran, "unknown");
    t.is(runs(stage), 1);
});

test("with the platform away a claimed call is refused as not run; with its reply lost it runs once", async t => {
    const stage = await stageFor(t);
    await callDesk(stage, "POST", "/holds", { "idempotency-key": "warm" });
    stage.kv.setDown(true);
    t.deepEqual(await callDesk(stage, "POST", "/holds", { "idempotency-key": "away" }).then(a => [a.status, a.ran]), [
        503,
        "no",
    ]);
    stage.kv.setDown(false);
    stage.kv.faults.loseReplies = 1;
    t.is((await callDesk(stage, "POST", "/holds", { "idempotency-key": "lost" })).status, 200);
    t.is(runs(stage), 2);
});
