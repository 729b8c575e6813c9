import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { SilenceWatch } from "../src/calls/silence-watch.js";

interface Watched {
    readonly watch: SilenceWatch;
    readonly asked: () => number;
    readonly lost: readonly string[];
}

/** A watch with short times, and what came of it. */
function watched(answers: boolean, canContinue = (): boolean => true): Watched {
    const lost: string[] = [];
    let asked = 0;
    const cfg = {
        probeAfterMs: 10,
        lostAfterMs: 60_000,
        awakeMs: () => performance.now(),
        isAlive: async () => {
            asked += 1;
            return Promise.resolve(answers);
        },
        canContinue,
    };
    return { watch: new SilenceWatch(cfg, detail => void lost.push(detail)), asked: () => asked, lost };
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

test("a silent stream whose endpoint gives no sign of life is lost, once", async t => {
    const { watch, lost } = watched(false);
    watch.onEvent();
    while (lost.length === 0) await pause(5);
    await pause(50);
    t.is(lost.length, 1);
});

test("a silent stream whose endpoint lives is asked for once, and stays", async t => {
    const { watch, asked, lost } = watched(true);
    watch.onEvent();
    while (asked() === 0) await pause(5);
    await pause(50);
    t.is(asked(), 1);
    t.is(lost.length, 0);
    watch.stop();
});

for (const end of ["paused", "stopped"] as const) {
    test(`nothing is asked while the watch is ${end}`, async t => {
        const { watch, asked } = watched(false);
        watch.onEvent();
        watch.pause();
        if (end === "stopped") watch.stop();
        if (end === "stopped") watch.resume();
        await pause(80);
        t.is(asked(), 0);
    });
}

test("a watch that was paused goes on with its caller", async t => {
    const { watch, lost } = watched(false);
    watch.onEvent();
    watch.pause();
    watch.resume();
    while (lost.length === 0) await pause(5);
    t.is(lost.length, 1);
});

test("a host that is held up again and again still asks", async t => {
    const { watch, asked } = watched(true);
    watch.onEvent();
    // Each round of the event loop takes three times the pause after which a host that was held up looks again.
    for (let round = 0; round < 40 && asked() === 0; round++) {
        const until = performance.now() + 30;
        while (performance.now() < until);
        await new Promise(resolve => setImmediate(resolve));
    }
    t.is(asked(), 1);
    watch.stop();
});

test("nothing is asked while bytes of the stream wait to be read by a host that is busy", async t => {
    const { watch, asked } = watched(false);
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
        // Longer than the silence after which the watch asks, and not so long that it sees that the host was held up.
        const until = performance.now() + 25;
        while (performance.now() < until);
        await new Promise(resolve => setImmediate(resolve));
    }
    watch.stop();
    t.is(asked(), 0);
});

test("a silent stream that may go on nowhere is waited for, and is lost once it may", async t => {
    let hasCopy = false;
    const { watch, lost, asked } = watched(false, () => hasCopy);
    watch.onEvent();
    await pause(100);
    t.is(lost.length, 0);
    t.is(asked(), 0);
    hasCopy = true;
    while (lost.length === 0) await pause(5);
    t.is(lost.length, 1);
});
