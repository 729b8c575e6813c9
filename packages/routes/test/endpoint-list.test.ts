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

test("decoding an encoded list returns the same endpoints", t => {
    const again = entryOf({ incarnation: "i-1@1700", born: 1_700 });
    const entries = [again, entryOf({ incarnation: "i-2", id: "i-2", state: EndpointState.Leaving })];
    t.deepEqual(readEndpoints(writeEndpoints(entries)), { ok: true, value: entries, bad: [] });
});

const INVALID_LISTS: Readonly<Record<string, { readonly text: string; readonly kind: string }>> = {
    "text that is not JSON": { text: "{", kind: "notJson" },
    "JSON that is not a list": { text: "{}", kind: "notList" },
};

for (const [name, { text, kind }] of Object.entries(INVALID_LISTS)) {
    test(`${name} is a typed error`, t => {
        t.like(readEndpoints(text), { ok: false, err: { kind } });
    });
}

const INVALID_ENDPOINTS: Readonly<Record<string, { readonly item: unknown; readonly at: string }>> = {
    "an endpoint without an address": { item: { ...entryOf(), address: undefined }, at: "/1/address" },
    "an unknown state": { item: { ...entryOf(), state: "asleep" }, at: "/1/state" },
    "a start time that is not an integer": { item: { ...entryOf(), born: 1.5 }, at: "/1/born" },
    "a port that does not exist": { item: { ...entryOf(), address: "10.0.0.1:99999" }, at: "/1/address" },
    "port 0": { item: { ...entryOf(), address: "10.0.0.1:0" }, at: "/1/address" },
    "an entry that is not an object": { item: null, at: "/1" },
};

for (const [name, { item, at }] of Object.entries(INVALID_ENDPOINTS)) {
    test(`${name} is invalid; the other entries are accepted`, t => {
        const good = entryOf({ incarnation: "i-2", id: "i-2" });
        const read = readEndpoints(JSON.stringify([good, item]));
        t.like(read, { ok: true, value: [good] });
        t.deepEqual(read.ok && read.bad.map(bad => bad.at), [at]);
    });
}
