import type { Clock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { StartupQuery, type StartupResult } from "../src/peers/startup-query.js";

/** A query at time 0 of a clock that the test sets. */
function startQuery(
    t: ExecutionContext,
    hasPeers: boolean,
): {
    readonly query: StartupQuery;
    readonly setTime: (ms: number) => void;
    readonly results: readonly StartupResult[];
} {
    const end = new AbortController();
    t.teardown(() => end.abort());
    let time = 0;
    const clock: Clock = { now: () => time, awakeMs: () => time, onWake: () => undefined };
    const results: StartupResult[] = [];
    const query = new StartupQuery({
        clock,
        signal: end.signal,
        hasPeers: () => hasPeers,
        ask: () => undefined,
        onEnd: result => void results.push(result),
    });
    return { query, setTime: ms => time = ms, results };
}

// Guards against a host that reported that it was ready 400 ms after its start though no peer had answered: it sent calls to an
// endpoint whose limit of 0 all its peers knew.
test("a starting host with peers is not ready before one has answered", t => {
    const { query, setTime } = startQuery(t, true);
    setTime(2_900);
    t.false(query.isReady);
    query.onAnswer();
    t.true(query.isReady);
});

test("a starting host whose peers never answer is ready after 3 s", t => {
    const { query, setTime } = startQuery(t, true);
    setTime(3_000);
    t.true(query.isReady);
});

test("a starting host without peers is ready after 400 ms, and stays so when some turn up", t => {
    const { query, setTime } = startQuery(t, false);
    setTime(399);
    t.false(query.isReady);
    setTime(400);
    t.true(query.isReady);
    setTime(0);
    t.true(query.isReady);
});

test("the end of the wait is reported once, with how it came about", async t => {
    const { query, setTime, results } = startQuery(t, true);
    setTime(700);
    query.onAnswer();
    await new Promise(resolve => setTimeout(resolve, 300));
    t.deepEqual(results, [{ answered: true, waitedMs: 700 }]);
});
