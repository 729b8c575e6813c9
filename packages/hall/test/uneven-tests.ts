/**
 * Replays of a load on uneven engines, with endpoints' speeds known and without.
 */
import type { ExecutionContext } from "ava";
import { type Fate, inTime, type Load, replay } from "./load-fleet.js";

/** How many requests of a kind came, and the part that was not served in time: by the first piece, by a pause or not at all. */
interface Late {
    readonly asked: number;
    readonly part: number;
}

function lateOf(load: Load, seeds: readonly number[]): readonly Late[] {
    const fates = seeds.flatMap((seed): readonly Fate[] => replay({ ...load, seed }).fates);
    return load.kinds.map(kind => {
        const own = fates.filter(({ kind: name }) => name === kind.name);
        return { asked: own.length, part: own.filter(fate => !inTime(fate, kind)).length / own.length };
    });
}

/** More than two replays of one load differ by in what is late, where a decision goes another way by chance. */
const FEWER = 0.1;

/** Two standard deviations of the difference of two replays that serve as many in time. */
function chance({ asked, part }: Late): number {
    return 2 * Math.sqrt(2 * part * (1 - part) / asked);
}

/** Checks that fewer of a load's long streams are late where speeds are known, and its short requests do not pay for it. */
export function checkUneven(t: ExecutionContext, load: Load, seeds: readonly number[]): void {
    const [long, short] = lateOf(load, seeds) as [Late, Late];
    const unaware = { ...load, variant: { ...load.variant, speeds: false } };
    const [longBefore, shortBefore] = lateOf(unaware, seeds) as [Late, Late];
    t.log(`late: long ${longBefore.part} to ${long.part}, short ${shortBefore.part} to ${short.part}`);
    t.true(long.part <= (1 - FEWER) * longBefore.part);
    t.true(short.part <= shortBefore.part + chance(shortBefore));
}
