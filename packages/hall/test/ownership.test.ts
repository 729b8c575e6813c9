import { createEndpoint, EndpointTable, zeroCurve } from "@drumpaddle/policy";
import test from "ava";
import { createHash } from "node:crypto";
import {
    askOwner,
    capacityOf,
    createLoadExchange,
    endpointOwner,
    EQUAL_WEIGHTS,
    ownerOf,
    rank,
    runLoadRound,
    weightOf,
    type Weights,
    weightsOf,
    withOwnerWeights,
} from "../src/index.js";
import { seeded } from "./fleet.js";

const HOSTS = Array.from({ length: 12 }, (_, at) => `k${at % 3}-${at}`);
const KEYS = Array.from({ length: 20_000 }, (_, at) => `endpoints/${at}`);
/** One sample in 16,000 of a fair assignment lies outside of this many standard deviations. */
const DEVIATIONS = 4;

/** The order of unweighted rendezvous hashing: the highest hash first. */
function plainRank(key: string, hosts: readonly string[]): readonly string[] {
    const draw = (host: string): string => createHash("sha256").update(`${key}\n${host}`).digest("hex");
    return [...hosts].sort((a, b) => draw(a) < draw(b) ? 1 : -1);
}

const EVEN: Readonly<Record<string, Weights>> = {
    "unknown": EQUAL_WEIGHTS,
    "of one": new Map(HOSTS.map(host => [host, 1])),
    "small and alike": new Map(HOSTS.map(host => [host, 0.1])),
    "large and alike": new Map(HOSTS.map(host => [host, 40])),
};

for (const [name, weights] of Object.entries(EVEN)) {
    test(`weights that are ${name} give the order of unweighted rendezvous hashing`, t => {
        for (const key of KEYS.slice(0, 500)) t.deepEqual(rank(key, HOSTS, weights), plainRank(key, HOSTS));
    });
}

const UNEVEN: Readonly<Record<string, Weights>> = {
    "two sizes": new Map(HOSTS.map((host, at) => [host, at % 4 === 0 ? 1.8 : 0.1])),
    "some unknown": new Map(HOSTS.slice(0, 6).map((host, at) => [host, 0.5 + at])),
    "one much larger": new Map([[HOSTS[3]!, 200]]),
};

for (const [name, weights] of Object.entries(UNEVEN)) {
    test(`shares follow weights: ${name}`, t => {
        const weight = (host: string): number => weights.get(host) ?? 1;
        const sum = HOSTS.reduce((total, host) => total + weight(host), 0);
        const owned = new Map<string, number>();
        for (const key of KEYS) {
            const owner = ownerOf(key, HOSTS, weights)!;
            owned.set(owner, (owned.get(owner) ?? 0) + 1);
        }
        for (const host of HOSTS) {
            const share = weight(host) / sum;
            const expected = share * KEYS.length;
            const most = DEVIATIONS * Math.sqrt(expected * (1 - share));
            t.true(Math.abs((owned.get(host) ?? 0) - expected) <= most, `${host}: ${owned.get(host)} for ${expected}`);
        }
    });

    test(`when a host leaves, the order of the others stays the same: ${name}`, t => {
        for (const key of KEYS.slice(0, 300)) {
            const gone = HOSTS[key.length % HOSTS.length]!;
            const left = HOSTS.filter(host => host !== gone);
            t.deepEqual(rank(key, left, weights), rank(key, HOSTS, weights).filter(host => host !== gone));
        }
    });

    test(`when a host's weight changes, only its own share moves: ${name}`, t => {
        const host = HOSTS[5]!;
        for (const factor of [0.2, 3]) {
            const changed = new Map(weights).set(host, factor * (weights.get(host) ?? 1));
            for (const key of KEYS.slice(0, 2_000)) {
                const [before, after] = [ownerOf(key, HOSTS, weights), ownerOf(key, HOSTS, changed)];
                if (before !== after) t.is(factor > 1 ? after : before, host);
            }
        }
    });
}

const SIZES = [
    { size: { cores: 2, share: 0.675, linkMbps: 200 }, capacity: 1.35, why: "cores times share" },
    { size: { cores: 1, share: 0.324, linkMbps: 10 }, capacity: 0.324, why: "a link that keeps up" },
    { size: { cores: 4, linkMbps: 6 }, capacity: 0.2, why: "a link that does not" },
    { size: { linkMbps: 15 }, capacity: 0.5, why: "a link alone" },
    { size: { share: 0.5 }, capacity: undefined, why: "nothing but a share" },
    { size: { cores: 0 }, capacity: undefined, why: "no cores" },
    { size: { cores: 1, linkMbps: 0 }, capacity: undefined, why: "no link" },
    { size: {}, capacity: undefined, why: "nothing" },
];

for (const { size, capacity, why } of SIZES) {
    test(`capacity of ${why}`, t => {
        t.is(capacityOf(size), capacity);
    });
}

for (const wrong of [0, -3, NaN, Infinity, -Infinity, undefined]) {
    test(`a capacity of ${wrong} counts as unknown`, t => {
        t.is(weightOf(wrong), weightOf(1));
    });
}

test("an absurdly large capacity counts as the largest one, and a tiny one still gets a share", t => {
    const hosts = HOSTS.map((name, at) => ({ name, capacity: at === 0 ? 1e12 : at === 1 ? 1e-12 : 16 }));
    const weights = weightsOf(hosts);
    t.is(weights.get(HOSTS[0]!), weights.get(HOSTS[2]!));
    t.true(weights.get(HOSTS[1]!)! > 0);
    t.is(rank("k", HOSTS, weights).length, HOSTS.length);
});

test("a host twice as large gets more than twice the share", t => {
    const random = seeded(7);
    for (let at = 0; at < 100; at++) {
        const cores = 0.1 + 7 * random();
        t.true(weightOf(2 * cores) > 2 * weightOf(cores));
    }
});

/** Weights by which another host owns the endpoint than with equal weights. */
function otherOwner(endpoint: string): { readonly weights: Weights; readonly owner: string } {
    const usual = endpointOwner(endpoint, 1, HOSTS);
    const owner = HOSTS.find(host => host !== usual)!;
    return { weights: new Map([[owner, 1e6]]), owner };
}

test("reports and questions go to the owner by weight, also if only the weights change", t => {
    const endpoints = EndpointTable.of([createEndpoint({ id: "e1", hall: "k0", models: ["m"], memoryTokens: 9 }, 0)]);
    const { weights, owner } = otherOwner("e1");
    const even = runLoadRound(createLoadExchange(owner), endpoints, HOSTS, 0);
    t.deepEqual(even.events.find(({ kind }) => kind === "owns"), { kind: "owns", endpoints: [] });
    const uneven = runLoadRound(withOwnerWeights(even.state, weights), endpoints, HOSTS, 250);
    t.deepEqual(uneven.events.find(({ kind }) => kind === "owns"), { kind: "owns", endpoints: ["e1"] });
    const asker = HOSTS.find(host => host !== owner)!;
    const question = { demand: {} as never, curve: zeroCurve(), z: 1, hall: "k0", exclude: [], backUp: false };
    const asked = askOwner(
        withOwnerWeights(createLoadExchange(asker), weights),
        { kind: "ask", job: "j", endpoint: "e1", question },
        endpoints,
        HOSTS,
        0,
    );
    t.is(asked.send[0]?.to, owner);
});
