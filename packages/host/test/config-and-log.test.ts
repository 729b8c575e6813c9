import test from "ava";
import { describeConfigError, formatRecord, printConfig, readConfig, runsAtMostOnce } from "../src/index.js";

const GOOD = "[host]\nname = k1-a\nhall = k1\n[platform]\nkey-value = http://127.0.0.1:2379\n";

function errorsOf(text: string, flags: Record<string, string> = {}): readonly string[] {
    const read = readConfig({ file: { name: "host.ini", text }, flags });
    return read.ok ? [] : read.errors.map(describeConfigError);
}

test("flags override the environment, which overrides the file", t => {
    const sources = {
        file: { name: "host.ini", text: `${GOOD}[log]\nlevel = warn\n` },
        env: { DRUMPADDLE_LOG_LEVEL: "error", DRUMPADDLE_HOST_HALL: "k2" },
    };
    const read = readConfig({ ...sources, flags: { "log.level": "debug" } });
    t.true(read.ok);
    if (!read.ok) return;
    t.is(read.cfg["log.level"], "debug");
    t.is(read.cfg["host.hall"], "k2");
    t.is(read.cfg["host.name"], "k1-a");
    t.is(read.cfg["control.heartbeat"], 250);
});

const WRONG: readonly (readonly [string, RegExp])[] = [
    ["[host]\nname = k1-a\nhall = k1\n", /platform\.key-value: must be given/],
    [
        `${GOOD}[callers]\nlisten = localhost\n`,
        /host\.ini \[callers\]: callers\.listen: found "localhost", allowed: an IP number and a port/,
    ],
    [`${GOOD}[callers]\nlistn = 127.0.0.1:1\n`, /callers\.listn: unknown key/],
    [`${GOOD}[peers]\nsecrets = short\n`, /found "\(secret\)", allowed/],
];

for (const [text, expected] of WRONG) {
    test(`errors in daemon settings name the place and the fault: ${expected.source.slice(0, 50)}`, t => {
        t.true(errorsOf(text).some(err => expected.test(err)), errorsOf(text).join("\n"));
    });
}

test("printed settings mask secrets", t => {
    const read = readConfig({
        file: { name: "host.ini", text: `${GOOD}[peers]\nsecrets = a-very-long-shared-secret\n` },
    });
    t.true(read.ok);
    if (!read.ok) return;
    const printed = printConfig(read.given);
    t.false(printed.includes("a-very-long"));
    t.regex(printed, /secrets = \*{8}/);
    t.regex(printed, /name = k1-a/);
});

test("no value can forge a field or a line of the log", t => {
    const line = formatRecord({
        time: new Date(0),
        level: 30,
        msg: "x",
        v: 0,
        path: "a b=c\nlevel=fatal event=forged \u2028",
        key: "plain",
    });
    t.is(line.split(/[\n\u2028]/).length, 1);
    t.is(
        line,
        'time=1970-01-01T00:00:00.000Z level=info event=x path="a b=c\\nlevel=fatal event=forged \\u2028" key=plain',
    );
});

const ONCE: readonly (readonly [string, string, string | undefined, boolean])[] = [
    ["GET", "/holds", undefined, false],
    ["GET", "/holds", "true", true],
    ["POST", "/holds", undefined, true],
    ["POST", "/holds", "false", false],
    ["POST", "/search", "false", false],
    ["DELETE", "/holds/7", undefined, true],
    ["GET", "/confirm/7", "false", true],
];

test("a call runs at most once depending on its method, the settings and the caller's header", t => {
    const settings = { "not-repeatable": ["GET /confirm/*"], "repeatable": true };
    for (const [method, path, said, once] of ONCE) {
        t.is(runsAtMostOnce(method, path, settings, said), once, `${method} ${path} ${said}`);
    }
    t.true(runsAtMostOnce("GET", "/holds", { ...settings, repeatable: false }, "false"));
});
