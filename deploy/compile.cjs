// Starts the bundled daemon once and saves V8's code cache when the daemon listens. Run it with the flags of the deployed
// daemon: V8 rejects a cache that was compiled with other flags.
"use strict";
const { mkdtempSync, writeFileSync } = require("node:fs");
const { tmpdir } = require("node:os");
const { join } = require("node:path");
const { COMPILED, start } = require("../target/drumpaddled.cjs");

/** A start takes well under a second; the limit keeps a build from hanging on a daemon that never listens. */
const MOST_MS = 20_000;
/** Delay after the first `listening` line, as the rest of the start is to be in the cache too. */
const SETTLE_MS = 200;

/** Settings of a host whose peers and store cannot be reached. */
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
