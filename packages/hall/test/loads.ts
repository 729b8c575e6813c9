/**
 * Loads at their worst, as data.
 *
 * @module
 */
import type { Kind, Load } from "./load-fleet.js";

/** Workspaces of which a few are large: the n-th sends 1/n^1.2 of what the first does. */
export function skewed(count: number): Readonly<Record<string, number>> {
    return Object.fromEntries(Array.from({ length: count }, (_, at) => [`w${at + 1}`, (at + 1) ** -1.2]));
}

/** Requests a second that swing around a mean, with a burst. */
function burst(mean: number, from: number, to: number, times: number): (now: number) => number {
    return now => mean * (now >= from && now < to ? times : 1);
}

/** Long texts that can wait for some seconds, in a burst of two and a half times as many. */
const TEXTS: Kind = {
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

/** Checks of two pieces that go first and are due soon, in a burst that comes upon that of the texts. */
const CHECKS: Kind = {
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

/** Callers who compete for too little room while engines leave. */
export const CROWDED: Load = {
    hosts: 60,
    engines: Array.from({ length: 31 }, () => 1),
    memoryTokens: 26_837,
    kinds: [TEXTS, CHECKS],
    runMs: 24_000,
    seed: 1,
    leaves: { share: 0.17, everyMs: 3_300, replacedMs: 4_000 },
    comeBack: true,
};

/** Long reviews that go first, and short hints. */
const REVIEWS: Kind = {
    ...TEXTS,
    name: "reviews",
    perS: burst(14.9, 8_000, 14_000, 1.5),
    rank: 0,
    objectiveMs: 1_800,
    usefulMs: 7_200,
};
const HINTS: Kind = { ...CHECKS, name: "hints", perS: burst(16.8, 10_000, 16_000, 2), rank: 1 };

/** Engines of three speeds that fall into slow spells, under demand that swings. */
export const UNEVEN: Load = {
    hosts: 60,
    engines: Array.from({ length: 31 }, (_, at) => [1 / 0.6, 1, 1 / 1.6][at % 3]!),
    memoryTokens: 26_860,
    kinds: [REVIEWS, HINTS],
    runMs: 24_000,
    seed: 1,
    leaves: { share: 0.17, everyMs: 3_300, replacedMs: 4_000 },
    spells: { share: 0.15, times: 2.5, everyMs: 600 },
    comeBack: true,
};
