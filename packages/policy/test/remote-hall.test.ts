import test from "ava";
import { type PlainOutcome, simulatePlainCalls } from "./plain-halls.js";

/**
 * A call within this time is in time. All halls together have 1.7 times the slots that the calls need, so one call in a
 * hundred may be late.
 */
const IN_TIME_MS = 195;
const MAX_LATE_SHARE = 0.01;
const NORMAL = [41, 36, 48];
const ONE_CROWDED = [41, 36, 168];

function lateShare({ durationsMs }: PlainOutcome): number {
    return durationsMs.filter(ms => ms > IN_TIME_MS).length / durationsMs.length;
}

for (const hostsPerHall of [2, 10, 30]) {
    test(`with ${hostsPerHall} hosts per hall, calls of a crowded hall go elsewhere in time`, t => {
        const day = simulatePlainCalls({ hostsPerHall, perS: ONE_CROWDED, seed: 1 });
        t.log(`late ${(100 * lateShare(day)).toFixed(2)} %, away ${(100 * day.remoteShare).toFixed(1)} %`);
        t.true(lateShare(day) <= MAX_LATE_SHARE);
    });
}

test("in large halls that are not crowded, nine of ten calls stay in their hall", t => {
    const day = simulatePlainCalls({ hostsPerHall: 30, perS: NORMAL, seed: 1 });
    t.log(`late ${(100 * lateShare(day)).toFixed(2)} %, away ${(100 * day.remoteShare).toFixed(1)} %`);
    t.true(day.remoteShare <= 0.1);
    t.true(lateShare(day) <= MAX_LATE_SHARE);
});
