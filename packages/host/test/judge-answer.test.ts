import test from "ava";
import { canFollow, type SentBefore } from "../src/calls/judge-answer.js";

function sentBefore(lastEventId: string, idsRiseByOne: boolean): SentBefore {
    return { pieces: 2, lastEventId, framed: true, idsRiseByOne };
}

const CASES: readonly (readonly [string, boolean, string, boolean])[] = [
    ["2", true, "3", true],
    ["2", true, "4", false],
    ["2", true, "2", false],
    ["2", false, "4", true],
    ["2", false, "1", false],
    // Ids that a floating-point number cannot tell apart.
    ["9007199254740992", true, "9007199254740993", true],
    ["9007199254740993", false, "9007199254740992", false],
    // Ids that are not numbers have no order.
    ["17-1", false, "17-2", false],
    ["2", false, "", false],
];

for (const [last, idsRiseByOne, id, follows] of CASES) {
    const how = idsRiseByOne ? "rose by one" : "rose";
    test(`event "${id}" ${follows ? "may" : "may not"} follow "${last}" where ids ${how}`, t => {
        t.is(canFollow(sentBefore(last, idsRiseByOne), id), follows);
    });
}
