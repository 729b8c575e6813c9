import { createClock } from "@drumpaddle/protocol";
import test from "ava";
import { Writable } from "node:stream";
import type { CallMemory, GivenUp } from "../src/runtime/call-memory.js";
import { HostMemory } from "../src/runtime/host-memory.js";
import { createLog } from "../src/runtime/log.js";
import { Metrics } from "../src/runtime/metrics.js";

const BUDGET = 1_000_000;

interface Memory {
    readonly memory: HostMemory;
    readonly metrics: Metrics;
    readonly log: string[];
    /** Lets time pass. */
    readonly pass: (ms: number) => void;
}

function memoryOf({ budgetBytes }: { readonly budgetBytes: number | undefined } = { budgetBytes: BUDGET }): Memory {
    let now = 0;
    const clock = { ...createClock(), now: () => now };
    const log: string[] = [];
    const out = new Writable({
        write: (chunk: Buffer, _encoding, done) => {
            log.push(chunk.toString());
            done();
        },
    });
    const metrics = new Metrics();
    const memory = new HostMemory({ budgetBytes, clock, log: createLog("info", out), metrics });
    return { memory, metrics, log, pass: ms => void (now += ms) };
}

/** A call whose caller has not taken so much; `ends` gets it when it is given up. */
function slowCall(memory: HostMemory, req: string, unread: number, ends: Map<string, GivenUp>): CallMemory {
    const call = memory.open(req);
    call.onGiveUp = givenUp => ends.set(req, givenUp);
    call.setUnread(unread, false);
    return call;
}

function settled(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

test("the call that holds most for longest is given up, once, and the rest goes on", async t => {
    const { memory, log, pass } = memoryOf();
    const ends = new Map<string, GivenUp>();
    slowCall(memory, "small", 100_000, ends);
    slowCall(memory, "large", 500_000, ends);
    pass(3_000);
    slowCall(memory, "young", 450_000, ends);
    await settled();
    t.deepEqual([...ends.keys()], ["large"]);
    t.like(ends.get("large"), {
        unreadBy: "caller",
        detail: "its caller has read nothing for 3000 ms; 500000 bytes were held",
    });
    t.is(memory.held.unread, 550_000);
    t.regex(
        log.join(""),
        /event=call_given_up req=large bytes=500000 .*stuck_ms=3000 age_ms=3000 held=1050000 budget=1000000/,
    );
});

test("what waits for peers is given up before any call", async t => {
    const { memory } = memoryOf();
    const ends = new Map<string, GivenUp>();
    const cut: number[] = [];
    memory.onCutLink = link => void cut.push(link);
    memory.setLink(1, 50_000);
    memory.setLink(2, 90_000);
    slowCall(memory, "slow", 920_000, ends);
    await settled();
    t.deepEqual(cut, [2]);
    t.is(ends.size, 0);
});

test("a source that is held back goes on when others leave room, though its own caller reads nothing", async t => {
    const { memory, log } = memoryOf();
    const other = slowCall(memory, "other", 400_000, new Map());
    const held = slowCall(memory, "held", 90_000, new Map());
    let resumed = 0;
    t.false(held.whenRoom(() => resumed += 1));
    t.regex(log.join(""), /event=call_held_back req=held bytes=90000/);
    await new Promise(resolve => setTimeout(resolve, 100));
    t.is(resumed, 0);
    other.close();
    await new Promise(resolve => setTimeout(resolve, 150));
    t.is(resumed, 1);
});

test("calls that are held back are logged one in a second", t => {
    const { memory, log, pass } = memoryOf();
    slowCall(memory, "hog", 490_000, new Map());
    const holdBack = (req: string): void => void slowCall(memory, req, 40_000, new Map()).whenRoom(() => undefined);
    for (const req of ["a", "b", "c"]) holdBack(req);
    pass(1_001);
    holdBack("d");
    const lines = log.filter(line => line.includes("event=call_held_back"));
    t.is(lines.length, 2);
    t.regex(lines[1]!, / more=2 /);
});

test("a call that has ended holds nothing, whatever it says later", t => {
    const { memory } = memoryOf();
    const call = slowCall(memory, "ended", 1_000, new Map());
    t.true(call.takeIn(500));
    call.close();
    call.close();
    call.setUnread(2_000, false);
    t.deepEqual(memory.held, { body: 0, answer: 0, unread: 0, link: 0 });
});

test("a filling of the budget is logged once", t => {
    const { memory, log } = memoryOf();
    const call = memory.open("c");
    for (const unread of [760_000, 700_000, 770_000, 400_000, 760_000]) call.setUnread(unread, false);
    const events = log.filter(line => line.includes("event=memory_")).map(line => / event=(\w+)/.exec(line)![1]);
    t.deepEqual(events, ["memory_full", "memory_has_room", "memory_full"]);
});

test("where the host's memory is not known, nothing is refused or given up, and callers are not read ahead of", async t => {
    const { memory } = memoryOf({ budgetBytes: undefined });
    const ends = new Map<string, GivenUp>();
    const call = slowCall(memory, "large", 5 * BUDGET, ends);
    t.true(call.takeIn(BUDGET));
    t.false(call.whenRoom(() => undefined));
    t.is(memory.linkBytes(), undefined);
    await settled();
    t.is(ends.size, 0);
});

test("metrics tell what is held by kind, the budget, and what was given up or refused", async t => {
    const { memory, metrics } = memoryOf();
    const call = slowCall(memory, "slow", 700_000, new Map());
    t.false(call.takeIn(100_000));
    t.regex(await metrics.text(), /^drumpaddle_held_bytes\{kind="unread"\} 700000$/m);
    t.regex(await metrics.text(), /^drumpaddle_held_budget_bytes 1000000$/m);
    call.setUnread(BUDGET + 1, false);
    await settled();
    t.regex(await metrics.text(), /^drumpaddle_memory_given_up_total\{unread_by="caller"\} 1$/m);
    t.regex(await metrics.text(), /^drumpaddle_memory_refused_total 1$/m);
});
