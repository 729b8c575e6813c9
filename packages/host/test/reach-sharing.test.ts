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

interface Stage {
    readonly sharing: ReachSharing;
    readonly sent: { readonly names: readonly string[]; readonly message: ReachPeerMessage }[];
    readonly events: SchedulerEvent[];
    readonly log: [string, object][];
    readonly gauge: number[];
    readonly pass: (ms: number) => void;
}

/** A host of k1 that knows endpoints and hosts of k2. */
function stageOf(inHall: readonly string[] = ["k1-a", "k1-b"]): Stage {
    let now = 50_000;
    const sent: Stage["sent"] = [];
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
        otherHalls: () => [{ hall: "k2", hosts: 4, relied: 4 }],
        send: (names, message) => void sent.push({ names, message }),
        applyEvent: event => void events.push(event),
    });
    sharing.setEndpoints(ENDPOINTS);
    sharing.heardHost("k2");
    return { sharing, sent, events, log, gauge, pass: ms => now += ms };
}

function reachOf(event: SchedulerEvent | undefined): Extract<SchedulerEvent, { kind: "reach" }> {
    if (event?.kind !== "reach") throw new Error("no such event");
    return event;
}

test("a connection that failed is told to the hall, and the endpoint is in doubt at once", t => {
    const { sharing, sent, events, pass } = stageOf();
    pass(300);
    sharing.failed(ADDRESS["a"]!);
    t.deepEqual(sent, [{ names: ["k1-b"], message: { kind: "unreached", endpoint: "a@1", agoMs: 0 } }]);
    t.true(isPeerMessage({ ...sent[0]!.message }));
    t.deepEqual(reachOf(events.at(-1)).doubted, { halls: [], endpoints: ["a@1"] });
});

test("what another host of the hall has told is passed on once, to six at most", t => {
    const names = Array.from({ length: 40 }, (_, at) => `k1-${at}`);
    const { sharing, sent, pass } = stageOf(["k1-a", ...names]);
    pass(300);
    for (let times = 0; times < 3; times++) sharing.receive({ kind: "unreached", endpoint: "a@1", agoMs: 40 });
    t.is(sent.length, 1);
    t.is(sent[0]!.names.length, 6);
    t.false(sent[0]!.names.includes("k1-a"));
    t.deepEqual(sent[0]!.message, { kind: "unreached", endpoint: "a@1", agoMs: 40 });
});

test("a silent hall is in doubt by what two hosts found out, with a line; what is heard of it ends that, with another", t => {
    for (const end of ["host", "endpoint"] as const) {
        const { sharing, sent, events, log, gauge, pass } = stageOf();
        pass(QUIET_MS);
        sharing.failed(ADDRESS["a"]!);
        sharing.receive({ kind: "unreached", endpoint: "b@1", agoMs: 10 });
        t.deepEqual(reachOf(events.at(-1)).doubted, { halls: ["k2"], endpoints: ["a@1", "b@1"] });
        t.is(gauge.at(-1), 1);
        sharing.failed(ADDRESS["c"]!);
        t.is(sent.length, 2, "the others know enough by then");
        pass(700);
        if (end === "host") sharing.heardHost("k2");
        else sharing.answered(ADDRESS["c"]!);
        t.deepEqual(reachOf(events.at(-1)), { kind: "reach", doubted: { halls: [], endpoints: [] }, back: ["k2"] });
        t.is(gauge.at(-1), 0);
        t.deepEqual(log, [
            ["hall_in_doubt", { hall: "k2", lost_endpoints: 2, hosts_relied_on: true, silent_ms: QUIET_MS }],
            ["hall_no_longer_in_doubt", { hall: "k2", heard: true }],
        ]);
    }
});

test("silence that lasts makes a doubt of what has failed before, and time ends it without a sign", t => {
    const { sharing, events, log, pass } = stageOf();
    pass(QUIET_MS - 100);
    for (const name of ["a", "b"]) sharing.failed(ADDRESS[name]!);
    t.deepEqual(reachOf(events.at(-1)).doubted.halls, []);
    pass(100);
    sharing.look();
    t.deepEqual(reachOf(events.at(-1)).doubted.halls, ["k2"]);
    pass(10_000);
    sharing.look();
    t.deepEqual(reachOf(events.at(-1)), { kind: "reach", doubted: { halls: [], endpoints: [] }, back: [] });
    t.deepEqual(log.at(-1), ["hall_no_longer_in_doubt", { hall: "k2", heard: false }]);
    sharing.heardHost("k2");
    t.deepEqual(reachOf(events.at(-1)).back, ["k2"], "what could not be reached may be tried at once, also then");
    const told = events.length;
    sharing.heardHost("k2");
    t.is(events.length, told, "once");
});

test("a hall that was heard after one endpoint failed is not told as back: that endpoint may have died by itself", t => {
    const { sharing, events, pass } = stageOf();
    pass(300);
    sharing.failed(ADDRESS["a"]!);
    sharing.heardHost("k2");
    t.deepEqual(reachOf(events.at(-1)), { kind: "reach", doubted: { halls: [], endpoints: [] }, back: [] });
});

test("the own hall, unknown endpoints and a look without news change nothing", t => {
    const { sharing, sent, events, pass } = stageOf();
    pass(QUIET_MS);
    sharing.failed(ADDRESS["own"]!);
    sharing.failed("10.9.9.9:80");
    sharing.receive({ kind: "unreached", endpoint: "own@1", agoMs: 0 });
    sharing.receive({ kind: "unreached", endpoint: "never heard of", agoMs: 0 });
    sharing.look();
    t.deepEqual([sent.length, events.length], [0, 0]);
});
