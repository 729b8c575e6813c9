import test from "ava";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { countLosses, Exit, losses, parseLogLine } from "../src/index.js";

const linePrefix = (second: number): string =>
    `time=2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z level=info`;
const LOG = [
    `${linePrefix(0)} event=listening host=a`,
    `${linePrefix(9)} event=call_ended req=r1 route=draft hall=k1 outcome=endpoint_lost ms=8000`,
    `${linePrefix(9)} event=call_ended req=r2 route=draft hall=k1 outcome=endpoint_lost ms=6000`,
    `${linePrefix(9)} event=call_ended req=r3 route=draft hall=k2 outcome=whole late=pause ms=3000`,
    `${linePrefix(9)} event=call_ended req=r4 route=check hall=k1 outcome=whole late=first ms=2000`,
    `${linePrefix(9)} event=call_ended req=r5 route=check outcome=whole ms=2000`,
    `${linePrefix(9)} event=call_ended req=r7 route=check outcome=whole status=200 ms=2000`,
    `${linePrefix(9)} event=call_ended req=r8 route=check hall=k2 outcome=endpoint_failed status=500 ms=2000`,
    `${linePrefix(1)} event=call_ended req=r6 route=check outcome=wait_too_long ms=4000`,
];
const LINES = LOG.flatMap(line => parseLogLine(line) ?? []);

test("failed and late calls are counted by route, hall, time of arrival and reason", t => {
    t.deepEqual(countLosses(LINES), [
        { route: "check", hall: "-", fromS: 0, reason: "wait_too_long", calls: 1 },
        { route: "check", hall: "k1", fromS: 5, reason: "late: first", calls: 1 },
        { route: "check", hall: "k2", fromS: 5, reason: "endpoint_failed", calls: 1 },
        { route: "draft", hall: "k1", fromS: 0, reason: "endpoint_lost", calls: 2 },
        { route: "draft", hall: "k2", fromS: 5, reason: "late: pause", calls: 1 },
    ]);
    t.deepEqual(countLosses(LINES, 60).map(loss => loss.fromS), [0, 0, 0, 0, 0]);
});

test("the command reads files, and refuses an invalid step or missing files", t => {
    const folder = mkdtempSync(join(tmpdir(), "drumpaddle-"));
    t.teardown(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "host.log");
    writeFileSync(file, LOG.join("\n"));
    t.regex(losses([file]).text, /endpoint_lost/);
    t.is(losses([file], 0).exit, Exit.Usage);
    t.is(losses([]).exit, Exit.Usage);
    t.is(losses([join(folder, "none.log")]).exit, Exit.Failed);
});
