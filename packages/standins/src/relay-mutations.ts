/**
 * Mutations of the promises on hosts that are cut off from endpoints, on relayed connections, and on brittle endpoints.
 *
 * @module
 */
import type { Mutation } from "./mutation.js";

const LINKS_SOURCE = "packages/hall/src/endpoint-links.ts";
const CHOICE_SOURCE = "packages/hall/src/relay-choice.ts";
const SERVER_SOURCE = "packages/host/src/relay/relay-server.ts";
const SOCKET_SOURCE = "packages/host/src/relay/relay-socket.ts";
const CLIENT_SOURCE = "packages/host/src/relay/relay-client.ts";
const MONITOR_SOURCE = "packages/host/src/endpoints/link-monitor.ts";
const BRITTLE_SOURCE = "packages/policy/src/brittle.ts";
const LINKS = "packages/hall/test/endpoint-links.test.ts";
const CHOICE = "packages/hall/test/relay-choice.test.ts";
const RELAY = "packages/host/test/relay.test.ts";
const CALLS = "platform/test/relayed-calls.test.ts";
const BRITTLE = "packages/policy/test/brittle.test.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const RELAY_MUTATIONS: readonly Mutation[] = [
    {
        promise: "relays: endpoints that no peer reaches either do not make a host cut off",
        file: LINKS_SOURCE,
        find: "if (!isConfirmed || recent.length",
        replace: "if (recent.length",
        tests: [LINKS],
    },
    {
        promise: "relays: one endpoint that fails does not make a host cut off",
        file: LINKS_SOURCE,
        find: "const MIN_ENDPOINTS = 2;",
        replace: "const MIN_ENDPOINTS = 1;",
        tests: [LINKS],
    },
    {
        promise: "relays: failures before a connection that succeeded do not count",
        file: LINKS_SOURCE,
        find: "at > links.connectedAt && now - at",
        replace: "now - at",
        tests: [LINKS],
    },
    {
        promise: "relays: a failure between two successes keeps a host cut off",
        file: LINKS_SOURCE,
        find: "{ ...links.cutOff, reachedAgain: new Set<string>() }",
        replace: "{ ...links.cutOff }",
        tests: [LINKS],
    },
    {
        promise: "relays: a peer that could not help is left out",
        file: CHOICE_SOURCE,
        find: "current.get(name)?.hasRefused !== true",
        replace: "true",
        tests: [CHOICE, RELAY],
    },
    {
        promise: "relays: peers are drawn by their weights",
        file: CHOICE_SOURCE,
        find: "-Math.log(1 - random()) / peer.weight",
        replace: "-Math.log(1 - random())",
        tests: [CHOICE],
    },
    {
        promise: "relays: only registered endpoints are reached",
        file: SERVER_SOURCE,
        find: "if (!this.deps.knowsEndpoint(endpoint)) {",
        replace: "if (false) {",
        tests: [RELAY],
    },
    {
        promise: "relays: an answer that the endpoint resets does not look whole",
        file: SERVER_SOURCE,
        find: `endpoint.on("error", () => breakOff(relay));`,
        replace: `endpoint.on("error", () => res.end());`,
        tests: [RELAY],
    },
    {
        promise: "relays: an answer whose peer ends does not look whole",
        file: SOCKET_SOURCE,
        find: "if (this.destroyed || this.readableEnded) return;",
        replace: "if (!this.destroyed) return void this.push(null);",
        tests: [RELAY],
    },
    {
        promise: "relays: a run ends with its caller",
        file: SERVER_SOURCE,
        find: `res.on("close", () => this.end(relay));`,
        replace: `res.on("finish", () => this.end(relay));`,
        tests: [RELAY, CALLS],
    },
    {
        promise: "relays: a peer that is silent is not waited for",
        file: CLIENT_SOURCE,
        find: "const STAGGER_MS = 100;",
        replace: "const STAGGER_MS = 10_000;",
        tests: [RELAY],
    },
    {
        promise: "relays: the proof of one side does not serve as that of the other",
        file: "packages/protocol/src/peer-handshake.ts",
        find: "update(name).update(role)",
        replace: `update(name).update(role === "" ? "" : "stream")`,
        tests: [RELAY],
    },
    {
        promise: "relays: an endpoint that was silent for a moment is probed directly again",
        file: MONITOR_SOURCE,
        find: "&& !await this.probeDirectly(address);",
        replace: ";",
        tests: ["packages/host/test/link-monitor.test.ts"],
    },
    {
        promise: "relays: a host without calls finds out that it is cut off",
        file: MONITOR_SOURCE,
        find: "const IDLE_SILENCE_MS = 1_500;",
        replace: "const IDLE_SILENCE_MS = 1_500_000;",
        tests: ["packages/host/test/link-monitor.test.ts"],
    },
    {
        promise: "brittle: hosts divide the places",
        file: BRITTLE_SOURCE,
        find: "const each = Math.floor(places / fleet.most);",
        replace: "const each = places;",
        tests: [BRITTLE],
    },
    {
        promise: "brittle: a remainder is handed out once",
        file: BRITTLE_SOURCE,
        find: "return hearsMajority(fleet) && placeAtEndpoint",
        replace: "return placeAtEndpoint",
        tests: [BRITTLE],
    },
    {
        promise: "brittle: a new life counts as brittle",
        file: BRITTLE_SOURCE,
        find: "return cfg.models.some(model => now < (services.get(model) ?? -Infinity));",
        replace: "return false;",
        tests: [BRITTLE],
    },
    {
        promise: "brittle: a host that was turned away pauses",
        file: BRITTLE_SOURCE,
        find: "const PAUSE_AFTER_REJECTION_MS = 1_000;",
        replace: "const PAUSE_AFTER_REJECTION_MS = 0;",
        tests: [BRITTLE],
    },
];
