import test from "ava";
import {
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type Job,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
} from "../src/index.js";
import { makeJob } from "./job.js";

/** A load: requests per second over time, in milliseconds from its start. */
interface Load {
    readonly perS: (now: number) => number;
    readonly lengthMs: number;
}

/** Outcome for the callers of a load. */
interface Outcome {
    arrived: number;
    served: number;
    /** Callers refused at their first attempt. */
    refused: number;
    /** Of those, the callers served when they retried. */
    servedOnRetry: number;
    /** Waits that ended in a refusal, in milliseconds. */
    readonly waits: number[];
}

const STEP_MS = 10;
const ENGINES = 4;
const MEMORY = 30_000;
const PROMPT = 3_000;
/** Mean output tokens and duration of a stream; streams have 0.25 to 1.75 times these. */
const OUTPUT = 500;
const STREAM_MS = 7_000;
/** Callers retry once, after at most this time. */
const MAX_RETRY_DELAY_MS = 13_000;

/** Four engines with room for about eight streams each, which serve about 4.5 streams per second. */
function fleet(): SchedulerState {
    const endpoints = Array.from({ length: ENGINES }, (_, at) => ({
        id: `e${at}`,
        hall: "h",
        models: ["m"],
        memoryTokens: MEMORY,
    }));
    const variant = { ...DEFAULT_VARIANT, forecast: true, prefix: false };
    return decide(createScheduler(variant), { kind: "endpoints", endpoints }, 0).state;
}

function jobOf(id: string): Job {
    return makeJob(
        id,
        { promptTokens: PROMPT, maxTokens: 2 * OUTPUT },
        { objectiveMs: 1_800, maxWaitMs: 1_800, queueLimit: 500, quantile: 0.95 },
    );
}

/** Replays a load through one host's scheduler; callers retry at the times that they are given. */
function replay({ perS, lengthMs }: Load): Outcome {
    const outcome: Outcome = { arrived: 0, served: 0, refused: 0, servedOnRetry: 0, waits: [] };
    let state = fleet();
    let due = 0;
    const began = new Map<string, number>();
    const running: { readonly id: string; readonly at: number; readonly endsAt: number; readonly tokens: number }[] =
        [];
    const retries: { readonly id: string; readonly at: number }[] = [];
    const tell = (event: SchedulerEvent, now: number): void => {
        const next = decide(state, event, now);
        state = next.state;
        for (const action of next.actions) follow(action, now);
    };
    const follow = (action: SchedulerAction, now: number): void => {
        const returned = action.job.endsWith("/2");
        if (action.kind === "dispatch") {
            outcome.served += 1;
            if (returned) outcome.servedOnRetry += 1;
            // Stream lengths follow a fixed sequence, so each replay is the same.
            const share = 0.25 + 1.5 * ((outcome.served * 0.618) % 1);
            running.push({
                id: action.job,
                at: now,
                endsAt: now + share * STREAM_MS,
                tokens: Math.round(share * OUTPUT),
            });
        }
        if (action.kind !== "refuse") return;
        outcome.waits.push(now - began.get(action.job)!);
        if (returned) return;
        outcome.refused += 1;
        retries.push({ id: `${action.job}/2`, at: now + Math.min(action.retryAfterMs, MAX_RETRY_DELAY_MS) });
    };
    const arrive = (id: string, now: number): void => {
        began.set(id, now);
        tell({ kind: "arrive", job: jobOf(id), avoid: [], retry: false }, now);
    };
    for (let now = 0; now < lengthMs + 2 * MAX_RETRY_DELAY_MS; now += STEP_MS) {
        for (const stream of running.filter(({ endsAt }) => endsAt <= now)) {
            running.splice(running.indexOf(stream), 1);
            tell({ kind: "ended", job: stream.id, outcome: "whole", produced: stream.tokens }, now);
        }
        for (const { id, at } of running) {
            if ((now - at) % 400 !== 200) continue;
            const produced = 1 + Math.floor((now - at) / STREAM_MS * OUTPUT);
            tell({ kind: "progress", job: id, produced, meanGapMs: 14, maxGapMs: 20 }, now);
        }
        for (const caller of retries.filter(({ at }) => at <= now)) {
            retries.splice(retries.indexOf(caller), 1);
            arrive(caller.id, now);
        }
        due += now < lengthMs ? perS(now) * STEP_MS / 1_000 : 0;
        for (; due >= 1; due--) arrive(`r${outcome.arrived++}`, now);
        if (state.waiting.length > 0) tell({ kind: "tick" }, now);
    }
    return outcome;
}

/** A burst of ten seconds at twice the engines' throughput, and a third of the throughput otherwise. */
const BURST: Load = { perS: now => now >= 5_000 && now < 15_000 ? 10 : 1.5, lengthMs: 40_000 };

test("most callers refused in a burst are served when they retry at the time they were given", t => {
    const { arrived, served, refused, servedOnRetry } = replay(BURST);
    t.log(
        `${arrived} arrived, ${served} served; ${refused} refused, ${servedOnRetry} of them served when they retried`,
    );
    t.true(refused > 20, "the load is above what the engines serve");
    t.true(servedOnRetry > 0.7 * refused, `${servedOnRetry} of ${refused}`);
});

test("no request is refused while there is capacity", t => {
    const { refused } = replay({ perS: () => 3, lengthMs: 30_000 });
    t.is(refused, 0);
});
