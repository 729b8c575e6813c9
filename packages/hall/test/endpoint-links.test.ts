/**
 * Tests when a host takes itself for cut off from all endpoints.
 */
import test from "ava";
import {
    type EndpointLinks,
    LINK_FAILURE_TTL_MS,
    LinkFailureCause,
    needsRelay,
    recordLinkFailure,
    recordLinkUp,
    recordReachedByPeer,
    UNKNOWN_LINKS,
} from "../src/index.js";

const NOW = 100_000;

type Observation = { readonly kind: "failed" | "up" | "reachedByPeer"; readonly address: string; readonly ago: number };

function observe(observations: readonly Observation[], endpoints = 8): EndpointLinks {
    return observations.reduce((links, { kind, address, ago }) => {
        const at = NOW - ago;
        if (kind === "failed") return recordLinkFailure(links, address, LinkFailureCause.Connect, endpoints, at);
        if (kind === "up") return recordLinkUp(links, address, endpoints, at);
        return recordReachedByPeer(links, address, endpoints, at);
    }, UNKNOWN_LINKS);
}

const failed = (address: string, ago: number): Observation => ({ kind: "failed", address, ago });
const up = (address: string, ago: number): Observation => ({ kind: "up", address, ago });
const reachedByPeer = (address: string, ago: number): Observation => ({ kind: "reachedByPeer", address, ago });

interface Case {
    readonly observations: readonly Observation[];
    readonly endpoints?: number;
    readonly isCutOff: boolean;
}

const CASES: Readonly<Record<string, Case>> = {
    "two endpoints fail and a peer reaches one of them": {
        observations: [failed("a", 300), failed("b", 200), reachedByPeer("b", 100)],
        isCutOff: true,
    },
    "the order of these does not matter": {
        observations: [failed("a", 300), reachedByPeer("a", 200), failed("b", 100)],
        isCutOff: true,
    },
    "two endpoints fail that no peer reaches either": {
        observations: [failed("a", 300), failed("b", 200)],
        isCutOff: false,
    },
    "one endpoint fails, however often": {
        observations: [failed("a", 300), reachedByPeer("a", 250), failed("a", 200)],
        isCutOff: false,
    },
    "the only endpoint fails": {
        observations: [failed("a", 300), reachedByPeer("a", 200)],
        endpoints: 1,
        isCutOff: true,
    },
    "a connection succeeds between the failures": {
        observations: [failed("a", 300), up("c", 250), failed("b", 200), reachedByPeer("b", 100)],
        isCutOff: false,
    },
    "the first failure is long past": {
        observations: [failed("a", LINK_FAILURE_TTL_MS + 100), failed("b", 90), reachedByPeer("b", 80)],
        isCutOff: false,
    },
    "a peer reached the endpoint before it failed here": {
        observations: [reachedByPeer("a", 400), failed("a", 300), failed("b", 200)],
        isCutOff: false,
    },
    "two connections succeed again": {
        observations: [
            failed("a", 300),
            failed("b", 200),
            reachedByPeer("b", 100),
            up("a", 50),
            up("c", 40),
        ],
        isCutOff: false,
    },
    "only one endpoint is reached again": {
        observations: [failed("a", 300), failed("b", 200), reachedByPeer("b", 100), up("a", 50), up("a", 40)],
        isCutOff: true,
    },
    "a failure lies between the two that are reached again": {
        observations: [
            failed("a", 300),
            failed("b", 200),
            reachedByPeer("b", 100),
            up("a", 50),
            failed("c", 45),
            up("b", 40),
        ],
        isCutOff: true,
    },
};

for (const [name, { observations, endpoints, isCutOff }] of Object.entries(CASES)) {
    test(`${name}: ${isCutOff ? "cut off" : "not cut off"}`, t => {
        t.is(observe(observations, endpoints).cutOff !== undefined, isCutOff);
    });
}

test("a host is cut off since the first failure, and reaches every endpoint through peers", t => {
    const links = observe([failed("a", 300), failed("b", 200), reachedByPeer("b", 100)]);
    t.is(links.cutOff?.since, NOW - 300);
    t.is(links.cutOff?.failedEndpoints, 2);
    t.true(needsRelay(links, "c", NOW));
});

test("an endpoint that a peer reaches and this host does not is reached through peers for a while", t => {
    const links = observe([failed("a", 300), reachedByPeer("a", 200)]);
    t.true(needsRelay(links, "a", NOW));
    t.false(needsRelay(links, "b", NOW));
    t.false(needsRelay(links, "a", NOW - 300 + LINK_FAILURE_TTL_MS));
    t.false(needsRelay(recordLinkUp(links, "a", 8, NOW), "a", NOW));
});
