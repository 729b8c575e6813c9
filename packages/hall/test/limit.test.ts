/**
 * All hosts that know the rate limit of an endpoint together keep to it, whichever hosts each of them considers alive.
 */
import test from "ava";
import fc from "fast-check";
import { type Arrival, maxWithin, type Scenario, simulate } from "./bounded-fleet.js";

const SPAN_MS = 4_000;
/** Requests that arrive within this time after their host learnt the limit may have been sent before. */
const INFORMED_MS = 500;
const RUN_MS = 14_000;
const ENDPOINT = { id: "limited", hall: "h1", models: ["m"], memoryTokens: 1e9 };

/** Requests that an endpoint may get within a span from all hosts that know its limit. */
function allowed(perS: number): number {
    return 1.5 * perS * SPAN_MS / 1_000 + 5;
}

function arrivals(
    limitAt: Scenario["limitAt"],
    day: Omit<Scenario, "endpoint" | "runMs" | "limitAt">,
    runMs = RUN_MS,
): readonly Arrival[] {
    return simulate({ ...day, endpoint: ENDPOINT, runMs, ...(limitAt ? { limitAt } : {}) });
}

/** Arrival times of requests from hosts that knew the limit when they sent them. */
function timesOfInformed(all: readonly Arrival[]): readonly number[] {
    return all.flatMap(({ at, informedAt }) => informedAt !== undefined && at - informedAt >= INFORMED_MS ? [at] : []);
}

const drawn = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    perS: fc.constantFrom(60, 300, 1_000),
    parts: fc.integer({ min: 1, max: 4 }),
    partMs: fc.constantFrom(1_000, 1_500, 2_500, 5_000),
    suspends: fc.boolean(),
    restarts: fc.boolean(),
});
const limits = fc.constantFrom(0, 0.3, 1, 2.3, 4.8, 20, 110.5);

for (const [hosts, runs] of [[6, 16], [66, 8], [300, 2]] as const) {
    test(`${hosts} hosts together keep to the limit of an endpoint`, t => {
        fc.assert(
            fc.property(drawn, limits, fc.integer({ min: 0, max: hosts }), (day, limit, isolated) => {
                const times = timesOfInformed(arrivals(() => limit, { ...day, hosts, isolated }));
                const most = maxWithin(times, SPAN_MS);
                t.true(most <= allowed(limit), `${most} in 4 s at ${limit} a second`);
            }),
            { numRuns: runs, seed: 7 },
        );
    });
}

const CALM = { parts: 1, partMs: 1_500, suspends: false, restarts: false, isolated: 0, seed: 5, perS: 300 };

test("hosts use what a limit allows, also if there are more hosts than allowed requests per second", t => {
    const runMs = 30_000;
    for (const hosts of [6, 66, 300]) {
        for (const limit of [0.3, 2.3, 20]) {
            const all = arrivals(() => limit, { ...CALM, hosts }, runMs).filter(({ at }) => at >= SPAN_MS);
            const wanted = 0.8 * limit * (runMs - SPAN_MS) / 1_000;
            t.true(all.length >= wanted, `${all.length} of ${wanted} by ${hosts} hosts at ${limit} a second`);
        }
    }
});

test("a lifted limit restricts no host, not even those whose share of it was zero", t => {
    const overAt = 7_000;
    const knownMs = 3_000;
    for (const hosts of [6, 66, 300]) {
        const late = ({ at }: Arrival): boolean => at >= overAt + knownMs;
        const after = arrivals(now => now < overAt ? 1 : undefined, { ...CALM, hosts }).filter(late).length;
        const without = arrivals(undefined, { ...CALM, hosts }).filter(late).length;
        t.true(after >= 0.95 * without, `${after} of ${without} by ${hosts} hosts`);
    }
});
