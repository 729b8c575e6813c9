import test from "ava";
import {
    adoptPeerEndpoints,
    applyChanges,
    type Deployment,
    EMPTY_REGISTRY,
    type EndpointEntry,
    EndpointState,
    expireGracePeriods,
    incarnationOf,
    LAPSE_GRACE_MS,
    learnIncarnation,
    pickService,
    type Registry,
    replaceRegistrations,
    type Route,
    RouteKind,
    RouteTable,
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
        allowedRegions: undefined,
        services: [{ service: "app", weight: 1 }],
    };
}

function deploymentOf(routes: readonly Route[]): Deployment {
    return {
        version: 3,
        routes,
        services: [{ name: "app", maxConnections: 10, coldMs: 0, coldPerS: undefined, engine: undefined }],
        limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
        workspaces: [{ name: "payroll", keys: ["k1", "k2"], rank: undefined, allowedRegions: undefined }],
    };
}

const TABLE = RouteTable.of(deploymentOf([
    routeOf("all", "a.example", "/"),
    routeOf("deep", "a.example", "/x/y/"),
    routeOf("shallow", "a.example", "/x/"),
    routeOf("other", "b.example", "/x/"),
]));

const ROUTE_CASES: Readonly<Record<string, readonly [host: string, target: string, name: string | undefined]>> = {
    "the longest prefix": ["a.example", "/x/y/z", "deep"],
    "a shorter prefix": ["a.example", "/x/yy", "shallow"],
    "a prefix ends with its slash": ["a.example", "/x", "all"],
    "a query is not part of the path": ["a.example", "/?/x/y/", "all"],
    "a port and capitals in the host": ["A.Example:8080", "/x/y/", "deep"],
    "another host": ["b.example", "/x/y/", "other"],
    "no matching route of the host": ["b.example", "/", undefined],
    "no host": ["c.example", "/x/", undefined],
};

for (const [what, [host, target, name]] of Object.entries(ROUTE_CASES)) {
    test(`route: ${what}`, t => t.is(TABLE.findRoute(host, target)?.name, name));
}

test("a key identifies its workspace", t => {
    t.is(TABLE.workspaceOf("k2")?.name, "payroll");
    t.is(TABLE.workspaceOf("k3"), undefined);
    t.true(TABLE.requiresKeys);
});

test("services receive calls by weight, and none with a weight of 0", t => {
    const services = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }, { service: "c", weight: 0 }];
    t.deepEqual([0, 0.89, 0.91, 0.999].map(draw => pickService(services, draw)), ["a", "a", "b", "b"]);
    t.is(pickService([], 0.5), undefined);
});

function entryOf(id: string, state: EndpointState = EndpointState.Ready, born?: number): EndpointEntry {
    const incarnation = incarnationOf({ id, born });
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
    return replaceRegistrations(EMPTY_REGISTRY, ids.map(id => entryOf(id)), [], [], 0);
}

function incarnationsOf(registry: Registry): readonly string[] {
    return [...registry.endpoints.keys()].sort();
}

function gone(registry: Registry, id: string, now: number): Registry {
    return applyChanges(registry, [{ kind: "gone", id }], now);
}

function registered(registry: Registry, entry: EndpointEntry, now = 0): Registry {
    return applyChanges(registry, [{ kind: "registered", entry }], now);
}

test("an endpoint departs at once if its registration vanishes while the store answers", t => {
    const after = gone(registryOf("i-1", "i-2"), "i-1", 10);
    t.deepEqual(incarnationsOf(after), ["i-2"]);
    t.true(after.departed.has("i-1"));
});

test("an endpoint whose registration vanishes in an outage of the store is kept until the grace period ends", t => {
    const away = gone(storeFailed(registryOf("i-1")), "i-1", 100);
    t.deepEqual(incarnationsOf(expireGracePeriods(away, 60_000)), ["i-1"]);
    const back = storeAnswered(away, 70_000);
    t.deepEqual(incarnationsOf(expireGracePeriods(back, 70_000 + LAPSE_GRACE_MS - 1)), ["i-1"]);
    t.deepEqual(incarnationsOf(expireGracePeriods(back, 70_000 + LAPSE_GRACE_MS)), []);
});

test("an endpoint whose registration vanishes just after an outage may have lapsed in it", t => {
    const back = storeAnswered(storeFailed(registryOf("i-1")), 1_000);
    t.deepEqual(incarnationsOf(gone(back, "i-1", 1_500)), ["i-1"]);
    t.deepEqual(incarnationsOf(gone(back, "i-1", 1_000 + LAPSE_GRACE_MS)), []);
});

// Guards against requests to endpoints that have left: each watch that the store cut counted as an outage.
test("an endpoint whose registration vanishes after a cut watch has departed, since the store had just answered", t => {
    const back = storeAnswered(storeFailed(registryOf("i-1"), 900), 1_000);
    t.deepEqual(incarnationsOf(gone(back, "i-1", 1_100)), []);
});

test("an endpoint that a peer does not name has vanished, by the same rules", t => {
    const adopt = (registry: Registry, now: number): Registry =>
        adoptPeerEndpoints(registry, [entryOf("i-2")], [], now);
    t.deepEqual(incarnationsOf(adopt(registryOf("i-1", "i-2"), 5)), ["i-2"]);
    const back = adopt(storeAnswered(storeFailed(registryOf("i-1", "i-2")), 1_000), 1_500);
    t.deepEqual(incarnationsOf(back).toSorted(), ["i-1", "i-2"]);
    t.deepEqual(incarnationsOf(expireGracePeriods(back, 1_000 + LAPSE_GRACE_MS)), ["i-2"]);
});

test("an endpoint that lapsed and registers again stays", t => {
    const lapsed = gone(storeFailed(registryOf("i-1")), "i-1", 0);
    const again = registered(storeAnswered(lapsed, 100), entryOf("i-1"), 200);
    t.deepEqual(incarnationsOf(expireGracePeriods(again, 10_000)), ["i-1"]);
});

test("an endpoint that announced that it is leaving departs at once, even in an outage", t => {
    const leaving = registered(registryOf("i-1"), entryOf("i-1", EndpointState.Leaving));
    t.deepEqual(incarnationsOf(gone(storeFailed(leaving), "i-1", 10)), []);
});

test("an endpoint that a complete read lacks has vanished, by the same rules", t => {
    t.deepEqual(incarnationsOf(replaceRegistrations(registryOf("i-1", "i-2"), [entryOf("i-2")], [], [], 5)), ["i-2"]);
    t.deepEqual(
        incarnationsOf(replaceRegistrations(storeFailed(registryOf("i-1", "i-2")), [entryOf("i-2")], [], [], 5)),
        [
            "i-1",
            "i-2",
        ],
    );
});

/** A registry with one endpoint, in the incarnation that started at `born`. */
function registryWithStart(born: number): Registry {
    return registered(EMPTY_REGISTRY, entryOf("i-1", EndpointState.Ready, born));
}

test("a later incarnation replaces the earlier one at once, even in an outage of the store", t => {
    for (const before of [registryWithStart(1_000), storeFailed(registryWithStart(1_000))]) {
        const after = registered(before, entryOf("i-1", EndpointState.Ready, 2_000), 10);
        t.deepEqual(incarnationsOf(after), ["i-1@2000"]);
        t.true(after.departed.get("i-1@1000")?.isOver);
    }
});

test("a late report of an earlier incarnation is ignored, even if the later one has departed", t => {
    const early = entryOf("i-1", EndpointState.Leaving, 1_000);
    const later = registryWithStart(2_000);
    t.deepEqual(incarnationsOf(registered(later, early)), ["i-1@2000"]);
    t.deepEqual(incarnationsOf(replaceRegistrations(later, [early], [], [], 5)), ["i-1@2000"]);
    t.deepEqual(incarnationsOf(adoptPeerEndpoints(later, [early], [], 5)), ["i-1@2000"]);
    t.deepEqual(incarnationsOf(registered(gone(later, "i-1", 5), early, 6)), []);
});

test("an endpoint that declares no start time is identified by its id alone", t => {
    const known = registryWithStart(1_000);
    const again = registered(known, entryOf("i-1", EndpointState.Leaving));
    t.deepEqual(incarnationsOf(again), ["i-1@1000"]);
    t.is(again.endpoints.get("i-1@1000")?.entry.state, EndpointState.Leaving);
    const named = registered(registryOf("i-1"), entryOf("i-1", EndpointState.Ready, 1_000));
    t.deepEqual(incarnationsOf(named), ["i-1"]);
    t.deepEqual(incarnationsOf(registered(named, entryOf("i-1", EndpointState.Ready, 2_000))), ["i-1@2000"]);
});

test("a later incarnation is accepted before its registration; any other is ignored", t => {
    const known = registryWithStart(1_000);
    const met = learnIncarnation(known, { id: "i-1", born: 2_000 }, 10);
    t.deepEqual(incarnationsOf(met), ["i-1@2000"]);
    t.true(met.departed.get("i-1@1000")?.isOver);
    for (const born of [undefined, 1_000, 2_000]) t.is(learnIncarnation(met, { id: "i-1", born }, 11), met);
    t.is(learnIncarnation(met, { id: "i-2", born: 5_000 }, 11), met);
});

test("a departed endpoint does not return without a registration, but its earlier incarnation is over", t => {
    const met = learnIncarnation(gone(registryWithStart(1_000), "i-1", 5), { id: "i-1", born: 2_000 }, 10);
    t.deepEqual(incarnationsOf(met), []);
    t.true(met.departed.get("i-1@1000")?.isOver);
    t.deepEqual(incarnationsOf(registered(met, entryOf("i-1", EndpointState.Ready, 1_000), 11)), []);
    t.deepEqual(incarnationsOf(registered(met, entryOf("i-1", EndpointState.Ready, 2_000), 11)), ["i-1@2000"]);
});

test("an endpoint with an undecodable registration departs at once, is not over, and may register again", t => {
    const away = storeFailed(registryWithStart(1_000));
    const unreadable = applyChanges(away, [{ kind: "unreadable", id: "i-1" }], 5);
    t.deepEqual(incarnationsOf(unreadable), []);
    t.false(unreadable.departed.get("i-1@1000")?.isOver);
    t.deepEqual(incarnationsOf(replaceRegistrations(away, [], ["i-1"], [], 5)), []);
    t.deepEqual(incarnationsOf(registered(unreadable, entryOf("i-1", EndpointState.Ready, 1_000), 6)), ["i-1@1000"]);
});
