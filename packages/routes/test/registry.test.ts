import test from "ava";
import {
    adoptEndpoints,
    applyChanges,
    type Deployment,
    EMPTY_REGISTRY,
    type EndpointEntry,
    EndpointState,
    LAPSE_GRACE_MS,
    meetLife,
    nameOfLife,
    pickService,
    type Registry,
    replaceAll,
    type Route,
    RouteKind,
    RouteTable,
    settle,
    storeAnswered,
    storeFailed,
} from "../src/index.js";

function routeOf(name: string, host: string, prefix: string): Route {
    return {
        name,
        host,
        prefix,
        kind: RouteKind.Repeatable,
        timeoutMs: 1_000,
        objectiveMs: 100,
        gapMs: undefined,
        patienceMs: undefined,
        rank: 1,
        attempts: 1,
        isPublic: false,
        resumable: false,
        homes: undefined,
        services: [{ service: "app", weight: 1 }],
    };
}

function deploymentOf(routes: readonly Route[]): Deployment {
    return {
        version: 3,
        routes,
        services: [{ name: "app", maxConnections: 10, coldMs: 0, coldPerS: undefined, engine: undefined }],
        limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
        workspaces: [{ name: "payroll", keys: ["k1", "k2"], rank: undefined, homes: undefined }],
    };
}

const TABLE = RouteTable.of(deploymentOf([
    routeOf("all", "a.example", "/"),
    routeOf("deep", "a.example", "/x/y/"),
    routeOf("shallow", "a.example", "/x/"),
    routeOf("other", "b.example", "/x/"),
]));

const FOUND: Readonly<Record<string, readonly [host: string, target: string, name: string | undefined]>> = {
    "the longest prefix": ["a.example", "/x/y/z", "deep"],
    "a shorter prefix": ["a.example", "/x/yy", "shallow"],
    "a prefix ends with its slash": ["a.example", "/x", "all"],
    "a query is not of the path": ["a.example", "/?/x/y/", "all"],
    "a port and capitals in the host": ["A.Example:8080", "/x/y/", "deep"],
    "another host": ["b.example", "/x/y/", "other"],
    "no route of the host": ["b.example", "/", undefined],
    "no host": ["c.example", "/x/", undefined],
};

for (const [what, [host, target, name]] of Object.entries(FOUND)) {
    test(`route: ${what}`, t => t.is(TABLE.find(host, target)?.name, name));
}

test("keys name their workspace", t => {
    t.is(TABLE.workspaceOf("k2")?.name, "payroll");
    t.is(TABLE.workspaceOf("k3"), undefined);
    t.true(TABLE.usesKeys);
});

test("services get their part of the calls, and none gets any without weight", t => {
    const services = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }, { service: "c", weight: 0 }];
    t.deepEqual([0, 0.89, 0.91, 0.999].map(draw => pickService(services, draw)), ["a", "a", "b", "b"]);
    t.is(pickService([], 0.5), undefined);
});

function entryOf(id: string, state: EndpointState = EndpointState.Ready, born?: number): EndpointEntry {
    const incarnation = nameOfLife({ id, born });
    return {
        incarnation,
        id,
        born,
        service: "app",
        address: "10.0.0.1:80",
        hall: "h",
        slots: 1,
        state,
        coldMs: 0,
        software: "v1",
    };
}

function registryOf(...ids: readonly string[]): Registry {
    return replaceAll(EMPTY_REGISTRY, ids.map(id => entryOf(id)), [], [], 0);
}

function namesOf(registry: Registry): readonly string[] {
    return [...registry.endpoints.keys()].sort();
}

function gone(registry: Registry, id: string, now: number): Registry {
    return applyChanges(registry, [{ kind: "gone", id }], now);
}

function registered(registry: Registry, entry: EndpointEntry, now = 0): Registry {
    return applyChanges(registry, [{ kind: "registered", entry }], now);
}

test("a registration that goes while the store is well is gone at once, and remembered as departed", t => {
    const after = gone(registryOf("i-1", "i-2"), "i-1", 10);
    t.deepEqual(namesOf(after), ["i-2"]);
    t.true(after.departed.has("i-1"));
});

test("one that goes while the store is away is kept until its time to come back is over", t => {
    const away = gone(storeFailed(registryOf("i-1")), "i-1", 100);
    t.deepEqual(namesOf(settle(away, 60_000)), ["i-1"]);
    const back = storeAnswered(away, 70_000);
    t.deepEqual(namesOf(settle(back, 70_000 + LAPSE_GRACE_MS - 1)), ["i-1"]);
    t.deepEqual(namesOf(settle(back, 70_000 + LAPSE_GRACE_MS)), []);
});

test("one that goes just after the store's return may have lapsed in the outage", t => {
    const back = storeAnswered(storeFailed(registryOf("i-1")), 1_000);
    t.deepEqual(namesOf(gone(back, "i-1", 1_500)), ["i-1"]);
    t.deepEqual(namesOf(gone(back, "i-1", 1_000 + LAPSE_GRACE_MS)), []);
});

test("one that lapsed and registers again stays", t => {
    const lapsed = gone(storeFailed(registryOf("i-1")), "i-1", 0);
    const again = registered(storeAnswered(lapsed, 100), entryOf("i-1"), 200);
    t.deepEqual(namesOf(settle(again, 10_000)), ["i-1"]);
});

test("an endpoint that said that it leaves does not lapse: it is gone", t => {
    const leaving = registered(registryOf("i-1"), entryOf("i-1", EndpointState.Leaving));
    t.deepEqual(namesOf(gone(storeFailed(leaving), "i-1", 10)), []);
});

test("what a full read lacks has vanished, by the same rules", t => {
    t.deepEqual(namesOf(replaceAll(registryOf("i-1", "i-2"), [entryOf("i-2")], [], [], 5)), ["i-2"]);
    t.deepEqual(namesOf(replaceAll(storeFailed(registryOf("i-1", "i-2")), [entryOf("i-2")], [], [], 5)), [
        "i-1",
        "i-2",
    ]);
});

/** A registry with one endpoint, in the life that began then. */
function livingSince(born: number): Registry {
    return registered(EMPTY_REGISTRY, entryOf("i-1", EndpointState.Ready, born));
}

test("a later life ends the earlier one at once, whatever the store has been through", t => {
    for (const before of [livingSince(1_000), storeFailed(livingSince(1_000))]) {
        const after = registered(before, entryOf("i-1", EndpointState.Ready, 2_000), 10);
        t.deepEqual(namesOf(after), ["i-1@2000"]);
        t.true(after.departed.get("i-1@1000")?.isOver);
    }
});

test("an earlier life that is told late changes nothing, also when the later one has departed", t => {
    const early = entryOf("i-1", EndpointState.Leaving, 1_000);
    const later = livingSince(2_000);
    t.deepEqual(namesOf(registered(later, early)), ["i-1@2000"]);
    t.deepEqual(namesOf(replaceAll(later, [early], [], [], 5)), ["i-1@2000"]);
    t.deepEqual(namesOf(adoptEndpoints(later, [early], [], 5)), ["i-1@2000"]);
    t.deepEqual(namesOf(registered(gone(later, "i-1", 5), early, 6)), []);
});

test("an endpoint that does not say when it began is known by its id alone", t => {
    const known = livingSince(1_000);
    const again = registered(known, entryOf("i-1", EndpointState.Leaving));
    t.deepEqual(namesOf(again), ["i-1@1000"]);
    t.is(again.endpoints.get("i-1@1000")?.entry.state, EndpointState.Leaving);
    const named = registered(registryOf("i-1"), entryOf("i-1", EndpointState.Ready, 1_000));
    t.deepEqual(namesOf(named), ["i-1"]);
    t.deepEqual(namesOf(registered(named, entryOf("i-1", EndpointState.Ready, 2_000))), ["i-1@2000"]);
});

test("an endpoint's own word of a later life goes before its registration; any other changes nothing", t => {
    const known = livingSince(1_000);
    const met = meetLife(known, { id: "i-1", born: 2_000 }, 10);
    t.deepEqual(namesOf(met), ["i-1@2000"]);
    t.true(met.departed.get("i-1@1000")?.isOver);
    for (const born of [undefined, 1_000, 2_000]) t.is(meetLife(met, { id: "i-1", born }, 11), met);
    t.is(meetLife(met, { id: "i-2", born: 5_000 }, 11), met);
});

test("an endpoint that has departed does not come back by its own word, but its earlier life is over", t => {
    const met = meetLife(gone(livingSince(1_000), "i-1", 5), { id: "i-1", born: 2_000 }, 10);
    t.deepEqual(namesOf(met), []);
    t.true(met.departed.get("i-1@1000")?.isOver);
    t.deepEqual(namesOf(registered(met, entryOf("i-1", EndpointState.Ready, 1_000), 11)), []);
    t.deepEqual(namesOf(registered(met, entryOf("i-1", EndpointState.Ready, 2_000), 11)), ["i-1@2000"]);
});

test("a registration that cannot be read takes nothing new at once, is not over, and may be read again", t => {
    const away = storeFailed(livingSince(1_000));
    const unreadable = applyChanges(away, [{ kind: "unreadable", id: "i-1" }], 5);
    t.deepEqual(namesOf(unreadable), []);
    t.false(unreadable.departed.get("i-1@1000")?.isOver);
    t.deepEqual(namesOf(replaceAll(away, [], ["i-1"], [], 5)), []);
    t.deepEqual(namesOf(registered(unreadable, entryOf("i-1", EndpointState.Ready, 1_000), 6)), ["i-1@1000"]);
});
