import test from "ava";
import { EMPTY_QUARANTINE, type EndingNews, mergeNews, type Quarantine, verdictOf } from "../src/index.js";

const LIVES = 256;
const RUNS = 24;
const SHARED_PARTS = 200;
/** Calls of one host per second, and the share of a core that a host may spend on control. */
const CALLS_PER_S = 1_000;
const CONTROL_SHARE = 0.028;
/** The tests share the machine with others. */
const BUSY_FACTOR = 5;

/** The ending of an endpoint that ran 24 requests with four shared parts each, one of which all requests hold. */
function fullEnding(life: number): EndingNews {
    const involved = { ranMs: 100, wasSuspect: false, cleared: false };
    const parts = Array.from(
        { length: RUNS },
        (_, run) => [
            "part:m:common",
            ...[1, 2, 3].map(at => `part:m:${(life * RUNS + run * 7 + at * 31) % SHARED_PARTS}`),
        ],
    );
    return {
        life: `e${life}`,
        agoMs: 1_000 * (LIVES - life),
        requests: Array.from({ length: RUNS }, (_, run) => ({ fingerprint: `r${life}-${run}`, ...involved })),
        parts: [...new Set(parts.flat())].map(fingerprint => ({ fingerprint, ...involved })),
    };
}

function fullQuarantine(): Quarantine {
    const endings = Array.from({ length: LIVES }, (_, life) => fullEnding(life));
    return mergeNews(EMPTY_QUARANTINE, { endings, trials: [] }, 1e6).state;
}

function medianMs(runs: number, run: () => void): number {
    const times = Array.from({ length: runs }, () => {
        const from = performance.now();
        run();
        return performance.now() - from;
    });
    return times.sort((a, b) => a - b)[Math.floor(runs / 2)]!;
}

test("with all lives kept that may be, verdicts on calls cost a host no more than its share for control", t => {
    const state = fullQuarantine();
    const request = { fingerprint: "new", parts: ["part:m:common", "part:m:1", "part:m:2", "part:m:3"] };
    const verdictMs = medianMs(51, () => {
        for (let at = 0; at < 100; at++) verdictOf(state, request, 1e6);
    }) / 100;
    const mergeMs = medianMs(21, () => mergeNews(state, { endings: [fullEnding(LIVES)], trials: [] }, 1e6));
    t.log(`a verdict ${(1_000 * verdictMs).toFixed(1)} us, news of an ending ${mergeMs.toFixed(1)} ms`);
    t.true(verdictMs * CALLS_PER_S <= BUSY_FACTOR * CONTROL_SHARE * 1_000);
});
