/**
 * Mutations of the promises on endpoints' speeds: what is known of them, what is told, and what is chosen by it.
 *
 * @module
 */
import type { Mutation } from "./mutation.js";

const SPEED = "packages/policy/test/speed.test.ts";
const CHOICE = "packages/policy/test/uneven-choice.test.ts";
const WORDS = "packages/hall/test/speed-encoding.test.ts";
const MESSAGES = "packages/host/test/endpoint-speeds.test.ts";
const POOL_SOURCE = "packages/policy/src/speed-pool.ts";
const SPEED_SOURCE = "packages/policy/src/speed-estimate.ts";
const CHOOSE = "packages/policy/src/choose.ts";
const LATENESS = "packages/policy/src/lateness.ts";
const LOAD_SHARE = "packages/hall/src/load-account.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const SPEED_MUTATIONS: readonly Mutation[] = [
    {
        promise: "endpoints that may be alike count as alike",
        file: POOL_SOURCE,
        find: "byChance + SIGNIFICANT_DEVIATIONS * Math.sqrt(2 * byChance)",
        replace: "byChance",
        tests: [SPEED],
    },
    {
        promise: "and so does one that was hardly seen",
        file: POOL_SOURCE,
        find: "known.weight * variance / (known.weight * variance + 1)",
        replace: "1",
        tests: [SPEED],
    },
    {
        promise: "one host's wild samples decide nothing",
        file: POOL_SOURCE,
        find: "Math.min(bound, Math.max(-bound, observed - meanOf(pool.levels[sample.kind]) - centre))",
        replace: "observed - meanOf(pool.levels[sample.kind]) - centre",
        tests: [SPEED],
    },
    {
        promise: "samples of one moment count as one",
        file: SPEED_SOURCE,
        find: "now - window.since < WINDOW_MS",
        replace: "now < moment.since",
        tests: [SPEED],
    },
    {
        promise: "what was seen long ago fades",
        file: SPEED_SOURCE,
        find: "weight: speed.weight * past + added, sum: speed.sum * past + added * mean",
        replace: "weight: speed.weight + added, sum: speed.sum + added * mean",
        tests: [SPEED],
    },
    {
        promise: "what a host tells of a speed is bounded",
        file: SPEED_SOURCE,
        find: "Math.min(MAX_OWNER_LOG_RATIO, Math.max(-MAX_OWNER_LOG_RATIO, value))",
        replace: "value",
        tests: [SPEED],
    },
    {
        promise: "long streams go where they are in time",
        file: CHOOSE,
        find: "        + LATE_COST * lateness;",
        replace: ";",
        tests: [CHOICE],
    },
    {
        promise: "what can be in time nowhere is not refused for it",
        file: CHOOSE,
        find: "    const lateness = outlook?.lateness ?? 0;",
        replace: "    const lateness = outlook?.lateness ?? 0;\n    if (lateness > 0.5) return undefined;",
        tests: [CHOICE],
    },
    {
        promise: "the more pieces, the likelier a pause",
        file: LATENESS,
        find: "gapTargetMs / gapMs, expectedPieces)",
        replace: "gapTargetMs / gapMs, 1)",
        tests: [CHOICE],
    },
    {
        promise: "the pause of going on is held against no endpoint",
        file: "packages/policy/src/stream-events.ts",
        find: "    if (resumedFromCopy) return undefined;\n",
        replace: "",
        tests: [CHOICE],
    },
    {
        promise: "streams that ended between two rounds are told of",
        file: LOAD_SHARE,
        find: "!newSamples && !shouldReport",
        replace: "!shouldReport",
        tests: [WORDS],
    },
    {
        promise: "only what is new is told",
        file: LOAD_SHARE,
        find: "previous?.load.allSamples ?? NO_SPEED_SUMS",
        replace: "NO_SPEED_SUMS",
        tests: [WORDS],
    },
    {
        promise: "owners tell what they know",
        file: "packages/hall/src/load-exchange.ts",
        find: "                speed: held.speed && decodeSpeed(held.speed),\n",
        replace: "",
        tests: [WORDS],
    },
    {
        promise: "words of another shape are not taken",
        file: "packages/host/src/peers/peer-messages.ts",
        find: "const NonNegative = Type.Number({ minimum: 0 });",
        replace: "const NonNegative = Type.Number();",
        tests: [MESSAGES],
    },
];
