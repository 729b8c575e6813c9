/**
 * All hosts together keep to the rate limit of a cold endpoint, whichever hosts each of them considers alive.
 */
import test from "ava";
import fc from "fast-check";
import { maxWithin, type Scenario, simulate } from "./bounded-fleet.js";

/** Requests per second that the endpoint can take, as the users' engines: 1.5 times the declared 27, plus 5. */
const BOUND = 45.5;
const RUN_MS = 6_000;
const COLD = {
    runMs: RUN_MS,
    endpoint: { id: "cold", hall: "h1", models: ["m"], memoryTokens: 1e9, cold: { until: Infinity, perS: BOUND } },
};

function timesOf(day: Omit<Scenario, "endpoint" | "runMs">): readonly number[] {
    return simulate({ ...day, ...COLD }).map(({ at }) => at);
}

const drawn = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    perS: fc.constantFrom(60, 300, 1_000),
    parts: fc.integer({ min: 1, max: 4 }),
    partMs: fc.constantFrom(1_000, 1_500, 2_500),
    suspends: fc.boolean(),
    restarts: fc.boolean(),
});

for (const [hosts, runs] of [[6, 12], [66, 6], [300, 2]] as const) {
    test(`${hosts} hosts together never send a cold endpoint more requests than it can take`, t => {
        fc.assert(
            fc.property(drawn, fc.integer({ min: 0, max: hosts }), (day, isolated) => {
                const most = maxWithin(timesOf({ ...day, hosts, isolated }), 1_000);
                t.true(most <= BOUND, `${most} in a second`);
            }),
            { numRuns: runs, seed: 7 },
        );
    });
}

test("a cold endpoint is used also if many hosts send to it", t => {
    const calm = { parts: 1, partMs: 1_500, suspends: false, restarts: false, isolated: 0, seed: 5, perS: 300 };
    for (const hosts of [6, 66, 300]) {
        const count = timesOf({ ...calm, hosts }).length;
        t.true(count >= RUN_MS / 1_000 * 4, `${count} by ${hosts} hosts`);
    }
});
