/**
 * Compares replays of a load on engines of different speeds, with and without estimates of endpoints' speeds.
 */
import type { ExecutionContext } from "ava";
import { isInTime, type Load, replay, type RequestRecord } from "./load-fleet.js";

/** Number of requests of a kind, and the fraction that missed an objective: first token or a pause too late, or not served. */
interface LateRequests {
    readonly count: number;
    readonly fraction: number;
}

function replayLate(load: Load, seeds: readonly number[]): readonly LateRequests[] {
    const records = seeds.flatMap((seed): readonly RequestRecord[] => replay({ ...load, seed }).records);
    return load.kinds.map(kind => {
        const own = records.filter(({ kind: name }) => name === kind.name);
        return { count: own.length, fraction: own.filter(record => !isInTime(record, kind)).length / own.length };
    });
}

/** Smallest reduction of late requests that is not chance: replays of one load differ by less. */
const MIN_REDUCTION = 0.1;

/** Two standard deviations of the difference between two replays with equal probability of late requests. */
function twoDeviations({ count, fraction }: LateRequests): number {
    return 2 * Math.sqrt(2 * fraction * (1 - fraction) / count);
}

/** Checks that with speed estimates fewer long streams of a load are late, and not more short requests. */
export function checkUneven(t: ExecutionContext, load: Load, seeds: readonly number[]): void {
    const [long, short] = replayLate(load, seeds) as [LateRequests, LateRequests];
    const unaware = { ...load, variant: { ...load.variant, speeds: false } };
    const [longBefore, shortBefore] = replayLate(unaware, seeds) as [LateRequests, LateRequests];
    t.log(`late: long ${longBefore.fraction} to ${long.fraction}, short ${shortBefore.fraction} to ${short.fraction}`);
    t.true(long.fraction <= (1 - MIN_REDUCTION) * longBefore.fraction);
    t.true(short.fraction <= shortBefore.fraction + twoDeviations(shortBefore));
}
