/**
 * Endpoints of three speeds and six hosts, which choose endpoints themselves and learn of speeds from the owner.
 */
import test from "ava";
import { replay } from "./load-fleet.js";
import { UNEVEN } from "./loads.js";
import { checkUneven } from "./uneven-tests.js";

test("fewer long streams are late, and not more short requests", t =>
    checkUneven(t, { ...UNEVEN, hosts: 6 }, [1, 2, 3]));

test("with engines of the same speed, speed estimates do not change how many requests are served without a long pause", t => {
    const alike = { ...UNEVEN, engines: UNEVEN.engines.map(() => 1), hosts: 16 };
    const [aware, unaware] = [true, false].map(speeds => {
        const { records } = replay({ ...alike, variant: { speeds } });
        return records.filter(({ outcome, longestGapMs }) => outcome === "whole" && longestGapMs <= 180).length;
    });
    t.log(`${aware} and ${unaware}`);
    t.true(Math.abs(aware! - unaware!) <= 0.01 * unaware!);
});
