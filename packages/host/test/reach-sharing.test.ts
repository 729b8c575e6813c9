import { QUIET_MS } from "@drumpaddle/hall";
import type { SchedulerEvent } from "@drumpaddle/policy";
import test from "ava";
import { isPeerMessage, type ReachPeerMessage } from "../src/peers/peer-messages.js";
import { ReachSharing } from "../src/peers/reach-sharing.js";

const ENDPOINTS = [
    { incarnation: "own@1", address: "10.1.0.1:80", hall: "k1" },
    { incarnation: "a@1", address: "10.2.0.1:80", hall: "k2" },
    { incarnation: "b@1", address: "10.2.0.2:80", hall: "k2" },
    { incarnation: "c@1", address: "10.2.0.3:80", hall: "k2" },
];
const ADDRESS = Object.fromEntries(ENDPOINTS.map(({ incarnation, address }) => [incarnation.slice(0, -2), address]));

interface Fixture {
    readonly sharing: ReachSharing;
    readonly sent: { readonly names: readonly string[]; readonly message: ReachPeerMessage }[];
    readonly events: SchedulerEvent[];
    readonly log: [string, object][];
    readonly gauge: number[];
    readonly advance: (ms: number) => void;
}

/** The sharing of a host of hall k1 that knows endpoints and hosts of hall k2. */
function createSharing(inHall: readonly string[] = ["k1-a", "k1-b"]): Fixture {
    let now = 50_000;
    const sent: Fixture["sent"] = [];
    const events: SchedulerEvent[] = [];
    const log: [string, object][] = [];
    const gauge: number[] = [];
    const sharing = new ReachSharing({
        name: "k1-a",
        hall: "k1",
        clock: { now: () => now } as never,
        log: { info: (fields: object, event: string) => void log.push([event, fields]) } as never,
        metrics: { doubtedHalls: { set: (value: number) => void gauge.push(value) } } as never,
        inHall: () => inHall,
        otherHalls: () => [{ hall: "k2", hosts: 4, aliveHosts: 4 }],
        send: (names, message) => void sent.push({ names, message }),
        applyEvent: event => void events.push(event),
    });
    sharing.setEndpoints(ENDPOINTS);
    sharing.recordContact("k2");
    return { sharing, sent, events, log, gauge, advance: ms => now += ms };
}

function asReachEvent(event: SchedulerEvent | undefined): Extract<SchedulerEvent, { kind: "reach" }> {
    if (event?.kind !== "reach") throw new Error("not an event about reachability");
    return event;
}

test("a failed connection is reported to the hall and puts its endpoint in doubt at once", t => {
    const { sharing, sent, events, advance } = createSharing();
    advance(300);
    sharing.connectionFailed(ADDRESS["a"]!);
    t.deepEqual(sent, [{ names: ["k1-b"], message: { kind: "unreached", endpoint: "a@1", agoMs: 0 } }]);
    t.true(isPeerMessage({ ...sent[0]!.message }));
    t.deepEqual(asReachEvent(events.at(-1)).doubted, { halls: [], endpoints: ["a@1"] });
});

test("a failure reported by another host is passed on once, to at most six hosts", t => {
    const names = Array.from({ length: 40 }, (_, at) => `k1-${at}`);
    const { sharing, sent, advance } = createSharing(["k1-a", ...names]);
    advance(300);
    for (let times = 0; times < 3; times++) sharing.receive({ kind: "unreached", endpoint: "a@1", agoMs: 40 });
    t.is(sent.length, 1);
    t.is(sent[0]!.names.length, 6);
    t.false(sent[0]!.names.includes("k1-a"));
    t.deepEqual(sent[0]!.message, { kind: "unreached", endpoint: "a@1", agoMs: 40 });
});

test("failures seen by two hosts put a silent hall in doubt, a message or answer from it ends the doubt, and both are logged", t => {
    for (const end of ["host", "endpoint"] as const) {
        const { sharing, sent, events, log, gauge, advance } = createSharing();
        advance(QUIET_MS);
        sharing.connectionFailed(ADDRESS["a"]!);
        sharing.receive({ kind: "unreached", endpoint: "b@1", agoMs: 10 });
        t.deepEqual(asReachEvent(events.at(-1)).doubted, { halls: ["k2"], endpoints: ["a@1", "b@1"] });
        t.is(gauge.at(-1), 1);
        sharing.connectionFailed(ADDRESS["c"]!);
        t.is(sent.length, 2, "further failures are not passed on");
        advance(700);
        if (end === "host") sharing.recordContact("k2");
        else sharing.endpointAnswered(ADDRESS["c"]!);
        t.deepEqual(asReachEvent(events.at(-1)), {
            kind: "reach",
            doubted: { halls: [], endpoints: [] },
            back: ["k2"],
        });
        t.is(gauge.at(-1), 0);
        t.deepEqual(log, [
            ["hall_in_doubt", { hall: "k2", lost_endpoints: 2, hosts_relied_on: true, silent_ms: QUIET_MS }],
            ["hall_no_longer_in_doubt", { hall: "k2", heard: true }],
        ]);
    }
});

test("lasting silence after failures puts a hall in doubt, and the doubt expires", t => {
    const { sharing, events, log, advance } = createSharing();
    advance(QUIET_MS - 100);
    for (const name of ["a", "b"]) sharing.connectionFailed(ADDRESS[name]!);
    t.deepEqual(asReachEvent(events.at(-1)).doubted.halls, []);
    advance(100);
    sharing.update();
    t.deepEqual(asReachEvent(events.at(-1)).doubted.halls, ["k2"]);
    advance(10_000);
    sharing.update();
    t.deepEqual(asReachEvent(events.at(-1)), { kind: "reach", doubted: { halls: [], endpoints: [] }, back: [] });
    t.deepEqual(log.at(-1), ["hall_no_longer_in_doubt", { hall: "k2", heard: false }]);
    sharing.recordContact("k2");
    t.deepEqual(asReachEvent(events.at(-1)).back, ["k2"], "the hall is reported as back even after the doubt expired");
    const told = events.length;
    sharing.recordContact("k2");
    t.is(events.length, told, "once");
});

test("a hall that answers after a single endpoint failed is not reported as back: the endpoint may have crashed", t => {
    const { sharing, events, advance } = createSharing();
    advance(300);
    sharing.connectionFailed(ADDRESS["a"]!);
    sharing.recordContact("k2");
    t.deepEqual(asReachEvent(events.at(-1)), { kind: "reach", doubted: { halls: [], endpoints: [] }, back: [] });
});

test("failures in the own hall, unknown endpoints and updates without news have no effect", t => {
    const { sharing, sent, events, advance } = createSharing();
    advance(QUIET_MS);
    sharing.connectionFailed(ADDRESS["own"]!);
    sharing.connectionFailed("10.9.9.9:80");
    sharing.receive({ kind: "unreached", endpoint: "own@1", agoMs: 0 });
    sharing.receive({ kind: "unreached", endpoint: "never heard of", agoMs: 0 });
    sharing.update();
    t.deepEqual([sent.length, events.length], [0, 0]);
});
