/** Choices between endpoints of different speeds, which the host has learnt from its own streams. */
import test from "ava";
import {
    assess,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type Job,
    profileOf,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
    survivalOf,
    type Variant,
} from "../src/index.js";
import { makeJob } from "./job.js";

const NAMES = ["slow-1", "fast-1", "slow-2", "fast-2", "slow-3", "fast-3"];
const TARGET_MS = 180;
const PIECE_TOKENS = 4;
/** Prefilling a prompt takes as long as this many gaps. */
const PREFILL_GAPS = 10;

/**
 * A single host. Streams of a slow endpoint have a mean gap of `slowGapMs` between pieces, those of a fast one 35 ms. A
 * stretch is the part of a stream between two progress reports; in every third one the longest gap is 3.5 mean gaps.
 */
class Host {
    state: SchedulerState;
    now = 0;

    constructor(readonly slowGapMs: number, variant: Partial<Variant> = {}) {
        this.state = createScheduler({ ...DEFAULT_VARIANT, prefix: false, forecast: true, ...variant }, 1);
        const endpoints = NAMES.map(id => ({ id, hall: "h", models: ["m"], memoryTokens: 30_000 }));
        this.handle({ kind: "endpoints", endpoints });
    }

    handle(event: SchedulerEvent): readonly SchedulerAction[] {
        const { state, actions } = decide(this.state, event, this.now);
        this.state = state;
        return actions;
    }

    gapOf(endpoint: string): number {
        return endpoint.startsWith("slow") ? this.slowGapMs : 35;
    }

    /** Sends a request; returns its endpoint, or the kind of the action if it was not dispatched. */
    send(job: Job): string {
        const [action] = this.handle({ kind: "arrive", job, avoid: [], retry: false });
        return action?.kind === "dispatch" ? action.endpoint : action?.kind ?? "waits";
    }

    /** Prefills a sent request's prompt: its first piece arrives. */
    begin(job: Job, endpoint: string): void {
        this.now += PREFILL_GAPS * this.gapOf(endpoint);
        this.handle({ kind: "progress", job: job.id, produced: PIECE_TOKENS, meanGapMs: 0, maxGapMs: 0 });
    }

    /** Advances a stream by one stretch of pieces; every third stretch has a pause. */
    advance(job: Job, endpoint: string, stretch: number): void {
        const meanGapMs = this.gapOf(endpoint);
        const maxGapMs = meanGapMs * (stretch % 3 === 0 ? 3.5 : 1.5);
        const produced = PIECE_TOKENS * (1 + 16 * stretch);
        this.handle({ kind: "progress", job: job.id, produced, meanGapMs, maxGapMs });
    }

    /** Runs streams one after the other, from which the host learns each endpoint's speed. */
    learn(rounds: number): void {
        for (let round = 0; round < rounds; round++) {
            for (const at of NAMES.keys()) {
                const job = longStream(`learn ${round}/${at}`);
                const endpoint = this.send(job);
                this.begin(job, endpoint);
                for (const stretch of [1, 2, 3]) {
                    this.now += 200;
                    this.advance(job, endpoint, stretch);
                }
                this.handle({ kind: "ended", job: job.id, outcome: "whole", produced: 800 });
            }
        }
    }

    lateness(job: Job): ReadonlyMap<string, number | undefined> {
        const profile = profileOf(job, survivalOf(this.state.estimates, job.group, job.maxTokens));
        const views = this.state.endpoints.values();
        return new Map(views.map(view => [view.cfg.id, assess(view, profile, this.state, this.now)?.lateness]));
    }

    /** Sets the memory of an endpoint that other hosts hold. */
    holdMemory(endpoint: string, tokens: number): void {
        const curve = { mean: new Float64Array(9).fill(tokens), variance: new Float64Array(9) };
        this.handle({ kind: "others", endpoint, others: { streams: 4, unread: 0, stalled: 0, curve } });
    }
}

/** A request for a stream of some hundred pieces. */
function longStream(id: string, policy: Partial<Job["policy"]> = {}): Job {
    const group = { workspace: "w", service: "reviews", model: "m" };
    const job = { group, promptTokens: 3_000, maxTokens: 1_000, tokensPerPiece: PIECE_TOKENS };
    return makeJob(id, job, { gapTargetMs: TARGET_MS, objectiveMs: 1_800, maxWaitMs: 1_800, ...policy });
}

test("long streams go to fast endpoints while those have capacity", t => {
    const host = new Host(70);
    host.learn(6);
    const sent = Array.from({ length: 9 }, (_, at) => {
        const job = longStream(`r${at}`);
        const endpoint = host.send(job);
        host.begin(job, endpoint);
        return endpoint;
    });
    t.true(sent.every(endpoint => endpoint.startsWith("fast")), sent.join(" "));
});

test("a request that would be late everywhere goes where it is least late and is not refused", t => {
    const host = new Host(400);
    host.learn(6);
    for (const name of NAMES.filter(name => name.startsWith("fast"))) host.holdMemory(name, 30_000);
    const lateness = host.lateness(longStream("r"));
    for (const [id, chance] of lateness) {
        if (id.startsWith("fast")) t.is(chance, undefined, "it has no room");
        else t.true(chance! > 0.5, String(chance));
    }
    t.regex(host.send(longStream("r")), /^slow/);
});

test("no endpoint is idle while requests wait", t => {
    const host = new Host(400);
    host.learn(6);
    const sent = Array.from({ length: 60 }, (_, at) => host.send(longStream(`r${at}`, { queueLimit: 100 })));
    t.true(sent.some(where => where === "waits"));
    const idle = host.state.endpoints.values().filter(({ streams }) => streams.size === 0);
    t.deepEqual(idle.map(({ cfg }) => cfg.id), []);
});

test("the expected lateness grows with the length of a stream, and is low for a wide target", t => {
    const host = new Host(70);
    host.learn(6);
    const slow = (job: Job): number => host.lateness(job).get("slow-1")!;
    const short = makeJob("h", { promptTokens: 3_000, maxTokens: 12, tokensPerPiece: PIECE_TOKENS }, {
        gapTargetMs: TARGET_MS,
        maxWaitMs: 1_800,
    });
    t.true(slow(longStream("r")) > slow(short) + 0.1);
    t.true(slow(longStream("r")) > slow(longStream("w", { gapTargetMs: 60_000 })) + 0.1);
});

test("the pause while a stream moves to its standby does not count against the standby's speed", t => {
    const host = new Host(70, { backups: true });
    const job = { ...longStream("r"), backUp: true };
    const [sent] = host.handle({ kind: "arrive", job, avoid: [], retry: false });
    const { endpoint, backUp } = sent as Extract<SchedulerAction, { kind: "dispatch" }>;
    host.begin(job, endpoint);
    host.advance(job, endpoint, 1);
    host.handle({ kind: "continue", job: job.id, failed: true });
    const shown = (): number => host.state.endpoints.get(backUp!)!.ownSpeedSums.stretches;
    host.advance(job, backUp!, 2);
    t.is(shown(), 0);
    host.advance(job, backUp!, 3);
    t.is(shown(), 1);
});

test("with equal endpoints every decision is the same as without their speeds", t => {
    const [aware, unaware] = [new Host(35), new Host(35, { speeds: false })];
    for (const host of [aware, unaware]) host.learn(6);
    for (let at = 0; at < 40; at++) {
        for (const host of [aware, unaware]) host.now += 150;
        t.is(aware.send(longStream(`r${at}`)), unaware.send(longStream(`r${at}`)));
    }
});
