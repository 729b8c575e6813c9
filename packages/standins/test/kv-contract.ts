/**
 * Contract tests for implementations of the key-value interface; the test file of each adapter declares them.
 *
 * @module
 */
import type { KeyValue, KvChange } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { waitUntil } from "../src/index.js";

/** An implementation under test, with controls that make its service fail. */
export interface KeyValueFixture {
    readonly kv: KeyValue;
    /** A client of the same kind for an address at which nothing listens. */
    readonly unreachable: KeyValue;
    readonly setDown: (down: boolean) => void;
    /** Makes the service apply the next write without a reply. */
    readonly loseReply: () => void;
}

const { signal } = new AbortController();

/** Declares the contract tests for one implementation. */
export function testContract(name: string, start: (t: ExecutionContext) => Promise<KeyValueFixture>): void {
    test(`${name}: written values are read by key and by prefix`, async t => {
        const { kv } = await start(t);
        t.deepEqual(await kv.get("a/1", signal), { ok: true, value: undefined });
        const puts = [{ key: "a/1", value: "one" }, { key: "a/2", value: "zwei \u2028 ü" }, {
            key: "b/1",
            value: "other",
        }];
        t.deepEqual(await kv.commit({ conditions: [], puts }, signal), { ok: true, value: true });
        const listed = await kv.list("a/", signal);
        t.true(listed.ok);
        if (listed.ok) {
            t.deepEqual(listed.value.entries.map(entry => [entry.key, entry.value]), [["a/1", "one"], [
                "a/2",
                "zwei \u2028 ü",
            ]]);
        }
    });

    test(`${name}: a conditional write is atomic`, async t => {
        const { kv } = await start(t);
        const absent = [{ key: "k", modRevision: 0 }];
        t.like(await kv.commit({ conditions: absent, puts: [{ key: "k", value: "1" }] }, signal), { value: true });
        t.like(
            await kv.commit({ conditions: absent, puts: [{ key: "k", value: "2" }, { key: "l", value: "2" }] }, signal),
            { value: false },
        );
        t.like(await kv.get("l", signal), { value: undefined });
        const now = await kv.get("k", signal);
        const modRevision = now.ok ? now.value!.modRevision : -1;
        t.like(await kv.commit({ conditions: [{ key: "k", modRevision }], puts: [], deletes: ["k"] }, signal), {
            value: true,
        });
        t.like(await kv.get("k", signal), { value: undefined });
    });

    test(`${name}: of concurrent writes under the same condition one succeeds`, async t => {
        const { kv } = await start(t);
        const writes = await Promise.all(
            Array.from({ length: 20 }, (_, index) =>
                kv.commit(
                    { conditions: [{ key: "k", modRevision: 0 }], puts: [{ key: "k", value: String(index) }] },
                    signal,
                )),
        );
        t.is(writes.filter(write => write.ok && write.value).length, 1);
    });

    test(`${name}: an unreachable service is distinguished from a lost reply`, async t => {
        const { kv, unreachable, setDown, loseReply } = await start(t);
        loseReply();
        t.like(await kv.commit({ conditions: [], puts: [{ key: "k", value: "1" }] }, signal), {
            ok: false,
            err: { kind: "away", tookEffect: "unknown" },
        });
        t.like(await kv.get("k", signal), { value: { value: "1" } });
        setDown(true);
        t.like(await kv.get("k", signal), { ok: false, err: { kind: "away" } });
        setDown(false);
        t.like(await kv.get("k", signal), { value: { value: "1" } });
        t.like(await unreachable.commit({ conditions: [], puts: [] }, signal), {
            ok: false,
            err: { kind: "away", tookEffect: "no" },
        });
    });

    test(`${name}: a watch reports changes and deletions, and ends with an error when the service fails`, async t => {
        const { kv, setDown } = await start(t);
        const changes: KvChange[] = [];
        const ended = kv.watch({ prefix: "k" }, told => changes.push(...told.filter(({ key }) => key === "k")), signal);
        await waitUntil(async () => {
            await kv.commit({ conditions: [], puts: [{ key: "k", value: "x" }, { key: "kk", value: "y" }] }, signal);
            return changes.length > 0;
        });
        await kv.commit({ conditions: [], puts: [], deletes: ["k"] }, signal);
        await waitUntil(() => changes.at(-1)?.value === undefined);
        t.true(changes.every(change => change.key === "k"));
        setDown(true);
        t.is((await ended).kind, "away");
    });

    test(`${name}: revoking a lease deletes its keys`, async t => {
        const { kv } = await start(t);
        const lease = await kv.grantLease(60, signal);
        t.true(lease.ok);
        if (!lease.ok) return;
        await kv.commit({ conditions: [], puts: [{ key: "k", value: "1", lease: lease.value }] }, signal);
        t.like(await kv.keepLeaseAlive(lease.value, signal), { value: true });
        await kv.revokeLease(lease.value, signal);
        t.like(await kv.get("k", signal), { value: undefined });
        t.like(await kv.keepLeaseAlive(lease.value, signal), { value: false });
    });

    test(`${name}: a watch from the revision of a list reports every later write`, async t => {
        const { kv } = await start(t);
        await kv.commit({ conditions: [], puts: [{ key: "w/1", value: "before" }] }, signal);
        const listed = await kv.list("w/", signal);
        t.true(listed.ok);
        if (!listed.ok) return;
        await kv.commit({ conditions: [], puts: [{ key: "w/2", value: "after" }] }, signal);
        const own = new AbortController();
        const changes: KvChange[] = [];
        const watch = { prefix: "w/", after: listed.value.revision };
        const ended = kv.watch(watch, told => changes.push(...told), own.signal);
        await waitUntil(() => changes.length > 0);
        t.deepEqual(changes.map(({ key, value }) => [key, value]), [["w/2", "after"]]);
        own.abort();
        await ended;
    });
}
