/**
 * A stand-in for a model worker: it streams events with rising ids, receives copies of running requests as they grow, and goes on from a
 * copy where a request names one (`Kv-Backup`, `Kv-From`).
 */
import { createServer } from "node:http";
import { pause } from "./platform.js";

const EVENT_MS = 40;
const TOKENS_PER_EVENT = 4;
/** How long it takes to read a prompt, also one that is read anew. */
const PREFILL_MS = 200;
/** Its memory, in tokens. */
const KV_TOKENS = 34_305;
const USUAL_PRIORITY = 5;
const MODELS = [{ Name: "m", Version: 1, Adapters: [] }];
/** How old its report is. */
const REPORT_LAG_MS = 300;

/** How much of its most a request generates: something that nobody knows before, the same at each engine. */
const lengthOf = id => Number.parseInt(id, 16) * 0.618 % 1;

export class Engine {
    /** All engines, by address: a copy goes from one to another. */
    static all = new Map();
    /** The requests of which this engine keeps a copy, by handle: the run that is copied. */
    copies = new Map();
    /** Runs of requests: when each began and when it last made an event, whether it went on from a copy, and what became of its connection. */
    runs = [];
    /** Whether it stops work on a request whose connection has closed. */
    dropsOnClose = true;
    /** How often a run was put back for want of memory. */
    putBack = 0;
    /** Its memory in use, by time, for reports that are some time old. */
    reports = [];
    orders = 0;

    static async start(id, service, zone) {
        const engine = new Engine();
        Object.assign(engine, { id, service, zone });
        engine.server = createServer((req, res) => engine.handle(req, res));
        await new Promise(resolve => engine.server.listen(0, "127.0.0.1", resolve));
        engine.address = `127.0.0.1:${engine.server.address().port}`;
        Engine.all.set(engine.address, engine);
        return engine;
    }

    /** Its entry in the platform's store. */
    get entry() {
        const { service, address, zone } = this;
        const fixed = { Version: "v1", Slots: 24, State: "ready", ColdLeftMs: 0, Stage: "both", Seq: 1 };
        return { Service: service, Addr: address, Zone: zone, ...fixed, Models: MODELS };
    }

    /** The memory of runs that are let in, and of copies, in tokens. */
    get used() {
        const own = this.runs.filter(({ isOver, isIn }) => isIn && !isOver).map(run => run.size());
        const kept = [...this.copies.values()].map(run => run.size());
        return [...own, ...kept].reduce((sum, size) => sum + size, 0);
    }

    get key() {
        return `servers/${this.id}`;
    }

    handle(req, res) {
        let body = "";
        req.on("data", chunk => body += chunk);
        req.on("end", () => {
            if (req.url === "/drumpaddle/report") return this.report(res);
            if (req.url === "/drumpaddle/kv-move") return this.move(JSON.parse(body), res);
            if (req.url.startsWith("/drumpaddle/")) return void res.end("{}");
            void this.run(req, res);
        });
    }

    report(res) {
        const now = performance.now();
        const open = this.runs.filter(({ isOver }) => !isOver);
        const running = open.filter(({ isIn }) => isIn).length;
        this.reports.push({ now, Queued: open.length - running, Running: running, KvUsed: this.used, Handles: this.copies.size });
        while (this.reports.length > 1 && this.reports[1].now < now - REPORT_LAG_MS) this.reports.shift();
        const { now: _at, ...figures } = this.reports[0];
        res.writeHead(200, { "Content-Type": "application/json" });
        res.end(JSON.stringify({ Stage: "both", Models: MODELS, Busy: false, Seq: this.orders, KvTotal: KV_TOKENS, ...figures }));
    }

    /** Copies a running request to another engine. With `last`, the run stops first. */
    move({ Id, TargetVersion, last }, res) {
        this.orders += 1;
        const found = this.runs.find(run => run.id === Id && !run.isOver);
        const target = Engine.all.get(TargetVersion);
        if (!found || !target) {
            res.writeHead(found ? 503 : 404);
            return void res.end("{}");
        }
        if (last !== undefined) found.isStopped = true;
        target.copies.set(`${this.address}/${Id}`, found);
        res.writeHead(200, { "Content-Type": "application/json" });
        res.end(JSON.stringify({ Handle: Id, made: found.made }));
    }

    async run(req, res) {
        const { "attempt-id": id, "expect-instance": named, "kv-backup": backup, "kv-from": from } = req.headers;
        const refuse = (status, headers) => {
            res.writeHead(status, { "Attempt-Id": id, ...headers });
            res.end();
        };
        if (named !== undefined && named !== this.id) return refuse(421, { "Instance-Id": this.id });
        if (from !== undefined && !this.copies.delete(from)) return refuse(503, { "Not-Executed": "1" });
        const [promptTokens, mostTokens] = req.headers["token-count"].split(",").map(Number);
        const priority = Number(req.headers.priority ?? USUAL_PRIORITY);
        const began = performance.now();
        const made = Number(req.headers["last-event-id"] ?? 0);
        const run = { id, engine: this.id, began, lastAt: began, madeAt: [], made, priority, continued: from !== undefined, isOver: false, isIn: false };
        run.size = () => promptTokens + run.made * TOKENS_PER_EVENT;
        this.runs.push(run);
        res.on("close", () => run.closedAt ??= performance.now());
        const backupAt = backup === undefined ? undefined : Engine.all.get(backup);
        if (backupAt && backupAt.used + run.size() <= KV_TOKENS) backupAt.copies.set(`${backup}/${id}`, run);
        const isGivenUp = () => run.isStopped || res.destroyed && this.dropsOnClose;
        await this.letIn(run, isGivenUp);
        if (from === undefined) await pause(PREFILL_MS);
        if (!isGivenUp()) {
            res.writeHead(200, { "Attempt-Id": id, "Response-Seal": `seal-${id}`, "Content-Type": "text/event-stream" });
        }
        const length = Math.ceil(mostTokens / TOKENS_PER_EVENT * (0.3 + 0.7 * lengthOf(id)));
        while (run.made < length) {
            await pause(EVENT_MS);
            if (!run.isIn) {
                await this.letIn(run, isGivenUp);
                await pause(PREFILL_MS);
            }
            if (isGivenUp()) break;
            run.lastAt = performance.now();
            run.madeAt.push(run.lastAt);
            run.made += 1;
            if (!res.destroyed) res.write(`id: ${run.made}\ndata: token ${run.made}\n\n`);
            if (this.used > KV_TOKENS) this.makeRoom();
        }
        run.isOver = true;
        backupAt?.copies.delete(`${backup}/${id}`);
        if (!res.destroyed) res.end();
    }

    /** Waits until there is room for a run. A more urgent one displaces others. */
    async letIn(run, isGivenUp) {
        for (;;) {
            if (isGivenUp() || this.used + run.size() <= KV_TOKENS) break;
            const others = this.runs.filter(({ isOver, isIn, priority }) => isIn && !isOver && priority > run.priority);
            if (others.length > 0) this.makeRoom();
            else await pause(5);
        }
        run.isIn = true;
    }

    /** Puts back the newest among the least urgent runs. */
    makeRoom() {
        const own = this.runs.filter(({ isOver, isIn }) => isIn && !isOver);
        const [last] = own.sort((a, b) => b.priority - a.priority || b.began - a.began);
        if (!last) return;
        last.isIn = false;
        this.putBack += 1;
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }
}
