/**
 * A stand-in for a worker of a plain service: it answers each request that names it after some work, with a seal and the id of the request.
 */
import { createServer } from "node:http";

/** After this it closes connections that carry no request, as its `Keep-Alive` tells. */
const IDLE_MS = 60_000;

export class Worker {
    /** Requests that arrived: when, by id and path, and whether they were run and answered. */
    arrivals = [];
    hasEnded = false;

    static async start(id, service, zone, workMs = 20) {
        const worker = new Worker();
        Object.assign(worker, { id, service, zone, workMs });
        worker.server = createServer((req, res) => worker.handle(req, res));
        worker.server.keepAliveTimeout = IDLE_MS;
        await new Promise(resolve => worker.server.listen(0, "127.0.0.1", resolve));
        worker.address = `127.0.0.1:${worker.server.address().port}`;
        return worker;
    }

    /** Its entry in the platform's store, with the address of its link if it has one. */
    get entry() {
        const { service, address, link, zone } = this;
        const fixed = { Version: "v1", Slots: 6, State: "ready", ColdLeftMs: 0, Seq: 1 };
        return { Service: service, Addr: link?.address ?? address, Zone: zone, ...fixed };
    }

    get key() {
        return `servers/${this.id}`;
    }

    handle(req, res) {
        const at = performance.now();
        const { "attempt-id": id, "expect-instance": named, tenant } = req.headers;
        req.resume();
        req.on("end", () => {
            if (named !== undefined && named !== this.id) {
                res.writeHead(421, { "Instance-Id": this.id, "Attempt-Id": id });
                return void res.end();
            }
            const arrival = { at, id, path: req.url, tenant, answered: false };
            this.arrivals.push(arrival);
            setTimeout(() => {
                if (res.destroyed) return;
                arrival.answered = true;
                res.writeHead(200, { "Attempt-Id": id, "Response-Seal": `seal-${id}`, "Content-Length": 2 });
                res.end("ok");
            }, this.workMs);
        });
    }

    /** Ends the process that it stands for: all its connections close. */
    stop() {
        this.hasEnded = true;
        this.server.closeAllConnections();
        this.server.close();
    }
}
