import { type Change } from "@drumpaddle/settings";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { callOnce, type LocalCluster, type LocalClusterCfg, startLocalCluster, waitUntil } from "../src/index.js";

async function startCluster(t: ExecutionContext, cfg: Partial<LocalClusterCfg> = {}): Promise<LocalCluster> {
    const cluster = await startLocalCluster({
        halls: ["k1"],
        hostsPerHall: 3,
        enginesPerHall: 1,
        flags: { "control.heartbeat": "100ms" },
        ...cfg,
    });
    t.teardown(() => cluster.stop());
    await waitUntil(() => cluster.hosts.every(host => host.daemon.host.peers?.live.length === 3));
    return cluster;
}

interface EditAnswer {
    readonly status: number;
    readonly body: { readonly kind: string; readonly version?: number };
}

async function editAt(
    cluster: LocalCluster,
    host: number,
    editId: string,
    changes: readonly Change[],
): Promise<EditAnswer> {
    const res = await request(`${cluster.hosts[host]!.daemon.operatorsUrl}/settings/edits`, {
        method: "POST",
        headers: { "authorization": `Bearer ${cluster.operatorToken}`, "content-type": "application/json" },
        body: JSON.stringify({ editId, why: "test", changes }),
    });
    return { status: res.statusCode, body: await res.body.json() as EditAnswer["body"] };
}

const attemptsChange = (
    after: string,
    before?: string,
): readonly Change[] => [{ path: "root", key: "attempts", after, ...(before === undefined ? {} : { before }) }];
const settingsVersions = (cluster: LocalCluster): readonly number[] =>
    cluster.hosts.map(host => host.daemon.host.feed.directory?.version ?? 0);

test("an edit accepted by one host comes into force at all hosts of the hall", async t => {
    const cluster = await startCluster(t);
    const answer = await editAt(cluster, 1, "edit-0001", attemptsChange("2"));
    t.is(answer.status, 200);
    await waitUntil(() => settingsVersions(cluster).every(version => version === 2));
    t.true(
        cluster.hosts.every(host => host.daemon.host.feed.directory?.settingsFor("members", "scribe").attempts === 2),
    );
});

test("of two concurrent edits of the same key one gets a conflict; edits of different keys both succeed", async t => {
    const cluster = await startCluster(t);
    const sameKey = await Promise.all([
        editAt(cluster, 0, "edit-000a", attemptsChange("2")),
        editAt(cluster, 1, "edit-000b", attemptsChange("4")),
    ]);
    t.deepEqual(sameKey.map(answer => answer.status).sort(), [200, 409]);
    const differentKeys = await Promise.all([
        editAt(cluster, 0, "edit-000c", [{ path: "root", key: "resumes", after: "2" }]),
        editAt(cluster, 1, "edit-000d", [{ path: "root", key: "queue-limit", after: "50" }]),
    ]);
    t.deepEqual(differentKeys.map(answer => answer.status), [200, 200]);
});

test("an edit whose write loses its reply is accepted, and its retry is not applied again", async t => {
    const cluster = await startCluster(t);
    cluster.kv.faults.loseReplies = 1;
    const first = await editAt(cluster, 0, "edit-lost", attemptsChange("2"));
    t.deepEqual([first.status, first.body.kind, first.body.version], [200, "accepted", 2]);
    const again = await editAt(cluster, 2, "edit-lost", attemptsChange("2"));
    t.deepEqual([again.status, again.body.kind, again.body.version], [200, "accepted", 2]);
});

test("during an outage of the key-value service edits are refused and requests still run", async t => {
    const cluster = await startCluster(t);
    cluster.kv.setDown(true);
    t.is((await editAt(cluster, 0, "edit-away", attemptsChange("2"))).status, 503);
    const call = {
        url: cluster.hosts[1]!.daemon.callersUrl,
        key: cluster.keyOf("members"),
        model: "summary-8b",
        tag: "t",
        promptTokens: 100,
        output: 5,
    };
    t.is((await callOnce(call)).outcome, "whole");
    cluster.kv.setDown(false);
    t.is((await editAt(cluster, 0, "edit-back", attemptsChange("5"))).status, 200);
});

test("a host that starts during an outage of the key-value service gets the settings from its peers", async t => {
    const cluster = await startCluster(t);
    await editAt(cluster, 0, "edit-0001", attemptsChange("2"));
    await waitUntil(() => settingsVersions(cluster).every(version => version === 2));
    cluster.kv.setDown(true);
    const late = await cluster.addHost("k1", "k1-z");
    t.is(late.daemon.host.feed.directory?.version, 2);
});

test("settings older than those in force are ignored", async t => {
    const cluster = await startCluster(t);
    await editAt(cluster, 0, "edit-0001", attemptsChange("2"));
    await waitUntil(() => settingsVersions(cluster).every(version => version === 2));
    cluster.kv.faults.readAtRevision = 2;
    await Promise.all(cluster.hosts.map(host => host.daemon.host.feed.refresh()));
    t.deepEqual(settingsVersions(cluster), [2, 2, 2]);
    t.true(cluster.logLines.some(line => line.includes("event=settings_ignored") && line.includes("result=older")));
});

test("an edit that would leave no operator with the edit role is refused", async t => {
    const cluster = await startCluster(t);
    const answer = await editAt(cluster, 0, "edit-lock", [{
        path: "operator/first",
        key: "role",
        before: "edit",
        after: "read",
    }]);
    t.is(answer.status, 422);
    t.deepEqual(settingsVersions(cluster), [1, 1, 1]);
});
