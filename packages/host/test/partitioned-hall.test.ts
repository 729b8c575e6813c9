import { FAILURE_TTL_MS } from "@drumpaddle/hall";
import test from "ava";
import { type PartitionResult, type PartitionScenario, simulatePartition } from "./partition-fleet.js";

/** Fleet sizes, and the number of simulations of each. */
const SIZES = [{ hosts: 6, days: 3 }, { hosts: 30, days: 3 }, { hosts: 90, days: 1 }];
const PARTITION_MS = 5_500;
const HALLS = 3;
/** Time to detect a partition: a connection attempt times out after 0.5 s, and a hall must be silent for 1 s to be in doubt. */
const DETECTED_MS = 2_000;
/** Each hall needs two failed connections to put another in doubt, and two more each time that this finding expires. */
const MAX_LATE_FAILURES = 2 * HALLS * Math.ceil(PARTITION_MS / FAILURE_TTL_MS);

/** Each host sends a new finding to six others, once for each of the two endpoints, and again after the finding expires. */
const MAX_MESSAGES = 6 * 2 * Math.ceil(PARTITION_MS / FAILURE_TTL_MS);

function failuresSince({ failed }: PartitionResult, ms: number): number {
    return failed.filter(at => at >= ms).length;
}

function sum(days: readonly PartitionResult[], of: (day: PartitionResult) => number): number {
    return days.reduce((total, day) => total + of(day), 0);
}

/** Runs the same simulations with shared findings, and with each host on its own. */
function runBoth(
    days: number,
    cut: Omit<PartitionScenario, "seed" | "isShared">,
): { readonly shared: readonly PartitionResult[]; readonly independent: readonly PartitionResult[] } {
    const play = (isShared: boolean): readonly PartitionResult[] =>
        Array.from({ length: days }, (_, at) => simulatePartition({ ...cut, seed: at + 1, isShared }));
    return { shared: play(true), independent: play(false) };
}

for (const { hosts, days } of SIZES) {
    for (const how of ["silent", "refused"] as const) {
        test(`${hosts} hosts detect a partitioned hall once per hall, not once per host (${how})`, t => {
            const { shared, independent } = runBoth(days, { hosts, partitionMs: PARTITION_MS, how, closed: ["h1"] });
            for (const day of shared) t.true(failuresSince(day, DETECTED_MS) <= MAX_LATE_FAILURES);
            const [after, before] = [shared, independent].map(played => sum(played, ({ failed }) => failed.length));
            const delayed = [shared, independent].map(played => sum(played, day => day.delayed)).join(" and ");
            t.log(`failed connections: ${after}, without sharing ${before}; delayed calls: ${delayed}`);
            t.true(after! <= before!);
            t.true(sum(shared, ({ served }) => served) >= sum(independent, ({ served }) => served));
        });
    }
}

test("sharing also works with 300 hosts", t => {
    const day = simulatePartition({
        hosts: 300,
        seed: 1,
        isShared: true,
        partitionMs: 2 * DETECTED_MS,
        how: "silent",
        closed: ["h1"],
    });
    t.log(`failed connections: ${day.failed.length}, after ${DETECTED_MS} ms ${failuresSince(day, DETECTED_MS)}`);
    t.true(failuresSince(day, DETECTED_MS) <= MAX_LATE_FAILURES);
    t.log(`messages per host: ${(day.messages / 300).toFixed(1)}`);
    t.true(day.messages / 300 <= MAX_MESSAGES);
});

test("calls still go to halls in doubt if there are no others", t => {
    const { shared, independent } = runBoth(2, { hosts: 30, partitionMs: PARTITION_MS, how: "silent", closed: ["h0"] });
    t.is(sum(shared, ({ lost }) => lost), sum(independent, ({ lost }) => lost));
    t.is(sum(shared, ({ served }) => served), sum(independent, ({ served }) => served));
});

for (const { hosts, days } of SIZES) {
    test(`${hosts} hosts hold no hall in doubt without a partition, even if a third of the engines crash`, t => {
        const { shared, independent } = runBoth(days, { hosts, partitionMs: 0, how: "silent", crashed: 0.33 });
        t.is(sum(shared, ({ hostSecondsInDoubt }) => hostSecondsInDoubt), 0);
        t.true(sum(shared, ({ failed }) => failed.length) <= sum(independent, ({ failed }) => failed.length));
        t.true(sum(shared, ({ lost }) => lost) <= sum(independent, ({ lost }) => lost));
    });
}
