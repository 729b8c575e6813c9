import { createPlatformStore, platformWire } from "@drumpaddle/platform";
import { createClock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { PassThrough } from "node:stream";
import { Agent, buildConnector } from "undici";
import { configOf, waitUntil } from "../../../platform/test/stand-in/setup.js";
import { StandInStore } from "../../../platform/test/stand-in/store.js";
import { createLog } from "../src/runtime/log.js";
import { Metrics } from "../src/runtime/metrics.js";
import { DeploymentFeed } from "../src/store/deployment-feed.js";

/** Time limit of a call to the store in these tests. */
const CALL_MS = 150;
/** Longer than two time limits and the longest delay between two reads, also on a busy machine; a call without a limit never ends. */
const SOON_MS = 3_000;

interface CutOffHost {
    readonly store: StandInStore;
    readonly feed: DeploymentFeed;
    /** How many connections were attempted during the cut and never came up. */
    readonly hanging: () => number;
    /** Cuts the host off from the store: open connections fall silent and new ones do not come up. Or restores both. */
    readonly setCut: (cut: boolean) => void;
}

/** A host that follows a store of its own and can be cut off from it. */
async function cutOffHost(t: ExecutionContext): Promise<CutOffHost> {
    const store = await StandInStore.start();
    t.teardown(() => store.stop());
    store.put("op/config", configOf(1));
    const connect = buildConnector({});
    let isCut = false;
    let hanging = 0;
    const dispatcher = new Agent({
        connect: (options, done) => {
            if (isCut) hanging += 1;
            else connect(options, done);
        },
    });
    const own = new AbortController();
    t.teardown(() => own.abort());
    const feed = new DeploymentFeed({
        clock: createClock(),
        kv: createPlatformStore({
            url: store.url,
            timeoutMs: CALL_MS,
            watchMs: CALL_MS,
            watchMarginMs: CALL_MS,
            dispatcher,
        }),
        wire: platformWire,
        log: createLog("info", new PassThrough().resume()),
        metrics: new Metrics(),
        signal: own.signal,
    });
    const setCut = (cut: boolean): void => {
        isCut = cut;
        store.setOutage(cut ? "silent" : undefined);
    };
    return { store, feed, hanging: () => hanging, setCut };
}

/*
 * Guards against a time limit that does not cover the setup of a connection. A host had been cut off with its hall for 7 s. Its
 * read of the store began while no connection came up, and ended not at its limit of 1 s but only when the system retried the
 * connection 7 s later. Until then the host, reachable again, served an old deployment: callers got 404 for a route that had
 * been in force elsewhere for 3.2 s.
 */
test("a host gets the newest deployment soon after connections to the store come up again", async t => {
    const { store, feed, hanging, setCut } = await cutOffHost(t);
    feed.follower.setWatching("alone");
    await waitUntil(() => feed.table?.version === 1);
    setCut(true);
    await waitUntil(() => hanging() > 0);
    store.put("op/config", configOf(2));
    setCut(false);
    await waitUntil(() => feed.table?.version === 2, SOON_MS);
    t.is(feed.table?.version, 2);
});
