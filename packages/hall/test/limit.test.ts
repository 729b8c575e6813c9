/**
 * A limit that an endpoint names holds for the sum over all hosts that it has told, whatever they believe of each other.
 */
import test from "ava";
import fc from "fast-check";
import { type Arrival, type Day, mostWithin, play } from "./bounded-fleet.js";

const SPAN_MS = 4_000;
/** Requests within this of a host's being told may be on their way already. */
const TOLD_MS = 500;
const RUN_MS = 14_000;
const ENDPOINT = { id: "limited", hall: "h1", models: ["m"], memoryTokens: 1e9 };

/** Requests that an endpoint may get within a span, from all hosts that it has told. */
function allowed(perS: number): number {
    return 1.5 * perS * SPAN_MS / 1_000 + 5;
}

function arrivals(
    limitAt: Day["limitAt"],
    day: Omit<Day, "endpoint" | "runMs" | "limitAt">,
    runMs = RUN_MS,
): readonly Arrival[] {
    return play({ ...day, endpoint: ENDPOINT, runMs, ...(limitAt ? { limitAt } : {}) });
}

/** Requests from hosts that had been told a while before. */
function fromTold(all: readonly Arrival[]): readonly number[] {
    return all.flatMap(({ at, toldAt }) => toldAt !== undefined && at - toldAt >= TOLD_MS ? [at] : []);
}

const drawn = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    perS: fc.constantFrom(60, 300, 1_000),
    parts: fc.integer({ min: 1, max: 4 }),
    partMs: fc.constantFrom(1_000, 1_500, 2_500, 5_000),
    sleeps: fc.boolean(),
    restarts: fc.boolean(),
});
const limits = fc.constantFrom(0, 0.3, 1, 2.3, 4.8, 20, 110.5);

for (const [hosts, runs] of [[6, 16], [66, 8], [300, 2]] as const) {
    test(`${hosts} hosts together keep to the limit of an endpoint`, t => {
        fc.assert(
            fc.property(drawn, limits, fc.integer({ min: 0, max: hosts }), (day, limit, lonely) => {
                const times = fromTold(arrivals(() => limit, { ...day, hosts, lonely }));
                const most = mostWithin(times, SPAN_MS);
                t.true(most <= allowed(limit), `${most} in 4 s at ${limit} a second`);
            }),
            { numRuns: runs, seed: 7 },
        );
    });
}

const CALM = { parts: 1, partMs: 1_500, sleeps: false, restarts: false, lonely: 0, seed: 5, perS: 300 };

test("what a limit allows is used, also where more hosts are there than it allows requests", t => {
    const runMs = 30_000;
    for (const hosts of [6, 66, 300]) {
        for (const limit of [0.3, 2.3, 20]) {
            const all = arrivals(() => limit, { ...CALM, hosts }, runMs).filter(({ at }) => at >= SPAN_MS);
            const wanted = 0.8 * limit * (runMs - SPAN_MS) / 1_000;
            t.true(all.length >= wanted, `${all.length} of ${wanted} by ${hosts} hosts at ${limit} a second`);
        }
    }
});

test("a limit that is over binds nobody, also hosts that may send nothing while it holds", t => {
    const overAt = 7_000;
    const knownMs = 3_000;
    for (const hosts of [6, 66, 300]) {
        const late = ({ at }: Arrival): boolean => at >= overAt + knownMs;
        const after = arrivals(now => now < overAt ? 1 : undefined, { ...CALM, hosts }).filter(late).length;
        const without = arrivals(undefined, { ...CALM, hosts }).filter(late).length;
        t.true(after >= 0.95 * without, `${after} of ${without} by ${hosts} hosts`);
    }
});
