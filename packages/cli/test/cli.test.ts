import { formatTree } from "@drumpaddle/settings";
import { callOnce, type LocalCluster, startLocalCluster, waitUntil } from "@drumpaddle/standins";
import test, { type ExecutionContext } from "ava";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type ClientOptions, Exit, expireKey, issueKey, issueToken, listKeys, settings } from "../src/index.js";

interface Fixture {
    readonly stage: LocalCluster;
    readonly client: ClientOptions;
    /** Writes a settings file into a new folder and returns the folder's path. */
    readonly createSettingsFolder: (text: string) => string;
}

async function startFixture(t: ExecutionContext): Promise<Fixture> {
    const stage = await startLocalCluster({ halls: ["k1"], hostsPerHall: 2, enginesPerHall: 1 });
    const createdFolders: string[] = [];
    t.teardown(async () => {
        await stage.stop();
        for (const path of createdFolders) rmSync(path, { recursive: true });
    });
    const client = {
        hosts: stage.hosts.map(host => host.daemon.operatorsUrl),
        token: stage.operatorToken,
        timeoutMs: 10_000,
    };
    const createSettingsFolder = (text: string): string => {
        const path = mkdtempSync(join(tmpdir(), "drumpaddle-"));
        createdFolders.push(path);
        writeFileSync(join(path, "all.ini"), text);
        return path;
    };
    return { stage, client, createSettingsFolder };
}

const settingsTextOf = (stage: LocalCluster): string => formatTree(stage.hosts[0]!.daemon.host.feed.directory!.tree);

test("files are checked, planned and applied; a stale plan is refused with the edits since", async t => {
    const { stage, client, createSettingsFolder } = await startFixture(t);
    const bad = settings.check(createSettingsFolder("[root]\nattempts = lots"));
    t.is(bad.exit, Exit.Failed);
    t.regex(bad.text, /all\.ini:2 \[root\] attempts/);
    const path = createSettingsFolder(settingsTextOf(stage).replace("[root]", "[root]\nattempts = 2"));
    const planned = await settings.plan(client, path);
    t.regex(planned.text, /\[root\]\n {2}\+ attempts = 2\n1 changes against version 1/);
    t.is((await settings.setKey(client, "root", "resumes", "5", "meanwhile")).exit, Exit.Done);
    const stale = await settings.apply(client, path, "stale", 1);
    t.is(stale.exit, Exit.Failed);
    t.regex(stale.text, /version 2 by first: meanwhile\n\[root\]\n {2}\+ resumes = 5/);
    t.is((await settings.apply(client, path, "again", 2)).exit, Exit.Done);
    await waitUntil(() => stage.hosts.every(host => host.daemon.host.feed.directory?.version === 3));
    t.is((await settings.getKey(client, "root", "attempts")).text, "2");
    t.is(
        (await settings.getKey(client, "root", "resumes")).exit,
        Exit.Failed,
        "applying files unsets the keys that they do not set",
    );
});

test("an edit is explained, logged and reverted by a new edit, and the audit trail verifies", async t => {
    const { stage, client } = await startFixture(t);
    await settings.setKey(client, "workspace/clerks", "attempts", "2", "fewer");
    const explained = await settings.explainKey(client, "attempts", { workspace: "clerks" });
    t.regex(explained.text, /attempts.*2.*workspace\/clerks/);
    t.is((await settings.revert(client, 2, "back")).exit, Exit.Done);
    await waitUntil(() => stage.hosts.every(host => host.daemon.host.feed.directory?.version === 3));
    t.is((await settings.getKey(client, "workspace/clerks", "attempts")).exit, Exit.Failed);
    const log = (await settings.log(client)).data as readonly { version: number; who: string; why: string }[];
    t.deepEqual(log.map(({ version, why }) => [version, why]), [[1, "start"], [2, "fewer"], [3, "back"]]);
    t.regex((await settings.show(client, 2)).text, /\[workspace\/clerks\]\nattempts = 2/);
    t.is((await settings.verify(client)).exit, Exit.Done);
    t.is((await settings.wait(client, 3, 2_000, () => undefined)).exit, Exit.Done);
    t.is((await settings.status(client)).exit, Exit.Done);
    t.is((await settings.explainKey(client, "no-such-key", {})).exit, Exit.Failed);
});

test("the next host is called if one is down; commands fail if no host or no store can be reached", async t => {
    const { stage, client } = await startFixture(t);
    await stage.hosts[0]!.daemon.kill();
    t.is((await settings.setKey(client, "root", "attempts", "2", "")).exit, Exit.Done);
    stage.kv.setDown(true);
    t.is((await settings.setKey(client, "root", "attempts", "4", "")).exit, Exit.Failed);
    t.is((await settings.outcome(client, "some-edit")).exit, Exit.Unknown);
    stage.kv.setDown(false);
    t.is((await settings.outcome(client, "some-edit")).exit, Exit.Failed);
    t.is((await settings.log({ ...client, hosts: ["http://127.0.0.1:1"] })).exit, Exit.Failed);
    t.is((await settings.log({ ...client, token: "wrong" })).exit, Exit.Failed);
});

test("a new key works beside older ones until it expires", async t => {
    const { stage, client } = await startFixture(t);
    const issued = (await issueKey(client, "members", "rotation")).data as { id: string; secret: string };
    const send = (key: string) =>
        callOnce({
            url: stage.hosts[1]!.daemon.callersUrl,
            key,
            model: "summary-8b",
            tag: "t",
            promptTokens: 20,
            output: 3,
        });
    await waitUntil(async () => (await send(issued.secret)).outcome === "whole");
    t.is((await send(stage.keyOf("members"))).outcome, "whole");
    t.is((await expireKey(client, `key/${issued.id}`, new Date(), "done")).exit, Exit.Done);
    await waitUntil(async () => (await send(issued.secret)).status === 401);
    const listed = await listKeys(client);
    t.regex(listed.text, new RegExp(`key/${issued.id}`));
    t.false(listed.text.includes(issued.secret));
    t.false(JSON.stringify(await settings.log(client)).includes(issued.secret), "a secret is never stored");
});

test("a token that may only read cannot edit", async t => {
    const { stage, client } = await startFixture(t);
    const { secret } = (await issueToken(client, "reader", "read", "")).data as { secret: string };
    const reader = { ...client, token: secret };
    await waitUntil(() => stage.hosts.every(host => host.daemon.host.feed.directory?.version === 2));
    t.is((await settings.log(reader)).exit, Exit.Done);
    const refused = await settings.setKey(reader, "root", "attempts", "2", "");
    t.is(refused.exit, Exit.Failed);
    t.regex(refused.text, /403/);
});

const COMMANDS: readonly { readonly args: readonly string[]; readonly exit: number; readonly printed: RegExp }[] = [
    { args: ["--help"], exit: Exit.Done, printed: /settings apply/ },
    { args: ["settings", "set", "--help"], exit: Exit.Done, printed: /Examples\n.*settings set workspace\/clerks/ },
    { args: ["nonsense"], exit: Exit.Usage, printed: /Invalid command/ },
    { args: ["settings", "get", "root"], exit: Exit.Usage, printed: /Insufficient arguments/ },
    { args: ["status", "--bogus"], exit: Exit.Usage, printed: /unknown flag --bogus/ },
    { args: ["settings", "show", "x"], exit: Exit.Usage, printed: /allowed: a version/ },
    { args: ["settings", "check", "/no/such/folder"], exit: Exit.Usage, printed: /no such file/ },
    {
        args: ["settings", "log", "--hosts", "http://127.0.0.1:1"],
        exit: Exit.Failed,
        printed: /no host could be reached/,
    },
    {
        args: ["settings", "outcome", "e", "--hosts", "http://127.0.0.1:1"],
        exit: Exit.Unknown,
        printed: /no host could be reached/,
    },
];

for (const { args, exit, printed } of COMMANDS) {
    test(`drumpaddle ${args.join(" ")} exits ${exit}`, t => {
        const main = fileURLToPath(new URL("../src/main.ts", import.meta.url));
        const run = spawnSync(process.execPath, ["--import=tsx", "--conditions=drumpaddle-source", main, ...args], {
            encoding: "utf8",
        });
        t.is(run.status, exit, run.stderr);
        t.regex(run.stdout + run.stderr, printed);
    });
}
