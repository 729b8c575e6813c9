/**
 * Tests which peers a host asks to relay connections.
 */
import test from "ava";
import { AVOID_PEER_MS, avoidPeer, chooseRelays, type RelayPeer } from "../src/index.js";

const NOW = 100_000;

function peersOf(count: number, weight = 1): readonly RelayPeer[] {
    return Array.from({ length: count }, (_, at) => ({ name: `h${at}`, address: `10.0.0.${at}:7080`, weight }));
}

/** A deterministic generator of numbers in [0, 1). */
function sequence(seed = 1): () => number {
    let state = seed;
    return () => (state = state * 48_271 % 2_147_483_647) / 2_147_483_647;
}

test("a hall of 117 hosts that is cut off spreads its connections over all 233 others", t => {
    const random = sequence();
    const peers = peersOf(233);
    const counts = new Map<string, number>();
    const draws = 117 * 40;
    for (let at = 0; at < draws; at++) {
        const [chosen] = chooseRelays(peers, new Map(), 3, NOW, random);
        counts.set(chosen!.name, (counts.get(chosen!.name) ?? 0) + 1);
    }
    const mean = draws / peers.length;
    t.is(counts.size, peers.length);
    t.true(Math.max(...counts.values()) < 3 * mean, `${Math.max(...counts.values())} against a mean of ${mean}`);
});

test("a peer with three times the weight is drawn three times as often", t => {
    const random = sequence();
    const peers = [...peersOf(1, 3), { name: "other", address: "10.0.0.9:7080", weight: 1 }];
    const draws = Array.from({ length: 4_000 }, () => chooseRelays(peers, new Map(), 1, NOW, random)[0]!.name);
    const share = draws.filter(name => name === "h0").length / draws.length;
    t.true(Math.abs(share - 0.75) < 0.05, String(share));
});

test("different peers are drawn, none of those to be avoided, until their time is over", t => {
    const peers = peersOf(3);
    const avoided = avoidPeer(new Map(), "h1", true, NOW);
    const drawn = chooseRelays(peers, avoided, 3, NOW + AVOID_PEER_MS - 1, sequence()).map(({ name }) => name);
    t.deepEqual([...drawn].sort(), ["h0", "h2"]);
    t.is(chooseRelays(peers, avoided, 3, NOW + AVOID_PEER_MS, sequence()).length, 3);
    t.deepEqual([...avoidPeer(avoided, "h2", true, NOW + AVOID_PEER_MS).keys()], ["h2"], "forgets what is over");
});

test("a peer that has not answered in time is drawn last, not left out", t => {
    const avoided = avoidPeer(new Map(), "h1", false, NOW);
    const drawn = chooseRelays(peersOf(3), avoided, 3, NOW, sequence()).map(({ name }) => name);
    t.is(drawn.length, 3);
    t.is(drawn[2], "h1");
});
