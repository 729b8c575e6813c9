/**
 * Speed samples that hosts report to an endpoint's owner, and the estimates that the owner reports to them.
 */
import {
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    endpointSlowness,
    type SchedulerEvent,
    type SchedulerState,
    speedEstimateOf,
} from "@drumpaddle/policy";
import test from "ava";
import { makeJob } from "../../policy/test/job.js";
import {
    createLoadExchange,
    decodeSamples,
    decodeSpeed,
    ENCODED_SAMPLES_LENGTH,
    encodeSamples,
    encodeSpeed,
    endpointOwner,
    type LoadExchange,
    type LoadExchangeStep,
    type LoadMessage,
    receiveLoadMessage,
    runLoadRound,
} from "../src/index.js";

const ENDPOINTS = ["e1", "e2", "e3", "e4"];
const HOSTS = ["k1-a", "k1-b", "k1-c"];
const OWNER = endpointOwner(ENDPOINTS[0]!, ENDPOINTS.length, HOSTS)!;
const [HOLDER, OTHER] = HOSTS.filter(name => name !== OWNER) as [string, string];
const ROUND_MS = 100;

/** One of three simulated hosts, whose messages arrive at once. */
class SimHost {
    scheduler: SchedulerState = createScheduler(DEFAULT_VARIANT, 1);
    exchange: LoadExchange;
    private streams = 0;

    constructor(readonly name: string, private readonly peers: Map<string, SimHost>) {
        this.exchange = createLoadExchange(name);
        peers.set(name, this);
        const endpoints = ENDPOINTS.map(id => ({ id, hall: "h", models: ["m"], memoryTokens: 30_000 }));
        this.apply({ kind: "endpoints", endpoints }, 0);
    }

    apply(event: SchedulerEvent, now: number): void {
        this.scheduler = decide(this.scheduler, event, now).state;
    }

    /** Runs a round and returns the messages, which are delivered unless they are lost. */
    round(now: number, lost = false): readonly LoadMessage[] {
        const step = runLoadRound(this.exchange, this.scheduler.endpoints, HOSTS, now);
        this.applyStep(step, now, lost);
        return step.send.map(({ message }) => message);
    }

    private applyStep({ state, send, events }: LoadExchangeStep, now: number, lost = false): void {
        this.exchange = state;
        for (const event of events) this.apply(event, now);
        for (const { to, message } of lost ? [] : send) {
            const peer = this.peers.get(to)!;
            peer.applyStep(receiveLoadMessage(peer.exchange, this.name, message, peer.scheduler, now), now);
        }
    }

    /** Runs a stream at an endpoint: the first token takes 15 gaps, each further one a gap. */
    runStream(endpoint: string, gapMs: number, now: number): void {
        const job = makeJob(`${this.name}/${this.streams++}`);
        const others = ENDPOINTS.filter(id => id !== endpoint);
        for (const id of others) this.apply({ kind: "leaving", endpoint: id, source: "settings", leaving: true }, now);
        this.apply({ kind: "arrive", job, avoid: [], retry: false }, now);
        for (const id of others) this.apply({ kind: "leaving", endpoint: id, source: "settings", leaving: false }, now);
        const gone = { kind: "progress", job: job.id, meanGapMs: gapMs, maxGapMs: 2 * gapMs } as const;
        this.apply({ ...gone, produced: 1 }, now + 15 * gapMs);
        this.apply({ ...gone, produced: 17 }, now + 31 * gapMs);
        this.apply({ kind: "ended", job: job.id, outcome: "whole", produced: 17 }, now + 31 * gapMs);
    }
}

function createHosts(): {
    readonly owner: SimHost;
    readonly holder: SimHost;
    readonly other: SimHost;
    readonly all: SimHost[];
} {
    const peers = new Map<string, SimHost>();
    const all = HOSTS.map(name => new SimHost(name, peers));
    for (const member of all) member.round(0);
    return { owner: peers.get(OWNER)!, holder: peers.get(HOLDER)!, other: peers.get(OTHER)!, all };
}

/** Weight of a host's estimate of an endpoint's speed. */
function estimateWeight({ scheduler }: SimHost, endpoint: string, now: number): number {
    return speedEstimateOf(scheduler.endpoints.get(endpoint)!.speed, now).weight;
}

function samplesIn(messages: readonly LoadMessage[]): number {
    return messages.flatMap(message => message.kind === "held" ? message.held : [])
        .reduce((sum, { shown }) => sum + (shown ? decodeSamples(shown).stretches : 0), 0);
}

test("a stream that begins and ends between two rounds is reported to the owner once", t => {
    const { holder, owner } = createHosts();
    // The first stream sets the level that others are compared with.
    owner.runStream("e2", 20, 100);
    holder.runStream("e1", 20, 100);
    holder.runStream("e1", 20, 1_000);
    t.is(samplesIn(holder.round(2_000)), 2);
    t.true(estimateWeight(owner, "e1", 2_000) > 0);
    t.is(samplesIn(holder.round(2_000 + ROUND_MS)), 0);
});

test("lost samples are not reported again, and the next report counts", t => {
    const { holder, owner } = createHosts();
    owner.runStream("e2", 20, 100);
    holder.runStream("e1", 20, 100);
    holder.round(2_000, true);
    t.is(estimateWeight(owner, "e1", 2_000), 0);
    holder.runStream("e1", 20, 3_000);
    t.is(samplesIn(holder.round(4_000)), 1);
    t.true(estimateWeight(owner, "e1", 4_000) > 0);
});

test("hosts without samples of an endpoint learn its slowness from the owner", t => {
    const { holder, other, all } = createHosts();
    for (let now = 1_000; now < 20_000; now += 1_500) {
        for (const endpoint of ENDPOINTS) holder.runStream(endpoint, endpoint === "e1" ? 40 : 20, now);
        for (const member of all) member.round(now + 1_400);
    }
    for (const member of all) member.round(20_000);
    const speedOf = (member: SimHost, endpoint: string): number => {
        const { scheduler } = member;
        return Math.exp(endpointSlowness(scheduler, scheduler.endpoints.get(endpoint)!, 20_000).logRatio);
    };
    for (const member of all) t.true(speedOf(member, "e1") > 1.4 * speedOf(member, "e2"), member.name);
    t.is(other.scheduler.endpoints.get("e1")!.ownSpeedSums.stretches, 0);
});

test("encoded speeds are precise to a tenth of a millisecond", t => {
    const shown = {
        firsts: 2,
        unread: 5_100,
        firstMs: 812.34,
        stretches: 3,
        pieces: 48,
        gapMs: 90.26,
        longestMs: 301.11,
    };
    const words = encodeSamples(shown);
    t.is(words.length, ENCODED_SAMPLES_LENGTH);
    t.deepEqual(decodeSamples(words), { ...shown, firstMs: 812.3, gapMs: 90.3, longestMs: 301.1 });
    t.deepEqual(decodeSpeed(encodeSpeed({ value: -0.4704, weight: 61.3, ageMs: 20.5 })), {
        value: -0.47,
        weight: 61,
        ageMs: 21,
    });
});
