import test from "ava";
import {
    adoptPeerEndpoints,
    applyChanges,
    EMPTY_REGISTRY,
    type EndpointEntry,
    EndpointState,
    expireGracePeriods,
    type Registry,
    type RegistryChange,
    replaceRegistrations,
    RESTORE_GRACE_MS,
    storeRestored,
} from "../src/index.js";

/** When the store was restored from an older copy. */
const RESTORED_AT = 10_000;
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

/** The registry after the host has detected the restore and read the store. */
function readRestored(
    before: Registry,
    entries: readonly EndpointEntry[],
    evacuated: readonly string[] = [],
): Registry {
    return replaceRegistrations(storeRestored(before, RESTORED_AT), entries, [], evacuated, RESTORED_AT);
}

function statesOf({ endpoints }: Registry): Readonly<Record<string, EndpointState>> {
    return Object.fromEntries([...endpoints.values()].map(({ entry }) => [entry.incarnation, entry.state]));
}

const leaving = registryAfter(registered(entryOf("a")), registered(entryOf("b")), registered(entryOf("a", Leaving)));
const departed = registryAfter(registered(entryOf("a")), registered(entryOf("b")), { kind: "gone", id: "a" });
const evacuated = registryAfter({ kind: "evacuated", hall: "hall-2" });
const olderCopy = [entryOf("a"), entryOf("b")];

test("an endpoint that announced that it is leaving stays leaving", t => {
    t.deepEqual(statesOf(readRestored(leaving, olderCopy)), { "a@1": Leaving, "b@1": Ready });
});

test("an endpoint that had departed stays departed", t => {
    const back = readRestored(departed, olderCopy);
    t.deepEqual(statesOf(back), { "b@1": Ready });
    t.true(back.departed.has("a@1"));
});

test("an endpoint that had departed stays departed if a peer reports the restored store", t => {
    const adopted = adoptPeerEndpoints(storeRestored(departed, RESTORED_AT), olderCopy, [], RESTORED_AT);
    t.deepEqual(statesOf(adopted), { "b@1": Ready });
});

test("an endpoint that had departed stays departed after a second read", t => {
    t.deepEqual(
        statesOf(replaceRegistrations(readRestored(departed, olderCopy), olderCopy, [], [], RESTORED_AT + 1_000)),
        {
            "b@1": Ready,
        },
    );
});

test("an endpoint that registers again is accepted as registered", t => {
    const again = applyChanges(readRestored(departed, olderCopy), [registered(entryOf("a"))], RESTORED_AT + 100);
    t.deepEqual(statesOf(again), { "a@1": Ready, "b@1": Ready });
    t.deepEqual(statesOf(expireGracePeriods(again, RESTORED_AT + RESTORE_GRACE_MS)), { "a@1": Ready, "b@1": Ready });
});

test("a later incarnation accepts new calls at once", t => {
    for (const before of [leaving, departed]) {
        t.is(statesOf(readRestored(before, [entryOf("a", Ready, 2), entryOf("b")]))["a@2"], Ready);
    }
});

test("an endpoint that the copy lacks is kept for the grace period, in which it can register again", t => {
    const back = readRestored(registryAfter(registered(entryOf("a")), registered(entryOf("b"))), [entryOf("b")]);
    t.deepEqual(statesOf(back), { "a@1": Ready, "b@1": Ready });
    t.deepEqual(statesOf(expireGracePeriods(back, RESTORED_AT + RESTORE_GRACE_MS)), { "b@1": Ready });
});

test("after the grace period the store's contents apply even if nothing was written again", t => {
    for (const before of [leaving, departed]) {
        const back = readRestored(before, olderCopy);
        t.is(expireGracePeriods(back, RESTORED_AT + RESTORE_GRACE_MS - 1), back);
        t.deepEqual(statesOf(expireGracePeriods(back, RESTORED_AT + RESTORE_GRACE_MS)), { "a@1": Ready, "b@1": Ready });
    }
});

test("a registration that vanishes in the grace period does not return", t => {
    const gone = applyChanges(readRestored(departed, olderCopy), [{ kind: "gone", id: "a" }], RESTORED_AT + 3_000);
    t.deepEqual(statesOf(expireGracePeriods(gone, RESTORED_AT + RESTORE_GRACE_MS)), { "b@1": Ready });
});

test("an evacuation that the copy lacks stays in force until the operator writes again or the grace period ends", t => {
    const back = readRestored(evacuated, []);
    t.deepEqual([...back.halls.evacuated], ["hall-2"]);
    const reopened = applyChanges(back, [{ kind: "reopened", hall: "hall-2" }], RESTORED_AT + 100);
    t.deepEqual([...reopened.halls.evacuated], []);
    const again = applyChanges(back, [{ kind: "evacuated", hall: "hall-2" }], RESTORED_AT + 100);
    t.deepEqual([...expireGracePeriods(again, RESTORED_AT + RESTORE_GRACE_MS).halls.evacuated], ["hall-2"]);
    t.deepEqual([...expireGracePeriods(back, RESTORED_AT + RESTORE_GRACE_MS).halls.evacuated], []);
});

test("an evacuation that the copy contains is in force", t => {
    t.deepEqual([...readRestored(registryAfter(), [], ["hall-2"]).halls.evacuated], ["hall-2"]);
});

test("without a restore the store's contents apply at once", t => {
    t.deepEqual(statesOf(replaceRegistrations(departed, olderCopy, [], [], RESTORED_AT)), {
        "a@1": Ready,
        "b@1": Ready,
    });
    t.deepEqual([...replaceRegistrations(evacuated, [], [], [], RESTORED_AT).halls.evacuated], []);
});
