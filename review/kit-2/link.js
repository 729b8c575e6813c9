/**
 * The link from the machines of other zones to a worker, as a proxy that can be cut.
 */
import { connect, createServer } from "node:net";

/** How TCP sends again what was not acknowledged: after 200 ms, and then after twice as long each time. */
const FIRST_RETRY_MS = 200;

/** When bytes that were first sent at a time arrive, if their link is cut until another time. */
function arrivalOf(sentAt, healedAt) {
    let at = sentAt;
    for (let wait = FIRST_RETRY_MS; at < healedAt; wait *= 2) at += wait;
    return at;
}

/**
 * The link from the machines of other zones to a worker. While it is cut it carries nothing, without a sign. What was sent meanwhile on
 * connections from before arrives when TCP sends it again, unless its sender has reset the connection: then it is lost.
 */
export class Link {
    sockets = new Set();
    cutAt = undefined;

    static async open(target) {
        const link = new Link();
        link.server = createServer({ allowHalfOpen: true }, near => link.accept(near, target));
        await new Promise(resolve => link.server.listen(0, "127.0.0.1", resolve));
        link.address = `127.0.0.1:${link.server.address().port}`;
        return link;
    }

    accept(near, target) {
        near.on("error", () => undefined);
        this.sockets.add(near);
        near.on("close", () => this.sockets.delete(near));
        // The opening packets of new connections are lost too.
        if (this.cutAt !== undefined) return void near.pause();
        const far = connect({ port: Number(target.split(":")[1]), host: "127.0.0.1", allowHalfOpen: true });
        far.on("error", () => near.destroy());
        near.far = far;
        far.pipe(near, { end: false });
        far.on("end", () => near.end());
        near.on("data", chunk => far.write(chunk));
        near.on("end", () => far.end());
        near.on("close", () => far.destroy());
    }

    /** Cuts the link. */
    cut() {
        this.cutAt = performance.now();
        for (const near of this.sockets) {
            near.pause();
            near.far?.unpipe(near);
        }
    }

    /** Ends the cut. What was sent on connections from before is taken for sent right after the cut began. */
    heal() {
        const waitMs = arrivalOf(this.cutAt, performance.now()) - performance.now();
        this.cutAt = undefined;
        for (const near of this.sockets) setTimeout(() => this.carryOn(near), waitMs);
    }

    /** Reads what a sender has left on a connection, and passes it on unless the sender has reset that. */
    carryOn(near) {
        const held = [];
        near.removeAllListeners("data");
        near.removeAllListeners("end");
        const keep = chunk => held.push(chunk);
        near.on("data", keep);
        const settled = new Promise(resolve => {
            near.once("end", () => resolve(near.remoteAddress === undefined ? "reset" : "ended"));
            near.once("error", () => resolve("reset"));
            near.once("close", () => resolve("reset"));
            setTimeout(() => resolve("open"), 50);
        });
        near.resume();
        void settled.then(how => {
            near.off("data", keep);
            if (how === "reset" || !near.far) return void near.destroy();
            for (const chunk of held) near.far.write(chunk);
            near.far.pipe(near, { end: false });
            if (how === "ended") near.far.end();
            else {
                near.on("data", chunk => near.far.write(chunk));
                near.on("end", () => near.far.end());
            }
        });
    }

    close() {
        this.server.close();
        for (const near of this.sockets) {
            near.far?.destroy();
            near.destroy();
        }
    }
}
