import test, { type ExecutionContext } from "ava";
import { FirstEventWatch } from "../src/calls/first-event-watch.js";

const PROBE_AFTER_MS = 20;

interface WatchTrial {
    readonly watch: FirstEventWatch;
    readonly probeCount: () => number;
    readonly lost: readonly string[];
}

/** Starts a watch of a stream at an endpoint that has ended, or lives, and was last heard some time ago. */
function startWatch(
    t: ExecutionContext,
    hasEnded: () => Promise<boolean>,
    endpointSilentMs = (): number => 1_000,
): WatchTrial {
    const lost: string[] = [];
    let probeCount = 0;
    const cfg = {
        probeAfterMs: PROBE_AFTER_MS,
        endpointSilentMs,
        hasEnded: () => {
            probeCount += 1;
            return hasEnded();
        },
    };
    const watch = new FirstEventWatch(cfg, detail => void lost.push(detail));
    t.teardown(() => watch.stop());
    watch.start();
    return { watch, probeCount: () => probeCount, lost };
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

test("a stream whose endpoint has ended is reported lost once", async t => {
    const { probeCount, lost } = startWatch(t, () => Promise.resolve(true));
    while (lost.length === 0) await pause(5);
    await pause(5 * PROBE_AFTER_MS);
    t.is(lost.length, 1);
    t.is(probeCount(), 1);
});

test("an endpoint that lives is asked again and again, and the stream is not lost", async t => {
    const { probeCount, lost } = startWatch(t, () => Promise.resolve(false));
    while (probeCount() < 3) await pause(5);
    t.deepEqual(lost, []);
});

test("an endpoint that was heard a moment ago is not asked", async t => {
    const { probeCount } = startWatch(t, () => Promise.resolve(true), () => PROBE_AFTER_MS / 2);
    await pause(10 * PROBE_AFTER_MS);
    t.is(probeCount(), 0);
});

test("a stream that begins or ends while its endpoint is asked is not lost, and no timer is left", async t => {
    let answer: (ended: boolean) => void = () => undefined;
    const { watch, probeCount, lost } = startWatch(t, () => new Promise(resolve => answer = resolve));
    while (probeCount() === 0) await pause(5);
    watch.stop();
    answer(true);
    await pause(5 * PROBE_AFTER_MS);
    t.deepEqual(lost, []);
    t.is(probeCount(), 1);
});
