import { createClock } from "@drumpaddle/protocol";
import test from "ava";
import { Writable } from "node:stream";
import type { CallMemory, GiveUpReason } from "../src/runtime/call-memory.js";
import { HostMemory } from "../src/runtime/host-memory.js";
import { createLog } from "../src/runtime/log.js";
import { Metrics } from "../src/runtime/metrics.js";

const BUDGET = 1_000_000;

interface MemoryUnderTest {
    readonly memory: HostMemory;
    readonly metrics: Metrics;
    readonly log: string[];
    /** Advances the clock. */
    readonly advance: (ms: number) => void;
}

function createMemory(
    { budgetBytes }: { readonly budgetBytes: number | undefined } = { budgetBytes: BUDGET },
): MemoryUnderTest {
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
    return { memory, metrics, log, advance: ms => void (now += ms) };
}

/** A call with so many unread bytes for its caller; `ends` receives why it was given up. */
function slowCall(memory: HostMemory, req: string, unread: number, ends: Map<string, GiveUpReason>): CallMemory {
    const call = memory.open(req);
    call.onGiveUp = givenUp => ends.set(req, givenUp);
    call.setUnread(unread, false);
    return call;
}

/** Resolves after the scheduled relief has run. */
function settled(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

test("the call that holds most for longest is given up, once; the others continue", async t => {
    const { memory, log, advance } = createMemory();
    const ends = new Map<string, GiveUpReason>();
    slowCall(memory, "small", 100_000, ends);
    slowCall(memory, "large", 500_000, ends);
    advance(3_000);
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

test("messages waiting for a peer are dropped before any call is given up", async t => {
    const { memory } = createMemory();
    const ends = new Map<string, GiveUpReason>();
    const cut: number[] = [];
    memory.onCloseLink = link => void cut.push(link);
    memory.setLinkBytes(1, 50_000);
    memory.setLinkBytes(2, 90_000);
    slowCall(memory, "slow", 920_000, ends);
    await settled();
    t.deepEqual(cut, [2]);
    t.is(ends.size, 0);
});

test("a paused source is resumed when another call releases memory, though its own caller reads nothing", async t => {
    const { memory, log } = createMemory();
    const other = slowCall(memory, "other", 400_000, new Map());
    const held = slowCall(memory, "held", 90_000, new Map());
    let resumed = 0;
    t.false(held.whenReadable(() => resumed += 1));
    t.regex(log.join(""), /event=call_held_back req=held bytes=90000/);
    await new Promise(resolve => setTimeout(resolve, 100));
    t.is(resumed, 0);
    other.close();
    await new Promise(resolve => setTimeout(resolve, 150));
    t.is(resumed, 1);
});

test("of the calls with paused sources, one a second is logged", t => {
    const { memory, log, advance } = createMemory();
    slowCall(memory, "hog", 490_000, new Map());
    const holdBack = (req: string): void => void slowCall(memory, req, 40_000, new Map()).whenReadable(() => undefined);
    for (const req of ["a", "b", "c"]) holdBack(req);
    advance(1_001);
    holdBack("d");
    const lines = log.filter(line => line.includes("event=call_held_back"));
    t.is(lines.length, 2);
    t.regex(lines[1]!, / more=2 /);
});

test("a closed call account counts no bytes", t => {
    const { memory } = createMemory();
    const call = slowCall(memory, "ended", 1_000, new Map());
    t.true(call.reserveBody(500));
    call.close();
    call.close();
    call.setUnread(2_000, false);
    t.deepEqual(memory.held, { body: 0, answer: 0, unread: 0, link: 0 });
});

test("a full budget is logged once, and again only after it had room", t => {
    const { memory, log } = createMemory();
    const call = memory.open("c");
    for (const unread of [760_000, 700_000, 770_000, 400_000, 760_000]) call.setUnread(unread, false);
    const events = log.filter(line => line.includes("event=memory_")).map(line => / event=(\w+)/.exec(line)![1]);
    t.deepEqual(events, ["memory_full", "memory_has_room", "memory_full"]);
});

test("without a memory budget nothing is refused or given up, and sources are paused at once", async t => {
    const { memory } = createMemory({ budgetBytes: undefined });
    const ends = new Map<string, GiveUpReason>();
    const call = slowCall(memory, "large", 5 * BUDGET, ends);
    t.true(call.reserveBody(BUDGET));
    t.false(call.whenReadable(() => undefined));
    t.is(memory.maxLinkBytes(), undefined);
    await settled();
    t.is(ends.size, 0);
});

test("metrics export the bytes held by kind, the budget, and calls given up or refused", async t => {
    const { memory, metrics } = createMemory();
    const call = slowCall(memory, "slow", 700_000, new Map());
    t.false(call.reserveBody(100_000));
    t.regex(await metrics.text(), /^drumpaddle_held_bytes\{kind="unread"\} 700000$/m);
    t.regex(await metrics.text(), /^drumpaddle_held_budget_bytes 1000000$/m);
    call.setUnread(BUDGET + 1, false);
    await settled();
    t.regex(await metrics.text(), /^drumpaddle_memory_given_up_total\{unread_by="caller"\} 1$/m);
    t.regex(await metrics.text(), /^drumpaddle_memory_refused_total 1$/m);
});
