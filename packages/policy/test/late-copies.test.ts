import test from "ava";
import {
    type CopyEvidence,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    lateCopySpacingMs,
    planLateCopy,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
} from "../src/index.js";
import { makeJob } from "./job.js";

const VARIANT = { ...DEFAULT_VARIANT, forecast: true, backups: true, prefix: false };
/** One endpoint in fifty ends without notice each second, a copy of 2,500 tokens takes a quarter of a second. */
const LOSSES: CopyEvidence = { lossesPerS: 0.02, msPerToken: 0.1, refreshMs: 10, refreshEveryMs: 800 };
const FREE = { job: () => false, source: () => false };

function endpointOf(id: string, memoryTokens = 30_000): EndpointCfg {
    return { id, hall: "h1", models: ["m"], memoryTokens };
}

interface Driven {
    readonly state: SchedulerState;
    readonly actions: readonly SchedulerAction[];
}

function drive(state: SchedulerState, now: number, ...events: readonly SchedulerEvent[]): Driven {
    return events.reduce<Driven>((before, event) => decide(before.state, event, now), { state, actions: [] });
}

const declared = (...endpoints: readonly EndpointCfg[]): SchedulerEvent => ({ kind: "endpoints", endpoints });
const arrive = (id: string, maxTokens = 2_000): SchedulerEvent => ({
    kind: "arrive",
    job: makeJob(id, { backUp: true, maxTokens }),
    avoid: [],
    retry: false,
});
const progress = (job: string, produced: number): SchedulerEvent => ({
    kind: "progress",
    job,
    produced,
    meanGapMs: 10,
    maxGapMs: 12,
});
const leaving = (endpoint: string): SchedulerEvent => ({
    kind: "leaving",
    endpoint,
    source: "registry",
    leaving: true,
});

/** Streams that began where one endpoint was there, and so have no copy; others have come since. */
function uncovered(now: number, produced: Readonly<Record<string, number>>): SchedulerState {
    const jobs = Object.keys(produced);
    const begun = drive(
        createScheduler(VARIANT),
        0,
        declared(endpointOf("e1")),
        ...jobs.map(id => arrive(id)),
    );
    return drive(
        begun.state,
        now,
        declared(endpointOf("e1"), endpointOf("e2"), endpointOf("e3")),
        ...jobs.flatMap(id => produced[id] === 0 ? [] : [progress(id, produced[id]!)]),
    ).state;
}

test("where no endpoint ends without notice, no late copy is made", t => {
    const state = uncovered(5_000, { a: 500 });
    const plan = planLateCopy(state, { ...LOSSES, lossesPerS: 0 }, FREE, 5_000);
    t.deepEqual(plan, { kind: "none", reason: "noLosses" });
});

test("the stream that has most to lose is copied first; one that has not begun has nothing to lose yet", t => {
    const state = uncovered(5_000, { a: 200, b: 800, c: 0 });
    t.like(planLateCopy(state, LOSSES, FREE, 5_000), { kind: "copy", from: "e1" });
    const first = planLateCopy(state, LOSSES, FREE, 5_000);
    const busy = { ...FREE, job: (id: string) => first.kind === "copy" && id === first.job };
    const second = planLateCopy(state, LOSSES, busy, 5_000);
    if (first.kind !== "copy" || second.kind !== "copy") throw new Error("two are worth a copy");
    t.true(first.atStakeMs >= second.atStakeMs);
    t.deepEqual([first.job, second.job].sort(), ["a", "b"]);
    const none = planLateCopy(state, LOSSES, { ...FREE, job: id => id !== "c" }, 5_000);
    t.deepEqual(none, { kind: "none", reason: "covered" });
});

test("a copy that costs more than it is expected to save is not made", t => {
    const state = uncovered(5_000, { a: 500 });
    const rare = planLateCopy(state, { ...LOSSES, lossesPerS: 1e-4 }, FREE, 5_000);
    t.deepEqual(rare, { kind: "none", reason: "notWorth" });
    const crowded = planLateCopy(state, { ...LOSSES, msPerToken: 2 }, FREE, 5_000);
    t.deepEqual(crowded, { kind: "none", reason: "notWorth" });
});

test("while a stream of a leaving endpoint has no copy, no other is made", t => {
    const begun = drive(
        createScheduler(VARIANT),
        0,
        declared(endpointOf("e1"), endpointOf("e2")),
        ...["a", "b", "c", "d"].map(id => arrive(id)),
        ...["a", "b", "c", "d"].map(id => progress(id, 500)),
    ).state;
    const both = begun.endpoints.values().filter(({ streams }) => streams.size > 0).map(({ cfg }) => cfg.id);
    t.deepEqual(both, ["e1", "e2"]);
    // Each keeps the other's copies: with one leaving, its streams' copies stay and those of the others are gone.
    const { state } = drive(
        begun,
        5_000,
        declared(endpointOf("e1"), endpointOf("e2"), endpointOf("e3")),
        leaving("e1"),
    );
    t.like(planLateCopy(state, LOSSES, FREE, 5_000), { kind: "copy", from: "e2" });
    const { state: all } = drive(state, 5_000, leaving("e2"));
    t.deepEqual(planLateCopy(all, LOSSES, FREE, 5_000), { kind: "none", reason: "notice" });
});

test("one endpoint makes one late copy at a time", t => {
    const state = uncovered(5_000, { a: 500 });
    const plan = planLateCopy(state, LOSSES, { ...FREE, source: id => id === "e1" }, 5_000);
    t.is(plan.kind, "none");
});

test("a late copy goes where there is room to spare, and its memory is counted there", t => {
    const state = uncovered(5_000, { a: 500 });
    const { state: next, actions } = drive(state, 5_000, { kind: "copyLate", job: "a" });
    const [action] = actions;
    if (action?.kind !== "copy") throw new Error("not copied");
    t.like(action, { job: "a", from: "e1" });
    t.true(next.endpoints.get(action.to)!.backups.has("a"));
    t.deepEqual(planLateCopy(next, LOSSES, FREE, 5_000), { kind: "none", reason: "covered" });
});

test("a late copy takes no room above the share that is planned with copies", t => {
    const state = uncovered(5_000, { a: 500 });
    // Two thirds of what a stream of 2,500 tokens that may go on to 4,000 holds are more than half of these endpoints.
    const small =
        drive(state, 5_000, declared(endpointOf("e1"), endpointOf("e2", 4_000), endpointOf("e3", 4_000))).state;
    const { actions } = drive(small, 5_000, { kind: "copyLate", job: "a" });
    t.deepEqual(actions, [{ kind: "noCopy", job: "a" }]);
});

test("all hosts together leave most of the links' time to copies that cannot wait", t => {
    const [copyMs, sources] = [200, 30];
    for (const hosts of [1, 6, 66, 300]) {
        const perS = hosts * 1_000 / lateCopySpacingMs(copyMs, sources, hosts);
        t.true(perS * copyMs / 1_000 <= sources / 4 + 1e-9);
    }
});
