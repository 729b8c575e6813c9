import { createClock } from "@drumpaddle/protocol";
import test, { type ExecutionContext } from "ava";
import { Writable } from "node:stream";
import { EndingWatch, type WatchedEndpoint } from "../src/endpoints/crash-detector.js";
import type { LifeSign } from "../src/endpoints/endpoint-probe.js";
import { RequestGuard } from "../src/endpoints/request-guard.js";
import { createLog } from "../src/runtime/log.js";
import { Metrics } from "../src/runtime/metrics.js";

interface Guarded {
    readonly guard: RequestGuard;
    /** A run of a request breaks off at an endpoint. */
    readonly broke: (fingerprint: string, id: string) => void;
}

/** A guard whose endpoints answer as given when they are asked. */
function guardOf(t: ExecutionContext, sign: LifeSign): Guarded {
    const end = new AbortController();
    t.teardown(() => end.abort());
    const clock = createClock();
    const log = createLog("info", new Writable({ write: (_chunk, _encoding, done) => done() }));
    const guard: RequestGuard = new RequestGuard({
        clock,
        log,
        metrics: new Metrics(),
        signal: end.signal,
        tell: () => undefined,
        broke: (endpoint, run) => watch.broke(endpoint, run),
    });
    const watch = new EndingWatch({
        clock,
        log,
        probe: () => Promise.resolve(sign),
        isLeaving: () => false,
        isOver: () => false,
        isDeaf: () => false,
        onEnded: ending => guard.ended(ending),
        onNotEnded: runs => guard.notEnded(runs),
        meetLife: () => undefined,
    });
    const broke = (fingerprint: string, id: string): void => {
        const endpoint: WatchedEndpoint = { id, incarnation: id, born: undefined, address: "", software: undefined };
        guard.broke(endpoint, {
            req: "r",
            route: "draft",
            workspace: "payroll",
            fingerprint,
            ranMs: 1,
            wasSuspect: guard.isSuspect(fingerprint),
        });
    };
    return { guard, broke };
}

function soon(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, 20));
}

test("a request whose runs break off at endpoints that cannot be asked is begun as before", async t => {
    const { guard, broke } = guardOf(t, { kind: "unknown", detail: "cut" });
    for (const id of ["e1", "e2", "e3", "e4"]) broke("f", id);
    await soon();
    t.is(guard.withhold("f"), undefined);
    t.false(guard.isSuspect("f"));
});

test("several runs at one endpoint that is being asked are one ending", t => {
    const { guard, broke } = guardOf(t, { kind: "lives", reportsBirth: true });
    for (let at = 0; at < 5; at++) broke("f", "e1");
    t.is(guard.withhold("f"), undefined);
    for (const id of ["e2", "e3"]) broke("f", id);
    t.like(guard.withhold("f"), { code: "request_quarantined", sureMs: 50 });
});

test("a request whose runs break off at endpoints that live on is begun as before", async t => {
    const { guard, broke } = guardOf(t, { kind: "lives", reportsBirth: true });
    for (const id of ["e1", "e2", "e3", "e4"]) broke("f", id);
    await soon();
    t.is(guard.withhold("f"), undefined);
});

test("a request whose endpoints refuse connections one after another is withheld after the third", async t => {
    const { guard, broke } = guardOf(t, { kind: "refused" });
    for (const id of ["e1", "e2", "e3"]) {
        t.is(guard.withhold("f"), undefined);
        broke("f", id);
        await soon();
    }
    t.is(guard.withhold("f")?.code, "request_quarantined");
    t.is(guard.withhold("g"), undefined);
});
