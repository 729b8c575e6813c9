/**
 * Tests how hosts divide the places of endpoints that fail if they have to turn requests away.
 */
import test from "ava";
import {
    ALONE,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type Fleet,
    ownPlaces,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
} from "../src/index.js";
import { makeJob } from "./job.js";

/** Long after the host started. */
const LATER = 60_000;
const PLAIN = { ...DEFAULT_VARIANT, admission: "none", choice: "leastOutstanding" } as const;
const MAX_REJECTS = 5;

/** A scheduler with one endpoint of six places, among `hosts` hosts. */
function startScheduler(hosts: number, endpoint = "e1"): SchedulerState {
    return apply(createScheduler(PLAIN), 0, [
        { kind: "hosts", count: hosts },
        { kind: "endpoints", endpoints: [{ id: endpoint, hall: "k1", models: ["m"], memoryTokens: 0, places: 6 }] },
    ]).state;
}

function apply(
    state: SchedulerState,
    now: number,
    events: readonly SchedulerEvent[],
): { readonly state: SchedulerState; readonly actions: readonly SchedulerAction[] } {
    const actions: SchedulerAction[] = [];
    let next = state;
    for (const event of events) {
        const decision = decide(next, event, now);
        next = decision.state;
        actions.push(...decision.actions);
    }
    return { state: next, actions };
}

function announce(endpoint: string, maxRejectsPerS: number | undefined, at: number): SchedulerEvent {
    return { kind: "said", endpoint, said: { limitPerS: undefined, maxRejectsPerS, at } };
}

function arrivals(count: number, from = 0): readonly SchedulerEvent[] {
    return Array.from({ length: count }, (_, at) => ({
        kind: "arrive",
        job: makeJob(`r${from + at}`),
        avoid: [],
        retry: false,
    }));
}

function dispatched(actions: readonly SchedulerAction[]): number {
    return actions.filter(({ kind }) => kind === "dispatch").length;
}

test("the shares of all hosts add up to the places, if there are no more hosts than places", t => {
    const view = startScheduler(1).endpoints.get("e1")!;
    for (const most of [1, 2, 4, 6]) {
        const shares = Array.from({ length: most }, (_, place) => {
            const fleet: Fleet = { ...ALONE, since: 0, live: most, most, place };
            return ownPlaces(view, fleet, LATER);
        });
        t.is(shares.reduce((sum, share) => sum + share, 0), 6, `${most} hosts`);
    }
});

test("parts of a fleet that do not hear each other stay within the places together", t => {
    const view = startScheduler(1).endpoints.get("e1")!;
    const shareOf = (place: number): number => ownPlaces(view, { ...ALONE, since: 0, live: 2, most: 4, place }, LATER);
    t.true(2 * (shareOf(0) + shareOf(1)) <= 6);
});

test("a host sends no more to a brittle endpoint than its share, and refuses at once what has to wait too long", t => {
    const { state } = apply(startScheduler(2), LATER, [announce("e1", MAX_REJECTS, LATER)]);
    const { actions } = apply(state, LATER, arrivals(200));
    t.is(dispatched(actions), 3);
    const refused = actions.filter(action => action.kind === "refuse");
    t.true(refused.length > 0);
    for (const { reason, retryAfterMs } of refused) {
        t.is(reason, "limited");
        t.true(retryAfterMs > 0);
    }
});

test("with more hosts than places, the requests of a host are spaced", t => {
    const { state } = apply(startScheduler(60), LATER, [announce("e1", MAX_REJECTS, LATER)]);
    const first = apply(state, LATER, arrivals(1));
    t.is(dispatched(first.actions), 1);
    const ended = apply(first.state, LATER + 50, [{ kind: "ended", job: "r0", outcome: "whole", produced: 1 }]);
    t.is(dispatched(apply(ended.state, LATER + 60, arrivals(1, 1)).actions), 0, "a moment later");
    // 60 hosts that use 0.8 of six places for 50 ms each: one request in 625 ms.
    t.is(dispatched(apply(ended.state, LATER + 630, arrivals(1, 2)).actions), 1, "after its turn");
});

test("a host that was turned away sends nothing for a second", t => {
    const { state } = apply(startScheduler(2), LATER, [announce("e1", MAX_REJECTS, LATER), ...arrivals(1)]);
    const refused = apply(state, LATER, [{ kind: "ended", job: "r0", outcome: "refused", produced: 0 }]);
    t.is(dispatched(apply(refused.state, LATER + 999, arrivals(1, 1)).actions), 0);
    t.is(dispatched(apply(refused.state, LATER + 1_000, arrivals(1, 2)).actions), 1);
});

test("a new endpoint of a brittle service counts as brittle until it has answered", t => {
    const { state } = apply(startScheduler(2), LATER, [announce("e1", MAX_REJECTS, LATER)]);
    const endpoints = [{ id: "e2", hall: "k1", models: ["m"], memoryTokens: 0, places: 6 }];
    const replaced = apply(state, LATER, [{ kind: "endpoints", endpoints }]);
    t.is(dispatched(apply(replaced.state, LATER, arrivals(20)).actions), 3);
    const sound = apply(replaced.state, LATER, [announce("e2", undefined, LATER + 1)]);
    t.is(dispatched(apply(sound.state, LATER, arrivals(20)).actions), 20);
});
