import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { EndpointSign, SilenceWatch, StreamStop } from "../src/calls/silence-watch.js";

interface WatchTrial {
    readonly watch: SilenceWatch;
    readonly probeCount: () => number;
    readonly lost: readonly string[];
}

/** Creates a watch with a short time to the probe, and records its probes and reports. */
function createWatch(sign: EndpointSign, canContinue = (): boolean => true, unsureAfterMs = 60_000): WatchTrial {
    const lost: string[] = [];
    let probeCount = 0;
    const cfg = {
        probeAfterMs: 10,
        lostAfterMs: 60_000,
        unsureAfterMs,
        awakeMs: () => performance.now(),
        probe: async () => {
            probeCount += 1;
            return Promise.resolve(sign);
        },
        stop: () => Promise.resolve(StreamStop.Stopped),
        canContinue,
    };
    return { watch: new SilenceWatch(cfg, detail => void lost.push(detail)), probeCount: () => probeCount, lost };
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

test("a silent stream whose endpoint does not answer the probe is reported lost once", async t => {
    const { watch, lost } = createWatch(EndpointSign.Gone);
    watch.onEvent();
    while (lost.length === 0) await pause(5);
    await pause(50);
    t.is(lost.length, 1);
});

test("a silent stream whose endpoint answers the probe is probed once and not lost", async t => {
    const { watch, probeCount, lost } = createWatch(EndpointSign.Serves);
    watch.onEvent();
    while (probeCount() === 0) await pause(5);
    await pause(50);
    t.is(probeCount(), 1);
    t.is(lost.length, 0);
    watch.stop();
});

test("a silent stream whose endpoint may be held up is lost only after the time for that", async t => {
    const startedAt = performance.now();
    const { watch, probeCount, lost } = createWatch(EndpointSign.Unsure, () => true, 150);
    watch.onEvent();
    while (lost.length === 0) await pause(5);
    t.true(performance.now() - startedAt >= 150);
    t.is(probeCount(), 1);
    t.regex(lost[0]!, /may be held up/);
});

test("a stream whose endpoint was held up and goes on is not lost, and is watched again", async t => {
    const { watch, probeCount, lost } = createWatch(EndpointSign.Unsure, () => true, 1_000);
    watch.onEvent();
    while (probeCount() === 0) await pause(5);
    watch.onEvent();
    const wokeAt = performance.now();
    t.is(lost.length, 0);
    while (lost.length === 0) await pause(5);
    t.true(performance.now() - wokeAt >= 1_000);
    t.true(probeCount() >= 3);
});

test("a stream is not lost by an answer that its endpoint gave before it was held up", async t => {
    const signs: EndpointSign[] = [EndpointSign.Serves, EndpointSign.Unsure];
    const lost: string[] = [];
    const cfg = {
        probeAfterMs: 10,
        lostAfterMs: 1_000,
        unsureAfterMs: 60_000,
        awakeMs: () => performance.now(),
        probe: () => Promise.resolve(signs.shift()!),
        stop: () => Promise.resolve(StreamStop.Stopped),
        canContinue: () => true,
    };
    const watch = new SilenceWatch(cfg, detail => void lost.push(detail));
    watch.onEvent();
    while (signs.length > 0) await pause(5);
    await pause(50);
    watch.stop();
    t.deepEqual(lost, []);
});

for (const end of ["paused", "stopped"] as const) {
    test(`no probe is sent while the watch is ${end}`, async t => {
        const { watch, probeCount } = createWatch(EndpointSign.Gone);
        watch.onEvent();
        watch.pause();
        if (end === "stopped") watch.stop();
        if (end === "stopped") watch.resume();
        await pause(80);
        t.is(probeCount(), 0);
    });
}

test("a watch that was paused continues once the caller reads again", async t => {
    const { watch, lost } = createWatch(EndpointSign.Gone);
    watch.onEvent();
    watch.pause();
    watch.resume();
    while (lost.length === 0) await pause(5);
    t.is(lost.length, 1);
});

test("a host whose event loop is blocked again and again still probes", async t => {
    const { watch, probeCount } = createWatch(EndpointSign.Serves);
    watch.onEvent();
    // Each round of the event loop takes three times as long as the delay before a late check is repeated.
    for (let round = 0; round < 40 && probeCount() === 0; round++) {
        const until = performance.now() + 30;
        while (performance.now() < until);
        await new Promise(resolve => setImmediate(resolve));
    }
    t.is(probeCount(), 1);
    watch.stop();
});

test("no probe is sent while a busy host has unread bytes of the stream", async t => {
    const { watch, probeCount } = createWatch(EndpointSign.Gone);
    const server = createServer(socket => socket.on("data", () => watch.onEvent()));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = connect({ host: "127.0.0.1", port: (server.address() as AddressInfo).port });
    t.teardown(() => {
        client.destroy();
        server.close();
    });
    await once(client, "connect");
    client.setNoDelay(true);
    for (let round = 0; round < 20; round++) {
        client.write("x");
        // Longer than the time to the probe, and too short for the watch to see that the event loop was blocked.
        const until = performance.now() + 25;
        while (performance.now() < until);
        await new Promise(resolve => setImmediate(resolve));
    }
    watch.stop();
    t.is(probeCount(), 0);
});

test("a silent stream that cannot continue elsewhere is lost only once it can", async t => {
    let hasCopy = false;
    const { watch, lost, probeCount } = createWatch(EndpointSign.Gone, () => hasCopy);
    watch.onEvent();
    await pause(100);
    t.is(lost.length, 0);
    t.is(probeCount(), 0);
    hasCopy = true;
    while (lost.length === 0) await pause(5);
    t.is(lost.length, 1);
});
