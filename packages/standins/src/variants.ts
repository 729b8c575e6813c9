/**
 * Variants of the scheduling policy that are compared with each other: simple baselines, the default, the default
 * without one of its mechanisms, and an oracle that knows the output lengths.
 *
 * @module
 */
import { DEFAULT_VARIANT, type JobPolicy, type Variant } from "@drumpaddle/policy";

const BASELINE = {
    admission: "none",
    pace: false,
    lagCorrection: true,
    share: "reports",
    ask: false,
    prefix: false,
    forecast: false,
    backups: false,
    askAlways: false,
    priorities: false,
    speeds: false,
    oracle: false,
} as const;

/** Variants by the name that `bench:policy` takes and prints. */
export const VARIANTS = {
    "round-robin": { ...BASELINE, choice: "roundRobin" },
    "least-outstanding": { ...BASELINE, choice: "leastOutstanding" },
    "free-memory": { ...DEFAULT_VARIANT, admission: "free" },
    "drumpaddle": DEFAULT_VARIANT,
    "no-pace": { ...DEFAULT_VARIANT, pace: false },
    "no-peak": { ...DEFAULT_VARIANT, admission: "free" },
    "no-prefix": { ...DEFAULT_VARIANT, prefix: false },
    "no-lag-correction": { ...DEFAULT_VARIANT, lagCorrection: false },
    "no-priorities": { ...DEFAULT_VARIANT, priorities: false },
    "no-speeds": { ...DEFAULT_VARIANT, speeds: false },
    "two-choices": { ...DEFAULT_VARIANT, choice: "twoChoices" },
    "no-ask": { ...DEFAULT_VARIANT, ask: false },
    "reports-only": { ...DEFAULT_VARIANT, share: "reports" },
    "reports-two-choices": { ...DEFAULT_VARIANT, share: "reports", choice: "twoChoices" },
    "oracle": { ...DEFAULT_VARIANT, oracle: true },
} as const satisfies Record<string, Variant>;
export type VariantName = keyof typeof VARIANTS;

const COMMON = {
    gapTargetMs: 44,
    objectiveMs: 1_900,
    weightPrefix: 0.5,
    maxWaitMs: 20_000,
    usefulMs: 20_000,
    rank: 1,
    weight: 1,
    queueLimit: 2_000,
    retryShare: 0.1,
} as const;

/** Each deployment's job policy, as its settings would give it. */
export const PROFILES = {
    kigali: { ...COMMON, gapTargetMs: 38, quantile: 0.8, weightTail: 2, weightStall: 0.5 },
    clayhollow: { ...COMMON, quantile: 0.9, weightTail: 0.5, weightStall: 2 },
} as const satisfies Record<string, Omit<JobPolicy, "priority">>;
