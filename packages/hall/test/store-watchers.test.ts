import test from "ava";
import {
    createWatcherView,
    planWatching,
    rank,
    recordPeerProgress,
    recordWatcherReport,
    type StoreProgress,
    WATCHER_REPORT_TTL_MS,
    type WatcherView,
} from "../src/index.js";
import { type HallHost, StoreHall } from "./store-hall.js";

const HOSTS = ["a", "b", "c", "d", "e", "f"];
/** By this time every host knows its hall. */
const START = 2_000;
/** Shortest bound on the delay until a change is in force at all hosts. */
const MAX_CHANGE_DELAY_MS = 2_000;
/** Bound on the delay until a hall notices that the store is back: half of that, as reading and distributing a change take the rest. */
const MAX_NOTICE_DELAY_MS = MAX_CHANGE_DELAY_MS / 2;

function anyHost(): boolean {
    return true;
}

/** Creates a hall that has settled on its watchers. */
function settled(count: number, seed = 1): StoreHall {
    const hall = new StoreHall(count, seed);
    hall.run(4_000);
    return hall;
}

for (const count of [1, 2, 3, 6, 30, 60]) {
    test(`in a hall of ${count}, two hosts watch, and it stays at two`, t => {
        const hall = settled(count);
        for (let at = 0; at < 100; at++) {
            hall.run(100);
            t.is(hall.watching.length, Math.min(2, count));
        }
        t.true(hall.changeStore(anyHost) < 50);
    });
}

for (const count of [6, 30, 60]) {
    test(`in a hall of ${count}, a change is in force within its bound while the watchers crash, are cut off or stall`, t => {
        const blows: Readonly<Record<string, (hall: StoreHall, host: HallHost) => void>> = {
            killed: (_hall, host) => void (host.alive = false),
            cut: (_hall, host) => void (host.isCutOff = true),
            frozen: (hall, host) => void (host.pausedUntil = hall.now + 3_000),
        };
        for (const [kind, strike] of Object.entries(blows)) {
            for (let seed = 1; seed <= 8; seed++) {
                const hall = settled(count, seed);
                for (const host of [...hall.watching]) strike(hall, host);
                hall.run(seed * 100);
                const took = hall.changeStore(({ pausedUntil }) => pausedUntil <= hall.now);
                t.true(took < MAX_CHANGE_DELAY_MS, `${kind}, seed ${seed}: ${took} ms`);
                hall.run(5_000);
                t.is(hall.watching.filter(({ isCutOff }) => !isCutOff).length, 2, kind);
            }
        }
    });

    test(`in a hall of ${count}, a watcher that is cut off as it takes over delays no other host`, t => {
        for (let seed = 1; seed <= 8; seed++) {
            const hall = settled(count, seed);
            const ranked = rank("store-watch", hall.hosts.map(({ name }) => name));
            const byRank = (at: number): HallHost => hall.hosts.find(({ name }) => name === ranked[at])!;
            byRank(0).alive = false;
            byRank(1).alive = false;
            hall.run(seed * 120);
            // The next two are cut off from the store before they first ask it.
            byRank(2).isCutOff = true;
            byRank(3).isCutOff = true;
            const took = hall.changeStore(({ isCutOff }) => !isCutOff, 20_000);
            const all = took + hall.changeStore(anyHost, 20_000);
            t.true(took < 3_200, `seed ${seed}: ${took} ms`);
            t.true(all < 5_000, `seed ${seed}: ${all} ms`);
        }
    });
}

test("if a third of a hall is cut off from the store, all hosts learn of a change within the bound", t => {
    for (let seed = 1; seed <= 8; seed++) {
        const hall = settled(30, seed);
        for (const [at, host] of hall.hosts.entries()) host.isCutOff = at % 3 === 0;
        hall.run(4_000);
        const took = hall.changeStore(anyHost);
        t.true(took < MAX_CHANGE_DELAY_MS, `seed ${seed}: ${took} ms`);
        t.is(hall.watching.filter(({ isCutOff }) => !isCutOff).length, 2);
    }
});

test("hosts that get no watcher's report follow the progress in probes, and do not call the store", t => {
    for (let seed = 1; seed <= 8; seed++) {
        const hall = settled(30, seed);
        const followers = hall.hosts.filter(({ reason }) => reason === undefined).slice(0, 5);
        for (const host of followers) host.missesReports = true;
        hall.run(3_000);
        const took = hall.changeStore(anyHost);
        t.true(took < MAX_CHANGE_DELAY_MS, `seed ${seed}: ${took} ms`);
        t.is(hall.watching.length, 2, `seed ${seed}`);
    }
});

test("while the store is unavailable few hosts of a hall call it, and all get its changes soon after its return", t => {
    for (const count of [3, 30, 60]) {
        const hall = settled(count);
        for (const host of hall.hosts) host.isCutOff = true;
        const before = hall.hosts.reduce((sum, { calls }) => sum + calls, 0);
        for (let at = 0; at < 80; at++) {
            hall.run(100);
            t.true(hall.watching.length <= 4, `${count}: ${hall.watching.length}`);
        }
        const calls = hall.hosts.reduce((sum, host) => sum + host.calls, 0) - before;
        t.true(calls <= 40, `${count}: ${calls} calls in 8 s`);
        for (const host of hall.hosts) host.isCutOff = false;
        const took = hall.changeStore(anyHost);
        t.true(took < 3_000, `${count}: ${took} ms`);
    }
});

// Guards against a hall in which nobody watches: a store that resets connections for 300 ms failed all three hosts of a hall, each was
// passed over, and a configuration that was written after the outage came into force more than 2 s later.
for (const count of [1, 2, 3, 6, 30]) {
    test(`in a hall of ${count}, a change is in force within its bound after an outage that is shorter than the hall's turn`, t => {
        for (let seed = 1; seed <= 20; seed++) {
            const hall = settled(count, seed);
            hall.resetsConnections = true;
            for (const outageMs of [100, 300, 900, 2_500]) {
                for (const host of hall.hosts) host.isCutOff = true;
                // Their open calls fail at once.
                for (const host of hall.watching) hall.failCall(host);
                hall.run(outageMs);
                for (const host of hall.hosts) host.isCutOff = false;
                const took = hall.changeStore(anyHost);
                t.true(took < MAX_NOTICE_DELAY_MS, `seed ${seed}, ${outageMs} ms: ${took} ms`);
                hall.run(6_000);
                t.is(hall.watching.length, Math.min(2, count));
            }
        }
    });
}

test("a stall of the watchers makes no other host watch for good", t => {
    const hall = settled(60);
    for (const host of hall.watching) host.pausedUntil = hall.now + 900;
    hall.run(900);
    t.is(hall.watching.length, 2);
});

for (const count of [1, 3, 6, 30, 60]) {
    test(`in a hall of ${count}, a change is in force within its bound after the store was restored from an older copy`, t => {
        for (const lost of [1, 5]) {
            const hall = settled(count, lost);
            for (let at = 0; at < 8; at++) t.true(hall.changeStore(anyHost) < MAX_CHANGE_DELAY_MS);
            for (const cutOff of [0, 1, 2]) {
                for (const [at, host] of hall.hosts.entries()) host.isCutOff = count > 1 && at % 4 < cutOff;
                hall.restore(lost);
                const took = hall.changeStore(anyHost);
                t.true(took < MAX_CHANGE_DELAY_MS, `${lost} lost, ${cutOff} in 4 cut off: ${took} ms`);
            }
        }
    });
}

test("a peer that is behind by epoch, revision or version is not asked", t => {
    const at = { epoch: 2, revision: 38, version: 91 };
    const behind = [{ ...at, epoch: 1, revision: 42 }, { ...at, revision: 37 }, { ...at, version: 90 }, at];
    const further = [{ ...at, epoch: 3, revision: 1 }, { ...at, revision: 39 }, { ...at, version: 97 }];
    const asks = (theirs: StoreProgress): boolean => {
        const { state } = recordPeerProgress(createWatcherView("a", 0), theirs, at, START);
        return recordPeerProgress(state, theirs, at, START + 1_000).asks;
    };
    t.deepEqual(behind.map(asks), behind.map(() => false));
    t.deepEqual(further.map(asks), further.map(() => true));
});

test("a host without any watcher's report watches by itself, and one with a report does not", t => {
    // The last by rank: it is no watcher even when the first four are silent.
    const self = rank("store-watch", HOSTS).at(-1)!;
    let state: WatcherView = createWatcherView(self, 0);
    for (const host of HOSTS) state = host === self ? state : recordWatcherReport(state, host, true, START);
    const heard = { hears: undefined, freshAt: START, seeking: true };
    state = planWatching(state, HOSTS, heard, START).state;
    t.is(planWatching(state, HOSTS, heard, START + WATCHER_REPORT_TTL_MS).reason, undefined);
    t.is(planWatching(state, HOSTS, heard, START + 2 * WATCHER_REPORT_TTL_MS).reason, "alone");
    const deaf = recordWatcherReport(state, HOSTS[0]!, false, START + 2 * WATCHER_REPORT_TTL_MS);
    t.is(planWatching(deaf, HOSTS, heard, START + 2 * WATCHER_REPORT_TTL_MS).reason, undefined);
});

test("a host that is alone watches, but not before it knows that it is alone", t => {
    const state = createWatcherView("a", 0);
    const heard = { hears: undefined, freshAt: 0, seeking: true };
    t.is(planWatching(state, ["a"], heard, 0).reason, undefined);
    t.is(planWatching(state, ["a"], heard, START).reason, "first");
    t.is(planWatching(state, ["a"], { ...heard, seeking: false }, 0).reason, "first", "it looks for nobody");
});

test("a host that the store did not answer does not become a watcher again at once", t => {
    const self = rank("store-watch", HOSTS)[0]!;
    const hearAll = (state: WatcherView, now: number): WatcherView =>
        HOSTS.filter(host => host !== self).reduce((known, host) => recordWatcherReport(known, host, true, now), state);
    let state = hearAll(createWatcherView(self, 0), START);
    t.is(planWatching(state, HOSTS, { hears: true, freshAt: START, seeking: true }, START).reason, "first");
    state = planWatching(state, HOSTS, { hears: true, freshAt: START, seeking: true }, START).state;
    const failed = planWatching(state, HOSTS, { hears: false, freshAt: START, seeking: true }, START + 10);
    t.true(failed.shouldReport, "it says so once, so that the next takes its place");
    const after = planWatching(
        failed.state,
        HOSTS,
        { hears: undefined, freshAt: START, seeking: true },
        START + 100,
    );
    t.is(after.reason, undefined);
    const later = START + 4_000;
    t.is(
        planWatching(
            hearAll(after.state, later),
            HOSTS,
            { hears: undefined, freshAt: later, seeking: true },
            later,
        )
            .reason,
        "first",
    );
});
