import test from "ava";
import fc from "fast-check";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import {
    allowsRequest,
    batchWithin,
    chanceToReach,
    CLOSED,
    createLengthEstimates,
    createLimits,
    createPace,
    createRetryBudget,
    createScheduler,
    decide,
    earnRetry,
    type EndpointCfg,
    type Job,
    type JobPolicy,
    type LengthEstimates,
    observeLength,
    observePace,
    onResult,
    onSent,
    plannedShare,
    quantileLength,
    type RequestGroup,
    reserve,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
    settle,
    spendRetry,
    survivalOf,
} from "../src/index.js";

const GROUP: RequestGroup = { workspace: "w", service: "s", model: "m" };
const POLICY: JobPolicy = {
    priority: "normal",
    quantile: 0.9,
    gapTargetMs: 44,
    objectiveMs: 1_900,
    weightTail: 1,
    weightStall: 1,
    weightPrefix: 0.5,
    maxWaitMs: 10_000,
    usefulMs: 10_000,
    rank: 1,
    weight: 1,
    queueLimit: 5,
    retryShare: 0.1,
};

function jobOf(id: string, changes: Partial<Job> = {}): Job {
    return {
        id,
        group: GROUP,
        promptTokens: 100,
        maxTokens: 1_000,
        prefix: "",
        prefixTokens: 0,
        policy: POLICY,
        ...changes,
    };
}

function endpointsOf(count: number, memoryTokens = 100_000): readonly EndpointCfg[] {
    return Array.from({ length: count }, (_, at) => ({ id: `e${at}`, hall: "h", models: ["m"], memoryTokens }));
}

/** Feeds events to a scheduler and collects its actions. */
class Driver {
    state: SchedulerState;
    actions: SchedulerAction[] = [];

    constructor(endpoints: readonly EndpointCfg[]) {
        this.state = decide(createScheduler(), { kind: "endpoints", endpoints }, -100_000).state;
    }

    tell(event: SchedulerEvent, now: number): readonly SchedulerAction[] {
        const { state, actions } = decide(this.state, event, now);
        this.state = state;
        this.actions.push(...actions);
        return actions;
    }

    arrive(job: Job, now: number, retry = false, avoid: readonly string[] = []): SchedulerAction | undefined {
        return this.tell({ kind: "arrive", job, avoid, retry }, now)[0];
    }
}

function feed(
    lengths: readonly number[],
    group = GROUP,
    estimates: LengthEstimates = createLengthEstimates(),
): LengthEstimates {
    return lengths.reduce((sum, length) => observeLength(sum, group, 0, length, true), estimates);
}

test("with evidence, the estimated quantiles hold for new lengths", t => {
    const random = xoroshiro128plus(5);
    const draw = (): number =>
        Math.round(200 * Math.exp((unsafeUniformIntDistribution(0, 2_000, random) - 1_000) / 700));
    const lengths = survivalOf(feed(Array.from({ length: 600 }, draw)), GROUP, 100_000);
    for (const share of [0.5, 0.9, 0.99]) {
        const bound = quantileLength(lengths, 0, share);
        const within = Array.from({ length: 2_000 }, draw).filter(length => length <= bound).length / 2_000;
        t.true(Math.abs(within - share) < 0.05, `${within} within the ${share} quantile ${bound}`);
    }
});

test("a running output is evidence of length", t => {
    const short = feed(Array<number>(50).fill(30));
    const running = Array.from({ length: 50 }).reduce<LengthEstimates>(
        sum => observeLength(sum, GROUP, 0, 2_000, false),
        short,
    );
    t.true(
        chanceToReach(survivalOf(running, GROUP, 9_000), 0, 500)
            > 2 * chanceToReach(survivalOf(short, GROUP, 9_000), 0, 500),
    );
});

test("a new workspace is estimated from its model's other workspaces", t => {
    const estimates = feed(Array<number>(100).fill(1_500));
    const fresh = survivalOf(estimates, { ...GROUP, workspace: "new" }, 9_000);
    t.true(chanceToReach(fresh, 0, 1_000) > 0.8);
    t.true(chanceToReach(survivalOf(createLengthEstimates(), GROUP, 9_000), 0, 1_000) < 0.6);
});

test("survival never rises and ends at the caller's limit", t => {
    fc.assert(
        fc.property(
            fc.array(fc.integer({ min: 1, max: 40_000 }), { maxLength: 50 }),
            fc.nat(20_000),
            fc.nat(5_000),
            (seen, from, more) => {
                const lengths = survivalOf(feed(seen), GROUP, 30_000);
                const near = chanceToReach(lengths, from, from + more);
                const far = chanceToReach(lengths, from, from + 2 * more);
                t.true(near >= far && near <= 1 && far >= 0);
                t.is(chanceToReach(lengths, 0, 30_000), 0);
            },
        ),
        { seed: 3, numRuns: 200 },
    );
});

test("the pace is learnt and bounds the batch", t => {
    let fit = createPace();
    for (let round = 0; round < 2_000; round++) {
        const batch = 1 + round % 100;
        fit = observePace(fit, batch, 10 + 0.4 * batch, 14 + 0.4 * batch);
    }
    const batch = batchWithin(fit, 44);
    t.true(batch > 65 && batch < 85, `${batch}: 10 + 0.4 n + 4 <= 44 allows 75`);
});

test("requests wait while an engine's memory is planned, and start when it is released", t => {
    const driver = new Driver(endpointsOf(1, 3_000));
    t.is(driver.arrive(jobOf("a", { promptTokens: 2_000 }), 0)?.kind, "dispatch");
    t.is(driver.arrive(jobOf("b", { promptTokens: 2_000 }), 1), undefined);
    const [next] = driver.tell({ kind: "ended", job: "a", outcome: "whole", produced: 50 }, 100);
    t.like(next, { kind: "dispatch", job: "b" });
});

test("a request is refused if the queue is full or its wait too long, with a time to retry", t => {
    const driver = new Driver(endpointsOf(1, 3_000));
    driver.arrive(jobOf("a", { promptTokens: 2_900 }), 0);
    for (let at = 0; at < POLICY.queueLimit; at++) {
        t.is(driver.arrive(jobOf(`q${at}`, { promptTokens: 2_900 }), at), undefined);
    }
    t.like(driver.arrive(jobOf("late", { promptTokens: 2_900 }), 10), { kind: "refuse", reason: "queueFull" });
    const refused = driver.tell({ kind: "tick" }, POLICY.maxWaitMs + 10);
    t.is(
        refused.filter(action => action.kind === "refuse" && action.reason === "waitTooLong").length,
        POLICY.queueLimit,
    );
    t.true(refused.every(action => action.kind !== "refuse" || action.retryAfterMs >= 250));
});

test("live requests go before batch requests, and age ends starvation", t => {
    const wait = (
        priority: JobPolicy["priority"],
        since: number,
    ): [Job, number] => [
        jobOf(`${priority}${since}`, { promptTokens: 2_900, policy: { ...POLICY, priority, maxWaitMs: 60_000 } }),
        since,
    ];
    const driver = new Driver(endpointsOf(1, 3_000));
    driver.arrive(jobOf("a", { promptTokens: 2_900 }), 0);
    driver.arrive(...wait("batch", 1));
    driver.arrive(...wait("live", 2));
    t.like(driver.tell({ kind: "ended", job: "a", outcome: "whole", produced: 1 }, 100)[0], { job: "live2" });
    driver.arrive(...wait("live", 25_000));
    t.like(driver.tell({ kind: "ended", job: "live2", outcome: "whole", produced: 1 }, 25_001)[0], { job: "batch1" });
});

test("an endpoint that any source reports as leaving gets nothing until that source takes it back", t => {
    const driver = new Driver(endpointsOf(2));
    const say = (source: "settings" | "hostList" | "endpoint", leaving: boolean) =>
        driver.tell({ kind: "leaving", endpoint: "e0", source, leaving }, 0);
    say("hostList", true);
    say("endpoint", true);
    say("endpoint", false);
    for (let at = 0; at < 6; at++) t.like(driver.arrive(jobOf(`j${at}`), at), { endpoint: "e1" });
    say("hostList", false);
    t.like(driver.arrive(jobOf("back"), 10), { endpoint: "e0" });
});

test("requests waiting for a model that no endpoint serves any more are refused at once", t => {
    const driver = new Driver(endpointsOf(1, 3_000));
    driver.arrive(jobOf("a", { promptTokens: 2_900 }), 0);
    driver.arrive(jobOf("b", { promptTokens: 2_900 }), 1);
    t.like(driver.tell({ kind: "leaving", endpoint: "e0", source: "endpoint", leaving: true }, 2)[0], {
        kind: "refuse",
        job: "b",
        reason: "noEndpoint",
    });
});

test("the breaker opens after consecutive failures, probes once, and cannot eject a whole model", t => {
    let breaker = CLOSED;
    for (let at = 0; at < 3; at++) breaker = onResult(breaker, false, 0);
    t.false(allowsRequest(breaker, 500));
    t.true(allowsRequest(breaker, 1_000));
    t.false(allowsRequest(onSent(breaker), 1_000), "one probe at a time");
    const driver = new Driver(endpointsOf(3));
    for (const endpoint of ["e0", "e1", "e2"]) {
        for (let at = 0; at < 3; at++) {
            const id = `${endpoint}-${at}`;
            const avoid = ["e0", "e1", "e2"].filter(other => other !== endpoint);
            t.like(driver.arrive(jobOf(id), 0, false, avoid), { kind: "dispatch" });
            driver.tell({ kind: "ended", job: id, outcome: "failed", produced: 0 }, 0);
        }
    }
    t.like(driver.arrive(jobOf("still"), 1), { kind: "dispatch" });
});

test("a third of the engines failing at once adds no more retries than the budget allows", t => {
    let budget = createRetryBudget();
    let retries = 0;
    const requests = 1_000;
    for (let at = 0; at < requests; at++) {
        budget = earnRetry(budget, ["w/w"], 0.1);
        if (at % 3 !== 0) continue;
        const paid = spendRetry(budget, ["w/w"]);
        if (!paid) continue;
        budget = paid;
        retries += 1;
    }
    t.true(retries <= 0.1 * requests + 3, `${retries} retries`);
    t.true(retries >= 0.09 * requests);
});

test("a crowded endpoint's owner is asked; its answer decides, or the host itself if none comes", t => {
    const crowded = (): Driver => {
        const driver = new Driver(endpointsOf(1, 3_000));
        driver.tell({ kind: "hosts", count: 2 }, 0);
        driver.tell({
            kind: "others",
            endpoint: "e0",
            others: {
                streams: 1,
                unread: 0,
                stalled: 0,
                curve: { mean: new Float64Array(9).fill(1_000), variance: new Float64Array(9) },
            },
        }, 0);
        return driver;
    };
    const job = jobOf("a", { promptTokens: 900, maxTokens: 100 });
    const answer = (endpoint: string | undefined) =>
        ({ kind: "answer", job: "a", endpoint, standby: undefined }) as const;
    const granted = crowded();
    t.is(granted.arrive(job, 1)?.kind, "ask");
    t.like(granted.tell(answer("e0"), 2)[0], { kind: "dispatch", endpoint: "e0" });
    t.is(granted.state.endpoints.get("e0")?.streams.size, 1);
    const denied = crowded();
    denied.arrive(job, 1);
    t.deepEqual(denied.tell(answer(undefined), 2), []);
    t.is(denied.state.waiting.length, 1);
    t.is(denied.state.endpoints.get("e0")?.streams.size, 0);
    t.deepEqual(denied.tell({ kind: "tick" }, 10), [], "not asked again at once");
    t.is(denied.tell({ kind: "tick" }, 60)[0]?.kind, "ask");
    const silent = crowded();
    silent.arrive(job, 1);
    t.like(silent.tell({ kind: "tick" }, 150)[0], { kind: "dispatch", endpoint: "e0" });
    const left = crowded();
    left.arrive(job, 1);
    left.tell({ kind: "leaving", endpoint: "e0", source: "hostList", leaving: true }, 2);
    t.like(left.tell(answer("e0"), 3)[0], { kind: "refuse", reason: "noEndpoint" });
    const gone = crowded();
    gone.arrive(job, 1);
    gone.tell({ kind: "withdraw", job: "a" }, 2);
    t.is(gone.state.endpoints.get("e0")?.streams.size, 0);
    t.deepEqual(gone.tell(answer("e0"), 3), []);
});

test("an owner may name another endpoint than the one that it was asked about", t => {
    const driver = new Driver(endpointsOf(2, 3_000));
    driver.tell({ kind: "hosts", count: 2 }, 0);
    const others = {
        streams: 1,
        unread: 0,
        stalled: 0,
        curve: { mean: new Float64Array(9).fill(1_000), variance: new Float64Array(9) },
    };
    for (const endpoint of ["e0", "e1"]) driver.tell({ kind: "others", endpoint, others }, 0);
    const asked = driver.arrive(jobOf("a", { promptTokens: 900, maxTokens: 100 }), 1);
    t.is(asked?.kind, "ask");
    const other = asked?.kind === "ask" && asked.endpoint === "e0" ? "e1" : "e0";
    const [sent] = driver.tell({ kind: "answer", job: "a", endpoint: other, standby: undefined }, 2);
    t.like(sent, { kind: "dispatch", endpoint: other });
    t.is(driver.state.endpoints.get(other)?.streams.size, 1);
    t.is(driver.state.endpoints.get(other === "e0" ? "e1" : "e0")?.streams.size, 0);
});

test("a host that hears nothing from an owner plans with an equal share", t => {
    const driver = new Driver(endpointsOf(1));
    const view = () => driver.state.endpoints.get("e0")!;
    t.is(plannedShare(view(), 4, 0), 0.25);
    driver.tell({ kind: "others", endpoint: "e0", others: view().others }, 1_000);
    t.is(plannedShare(view(), 4, 2_000), 1);
    t.is(plannedShare(view(), 4, 20_000), 0.25);
    t.is(plannedShare(view(), 1, 20_000), 1);
});

test("limits reserve all or nothing, refund only what did not run, and name a retry time", t => {
    const limits = { requestsPerMinute: 2, tokensPerMinute: 1_000, openStreams: 5 };
    let state = createLimits();
    const take = (id: string, tokens: number, now: number) => {
        const taken = reserve(state, id, "w", limits, tokens, now);
        if (taken.ok) state = taken.state;
        return taken;
    };
    t.true(take("a", 600, 0).ok);
    t.like(take("b", 600, 0), {
        ok: false,
        refusal: { limit: "tokensPerMinute", allowed: 1_000, used: 600, resetMs: 12_000 },
    });
    t.like(take("huge", 5_000, 0), { ok: false, refusal: { limit: "tokensPerMinute", resetMs: undefined } });
    state = settle(state, "a", { kind: "notRun" });
    t.true(take("c", 1_000, 0).ok, "what did not run is given back");
    state = settle(state, "c", { kind: "ran", ranTokens: undefined });
    t.false(take("d", 1, 0).ok, "what may have run is not");
    t.true(take("e", 1, 60_000).ok);
    t.is(settle(settle(state, "e", { kind: "notRun" }), "e", { kind: "notRun" }).reserved.size, 0);
});

test("the same events give the same decisions", t => {
    const run = () => {
        const driver = new Driver(endpointsOf(4));
        for (let at = 0; at < 200; at++) {
            driver.arrive(jobOf(`j${at}`, { promptTokens: 100 + at * 37 % 3_000 }), at * 10);
            if (at > 20) {
                driver.tell({ kind: "ended", job: `j${at - 20}`, outcome: "whole", produced: at }, at * 10 + 5);
            }
        }
        return driver.actions;
    };
    t.deepEqual(run(), run());
});
