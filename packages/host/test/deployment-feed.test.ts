import { platformWire } from "@drumpaddle/platform";
import {
    createClock,
    type KeyValue,
    type KvEntry,
    type KvError,
    type KvList,
    kvOk,
    type KvResult,
} from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import test from "ava";
import { Writable } from "node:stream";
import { configOf, registrationOf } from "../../../platform/test/stand-in/setup.js";
import { createLog } from "../src/runtime/log.js";
import { Metrics } from "../src/runtime/metrics.js";
import { DeploymentFeed } from "../src/store/deployment-feed.js";

interface RunningFeed {
    readonly feed: DeploymentFeed;
    readonly log: readonly string[];
}

/** A readable endpoint, as hosts send it to each other. */
function validEndpoint(id: string): EndpointEntry {
    const decoded = platformWire.decodeEndpoint(id, JSON.stringify(registrationOf("app", "10.0.0.1:80")));
    if (!decoded.ok) throw new Error(decoded.err.detail);
    return decoded.value;
}

const NEVER = new Promise<never>(() => undefined);

/** A feed whose store never answers. */
function feedWithoutStore(): RunningFeed {
    return feedOf(new Proxy({}, { get: () => () => NEVER }) as KeyValue);
}

/** States of registered endpoints, by id. */
type States = Readonly<Record<string, "ready" | "draining" | "unreadable">>;

/** The answer to a read of the store at a revision. */
function storeContent(revision: number, states: States): KvList {
    const entryOf = ([id, state]: [string, string]): KvEntry => {
        const value = JSON.stringify(registrationOf("app", "10.0.0.1:80", { State: state }));
        const key = `${platformWire.storeKeys.endpoints}${id}`;
        return { key, value: state === "unreadable" ? "" : value, modRevision: revision, ...unreadableMark(state) };
    };
    return { epoch: 0, revision, entries: Object.entries(states).map(entryOf) };
}

function unreadableMark(state: string): Pick<KvEntry, "unreadable"> {
    return state === "unreadable" ? { unreadable: "no text" } : {};
}

/** A feed whose watches all end as the history was compacted, so that it reads the whole store each time; only these reads are answered. */
function rereadingFeed(reads: readonly KvList[]): RunningFeed {
    const pendingReads = [...reads];
    const compacted: KvError = { kind: "compacted", detail: "" };
    const list = (): Promise<KvResult<KvList>> => {
        const next = pendingReads.shift();
        return next ? Promise.resolve(kvOk(next)) : NEVER;
    };
    return feedOf({ list, watch: () => Promise.resolve(compacted) } as unknown as KeyValue);
}

function feedOf(kv: KeyValue): RunningFeed {
    const log: string[] = [];
    const out = new Writable({
        write: (chunk: Buffer, _encoding, done) => {
            log.push(chunk.toString());
            done();
        },
    });
    const feed = new DeploymentFeed({
        clock: createClock(),
        kv,
        wire: platformWire,
        log: createLog("info", out),
        metrics: new Metrics(),
        signal: new AbortController().signal,
    });
    return { feed, log };
}

for (const endpoints of ["{", "{}"]) {
    test(`a peer's list of endpoints ${endpoints} is ignored with a log line`, t => {
        const { feed, log } = feedWithoutStore();
        t.notThrows(() =>
            feed.follower.adoptState({ epoch: 0, revision: 7, ageMs: 0, deployment: "{}", endpoints, evacuated: [] })
        );
        t.false(feed.isReady);
        t.true(log.some(line => line.includes("endpoints_ignored")));
    });
}

test("an unreadable endpoint in a peer's list is ignored with a log line; the others are used", t => {
    const { feed, log } = feedWithoutStore();
    const deployment = JSON.stringify(configOf(1));
    const good = validEndpoint("i-2");
    feed.follower.adoptState({
        epoch: 0,
        revision: 7,
        ageMs: 0,
        deployment,
        endpoints: JSON.stringify([{ incarnation: "i-1" }, good]),
        evacuated: [],
    });
    t.true(feed.isReady);
    t.is(feed.endpoint("i-1"), undefined);
    t.is(feed.endpoint("i-2")?.address, good.address);
    t.true(log.some(line => line.includes("event=endpoint_ignored") && line.includes("at=/0/id")));
});

/** The changes of endpoints in the log, with their revisions. */
function changesIn(log: readonly string[]): readonly string[] {
    return log.flatMap(line => {
        const found = /event=endpoint_changed (endpoint=\S+ state=\S+).* revision=(\d+)/.exec(line);
        return found ? [`${found[1]!} ${found[2]!}`] : [];
    });
}

test("a read of the whole store logs the endpoints that changed, except for the first read", async t => {
    const { feed, log } = rereadingFeed([
        storeContent(7, { a: "ready", b: "ready", c: "ready" }),
        storeContent(8, { a: "draining", b: "ready", d: "ready", c: "unreadable" }),
        storeContent(9, { a: "draining", d: "ready", c: "unreadable" }),
        storeContent(9, { a: "draining", d: "ready", c: "unreadable" }),
    ]);
    feed.follower.setWatching("first");
    await new Promise(resolve => setImmediate(resolve));
    t.deepEqual(changesIn(log), [
        "endpoint=a state=leaving 8",
        "endpoint=d state=ready 8",
        "endpoint=c state=unreadable 8",
        "endpoint=b state=gone 9",
    ]);
});

test("a peer's whole state logs the endpoints that changed", t => {
    const { feed, log } = feedWithoutStore();
    const receiveState = (revision: number, ...entries: readonly EndpointEntry[]): void =>
        feed.follower.adoptState({
            epoch: 0,
            revision,
            ageMs: 0,
            deployment: JSON.stringify(configOf(1)),
            endpoints: JSON.stringify(entries),
            evacuated: [],
        });
    receiveState(7, validEndpoint("a"), validEndpoint("b"));
    receiveState(8, { ...validEndpoint("a"), state: "leaving" }, validEndpoint("b"));
    receiveState(9, { ...validEndpoint("a"), state: "leaving" });
    t.deepEqual(changesIn(log), ["endpoint=a state=leaving 8", "endpoint=b state=gone 9"]);
});
