import test from "ava";
import { createServer as createHttpServer } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Client, request } from "undici";
import { TimeLimitError, withinTime } from "../src/index.js";

/** Time in which a limit of some milliseconds must have ended a call, whatever the machine does. */
const LONG_MS = 10_000;

/** A call that has not ended after this is taken for one that never does. */
const NEVER_ENDS_MS = 3_000;

async function silentServer(): Promise<{ readonly url: string; readonly stop: () => void }> {
    const server = createServer(() => undefined);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/`, stop: () => void server.close() };
}

test("a call that is not answered ends in time, however often memory is collected meanwhile", async t => {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    const { url, stop } = await silentServer();
    const { signal } = new AbortController();
    const collecting = setInterval(collect, 10);
    const calls = Array.from(
        { length: 10 },
        () =>
            t.throwsAsync(withinTime(100, signal, limited => request(url, { signal: limited })), {
                instanceOf: TimeLimitError,
            }),
    );
    const tooLong = new Promise<string>(resolve => setTimeout(() => resolve("too long"), LONG_MS).unref());
    t.not(await Promise.race([Promise.all(calls), tooLong]), "too long");
    clearInterval(collecting);
    stop();
});

/*
 * Symptom: a host that was cut off from the store for seconds heard of a configuration seconds after it could be reached again.
 * Sequence: its read of the store, which ends after 1 s, began while no connection came up; it ended after 10.5 s.
 * Cause: undici's request does not end with its signal while its connection is coming up, and the limit rests on that.
 * What settled it: `store_watching watches=true` at 2.74 s, and the line that follows it, at 13.20 s, `store_read_failed ...
 * Connect Timeout Error (... timeout: 10000ms)`.
 */
test("a call whose connection does not come up ends in time", async t => {
    const dispatcher = new Client("http://127.0.0.1:1", { connect: () => undefined });
    const { signal } = new AbortController();
    const called = withinTime(100, signal, limited => request("http://127.0.0.1:1/", { dispatcher, signal: limited }));
    const outcome = called.then(
        () => "answered",
        (err: unknown) => err instanceof TimeLimitError ? "in time" : String(err),
    );
    const tooLong = new Promise<string>(resolve => setTimeout(() => resolve("too long"), NEVER_ENDS_MS));
    t.is(await Promise.race([outcome, tooLong]), "in time");
});

test("a call ends with its caller's signal, also one that has aborted before", async t => {
    const { url, stop } = await silentServer();
    const own = new AbortController();
    const ended = t.throwsAsync(withinTime(LONG_MS, own.signal, limited => request(url, { signal: limited })), {
        message: "stopped",
    });
    own.abort(new Error("stopped"));
    await ended;
    await t.throwsAsync(withinTime(LONG_MS, own.signal, limited => request(url, { signal: limited })), {
        message: "stopped",
    });
    stop();
});

// A host under load lost the store again and again, and did not hear for 5 s that a worker leaves: Node runs timers before it reads, so
// that calls whose answers had come while the host was held up ended at their limit all the same. Three of three runs of that host's tests
// beside a load of 24 to 28 on 8 cores failed so: "not in 5000 ms ... endpoint=app-0 state=leaving".
test("a call that is answered while the host is held up for longer than the limit is answered", async t => {
    const server = createHttpServer((_req, res) => void res.end("an answer"));
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
    const { signal } = new AbortController();
    const called = withinTime(100, signal, async limited => (await request(url, { signal: limited })).statusCode);
    const heldUpUntil = Date.now() + 400;
    await new Promise(resolve => setImmediate(resolve));
    while (Date.now() < heldUpUntil);
    t.is(await called, 200);
});
