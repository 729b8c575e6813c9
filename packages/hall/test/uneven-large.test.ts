/**
 * Endpoints of three speeds and 300 hosts, each of which gets two requests per minute.
 */
import { endpointSlowness, type SchedulerState } from "@drumpaddle/policy";
import test from "ava";
import { replay } from "./load-fleet.js";
import { UNEVEN } from "./loads.js";

const RUN_MS = 5_000;
const KINDS = 3;

/** Index of the engine behind an endpoint of a replay. */
function engineOf(endpoint: string): number {
    return Number(/^e(\d+)\./.exec(endpoint)![1]);
}

/** An owner's estimates of the slowness of endpoints of one speed, if it has samples of them. */
function slownessOf(owner: SchedulerState, kind: number): readonly number[] {
    return owner.endpoints.values()
        .filter(({ cfg }) => engineOf(cfg.id) % KINDS === kind)
        .map(view => endpointSlowness(owner, view, RUN_MS))
        .filter(({ ageMs }) => ageMs !== undefined)
        .map(({ logRatio }) => logRatio);
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

test("300 hosts together distinguish slow endpoints from fast ones, and long streams run on the fast ones", t => {
    // No engine is replaced: with each new one, 300 hosts would have to rank the owners again.
    const leaves = { ...UNEVEN.leaves!, share: 0 };
    const load = { ...UNEVEN, hosts: 300, warmupMs: 1_000, runMs: RUN_MS, leaves };
    const { records, hosts } = replay(load);
    const owner = [...hosts.values()].find(({ owned }) => owned.size > 0)!;
    const [slow, , fast] = [0, 1, 2].map(kind => slownessOf(owner, kind));
    // An estimate halfway to the next speed would be ambiguous.
    t.true(mean(slow!) > Math.log(1 / 0.6) / 2, String(slow));
    t.true(mean(fast!) < -Math.log(1.6) / 2, String(fast));
    const long = records.filter(({ kind, arrivedAt }) => kind === "reviews" && arrivedAt > 2_000);
    const [onSlow, , onFast] = [0, 1, 2].map(kind => long.filter(({ engine }) => engine! % KINDS === kind).length);
    t.true(onFast! >= 2 * onSlow!, `${onSlow} on slow, ${onFast} on fast endpoints`);
});
