import type { EndpointNotice } from "@drumpaddle/hall";
import type { Clock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { NoticeSharing } from "../src/peers/notice-sharing.js";
import type { NoticePeerMessage } from "../src/peers/peer-messages.js";

const KNOWN: readonly EndpointNotice[] = [{ endpoint: "e1", leaves: false, limit: { perS: 2.3, agoMs: 40 } }];
const NEWS: readonly EndpointNotice[] = [{ endpoint: "e2", leaves: true }];

interface SentMessage {
    readonly names: readonly string[];
    readonly message: NoticePeerMessage;
}

/** Longer than a host without peers waits for others. */
const ALONE_MS = 500;

/** A clock that is set by hand. */
interface ManualClock extends Clock {
    time: number;
}

function manualClock(): ManualClock {
    const clock: ManualClock = {
        time: 0,
        now: () => clock.time,
        awakeMs: () => clock.time,
        onWake: () => undefined,
    };
    return clock;
}

/** The sharing of host `h0`, which knows some notices, and what it sends. `learn` returns the new notices of a message. */
function createSharing(
    t: ExecutionContext,
    live: readonly string[],
    known = KNOWN,
    learn = (words: readonly EndpointNotice[]) => words,
    knowsEndpoints = () => true,
): { readonly sharing: NoticeSharing; readonly sent: SentMessage[]; readonly clock: ManualClock } {
    const end = new AbortController();
    t.teardown(() => end.abort());
    const sent: SentMessage[] = [];
    const clock = manualClock();
    const sharing = new NoticeSharing({
        name: "h0",
        clock,
        signal: end.signal,
        live: () => live,
        hasPeers: () => live.length > 1,
        knowsEndpoints,
        onStarted: () => undefined,
        send: (names, message) => void sent.push({ names, message }),
        learn,
        all: () => known,
    });
    return { sharing, sent, clock };
}

test("a starting host asks a peer, and is ready when the peer has sent all its notices", t => {
    const { sharing, sent } = createSharing(t, ["h0", "h1"], []);
    t.deepEqual(sent, [{ names: ["h1"], message: { kind: "saidAsk" } }]);
    t.false(sharing.isReady);
    sharing.receive("h1", { kind: "said", words: NEWS, isAll: false });
    t.false(sharing.isReady);
    sharing.receive("h1", { kind: "said", words: [], isAll: true });
    t.true(sharing.isReady);
});

// Guards against a notice that is dropped because the host doesn't know its endpoint yet.
test("a starting host asks, and counts an answer, only once it knows the endpoints", t => {
    let knows = false;
    const { sharing, sent } = createSharing(t, ["h0", "h1"], [], words => words, () => knows);
    t.deepEqual(sent, []);
    sharing.receive("h1", { kind: "said", words: KNOWN, isAll: true });
    t.false(sharing.isReady);
    knows = true;
    sharing.receive("h1", { kind: "said", words: KNOWN, isAll: true });
    t.true(sharing.isReady);
});

test("a peer that asks is sent all notices, even if there are none, but not by a host that is starting itself", t => {
    for (const known of [KNOWN, []]) {
        const { sharing, sent, clock } = createSharing(t, ["h0"], known);
        sharing.receive("h1", { kind: "saidAsk" });
        t.false(sent.some(({ names }) => names.includes("h1")));
        clock.time = ALONE_MS;
        sharing.receive("h1", { kind: "saidAsk" });
        t.deepEqual(sent.at(-1), { names: ["h1"], message: { kind: "said", words: known, isAll: true } });
    }
});

test("known notices are repeated to three of any number of hosts", t => {
    const { sent } = createSharing(t, Array.from({ length: 400 }, (_, at) => `h${at}`));
    const again = sent.filter(({ message }) => message.kind === "said");
    t.deepEqual(again.map(({ names }) => names.length), [3]);
    t.deepEqual(again.map(({ message }) => message), [{ kind: "said", words: KNOWN, isAll: false }]);
});

test("only new notices are passed on, to six hosts", t => {
    const live = Array.from({ length: 400 }, (_, at) => `h${at}`);
    const { sharing, sent } = createSharing(t, live, [], words => words.filter(({ endpoint }) => endpoint === "e2"));
    const before = sent.length;
    sharing.receive("h1", { kind: "said", words: [...KNOWN, ...NEWS], isAll: false });
    sharing.receive("h1", { kind: "said", words: KNOWN, isAll: false });
    t.deepEqual(sent.slice(before).map(({ message }) => message), [{ kind: "said", words: NEWS, isAll: false }]);
    t.is(sent.at(-1)!.names.length, 6);
});
