/**
 * Mutations of the promises that hold when the platform's store comes back from an older copy.
 *
 * @module
 */
import type { Mutation } from "./mutation.js";

const RESTORED = "platform/test/store-restored.test.ts";
const OLDER_COPY = "packages/routes/test/store-restore.test.ts";
const FOLLOWING = "packages/hall/test/store-watchers.test.ts";
const CLIENT = "platform/test/store.test.ts";
const FEED = "packages/host/src/store/deployment-feed.ts";
const SETTLE = "packages/routes/src/store-restore.ts";
const POSITION = "packages/hall/src/store-position.ts";
const STORE = "platform/src/store.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const STORE_MUTATIONS: readonly Mutation[] = [
    {
        promise: "restored: a lower revision of a later epoch is news",
        file: POSITION,
        find: "if (position.epoch !== other.epoch) return position.epoch > other.epoch;",
        replace: "",
        tests: [RESTORED],
    },
    {
        promise: "restored: the same among the hosts of a hall",
        file: POSITION,
        find: "return position.epoch > other.epoch;",
        replace: "return false;",
        tests: [FOLLOWING],
    },
    {
        promise: "restored: a newer deployment counts by itself",
        file: POSITION,
        find: " || progress.version > other.version",
        replace: "",
        tests: [FOLLOWING, RESTORED],
    },
    {
        promise: "restored: a watch of an earlier epoch ends",
        file: STORE,
        find: "if (res.value.epoch !== knownEpoch) return restoredError(knownEpoch, res.value.epoch);",
        replace: "",
        tests: [CLIENT],
    },
    {
        promise: "restored: the same, seen from the hosts",
        file: FEED,
        find: "const watch = { prefix: ALL_KEYS, after: revision, epoch, timing };",
        replace: "const watch = { prefix: ALL_KEYS, after: revision, timing };",
        tests: [RESTORED],
    },
    {
        promise: "restored: a list is of one epoch",
        file: STORE,
        find: "if (res.value.epoch !== start.epoch) return { ok: false,",
        replace: "if (false) return { ok: false,",
        tests: [CLIENT],
    },
    {
        promise: "restored: hosts know that the store came back",
        file: FEED,
        find: "this.setRegistry(storeRestored(this.registry, this.deps.clock.now()));",
        replace: "",
        tests: [RESTORED],
    },
    {
        promise: "restored: a host that lacks nothing gets no whole state",
        file: FEED,
        find: "!this.current || !isFurther(this.progress, asker)",
        replace: "!this.current || !isAfter(this.progress, asker)",
        tests: [RESTORED],
    },
    {
        promise: "restored: an endpoint that leaves goes on to leave",
        file: SETTLE,
        find: "const isKnownLeaving = known.state === EndpointState.Leaving",
        replace: "const isKnownLeaving = false",
        tests: [OLDER_COPY],
    },
    {
        promise: "restored: one that departed stays so",
        file: SETTLE,
        find: "if (departure && departure.at < restoredAt) return undefined;",
        replace: "",
        tests: [OLDER_COPY],
    },
    {
        promise: "restored: an evacuation stands",
        file: SETTLE,
        find: "evacuated: [...evacuated, ...missingEvacuations]",
        replace: "evacuated",
        tests: [OLDER_COPY],
    },
    {
        promise: "restored: what nobody writes again counts after a while",
        file: "packages/routes/src/registry.ts",
        find: "expireLapsed(applyDeferred(registry, now), now)",
        replace: "expireLapsed(registry, now)",
        tests: [OLDER_COPY],
    },
    {
        promise: "restored: what was written again is not deferred",
        file: SETTLE,
        find: "return deferred.filter(change => !rewritten.has(subjectOf(change)));",
        replace: "return deferred;",
        tests: [OLDER_COPY],
    },
];
