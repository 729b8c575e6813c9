import test from "ava";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Exit, explainRequest, linesAboutRequest, parseLogLine } from "../src/index.js";

const linePrefix = (second: number): string =>
    `time=2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z level=info`;
const LOG = [
    `${linePrefix(9)} event=call_ended req=r1 endpoint=e2 outcome=endpoint_lost detail="a \\"quoted\\" word"`,
    `${linePrefix(5)} event=generation_copied req=r1 from=e1 to=e2 ms=210`,
    `${linePrefix(4)} event=endpoint_changed endpoint=e1 state=leaving`,
    `${linePrefix(4)} event=endpoint_changed endpoint=e7 state=leaving`,
    `${linePrefix(6)} event=call_ended req=r2 endpoint=e1 outcome=whole`,
    "a line of another program",
];
const LINES = LOG.flatMap(line => parseLogLine(line) ?? []);

test("a log line is parsed, also with a log collector's prefix", t => {
    const line = parseLogLine(`  4.12 host-1 ${LOG[0]!}`);
    t.is(line?.event, "call_ended");
    t.is(line?.fields.get("detail"), String.raw`"a \"quoted\" word"`);
    t.is(parseLogLine("time=yesterday level=info event=x"), undefined);
});

test("a request's lines are its own and those of its endpoints while it ran, sorted by time", t => {
    t.deepEqual(linesAboutRequest(LINES, "r1").map(line => line.event), [
        "endpoint_changed",
        "generation_copied",
        "call_ended",
    ]);
    t.deepEqual(linesAboutRequest(LINES, "nobody"), []);
});

test("the command reads files, and fails if no line is about the request", t => {
    const folder = mkdtempSync(join(tmpdir(), "drumpaddle-"));
    t.teardown(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "host.log");
    writeFileSync(file, LOG.join("\n"));
    t.is(explainRequest("r1", [file]).text.split("\n").length, 3);
    t.is(explainRequest("r9", [file]).exit, Exit.Failed);
    t.is(explainRequest("r1", [join(folder, "none.log")]).exit, Exit.Failed);
    t.is(explainRequest("r1", []).exit, Exit.Usage);
});
