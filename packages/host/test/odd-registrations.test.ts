import { NO_POSITION } from "@drumpaddle/hall";
import { createPlatformStore, platformWire } from "@drumpaddle/platform";
import { createClock } from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import test from "ava";
import fc from "fast-check";
import { PassThrough } from "node:stream";
import { configOf, registrationOf, waitUntil } from "../../../platform/test/stand-in/setup.js";
import { StandInStore } from "../../../platform/test/stand-in/store.js";
import { createLog } from "../src/runtime/log.js";
import { Metrics } from "../src/runtime/metrics.js";
import { DeploymentFeed } from "../src/store/deployment-feed.js";

/** A write to the registration of one of a few endpoints. */
interface Write {
    readonly id: string;
    /** Whether the registration is deleted instead. */
    readonly value: unknown;
    readonly isDeleted: boolean;
    /**
     * Whether the endpoint starts a new incarnation. Incarnations only ever increase, because a host that reads an earlier one alone
     * could not know of a later one.
     */
    readonly startsIncarnation: boolean;
}

const RUNS = 40;

const base64 = (text: string): string => Buffer.from(text).toString("base64");

const validEntry = fc.tuple(
    fc.constantFrom("app", "engines", "unknown"),
    fc.constantFrom("10.0.0.1:80", "10.0.0.2:8080"),
    fc.record({
        Zone: fc.constantFrom("hall-1", "hall-2"),
        Slots: fc.integer({ min: 1, max: 9 }),
        State: fc.constantFrom("ready", "draining"),
    }),
).map(([service, address, parts]) => registrationOf(service, address, parts));

/** No integers: as a value of `born` one would be a new incarnation, which only some of the hosts might learn of. */
const notInteger = fc.jsonValue().filter(value => !Number.isInteger(value));

const invalidFields = fc.oneof(
    fc.dictionary(
        fc.constantFrom("Service", "Addr", "Zone", "Version", "Slots", "State", "ColdLeftMs", "Seq"),
        fc.jsonValue(),
        {
            maxKeys: 2,
        },
    ),
    fc.record({ born: notInteger }),
);

const anyValue: fc.Arbitrary<unknown> = fc.oneof(
    { weight: 4, arbitrary: validEntry },
    {
        weight: 3,
        arbitrary: fc.tuple(validEntry, invalidFields).map(([good, odd]) =>
            base64(JSON.stringify({ ...good, ...odd }))
        ),
    },
    { weight: 1, arbitrary: fc.json().map(base64) },
    { weight: 1, arbitrary: fc.uint8Array({ maxLength: 20 }).map(bytes => Buffer.from(bytes).toString("base64")) },
    { weight: 1, arbitrary: fc.jsonValue() },
    { weight: 1, arbitrary: fc.constant(undefined) },
);

const anyWrite: fc.Arbitrary<Write> = fc.record({
    id: fc.constantFrom("i-1", "i-2", "i-3"),
    value: anyValue,
    isDeleted: fc.boolean(),
    startsIncarnation: fc.boolean(),
});

function createFeed(url: string, signal: AbortSignal): DeploymentFeed {
    return new DeploymentFeed({
        clock: createClock(),
        kv: createPlatformStore({ url, timeoutMs: 1_000, watchMs: 500, watchMarginMs: 500 }),
        wire: platformWire,
        log: createLog("fatal", new PassThrough().resume()),
        metrics: new Metrics(),
        signal,
    });
}

/** The store progress of a host that knows nothing. */
const NO_PROGRESS = { ...NO_POSITION, version: -1 };

/** The endpoints that a host knows, sorted, with the fields by which it uses them. */
function endpointsKnownTo(feed: DeploymentFeed): readonly string[] {
    const entries = JSON.parse(feed.follower.state(NO_PROGRESS)?.endpoints ?? "[]") as EndpointEntry[];
    return entries.map(({ id, service, address, hall, slots, state }) =>
        JSON.stringify([id, service, address, hall, slots, state])
    ).sort();
}

function write(
    store: StandInStore,
    { id, value, isDeleted, startsIncarnation }: Write,
    births: Map<string, number>,
): void {
    if (isDeleted) return store.remove(`servers/${id}`);
    if (startsIncarnation) births.set(id, (births.get(id) ?? 1_000) + 1);
    const isEntry = typeof value === "object" && value !== null && "Addr" in value;
    if (isEntry) store.put(`servers/${id}`, { ...value, born: births.get(id) });
    else store.putRawValue(`servers/${id}`, value);
}

test("hosts that learn of registrations by a watch, a read or a peer know the same endpoints, whatever was written", async t => {
    await fc.assert(
        fc.asyncProperty(fc.array(anyWrite, { minLength: 1, maxLength: 12 }), async writes => {
            const own = new AbortController();
            const store = await StandInStore.start();
            store.put("op/config", configOf(1));
            const watching = createFeed(store.url, own.signal);
            watching.follower.setWatching("alone");
            await waitUntil(() => watching.isReady);
            const births = new Map<string, number>();
            for (const each of writes) write(store, each, births);
            // A last, valid registration shows that the others did not stop the watch.
            store.put("servers/last", registrationOf("app", "10.0.0.9:80"));
            await waitUntil(() => endpointsKnownTo(watching).some(text => text.includes('"last"')));
            const reading = createFeed(store.url, own.signal);
            reading.start();
            await waitUntil(() => reading.isReady);
            const told = createFeed(store.url, own.signal);
            told.follower.adoptState(watching.follower.state(NO_PROGRESS)!);
            t.deepEqual(endpointsKnownTo(reading), endpointsKnownTo(watching));
            t.deepEqual(endpointsKnownTo(told), endpointsKnownTo(watching));
            own.abort();
            await store.stop();
        }),
        { numRuns: RUNS },
    );
});

// Guards against requests to endpoints that have left: a host told a peer of a registration that it kept for two seconds only, as it may
// have lapsed in an outage, and the peer kept it for good.
test("a host tells its peers of no registration that it keeps only as it may have lapsed", async t => {
    const own = new AbortController();
    const store = await StandInStore.start();
    t.teardown(() => store.stop());
    t.teardown(() => own.abort());
    store.put("op/config", configOf(1));
    store.put("servers/i-1", registrationOf("app", "10.0.0.1:80"));
    store.put("servers/i-2", registrationOf("app", "10.0.0.2:80"));
    const feed = createFeed(store.url, own.signal);
    feed.follower.setWatching("alone");
    await waitUntil(() => endpointsKnownTo(feed).length === 2);
    store.setOutage("reset");
    await new Promise(resolve => setTimeout(resolve, OUTAGE_MS));
    store.remove("servers/i-1");
    store.put("servers/i-3", registrationOf("app", "10.0.0.3:80"));
    store.setOutage(undefined);
    await waitUntil(() => endpointsKnownTo(feed).some(text => text.includes('"i-3"')));
    t.deepEqual(endpointsKnownTo(feed).map(text => (JSON.parse(text) as readonly string[])[0]), ["i-2", "i-3"]);
    t.truthy(feed.endpoint("i-1"), "it stays in use for a while");
});

/** Long enough that registrations may lapse. */
const OUTAGE_MS = 2_000;
