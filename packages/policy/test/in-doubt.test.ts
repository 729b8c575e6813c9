import test from "ava";
import {
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
} from "../src/index.js";
import { makeJob } from "./job.js";

const LARGE_TOKENS = 40_000;
const NOW = 20_000;
const NOTHING = { halls: [], endpoints: [] };

function endpointOf(id: string, memoryTokens = LARGE_TOKENS): EndpointCfg {
    return { id, hall: id.split("-")[0]!, models: ["m"], memoryTokens };
}

interface Driven {
    readonly state: SchedulerState;
    readonly actions: readonly SchedulerAction[];
}

function drive(state: SchedulerState, events: readonly SchedulerEvent[], now = NOW): Driven {
    return events.reduce<Driven>(({ state, actions }, event) => {
        const next = decide(state, event, now);
        return { state: next.state, actions: [...actions, ...next.actions] };
    }, { state, actions: [] });
}

function createHost(endpoints: readonly EndpointCfg[], more: Partial<typeof DEFAULT_VARIANT> = {}): SchedulerState {
    const state = createScheduler({ ...DEFAULT_VARIANT, pace: false, ...more }, 1, { hall: "k1" });
    return decide(state, { kind: "endpoints", endpoints }, 0).state;
}

function doubt(...halls: readonly string[]): SchedulerEvent {
    return { kind: "reach", doubted: { halls, endpoints: [] }, back: [] };
}

function arrive(id: string, avoid: readonly string[] = [], more = {}): SchedulerEvent {
    return { kind: "arrive", job: makeJob(id, { promptTokens: 500, ...more }), avoid, retry: false };
}

function dispatchedTo(actions: readonly SchedulerAction[]): readonly string[] {
    return actions.flatMap(action => action.kind === "dispatch" ? [action.endpoint] : []);
}

const PLAIN = { admission: "none", choice: "leastOutstanding" } as const;
const ONE_EACH = ["k1-a", "k2-a", "k3-a"].map(id => endpointOf(id));

test("calls go to halls that are not in doubt, however busy those are", t => {
    const { state } = drive(createHost(ONE_EACH, PLAIN), [doubt("k2")]);
    const { actions } = drive(state, Array.from({ length: 30 }, (_, at) => arrive(`r${at}`)));
    t.deepEqual([...new Set(dispatchedTo(actions))].toSorted(), ["k1-a", "k3-a"]);
});

test("calls go to endpoints that are not in doubt, and to others of the same hall", t => {
    const endpoints = ["k1-a", "k2-a", "k2-b"].map(id => endpointOf(id));
    const doubted = { halls: [], endpoints: ["k2-a"] };
    const { state } = drive(createHost(endpoints, PLAIN), [{ kind: "reach", doubted, back: [] }]);
    const { actions } = drive(state, Array.from({ length: 30 }, (_, at) => arrive(`r${at}`)));
    t.deepEqual([...new Set(dispatchedTo(actions))].toSorted(), ["k1-a", "k2-b"]);
});

test("calls go to halls in doubt if no others are left", t => {
    const { state } = drive(createHost(ONE_EACH, PLAIN), [
        doubt("k2", "k3"),
        { kind: "unreachable", endpoint: "k1-a" },
    ]);
    const { actions } = drive(state, [arrive("r1"), arrive("r2", ["k2-a"])]);
    t.is(dispatchedTo(actions).length, 2);
    t.false(dispatchedTo(actions).includes("k1-a"));
});

test("an empty report of doubts changes no decision", t => {
    const calls = Array.from({ length: 12 }, (_, at) => arrive(`r${at}`));
    const untouched = drive(createHost(ONE_EACH, PLAIN), calls);
    const told = drive(createHost(ONE_EACH, PLAIN), [doubt(), ...calls]);
    t.deepEqual(told.actions, untouched.actions);
});

test("a stream and its copy are placed in halls that are not in doubt", t => {
    const endpoints = ["k1-a", "k2-a", "k2-b", "k3-a"].map(id => endpointOf(id));
    const { state } = drive(createHost(endpoints, { backups: true }), [doubt("k2")]);
    const { actions } = drive(state, [arrive("r1", [], { backUp: true })]);
    const [dispatched] = actions.filter(action => action.kind === "dispatch");
    t.like(dispatched, { endpoint: "k1-a", backUp: "k3-a" });
    const other = drive(createHost(endpoints, { backups: true }), [
        doubt("k2", "k3"),
        arrive("r1", [], { backUp: true }),
    ]);
    t.like(other.actions[0], { endpoint: "k1-a", backUp: undefined }, "a copy there is worth nothing now");
});

test("a request waits for capacity in reachable halls, and is tried in a hall in doubt before it is refused", t => {
    const endpoints = [endpointOf("k1-a", 3_000), endpointOf("k2-a", 3_000)];
    const { state } = drive(createHost(endpoints), [doubt("k2")]);
    const filled = drive(state, [arrive("r1", [], { promptTokens: 2_900 }), arrive("r2", [], { promptTokens: 2_900 })]);
    t.deepEqual(dispatchedTo(filled.actions), ["k1-a"], "the second waits");
    const late = drive(filled.state, [{ kind: "tick" }], NOW + 1_600);
    t.deepEqual(late.actions.map(({ kind }) => kind), ["dispatch"]);
    t.deepEqual(dispatchedTo(late.actions), ["k2-a"]);
    const third = drive(late.state, [arrive("r3", [], { promptTokens: 2_900 })], NOW + 1_600);
    const over = drive(third.state, [{ kind: "tick" }], NOW + 3_300);
    t.deepEqual(over.actions.map(({ kind }) => kind), ["refuse"], "it has no room there either");
});

test("a request that finds the queue full is tried in a hall in doubt", t => {
    const endpoints = [endpointOf("k1-a", 3_000), endpointOf("k2-a", 3_000)];
    const { state } = drive(createHost(endpoints), [doubt("k2"), arrive("r1", [], { promptTokens: 2_900 })]);
    const job = makeJob("r2", { promptTokens: 2_900 }, { queueLimit: 0 });
    const { actions } = drive(state, [{ kind: "arrive", job, avoid: [], retry: false }]);
    t.deepEqual(dispatchedTo(actions), ["k2-a"]);
});

test("endpoints of a hall that is heard again are probed at once, with one request each", t => {
    const lost = drive(createHost([endpointOf("k2-a")], PLAIN), [
        { kind: "unreachable", endpoint: "k2-a" },
        { kind: "unreachable", endpoint: "k2-a" },
        { kind: "unreachable", endpoint: "k2-a" },
        doubt("k2"),
    ]);
    const breakerIn = (state: SchedulerState) => state.endpoints.get("k2-a")!.breaker;
    t.true(breakerIn(lost.state).openUntil > NOW + 1_000);
    const back = drive(lost.state, [{ kind: "reach", doubted: NOTHING, back: ["k2"] }]);
    t.true(breakerIn(back.state).openUntil <= NOW);
    t.false(back.state.endpoints.get("k2-a")!.isInDoubt);
    const failing = drive(createHost([endpointOf("k2-a")], PLAIN), [
        arrive("r1"),
        { kind: "ended", job: "r1", outcome: "failed", produced: 0 },
        { kind: "reach", doubted: NOTHING, back: ["k2"] },
    ]);
    t.is(breakerIn(failing.state).failures, 1, "failures of its own stay");
});

const LARGE_FLEET: readonly SchedulerEvent[] = [
    { kind: "hosts", count: 30, place: 3, unheard: 0, mark: 7 },
    { kind: "owns", endpoints: [] },
];

/** Endpoints that the owner is asked to exclude, one list per question. */
function excluded(actions: readonly SchedulerAction[]): readonly (readonly string[])[] {
    return actions.flatMap(action => action.kind === "ask" ? [action.question.exclude] : []);
}

test("an owner is asked to exclude endpoints in doubt, until the request would otherwise be refused", t => {
    const endpoints = ["k1-a", "k2-a", "k3-a"].map(id => endpointOf(id));
    const { state } = drive(createHost(endpoints, { askAlways: true }), [...LARGE_FLEET, doubt("k2")]);
    const asked = drive(state, [arrive("r1")]);
    t.deepEqual(excluded(asked.actions), [["k2-a"]]);
    const noRoom = { kind: "answer", job: "r1", endpoint: undefined, standby: undefined } as const;
    const waits = drive(asked.state, [noRoom]);
    t.deepEqual(waits.actions, []);
    const late = drive(waits.state, [{ kind: "tick" }], NOW + 1_600);
    t.deepEqual(excluded(late.actions), [[]]);
    const over = drive(late.state, [noRoom], NOW + 1_610);
    t.deepEqual(over.actions.map(({ kind }) => kind), ["refuse"]);
});
