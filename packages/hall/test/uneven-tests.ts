/**
 * Replays of a load on uneven engines, with endpoints' speeds known and without.
 */
import type { ExecutionContext } from "ava";
import { type Fate, inTime, type Load, replay } from "./load-fleet.js";

/** Part of a kind's requests that were not served in time: by their first piece, by a pause or not at all. */
function lateParts(load: Load, seeds: readonly number[]): readonly number[] {
    const fates = seeds.flatMap((seed): readonly Fate[] => replay({ ...load, seed }).fates);
    return load.kinds.map(kind => {
        const own = fates.filter(({ kind: name }) => name === kind.name);
        return own.filter(fate => !inTime(fate, kind)).length / own.length;
    });
}

/** More than two replays of one load differ by in what is late, where a decision goes another way by chance. */
const FEWER = 0.1;
/** Requests of two pieces hardly differ by where they run: of a hundred not two more may be late. */
const NOISE = 0.02;

/** Checks that fewer of a load's long streams are late where speeds are known, and its short requests do not pay for it. */
export function checkUneven(t: ExecutionContext, load: Load, seeds: readonly number[]): void {
    const [long, short] = lateParts(load, seeds);
    const unaware = { ...load, variant: { ...load.variant, speeds: false } };
    const [longBefore, shortBefore] = lateParts(unaware, seeds);
    t.log(`long ${longBefore} to ${long}, short ${shortBefore} to ${short}`);
    t.true(long! <= (1 - FEWER) * longBefore!);
    t.true(short! <= shortBefore! + NOISE);
}
