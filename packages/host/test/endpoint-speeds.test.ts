/** Tests how endpoints' speeds are reported to operators and to other hosts. */
import { encodeSamples, encodeSpeed } from "@drumpaddle/hall";
import {
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type SchedulerEvent,
    type SchedulerState,
    type SpeedSums,
} from "@drumpaddle/policy";
import test from "ava";
import { speedOutliers, spreadOf } from "../src/endpoints/speed-watch.js";
import { toListedEndpoint } from "../src/operators/endpoints-api.js";
import { isPeerMessage } from "../src/peers/peer-messages.js";

const NAMES = ["e1", "e2", "e3", "e4"];
const SHOWN: SpeedSums = { firsts: 0, unread: 0, firstMs: 0, stretches: 1, pieces: 16, gapMs: 40, longestMs: 90 };

/** The state of an owner after ten seconds of reports on four endpoints, the first of which is slower by the factor `times`. */
function ownerState(times: number): SchedulerState {
    let state = createScheduler(DEFAULT_VARIANT, 1);
    const tell = (event: SchedulerEvent, now: number): void => {
        state = decide(state, event, now).state;
    };
    const endpoints = NAMES.map(id => ({ id, hall: "h", models: ["m"], memoryTokens: 30_000 }));
    tell({ kind: "endpoints", endpoints }, 0);
    tell({ kind: "owns", endpoints: NAMES }, 0);
    for (let now = 0; now < 10_000; now += 1_000) {
        for (const endpoint of NAMES) {
            const gapMs = SHOWN.gapMs * (endpoint === "e1" ? times : 1);
            tell({ kind: "shown", host: "k1", endpoint, shown: { ...SHOWN, gapMs } }, now);
        }
    }
    return state;
}

test("operators see an endpoint's slowness, its error and the age of the last observation", t => {
    const state = ownerState(2);
    const [slow, plain] = NAMES.map(id => toListedEndpoint(state.endpoints.get(id)!, state, 10_000));
    t.true(slow!.slowness > 1.4 * plain!.slowness, `${slow!.slowness} and ${plain!.slowness}`);
    t.true(slow!.slownessError > 0 && slow!.slownessError < 0.2);
    t.is(slow!.slownessAgeMs, 1_000);
    t.true(spreadOf(state) > 0);
    t.true(speedOutliers(state, 10_000).some(({ endpoint, speed }) => endpoint === "e1" && speed.logRatio > 0));
});

test("equally fast endpoints have slowness 1, and one without observations has no age", t => {
    const state = ownerState(1);
    t.is(toListedEndpoint(state.endpoints.get("e1")!, state, 10_000).slowness, 1);
    t.is(spreadOf(state), 0);
    t.deepEqual(speedOutliers(state, 10_000), []);
    const endpoints = [{ id: "e9", hall: "h", models: ["m"], memoryTokens: 30_000 }];
    const fresh = decide(createScheduler(), { kind: "endpoints", endpoints }, 0).state;
    t.is(toListedEndpoint(fresh.endpoints.get("e9")!, fresh, 0).slownessAgeMs, undefined);
});

test("messages with malformed speeds are rejected", t => {
    const nine = Array.from({ length: 9 }, () => 0);
    const held = { endpoint: "e1", streams: 0, unread: 0, stalled: 0, mean: nine, deviation: nine };
    const heldOf = (more: object): boolean => {
        const message = { kind: "held", held: [{ ...held, ...more }] };
        return isPeerMessage(message);
    };
    t.true(heldOf({}), "a host that reports no speeds");
    const words = encodeSamples(SHOWN);
    t.true(heldOf({ shown: words }));
    t.false(heldOf({ shown: words.map(word => -word - 1) }));
    t.false(heldOf({ shown: words.map(() => NaN) }));
    t.false(heldOf({ shown: words.slice(1) }));
    const speed = encodeSpeed({ value: 0.5, weight: 10, ageMs: 20 });
    const othersOf = (told: readonly unknown[]): boolean => {
        const message = { kind: "others", others: [{ ...held, speed: told }], owned: [], leaving: [] };
        return isPeerMessage(message);
    };
    t.true(othersOf(speed));
    t.false(othersOf([500, -1, 20]));
    t.false(othersOf(["fast", 10, 20]));
});
