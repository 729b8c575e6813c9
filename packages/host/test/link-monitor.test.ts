/**
 * Tests by which order of events a host finds out that it has lost its links to the endpoints.
 */
import { LinkFailureCause } from "@drumpaddle/hall";
import { createClock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { LinkMonitor, type ProbeWay } from "../src/endpoints/link-monitor.js";
import { createLog } from "../src/runtime/log.js";

const gauge = { set: () => undefined } as unknown as ConstructorParameters<typeof LinkMonitor>[0]["metrics"]["cutOff"];
const ADDRESSES = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"];

interface Stage {
    readonly monitor: LinkMonitor;
    readonly probes: readonly ProbeWay[];
    /** Which probes are answered. */
    readonly answers: Record<ProbeWay, boolean>;
}

function startMonitor(t: ExecutionContext, answers: Partial<Record<ProbeWay, boolean>> = {}): Stage {
    const controller = new AbortController();
    t.teardown(() => controller.abort());
    const probes: ProbeWay[] = [];
    const stage = {
        probes,
        answers: { direct: true, relayed: true, connection: true, ...answers },
    };
    const monitor = new LinkMonitor({
        clock: createClock(),
        log: createLog("error", process.stderr),
        metrics: { unreachedEndpoints: gauge, cutOff: gauge },
        signal: controller.signal,
        addresses: () => ADDRESSES,
        mayProbe: () => true,
        probe: (_address, way) => {
            probes.push(way);
            return Promise.resolve(stage.answers[way]);
        },
        onCutOff: () => undefined,
        onReached: () => undefined,
    });
    monitor.start();
    return Object.assign(stage, { monitor });
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

test("a host without calls tries a connection after a silence, and probes only if that fails", async t => {
    const sound = startMonitor(t);
    const cutOff = startMonitor(t, { connection: false, direct: false });
    await pause(2_200);
    t.deepEqual([...new Set(sound.probes)], ["connection"]);
    t.false(sound.monitor.isCutOff);
    t.true(cutOff.monitor.isCutOff);
});

test("a call without an answer leads to probes, also after its deadline, though connections can be opened", async t => {
    const stage = startMonitor(t, { direct: false });
    stage.monitor.sent();
    await pause(1_500);
    t.true(stage.monitor.isCutOff);
});

test("endpoints that no peer reaches either do not make a host cut off", async t => {
    const stage = startMonitor(t, { connection: false, direct: false, relayed: false });
    await pause(2_500);
    t.false(stage.monitor.isCutOff);
});

test("an endpoint that answers the second direct probe was silent itself", async t => {
    const stage = startMonitor(t, { direct: true });
    stage.monitor.failed(ADDRESSES[0]!, LinkFailureCause.Closed);
    stage.monitor.failed(ADDRESSES[1]!, LinkFailureCause.Closed);
    await pause(50);
    t.false(stage.monitor.isCutOff);
    stage.answers.direct = false;
    stage.monitor.failed(ADDRESSES[0]!, LinkFailureCause.Closed);
    stage.monitor.failed(ADDRESSES[1]!, LinkFailureCause.Closed);
    await pause(50);
    t.true(stage.monitor.isCutOff);
});

test("a host that is cut off goes on probing, and two answers end it", async t => {
    const stage = startMonitor(t, { connection: false, direct: false });
    await pause(2_200);
    t.true(stage.monitor.isCutOff);
    t.true(stage.monitor.needsRelay(ADDRESSES[2]!));
    stage.answers.direct = true;
    await pause(1_000);
    t.false(stage.monitor.isCutOff);
    t.false(stage.monitor.needsRelay(ADDRESSES[2]!));
});
