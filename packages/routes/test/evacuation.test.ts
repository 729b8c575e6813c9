import test from "ava";
import {
    applyChanges,
    EMPTY_REGISTRY,
    type EndpointEntry,
    EndpointState,
    meetLife,
    type Registry,
    type RegistryChange,
    replaceAll,
    warmAt,
} from "../src/index.js";

const SERVICE = { coldMs: 1_000 };

function entryOf(id: string, parts: Partial<EndpointEntry> = {}): EndpointEntry {
    return {
        incarnation: `${id}@1`,
        id,
        born: 1,
        service: "engines",
        address: "10.0.0.1:80",
        hall: "h1",
        slots: 8,
        state: EndpointState.Ready,
        coldMs: 0,
        software: "v1",
        ...parts,
    };
}

const registered = (entry: EndpointEntry): RegistryChange => ({ kind: "registered", entry });

/** A registry that took in changes, one at each of these times. */
function after(...changes: readonly (readonly [number, RegistryChange])[]): Registry {
    return changes.reduce((registry, [now, change]) => applyChanges(registry, [change], now), EMPTY_REGISTRY);
}

function warmTime(registry: Registry, incarnation = "i-1@1"): number {
    return warmAt(registry.endpoints.get(incarnation)!, SERVICE, registry.halls);
}

const evacuated: RegistryChange = { kind: "evacuated", hall: "h1" };
const reopened: RegistryChange = { kind: "reopened", hall: "h1" };

test("an endpoint is cold for as long as its registration says, counted from when it was heard", t => {
    t.is(warmTime(after([500, registered(entryOf("i-1", { coldMs: 800 }))])), 1_300);
    t.is(warmTime(after([500, registered(entryOf("i-1"))])), -Infinity);
});

test("a registration that is told again says nothing new of its warmth; one that says otherwise does", t => {
    const cold = registered(entryOf("i-1", { coldMs: 800 }));
    t.is(warmTime(after([500, cold], [900, cold])), 1_300);
    t.is(warmTime(after([500, cold], [900, registered(entryOf("i-1", { coldMs: 5_000 }))])), 5_900);
    t.is(warmTime(after([500, cold], [900, registered(entryOf("i-1"))])), -Infinity);
});

test("a later life that has not said how cold it is is taken for cold as long as its service declares", t => {
    const later = meetLife(after([0, registered(entryOf("i-1"))]), { id: "i-1", born: 2 }, 700);
    t.is(warmTime(later, "i-1@2"), 1_700);
});

test("the endpoints of a hall that is taken back are cold until they say otherwise", t => {
    const returned = after([0, registered(entryOf("i-1"))], [100, evacuated], [5_000, reopened]);
    t.is(warmTime(returned), 6_000);
    const other = after([0, registered(entryOf("i-1", { hall: "h2" }))], [100, evacuated], [5_000, reopened]);
    t.is(warmTime(other), -Infinity);
    const told = applyChanges(returned, [registered(entryOf("i-1", { coldMs: 300 }))], 5_100);
    t.is(warmTime(told), 5_400);
});

test("evacuations follow what was read of them, and an end that was missed is seen", t => {
    const standing = after([0, evacuated]);
    t.deepEqual([...replaceAll(standing, [], [], ["h2"], 9).halls.evacuated], ["h2"]);
    t.is(replaceAll(standing, [], [], ["h2"], 9).halls.reopened.get("h1"), 9);
    t.is(applyChanges(standing, [evacuated], 5).halls, standing.halls);
});
