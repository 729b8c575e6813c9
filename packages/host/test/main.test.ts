import test, { type ExecutionContext } from "ava";
import { type ChildProcess, spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { handleSignals } from "../src/runtime/signals.js";

const PROGRAM = ["--import=tsx", "--conditions=drumpaddle-source", "packages/host/src/main.ts"];
const TIMEOUT_MS = 30_000;

/** Settings of a host that forwards calls and has no store. */
function settingsOf(callersPort: number): string {
    return `[host]
name = host-1
hall = hall-1
[callers]
interface = forward
listen = 127.0.0.1:${callersPort}
[operators]
listen = 127.0.0.1:0
[peers]
listen = 127.0.0.1:0
[platform]
key-value = http://127.0.0.1:9
`;
}

/** The path of a settings file in a folder of its own. */
function settingsPath(t: ExecutionContext): string {
    const folder = mkdtempSync(join(tmpdir(), "drumpaddled-"));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    return join(folder, "host.ini");
}

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
    t.teardown(() => void taken.close());
    const settings = settingsPath(t);
    writeFileSync(settings, settingsOf(port));
    const { status, stderr } = spawnSync(process.execPath, [...PROGRAM, "--config", settings], { timeout: TIMEOUT_MS });
    t.is(status, 1);
    t.regex(String(stderr), /EADDRINUSE/);
});

/** A daemon as a process of its own, with what it has logged. */
interface RunningDaemon {
    readonly process: ChildProcess;
    readonly readLog: () => string;
    readonly clearLog: () => void;
    readonly logged: (pattern: RegExp) => Promise<void>;
}

function startProcess(t: ExecutionContext, settings: string): RunningDaemon {
    const daemon = spawn(process.execPath, [...PROGRAM, "--config", settings], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    t.teardown(() => daemon.kill("SIGKILL"));
    let log = "";
    daemon.stdout.on("data", chunk => log += String(chunk));
    const logged = async (pattern: RegExp): Promise<void> => {
        while (!pattern.test(log)) {
            if (daemon.exitCode !== null) throw new Error(`ended with ${daemon.exitCode}`);
            await new Promise(resolve => setTimeout(resolve, 10));
        }
    };
    return { process: daemon, readLog: () => log, clearLog: () => log = "", logged };
}

/** How long a daemon of these tests keeps answering after the signal to stop, by its settings. */
const STILL_SERVED_MS = 3_000;

/** Signals in the order in which they are sent, from the start of a stop on, and how the process ends. */
const SIGNAL_SERIES = [
    { signals: ["SIGTERM", "SIGTERM", "SIGHUP", "SIGTERM"], code: 0 },
    { signals: ["SIGINT", "SIGTERM", "SIGTERM"], code: 0 },
    { signals: ["SIGTERM", "SIGINT"], code: 0 },
    { signals: ["SIGINT", "SIGINT"], code: 1 },
] as const;

// Guards against a stop that cuts open answers because its signal comes twice, also while the daemon starts.
for (const { signals, code } of SIGNAL_SERIES) {
    for (const when of ["listening", "tls_is_off"]) {
        test.serial(`${signals.join(", ")} from ${when} on end the process with ${code}`, async t => {
            const settings = settingsPath(t);
            writeFileSync(settings, settingsOf(0));
            const daemon = startProcess(t, settings);
            await daemon.logged(new RegExp(`event=${when}\\b`));
            const exited = once(daemon.process, "exit");
            for (const signal of signals) {
                daemon.process.kill(signal);
                // Signals of one kind that are pending at a time are delivered once.
                await new Promise(resolve => setTimeout(resolve, 100));
            }
            const signalledAt = performance.now();
            t.deepEqual(await exited, [code, null]);
            const servedMs = performance.now() - signalledAt;
            t.is(servedMs > STILL_SERVED_MS - 1_000, code === 0, `${servedMs} ms`);
        });
    }
}

test.serial("a daemon whose settings file cannot be read again keeps its settings, and logs why", async t => {
    const settings = settingsPath(t);
    writeFileSync(settings, settingsOf(0));
    const daemon = startProcess(t, settings);
    const reloadLogs = async (pattern: RegExp): Promise<void> => {
        daemon.clearLog();
        daemon.process.kill("SIGHUP");
        await daemon.logged(pattern);
        t.is(daemon.readLog().match(/event=settings_file_/g)?.length, 1);
    };
    await daemon.logged(/event=listening/);
    rmSync(settings);
    await reloadLogs(/event=settings_file_ignored .*host\.ini: ENOENT/);
    mkdirSync(settings);
    await reloadLogs(/event=settings_file_ignored .*host\.ini: EISDIR/);
    rmSync(settings, { recursive: true });
    for (const text of ["no settings", "[host.name]\nfirst = host-1\n"]) {
        writeFileSync(settings, text);
        await reloadLogs(/event=settings_file_ignored .*host\.ini/);
    }
    writeFileSync(settings, settingsOf(0).replace("hall-1", "hall-2"));
    await reloadLogs(/event=settings_file_read .*changed=.*host\.hall/);
});
