/**
 * Mutations of the promises on uneven hosts: who does shared work, what is tried where a hall is cut off, and what a caller is told of
 * a call that has not run.
 *
 * @module
 */
import type { Mutation } from "./mutation.js";

const OWNERSHIP_SOURCE = "packages/hall/src/ownership.ts";
const CAPACITY_SOURCE = "packages/hall/src/capacity.ts";
const REACH_SOURCE = "packages/hall/src/reachability.ts";
const SHARING_SOURCE = "packages/host/src/peers/reach-sharing.ts";
const OWNERSHIP = "packages/hall/test/ownership.test.ts";
const UNEVEN = "packages/hall/test/uneven-fleet.test.ts";
const REACH = "packages/hall/test/reachability.test.ts";
const IN_DOUBT = "packages/policy/test/in-doubt.test.ts";
const SHARING = "packages/host/test/reach-sharing.test.ts";
const CUT = "packages/host/test/partitioned-hall.test.ts";
const MACHINES = "platform/test/capacity.test.ts";
const NOT_RUN = "packages/request/test/not-run.test.ts";
const NOT_RUN_ANSWER = "packages/host/test/not-run-answer.test.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const HOST_MUTATIONS: readonly Mutation[] = [
    {
        promise: "uneven hosts: shares follow weights",
        file: OWNERSHIP_SOURCE,
        find: "return -weight / Math.log(uniform);",
        replace: "return (weight + 1) / -Math.log(uniform);",
        tests: [OWNERSHIP],
    },
    {
        promise: "uneven hosts: hosts that are alike keep the order of plain rendezvous",
        file: OWNERSHIP_SOURCE,
        find: "a.hashHex < b.hashHex ? 1 : -1",
        replace: "a.hashHex < b.hashHex ? -1 : 1",
        tests: [OWNERSHIP],
    },
    {
        promise: "uneven hosts: a wrong capacity draws no more than the largest host's part",
        file: CAPACITY_SOURCE,
        find: "Math.min(MAX_CORES, Math.max(MIN_CORES, cores))",
        replace: "cores",
        tests: [OWNERSHIP],
    },
    {
        promise: "uneven hosts: a capacity of nothing counts as none told",
        file: CAPACITY_SOURCE,
        find: "isValidCapacity(capacity) ? capacity : DEFAULT_CORES",
        replace: "capacity ?? DEFAULT_CORES",
        tests: [OWNERSHIP],
    },
    {
        promise: "uneven hosts: owners follow weights that change while all else stays",
        file: "packages/hall/src/load-exchange.ts",
        find: "weights.has(host) ? `${host}=${weights.get(host)}` : host",
        replace: "host",
        tests: [OWNERSHIP],
    },
    {
        promise: "uneven hosts: what a host can carry is passed on to all",
        file: "packages/hall/src/membership.ts",
        find: "member.capacity === undefined ? {} : { capacity: member.capacity }",
        replace: "{}",
        tests: [UNEVEN],
    },
    {
        promise: "uneven hosts: watchers of the store are ranked by what they can carry",
        file: "packages/hall/src/store-watchers.ts",
        find: `rank("store-watch", hosts, weights)`,
        replace: `rank("store-watch", hosts)`,
        tests: [UNEVEN],
    },
    {
        promise: "cut halls: a hall of which something was heard a moment ago is not in doubt",
        file: REACH_SOURCE,
        find: "return silentMs >= QUIET_MS && failedCount >= needed",
        replace: "return failedCount >= needed",
        tests: [REACH],
    },
    {
        promise: "cut halls: a doubt ends with the first thing that is heard",
        file: REACH_SOURCE,
        find: "filter(([, { hall: other }]) => other !== hall)",
        replace: "filter(() => true)",
        tests: [REACH, SHARING],
    },
    {
        promise: "cut halls: one endpoint that fails makes no doubt of a hall whose hosts are there",
        file: REACH_SOURCE,
        find: "const needed = isMostlyDead ? 1 :",
        replace: "const needed = hosts > 0 ? 1 :",
        tests: [REACH],
    },
    {
        promise: "cut halls: nothing stays in doubt that nothing could end",
        file: REACH_SOURCE,
        find: "halls.filter(({ hosts }) => hosts > 0)",
        replace: "halls.filter(() => true)",
        tests: [REACH],
    },
    {
        promise: "cut halls: calls, streams and copies keep to what is not in doubt",
        file: "packages/policy/src/choose.ts",
        find: "inReachableHalls.filter(view => !view.isInDoubt)",
        replace: "inReachableHalls.filter(() => true)",
        tests: [IN_DOUBT, CUT],
    },
    {
        promise: "cut halls: nothing is refused for a doubt",
        file: "packages/policy/src/place.ts",
        find: "return isAnyInDoubt ? place(state, waiting, now, true) : undefined;",
        replace: "return isAnyInDoubt ? undefined : undefined;",
        tests: [IN_DOUBT],
    },
    {
        promise: "cut halls: endpoints of a hall that is heard again are tried at once",
        file: "packages/policy/src/breaker.ts",
        find: "openUntil: Math.min(breaker.openUntil, now)",
        replace: "openUntil: breaker.openUntil",
        tests: [IN_DOUBT],
    },
    {
        promise: "cut halls: what one host finds out is told to its hall",
        file: SHARING_SOURCE,
        find: `if (!isHallInDoubt(this.doubts, hall)) this.passOn(`,
        replace: `if (isHallInDoubt(this.doubts, hall)) this.passOn(`,
        tests: [SHARING, CUT],
    },
    {
        promise: "cut halls: the own hall is never in doubt",
        file: SHARING_SOURCE,
        find: "endpoints.filter(({ hall }) => hall !== this.deps.hall)",
        replace: "endpoints.filter(() => true)",
        tests: [SHARING],
    },
    {
        promise: "cut halls: calls of a crowded hall still leave it",
        file: "packages/policy/src/choose.ts",
        find: "const REMOTE_HALL_CALLS = 0.5;",
        replace: "const REMOTE_HALL_CALLS = 1.5;",
        tests: ["packages/policy/test/remote-hall.test.ts"],
    },
    {
        promise: "a host whose descriptors run out refuses as not run",
        file: "packages/host/src/calls/forward.ts",
        find: "if (!deps.hasDescriptors()) return",
        replace: "if (false) return",
        tests: [MACHINES],
    },
    {
        promise: "not run: 502 and 504 are for what may have run",
        file: "packages/host/src/calls/caller-answer.ts",
        find: `return ran === "no" && MAY_HAVE_RUN_STATUSES.has(status) ? UNAVAILABLE : status;`,
        replace: `return ran === "no" && status === UNAVAILABLE ? UNAVAILABLE : status;`,
        tests: [NOT_RUN_ANSWER],
    },
    {
        promise: "not run: a call that reached no endpoint is told when to come back",
        file: "packages/request/src/step.ts",
        find: "FailCode.EndpointLost, detail, cancelCurrent(state), OTHER_HOST_RETRY_MS)",
        replace: "FailCode.EndpointLost, detail, cancelCurrent(state))",
        tests: [NOT_RUN],
    },
];
