import { platformWire } from "@drumpaddle/platform";
import type { KeyValue } from "@drumpaddle/protocol";
import { createClock } from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import test from "ava";
import { Writable } from "node:stream";
import { configOf, registrationOf } from "../../../platform/test/stand-in/stage.js";
import { createLog } from "../src/runtime/log.js";
import { Metrics } from "../src/runtime/metrics.js";
import { DeploymentFeed } from "../src/store/deployment-feed.js";

interface RunningFeed {
    readonly feed: DeploymentFeed;
    readonly log: readonly string[];
}

/** An endpoint as hosts tell each other of it. */
function decodeGood(id: string): EndpointEntry {
    const decoded = platformWire.decodeEndpoint(id, JSON.stringify(registrationOf("app", "10.0.0.1:80")));
    if (!decoded.ok) throw new Error(decoded.err.detail);
    return decoded.value;
}

/** A feed whose store never answers. */
function deafFeed(): RunningFeed {
    const never = new Promise<never>(() => undefined);
    const kv = new Proxy({}, { get: () => () => never }) as KeyValue;
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
        const { feed, log } = deafFeed();
        t.notThrows(() => feed.follower.take({ revision: 7, ageMs: 0, deployment: "{}", endpoints, evacuated: [] }));
        t.false(feed.isReady);
        t.true(log.some(line => line.includes("endpoints_ignored")));
    });
}

test("an endpoint of a peer's list that cannot be read is ignored with a log line; the others hold", t => {
    const { feed, log } = deafFeed();
    const deployment = JSON.stringify(configOf(1));
    const good = decodeGood("i-2");
    feed.follower.take({
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
