import { type Change } from "@drumpaddle/settings";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { callOnce, type Stage, type StageCfg, startStage, waitUntil } from "../src/index.js";

async function stageFor(t: ExecutionContext, cfg: Partial<StageCfg> = {}): Promise<Stage> {
    const stage = await startStage({
        halls: ["k1"],
        hostsPerHall: 3,
        enginesPerHall: 1,
        flags: { "control.heartbeat": "100ms" },
        ...cfg,
    });
    t.teardown(() => stage.stop());
    await waitUntil(() => stage.hosts.every(host => host.daemon.host.peers?.live.length === 3));
    return stage;
}

interface EditAnswer {
    readonly status: number;
    readonly body: { readonly kind: string; readonly version?: number };
}

async function editAt(stage: Stage, host: number, editId: string, changes: readonly Change[]): Promise<EditAnswer> {
    const res = await request(`${stage.hosts[host]!.daemon.operatorsUrl}/settings/edits`, {
        method: "POST",
        headers: { "authorization": `Bearer ${stage.operatorToken}`, "content-type": "application/json" },
        body: JSON.stringify({ editId, why: "test", changes }),
    });
    return { status: res.statusCode, body: await res.body.json() as EditAnswer["body"] };
}

const attempts = (
    after: string,
    before?: string,
): readonly Change[] => [{ path: "root", key: "attempts", after, ...(before === undefined ? {} : { before }) }];
const versions = (stage: Stage): readonly number[] =>
    stage.hosts.map(host => host.daemon.host.feed.directory?.version ?? 0);

test("an edit at one host comes into force at all hosts of the hall", async t => {
    const stage = await stageFor(t);
    const answer = await editAt(stage, 1, "edit-0001", attempts("2"));
    t.is(answer.status, 200);
    await waitUntil(() => versions(stage).every(version => version === 2));
    t.true(stage.hosts.every(host => host.daemon.host.feed.directory?.settingsFor("members", "scribe").attempts === 2));
});

test("of two operators who change the same key one is told of the conflict, of other keys both win", async t => {
    const stage = await stageFor(t);
    const race = await Promise.all([
        editAt(stage, 0, "edit-000a", attempts("2")),
        editAt(stage, 1, "edit-000b", attempts("4")),
    ]);
    t.deepEqual(race.map(answer => answer.status).sort(), [200, 409]);
    const apart = await Promise.all([
        editAt(stage, 0, "edit-000c", [{ path: "root", key: "resumes", after: "2" }]),
        editAt(stage, 1, "edit-000d", [{ path: "root", key: "queue-limit", after: "50" }]),
    ]);
    t.deepEqual(apart.map(answer => answer.status), [200, 200]);
});

test("a write whose reply is lost is settled, and a retry of the same edit is one edit", async t => {
    const stage = await stageFor(t);
    stage.kv.faults.loseReplies = 1;
    const first = await editAt(stage, 0, "edit-lost", attempts("2"));
    t.deepEqual([first.status, first.body.kind, first.body.version], [200, "accepted", 2]);
    const again = await editAt(stage, 2, "edit-lost", attempts("2"));
    t.deepEqual([again.status, again.body.kind, again.body.version], [200, "accepted", 2]);
});

test("with the service away an edit is refused, and requests go on", async t => {
    const stage = await stageFor(t);
    stage.kv.setDown(true);
    t.is((await editAt(stage, 0, "edit-away", attempts("2"))).status, 503);
    const call = {
        url: stage.hosts[1]!.daemon.callersUrl,
        key: stage.keyOf("members"),
        model: "summary-8b",
        tag: "t",
        promptTokens: 100,
        output: 5,
    };
    t.is((await callOnce(call)).outcome, "whole");
    stage.kv.setDown(false);
    t.is((await editAt(stage, 0, "edit-back", attempts("5"))).status, 200);
});

test("a host that starts while the service is away learns the newest version from its peers", async t => {
    const stage = await stageFor(t);
    await editAt(stage, 0, "edit-0001", attempts("2"));
    await waitUntil(() => versions(stage).every(version => version === 2));
    stage.kv.setDown(true);
    const late = await stage.addHost("k1", "k1-z");
    t.is(late.daemon.host.feed.directory?.version, 2);
});

test("a service that serves an older version again is not followed", async t => {
    const stage = await stageFor(t);
    await editAt(stage, 0, "edit-0001", attempts("2"));
    await waitUntil(() => versions(stage).every(version => version === 2));
    stage.kv.faults.readAtRevision = 2;
    await Promise.all(stage.hosts.map(host => host.daemon.host.feed.refresh()));
    t.deepEqual(versions(stage), [2, 2, 2]);
    t.true(stage.logLines.some(line => line.includes("event=settings_ignored") && line.includes("result=older")));
});

test("an edit that would leave no operator who may edit is refused", async t => {
    const stage = await stageFor(t);
    const answer = await editAt(stage, 0, "edit-lock", [{
        path: "operator/first",
        key: "role",
        before: "edit",
        after: "read",
    }]);
    t.is(answer.status, 422);
    t.deepEqual(versions(stage), [1, 1, 1]);
});
