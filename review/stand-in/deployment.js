// Starts a small deployment on loopback addresses: a stand-in of the platform's store with a configuration, and daemons as
// separate processes with the command of the deploy file.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const LOOPBACK = "127.0.0.1";
export const API_KEY = "k7d1m0c2";
export const ROUTE_HOST = "api.example";

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

export async function waitFor(what, condition, timeoutMs = 15_000) {
    const end = Date.now() + timeoutMs;
    while (!await condition()) {
        if (Date.now() > end) throw new Error(`not within ${timeoutMs} ms: ${what}`);
        await pause(25);
    }
}

/** Listens on a free port of the loopback interface. */
export function listen(server) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, LOOPBACK, () => resolve(server.address().port));
    });
}

async function freePorts(count) {
    const servers = Array.from({ length: count }, () => createServer());
    const ports = await Promise.all(servers.map(listen));
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** The platform's store, as far as a daemon reads it: `kv-key`, `kv-range` and `kv-watch` of PROTOCOL.md. */
export class Store {
    constructor() {
        this.items = new Map();
        this.history = [];
        this.revision = 1;
        this.waiting = new Set();
        this.server = createHttpServer((req, res) => void this.serve(req, res));
    }

    async start() {
        this.port = await listen(this.server);
    }

    put(key, value) {
        this.revision += 1;
        const Value = Buffer.from(JSON.stringify(value)).toString("base64");
        const made = this.items.get(key)?.made ?? this.revision;
        const item = { Key: key, Value, Revision: this.revision, made, lease: 0 };
        this.items.set(key, item);
        this.changed(item);
    }

    remove(key) {
        this.revision += 1;
        this.items.delete(key);
        this.changed({ Key: key, Revision: this.revision, gone: true });
    }

    changed(event) {
        this.history.push(event);
        for (const wake of [...this.waiting]) wake();
    }

    async serve(req, res) {
        const url = new URL(req.url, "http://store");
        const query = url.searchParams;
        const answer = (status, body) => {
            res.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
        };
        req.resume();
        if (url.pathname === "/drumpaddle/kv-key") {
            const item = this.items.get(query.get("Key"));
            return item ? answer(200, { ...item, at: this.revision }) : answer(404, {});
        }
        if (url.pathname === "/drumpaddle/kv-range") {
            const after = query.get("AfterRev");
            const Items = [...this.items.values()].filter(({ Key }) =>
                Key.startsWith(query.get("PathPrefix")) && (after === null || Key > after)
            );
            Items.sort((a, b) => a.Key < b.Key ? -1 : 1);
            return answer(200, { Items, more: false, at: this.revision });
        }
        if (url.pathname === "/drumpaddle/kv-watch") return this.watch(query, res, answer);
        return answer(404, {});
    }

    async watch(query, res, answer) {
        const after = Number(query.get("AfterRev"));
        const end = Date.now() + Number(query.get("WaitMs"));
        for (;;) {
            const events = this.history.filter(({ Key, Revision }) =>
                Revision > after && Key.startsWith(query.get("PathPrefix"))
            );
            if (res.destroyed) return;
            if (events.length > 0 || Date.now() >= end) return answer(200, { events, at: this.revision });
            await this.nextChange(end - Date.now());
        }
    }

    nextChange(timeoutMs) {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, timeoutMs);
            this.waiting.add(wake);
        });
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }
}

/** A route of the operator's configuration. */
export function routeOf(name, kind, service, more = {}) {
    return {
        Name: name,
        Host: ROUTE_HOST,
        PathPrefix: `/${name}/`,
        Kind: kind,
        TimeoutMs: 39_000,
        SloMs: 1_800,
        Priority: 1,
        Service: service,
        Attempts: 1,
        Public: false,
        Sticky: false,
        Resumable: false,
        ...(kind === "streaming" ? { gap_aim_ms: 180 } : {}),
        ...more,
    };
}

/** The operator's configuration. */
export function configOf(routes, more = {}) {
    return {
        Version: 1,
        Routes: routes,
        Services: [
            { Name: "app", HealthPath: "/healthz", MaxConns: 96, Protocol: "h1", Tls: false },
            { Name: "engines", HealthPath: "/healthz", MaxConns: 232, Protocol: "h1", Tls: false },
        ],
        Limits: { HeaderBytes: 16_384, BodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 5_000 },
        Tenants: [{ Name: "payroll", ApiKeys: [API_KEY] }],
        ...more,
    };
}

/** The registration of a worker. */
export function registrationOf(service, port, more = {}) {
    return {
        Service: service,
        Addr: `${LOOPBACK}:${port}`,
        Zone: "hall-a",
        Version: "v1",
        Slots: 24,
        State: "ready",
        ColdLeftMs: 0,
        Seq: 1,
        ...more,
    };
}

/** Fills the template of the settings as DEPLOY.md tells: values, lists, and sections. */
function render(template, fields) {
    const valueAt = path => path.split(".").reduce((at, name) => at?.[name], fields);
    return template
        .replace(/\{\{\^([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_all, path, text) => valueAt(path) === undefined ? text : "")
        .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_all, path, text) => {
            const entries = Object.entries(valueAt(path) ?? {});
            const texts = entries.map(([key, value], at) =>
                text.replace("{{@}}", key).replace("{{.}}", value).replace("{{,}}", at + 1 < entries.length ? "," : "")
            );
            return texts.join("");
        })
        .replace(/\{\{([\w.]+)\}\}/g, (_all, path) => {
            const value = valueAt(path);
            return Array.isArray(value) ? value.join(",") : String(value ?? "");
        });
}

/** The command of the deploy file, with another path of the settings. */
function commandOf(settings) {
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const command = /^run = "(node .*)"$/m.exec(deploy)?.[1];
    if (command === undefined) throw new Error("the deploy file has no command that starts with node");
    return command.split(" ").map(part => part === "/etc/drumpaddle/local.toml" ? settings : part);
}

/** A daemon as a process of its own. */
export class Daemon {
    constructor(name, store, { zone = "hall-a", memoryMb = 350, seeds = [] } = {}) {
        Object.assign(this, { name, store, zone, memoryMb, seeds });
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.log = "";
    }

    async start() {
        if (!this.ports) {
            const [front, ready, control, metrics] = await freePorts(4);
            this.ports = { front, ready, control, metrics };
        }
        const { front, ready, control, metrics } = this.ports;
        const template = readFileSync(join(ROOT, "platform/host.ini.template"), "utf8");
        const settings = render(template, {
            Node: this.name,
            Ip: LOOPBACK,
            Zone: this.zone,
            Region: "piedmont",
            Zones: { "hall-a": "piedmont", "hall-b": "piedmont", "hall-c": "piedmont" },
            Seeds: this.seeds.map(seed => `${LOOPBACK}:${seed}`),
            Listen: {
                Front: `${LOOPBACK}:${front}`,
                Ready: `${LOOPBACK}:${ready}`,
                Control: `${LOOPBACK}:${control}`,
            },
            Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: this.memoryMb, MaxFds: 4_100, LinkMbps: 1_000 },
            Bounds: { RetryBudgetRatio: 0.2, BudgetSlack: 52, BudgetWindowS: 10, GraceS: 8 },
            Provider: { Addr: `${LOOPBACK}:${this.store.port}` },
        }).replace(":9464", `:${metrics}`);
        const file = join(this.folder, "host.ini");
        writeFileSync(file, settings);
        const [, ...run] = commandOf(file);
        const { PATH, HOME, LANG } = process.env;
        const env = { PATH, HOME, ...(LANG ? { LANG } : {}), DRUMPADDLE_PEERS_SECRETS: "a-secret-of-the-review" };
        this.child = spawn(process.execPath, run, { cwd: ROOT, env, stdio: ["ignore", "pipe", "pipe"] });
        this.exited = new Promise(resolve => this.child.once("exit", (code, signal) => resolve({ code, signal })));
        for (const out of [this.child.stdout, this.child.stderr]) out.on("data", chunk => this.log += chunk);
        await waitFor(`${this.name} is ready`, () => this.isReady());
    }

    async isReady() {
        try {
            const signal = AbortSignal.timeout(1_000);
            return (await fetch(`http://${LOOPBACK}:${this.ports.ready}/drumpaddle/readyz`, { signal })).status === 200;
        }
        catch {
            return false;
        }
    }

    /** Sends a signal to the process. */
    kill(signal) {
        this.child.kill(signal);
    }

    get isRunning() {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    async end() {
        if (this.isRunning) {
            this.child.kill("SIGKILL");
            await this.exited;
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}
