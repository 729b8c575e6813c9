import test from "ava";
import {
    adoptEndpoints,
    applyChanges,
    EMPTY_REGISTRY,
    type EndpointEntry,
    EndpointState,
    type Registry,
    type RegistryChange,
    replaceAll,
    settle,
    SETTLE_MS,
    storeRestored,
} from "../src/index.js";

/** When the store came back from an older copy. */
const BACK = 10_000;
const { Ready, Leaving } = EndpointState;

function entryOf(id: string, state: EndpointState = Ready, born = 1): EndpointEntry {
    return {
        incarnation: `${id}@${born}`,
        id,
        born,
        service: "app",
        address: "10.0.0.1:80",
        hall: "hall-1",
        slots: 8,
        state,
        coldMs: undefined,
        software: "v1",
    };
}

function registryAfter(...changes: readonly RegistryChange[]): Registry {
    return changes.reduce((registry, change) => applyChanges(registry, [change], 1_000), EMPTY_REGISTRY);
}

function registered(entry: EndpointEntry): RegistryChange {
    return { kind: "registered", entry };
}

/** The registry after the store was found to have come back and was read. */
function readBack(before: Registry, entries: readonly EndpointEntry[], evacuated: readonly string[] = []): Registry {
    return replaceAll(storeRestored(before, BACK), entries, [], evacuated, BACK);
}

function statesOf({ endpoints }: Registry): Readonly<Record<string, EndpointState>> {
    return Object.fromEntries([...endpoints.values()].map(({ entry }) => [entry.incarnation, entry.state]));
}

const leaving = registryAfter(registered(entryOf("a")), registered(entryOf("b")), registered(entryOf("a", Leaving)));
const departed = registryAfter(registered(entryOf("a")), registered(entryOf("b")), { kind: "gone", id: "a" });
const evacuated = registryAfter({ kind: "evacuated", hall: "hall-2" });
const copied = [entryOf("a"), entryOf("b")];

test("an endpoint that said that it leaves goes on to leave", t => {
    t.deepEqual(statesOf(readBack(leaving, copied)), { "a@1": Leaving, "b@1": Ready });
});

test("one that had departed stays so", t => {
    const back = readBack(departed, copied);
    t.deepEqual(statesOf(back), { "b@1": Ready });
    t.true(back.departed.has("a@1"));
});

test("the same holds for what a peer tells of the store's new history", t => {
    const adopted = adoptEndpoints(storeRestored(departed, BACK), copied, [], BACK);
    t.deepEqual(statesOf(adopted), { "b@1": Ready });
});

test("and for a second read", t => {
    t.deepEqual(statesOf(replaceAll(readBack(departed, copied), copied, [], [], BACK + 1_000)), { "b@1": Ready });
});

test("an endpoint that writes again is what it writes", t => {
    const again = applyChanges(readBack(departed, copied), [registered(entryOf("a"))], BACK + 100);
    t.deepEqual(statesOf(again), { "a@1": Ready, "b@1": Ready });
    t.deepEqual(statesOf(settle(again, BACK + SETTLE_MS)), { "a@1": Ready, "b@1": Ready });
});

test("a later life takes new work at once", t => {
    for (const before of [leaving, departed]) {
        t.is(statesOf(readBack(before, [entryOf("a", Ready, 2), entryOf("b")]))["a@2"], Ready);
    }
});

test("one that the copy lacks is kept for a while, as its registration is written again", t => {
    const back = readBack(registryAfter(registered(entryOf("a")), registered(entryOf("b"))), [entryOf("b")]);
    t.deepEqual(statesOf(back), { "a@1": Ready, "b@1": Ready });
    t.deepEqual(statesOf(settle(back, BACK + SETTLE_MS)), { "b@1": Ready });
});

test("what stands in the store after a while counts, also where nobody has written again", t => {
    for (const before of [leaving, departed]) {
        const back = readBack(before, copied);
        t.is(settle(back, BACK + SETTLE_MS - 1), back);
        t.deepEqual(statesOf(settle(back, BACK + SETTLE_MS)), { "a@1": Ready, "b@1": Ready });
    }
});

test("what vanishes meanwhile does not come back", t => {
    const gone = applyChanges(readBack(departed, copied), [{ kind: "gone", id: "a" }], BACK + 3_000);
    t.deepEqual(statesOf(settle(gone, BACK + SETTLE_MS)), { "b@1": Ready });
});

test("an evacuation that the copy lacks stands until the operator has written again, or for a while", t => {
    const back = readBack(evacuated, []);
    t.deepEqual([...back.halls.evacuated], ["hall-2"]);
    const reopened = applyChanges(back, [{ kind: "reopened", hall: "hall-2" }], BACK + 100);
    t.deepEqual([...reopened.halls.evacuated], []);
    const again = applyChanges(back, [{ kind: "evacuated", hall: "hall-2" }], BACK + 100);
    t.deepEqual([...settle(again, BACK + SETTLE_MS).halls.evacuated], ["hall-2"]);
    t.deepEqual([...settle(back, BACK + SETTLE_MS).halls.evacuated], []);
});

test("an evacuation that the copy holds is obeyed", t => {
    t.deepEqual([...readBack(registryAfter(), [], ["hall-2"]).halls.evacuated], ["hall-2"]);
});

test("without a return from a copy the store's word counts at once", t => {
    t.deepEqual(statesOf(replaceAll(departed, copied, [], [], BACK)), { "a@1": Ready, "b@1": Ready });
    t.deepEqual([...replaceAll(evacuated, [], [], [], BACK).halls.evacuated], []);
});
