import type { EndpointWord } from "@drumpaddle/hall";
import { createClock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { NoticeSharing } from "../src/peers/notice-sharing.js";
import type { NoticePeerMessage } from "../src/peers/peer-messages.js";

const KNOWN: readonly EndpointWord[] = [{ endpoint: "e1", leaves: false, limit: { perS: 2.3, agoMs: 40 } }];
const NEWS: readonly EndpointWord[] = [{ endpoint: "e2", leaves: true }];

interface Sent {
    readonly names: readonly string[];
    readonly message: NoticePeerMessage;
}

/** A host among others that knows something, and what it sends; `hear` says what of a message is news. */
function sharingOf(
    t: ExecutionContext,
    live: readonly string[],
    known = KNOWN,
    hear = (words: readonly EndpointWord[]) => words,
): { readonly sharing: NoticeSharing; readonly sent: Sent[] } {
    const end = new AbortController();
    t.teardown(() => end.abort());
    const sent: Sent[] = [];
    const sharing = new NoticeSharing({
        name: "h0",
        clock: createClock(),
        signal: end.signal,
        live: () => live,
        send: (names, message) => void sent.push({ names, message }),
        learn: hear,
        all: () => known,
    });
    return { sharing, sent };
}

test("a host that starts asks a peer, and is ready with its answer", t => {
    const { sharing, sent } = sharingOf(t, ["h0", "h1"], []);
    t.deepEqual(sent, [{ names: ["h1"], message: { kind: "saidAsk" } }]);
    t.false(sharing.isReady);
    sharing.receive("h1", { kind: "said", words: NEWS, isAll: false });
    t.false(sharing.isReady);
    sharing.receive("h1", { kind: "said", words: [], isAll: true });
    t.true(sharing.isReady);
});

test("a peer that asks is told everything, also where that is nothing", t => {
    for (const known of [KNOWN, []]) {
        const { sharing, sent } = sharingOf(t, ["h0"], known);
        sharing.receive("h1", { kind: "saidAsk" });
        t.deepEqual(sent.at(-1), { names: ["h1"], message: { kind: "said", words: known, isAll: true } });
    }
});

test("what is known is told to three hosts again, however many there are", t => {
    const { sent } = sharingOf(t, Array.from({ length: 400 }, (_, at) => `h${at}`));
    const again = sent.filter(({ message }) => message.kind === "said");
    t.deepEqual(again.map(({ names }) => names.length), [3]);
    t.deepEqual(again.map(({ message }) => message), [{ kind: "said", words: KNOWN, isAll: false }]);
});

test("what was not known is passed on to six hosts, the rest is not", t => {
    const live = Array.from({ length: 400 }, (_, at) => `h${at}`);
    const { sharing, sent } = sharingOf(t, live, [], words => words.filter(({ endpoint }) => endpoint === "e2"));
    const before = sent.length;
    sharing.receive("h1", { kind: "said", words: [...KNOWN, ...NEWS], isAll: false });
    sharing.receive("h1", { kind: "said", words: KNOWN, isAll: false });
    t.deepEqual(sent.slice(before).map(({ message }) => message), [{ kind: "said", words: NEWS, isAll: false }]);
    t.is(sent.at(-1)!.names.length, 6);
});
