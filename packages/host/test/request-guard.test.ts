import { createClock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { Writable } from "node:stream";
import { CrashDetector, type EndpointIncarnation } from "../src/endpoints/crash-detector.js";
import type { ProbeResult } from "../src/endpoints/endpoint-probe.js";
import { RequestGuard } from "../src/endpoints/request-guard.js";
import { createLog } from "../src/runtime/log.js";
import { Metrics } from "../src/runtime/metrics.js";

interface Fixture {
    readonly guard: RequestGuard;
    /** Interrupts a run of a request at an endpoint. */
    readonly interrupt: (fingerprint: string, id: string) => void;
}

/** A guard whose probes of endpoints all have the given result. */
function createGuard(t: ExecutionContext, sign: ProbeResult): Fixture {
    const end = new AbortController();
    t.teardown(() => end.abort());
    const clock = createClock();
    const log = createLog("info", new Writable({ write: (_chunk, _encoding, done) => done() }));
    const guard: RequestGuard = new RequestGuard({
        clock,
        log,
        metrics: new Metrics(),
        signal: end.signal,
        share: () => undefined,
        investigate: (endpoint, run) => watch.investigate(endpoint, run),
    });
    const watch = new CrashDetector({
        clock,
        log,
        probe: () => Promise.resolve(sign),
        isLeaving: () => false,
        isOver: () => false,
        isRegistryStale: () => false,
        onCrash: ending => guard.endpointCrashed(ending),
        onNoCrash: runs => guard.noCrashFound(runs),
        learnIncarnation: () => undefined,
    });
    const interrupt = (fingerprint: string, id: string): void => {
        const endpoint: EndpointIncarnation = {
            id,
            incarnation: id,
            born: undefined,
            address: "",
            software: undefined,
        };
        guard.attemptInterrupted(endpoint, {
            req: "r",
            route: "draft",
            workspace: "payroll",
            fingerprint,
            parts: [],
            ranMs: 1,
            wasSuspect: guard.isSuspect(fingerprint),
        });
    };
    return { guard, interrupt };
}

function probesDone(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, 20));
}

test("a request interrupted at endpoints that cannot be probed may start as before", async t => {
    const { guard, interrupt } = createGuard(t, { kind: "unknown", detail: "cut" });
    for (const id of ["e1", "e2", "e3", "e4"]) interrupt("f", id);
    await probesDone();
    t.is(guard.withhold("f"), undefined);
    t.false(guard.isSuspect("f"));
});

test("several interrupted runs at one endpoint under investigation count as one crash", t => {
    const { guard, interrupt } = createGuard(t, { kind: "lives", reportsBirth: true });
    for (let at = 0; at < 5; at++) interrupt("f", "e1");
    t.is(guard.withhold("f"), undefined);
    for (const id of ["e2", "e3"]) interrupt("f", id);
    t.like(guard.withhold("f"), { code: "request_quarantined", evidencePendingMs: 50 });
});

test("a request interrupted at endpoints that are alive may start as before", async t => {
    const { guard, interrupt } = createGuard(t, { kind: "lives", reportsBirth: true });
    for (const id of ["e1", "e2", "e3", "e4"]) interrupt("f", id);
    await probesDone();
    t.is(guard.withhold("f"), undefined);
});

test("a request is withheld after three endpoints in turn refused connections", async t => {
    const { guard, interrupt } = createGuard(t, { kind: "refused" });
    for (const id of ["e1", "e2", "e3"]) {
        t.is(guard.withhold("f"), undefined);
        interrupt("f", id);
        await probesDone();
    }
    t.is(guard.withhold("f")?.code, "request_quarantined");
    t.is(guard.withhold("g"), undefined);
});
