/**
 * A stand-in for a model worker: it streams events with rising ids, receives copies of running requests as they grow, and goes on from a
 * copy where a request names one (`Kv-Backup`, `Kv-From`).
 */
import { createServer } from "node:http";
import { pause } from "./platform.js";

const EVENTS = 150;
const EVENT_MS = 40;
/** How long it takes until the first event. */
const PREFILL_MS = 200;

export class Engine {
    /** All engines, by address: a copy goes from one to another. */
    static all = new Map();
    /** Ids of the requests of which this engine keeps a copy. */
    copies = new Set();
    /** Runs of requests: when each began and when it last made an event, whether it went on from a copy, and what became of its connection. */
    runs = [];
    /** Whether it stops work on a request whose connection has closed. */
    dropsOnClose = true;
    /** Until when its streams rest, in milliseconds of `performance.now()`: they were put back for want of memory. */
    restsUntil = 0;
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
        return { Service: service, Addr: address, Zone: zone, ...fixed, Models: [{ Name: "m", Version: 1, Adapters: [] }] };
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
        const running = this.runs.filter(({ isOver }) => !isOver).length;
        const models = [{ Name: "m", Version: 1, Adapters: [] }];
        const memory = { KvUsed: running * 1500, KvTotal: 34305, Handles: this.copies.size };
        res.writeHead(200, { "Content-Type": "application/json" });
        res.end(JSON.stringify({
            Stage: "both",
            Models: models,
            Busy: false,
            Seq: this.orders,
            Queued: 0,
            Running: running,
            ...memory,
        }));
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
        target.copies.add(`${this.address}/${Id}`);
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
        if (backup !== undefined) Engine.all.get(backup)?.copies.add(`${backup}/${id}`);
        const began = performance.now();
        const run = { id, engine: this.id, began, lastAt: began, made: 0, continued: from !== undefined, isOver: false };
        this.runs.push(run);
        res.on("close", () => run.closedAt ??= performance.now());
        if (from === undefined) await pause(PREFILL_MS);
        res.writeHead(200, { "Attempt-Id": id, "Response-Seal": `seal-${id}`, "Content-Type": "text/event-stream" });
        for (let event = Number(req.headers["last-event-id"] ?? 0) + 1; event <= EVENTS; event++) {
            await pause(EVENT_MS);
            while (performance.now() < this.restsUntil) await pause(5);
            if (run.isStopped || res.destroyed && this.dropsOnClose) break;
            run.lastAt = performance.now();
            run.made = event;
            if (!res.destroyed) res.write(`id: ${event}\ndata: token ${event}\n\n`);
        }
        run.isOver = true;
        if (!res.destroyed) res.end();
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }
}
