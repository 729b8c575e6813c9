import type { QuarantineNews } from "@drumpaddle/hall";
import { createClock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import type { QuarantinePeerMessage } from "../src/peers/peer-messages.js";
import { QuarantineSharing } from "../src/peers/quarantine-sharing.js";

const NOTHING: QuarantineNews = { endings: [], trials: [] };
const NEWS: QuarantineNews = {
    endings: [{ life: "e1", agoMs: 0, requests: [] }],
    trials: [],
};

interface SentMessage {
    readonly names: readonly string[];
    readonly message: QuarantinePeerMessage;
}

/** The sharing of host `h0`, what it sends and what it learns. */
function createSharing(
    t: ExecutionContext,
    live: readonly string[],
): { readonly sharing: QuarantineSharing; readonly sent: SentMessage[]; readonly heard: QuarantineNews[] } {
    const end = new AbortController();
    t.teardown(() => end.abort());
    const sent: SentMessage[] = [];
    const heard: QuarantineNews[] = [];
    const sharing = new QuarantineSharing({
        name: "h0",
        clock: createClock(),
        signal: end.signal,
        live: () => live,
        hasPeers: () => live.length > 1,
        onStarted: () => undefined,
        send: (names, message) => void sent.push({ names, message }),
        learn: news => void heard.push(news),
        all: () => NEWS,
        digest: () => 7,
    });
    return { sharing, sent, heard };
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

test("a starting host asks a peer, and is ready when the peer has sent everything", t => {
    const { sharing, sent, heard } = createSharing(t, ["h0", "h1"]);
    t.deepEqual(sent, [{ names: ["h1"], message: { kind: "quarantineAsk" } }]);
    t.false(sharing.isReady);
    sharing.receive("h1", { kind: "quarantine", isAll: false, ...NOTHING });
    t.false(sharing.isReady);
    sharing.receive("h1", { kind: "quarantine", isAll: true, ...NEWS });
    t.true(sharing.isReady);
    t.is(heard.length, 2);
});

test("a host without peers becomes ready after a wait", async t => {
    const { sharing } = createSharing(t, ["h0"]);
    t.false(sharing.isReady);
    await pause(600);
    t.true(sharing.isReady);
});

test("a peer that asks, or whose digest differs, is sent everything; one with the same digest is sent nothing", async t => {
    const { sharing, sent } = createSharing(t, ["h0"]);
    sharing.receive("h1", { kind: "quarantineAsk" });
    t.deepEqual(sent, [], "a host that is starting itself doesn't answer");
    await pause(600);
    sharing.receive("h1", { kind: "quarantineAsk" });
    t.like(sent.at(-1), { names: ["h1"], message: { kind: "quarantine", isAll: true } });
    sharing.receiveDigest("h2", 7);
    t.is(sent.length, 1);
    sharing.receiveDigest("h2", 8);
    t.like(sent.at(-1), { names: ["h2"], message: { kind: "quarantine", isAll: true } });
    // Full transfers are rate-limited.
    sharing.receiveDigest("h3", 8);
    t.is(sent.length, 2);
});

test("news of the same moment goes to six of any number of hosts in one message", async t => {
    const live = Array.from({ length: 400 }, (_, at) => `h${at}`);
    const { sharing, sent } = createSharing(t, live);
    const before = sent.length;
    sharing.share(NEWS);
    sharing.share(NEWS);
    await pause(30);
    const told = sent.slice(before).filter(({ message }) => message.kind === "quarantine");
    t.is(told.length, 1);
    t.is(new Set(told[0]!.names).size, 6);
    t.false(told[0]!.names.includes("h0"));
    t.is((told[0]!.message as QuarantineNews).endings.length, 2);
});
