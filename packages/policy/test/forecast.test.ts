import test from "ava";
import {
    createPrefillRate,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    expectedWaitMs,
    type Job,
    nextRetryTime,
    NO_RETRY_TIMES,
    observePrefill,
    prefillMs,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
} from "../src/index.js";
import { makeJob } from "./job.js";

const ENDPOINTS: readonly EndpointCfg[] = [{ id: "e1", hall: "h", models: ["m"], memoryTokens: 30_000 }];

class Driver {
    state: SchedulerState = createScheduler({ ...DEFAULT_VARIANT, forecast: true }, 1);

    constructor(endpoints = ENDPOINTS) {
        this.tell({ kind: "endpoints", endpoints }, 0);
    }

    tell(event: SchedulerEvent, now: number): readonly SchedulerAction[] {
        const { state, actions } = decide(this.state, event, now);
        this.state = state;
        return actions;
    }

    arrive(job: Job, now: number): SchedulerAction | undefined {
        return this.tell({ kind: "arrive", job, avoid: [], retry: false }, now)[0];
    }

    /** Serves a request whose first token takes `firstMs`, and ends it. */
    serve(id: string, now: number, firstMs: number): void {
        this.arrive(makeJob(id), now);
        this.tell({ kind: "progress", job: id, produced: 1, meanGapMs: 0, maxGapMs: 0 }, now + firstMs);
        this.tell({ kind: "ended", job: id, outcome: "whole", produced: 1 }, now + firstMs);
    }
}

/** Other hosts hold all memory of the endpoint, so nothing fits. */
function fullEndpoint(endpoint = "e1"): SchedulerEvent {
    const curve = { mean: new Float64Array(9).fill(30_000), variance: new Float64Array(9) };
    return { kind: "others", endpoint, others: { streams: 9, unread: 0, stalled: 0, curve } };
}

function freeEndpoint(endpoint = "e1", unread = 0): SchedulerEvent {
    const curve = { mean: new Float64Array(9), variance: new Float64Array(9) };
    return { kind: "others", endpoint, others: { streams: 1, unread, stalled: 0, curve } };
}

for (const msPerToken of [0.02, 0.07, 0.2]) {
    test(`the prefill rate follows an engine of ${msPerToken} ms per token`, t => {
        const driver = new Driver();
        for (let at = 0; at < 100; at++) driver.serve(`j${at}`, at * 1_000, 2_000 * msPerToken);
        const forecast = prefillMs(driver.state.prefillRate, 1_000);
        t.true(Math.abs(forecast / (1_000 * msPerToken) - 1) < 0.15, `${forecast} ms`);
    });
}

test("a request is not sent behind prompts that cannot be prefilled in time, but is to an idle endpoint", t => {
    const driver = new Driver();
    for (let at = 0; at < 100; at++) driver.serve(`j${at}`, at * 1_000, 200);
    driver.tell(freeEndpoint("e1", 14_000), 100_000);
    t.is(driver.arrive(makeJob("behind"), 100_001), undefined);
    const idle = new Driver();
    t.like(idle.arrive(makeJob("large", { promptTokens: 25_000 }), 0), { kind: "dispatch" });
});

test("while capacity comes free too slowly requests are refused at once, with increasing retry times", t => {
    const driver = new Driver();
    driver.tell(fullEndpoint(), 0);
    // One request was started every 400 ms.
    driver.state = { ...driver.state, drainRate: { lastStart: 1_000, meanMs: 400 } };
    for (let at = 0; at < 3; at++) t.is(driver.arrive(makeJob(`waits${at}`), 1_000), undefined);
    const refused = [0, 1, 2].map(at => driver.arrive(makeJob(`late${at}`), 1_000));
    const times = refused.map(action => action?.kind === "refuse" ? action.retryAfterMs : NaN);
    t.deepEqual(times, [1_600, 2_000, 2_400]);
});

test("a waiting request is refused as soon as its forecast turns bad, not at the end of its wait", t => {
    const driver = new Driver();
    driver.tell(fullEndpoint(), 0);
    t.is(driver.arrive(makeJob("j"), 0), undefined);
    t.deepEqual(driver.tell({ kind: "tick" }, 300), []);
    t.like(driver.tell({ kind: "tick" }, 900)[0], { kind: "refuse", reason: "waitTooLong" });
});

test("the expected wait follows the recent drain rate, or the time since the last start", t => {
    t.is(expectedWaitMs(undefined, 1, undefined, 50), 0);
    t.is(expectedWaitMs({ lastStart: 900, meanMs: 200 }, 3, 950, 1_000), 600);
    t.is(expectedWaitMs({ lastStart: 500, meanMs: 200 }, 1, 400, 1_000), 500);
    t.is(
        expectedWaitMs({ lastStart: 500, meanMs: 20 }, 101, 400, 1_000),
        2_500,
        "a pause counts once, however many wait",
    );
});

test("refused callers get increasing retry times", t => {
    const first = nextRetryTime(NO_RETRY_TIMES, 400, 50, 0);
    const second = nextRetryTime(first.retryTimes, 400, 50, 0);
    t.deepEqual([first.afterMs, second.afterMs], [400, 450]);
    t.is(nextRetryTime(second.retryTimes, 400, 50, 10_000).afterMs, 400, "long past");
});

test("a rate takes no sample without tokens", t => {
    t.deepEqual(observePrefill(createPrefillRate(), 0, 100), createPrefillRate());
});
