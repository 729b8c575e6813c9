/**
 * What holders tell an endpoint's owner of its speed, and what the owner tells them.
 */
import {
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    estimateOf,
    knownSpeed,
    type SchedulerEvent,
    type SchedulerState,
} from "@drumpaddle/policy";
import test from "ava";
import { makeJob } from "../../policy/test/job.js";
import {
    createShare,
    decodeSamples,
    decodeSpeed,
    endpointOwner,
    shareHear,
    type ShareMessage,
    shareRound,
    type ShareState,
    type ShareStep,
    SHOWN_WORDS,
    shownWords,
    speedWords,
} from "../src/index.js";

const ENDPOINTS = ["e1", "e2", "e3", "e4"];
const HOSTS = ["k1-a", "k1-b", "k1-c"];
const OWNER = endpointOwner(ENDPOINTS[0]!, ENDPOINTS.length, HOSTS)!;
const [HOLDER, OTHER] = HOSTS.filter(name => name !== OWNER) as [string, string];
const ROUND_MS = 100;

/** One of three hosts, whose messages arrive at once. */
class Member {
    scheduler: SchedulerState = createScheduler(DEFAULT_VARIANT, 1);
    share: ShareState;
    private streams = 0;

    constructor(readonly name: string, private readonly peers: Map<string, Member>) {
        this.share = createShare(name);
        peers.set(name, this);
        const endpoints = ENDPOINTS.map(id => ({ id, hall: "h", models: ["m"], memoryTokens: 30_000 }));
        this.tell({ kind: "endpoints", endpoints }, 0);
    }

    tell(event: SchedulerEvent, now: number): void {
        this.scheduler = decide(this.scheduler, event, now).state;
    }

    /** Tells what is due; returns what was sent, and does not deliver it where it is lost. */
    round(now: number, lost = false): readonly ShareMessage[] {
        const step = shareRound(this.share, this.scheduler.endpoints, HOSTS, now);
        this.follow(step, now, lost);
        return step.send.map(({ message }) => message);
    }

    private follow({ state, send, events }: ShareStep, now: number, lost = false): void {
        this.share = state;
        for (const event of events) this.tell(event, now);
        for (const { to, message } of lost ? [] : send) {
            const peer = this.peers.get(to)!;
            peer.follow(shareHear(peer.share, this.name, message, peer.scheduler, now), now);
        }
    }

    /** A stream of this host shows one gap of an endpoint, of which reading takes fifteen, and ends. */
    stream(endpoint: string, gapMs: number, now: number): void {
        const job = makeJob(`${this.name}/${this.streams++}`);
        const others = ENDPOINTS.filter(id => id !== endpoint);
        for (const id of others) this.tell({ kind: "leaving", endpoint: id, source: "settings", leaving: true }, now);
        this.tell({ kind: "arrive", job, avoid: [], retry: false }, now);
        for (const id of others) this.tell({ kind: "leaving", endpoint: id, source: "settings", leaving: false }, now);
        const gone = { kind: "progress", job: job.id, meanGapMs: gapMs, maxGapMs: 2 * gapMs } as const;
        this.tell({ ...gone, produced: 1 }, now + 15 * gapMs);
        this.tell({ ...gone, produced: 17 }, now + 31 * gapMs);
        this.tell({ kind: "ended", job: job.id, outcome: "whole", produced: 17 }, now + 31 * gapMs);
    }
}

function members(): {
    readonly owner: Member;
    readonly holder: Member;
    readonly other: Member;
    readonly all: Member[];
} {
    const peers = new Map<string, Member>();
    const all = HOSTS.map(name => new Member(name, peers));
    for (const member of all) member.round(0);
    return { owner: peers.get(OWNER)!, holder: peers.get(HOLDER)!, other: peers.get(OTHER)!, all };
}

/** The weight of what a host knows of an endpoint's speed. */
function weightOf({ scheduler }: Member, endpoint: string, now: number): number {
    return estimateOf(scheduler.endpoints.get(endpoint)!.speed, now).weight;
}

function shownIn(messages: readonly ShareMessage[]): number {
    return messages.flatMap(message => message.kind === "held" ? message.held : [])
        .reduce((sum, { shown }) => sum + (shown ? decodeSamples(shown).stretches : 0), 0);
}

test("a stream that began and ended between two rounds is told to the owner, and only once", t => {
    const { holder, owner } = members();
    // The first of all sets what others are compared with.
    owner.stream("e2", 20, 100);
    holder.stream("e1", 20, 100);
    holder.stream("e1", 20, 1_000);
    t.is(shownIn(holder.round(2_000)), 2);
    t.true(weightOf(owner, "e1", 2_000) > 0);
    t.is(shownIn(holder.round(2_000 + ROUND_MS)), 0);
});

test("what was lost is not told again, and the next words count", t => {
    const { holder, owner } = members();
    owner.stream("e2", 20, 100);
    holder.stream("e1", 20, 100);
    holder.round(2_000, true);
    t.is(weightOf(owner, "e1", 2_000), 0);
    holder.stream("e1", 20, 3_000);
    t.is(shownIn(holder.round(4_000)), 1);
    t.true(weightOf(owner, "e1", 4_000) > 0);
});

test("hosts that saw nothing of an endpoint hear from its owner how slow it is", t => {
    const { holder, other, all } = members();
    for (let now = 1_000; now < 20_000; now += 1_500) {
        for (const endpoint of ENDPOINTS) holder.stream(endpoint, endpoint === "e1" ? 40 : 20, now);
        for (const member of all) member.round(now + 1_400);
    }
    for (const member of all) member.round(20_000);
    const speedOf = (member: Member, endpoint: string): number => {
        const { scheduler } = member;
        return Math.exp(knownSpeed(scheduler, scheduler.endpoints.get(endpoint)!, 20_000).log);
    };
    for (const member of all) t.true(speedOf(member, "e1") > 1.4 * speedOf(member, "e2"), member.name);
    t.is(other.scheduler.endpoints.get("e1")!.shown.stretches, 0);
});

test("what is told of speeds is what was meant, but for a tenth of a millisecond", t => {
    const shown = {
        firsts: 2,
        unread: 5_100,
        firstMs: 812.34,
        stretches: 3,
        pieces: 48,
        gapMs: 90.26,
        longestMs: 301.11,
    };
    const words = shownWords(shown);
    t.is(words.length, SHOWN_WORDS);
    t.deepEqual(decodeSamples(words), { ...shown, firstMs: 812.3, gapMs: 90.3, longestMs: 301.1 });
    t.deepEqual(decodeSpeed(speedWords({ value: -0.4704, weight: 61.3, ageMs: 20.5 })), {
        value: -0.47,
        weight: 61,
        ageMs: 21,
    });
});
