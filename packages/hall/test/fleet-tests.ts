/**
 * Tests of the failure detector that run at several sizes of fleet.
 *
 * @module
 */
import test from "ava";
import { Fleet, type SimHost } from "./fleet.js";

/** Size of a fleet, and the number of seeds to run. */
export interface Size {
    readonly hosts: number;
    readonly halls: number;
    readonly seeds: number;
}

/** Creates a fleet whose hosts know each other. */
export function settled(size: { readonly hosts: number; readonly halls: number }, more: object = {}): Fleet {
    const fleet = new Fleet({ ...size, ...more });
    fleet.run(2_500);
    return fleet;
}

/** Declares the tests for one size. */
export function testSize(size: Size): void {
    test(`${size.hosts} hosts that start together know their halls within 1 s and their scope within 3 s`, t => {
        const fleet = new Fleet(size);
        fleet.run(300);
        const hall = fleet.runUntil(() => fleet.hosts.every(host => fleet.knowsHall(host)), 5_000);
        const scope = hall + fleet.runUntil(() => fleet.hosts.every(host => fleet.knowsScope(host)), 5_000);
        t.log(`halls after ${hall} ms, scope after ${scope} ms`);
        t.true(hall <= 1_000 && scope <= 3_000, `${hall} ${scope}`);
    });

    test(`a host of ${size.hosts} that crashes is detected by its hall within 2 s, by its scope within 4 s`, t => {
        const hallTimes: number[] = [];
        for (let seed = 1; seed <= size.seeds; seed++) {
            const fleet = settled(size, { seed });
            const dead = fleet.hosts[(seed * 7) % fleet.hosts.length]!;
            fleet.kill(dead);
            const inHall = (): readonly SimHost[] =>
                fleet.hostsThatSeeAlive(dead).filter(({ hall }) => hall === dead.hall);
            const hall = fleet.runUntil(() => inHall().length === 0, 10_000);
            const scope = hall + fleet.runUntil(() => fleet.hostsThatSeeAlive(dead).length === 0, 10_000);
            t.true(hall <= 2_000 && scope <= 4_000, `seed ${seed}: ${hall} ${scope}`);
            hallTimes.push(hall);
        }
        t.log(hallTimes.join(" "));
    });

    test(`a host of ${size.hosts} that stalls for 1 s is not declared dead, and is considered alive by all afterwards`, t => {
        let givenUp = 0;
        for (let seed = 1; seed <= size.seeds; seed++) {
            const fleet = settled(size, { seed });
            const held = fleet.hosts[(seed * 5) % fleet.hosts.length]!;
            held.pausedUntil = fleet.now + 1_000;
            for (let at = 0; at < 24; at++) {
                fleet.run(50);
                givenUp = Math.max(givenUp, size.hosts - 1 - fleet.hostsThatSeeAlive(held).length);
            }
            t.is(fleet.hostsThatSeeAlive(held).length, size.hosts - 1, `seed ${seed}`);
        }
        t.log(`at most ${givenUp} gave it up`);
        t.true(givenUp <= 3);
    });

    test(`one of ${size.hosts} hosts that restarts is considered alive by all within 1 s, whatever its clock says`, t => {
        const fleet = settled(size);
        const host = fleet.hosts[4]!;
        fleet.kill(host);
        fleet.run(500);
        fleet.restart(host, fleet.hosts.slice(0, 3).map(({ address }) => address));
        fleet.run(50);
        const took = fleet.runUntil(
            () => fleet.hostsThatSeeAlive(host).length === size.hosts - 1 && fleet.knowsHall(host),
            5_000,
        );
        t.true(took <= 1_000, String(took));
        fleet.run(2_000);
        t.is(fleet.hostsThatSeeAlive(host).length, size.hosts - 1);
    });
}
