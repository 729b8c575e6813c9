import test from "ava";
import {
    doubtsOf,
    EMPTY_REACHABILITY,
    FAILURE_TTL_MS,
    type HallMembers,
    otherHalls,
    QUIET_MS,
    type Reachability,
    recordFailedConnection,
    recordHeard,
} from "../src/index.js";
import { Fleet } from "./fleet.js";

const NOW = 100_000;
const HALL: HallMembers = { hall: "k2", hosts: 30, aliveHosts: 30, endpoints: 11 };

/** Observations of a host: endpoints with the age of their failure, and the time since the hall was last heard. */
function observed(lostAgo: Readonly<Record<string, number>>, heardAgo: number, hall = "k2"): Reachability {
    const heard = recordHeard(EMPTY_REACHABILITY, hall, NOW - heardAgo);
    return Object.entries(lostAgo).reduce(
        (reach, [endpoint, ago]) => recordFailedConnection(reach, endpoint, hall, NOW - ago, NOW).state,
        heard,
    );
}

function halls(reach: Reachability, members: readonly HallMembers[], now = NOW): readonly string[] {
    return doubtsOf(reach, members, now).halls.map(({ hall }) => hall);
}

interface Case {
    readonly lostAgo: Readonly<Record<string, number>>;
    readonly heardAgo: number;
    readonly members?: Partial<HallMembers>;
    readonly isInDoubt: boolean;
}

const LONG_SILENT = 2 * QUIET_MS;

const CASES: Readonly<Record<string, Case>> = {
    "two endpoints failed and silence": { lostAgo: { a: 10, b: 20 }, heardAgo: LONG_SILENT, isInDoubt: true },
    "two failed, but something was heard a moment ago": {
        lostAgo: { a: 10, b: 20 },
        heardAgo: QUIET_MS - 1,
        isInDoubt: false,
    },
    "two failed before something was heard": {
        lostAgo: { a: LONG_SILENT + 10, b: LONG_SILENT + 20 },
        heardAgo: LONG_SILENT,
        isInDoubt: false,
    },
    "one of several failed": { lostAgo: { a: 10 }, heardAgo: LONG_SILENT, isInDoubt: false },
    "the only one failed": { lostAgo: { a: 10 }, heardAgo: LONG_SILENT, members: { endpoints: 1 }, isInDoubt: true },
    "one failed and less than half of the hosts are alive": {
        lostAgo: { a: 10 },
        heardAgo: LONG_SILENT,
        members: { aliveHosts: 14 },
        isInDoubt: true,
    },
    "one failed and half of the hosts are alive": {
        lostAgo: { a: 10 },
        heardAgo: LONG_SILENT,
        members: { aliveHosts: 15 },
        isInDoubt: false,
    },
    "no host is alive, and none failed": {
        lostAgo: {},
        heardAgo: LONG_SILENT,
        members: { aliveHosts: 0 },
        isInDoubt: false,
    },
    "two failed in a hall without hosts": {
        lostAgo: { a: 10, b: 20 },
        heardAgo: LONG_SILENT,
        members: { hosts: 0, aliveHosts: 0 },
        isInDoubt: false,
    },
};

for (const [name, { lostAgo, heardAgo, members = {}, isInDoubt }] of Object.entries(CASES)) {
    test(`${name}: the hall is ${isInDoubt ? "" : "not "}in doubt`, t => {
        t.deepEqual(halls(observed(lostAgo, heardAgo), [{ ...HALL, ...members }]), isInDoubt ? ["k2"] : []);
    });
}

test("a doubt ends as soon as anything is heard from the hall, or after a while", t => {
    const reach = observed({ a: 10, b: 20 }, LONG_SILENT);
    t.is(halls(reach, [HALL]).length, 1);
    t.is(halls(recordHeard(reach, "k2", NOW), [HALL], NOW + LONG_SILENT).length, 0);
    t.is(halls(reach, [HALL], NOW + FAILURE_TTL_MS).length, 0);
});

test("a failed endpoint is in doubt until anything is heard from its hall, or for a while", t => {
    const reach = observed({ a: 10 }, 20);
    t.deepEqual(doubtsOf(reach, [HALL], NOW), { halls: [], endpoints: ["a"] });
    t.deepEqual(doubtsOf(recordHeard(reach, "k2", NOW), [HALL], NOW).endpoints, []);
    t.deepEqual(doubtsOf(reach, [HALL], NOW + FAILURE_TTL_MS).endpoints, []);
    t.deepEqual(doubtsOf(reach, [{ ...HALL, hosts: 0 }], NOW).endpoints, [], "nobody there would end the doubt");
});

test("silence and failures of one hall do not put another in doubt", t => {
    const reach = recordHeard(observed({ a: 10, b: 20 }, LONG_SILENT, "k3"), "k2", NOW - 10);
    t.deepEqual(halls(reach, [HALL, { ...HALL, hall: "k3" }]), ["k3"]);
});

test("a failure is news once, and not if it has expired or the hall was heard since", t => {
    const reach = observed({ a: 10 }, LONG_SILENT);
    const isNews = (endpoint: string, ago: number): boolean =>
        recordFailedConnection(reach, endpoint, "k2", NOW - ago, NOW).isNews;
    t.false(isNews("a", 0));
    t.false(isNews("a", 900));
    t.true(isNews("b", 900));
    t.false(isNews("b", LONG_SILENT + 1));
    t.true(recordFailedConnection(reach, "a", "k2", NOW + 2_000, NOW + 2_000).isNews);
    t.false(recordFailedConnection(EMPTY_REACHABILITY, "b", "k2", NOW - FAILURE_TTL_MS, NOW).isNews);
});

test("repeated failures of an endpoint are kept once, and old ones are dropped", t => {
    let reach = EMPTY_REACHABILITY;
    for (let at = 0; at < 100; at++) {
        reach = recordFailedConnection(reach, `e${at % 7}`, "k2", at * 300, at * 300).state;
    }
    t.is(reach.failedEndpoints.size, 7);
    t.deepEqual([...recordFailedConnection(reach, "e1", "k2", 1e6, 1e6).state.failedEndpoints.keys()], ["e1"]);
});

test("the hosts of other halls are counted by the detector's view: dead ones are included, leaving ones are not", t => {
    const fleet = new Fleet({ hosts: 12, halls: 3 });
    fleet.run(2_500);
    const [observer] = fleet.hosts;
    const counts = () => otherHalls(observer!.state.membership, fleet.now).toSorted((a, b) => a.hall < b.hall ? -1 : 1);
    t.deepEqual(counts(), [{ hall: "h1", hosts: 4, aliveHosts: 4 }, { hall: "h2", hosts: 4, aliveHosts: 4 }]);
    for (const host of fleet.hosts) if (host.hall === "h1") fleet.kill(host);
    const [leaving] = fleet.hosts.filter(({ hall }) => hall === "h2");
    fleet.leave(leaving!);
    fleet.run(4_000);
    t.deepEqual(counts(), [{ hall: "h1", hosts: 4, aliveHosts: 0 }, { hall: "h2", hosts: 3, aliveHosts: 3 }]);
});
