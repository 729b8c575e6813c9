/**
 * A network path to a port of this machine, as a proxy. It can go silent: what is open then stays open and carries nothing more, and
 * it takes no further connections.
 */
import { connect, createServer } from "node:net";

export class Path {
    pairs = new Set();
    isSilent = false;

    /** Opens a path to a port. */
    static async open(target) {
        const path = new Path();
        path.server = createServer(near => path.accept(near, target));
        await new Promise(resolve => path.server.listen(0, "127.0.0.1", resolve));
        path.port = path.server.address().port;
        return path;
    }

    accept(near, target) {
        const far = connect(target, "127.0.0.1");
        const pair = [near, far];
        this.pairs.add(pair);
        near.setNoDelay(true);
        far.setNoDelay(true);
        for (const [from, to] of [[near, far], [far, near]]) {
            from.on("data", chunk => to.write(chunk));
            from.on("end", () => this.isSilent || to.end());
            from.on("error", () => this.isSilent || to.destroy());
            from.on("close", () => {
                this.pairs.delete(pair);
                if (!this.isSilent) to.destroy();
            });
        }
    }

    /** Number of open connections. */
    get size() {
        return this.pairs.size;
    }

    /** From now on, open connections carry nothing, without a sign to either end. */
    goSilent() {
        this.isSilent = true;
        this.server.close();
        for (const pair of this.pairs) for (const socket of pair) socket.pause();
    }

    close() {
        this.isSilent = true;
        this.server.close();
        for (const pair of this.pairs) for (const socket of pair) socket.destroy();
    }
}
