/**
 * Endpoints of three speeds before six hosts, which choose by themselves and hear of speeds from the endpoints' owner.
 */
import test from "ava";
import { replay } from "./load-fleet.js";
import { UNEVEN } from "./loads.js";
import { checkUneven } from "./uneven-tests.js";

test("fewer long streams are late, and short requests do not pay for it", t =>
    checkUneven(t, { ...UNEVEN, hosts: 6 }, [1, 2, 3]));

test("where engines are alike as many requests are served without a long pause", t => {
    const alike = { ...UNEVEN, engines: UNEVEN.engines.map(() => 1), hosts: 16 };
    const [aware, unaware] = [true, false].map(speeds => {
        const { fates } = replay({ ...alike, variant: { speeds } });
        return fates.filter(({ outcome, longestGapMs }) => outcome === "whole" && longestGapMs <= 180).length;
    });
    t.log(`${aware} and ${unaware}`);
    t.true(Math.abs(aware! - unaware!) <= 0.01 * unaware!);
});
