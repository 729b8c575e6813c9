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

/** A load: requests a second over time, in milliseconds from its start. */
interface Load {
    readonly perS: (now: number) => number;
    readonly lengthMs: number;
}

/** What became of a load's callers. */
interface Outcome {
    asked: number;
    served: number;
    /** Refused at their first try. */
    refused: number;
    /** Of those, how many were served when they came back. */
    servedAgain: number;
    /** Waits that ended in a refusal, in milliseconds. */
    readonly waits: number[];
}

const STEP_MS = 10;
const ENGINES = 4;
const MEMORY = 30_000;
const PROMPT = 3_000;
/** Tokens of an output, and the time that it takes: streams of a quarter of these to seven quarters. */
const OUTPUT = 500;
const STREAM_MS = 7_000;
/** Callers come back once, and wait no longer than this for it. */
const MOST_AWAY_MS = 13_000;

/** Four engines that hold eight streams or so each: some four and a half streams a second. */
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

/** Replays a load through the decisions of one host; callers obey the times that they are given. */
function replay({ perS, lengthMs }: Load): Outcome {
    const outcome: Outcome = { asked: 0, served: 0, refused: 0, servedAgain: 0, waits: [] };
    let state = fleet();
    let due = 0;
    const began = new Map<string, number>();
    const running: { readonly id: string; readonly at: number; readonly endsAt: number; readonly tokens: number }[] =
        [];
    const back: { readonly id: string; readonly at: number }[] = [];
    const tell = (event: SchedulerEvent, now: number): void => {
        const next = decide(state, event, now);
        state = next.state;
        for (const action of next.actions) follow(action, now);
    };
    const follow = (action: SchedulerAction, now: number): void => {
        const returned = action.job.endsWith("/2");
        if (action.kind === "dispatch") {
            outcome.served += 1;
            if (returned) outcome.servedAgain += 1;
            // Lengths by a fixed sequence, so that each replay is the same.
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
        back.push({ id: `${action.job}/2`, at: now + Math.min(action.retryAfterMs, MOST_AWAY_MS) });
    };
    const ask = (id: string, now: number): void => {
        began.set(id, now);
        tell({ kind: "arrive", job: jobOf(id), avoid: [], retry: false }, now);
    };
    for (let now = 0; now < lengthMs + 2 * MOST_AWAY_MS; now += STEP_MS) {
        for (const stream of running.filter(({ endsAt }) => endsAt <= now)) {
            running.splice(running.indexOf(stream), 1);
            tell({ kind: "ended", job: stream.id, outcome: "whole", produced: stream.tokens }, now);
        }
        for (const { id, at } of running) {
            if ((now - at) % 400 !== 200) continue;
            const produced = 1 + Math.floor((now - at) / STREAM_MS * OUTPUT);
            tell({ kind: "progress", job: id, produced, meanGapMs: 14, maxGapMs: 20 }, now);
        }
        for (const caller of back.filter(({ at }) => at <= now)) {
            back.splice(back.indexOf(caller), 1);
            ask(caller.id, now);
        }
        due += now < lengthMs ? perS(now) * STEP_MS / 1_000 : 0;
        for (; due >= 1; due--) ask(`r${outcome.asked++}`, now);
        if (state.waiting.length > 0) tell({ kind: "tick" }, now);
    }
    return outcome;
}

/** A burst of twice what the engines serve, for ten seconds, and a third of it otherwise. */
const BURST: Load = { perS: now => now >= 5_000 && now < 15_000 ? 10 : 1.5, lengthMs: 40_000 };

test("of callers who are refused in a burst and come back when they are told, most are served", t => {
    const { asked, served, refused, servedAgain } = replay(BURST);
    t.log(`${asked} asked, ${served} served; ${refused} refused, ${servedAgain} of them served when they came back`);
    t.true(refused > 20, "the load is above what the engines serve");
    t.true(servedAgain > 0.7 * refused, `${servedAgain} of ${refused}`);
});

test("nobody is refused while there is room", t => {
    const { refused } = replay({ perS: () => 3, lengthMs: 30_000 });
    t.is(refused, 0);
});
