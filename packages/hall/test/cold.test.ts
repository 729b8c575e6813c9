/**
 * The bound on what a cold endpoint is sent holds for the sum over all hosts, whatever they believe of each other.
 */
import test from "ava";
import fc from "fast-check";
import { type Day, mostWithin, play } from "./bounded-fleet.js";

/** What the endpoint bears: as of the users' engines, 27 a second declared, half as much again, and five. */
const BOUND = 45.5;
const RUN_MS = 6_000;
const COLD = {
    runMs: RUN_MS,
    endpoint: { id: "cold", hall: "h1", models: ["m"], memoryTokens: 1e9, cold: { until: Infinity, perS: BOUND } },
};

function timesOf(day: Omit<Day, "endpoint" | "runMs">): readonly number[] {
    return play({ ...day, ...COLD }).map(({ at }) => at);
}

const drawn = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    perS: fc.constantFrom(60, 300, 1_000),
    parts: fc.integer({ min: 1, max: 4 }),
    partMs: fc.constantFrom(1_000, 1_500, 2_500),
    sleeps: fc.boolean(),
    restarts: fc.boolean(),
});

for (const [hosts, runs] of [[6, 12], [66, 6], [300, 2]] as const) {
    test(`${hosts} hosts together never send a cold endpoint more than it bears`, t => {
        fc.assert(
            fc.property(drawn, fc.integer({ min: 0, max: hosts }), (day, lonely) => {
                const most = mostWithin(timesOf({ ...day, hosts, lonely }), 1_000);
                t.true(most <= BOUND, `${most} in a second`);
            }),
            { numRuns: runs, seed: 7 },
        );
    });
}

test("a cold endpoint that only whole fleets ask for is used", t => {
    const calm = { parts: 1, partMs: 1_500, sleeps: false, restarts: false, lonely: 0, seed: 5, perS: 300 };
    for (const hosts of [6, 66, 300]) {
        const count = timesOf({ ...calm, hosts }).length;
        t.true(count >= RUN_MS / 1_000 * 4, `${count} by ${hosts} hosts`);
    }
});
