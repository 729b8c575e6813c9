import { NO_POSITION } from "@drumpaddle/hall";
import { createPlatformStore, platformWire } from "@drumpaddle/platform";
import { createClock } from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import test from "ava";
import fc from "fast-check";
import { PassThrough } from "node:stream";
import { configOf, registrationOf, until } from "../../../platform/test/stand-in/stage.js";
import { StandInStore } from "../../../platform/test/stand-in/store.js";
import { createLog } from "../src/runtime/log.js";
import { Metrics } from "../src/runtime/metrics.js";
import { DeploymentFeed } from "../src/store/deployment-feed.js";

/** What is done to the registration of one of a few endpoints. */
interface Write {
    readonly id: string;
    /** `gone`: it is deleted. */
    readonly value: unknown;
    readonly gone: boolean;
    /** Each endpoint's lives only follow each other: who reads an earlier one alone cannot know of a later one. */
    readonly begins: boolean;
}

const DRAWS = 40;

const base64 = (text: string): string => Buffer.from(text).toString("base64");

const goodEntry = fc.tuple(
    fc.constantFrom("app", "engines", "unknown"),
    fc.constantFrom("10.0.0.1:80", "10.0.0.2:8080"),
    fc.record({
        Zone: fc.constantFrom("hall-1", "hall-2"),
        Slots: fc.integer({ min: 1, max: 9 }),
        State: fc.constantFrom("ready", "draining"),
    }),
).map(([service, address, parts]) => registrationOf(service, address, parts));

/** A whole number would be a life of its own, that some hosts hear of and others do not. */
const notWhole = fc.jsonValue().filter(value => !Number.isInteger(value));

const oddFields = fc.oneof(
    fc.dictionary(
        fc.constantFrom("Service", "Addr", "Zone", "Version", "Slots", "State", "ColdLeftMs", "Seq"),
        fc.jsonValue(),
        {
            maxKeys: 2,
        },
    ),
    fc.record({ born: notWhole }),
);

const drawnValue: fc.Arbitrary<unknown> = fc.oneof(
    { weight: 4, arbitrary: goodEntry },
    {
        weight: 3,
        arbitrary: fc.tuple(goodEntry, oddFields).map(([good, odd]) => base64(JSON.stringify({ ...good, ...odd }))),
    },
    { weight: 1, arbitrary: fc.json().map(base64) },
    { weight: 1, arbitrary: fc.uint8Array({ maxLength: 20 }).map(bytes => Buffer.from(bytes).toString("base64")) },
    { weight: 1, arbitrary: fc.jsonValue() },
    { weight: 1, arbitrary: fc.constant(undefined) },
);

const drawnWrite: fc.Arbitrary<Write> = fc.record({
    id: fc.constantFrom("i-1", "i-2", "i-3"),
    value: drawnValue,
    gone: fc.boolean(),
    begins: fc.boolean(),
});

function feedOf(url: string, signal: AbortSignal): DeploymentFeed {
    return new DeploymentFeed({
        clock: createClock(),
        kv: createPlatformStore({ url, timeoutMs: 1_000, watchMs: 500, watchMarginMs: 500 }),
        wire: platformWire,
        log: createLog("fatal", new PassThrough().resume()),
        metrics: new Metrics(),
        signal,
    });
}

/** How far a host is that knows nothing. */
const NOTHING = { ...NO_POSITION, version: -1 };

/** What a host believes: which endpoints there are, by id, and how each is used. */
function believed(feed: DeploymentFeed): readonly string[] {
    const entries = JSON.parse(feed.follower.state(NOTHING)?.endpoints ?? "[]") as EndpointEntry[];
    return entries.map(({ id, service, address, hall, slots, state }) =>
        JSON.stringify([id, service, address, hall, slots, state])
    ).sort();
}

function write(store: StandInStore, { id, value, gone, begins }: Write, lives: Map<string, number>): void {
    if (gone) return store.remove(`servers/${id}`);
    if (begins) lives.set(id, (lives.get(id) ?? 1_000) + 1);
    const isEntry = typeof value === "object" && value !== null && "Addr" in value;
    if (isEntry) store.put(`servers/${id}`, { ...value, born: lives.get(id) });
    else store.putOdd(`servers/${id}`, value);
}

test("hosts that heard of registrations by a watch, a read or a peer believe the same, whatever was written", async t => {
    await fc.assert(
        fc.asyncProperty(fc.array(drawnWrite, { minLength: 1, maxLength: 12 }), async writes => {
            const own = new AbortController();
            const store = await StandInStore.start();
            store.put("op/config", configOf(1));
            const watching = feedOf(store.url, own.signal);
            watching.follower.setWatching("alone");
            await until(() => watching.isReady);
            const lives = new Map<string, number>();
            for (const each of writes) write(store, each, lives);
            // A last good registration shows that the others did not stop the watch.
            store.put("servers/last", registrationOf("app", "10.0.0.9:80"));
            await until(() => believed(watching).some(text => text.includes('"last"')));
            const reading = feedOf(store.url, own.signal);
            reading.start();
            await until(() => reading.isReady);
            const told = feedOf(store.url, own.signal);
            told.follower.take(watching.follower.state(NOTHING)!);
            t.deepEqual(believed(reading), believed(watching));
            t.deepEqual(believed(told), believed(watching));
            own.abort();
            await store.stop();
        }),
        { numRuns: DRAWS },
    );
});
