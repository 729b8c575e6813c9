import test from "ava";
import {
    advisePlacement,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    type SchedulerEvent,
    type SchedulerState,
    type Variant,
} from "../src/index.js";
import { makeJob } from "./job.js";

/** Long after the host started. */
const LATER = 60_000;
const REST_MS = 3_000;

function endpointOf(id: string): EndpointCfg {
    return { id, hall: "h1", models: ["m"], memoryTokens: 1e6 };
}

function drive(state: SchedulerState, events: readonly SchedulerEvent[], now: number): ReturnType<typeof decide> {
    return events.reduce(
        (before, event) => {
            const { state: next, actions } = decide(before.state, event, now);
            return { state: next, actions: [...before.actions, ...actions] };
        },
        { state, actions: [] } as ReturnType<typeof decide>,
    );
}

/** Creates a host that knows these endpoints. */
function hostOf(endpoints: readonly string[], hosts = 1, variant: Partial<Variant> = {}): SchedulerState {
    const started = createScheduler({ ...DEFAULT_VARIANT, backups: true, prefix: false, ...variant });
    const told: SchedulerEvent = { kind: "hosts", count: hosts, place: 0 };
    return drive(started, [told, { kind: "endpoints", endpoints: endpoints.map(endpointOf) }], 0).state;
}

const rest = (endpoint: string, until = LATER + REST_MS): SchedulerEvent => ({ kind: "rest", endpoint, until });
const arrive = (id: string): SchedulerEvent => ({
    kind: "arrive",
    job: makeJob(id, { backUp: true, promptTokens: 100, maxTokens: 10 }),
    avoid: [],
    retry: false,
});
const JOBS = Array.from({ length: 10 }, (_, at) => arrive(`j${at}`));

function sent({ actions }: ReturnType<typeof decide>): readonly string[] {
    return actions.flatMap(action => action.kind === "dispatch" ? [action.endpoint] : []);
}

test("an endpoint that asked for rest is sent nothing until the rest is over", t => {
    const { state } = drive(hostOf(["e1", "e2"]), [rest("e1")], LATER);
    t.false(sent(drive(state, JOBS, LATER + REST_MS - 1)).includes("e1"));
    t.true(sent(drive(state, JOBS, LATER + REST_MS)).includes("e1"));
});

test("of several requests for rest the latest end counts", t => {
    const { state } = drive(hostOf(["e1", "e2"]), [rest("e1"), rest("e1", LATER + 1_000)], LATER);
    t.false(sent(drive(state, JOBS, LATER + 2_000)).includes("e1"));
});

test("a waiting request is sent when the rest is over; one that would wait too long is refused at once", t => {
    const { state } = drive(hostOf(["e1"]), [rest("e1")], LATER);
    const [refused] = drive(state, [arrive("early")], LATER).actions;
    t.like(refused, { kind: "refuse", reason: "limited", retryAfterMs: 250 });
    const waits = drive(state, [arrive("late")], LATER + REST_MS - 1_000);
    t.deepEqual(waits.actions, []);
    t.deepEqual(sent(drive(waits.state, [{ kind: "tick" }], LATER + REST_MS)), ["e1"]);
});

test("a stream does not continue at a standby that asked for rest", t => {
    const running = drive(hostOf(["e1", "e2"]), [arrive("j")], LATER);
    const [dispatched] = running.actions;
    t.is(dispatched?.kind, "dispatch");
    const standby = dispatched?.kind === "dispatch" ? dispatched.backUp! : "";
    const { state } = drive(running.state, [rest(standby)], LATER);
    t.deepEqual(sent(drive(state, [{ kind: "continue", job: "j", failed: true }], LATER)), []);
    t.deepEqual(sent(drive(state, [{ kind: "continue", job: "j", failed: true }], LATER + REST_MS)), [standby]);
});

test("an owner still names an endpoint that asked it for rest; other hosts exclude it if it asked them", t => {
    const variant = { askAlways: true };
    const asked = drive(hostOf(["e1"], 66, variant), [arrive("j")], LATER);
    const [ask] = asked.actions;
    if (ask?.kind !== "ask") return t.fail();
    const owner = drive(hostOf(["e1"], 66, variant), [rest("e1")], LATER).state;
    t.is(advisePlacement(owner, ask.question, LATER)?.endpoint, "e1");
    const told = drive(asked.state, [
        rest("e1"),
        { kind: "answer", job: "j", endpoint: "e1", standby: undefined },
    ], LATER + 5);
    t.deepEqual(sent(told), []);
    const [other] = drive(hostOf(["e1", "e2"], 66, variant), [rest("e1"), arrive("j")], LATER).actions;
    t.true(other?.kind === "ask" && other.question.exclude.includes("e1"));
});

test("a host whose owner does not answer sends nothing to an endpoint that asked it for rest", t => {
    const asked = drive(hostOf(["e1"], 66, { askAlways: true }), [arrive("j")], LATER);
    const { state } = drive(asked.state, [rest("e1")], LATER + 5);
    t.deepEqual(sent(drive(state, [{ kind: "tick" }], LATER + 200)), []);
});

test("a registration that lapses and returns in the same life does not end the rest", t => {
    const endpoints: SchedulerEvent = { kind: "endpoints", endpoints: ["e1", "e2"].map(endpointOf) };
    const gone: SchedulerEvent = { kind: "endpoints", endpoints: [endpointOf("e2")] };
    const { state } = drive(hostOf(["e1", "e2"]), [rest("e1"), gone, endpoints], LATER);
    t.false(sent(drive(state, JOBS, LATER)).includes("e1"));
});
