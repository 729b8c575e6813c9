import { LOST_VALID_MS } from "@drumpaddle/hall";
import test from "ava";
import { type Cut, type CutDay, playCut } from "./partition-fleet.js";

/** Sizes of fleets, and how many days are played of each. */
const SIZES = [{ hosts: 6, days: 3 }, { hosts: 30, days: 3 }, { hosts: 90, days: 1 }];
const CUT_MS = 5_500;
const HALLS = 3;
/** A connection that does not come up takes half a second, and a hall is silent for a second before it is in doubt. */
const KNOWN_MS = 2_000;
/** A hall finds out by two endpoints, and anew as often as what it found out lapses. */
const MOST_FOUND_OUT = 2 * HALLS * Math.ceil(CUT_MS / LOST_VALID_MS);

/** Each host passes on what it had not known to six others, once for each endpoint by which the hall finds out. */
const MOST_MESSAGES = 6 * 2 * Math.ceil(CUT_MS / LOST_VALID_MS);

function failedFrom({ failed }: CutDay, ms: number): number {
    return failed.filter(at => at >= ms).length;
}

function sum(days: readonly CutDay[], of: (day: CutDay) => number): number {
    return days.reduce((total, day) => total + of(day), 0);
}

/** The same days with what hosts find out together, and without. */
function both(
    days: number,
    cut: Omit<Cut, "seed" | "isShared">,
): { readonly shared: readonly CutDay[]; readonly alone: readonly CutDay[] } {
    const play = (isShared: boolean): readonly CutDay[] =>
        Array.from({ length: days }, (_, at) => playCut({ ...cut, seed: at + 1, isShared }));
    return { shared: play(true), alone: play(false) };
}

for (const { hosts, days } of SIZES) {
    for (const how of ["silent", "refused"] as const) {
        test(`of ${hosts} hosts a hall finds out once that another is cut off (${how}), and not host by host`, t => {
            const { shared, alone } = both(days, { hosts, cutMs: CUT_MS, how, closed: ["h1"] });
            for (const day of shared) t.true(failedFrom(day, KNOWN_MS) <= MOST_FOUND_OUT);
            const [after, before] = [shared, alone].map(played => sum(played, ({ failed }) => failed.length));
            const delayed = [shared, alone].map(played => sum(played, day => day.delayed)).join(" and ");
            t.log(`connections that failed: ${after}, each host alone ${before}; calls delayed: ${delayed}`);
            t.true(after! <= before!);
            t.true(sum(shared, ({ served }) => served) >= sum(alone, ({ served }) => served));
        });
    }
}

test("300 hosts find out together as well", t => {
    const day = playCut({ hosts: 300, seed: 1, isShared: true, cutMs: 2 * KNOWN_MS, how: "silent", closed: ["h1"] });
    t.log(`connections that failed: ${day.failed.length}, after ${KNOWN_MS} ms ${failedFrom(day, KNOWN_MS)}`);
    t.true(failedFrom(day, KNOWN_MS) <= MOST_FOUND_OUT);
    t.log(`messages a host: ${(day.messages / 300).toFixed(1)}`);
    t.true(day.messages / 300 <= MOST_MESSAGES);
});

test("where nothing but halls in doubt is left, calls go there as before", t => {
    const { shared, alone } = both(2, { hosts: 30, cutMs: CUT_MS, how: "silent", closed: ["h0"] });
    t.is(sum(shared, ({ lost }) => lost), sum(alone, ({ lost }) => lost));
    t.is(sum(shared, ({ served }) => served), sum(alone, ({ served }) => served));
});

for (const { hosts, days } of SIZES) {
    test(`${hosts} hosts hold no hall in doubt where none is cut off, though a third of the engines die`, t => {
        const { shared, alone } = both(days, { hosts, cutMs: 0, how: "silent", crashed: 0.33 });
        t.is(sum(shared, ({ doubtS }) => doubtS), 0);
        t.true(sum(shared, ({ failed }) => failed.length) <= sum(alone, ({ failed }) => failed.length));
        t.true(sum(shared, ({ lost }) => lost) <= sum(alone, ({ lost }) => lost));
    });
}
