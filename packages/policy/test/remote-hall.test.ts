import test from "ava";
import { type PlainDay, playPlain } from "./plain-halls.js";

/** Within this a call is in time; all halls together have 1.7 times the slots that the calls need, so that one in a hundred may be late. */
const IN_TIME_MS = 195;
const MOST_LATE = 0.01;
const USUAL = [41, 36, 48];
const ONE_CROWDED = [41, 36, 168];

function lateShare({ tookMs }: PlainDay): number {
    return tookMs.filter(ms => ms > IN_TIME_MS).length / tookMs.length;
}

for (const hostsPerHall of [2, 10, 30]) {
    test(`of ${hostsPerHall} hosts a hall, calls of a crowded hall leave it in time`, t => {
        const day = playPlain({ hostsPerHall, perS: ONE_CROWDED, seed: 1 });
        t.log(`late ${(100 * lateShare(day)).toFixed(2)} %, away ${(100 * day.awayShare).toFixed(1)} %`);
        t.true(lateShare(day) <= MOST_LATE);
    });
}

test("in large halls that are not crowded, nine calls of ten stay", t => {
    const day = playPlain({ hostsPerHall: 30, perS: USUAL, seed: 1 });
    t.log(`late ${(100 * lateShare(day)).toFixed(2)} %, away ${(100 * day.awayShare).toFixed(1)} %`);
    t.true(day.awayShare <= 0.1);
    t.true(lateShare(day) <= MOST_LATE);
});
