import test from "ava";
import {
    ALONE,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    type Fleet,
    limitShare,
    type SchedulerEvent,
    type SchedulerState,
    type Variant,
} from "../src/index.js";
import { makeJob } from "./job.js";

/** Long after the host started. */
const LATER = 60_000;
const FLEET: Fleet = { ...ALONE, since: 0, live: 6, most: 6 };

/** Shares of all hosts of a fleet, largest first. */
function sharesOf(perS: number, fleet: Partial<Fleet> = {}): readonly number[] {
    const { live } = { ...FLEET, ...fleet };
    return Array.from({ length: live }, (_, place) => limitShare("e1", perS, { ...FLEET, ...fleet, place }, LATER))
        .sort((a, b) => b - a);
}

function sumOf(numbers: readonly number[]): number {
    return numbers.reduce((sum, number) => sum + number, 0);
}

const SHARES: Readonly<
    Record<string, { readonly perS: number; readonly fleet?: Partial<Fleet>; readonly parts: readonly number[] }>
> = {
    "ten in 4.35 s among six hosts": { perS: 2.3, parts: [2, 2, 2, 2, 1, 1] },
    "one in 10 s for a limit of zero, to learn when it is lifted": { perS: 0, parts: [1, 0, 0, 0, 0, 0] },
    "two in 6.7 s for less than one per second": { perS: 0.3, parts: [1, 1, 0, 0, 0, 0] },
    "an even division without the remainder for hosts that hear half of the others": {
        perS: 4.8,
        fleet: { live: 3 },
        parts: [3, 3, 3],
    },
    "none for a host that has just started": {
        perS: 100,
        fleet: { since: LATER - 2_999 },
        parts: [0, 0, 0, 0, 0, 0],
    },
    "none for a host that has not heard from others": {
        perS: 100,
        fleet: { since: undefined },
        parts: [0, 0, 0, 0, 0, 0],
    },
};

for (const [name, { perS, fleet, parts }] of Object.entries(SHARES)) {
    test(`shares of a limit: ${name}`, t => t.deepEqual(sharesOf(perS, fleet), parts));
}

test("the shares of all hosts add up to the limit, however many hosts there are", t => {
    for (const live of [1, 6, 66, 350]) {
        for (const perS of [0.3, 2.3, 17, 110.5]) {
            t.is(sumOf(sharesOf(perS, { live, most: live })), Math.ceil(4 * perS), `${live} hosts, ${perS} a second`);
        }
    }
});

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

/** A host of a long-running fleet, with endpoints of which some announced a limit. */
function hostOf(
    limits: Readonly<Record<string, number | undefined>>,
    hosts = 1,
    variant: Partial<Variant> = {},
): SchedulerState {
    const started = createScheduler({ ...DEFAULT_VARIANT, backups: true, prefix: false, ...variant });
    const told: SchedulerEvent = { kind: "hosts", count: hosts, place: 0 };
    const { state } = drive(started, [told, { kind: "endpoints", endpoints: Object.keys(limits).map(endpointOf) }], 0);
    const said = Object.entries(limits).flatMap(([endpoint, limitPerS]): SchedulerEvent[] =>
        limitPerS === undefined ? [] : [{ kind: "said", endpoint, said: { limitPerS, at: ANNOUNCED_AT } }]
    );
    return drive(state, said, ANNOUNCED_AT).state;
}

/** Limits were announced longer ago than their spans, but are not stale yet. */
const ANNOUNCED_AT = LATER - 9_000;

const arrive = (id: string): SchedulerEvent => ({
    kind: "arrive",
    job: makeJob(id, { backUp: true, promptTokens: 100, maxTokens: 10 }),
    avoid: [],
    retry: false,
});
const JOBS = Array.from({ length: 30 }, (_, at) => arrive(`j${at}`));

function sent({ actions }: ReturnType<typeof decide>): readonly string[] {
    return actions.flatMap(action => action.kind === "dispatch" ? [action.endpoint] : []);
}

test("a limited endpoint is sent its limit, and the others take the rest", t => {
    const to = sent(drive(hostOf({ e1: 2.3, e2: undefined }), JOBS, LATER));
    t.is(to.length, JOBS.length);
    t.is(to.filter(id => id === "e1").length, 10);
});

test("if all endpoints are limited, excess requests are refused at once, with the time of the next send", t => {
    const { actions } = drive(hostOf({ e1: 1, e2: 1 }), JOBS, LATER);
    const refused = actions.filter(action => action.kind === "refuse");
    t.is(sent({ state: hostOf({}), actions }).length, 8);
    t.is(refused.length, JOBS.length - 8);
    t.true(refused.every(({ reason, retryAfterMs }) => reason === "limited" && retryAfterMs >= 4_000));
});

test("a request waits for a limit that soon admits it", t => {
    const again: SchedulerEvent = { kind: "said", endpoint: "e1", said: { limitPerS: 1, at: LATER } };
    const full = drive(hostOf({ e1: 1 }), [again, ...JOBS.slice(0, 4)], LATER).state;
    const soon = drive(full, [arrive("late")], LATER + 3_900);
    t.deepEqual(soon.actions, []);
    t.deepEqual(sent(drive(soon.state, [{ kind: "tick" }], LATER + 4_001)), ["e1"]);
});

test("a lifted limit binds nothing, nor does a limit announced before it was lifted", t => {
    const over = drive(hostOf({ e1: 0 }), [
        { kind: "said", endpoint: "e1", said: { limitPerS: undefined, at: LATER } },
        { kind: "said", endpoint: "e1", said: { limitPerS: 0, at: LATER - 1 } },
    ], LATER);
    t.is(sent(drive(over.state, JOBS, LATER)).length, JOBS.length);
});

test("copies are kept at endpoints without a limit, or else at limited ones", t => {
    const backUps = (limits: Readonly<Record<string, number | undefined>>): readonly (string | undefined)[] =>
        drive(hostOf(limits), [arrive("j")], LATER).actions.map(action =>
            action.kind === "dispatch" ? action.backUp : undefined
        );
    t.deepEqual(backUps({ e1: undefined, e2: 100, e3: undefined }).filter(id => id === "e2"), []);
    t.is(backUps({ e1: undefined, e2: 100 })[0], "e2");
});

test("streams continue at a limited standby only within its limit", t => {
    const state = hostOf({ e1: undefined, e2: undefined });
    const running = drive(state, JOBS.slice(0, 3), LATER);
    const [standby] = running.actions.flatMap(action => action.kind === "dispatch" ? action.backUp ?? [] : []);
    const limited = drive(
        running.state,
        [{ kind: "said", endpoint: standby!, said: { limitPerS: 0.2, at: LATER } }],
        LATER,
    );
    const jobs = running.actions.flatMap(action =>
        action.kind === "dispatch" && action.backUp === standby ? [action.job] : []
    );
    const later = LATER + 9_000;
    const on = drive(
        limited.state,
        jobs.map((job): SchedulerEvent => ({ kind: "continue", job, failed: true })),
        later,
    );
    t.true(jobs.length > 1);
    t.deepEqual(sent(on), [standby]);
});

test("owners admit nothing to a limited endpoint, and a host sends its share without asking", t => {
    const large = { askAlways: true };
    const { actions } = drive(hostOf({ e1: 100, e2: undefined }, 66, large), JOBS, LATER);
    const part = limitShare("e1", 100, { ...FLEET, live: 66, most: 66 }, LATER);
    t.is(sent({ state: hostOf({}), actions }).filter(id => id === "e1").length, part);
    const asked = actions.flatMap(action => action.kind === "ask" ? [action] : []);
    t.true(asked.length > 0);
    t.true(asked.every(({ endpoint, question }) => endpoint === "e2" && question.exclude.includes("e1")));
});

test("an owner that has not heard of a limit cannot send a request there", t => {
    const asked = drive(hostOf({ e1: undefined }, 66, { askAlways: true }), [arrive("j")], LATER);
    const [ask] = asked.actions;
    t.is(ask?.kind, "ask");
    const told = drive(asked.state, [
        { kind: "said", endpoint: "e1", said: { limitPerS: 0, at: LATER } },
        { kind: "answer", job: "j", endpoint: "e1", standby: undefined },
    ], LATER + 5);
    t.deepEqual(sent(told), []);
});

test("hosts take turns in probing a limit that none has heard of for a while", t => {
    const inDoubt = ANNOUNCED_AT + 10_000;
    const turns = Array.from({ length: 6 }, (_, place) => {
        const fleet: SchedulerEvent = { kind: "hosts", count: 6, place };
        const { state } = drive(hostOf({ e1: 0 }, 6), [fleet], LATER);
        return Array.from({ length: 6 }, (_, turn) => inDoubt + 1_000 * turn + 500)
            .filter(now => sent(drive(state, [arrive("j")], now)).length > 0).length;
    });
    t.deepEqual(turns.filter(count => count >= 1).length, 6);
});
