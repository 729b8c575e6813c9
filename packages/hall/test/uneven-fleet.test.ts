/**
 * Owners and watchers among hosts of different capacities, by the capacities that hosts report to each other.
 */
import test from "ava";
import {
    liveHosts,
    liveHostsInHall,
    ownerOf,
    rank,
    selfAndAliveMembers,
    WATCHERS_PER_HALL,
    weightOf,
    type Weights,
    weightsOf,
} from "../src/index.js";
import { Fleet, type SimHost } from "./fleet.js";
import { StoreHall } from "./store-hall.js";

const KEYS = Array.from({ length: 60 }, (_, at) => `endpoints/${at}`);
const HALLS = 3;
const LARGE = 1.35;
const SMALL = 0.324;

/** One host in fifteen is large, one in ten reports no capacity, and one in thirty an invalid one. */
function capacityAt(at: number): number | undefined {
    if (at % 30 === 7) return [0, -1, 1e9][Math.floor(at / 30) % 3];
    if (at % 10 === 9) return undefined;
    return at % 15 < HALLS ? LARGE : SMALL;
}

function settledFleet(hosts: number): Fleet {
    const fleet = new Fleet({ hosts, halls: HALLS, capacity: capacityAt });
    fleet.run(2_500);
    return fleet;
}

function weightsAt(host: SimHost, now: number): Weights {
    return weightsOf(selfAndAliveMembers(host.state.membership, now));
}

/** The owner of each key in a host's view. */
function ownersBy(host: SimHost, now: number): readonly (string | undefined)[] {
    const live = liveHosts(host.state.membership, now);
    const weights = weightsAt(host, now);
    return KEYS.map(key => ownerOf(key, live, weights));
}

/** The watchers of its hall in a host's view. */
function watchersBy(host: SimHost, now: number): string {
    const live = liveHostsInHall(host.state.membership, now);
    return rank("store-watch", live, weightsAt(host, now)).slice(0, WATCHERS_PER_HALL).join();
}

/** A host's view of all that determines owners: live hosts and weights. */
function viewOf(host: SimHost, now: number): string {
    const weights = weightsAt(host, now);
    return liveHosts(host.state.membership, now).map(name => `${name}=${weights.get(name)}`).join();
}

function agree(fleet: Fleet): boolean {
    return new Set(fleet.running.map(host => viewOf(host, fleet.now))).size === 1;
}

for (const hosts of [6, 60, 300]) {
    test(`${hosts} hosts of different capacities, some with none or an invalid one, agree on owners and watchers`, t => {
        const fleet = settledFleet(hosts);
        t.true(agree(fleet));
        const [first, other] = [fleet.hosts[0]!, fleet.hosts[HALLS]!];
        t.deepEqual(ownersBy(first, fleet.now), ownersBy(other, fleet.now));
        t.is(watchersBy(first, fleet.now), watchersBy(other, fleet.now));
    });

    test(`${hosts} hosts: when owners and watchers crash, only their share moves, and all agree again within 4 s`, t => {
        const fleet = settledFleet(hosts);
        const observer = fleet.hosts.at(-1)!;
        const before = ownersBy(observer, fleet.now);
        const watchers = watchersBy(observer, fleet.now).split(",");
        const dead = new Set([before.find(owner => owner !== observer.name)!, ...watchers]);
        dead.delete(observer.name);
        for (const host of fleet.hosts) if (dead.has(host.name)) fleet.kill(host);
        const knowsDead = (): boolean =>
            fleet.running.every(host => liveHosts(host.state.membership, fleet.now).every(name => !dead.has(name)));
        const took = fleet.runUntil(() => knowsDead() && agree(fleet), 10_000);
        t.true(took <= 4_000, String(took));
        for (const [at, owner] of ownersBy(observer, fleet.now).entries()) {
            if (owner !== before[at]) t.true(dead.has(before[at]!), `${KEYS[at]} moved from ${before[at]}`);
        }
        const replaced = watchersBy(observer, fleet.now).split(",");
        const left = fleet.running.filter(({ hall }) => hall === observer.hall).length;
        t.is(replaced.length, Math.min(WATCHERS_PER_HALL, left));
        t.true(replaced.every(name => !dead.has(name)));
    });
}

test("a host that restarts with another capacity has its new weight at all hosts within 1 s", t => {
    const fleet = settledFleet(60);
    const host = fleet.hosts[5]!;
    t.is(weightsAt(fleet.hosts[0]!, fleet.now).get(host.name), weightOf(SMALL));
    fleet.kill(host);
    fleet.run(500);
    host.capacity = LARGE;
    fleet.restart(host, fleet.hosts.slice(0, 3).map(({ address }) => address));
    const isWeighed = (): boolean =>
        fleet.running.every(other => weightsAt(other, fleet.now).get(host.name) === weightOf(LARGE));
    const took = fleet.runUntil(() => isWeighed() && agree(fleet), 5_000);
    t.true(took <= 1_000, String(took));
});

for (const hosts of [6, 60, 300]) {
    test(`in a hall of ${hosts} of different capacities two hosts watch, and a change is in force in time after both are lost`, t => {
        const names = Array.from({ length: hosts }, (_, at) => `h${String(at).padStart(3, "0")}`);
        const weights = weightsOf(names.map((name, at) => ({ name, capacity: capacityAt(at) })));
        for (const kind of ["killed", "cut"] as const) {
            const hall = new StoreHall(hosts, 1, weights);
            hall.run(4_000);
            t.is(hall.watching.length, WATCHERS_PER_HALL);
            t.deepEqual(
                hall.watching.map(({ name }) => name).toSorted(),
                rank("store-watch", names, weights).slice(0, WATCHERS_PER_HALL).toSorted(),
            );
            for (const host of hall.watching) {
                if (kind === "killed") host.alive = false;
                else host.isCutOff = true;
            }
            hall.run(300);
            const took = hall.changeStore(() => true);
            t.true(took < 2_000, `${kind}: ${took} ms`);
            hall.run(5_000);
            t.is(hall.watching.filter(({ isCutOff }) => !isCutOff).length, WATCHERS_PER_HALL, kind);
        }
    });
}
