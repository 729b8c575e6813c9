import test from "ava";
import {
    applyChanges,
    EMPTY_REGISTRY,
    type EndpointEntry,
    EndpointState,
    learnIncarnation,
    type Registry,
    type RegistryChange,
    replaceRegistrations,
    warmTimeOf,
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

/** The registry after changes, each applied at its own time. */
function registryAfter(...changes: readonly (readonly [number, RegistryChange])[]): Registry {
    return changes.reduce((registry, [now, change]) => applyChanges(registry, [change], now), EMPTY_REGISTRY);
}

function warmTime(registry: Registry, incarnation = "i-1@1"): number {
    return warmTimeOf(registry.endpoints.get(incarnation)!, SERVICE, registry.halls);
}

const evacuated: RegistryChange = { kind: "evacuated", hall: "h1" };
const reopened: RegistryChange = { kind: "reopened", hall: "h1" };

test("an endpoint is cold for as long as its registration declares, from when the host learnt of it", t => {
    t.is(warmTime(registryAfter([500, registered(entryOf("i-1", { coldMs: 800 }))])), 1_300);
    t.is(warmTime(registryAfter([500, registered(entryOf("i-1"))])), -Infinity);
});

test("a repeated registration does not restart the cold period; a different one replaces it", t => {
    const cold = registered(entryOf("i-1", { coldMs: 800 }));
    t.is(warmTime(registryAfter([500, cold], [900, cold])), 1_300);
    t.is(warmTime(registryAfter([500, cold], [900, registered(entryOf("i-1", { coldMs: 5_000 }))])), 5_900);
    t.is(warmTime(registryAfter([500, cold], [900, registered(entryOf("i-1"))])), -Infinity);
});

test("a later incarnation that declares no cold time is cold for as long as its service declares", t => {
    const later = learnIncarnation(registryAfter([0, registered(entryOf("i-1"))]), { id: "i-1", born: 2 }, 700);
    t.is(warmTime(later, "i-1@2"), 1_700);
});

test("the endpoints of a reopened hall are cold until they register again", t => {
    const returned = registryAfter([0, registered(entryOf("i-1"))], [100, evacuated], [5_000, reopened]);
    t.is(warmTime(returned), 6_000);
    const other = registryAfter([0, registered(entryOf("i-1", { hall: "h2" }))], [100, evacuated], [5_000, reopened]);
    t.is(warmTime(other), -Infinity);
    const told = applyChanges(returned, [registered(entryOf("i-1", { coldMs: 300 }))], 5_100);
    t.is(warmTime(told), 5_400);
});

test("a complete read replaces the evacuations and detects one that has ended", t => {
    const standing = registryAfter([0, evacuated]);
    t.deepEqual([...replaceRegistrations(standing, [], [], ["h2"], 9).halls.evacuated], ["h2"]);
    t.is(replaceRegistrations(standing, [], [], ["h2"], 9).halls.reopenedAt.get("h1"), 9);
    t.is(applyChanges(standing, [evacuated], 5).halls, standing.halls);
});
