// Starts the bundled daemon once and keeps the code that V8 compiled until it listened. To be run with the flags of the
// deployed daemon, as V8 takes compiled code only under the flags that it was compiled with.
"use strict";
const { mkdtempSync, writeFileSync } = require("node:fs");
const { tmpdir } = require("node:os");
const { join } = require("node:path");
const { COMPILED, start } = require("../target/drumpaddled.cjs");

/** A start takes well under a second; a build must not hang on one that does not listen. */
const MOST_MS = 20_000;
/** What follows the first line that tells of listening belongs to the start as well. */
const SETTLE_MS = 200;

/** Settings of a host that reaches nobody. */
const SETTINGS = `
[host]
name = compile
hall = compile
[callers]
interface = forward
listen = 127.0.0.1:0
[operators]
listen = 127.0.0.1:0
[peers]
listen = 127.0.0.1:0
secrets = only-while-compiling
seeds = 127.0.0.1:1
[platform]
key-value = http://127.0.0.1:1
[forward]
retry-ratio = 0
retry-slack = 0
retry-window = 1s
stop-grace = 1s
`;

const settings = join(mkdtempSync(join(tmpdir(), "drumpaddle-")), "host.ini");
writeFileSync(settings, SETTINGS);
process.argv.push("--config", settings);

const write = process.stdout.write.bind(process.stdout);
let log = "";
process.stdout.write = chunk => {
    log += chunk;
    if (log.includes("event=listening")) setTimeout(keep, SETTLE_MS);
    return true;
};

function keep() {
    writeFileSync(COMPILED, script.createCachedData());
    process.exit(0);
}

setTimeout(() => {
    write(`the daemon did not listen within ${MOST_MS} ms:\n${log}\n`);
    process.exit(1);
}, MOST_MS);

const script = start(undefined);
