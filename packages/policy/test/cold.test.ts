import test from "ava";
import {
    coldAllowance,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    type Fleet,
    type SchedulerEvent,
    type SchedulerState,
} from "../src/index.js";
import { makeJob } from "./job.js";

/** Requests per second that all hosts together may send; a quarter of it is 10. */
const PER_S = 40;
/** Long after the host started. */
const LATER = 60_000;
const FLEET: Fleet = { since: 0, place: 0, live: 66, most: 66, changedAt: 0, mark: 0 };

const ALLOWED: Readonly<
    Record<string, { readonly fleet?: Partial<Fleet>; readonly ownedSince?: number; readonly most: number }>
> = {
    "an owner: a quarter": { ownedSince: 0, most: 10 },
    "a new owner: none, as the admissions of the one before still count": {
        ownedSince: LATER - 1_999,
        most: 0,
    },
    "one of the first hosts by position: one": { fleet: { place: 9 }, most: 1 },
    "one of the others: none": { fleet: { place: 10 }, most: 0 },
    "one of few hosts: its share": { fleet: { live: 3, most: 3, place: 2 }, most: 3 },
    "a host that hears half of the hosts: none": { fleet: { live: 33 }, most: 0 },
    "an owner that hears half of the hosts: none": { fleet: { live: 33 }, ownedSince: 0, most: 0 },
    "an owner that has just started: none": { fleet: { since: LATER - 9_999 }, ownedSince: 0, most: 0 },
    "a host that has not heard from others yet: none": { fleet: { since: undefined }, most: 0 },
};

for (const [name, { fleet, ownedSince, most }] of Object.entries(ALLOWED)) {
    test(`admissions to a cold endpoint by ${name}`, t => {
        t.is(coldAllowance(PER_S, { ...FLEET, ...fleet }, ownedSince, LATER), most);
    });
}

function endpointOf(id: string, parts: Partial<EndpointCfg> = {}): EndpointCfg {
    return { id, hall: "h1", models: ["m"], memoryTokens: 1e6, ...parts };
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

/** A host that has known its fleet since time 0. */
function hostOf(endpoints: readonly EndpointCfg[], hosts = 1): SchedulerState {
    const variant = { ...DEFAULT_VARIANT, backups: true, prefix: false };
    const told: SchedulerEvent = { kind: "hosts", count: hosts, place: 0, unheard: 0 };
    return drive(createScheduler(variant), [told, { kind: "endpoints", endpoints }], 0).state;
}

const arrive = (id: string): SchedulerEvent => ({
    kind: "arrive",
    job: makeJob(id, { backUp: true, promptTokens: 100, maxTokens: 10 }),
    avoid: [],
    retry: false,
});

/** Endpoints that requests were sent to, one entry per request. */
function sent({ actions }: ReturnType<typeof decide>): readonly string[] {
    return actions.flatMap(action => action.kind === "dispatch" ? [action.endpoint] : []);
}

const cold = (until: number, perS = PER_S) => ({ cold: { until, perS } });
const JOBS = Array.from({ length: 30 }, (_, at) => arrive(`j${at}`));

test("a cold endpoint is sent no more than its bound, the others take the rest", t => {
    const state = hostOf([endpointOf("cold", cold(LATER + 5_000)), endpointOf("warm")], 1);
    const to = sent(drive(state, JOBS, LATER));
    t.is(to.length, JOBS.length);
    t.is(to.filter(id => id === "cold").length, 10);
});

test("an endpoint is used in full as soon as it is warm, without a ramp", t => {
    const state = hostOf([endpointOf("e1", cold(LATER))], 1);
    const joined = drive(state, [{
        kind: "endpoints",
        endpoints: [endpointOf("e1", cold(LATER)), endpointOf("e2", cold(LATER))],
    }], LATER);
    const to = sent(drive(joined.state, JOBS, LATER));
    t.true(to.filter(id => id === "e2").length > 10);
});

test("no request goes to an evacuated hall, and its endpoints keep no copies", t => {
    const endpoints = [endpointOf("gone", { isEvacuated: true }), endpointOf("e1"), endpointOf("e2")];
    const { actions } = drive(hostOf(endpoints), JOBS, LATER);
    const named = actions.flatMap(action => action.kind === "dispatch" ? [action.endpoint, action.backUp] : []);
    t.true(named.length > 0);
    t.false(named.includes("gone"));
});

test("a request that waits for an owner's answer does not go to a hall evacuated meanwhile", t => {
    const endpoints = [endpointOf("e1"), endpointOf("e2", { hall: "h2" })];
    const variant = { ...DEFAULT_VARIANT, askAlways: true };
    const hosts: SchedulerEvent = { kind: "hosts", count: 66, place: 1, unheard: 0 };
    const asked = drive(createScheduler(variant), [hosts, { kind: "endpoints", endpoints }, arrive("j")], LATER);
    t.true(asked.actions.some(({ kind }) => kind === "ask"));
    const closed = endpoints.map(cfg => ({ ...cfg, isEvacuated: true }));
    const told = drive(asked.state, [
        { kind: "endpoints", endpoints: closed },
        { kind: "answer", job: "j", endpoint: "e1", standby: undefined },
    ], LATER + 50);
    t.deepEqual(sent(told), []);
    t.deepEqual(sent(drive(told.state, [{ kind: "tick" }], LATER + 200)), []);
});

/** Breaks off a stream and lets it continue, with these settings for its standby. */
function continueFromCopy(parts: Partial<EndpointCfg>): ReturnType<typeof decide> {
    const before = drive(hostOf([endpointOf("e1"), endpointOf("e2")]), [arrive("j")], LATER);
    const source = sent(before)[0]!;
    const endpoints = ["e1", "e2"].map(id => endpointOf(id, id === source ? {} : parts));
    return drive(before.state, [{ kind: "endpoints", endpoints }, { kind: "continue", job: "j", failed: true }], LATER);
}

test("a stream continues at its standby, but not in an evacuated hall, nor at a cold endpoint with room for too many copies", t => {
    t.is(sent(continueFromCopy({})).length, 1);
    t.is(sent(continueFromCopy({ isEvacuated: true })).length, 0);
    t.is(sent(continueFromCopy({ ...cold(LATER + 1_000), memoryTokens: 1_000 })).length, 1);
    t.is(sent(continueFromCopy({ ...cold(LATER + 1_000), memoryTokens: 2_000 })).length, 0);
});
