/**
 * A connection to an endpoint that a peer relays, in the form of a socket.
 *
 * @module
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import { Duplex } from "node:stream";

/** By which peer a connection is relayed. */
export interface RelayRoute {
    /** Name of the peer. */
    readonly host: string;
    /** Name of the connection, in the logs of both hosts. */
    readonly id: string;
}

/** Both directions of a relayed connection. It is destroyed with an error if the peer or the endpoint breaks it off. */
export class RelaySocket extends Duplex {
    constructor(
        readonly route: RelayRoute,
        private readonly req: ClientRequest,
        private readonly res: IncomingMessage,
    ) {
        super({ allowHalfOpen: false });
        res.on("data", chunk => {
            if (!this.push(chunk)) res.pause();
        });
        res.on("end", () => this.push(null));
        res.on("error", () => this.breakOff());
        res.on("close", () => {
            if (!res.complete) this.breakOff();
        });
        req.on("error", () => this.breakOff());
        // The answer's head came first; the rest of the answer waits until this socket is read.
        res.pause();
    }

    /** Undefined once the connection was broken off, as with a socket of the system that was reset. */
    get remoteAddress(): string | undefined {
        return this.res.complete || !this.destroyed ? this.route.host : undefined;
    }

    /** Does nothing: relayed connections never keep the process running. */
    ref(): this {
        return this;
    }

    /** Does nothing, as {@link ref}. */
    unref(): this {
        return this;
    }

    override _read(): void {
        this.res.resume();
    }

    override _write(chunk: Buffer, _encoding: BufferEncoding, done: (err?: Error | null) => void): void {
        // The request ends with its answer, of which a part may still wait here to be read.
        if (this.res.complete) return done();
        this.req.write(chunk, err => done(this.res.complete ? null : err));
    }

    override _final(done: (err?: Error | null) => void): void {
        if (this.res.complete) return done();
        this.req.end(() => done());
    }

    override _destroy(err: Error | null, done: (err?: Error | null) => void): void {
        this.req.destroy();
        this.res.destroy();
        done(err);
    }

    private breakOff(): void {
        if (this.destroyed || this.readableEnded) return;
        this.destroy(Object.assign(new Error("the relayed connection was broken off"), { code: "ECONNRESET" }));
    }
}
