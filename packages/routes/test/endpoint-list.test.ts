import test from "ava";
import { type EndpointEntry, EndpointState, readEndpoints, writeEndpoints } from "../src/index.js";

function entryOf(parts: Partial<EndpointEntry> = {}): EndpointEntry {
    return {
        incarnation: "i-1",
        id: "i-1",
        born: undefined,
        service: "app",
        address: "10.0.0.1:80",
        hall: "hall-1",
        slots: 8,
        state: EndpointState.Ready,
        coldMs: 0,
        software: "v1",
        ...parts,
    };
}

test("endpoints are read as they were written", t => {
    const again = entryOf({ incarnation: "i-1@1700", born: 1_700 });
    const entries = [again, entryOf({ incarnation: "i-2", id: "i-2", state: EndpointState.Leaving })];
    t.deepEqual(readEndpoints(writeEndpoints(entries)), { ok: true, value: entries, bad: [] });
});

const NO_LISTS: Readonly<Record<string, { readonly text: string; readonly kind: string }>> = {
    "no JSON": { text: "{", kind: "notJson" },
    "no list": { text: "{}", kind: "notList" },
};

for (const [name, { text, kind }] of Object.entries(NO_LISTS)) {
    test(`${name} is a typed error`, t => {
        t.like(readEndpoints(text), { ok: false, err: { kind } });
    });
}

const BAD_ENDPOINTS: Readonly<Record<string, { readonly item: unknown; readonly at: string }>> = {
    "an endpoint without an address": { item: { ...entryOf(), address: undefined }, at: "/1/address" },
    "an unknown state": { item: { ...entryOf(), state: "asleep" }, at: "/1/state" },
    "a life that is no whole number": { item: { ...entryOf(), born: 1.5 }, at: "/1/born" },
    "no endpoint at all": { item: null, at: "/1" },
};

for (const [name, { item, at }] of Object.entries(BAD_ENDPOINTS)) {
    test(`${name} names none to use; the others hold`, t => {
        const good = entryOf({ incarnation: "i-2", id: "i-2" });
        const read = readEndpoints(JSON.stringify([good, item]));
        t.like(read, { ok: true, value: [good] });
        t.deepEqual(read.ok && read.bad.map(bad => bad.at), [at]);
    });
}
