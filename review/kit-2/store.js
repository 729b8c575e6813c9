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
    /** Responses to calls that came while the machines were cut off; undefined unless they are. */
    heldBack = undefined;

    static async start() {
        const store = new Store();
        store.server = createServer((req, res) => store.handle(req, res));
        await new Promise(resolve => store.server.listen(0, "127.0.0.1", resolve));
        store.port = store.server.address().port;
        return store;
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

    /** Cuts the machines off from the store, without a sign. */
    cutOff() {
        this.heldBack = [...this.waiting].map(({ res, end }) => {
            end();
            return res;
        });
    }

    /** Ends that; what was called meanwhile gets no answer. */
    reconnect() {
        for (const res of this.heldBack) res.destroy();
        this.heldBack = undefined;
    }

    /** Forgets the history: watches that would need it get a 410. */
    forget() {
        this.history = [];
        this.forgottenUntil = this.revision;
    }

    handle(req, res) {
        if (this.heldBack) {
            req.resume();
            return void this.heldBack.push(res);
        }
        const url = new URL(req.url, "http://store");
        req.resume();
        const reply = (status, body) => {
            res.writeHead(status, { "Content-Type": "application/json" });
            res.end(JSON.stringify(body));
        };
        const { searchParams: query, pathname } = url;
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
        if (pathname === "/drumpaddle/kv-watch") return this.watch(query, res, reply);
        reply(404, {});
    }

    watch(query, res, reply) {
        const prefix = query.get("PathPrefix");
        const after = Number(query.get("AfterRev"));
        if (after < (this.forgottenUntil ?? 0)) return reply(410, {});
        const eventsNow = () => this.history.filter(({ Key, Revision }) => Revision > after && Key.startsWith(prefix));
        const watch = {
            res,
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
        this.server.closeAllConnections();
        this.server.close();
    }
}
