import test from "ava";
import fc from "fast-check";
import {
    allEndingNews,
    clearPart,
    clearRequest,
    controlParts,
    dropExpired,
    EMPTY_QUARANTINE,
    type EndingNews,
    MAX_PARTS_PER_ENDING,
    mergeNews,
    nameOfEndedLife,
    type Quarantine,
    type QuarantineNews,
    type RequestIdentity,
    type RequestNews,
    SIMULTANEOUS_MS,
    type Verdict,
    type VerdictContext,
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

/** The verdict on a request without parts. */
function verdictOn(state: Quarantine, fingerprint: string, now: number, context?: VerdictContext): Verdict {
    return verdictOf(state, { fingerprint, parts: [] }, now, context);
}

function kindOf({ state, now }: { readonly state: Quarantine; readonly now: number }, fingerprint: string): string {
    return verdictOn(state, fingerprint, now).kind;
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
    t.like(verdictOn(again, "a", beganAt + 20), { kind: "suspect", endings: 2 });
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
    t.is(verdictOn(state, "hot", 4 * APART_MS).kind, "free");
});

test("simultaneous endings count once for a request, unless it began there as a suspect", t => {
    const at = (wasSuspect: boolean): Verdict => {
        const lives = ["e1", "e2", "e3"].map(life => ending(life, { fingerprint: "a", wasSuspect }));
        return verdictOn(mergeNews(EMPTY_QUARANTINE, newsOf(...lives), 0).state, "a", 0);
    };
    t.like(at(false), { kind: "suspect", endings: 1 });
    t.like(at(true), { kind: "quarantined", endings: 3 });
});

test("a request that runs to completion is cleared, and only later endings count against it", t => {
    const { state, now } = after(ending("e1", "a"), ending("e2", "a"));
    const cleared = clearRequest(state, "a", now);
    t.is(verdictOn(cleared.state, "a", now).kind, "free");
    t.is(cleared.news?.endings.length, 2);
    const again = mergeNews(cleared.state, newsOf(ending("e3", "a")), now + APART_MS);
    t.like(verdictOn(again.state, "a", now + APART_MS), { kind: "suspect", endings: 1 });
});

test("a request that was cleared at one host stays cleared when another host sends the ending again", t => {
    const { state, now } = after(ending("e1", "a"), ending("e2", "a"), ending("e3", "a"));
    const cleared = clearRequest(state, "a", now).state;
    t.is(verdictOn(mergeNews(cleared, allEndingNews(state, now), now).state, "a", now).kind, "free");
    t.is(verdictOn(mergeNews(state, allEndingNews(cleared, now), now).state, "a", now).kind, "free");
});

test("a suspect runs at one endpoint at a time", t => {
    const { state, now } = after(ending("e1", "a"));
    const trial = { attempt: "r1.1", fingerprint: "a", agoMs: 0, isOver: false };
    const running = mergeNews(state, { endings: [], trials: [trial] }, now);
    t.is(verdictOn(running.state, "a", now).kind, "onTrial");
    t.is(verdictOn(running.state, "a", now, { attempt: "r1.1" }).kind, "suspect");
    const over = mergeNews(running.state, { endings: [], trials: [{ ...trial, isOver: true }] }, now);
    t.is(verdictOn(over.state, "a", now).kind, "suspect");
    // News of its begin that arrives after that of its end changes nothing.
    t.is(mergeNews(over.state, { endings: [], trials: [trial] }, now).news, undefined);
    t.is(verdictOn(running.state, "a", now + MINUTE_MS).kind, "suspect");
});

test("a trial is allowed after half an hour, another after an hour, and then none", t => {
    let { state, now } = after(ending("e1", "a"), ending("e2", "a"), ending("e3", "a"));
    const waits = [30, 60] as const;
    for (const [at, minutes] of waits.entries()) {
        t.is(verdictOn(state, "a", now + minutes * MINUTE_MS - 1).kind, "quarantined");
        now += minutes * MINUTE_MS;
        t.is(verdictOn(state, "a", now).kind, "suspect");
        state = mergeNews(state, newsOf(ending(`later-${at}`, { fingerprint: "a", wasSuspect: true })), now).state;
    }
    t.is(verdictOn(state, "a", now + 20 * 60 * MINUTE_MS).kind, "quarantined");
});

test("endpoints with other software allow one trial of a quarantined request", t => {
    const of = (life: string, software: string): EndingNews => ({
        ...ending(life, { fingerprint: "a", wasSuspect: true }),
        software,
    });
    const { state, now } = after(of("e1", "v1"), of("e2", "v1"), of("e3", "v1"));
    const kind = (known: Quarantine, ...software: readonly string[]): string =>
        verdictOn(known, "a", now, { software }).kind;
    t.is(kind(state, "v1"), "quarantined");
    t.is(kind(state, "v1", "v2"), "suspect");
    const again = mergeNews(state, newsOf(of("e4", "v2")), now).state;
    t.is(kind(again, "v1", "v2"), "quarantined");
    t.is(kind(again, "v3"), "quarantined");
});

test("evidence without a quarantine expires after minutes, evidence for a quarantine after a day", t => {
    const { state, now } = after(ending("e1", "a"), ending("e2", "b"), ending("e3", "b"), ending("e4", "b"));
    const later = dropExpired(state, now + 11 * MINUTE_MS);
    t.is(verdictOn(later, "a", now + 11 * MINUTE_MS).kind, "free");
    t.is(verdictOn(later, "b", now + 11 * MINUTE_MS).kind, "quarantined");
    t.is(dropExpired(later, now + 25 * 60 * MINUTE_MS).endings.size, 0);
});

test("endings of random requests displace no culprit, and the number of endings is bounded", t => {
    let { state, now } = after(ending("e1", "a"), ending("e2", "a"), ending("e3", "a"));
    for (let at = 0; at < 1_000; at++) {
        now += APART_MS;
        state = mergeNews(state, newsOf(ending(`x${at}`, `drawn-${at}`)), now).state;
    }
    t.is(verdictOn(state, "a", now).kind, "quarantined");
    t.true(state.endings.size <= 256);
});

// Parts of prompts that requests share.

const PART = "part:m:bad";
const SHARED = "part:m:shared";

/** An ending at which a request with some parts ran that had no answer yet. */
function endingOf(life: string, parts: readonly string[], options: Partial<RequestNews> = {}): EndingNews {
    const involved = { ranMs: 100, wasSuspect: false, cleared: false, ...options };
    return {
        ...ending(life, `own-${life}`),
        parts: parts.map(fingerprint => ({ fingerprint, ...involved })),
    };
}

function withParts(...parts: readonly string[]): RequestIdentity {
    return { fingerprint: "new", parts };
}

interface Known {
    readonly state: Quarantine;
    readonly now: number;
}

function kindWith({ state, now }: Known, parts: readonly string[], context?: VerdictContext): string {
    return verdictOf(state, withParts(...parts), now, context).kind;
}

/** Adds one more ending, later than all others. */
function then({ state, now }: Known, next: EndingNews): Known {
    const later = now + APART_MS;
    return { state: mergeNews(state, newsOf(next), later).state, now: later };
}

/** The state after another request was answered that has parts of the same kind. */
function controlled({ state, now }: Known): Known {
    return { state: controlParts(state, { at: now, parts: ["part:m:control"] }, now).state, now };
}

const THREE_ENDINGS = ["e1", "e2", "e3"].map(life => endingOf(life, [PART]));

test("a part is a suspect after one ending and quarantined after three, whatever else the requests held", t => {
    t.is(kindWith(after(), [PART]), "free");
    t.is(kindWith(after(...THREE_ENDINGS.slice(0, 1)), [PART]), "suspect");
    t.is(kindWith(after(...THREE_ENDINGS.slice(0, 2)), [PART]), "suspect");
    const known = controlled(after(...THREE_ENDINGS));
    t.like(verdictOf(known.state, withParts(SHARED, PART), known.now), { kind: "quarantined", by: PART, endings: 3 });
    t.is(kindWith(known, [SHARED]), "free");
    t.is(kindWith(known, []), "free");
});

test("an answer clears a part, and does not clear the part beside it", t => {
    const known = after(...["e1", "e2"].map(life => endingOf(life, [SHARED, PART])));
    const { state, news } = clearPart(known.state, SHARED, undefined, known.now);
    t.is(news?.endings.length, 2);
    t.is(kindWith({ ...known, state }, [SHARED]), "free");
    t.is(kindWith({ ...known, state }, [PART]), "suspect");
    t.is(kindWith(controlled(then({ ...known, state }, endingOf("e3", [SHARED, PART]))), [PART]), "quarantined");
    t.is(clearPart(state, SHARED, undefined, known.now).news, undefined);
});

test("a part that was answered recently is not held back to one run at a time, unless it is a culprit", t => {
    const isProven = (): boolean => true;
    const known = after(...THREE_ENDINGS.slice(0, 2));
    const trial = { attempt: "r1.1", fingerprint: PART, agoMs: 0, isOver: false };
    const running = { ...known, state: mergeNews(known.state, { endings: [], trials: [trial] }, known.now).state };
    t.is(kindWith(running, [PART]), "onTrial");
    t.is(kindWith(running, [PART], { isProven }), "free");
    t.is(kindWith(after(...THREE_ENDINGS), [PART], { isProven }), "onTrial");
});

test("a part is tried again after a minute, after four more and then as a request is; one that was answered recently at once", t => {
    let known = controlled(after(...THREE_ENDINGS));
    t.is(kindWith({ ...known, now: known.now + 300 }, [PART], { isProven: () => true }), "suspect");
    for (const seconds of [60, 240, 30 * 60, 60 * 60]) {
        const until = known.now + seconds * 1_000;
        t.is(kindWith({ ...known, now: until - 1 }, [PART]), "quarantined");
        t.is(kindWith({ ...known, now: until }, [PART]), "suspect");
        known = then({ ...known, now: until }, endingOf(`after ${seconds}`, [PART], { wasSuspect: true }));
    }
    t.is(kindWith({ ...known, now: known.now + 20 * 60 * MINUTE_MS }, [PART]), "quarantined");
});

test("a part is tried again within a second where nothing without it was answered, as the endpoints may be the cause", t => {
    let known = after(...THREE_ENDINGS);
    for (const ms of [500, 1_500, 4_500, 13_500]) {
        const until = known.now + ms;
        t.is(kindWith({ ...known, now: until - 1 }, [PART]), "onTrial");
        t.is(kindWith({ ...known, now: until }, [PART]), "suspect");
        t.is(kindWith({ ...known, now: until }, [PART], { trialDelayMs: 1 }), "onTrial");
        t.is(kindWith(controlled({ ...known, now: until }), [PART]), "quarantined");
        known = then({ ...known, now: until }, endingOf(`after ${ms}`, [PART], { wasSuspect: true }));
    }
});

test("only a later answer to a request with other parts of the same kind controls a part, and hosts tell each other", t => {
    const known = after(...THREE_ENDINGS);
    const { state, now } = known;
    const kind = (at: number, parts: readonly string[]): string =>
        kindWith({ state: controlParts(state, { at, parts }, now).state, now }, [PART]);
    t.is(kind(now, ["part:m:other"]), "quarantined");
    t.is(kind(now, ["part:m:other", PART]), "onTrial");
    t.is(kind(now, ["part:n:other"]), "onTrial");
    t.is(kind(now, ["body:b"]), "onTrial");
    t.is(kind(0, ["part:m:other"]), "onTrial");
    const told = controlParts(state, { at: now, parts: ["part:m:other"] }, now).news!;
    t.is(kindWith({ state: mergeNews(state, told, now).state, now }, [PART]), "quarantined");
    t.is(controlParts(mergeNews(state, told, now).state, { at: now, parts: ["part:m:other"] }, now).news, undefined);
});

test("a part that most requests hold is not blamed for the endings of three culprits", t => {
    const lives = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"];
    const culprits = ["part:m:x", "part:m:y", "part:m:z"];
    const known = after(...lives.map((life, at): EndingNews => {
        const beside = { fingerprint: SHARED, ranMs: 300, wasSuspect: false, cleared: false };
        return { ...ending(life), parts: [...endingOf(life, [culprits[at % 3]!]).parts!, beside] };
    }));
    // Only the next answer can tell whether all of these endings have one cause.
    const answered = controlled({ ...known, state: clearPart(known.state, SHARED, undefined, known.now).state });
    t.is(kindWith(answered, [SHARED]), "free");
    for (const culprit of culprits) t.is(kindWith(answered, [culprit]), "quarantined");
    const three = after(...["e1", "e4", "e7"].map((life): EndingNews => {
        const beside = { fingerprint: SHARED, ranMs: 300, wasSuspect: false, cleared: false };
        return { ...ending(life), parts: [...endingOf(life, [PART]).parts!, beside] };
    }));
    t.is(kindWith(controlled(three), [SHARED, PART]), "quarantined");
    t.is(kindWith(three, [SHARED]), "suspect");
});

test("of two parts that always came together, a request with one of them may be tried", t => {
    const known = controlled(after(...["e1", "e2", "e3"].map(life => endingOf(life, [PART, SHARED]))));
    t.is(kindWith(known, [PART, SHARED]), "quarantined");
    t.is(kindWith(known, [SHARED]), "suspect");
    t.is(kindWith(known, [PART]), "suspect");
    const answered = { ...known, state: clearPart(known.state, SHARED, undefined, known.now).state };
    t.is(kindWith(answered, [SHARED]), "free");
    t.is(kindWith(answered, [PART]), "quarantined");
    const crashed = then(known, endingOf("e4", [PART], { wasSuspect: true }));
    t.is(kindWith(crashed, [PART]), "quarantined");
    t.is(kindWith(crashed, [SHARED]), "suspect");
});

test("a part that met one unrelated ending more than the culprit may still be tried alone, and is cleared by its answer", t => {
    const lives = ["e1", "e2", "e3"].map(life => endingOf(life, [PART, SHARED]));
    const known = controlled(after(...lives, endingOf("e4", [SHARED])));
    t.is(kindWith(known, [PART, SHARED]), "quarantined");
    t.is(kindWith(known, [SHARED]), "suspect");
    const answered = controlled({ ...known, state: clearPart(known.state, SHARED, undefined, known.now).state });
    t.is(kindWith(answered, [SHARED]), "free");
    t.is(kindWith(answered, [PART]), "quarantined");
});

test("two bad parts are both identified", t => {
    const lives = ["e1", "e2", "e3", "e4", "e5", "e6"];
    const known = controlled(
        after(...lives.map((life, at) => endingOf(life, at % 2 === 0 ? [PART] : ["part:m:other"]))),
    );
    t.is(kindWith(known, [PART]), "quarantined");
    t.is(kindWith(known, ["part:m:other"]), "quarantined");
});

test("a request that crashed three endpoints is quarantined itself, and others with its parts may be tried", t => {
    const lives = ["e1", "e2", "e3"];
    const known = after(...lives.map(life => ({ ...endingOf(life, [PART]), requests: ending(life, "same").requests })));
    t.is(verdictOf(known.state, { fingerprint: "same", parts: [PART] }, known.now).kind, "quarantined");
    t.is(kindWith(known, [PART]), "suspect");
    const again = then(known, endingOf("e4", [PART], { wasSuspect: true }));
    t.is(kindWith(controlled(again), [PART]), "quarantined");
});

test("an answer by other software does not clear a part", t => {
    const known = controlled(after(...THREE_ENDINGS.map(one => ({ ...one, software: "v1" }))));
    const other = { ...known, state: clearPart(known.state, PART, "v2", known.now).state };
    t.is(kindWith(other, [PART], { software: ["v1"] }), "quarantined");
    t.is(kindWith(other, [PART], { software: ["v2"] }), "suspect");
    const same = { ...known, state: clearPart(known.state, PART, "v1", known.now).state };
    t.is(kindWith(same, [PART], { software: ["v1"] }), "free");
});

test("a part that is at endings of a rack is not blamed", t => {
    let state = EMPTY_QUARANTINE;
    for (let rack = 0; rack < 3; rack++) {
        const lives = [1, 2, 3, 4].map(at => endingOf(`r${rack}e${at}`, at === 1 ? [SHARED] : [`part:m:${rack}${at}`]));
        state = mergeNews(state, newsOf(...lives), rack * APART_MS).state;
    }
    t.is(verdictOf(state, withParts(SHARED), 3 * APART_MS).kind, "free");
});

test("operators lift the quarantine of a part", t => {
    const known = after(...THREE_ENDINGS);
    t.is(kindWith({ ...known, state: clearRequest(known.state, PART, known.now).state }, [PART]), "free");
});

test("the parts that are kept of an ending are bounded, and news of them reaches no peer again once it is dropped", t => {
    const names = Array.from({ length: 500 }, (_, at) => `part:m:${at}`);
    const many = {
        ...ending("e1"),
        parts: names.map((fingerprint, ranMs) => ({ fingerprint, ranMs, wasSuspect: false, cleared: false })),
    };
    const first = mergeNews(EMPTY_QUARANTINE, newsOf(many), 0);
    t.is(first.state.endings.get("e1")!.parts.size, MAX_PARTS_PER_ENDING);
    t.is(first.news!.endings[0]!.parts!.length, MAX_PARTS_PER_ENDING);
    t.is(mergeNews(first.state, newsOf(many), 0).news, undefined);
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
    parts: fc.uniqueArray(requestArb, { maxLength: 4, selector: ({ fingerprint }) => fingerprint }),
}).map(({ life, requests, parts }): EndingNews => ({
    life,
    requests,
    parts: parts.map(part => ({ ...part, fingerprint: `part:m:${part.fingerprint}` })),
    agoMs: 1_000 * Number(life.slice(1)),
}));
const NOW = 100_000;

function mergeAll(endings: readonly EndingNews[]): Quarantine {
    return endings.reduce((state, one) => mergeNews(state, newsOf(one), NOW).state, EMPTY_QUARANTINE);
}

function verdicts(state: Quarantine): readonly Verdict[] {
    const names = ["a", "b", "c", "d"];
    return [
        ...names.map(fingerprint => verdictOn(state, fingerprint, NOW)),
        ...names.map(name => verdictOf(state, withParts(`part:m:${name}`), NOW)),
    ];
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
            if (lives.length < 3) t.not(verdictOn(state, fingerprint, NOW).kind, "quarantined");
        }
    }));
});

test("a request that ran alone at three separate endings is quarantined, whatever else ended", t => {
    fc.assert(fc.property(fc.array(endingArb, { maxLength: 20 }), endings => {
        const alone = [0, 1, 2].map(at => ({ ...ending(`g${at}`, "guilty"), agoMs: 500 + 1_000 * at }));
        t.is(verdictOn(mergeAll([...endings, ...alone]), "guilty", NOW).kind, "quarantined");
    }));
});
