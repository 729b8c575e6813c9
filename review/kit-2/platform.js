/**
 * Starts the project's daemons with the command of the deploy file, as separate processes on loopback addresses, with settings that are
 * rendered from the template of the deploy file.
 */
import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const deployFile = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
const RUN = /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
const TEMPLATE = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(deployFile)[1]), "utf8");
const SETTINGS_PATH = "/etc/drumpaddle/local.toml";
const READY_TIMEOUT_MS = 20_000;

/** Bounds of the users' small deployments, as their sheets print them. */
export const BOUNDS = {
    ContactMs: 3000,
    DrainMs: 2000,
    GraceS: 8,
    ConfigMs: 2000,
    OuterMs: 5000,
    RetryBudgetRatio: 0.2,
    BudgetWindowS: 10,
    BudgetSlack: 52,
};

const children = new Set();
// Whatever ends a script, no process that it started outlives it; a script that fails itself could not run its case.
process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));
for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.on(signal, () => process.exit(2));
for (const event of ["uncaughtException", "unhandledRejection"]) {
    process.on(event, err => {
        console.error(err);
        process.exit(2);
    });
}

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

function render(fields) {
    const valueAt = path => path.split(".").reduce((at, name) => at?.[name], fields);
    return TEMPLATE
        .replace(/\{\{\^([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_all, path, text) => valueAt(path) === undefined ? text : "")
        .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_all, path, text) => {
            const entries = Object.entries(valueAt(path) ?? {});
            return entries.map(([key, value], at) =>
                text.replaceAll("{{@}}", key).replaceAll("{{.}}", String(value))
                    .replaceAll("{{,}}", at < entries.length - 1 ? "," : "")
            ).join("");
        })
        .replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(valueAt(path) ?? ""));
}

/** Below the range from which the system takes ports for connections, so that no connection takes a port before its daemon does. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;
let nextPort = Math.floor(Math.random() * PORTS);

/** Finds a port that is free on 127.0.0.1. */
export async function freePort() {
    for (;;) {
        const port = FIRST_PORT + nextPort++ % PORTS;
        const isFree = await new Promise(resolve => {
            const server = createServer();
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (isFree) return port;
    }
}

/** One daemon of the deployment. */
class Daemon {
    /** Whether the process ended without having been told to. */
    hasEnded = false;

    constructor(name, ports, child, logPath) {
        Object.assign(this, { name, ports, child, logPath });
        children.add(child);
        child.on("exit", () => {
            children.delete(child);
            this.hasEnded = true;
        });
    }

    /** Resolves with whether the daemon says that it is ready. */
    isReady() {
        return new Promise(resolve => {
            const req = request(
                { port: this.ports.ready, host: "127.0.0.1", path: "/drumpaddle/readyz", agent: false, timeout: 1000 },
                res => {
                    res.resume();
                    resolve(res.statusCode === 200);
                },
            );
            req.on("timeout", () => req.destroy());
            req.on("error", () => resolve(false));
            req.end();
        });
    }

    /** Kills the process, if it still runs, and resolves when it has ended. */
    async kill() {
        if (this.hasEnded) return;
        const exited = new Promise(resolve => this.child.once("exit", resolve));
        this.child.kill("SIGKILL");
        await exited;
    }
}

/** A deployment: the daemons of a script, and the folder of their settings and logs. */
export class Deployment {
    daemons = [];
    folder = mkdtempSync(join(tmpdir(), "drumpaddle-review-"));

    /**
     * Starts daemons.
     *
     * @param hosts Name and zone of each.
     * @param store Address of the store for each host, by its number.
     */
    async start(hosts, store) {
        mkdirSync(this.folder, { recursive: true });
        const ports = [];
        for (let at = 0; at < hosts.length; at++) {
            ports.push({
                front: await freePort(),
                ready: await freePort(),
                control: await freePort(),
                metrics: await freePort(),
            });
        }
        const zones = Object.fromEntries(hosts.map(({ zone }) => [zone, "region-1"]));
        hosts.forEach(({ name, zone }, at) => {
            const { front, ready, control, metrics } = ports[at];
            const local = port => `127.0.0.1:${port}`;
            const text = render({
                Node: name,
                Zone: zone,
                Region: "region-1",
                Ip: "127.0.0.1",
                Seeds: ports.slice(0, 3).map(other => local(other.control)),
                Zones: zones,
                Listen: { Front: local(front), Ready: local(ready), Control: local(control) },
                Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000 },
                Bounds: BOUNDS,
                Provider: { Addr: store(at) },
            }).replace(":9464", `:${metrics}`);
            const settings = join(this.folder, `${name}.ini`);
            writeFileSync(settings, text);
            const [program, ...args] = RUN.map(arg => arg === SETTINGS_PATH ? settings : arg);
            const { PATH, HOME, LANG } = process.env;
            const env = {
                PATH,
                HOME,
                LANG,
                DRUMPADDLE_SETTINGS: settings,
                DRUMPADDLE_PEERS_SECRETS: "replace-me-for-each-deployment",
            };
            const child = spawn(program, args, { cwd: ROOT, env, stdio: ["ignore", "pipe", "pipe"] });
            const logPath = join(this.folder, `${name}.log`);
            writeFileSync(logPath, "");
            for (const stream of [child.stdout, child.stderr]) {
                stream.on("data", chunk => writeFileSync(logPath, chunk, { flag: "a" }));
            }
            this.daemons.push(new Daemon(name, ports[at], child, logPath));
        });
    }

    /** Resolves with whether all daemons became ready in time. */
    async untilReady() {
        const end = performance.now() + READY_TIMEOUT_MS;
        while (performance.now() < end) {
            const ready = await Promise.all(this.daemons.map(daemon => daemon.isReady()));
            if (ready.every(Boolean)) return true;
            await pause(100);
        }
        return false;
    }

    /** Ends all daemons and removes their files. */
    async stop() {
        await Promise.all(this.daemons.map(daemon => daemon.kill()));
        if (process.env.KEEP_LOGS) process.stderr.write(`${this.folder}\n`);
        else rmSync(this.folder, { recursive: true });
    }
}
