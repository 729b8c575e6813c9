import test from "ava";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { handleSignals } from "../src/runtime/signals.js";

const PROGRAM = ["--import=tsx", "--conditions=drumpaddle-source", "packages/host/src/main.ts"];
const TIMEOUT_MS = 30_000;

test.serial("signals received while the daemon starts are handled once it has started", t => {
    const seen: string[] = [];
    process.emit("SIGHUP");
    handleSignals({ onReload: () => seen.push("reload"), onStop: signal => seen.push(signal) });
    t.deepEqual(seen, ["reload"]);
    process.emit("SIGTERM", "SIGTERM");
    t.deepEqual(seen, ["reload", "SIGTERM"]);
});

test.serial("a daemon that cannot listen exits and prints why", async t => {
    const taken = createServer();
    await new Promise<void>(resolve => taken.listen(0, "127.0.0.1", resolve));
    const { port } = taken.address() as AddressInfo;
    const folder = mkdtempSync(join(tmpdir(), "drumpaddled-"));
    const settings = join(folder, "host.ini");
    writeFileSync(
        settings,
        `[host]
name = host-1
hall = hall-1
[callers]
interface = forward
listen = 127.0.0.1:${port}
[operators]
listen = 127.0.0.1:0
[peers]
listen = 127.0.0.1:0
[platform]
key-value = http://127.0.0.1:9
`,
    );
    t.teardown(() => {
        taken.close();
        rmSync(folder, { recursive: true, force: true });
    });
    const { status, stderr } = spawnSync(process.execPath, [...PROGRAM, "--config", settings], { timeout: TIMEOUT_MS });
    t.is(status, 1);
    t.regex(String(stderr), /EADDRINUSE/);
});
