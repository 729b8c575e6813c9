import type { Job, JobOutcome } from "@drumpaddle/policy";
import { createClock } from "@drumpaddle/protocol";
import test from "ava";
import { type AttemptSink, RequestDriver, type RequestEnd } from "../src/calls/request-driver.js";
import type { Placement } from "../src/endpoints/placement.js";

const JOB: Job = {
    id: "r",
    group: { workspace: "w", service: "s", model: "m" },
    promptTokens: 10,
    maxTokens: 100,
    prefix: "",
    prefixTokens: 0,
    policy: {
        priority: "normal",
        quantile: 0.9,
        gapTargetMs: 100,
        objectiveMs: 1_000,
        weightTail: 1,
        weightStall: 1,
        weightPrefix: 0,
        maxWaitMs: 1_000,
        usefulMs: 1_000,
        rank: 1,
        weight: 1,
        queueLimit: 10,
        retryShare: 0,
    },
};

interface Driven {
    readonly sink: AttemptSink<string>;
    /** Outcomes of attempts that the scheduler was told. */
    readonly outcomes: readonly JobOutcome[];
    readonly finished: readonly (string | undefined)[];
    readonly ends: readonly RequestEnd[];
}

/** Starts a driver whose first attempt is dispatched at once, and returns the sink of that attempt. */
function startDriver(): Driven {
    const outcomes: JobOutcome[] = [];
    const finished: (string | undefined)[] = [];
    const ends: RequestEnd[] = [];
    const sinks: AttemptSink<string>[] = [];
    const placement: Pick<Placement, "submit" | "ended" | "withdraw" | "progress"> = {
        submit: (_job, _avoid, _retry, placed) => placed.onDispatch("e1", 1, undefined),
        ended: (_job, outcome) => void outcomes.push(outcome),
        withdraw: () => undefined,
        progress: () => undefined,
    };
    new RequestDriver<string>({
        cfg: { id: "r", repeatable: false, streamed: true, maxAttempts: 1, maxResumes: 0, deadline: 1e9 },
        clock: createClock(),
        job: JOB,
        placement: placement as Placement,
        runner: {
            start: (_plan, sink) => void sinks.push(sink),
            resume: () => undefined,
            cancel: () => undefined,
        },
        reply: {
            forward: () => undefined,
            discard: () => undefined,
            finish: last => void finished.push(last),
            fail: () => undefined,
        },
        onGap: () => undefined,
        onDispatch: () => undefined,
        onEnd: end => void ends.push(end),
    });
    const [sink] = sinks;
    if (!sink) throw new Error("no attempt was started");
    sink.report({ kind: "sending", attempt: "r.1" });
    return { sink, outcomes, finished, ends };
}

test("an endpoint's error answer is sent to the caller and counts as a failure of the endpoint", t => {
    const { sink, outcomes, finished, ends } = startDriver();
    sink.report({ kind: "failedAnswer", attempt: "r.1", generation: "r.1" }, "its own words");
    t.deepEqual(finished, ["its own words"]);
    t.deepEqual(outcomes, ["failed"]);
    t.like(ends, [{ failed: true, err: undefined }]);
});

test("a complete answer counts as a success of the endpoint", t => {
    const { sink, outcomes, ends } = startDriver();
    sink.report({ kind: "token", attempt: "r.1", generation: "r.1", index: 0 }, "a");
    sink.report({ kind: "finished", attempt: "r.1", generation: "r.1", total: 1 });
    t.deepEqual(outcomes, ["whole"]);
    t.like(ends, [{ failed: false, err: undefined }]);
});
