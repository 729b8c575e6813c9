/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md describes it: linearizable reads and writes, one counter of revisions,
 * long polls. It keeps its whole history.
 */
import { createServer } from "node:http";

export class Store {
    items = new Map();
    history = [];
    revision = 1;
    /** Waiting watches: the response and the function that answers it. */
    waiting = new Set();
    /** Calls by path and status, for the record. */
    calls = new Map();
    doors = [];

    static async start(port = 0) {
        const store = new Store();
        store.door = await store.addDoor(port);
        store.port = store.door.port;
        return store;
    }

    /** Adds an address for a machine. Through a door that turns away, every call gets a 503 and waiting watches are answered with one. */
    async addDoor(port = 0) {
        const door = { turnsAway: false };
        door.server = createServer((req, res) => this.handle(req, res, door));
        await new Promise(resolve => door.server.listen(port, "127.0.0.1", resolve));
        door.port = door.server.address().port;
        door.turnAway = () => {
            door.turnsAway = true;
            for (const watch of [...this.waiting]) if (watch.door === door) watch.refuse();
        };
        door.letIn = () => door.turnsAway = false;
        this.doors.push(door);
        return door;
    }

    /** Writes an item; returns when the store took it, in milliseconds of `performance.now()`. */
    put(key, value) {
        this.revision += 1;
        const item = {
            Key: key,
            Value: Buffer.from(JSON.stringify(value)).toString("base64"),
            Revision: this.revision,
            made: this.items.get(key)?.made ?? this.revision,
            lease: 0,
        };
        this.items.set(key, item);
        this.append(item);
        return performance.now();
    }

    /** Removes an item; returns when the store took that. */
    remove(key) {
        this.revision += 1;
        this.items.delete(key);
        this.append({ Key: key, Revision: this.revision, gone: true });
        return performance.now();
    }

    append(event) {
        this.history.push(event);
        for (const watch of [...this.waiting]) watch.answer();
    }

    /** Cuts all waiting watches: their connections are closed without an answer. Returns how many there were. */
    cutWatches() {
        const cut = [...this.waiting];
        for (const watch of cut) {
            watch.end();
            watch.res.destroy();
        }
        return cut.length;
    }

    handle(req, res, door) {
        const url = new URL(req.url, "http://store");
        req.resume();
        const reply = (status, body) => {
            res.writeHead(status, { "Content-Type": "application/json" });
            res.end(JSON.stringify(body));
        };
        if (door.turnsAway) return reply(503, {});
        const { searchParams: query, pathname } = url;
        this.calls.set(pathname, (this.calls.get(pathname) ?? 0) + 1);
        if (pathname === "/drumpaddle/kv-key") {
            const item = this.items.get(query.get("Key"));
            return item ? reply(200, { ...item, at: this.revision }) : reply(404, {});
        }
        if (pathname === "/drumpaddle/kv-range") {
            const prefix = query.get("PathPrefix");
            const after = query.get("AfterRev") ?? "";
            const found = [...this.items.values()].filter(({ Key }) => Key.startsWith(prefix) && Key > after)
                .sort((a, b) => a.Key < b.Key ? -1 : 1);
            return reply(200, { Items: found.slice(0, 500), more: found.length > 500, at: this.revision });
        }
        if (pathname === "/drumpaddle/kv-watch") return this.watch(query, res, reply, door);
        reply(404, {});
    }

    watch(query, res, reply, door) {
        const prefix = query.get("PathPrefix");
        const after = Number(query.get("AfterRev"));
        const eventsNow = () => this.history.filter(({ Key, Revision }) => Revision > after && Key.startsWith(prefix));
        const watch = {
            res,
            door,
            refuse: () => {
                watch.end();
                reply(503, {});
            },
            end: () => {
                clearTimeout(timer);
                this.waiting.delete(watch);
            },
            answer: () => {
                const events = eventsNow();
                if (events.length === 0) return;
                watch.end();
                reply(200, { events, at: this.revision });
            },
        };
        const timer = setTimeout(() => {
            watch.end();
            reply(200, { events: eventsNow(), at: this.revision });
        }, Math.min(30_000, Number(query.get("WaitMs"))));
        this.waiting.add(watch);
        res.on("close", watch.end);
        watch.answer();
    }

    stop() {
        for (const { server } of this.doors) {
            server.closeAllConnections();
            server.close();
        }
    }
}
