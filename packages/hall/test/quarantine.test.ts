import test from "ava";
import fc from "fast-check";
import {
    allEndingNews,
    clearRequest,
    dropExpired,
    EMPTY_QUARANTINE,
    type EndingNews,
    mergeNews,
    nameOfEndedLife,
    type Quarantine,
    type QuarantineNews,
    SIMULTANEOUS_MS,
    type Verdict,
    verdictOf,
} from "../src/index.js";

const MINUTE_MS = 60_000;
/** Endings this far apart are not simultaneous. */
const APART_MS = 2 * SIMULTANEOUS_MS;

/** A request involved in an ending; by default it had just begun and was no suspect. */
interface InvolvedRequest {
    readonly fingerprint: string;
    readonly ranMs?: number;
    readonly wasSuspect?: boolean;
}

function ending(life: string, ...requests: readonly (InvolvedRequest | string)[]): EndingNews {
    return {
        life,
        agoMs: 0,
        requests: requests.map(at => ({
            ranMs: 100,
            wasSuspect: false,
            cleared: false,
            ...(typeof at === "string" ? { fingerprint: at } : at),
        })),
    };
}

function newsOf(...endings: readonly EndingNews[]): QuarantineNews {
    return { endings, trials: [] };
}

/** The state after endings that were observed one after another, and the time of the last one. */
function after(...endings: readonly EndingNews[]): { readonly state: Quarantine; readonly now: number } {
    let state = EMPTY_QUARANTINE;
    let now = 0;
    for (const one of endings) {
        now += APART_MS;
        state = mergeNews(state, newsOf(one), now).state;
    }
    return { state, now };
}

function kindOf({ state, now }: { readonly state: Quarantine; readonly now: number }, fingerprint: string): string {
    return verdictOf(state, fingerprint, now).kind;
}

test("a request is a suspect after its first ending and quarantined after its third", t => {
    t.is(kindOf(after(), "a"), "free");
    t.is(kindOf(after(ending("e1", "a")), "a"), "suspect");
    t.is(kindOf(after(ending("e1", "a"), ending("e2", "a")), "a"), "suspect");
    t.is(kindOf(after(ending("e1", "a"), ending("e2", "a"), ending("e3", "a")), "a"), "quarantined");
});

test("a life counts once, however many hosts saw its end", t => {
    t.is(kindOf(after(ending("e1", "a"), ending("e1", "a"), ending("e1", "a"), ending("e1", "a")), "a"), "suspect");
});

test("an endpoint that restarts and ends again under its old name has had two lives", t => {
    const { state, now } = after(ending("e1@1", "a"));
    const beganAt = now + 50;
    const name = nameOfEndedLife(state.endings, "e1@1", beganAt);
    const again = mergeNews(state, newsOf(ending(name, { fingerprint: "a", wasSuspect: true })), beganAt + 20).state;
    t.like(verdictOf(again, "a", beganAt + 20), { kind: "suspect", endings: 2 });
    t.is(nameOfEndedLife(state.endings, "e1@1", now - 100), "e1@1");
    t.is(nameOfEndedLife(again.endings, "e1@1", beganAt + 30), "e1@1#3");
});

test("of requests that ran at the same time, the one that had just begun is the culprit", t => {
    const beside = { fingerprint: "old", ranMs: 8_000 };
    const known = after(ending("e1", "a", beside), ending("e2", "a", beside), ending("e3", "a", beside));
    t.is(kindOf(known, "a"), "quarantined");
    t.is(kindOf(known, "old"), "suspect");
});

test("a request that ran beside a culprit twice and met one unrelated crash is not quarantined", t => {
    const known = after(ending("e1", "a", "b"), ending("e2", "a", "b"), ending("e3", "a"), ending("e4", "b"));
    t.is(kindOf(known, "a"), "quarantined");
    t.is(kindOf(known, "b"), "suspect");
});

test("two culprits are both identified, also if they ended some endpoints together", t => {
    const known = after(
        ending("e1", "a", "b"),
        ending("e2", "a"),
        ending("e3", "b"),
        ending("e4", "a"),
        ending("e5", "b"),
    );
    t.is(kindOf(known, "a"), "quarantined");
    t.is(kindOf(known, "b"), "quarantined");
});

test("no request is blamed if many endpoints end at the same moment", t => {
    let state = EMPTY_QUARANTINE;
    for (let rack = 0; rack < 4; rack++) {
        const lives = ["1", "2", "3", "4", "5"].map(at =>
            ending(`r${rack}e${at}`, ...(at === "1" ? ["hot"] : [`x${rack}${at}`]))
        );
        state = mergeNews(state, newsOf(...lives), rack * APART_MS).state;
    }
    t.is(verdictOf(state, "hot", 4 * APART_MS).kind, "free");
});

test("simultaneous endings count once for a request, unless it began there as a suspect", t => {
    const at = (wasSuspect: boolean): Verdict => {
        const lives = ["e1", "e2", "e3"].map(life => ending(life, { fingerprint: "a", wasSuspect }));
        return verdictOf(mergeNews(EMPTY_QUARANTINE, newsOf(...lives), 0).state, "a", 0);
    };
    t.like(at(false), { kind: "suspect", endings: 1 });
    t.like(at(true), { kind: "quarantined", endings: 3 });
});

test("a request that runs to completion is cleared, and only later endings count against it", t => {
    const { state, now } = after(ending("e1", "a"), ending("e2", "a"));
    const cleared = clearRequest(state, "a", now);
    t.is(verdictOf(cleared.state, "a", now).kind, "free");
    t.is(cleared.news?.endings.length, 2);
    const again = mergeNews(cleared.state, newsOf(ending("e3", "a")), now + APART_MS);
    t.like(verdictOf(again.state, "a", now + APART_MS), { kind: "suspect", endings: 1 });
});

test("a request that was cleared at one host stays cleared when another host sends the ending again", t => {
    const { state, now } = after(ending("e1", "a"), ending("e2", "a"), ending("e3", "a"));
    const cleared = clearRequest(state, "a", now).state;
    t.is(verdictOf(mergeNews(cleared, allEndingNews(state, now), now).state, "a", now).kind, "free");
    t.is(verdictOf(mergeNews(state, allEndingNews(cleared, now), now).state, "a", now).kind, "free");
});

test("a suspect runs at one endpoint at a time", t => {
    const { state, now } = after(ending("e1", "a"));
    const trial = { attempt: "r1.1", fingerprint: "a", agoMs: 0, isOver: false };
    const running = mergeNews(state, { endings: [], trials: [trial] }, now);
    t.is(verdictOf(running.state, "a", now).kind, "onTrial");
    t.is(verdictOf(running.state, "a", now, { attempt: "r1.1" }).kind, "suspect");
    const over = mergeNews(running.state, { endings: [], trials: [{ ...trial, isOver: true }] }, now);
    t.is(verdictOf(over.state, "a", now).kind, "suspect");
    // News of its begin that arrives after that of its end changes nothing.
    t.is(mergeNews(over.state, { endings: [], trials: [trial] }, now).news, undefined);
    t.is(verdictOf(running.state, "a", now + MINUTE_MS).kind, "suspect");
});

test("a trial is allowed after half an hour, another after an hour, and then none", t => {
    let { state, now } = after(ending("e1", "a"), ending("e2", "a"), ending("e3", "a"));
    const waits = [30, 60] as const;
    for (const [at, minutes] of waits.entries()) {
        t.is(verdictOf(state, "a", now + minutes * MINUTE_MS - 1).kind, "quarantined");
        now += minutes * MINUTE_MS;
        t.is(verdictOf(state, "a", now).kind, "suspect");
        state = mergeNews(state, newsOf(ending(`later-${at}`, { fingerprint: "a", wasSuspect: true })), now).state;
    }
    t.is(verdictOf(state, "a", now + 20 * 60 * MINUTE_MS).kind, "quarantined");
});

test("endpoints with other software allow one trial of a quarantined request", t => {
    const of = (life: string, software: string): EndingNews => ({
        ...ending(life, { fingerprint: "a", wasSuspect: true }),
        software,
    });
    const { state, now } = after(of("e1", "v1"), of("e2", "v1"), of("e3", "v1"));
    const kind = (known: Quarantine, ...software: readonly string[]): string =>
        verdictOf(known, "a", now, { software }).kind;
    t.is(kind(state, "v1"), "quarantined");
    t.is(kind(state, "v1", "v2"), "suspect");
    const again = mergeNews(state, newsOf(of("e4", "v2")), now).state;
    t.is(kind(again, "v1", "v2"), "quarantined");
    t.is(kind(again, "v3"), "quarantined");
});

test("evidence without a quarantine expires after minutes, evidence for a quarantine after a day", t => {
    const { state, now } = after(ending("e1", "a"), ending("e2", "b"), ending("e3", "b"), ending("e4", "b"));
    const later = dropExpired(state, now + 11 * MINUTE_MS);
    t.is(verdictOf(later, "a", now + 11 * MINUTE_MS).kind, "free");
    t.is(verdictOf(later, "b", now + 11 * MINUTE_MS).kind, "quarantined");
    t.is(dropExpired(later, now + 25 * 60 * MINUTE_MS).endings.size, 0);
});

test("endings of random requests displace no culprit, and the number of endings is bounded", t => {
    let { state, now } = after(ending("e1", "a"), ending("e2", "a"), ending("e3", "a"));
    for (let at = 0; at < 1_000; at++) {
        now += APART_MS;
        state = mergeNews(state, newsOf(ending(`x${at}`, `drawn-${at}`)), now).state;
    }
    t.is(verdictOf(state, "a", now).kind, "quarantined");
    t.true(state.endings.size <= 256);
});

// Random endings: the same news gives the same verdicts in any order, if repeated, or if merged from two halls.

const requestArb = fc.record({
    fingerprint: fc.constantFrom("a", "b", "c", "d"),
    ranMs: fc.integer({ min: 0, max: 5_000 }),
    wasSuspect: fc.boolean(),
    cleared: fc.boolean(),
});
const endingArb = fc.record({
    life: fc.integer({ min: 0, max: 9 }).map(at => `e${at}`),
    requests: fc.uniqueArray(requestArb, { maxLength: 4, selector: ({ fingerprint }) => fingerprint }),
}).map(({ life, requests }): EndingNews => ({ life, requests, agoMs: 1_000 * Number(life.slice(1)) }));
const NOW = 100_000;

function mergeAll(endings: readonly EndingNews[]): Quarantine {
    return endings.reduce((state, one) => mergeNews(state, newsOf(one), NOW).state, EMPTY_QUARANTINE);
}

function verdicts(state: Quarantine): readonly Verdict[] {
    return ["a", "b", "c", "d"].map(fingerprint => verdictOf(state, fingerprint, NOW));
}

test("verdicts do not depend on the order of news or on duplicates", t => {
    fc.assert(fc.property(fc.array(endingArb, { maxLength: 20 }), fc.func(fc.integer()), (endings, rankOf) => {
        const shuffled = [...endings, ...endings].sort((a, b) => rankOf(a) - rankOf(b));
        const one = mergeAll(endings);
        const other = mergeAll(shuffled);
        t.deepEqual(verdicts(other), verdicts(one));
        t.is(other.digest, one.digest);
    }));
});

test("halls that were partitioned agree after merging, whichever sends first", t => {
    fc.assert(fc.property(
        fc.array(endingArb, { maxLength: 12 }),
        fc.array(endingArb, { maxLength: 12 }),
        (here, there) => {
            const [a, b] = [mergeAll(here), mergeAll(there)];
            const atA = mergeNews(a, allEndingNews(b, NOW), NOW).state;
            const atB = mergeNews(b, allEndingNews(a, NOW), NOW).state;
            t.deepEqual(verdicts(atA), verdicts(atB));
            t.is(atA.digest, atB.digest);
            t.is(mergeNews(atA, allEndingNews(atB, NOW), NOW).news, undefined);
        },
    ));
});

test("no request with fewer than three endings is quarantined", t => {
    fc.assert(fc.property(fc.array(endingArb, { maxLength: 20 }), endings => {
        const state = mergeAll(endings);
        for (const fingerprint of ["a", "b", "c", "d"]) {
            const lives = [...state.endings.values()].filter(({ requests }) =>
                requests.get(fingerprint)?.cleared === false
            );
            if (lives.length < 3) t.not(verdictOf(state, fingerprint, NOW).kind, "quarantined");
        }
    }));
});

test("a request that ran alone at three separate endings is quarantined, whatever else ended", t => {
    fc.assert(fc.property(fc.array(endingArb, { maxLength: 20 }), endings => {
        const alone = [0, 1, 2].map(at => ({ ...ending(`g${at}`, "guilty"), agoMs: 500 + 1_000 * at }));
        t.is(verdictOf(mergeAll([...endings, ...alone]), "guilty", NOW).kind, "quarantined");
    }));
});
