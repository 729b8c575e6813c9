import test from "ava";
import fc from "fast-check";
import { EventSplitter } from "../src/index.js";

const EVENTS = [
    "id: 1\ndata: a\n\n",
    "id: 2\r\ndata: b\r\n\r\n",
    ":comment\n\n",
    "\n",
    "id: 3\nversions: 4\ndata: ü\n\n",
];

test("events are complete and unchanged, however the bytes are divided into chunks", t => {
    const bytes = Buffer.from(EVENTS.join(""));
    fc.assert(fc.property(fc.array(fc.nat(bytes.length)), cuts => {
        const splitter = new EventSplitter();
        const ends = [...cuts.toSorted((a, b) => a - b), bytes.length];
        let start = 0;
        const out: string[] = [];
        for (const end of ends) {
            for (const event of splitter.push(bytes.subarray(start, end))) out.push(event.bytes.toString());
            start = end;
        }
        t.deepEqual(out, EVENTS);
        t.is(splitter.unfinished.length, 0);
    }));
});

test("ids are parsed, and an incomplete event is held back", t => {
    const splitter = new EventSplitter();
    t.deepEqual(splitter.push(Buffer.from(`${EVENTS.join("")}id: 4\ndata`)).map(event => event.id), [
        "1",
        "2",
        undefined,
        undefined,
        "3",
    ]);
    t.is(splitter.unfinished.toString(), "id: 4\ndata");
});
