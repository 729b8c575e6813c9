/**
 * Opens streams to peers: connections to a peer's port that carry HTTP once both sides have proved that they know the shared secret.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { connect, type Socket } from "node:net";
import { encodeFrame, type FrameMessage, FrameReader, PEER_VERSION } from "./peer-codec.js";
import {
    createProof,
    type Hello,
    isCompleteHello,
    isValidProof,
    NONCE_BYTES,
    type Proof,
    ProofRole,
} from "./peer-handshake.js";

/** Who opens a stream, and to whom. */
export interface PeerStreamCfg {
    readonly name: string;
    /** Address of the own peer port. */
    readonly address: string;
    /** The first secret signs and all are accepted. */
    readonly secrets: readonly string[];
    /** Address of the peer, as `ip:port`. */
    readonly to: string;
    readonly signal: AbortSignal;
}

/** A peer did not become the other end of a stream. */
export class PeerStreamError extends Error {
    override readonly name = "PeerStreamError";

    constructor(readonly kind: "unsupported" | "otherVersion" | "badProof" | "badFrame" | "closed", detail: string) {
        super(`${kind}: ${detail}`);
    }
}

/**
 * Opens a stream. Rejects with the network's error or a {@link PeerStreamError}.
 *
 * @example
 * ```ts
 * const socket = await openPeerStream({ name, address, secrets, to: "10.0.0.4:7080", signal });
 * ```
 */
export function openPeerStream(cfg: PeerStreamCfg): Promise<Socket> {
    return new Promise((resolve, reject) => {
        const portSeparator = cfg.to.lastIndexOf(":");
        const socket = connect({ host: cfg.to.slice(0, portSeparator), port: Number(cfg.to.slice(portSeparator + 1)) });
        const handshake = new DiallerHandshake(cfg, socket);
        const onAbort = (): void => void socket.destroy(cfg.signal.reason as Error);
        const settle = (): void => {
            cfg.signal.removeEventListener("abort", onAbort);
            for (const event of ["data", "error", "close"]) socket.removeAllListeners(event);
        };
        const onFailed = (err: Error): void => {
            settle();
            // Destroying the socket may emit another error.
            socket.on("error", () => undefined).destroy();
            reject(err);
        };
        cfg.signal.addEventListener("abort", onAbort, { once: true });
        socket.setNoDelay(true);
        socket.on("error", onFailed);
        socket.on("close", () => onFailed(new PeerStreamError("closed", "the peer closed the connection")));
        socket.on("data", chunk => {
            const result = handshake.receive(chunk);
            if (result instanceof Error) return onFailed(result);
            if (result !== "done") return;
            settle();
            socket.pause();
            resolve(socket);
        });
        handshake.start();
        if (cfg.signal.aborted) onAbort();
    });
}

/** The handshake of the host that dials. */
class DiallerHandshake {
    private readonly nonce = randomBytes(NONCE_BYTES);
    private readonly reader = new FrameReader();
    private peer: Hello | undefined;

    constructor(private readonly cfg: PeerStreamCfg, private readonly socket: Socket) {}

    start(): void {
        const { name, address } = this.cfg;
        const hello: Hello = { kind: "hello", version: PEER_VERSION, name, address, nonce: this.nonce, stream: true };
        this.send(hello);
    }

    receive(chunk: Buffer): "done" | "open" | PeerStreamError {
        this.reader.append(chunk);
        for (let read = this.reader.next(); read; read = this.reader.next()) {
            if ("err" in read) return new PeerStreamError("badFrame", read.err.kind);
            const result = this.handle(read.message);
            if (result !== "open") return result;
        }
        return "open";
    }

    private handle(message: FrameMessage): "done" | "open" | PeerStreamError {
        if (message.kind === "hello" && !this.peer) return this.handleHello(message as Hello);
        if (message.kind === "proof" && this.peer) return this.handleProof(message as Proof, this.peer);
        return new PeerStreamError("badFrame", `unexpected ${message.kind}`);
    }

    private handleHello(hello: Hello): "open" | PeerStreamError {
        if (hello.version !== PEER_VERSION) return new PeerStreamError("otherVersion", String(hello.version));
        if (!isCompleteHello(hello)) return new PeerStreamError("badFrame", "invalid hello");
        // Without a proof, a peer of an older release closes the connection and keeps the one of the mesh.
        if (hello.acceptsStreams !== true) return new PeerStreamError("unsupported", "the peer accepts no streams");
        this.peer = hello;
        return "open";
    }

    private handleProof(proof: Proof, peer: Hello): "done" | PeerStreamError {
        const { secrets, name } = this.cfg;
        if (!isValidProof(secrets, this.nonce, peer.name, ProofRole.StreamAcceptor, proof)) {
            return new PeerStreamError("badProof", "the peer does not know the secret");
        }
        this.send(createProof(secrets[0] ?? "", peer.nonce, name, ProofRole.StreamDialler));
        return "done";
    }

    private send(message: FrameMessage): void {
        this.socket.write(encodeFrame(message));
    }
}
