import { Metrics, watchLoopDelay } from "@drumpaddle/host";
import { createClock } from "@drumpaddle/protocol";
import test from "ava";

/** Keeps the event loop busy, so that due timers wait. */
function block(ms: number): void {
    const end = performance.now() + ms;
    while (performance.now() < end);
}

test("a delay of the event loop is recorded, and logged once a second", async t => {
    const end = new AbortController();
    t.teardown(() => end.abort());
    const lines: Record<string, number>[] = [];
    const log = { info: (fields: Record<string, number>) => void lines.push(fields) };
    const metrics = new Metrics();
    watchLoopDelay({ clock: createClock(), log: log as never, metrics, signal: end.signal });
    for (let at = 0; at < 3; at++) {
        block(300);
        await new Promise(resolve => setTimeout(resolve, 60));
    }
    while (lines.length === 0) await new Promise(resolve => setTimeout(resolve, 20));
    t.is(lines.length, 1);
    t.true(lines[0]!["longest_ms"]! >= 200);
    t.true(lines[0]!["total_ms"]! >= 600);
    t.true(metrics.loopDelay.sum >= 600);
});
