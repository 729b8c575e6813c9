/**
 * Endpoints of three speeds before 300 hosts, of which each sees a request in half a minute.
 */
import { knownSpeed, type SchedulerState } from "@drumpaddle/policy";
import test from "ava";
import { replay } from "./load-fleet.js";
import { UNEVEN } from "./loads.js";

const RUN_MS = 5_000;
const KINDS = 3;

/** Number of the engine that an endpoint of a replay is. */
function engineOf(endpoint: string): number {
    return Number(/^e(\d+)\./.exec(endpoint)![1]);
}

/** How slow the endpoints of a kind of engine are taken to be, where streams showed something of them. */
function slownessOf(owner: SchedulerState, kind: number): readonly number[] {
    return owner.endpoints.values()
        .filter(({ cfg }) => engineOf(cfg.id) % KINDS === kind)
        .map(view => knownSpeed(owner, view, RUN_MS))
        .filter(({ ageMs }) => ageMs !== undefined)
        .map(({ log }) => log);
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

test("300 hosts together tell slow endpoints from fast ones, and long streams run on these", t => {
    // Each engine that comes costs 300 hosts a new ranking of owners.
    const leaves = { ...UNEVEN.leaves!, share: 0 };
    const load = { ...UNEVEN, hosts: 300, calmMs: 1_000, runMs: RUN_MS, leaves };
    const { fates, hosts } = replay(load);
    const owner = [...hosts.values()].find(({ owned }) => owned.size > 0)!;
    const [slow, , fast] = [0, 1, 2].map(kind => slownessOf(owner, kind));
    // Halfway to the next speed an endpoint would be taken for one of another kind.
    t.true(mean(slow!) > Math.log(1 / 0.6) / 2, String(slow));
    t.true(mean(fast!) < -Math.log(1.6) / 2, String(fast));
    const long = fates.filter(({ kind, cameAt }) => kind === "reviews" && cameAt > 2_000);
    const [onSlow, , onFast] = [0, 1, 2].map(kind => long.filter(({ engine }) => engine! % KINDS === kind).length);
    t.true(onFast! >= 2 * onSlow!, `${onSlow} on slow, ${onFast} on fast endpoints`);
});
