import { createClock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { Writable } from "node:stream";
import { Placement } from "../src/endpoints/placement.js";
import { LimitLending } from "../src/peers/limit-lending.js";
import type { LimitPeerMessage } from "../src/peers/peer-messages.js";
import { createLog } from "../src/runtime/log.js";

const PER_S = 100;

interface SentMessage {
    readonly names: readonly string[];
    readonly message: LimitPeerMessage;
}

/** A host of two that knows an endpoint's limit, and what it sends to its peer. */
function createHost(
    t: ExecutionContext,
    name: string,
    place: number,
): { readonly lending: LimitLending; readonly placement: Placement; readonly sent: SentMessage[] } {
    const end = new AbortController();
    t.teardown(() => end.abort());
    const now = { ms: 60_000 };
    const clock = { ...createClock(), now: () => now.ms };
    const placement = new Placement(end.signal, clock);
    now.ms = 0;
    placement.applyEvents([{ kind: "hosts", count: 2, place }]);
    now.ms = 60_000;
    placement.setEndpoints([{ id: "e1", hall: "h1", models: ["m"], memoryTokens: 1e6 }]);
    placement.applyAnnouncedLimit("e1", { limitPerS: PER_S, at: 0 });
    const sent: SentMessage[] = [];
    const lending = new LimitLending({
        name,
        clock,
        log: createLog("info", new Writable({ write: (_chunk, _encoding, done) => done() })),
        signal: end.signal,
        placements: [placement],
        live: () => ["h0", "h1"],
        send: (names, message) => void sent.push({ names, message }),
    });
    return { lending, placement, sent };
}

const ASK: LimitPeerMessage = {
    kind: "limitAsk",
    question: "h0/1",
    wants: [{ endpoint: "e1", perS: PER_S, count: 20 }],
};

function lentBy({ placement }: { readonly placement: Placement }): number {
    return placement.view.loans.get("e1")?.lent.reduce((sum, { count }) => sum + count, 0) ?? 0;
}

test("a host lends what it does not use, once for each question", t => {
    const host = createHost(t, "h1", 1);
    host.lending.receive("h0", ASK);
    host.lending.receive("h0", ASK);
    const answers = host.sent.filter(({ message }) => message.kind === "limitLend");
    t.is(answers.length, 1);
    t.like(answers[0], { names: ["h0"], message: { question: "h0/1", loans: [{ endpoint: "e1", count: 20 }] } });
    t.is(lentBy(host), 20);
});

test("a loan that was not asked for, or too long ago, is returned and not used", t => {
    const host = createHost(t, "h0", 0);
    host.lending.receive("h1", {
        kind: "limitLend",
        question: "h0/9",
        loans: [{ endpoint: "e1", perS: PER_S, count: 20 }],
    });
    t.deepEqual(host.sent.at(-1), {
        names: ["h1"],
        message: { kind: "limitReturn", id: "h0/9 h1", endpoints: ["e1"] },
    });
    t.is(host.placement.view.loans.get("e1"), undefined);
});

test("a lender takes back what is returned a span later", t => {
    const host = createHost(t, "h1", 1);
    host.lending.receive("h0", ASK);
    host.lending.receive("h0", { kind: "limitReturn", id: "h0/1 h1", endpoints: ["e1"] });
    t.is(host.placement.view.loans.get("e1")!.lent[0]!.until, 60_000 + 4_000);
});

test("a host that starts tells its peers that its earlier loans are over", async t => {
    const host = createHost(t, "h1", 1);
    await new Promise(resolve => setTimeout(resolve, 400));
    t.deepEqual(host.sent.filter(({ message }) => message.kind === "limitReset"), [
        { names: ["h0"], message: { kind: "limitReset" } },
    ]);
});
