import test from "ava";
import { type EndpointEntry, EndpointState, readEndpoints, writeEndpoints } from "../src/index.js";

function entryOf(parts: Partial<EndpointEntry> = {}): EndpointEntry {
    return {
        incarnation: "i-1",
        service: "app",
        address: "10.0.0.1:80",
        hall: "hall-1",
        slots: 8,
        state: EndpointState.Ready,
        coldMs: 0,
        ...parts,
    };
}

test("endpoints are read as they were written", t => {
    const entries = [entryOf(), entryOf({ incarnation: "i-2", state: EndpointState.Leaving })];
    t.deepEqual(readEndpoints(writeEndpoints(entries)), { ok: true, value: entries });
});

const MALFORMED: Readonly<Record<string, { readonly text: string; readonly kind: string }>> = {
    "no JSON": { text: "{", kind: "notJson" },
    "no list": { text: "{}", kind: "badEndpoint" },
    "an endpoint without an address": { text: `[{"incarnation":"i-1"}]`, kind: "badEndpoint" },
    "an unknown state": { text: JSON.stringify([{ ...entryOf(), state: "asleep" }]), kind: "badEndpoint" },
};

for (const [name, { text, kind }] of Object.entries(MALFORMED)) {
    test(`${name} is a typed error`, t => {
        const read = readEndpoints(text);
        t.like(read, { ok: false, err: { kind } });
    });
}
