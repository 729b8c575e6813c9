/**
 * Heavy loads for replays.
 *
 * @module
 */
import type { Load, RequestKind } from "./load-fleet.js";

/** Workspaces with skewed shares: the n-th sends 1/n^1.2 of the requests of the first. */
export function skewed(count: number): Readonly<Record<string, number>> {
    return Object.fromEntries(Array.from({ length: count }, (_, at) => [`w${at + 1}`, (at + 1) ** -1.2]));
}

/** A constant rate of requests per second with one burst. */
function burst(mean: number, from: number, to: number, times: number): (now: number) => number {
    return now => mean * (now >= from && now < to ? times : 1);
}

/** Long texts with a first-token objective of 4 s, and a burst of 2.5 times the rate. */
const TEXTS: RequestKind = {
    name: "texts",
    perS: burst(12.7, 5_000, 12_000, 2.5),
    rank: 2,
    objectiveMs: 4_000,
    usefulMs: 16_000,
    gapMs: 180,
    prompt: 3_080,
    output: 750,
    workspaces: skewed(24),
    backUp: true,
};

/** Short checks of the highest rank with a tight objective. Their burst follows that of the texts. */
const CHECKS: RequestKind = {
    name: "checks",
    perS: burst(24.8, 13_000, 17_000, 1.7),
    rank: 0,
    objectiveMs: 1_500,
    usefulMs: 6_000,
    gapMs: 180,
    prompt: 2_550,
    output: 6,
    workspaces: skewed(24),
};

/** More requests than the engines have memory for, while engines drain. */
export const CROWDED: Load = {
    hosts: 60,
    engines: Array.from({ length: 31 }, () => 1),
    memoryTokens: 26_837,
    kinds: [TEXTS, CHECKS],
    runMs: 24_000,
    seed: 1,
    leaves: { share: 0.17, everyMs: 3_300, replacedMs: 4_000 },
    retriesRefused: true,
};

/** Long reviews of the highest rank, and short hints of a lower one. */
const REVIEWS: RequestKind = {
    ...TEXTS,
    name: "reviews",
    perS: burst(14.9, 8_000, 14_000, 1.5),
    rank: 0,
    objectiveMs: 1_800,
    usefulMs: 7_200,
};
const HINTS: RequestKind = { ...CHECKS, name: "hints", perS: burst(16.8, 10_000, 16_000, 2), rank: 1 };

/** Engines of three speeds with slow phases, under varying load. */
export const UNEVEN: Load = {
    hosts: 60,
    engines: Array.from({ length: 31 }, (_, at) => [1 / 0.6, 1, 1 / 1.6][at % 3]!),
    memoryTokens: 26_860,
    kinds: [REVIEWS, HINTS],
    runMs: 24_000,
    seed: 1,
    leaves: { share: 0.17, everyMs: 3_300, replacedMs: 4_000 },
    slowPhases: { share: 0.15, times: 2.5, everyMs: 600 },
    retriesRefused: true,
};
