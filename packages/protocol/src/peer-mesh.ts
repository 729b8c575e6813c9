/**
 * Connections between hosts over TCP: one per pair, opened when there is something to send, checked by version and
 * shared secret before anything else is taken, bounded in what waits to be sent.
 *
 * A connection begins with a `hello` from both sides; each then proves that it knows a shared secret by a MAC over the
 * other's nonce. Messages wait until both proofs are good.
 *
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Clock } from "./clock.js";
import { encodeFrame, type FrameMessage, FrameReader, PEER_VERSION } from "./peer-codec.js";

/** Why a connection was refused or ended. */
export type PeerError =
    | { readonly kind: "otherVersion"; readonly found: number }
    | { readonly kind: "badProof" }
    | { readonly kind: "badFrame"; readonly detail: string }
    | { readonly kind: "slow"; readonly waitingBytes: number }
    | { readonly kind: "closed"; readonly detail: string };

/** Who is at the other end. */
export interface PeerName {
    readonly name: string;
    readonly address: string;
}

/** What the mesh is made of. */
export interface MeshCfg {
    readonly name: string;
    readonly listen: { readonly ip: string; readonly port: number };
    /** The first is used; the others are accepted too, while they are being replaced. */
    readonly secrets: readonly string[];
    readonly onMessage: (from: PeerName, message: FrameMessage) => void;
    readonly onError: (peer: string, err: PeerError) => void;
    readonly onBytes: (direction: "in" | "out", bytes: number) => void;
    /** Bounds what waits for peers; where it is not given, a fixed bound on each link ends it. */
    readonly waiting?: WaitingBounds;
    readonly clock: Clock;
    readonly signal: AbortSignal;
}

/** Bounds on what waits for peers that read slowly. */
export interface WaitingBounds {
    /** How much may wait for one peer before what is sent to it is dropped, in bytes; undefined for the fixed bound. */
    most(): number | undefined;
    /** What waits on a link has changed. */
    onChange(link: number, bytes: number): void;
    /** A message was dropped. */
    onDrop(): void;
}

interface Hello extends FrameMessage {
    readonly kind: "hello";
    readonly version: number;
    readonly name: string;
    readonly address: string;
    readonly nonce: Uint8Array;
}

interface Proof extends FrameMessage {
    readonly kind: "proof";
    readonly mac: Uint8Array;
}

interface Link {
    /** Tells it from all others of this host, so that two to the same peer are two. */
    readonly id: number;
    readonly socket: Socket;
    readonly nonce: Buffer;
    readonly dialled: string | undefined;
    peer: PeerName | undefined;
    /** Their proof was good. */
    trusted: boolean;
    readonly unsent: Buffer[];
    /** What waits to be sent, as it was told last. */
    waitingBytes: number;
}

const NONCE_BYTES = 16;
const CONNECT_TIMEOUT_MS = 1_000;
const HELLO_TIMEOUT_MS = 2_000;
/** A peer that reads nothing while this much waits is cut off; soft state is sent again anyway. */
const MAX_WAITING_BYTES = 16_000_000;
/** Messages that wait for a peer's proof. */
const MAX_UNSENT = 64;
const FIRST_REDIAL_MS = 100;
const LONGEST_REDIAL_MS = 3_000;

/** Connections of one host to its peers. */
export class PeerMesh {
    private readonly links = new Map<string, Link>();
    private readonly server: Server;
    private readonly adopted = new Map<number, Link>();
    /** When an address may be dialled again, and the pause after its next failure. */
    private readonly redial = new Map<string, { at: number; pauseMs: number }>();
    private address = "";
    private opened = 0;

    private constructor(private readonly cfg: MeshCfg) {
        this.server = createServer(socket => this.adopt(socket, undefined));
        cfg.signal.addEventListener("abort", () => this.close(), { once: true });
    }

    /** Starts to listen. */
    static async listen(cfg: MeshCfg): Promise<PeerMesh> {
        const mesh = new PeerMesh(cfg);
        const { ip, port } = cfg.listen;
        await new Promise<void>((resolve, reject) => {
            mesh.server.once("error", reject);
            mesh.server.listen(port, ip, resolve);
        });
        const bound = mesh.server.address();
        mesh.address = `${ip}:${typeof bound === "object" && bound ? bound.port : port}`;
        return mesh;
    }

    /** Where peers reach this host, as `ip:port`. */
    get at(): string {
        return this.address;
    }

    /** Open connections, in both directions. */
    get size(): number {
        return this.adopted.size;
    }

    /** Sends to an address. Nothing is promised: what cannot be sent soon is dropped. */
    send(address: string, message: FrameMessage): void {
        this.sendAll([address], message);
    }

    /** The same to several addresses: the message is encoded once. */
    sendAll(addresses: readonly string[], message: FrameMessage): void {
        const frame = encodeFrame(message);
        for (const address of addresses) {
            if (this.cfg.signal.aborted || address === this.address) continue;
            const link = this.links.get(address) ?? this.dial(address);
            if (link) this.write(link, frame, false);
        }
    }

    private dial(address: string): Link | undefined {
        const wait = this.redial.get(address);
        if (wait && this.cfg.clock.now() < wait.at) return undefined;
        const at = address.lastIndexOf(":");
        const socket = connect({ host: address.slice(0, at), port: Number(address.slice(at + 1)) });
        socket.setTimeout(
            CONNECT_TIMEOUT_MS,
            () => socket.connecting && socket.destroy(new Error("connecting took too long")),
        );
        return this.adopt(socket, address);
    }

    private adopt(socket: Socket, dialled: string | undefined): Link {
        this.opened += 1;
        const link: Link = {
            id: this.opened,
            socket,
            nonce: randomBytes(NONCE_BYTES),
            dialled,
            peer: undefined,
            trusted: false,
            unsent: [],
            waitingBytes: 0,
        };
        const reader = new FrameReader();
        this.adopted.set(link.id, link);
        if (dialled !== undefined) this.links.set(dialled, link);
        socket.setNoDelay(true);
        const timer = setTimeout(() => link.trusted || socket.destroy(new Error("no proof in time")), HELLO_TIMEOUT_MS);
        socket.on("data", chunk => {
            this.cfg.onBytes("in", chunk.length);
            const { messages, err } = reader.push(chunk);
            for (const message of messages) if (!socket.destroyed) this.take(link, message);
            if (err) this.cut(link, { kind: "badFrame", detail: err.kind });
        });
        socket.on("drain", () => this.noteWaiting(link, waitingFor(link)));
        let failure: string | undefined;
        socket.on("error", err => failure = err.message);
        socket.on("close", () => {
            clearTimeout(timer);
            this.forget(link, failure);
        });
        const hello: Hello = {
            kind: "hello",
            version: PEER_VERSION,
            name: this.cfg.name,
            address: this.address,
            nonce: link.nonce,
        };
        this.write(link, encodeFrame(hello), true);
        return link;
    }

    private forget(link: Link, failure: string | undefined): void {
        this.adopted.delete(link.id);
        this.noteWaiting(link, 0);
        const address = link.peer?.address ?? link.dialled;
        if (address !== undefined && this.links.get(address) === link) this.links.delete(address);
        if (this.cfg.signal.aborted || link.dialled === undefined) return;
        const pauseMs = Math.min(
            LONGEST_REDIAL_MS,
            (this.redial.get(link.dialled)?.pauseMs ?? FIRST_REDIAL_MS / 2) * 2,
        );
        // Full jitter keeps hosts that lost the same peer from coming back together; it decides nothing else.
        this.redial.set(link.dialled, { at: this.cfg.clock.now() + pauseMs * Math.random(), pauseMs });
        this.cfg.onError(link.dialled, { kind: "closed", detail: failure ?? "closed by the peer" });
    }

    private cut(link: Link, err: PeerError): void {
        this.cfg.onError(link.peer?.name ?? link.dialled ?? "unknown", err);
        link.socket.destroy();
    }

    private write(link: Link, frame: Buffer, beforeTrust: boolean): void {
        if (!beforeTrust && !this.mayWait(link)) return this.cfg.waiting?.onDrop();
        if (!beforeTrust && !link.trusted) {
            if (link.unsent.length < MAX_UNSENT) link.unsent.push(frame);
            return this.noteWaiting(link, waitingFor(link));
        }
        if (link.socket.writableLength > MAX_WAITING_BYTES) {
            this.cut(link, { kind: "slow", waitingBytes: link.socket.writableLength });
            return;
        }
        this.cfg.onBytes("out", frame.length);
        const taken = link.socket.write(frame);
        if (!taken) this.noteWaiting(link, link.socket.writableLength);
    }

    /** Whether a message may wait behind what waits already; one alone may, whatever its size. */
    private mayWait(link: Link): boolean {
        const most = this.cfg.waiting?.most();
        return most === undefined || link.waitingBytes === 0 || link.waitingBytes < most;
    }

    private noteWaiting(link: Link, bytes: number): void {
        if (link.waitingBytes === bytes) return;
        link.waitingBytes = bytes;
        this.cfg.waiting?.onChange(link.id, bytes);
    }

    /** Ends a link, with all that waits on it. */
    cutOff(id: number): void {
        const link = this.adopted.get(id);
        if (link) this.cut(link, { kind: "slow", waitingBytes: link.waitingBytes });
    }

    private take(link: Link, message: FrameMessage): void {
        if (message.kind === "hello") this.takeHello(link, message as Hello);
        else if (message.kind === "proof") this.takeProof(link, message as Proof);
        else if (link.trusted && link.peer) this.cfg.onMessage(link.peer, message);
        else this.cut(link, { kind: "badProof" });
    }

    private takeHello(link: Link, hello: Hello): void {
        if (hello.version !== PEER_VERSION) return this.cut(link, { kind: "otherVersion", found: hello.version });
        const whole = typeof hello.name === "string" && typeof hello.address === "string"
            && hello.nonce instanceof Uint8Array;
        if (!whole || link.peer) return this.cut(link, { kind: "badFrame", detail: "a hello that is not whole" });
        link.peer = { name: hello.name, address: hello.address };
        const proof: Proof = { kind: "proof", mac: this.mac(this.cfg.secrets[0] ?? "", hello.nonce, this.cfg.name) };
        this.write(link, encodeFrame(proof), true);
    }

    private takeProof(link: Link, proof: Proof): void {
        const peer = link.peer;
        const good = peer && this.cfg.secrets.some(secret => same(this.mac(secret, link.nonce, peer.name), proof.mac));
        if (!peer || !good) return this.cut(link, { kind: "badProof" });
        link.trusted = true;
        this.redial.delete(peer.address);
        this.keepOne(link, peer);
        const unsent = link.unsent.splice(0);
        this.noteWaiting(link, 0);
        for (const frame of unsent) this.write(link, frame, false);
    }

    /** Of two connections of a pair, the one that the host of the lesser name dialled stays for sending. */
    private keepOne(link: Link, peer: PeerName): void {
        const other = this.links.get(peer.address);
        if (!other || other === link || !other.trusted) {
            if (link.dialled !== undefined && link.dialled !== peer.address) this.links.delete(link.dialled);
            this.links.set(peer.address, link);
            if (other && other !== link) {
                link.unsent.push(...other.unsent.splice(0));
            }
            return;
        }
        const dialledByUs = link.dialled !== undefined;
        const keepNew = dialledByUs === this.cfg.name < peer.name;
        if (keepNew) this.links.set(peer.address, link);
        (keepNew ? other : link).socket.end();
    }

    private mac(secret: string, nonce: Uint8Array, name: string): Buffer {
        return createHmac("sha256", secret).update(nonce).update(name).digest();
    }

    private close(): void {
        for (const { socket } of this.adopted.values()) socket.destroy();
        this.server.close();
    }
}

function waitingFor({ unsent }: Link): number {
    return unsent.reduce((sum, frame) => sum + frame.length, 0);
}

function same(a: Uint8Array, b: unknown): boolean {
    return b instanceof Uint8Array && a.length === b.length && timingSafeEqual(a, b);
}
