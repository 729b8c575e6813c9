/**
 * TCP connections between hosts. Each pair of hosts shares one connection, which is opened when there is a message to
 * send. The queue of unsent bytes is bounded.
 *
 * Both sides of a connection begin with a handshake (`peer-handshake`). A host sends and accepts other messages only after it
 * has verified the peer's proof. A connection that a peer dialled as a stream leaves the mesh after its handshake.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Clock } from "./clock.js";
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

/** Why a connection was refused or ended. */
export type PeerError =
    | { readonly kind: "otherVersion"; readonly found: number }
    | { readonly kind: "badProof" }
    | { readonly kind: "badFrame"; readonly detail: string }
    | { readonly kind: "slow"; readonly waitingBytes: number }
    | { readonly kind: "closed"; readonly detail: string };

/** The host at the other end of a connection. */
export interface PeerName {
    readonly name: string;
    readonly address: string;
}

/** Configuration and callbacks of a mesh. */
export interface MeshCfg {
    readonly name: string;
    readonly listen: { readonly ip: string; readonly port: number };
    /** The first secret signs and all are accepted, so that secrets can be rotated. */
    readonly secrets: readonly string[];
    readonly onMessage: (from: PeerName, message: FrameMessage) => void;
    readonly onError: (peer: string, err: PeerError) => void;
    readonly onBytes: (direction: "in" | "out", bytes: number) => void;
    /** Called with each stream that a peer opens, after its handshake; if absent, streams are refused. */
    readonly onStream?: (from: PeerName, socket: Socket) => void;
    /** Bounds the send queues; if absent, a link whose queue exceeds a fixed bound is closed. */
    readonly sendQueues?: SendQueueBounds;
    readonly clock: Clock;
    readonly signal: AbortSignal;
}

/** Bounds the send queues of peers that read slowly. */
export interface SendQueueBounds {
    /** Queued bytes per peer above which further messages to it are dropped; undefined for the fixed bound. */
    most(): number | undefined;
    /** Called when the number of queued bytes of a link changes. */
    onChange(link: number, bytes: number): void;
    /** Called when a message is dropped. */
    onDrop(): void;
}

/** One connection to a peer. */
interface Link {
    /** Unique among all links of this host, including two links to the same peer. */
    readonly id: number;
    readonly socket: Socket;
    readonly nonce: Buffer;
    /** The address that this host has dialled; undefined if the peer opened the connection. */
    readonly dialledTo: string | undefined;
    peer: PeerName | undefined;
    /** Whether the peer has dialled it as a stream. */
    isStream: boolean;
    /** Whether the peer's proof was valid. */
    isAuthenticated: boolean;
    readonly reader: FrameReader;
    /** Ends the connection if the handshake takes too long. */
    handshakeTimer: NodeJS.Timeout | undefined;
    /** Frames that wait for the peer's proof. */
    readonly unsentFrames: Buffer[];
    /** Bytes that wait to be sent, as last reported to {@link SendQueueBounds}. */
    queuedBytes: number;
}

const CONNECT_TIMEOUT_MS = 1_000;
const HANDSHAKE_TIMEOUT_MS = 2_000;
/** A link with more queued bytes is closed. Nothing of lasting value is lost: hosts share only soft state, which they send again. */
const MAX_QUEUED_BYTES = 16_000_000;
/** Most frames that wait for a peer's proof; further ones are dropped. */
const MAX_UNSENT_FRAMES = 64;
const MIN_REDIAL_DELAY_MS = 100;
const MAX_REDIAL_DELAY_MS = 3_000;

/** Connections of one host to its peers. */
export class PeerMesh {
    /** The link on which messages to an address are sent. */
    private readonly byAddress = new Map<string, Link>();
    private readonly server: Server;
    /** All open links, by {@link Link.id}. */
    private readonly openLinks = new Map<number, Link>();
    /** By address: when it may be dialled again, and the upper bound of the last delay, which doubles with each failure. */
    private readonly redialBackoffs = new Map<string, { at: number; delayMs: number }>();
    private address = "";
    private lastLinkId = 0;

    private constructor(private readonly cfg: MeshCfg) {
        this.server = createServer(socket => this.attachSocket(socket, undefined));
        cfg.signal.addEventListener("abort", () => this.close(), { once: true });
    }

    /** Creates a mesh and listens for peers. */
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

    /** The address on which this host listens for peers, as `ip:port`. */
    get at(): string {
        return this.address;
    }

    /** Number of open connections, dialled and accepted. */
    get openConnections(): number {
        return this.openLinks.size;
    }

    /** Sends a message to an address, with no guarantee: it is dropped if it cannot be sent soon. */
    send(address: string, message: FrameMessage): void {
        this.sendAll([address], message);
    }

    /** Sends a message to several addresses as {@link send} does, but encodes it only once. */
    sendAll(addresses: readonly string[], message: FrameMessage): void {
        const frame = encodeFrame(message);
        for (const address of addresses) {
            if (this.cfg.signal.aborted || address === this.address) continue;
            const link = this.byAddress.get(address) ?? this.dial(address);
            if (link) this.write(link, frame, false);
        }
    }

    private dial(address: string): Link | undefined {
        const backoff = this.redialBackoffs.get(address);
        if (backoff && this.cfg.clock.now() < backoff.at) return undefined;
        const portSeparator = address.lastIndexOf(":");
        const socket = connect({
            host: address.slice(0, portSeparator),
            port: Number(address.slice(portSeparator + 1)),
        });
        socket.setTimeout(
            CONNECT_TIMEOUT_MS,
            () => socket.connecting && socket.destroy(new Error("connection attempt timed out")),
        );
        return this.attachSocket(socket, address);
    }

    private attachSocket(socket: Socket, dialled: string | undefined): Link {
        this.lastLinkId += 1;
        const link: Link = {
            id: this.lastLinkId,
            socket,
            nonce: randomBytes(NONCE_BYTES),
            dialledTo: dialled,
            peer: undefined,
            isStream: false,
            isAuthenticated: false,
            reader: new FrameReader(),
            handshakeTimer: undefined,
            unsentFrames: [],
            queuedBytes: 0,
        };
        this.openLinks.set(link.id, link);
        if (dialled !== undefined) this.byAddress.set(dialled, link);
        socket.setNoDelay(true);
        link.handshakeTimer = setTimeout(
            () => link.isAuthenticated || socket.destroy(new Error("handshake timed out")),
            HANDSHAKE_TIMEOUT_MS,
        );
        socket.on("data", chunk => {
            this.cfg.onBytes("in", chunk.length);
            link.reader.append(chunk);
            this.readMessages(link);
        });
        socket.on("drain", () => this.setQueuedBytes(link, unsentBytesOf(link)));
        let failure: string | undefined;
        socket.on("error", err => failure = err.message);
        socket.on("close", () => {
            clearTimeout(link.handshakeTimer);
            this.handleClose(link, failure);
        });
        const hello: Hello = {
            kind: "hello",
            version: PEER_VERSION,
            name: this.cfg.name,
            address: this.address,
            nonce: link.nonce,
            ...(this.cfg.onStream ? { acceptsStreams: true } : {}),
        };
        this.write(link, encodeFrame(hello), true);
        return link;
    }

    private readMessages(link: Link): void {
        for (let read = link.reader.next(); read; read = link.reader.next()) {
            if ("err" in read) return this.fail(link, { kind: "badFrame", detail: read.err.kind });
            this.handleMessage(link, read.message);
            // What follows the handshake of a stream is no frame.
            if (link.socket.destroyed || link.isStream && link.isAuthenticated) return;
        }
    }

    private handleClose(link: Link, failure: string | undefined): void {
        this.openLinks.delete(link.id);
        this.setQueuedBytes(link, 0);
        const address = link.peer?.address ?? link.dialledTo;
        if (address !== undefined && this.byAddress.get(address) === link) this.byAddress.delete(address);
        if (this.cfg.signal.aborted || link.dialledTo === undefined) return;
        const delayMs = Math.min(
            MAX_REDIAL_DELAY_MS,
            (this.redialBackoffs.get(link.dialledTo)?.delayMs ?? MIN_REDIAL_DELAY_MS / 2) * 2,
        );
        // Full jitter keeps hosts that lost the same peer from reconnecting at the same time.
        this.redialBackoffs.set(link.dialledTo, {
            at: this.cfg.clock.now() + delayMs * Math.random(),
            delayMs,
        });
        this.cfg.onError(link.dialledTo, { kind: "closed", detail: failure ?? "closed by the peer" });
    }

    /** Reports an error of a link and closes the link. */
    private fail(link: Link, err: PeerError): void {
        this.cfg.onError(link.peer?.name ?? link.dialledTo ?? "unknown", err);
        link.socket.destroy();
    }

    private write(link: Link, frame: Buffer, isHandshake: boolean): void {
        if (!isHandshake && !this.mayQueue(link)) return this.cfg.sendQueues?.onDrop();
        if (!isHandshake && !link.isAuthenticated) {
            if (link.unsentFrames.length < MAX_UNSENT_FRAMES) link.unsentFrames.push(frame);
            return this.setQueuedBytes(link, unsentBytesOf(link));
        }
        if (link.socket.writableLength > MAX_QUEUED_BYTES) {
            this.fail(link, { kind: "slow", waitingBytes: link.socket.writableLength });
            return;
        }
        this.cfg.onBytes("out", frame.length);
        const isFlushed = link.socket.write(frame);
        if (!isFlushed) this.setQueuedBytes(link, link.socket.writableLength);
    }

    /** Whether the link's queue has room for a message. An empty queue accepts a message of any size. */
    private mayQueue(link: Link): boolean {
        const maxBytes = this.cfg.sendQueues?.most();
        return maxBytes === undefined || link.queuedBytes === 0 || link.queuedBytes < maxBytes;
    }

    private setQueuedBytes(link: Link, bytes: number): void {
        if (link.queuedBytes === bytes) return;
        link.queuedBytes = bytes;
        this.cfg.sendQueues?.onChange(link.id, bytes);
    }

    /** Closes a link and discards its queue. */
    closeLink(id: number): void {
        const link = this.openLinks.get(id);
        if (link) this.fail(link, { kind: "slow", waitingBytes: link.queuedBytes });
    }

    private handleMessage(link: Link, message: FrameMessage): void {
        if (message.kind === "hello") this.handleHello(link, message as Hello);
        else if (message.kind === "proof") this.handleProof(link, message as Proof);
        else if (link.isAuthenticated && link.peer) this.cfg.onMessage(link.peer, message);
        else this.fail(link, { kind: "badProof" });
    }

    private handleHello(link: Link, hello: Hello): void {
        if (hello.version !== PEER_VERSION) return this.fail(link, { kind: "otherVersion", found: hello.version });
        if (!isCompleteHello(hello) || link.peer) return this.fail(link, { kind: "badFrame", detail: "invalid hello" });
        link.peer = { name: hello.name, address: hello.address };
        link.isStream = hello.stream === true;
        if (link.isStream && !this.acceptsStream(link)) {
            return this.fail(link, { kind: "badFrame", detail: "no stream" });
        }
        const role = link.isStream ? ProofRole.StreamAcceptor : ProofRole.Mesh;
        const proof = createProof(this.cfg.secrets[0] ?? "", hello.nonce, this.cfg.name, role);
        this.write(link, encodeFrame(proof), true);
    }

    private acceptsStream({ dialledTo }: Link): boolean {
        return dialledTo === undefined && this.cfg.onStream !== undefined;
    }

    private handleProof(link: Link, proof: Proof): void {
        const peer = link.peer;
        const role = link.isStream ? ProofRole.StreamDialler : ProofRole.Mesh;
        const isValid = peer && isValidProof(this.cfg.secrets, link.nonce, peer.name, role, proof);
        if (!peer || !isValid) return this.fail(link, { kind: "badProof" });
        link.isAuthenticated = true;
        if (link.isStream) return this.detachStream(link, peer);
        this.redialBackoffs.delete(peer.address);
        this.closeDuplicate(link, peer);
        const unsent = link.unsentFrames.splice(0);
        this.setQueuedBytes(link, 0);
        for (const frame of unsent) this.write(link, frame, false);
    }

    /** Takes a stream out of the mesh and hands it over, with the bytes that followed the handshake. */
    private detachStream(link: Link, peer: PeerName): void {
        const { socket, reader } = link;
        for (const event of ["data", "drain", "error", "close"]) socket.removeAllListeners(event);
        clearTimeout(link.handshakeTimer);
        this.openLinks.delete(link.id);
        socket.pause();
        const rest = reader.takeRest();
        this.cfg.onStream?.(peer, socket);
        if (rest.length > 0) socket.unshift(rest);
        process.nextTick(() => socket.resume());
    }

    /**
     * Of two authenticated connections to the same peer, keeps the one that the host with the lesser name has dialled. A
     * connection that is not authenticated yet stays open, but hands over its unsent frames and is no longer sent to.
     */
    private closeDuplicate(link: Link, peer: PeerName): void {
        const other = this.byAddress.get(peer.address);
        if (!other || other === link || !other.isAuthenticated) {
            if (link.dialledTo !== undefined && link.dialledTo !== peer.address) this.byAddress.delete(link.dialledTo);
            this.byAddress.set(peer.address, link);
            if (other && other !== link) {
                link.unsentFrames.push(...other.unsentFrames.splice(0));
            }
            return;
        }
        const dialledByUs = link.dialledTo !== undefined;
        const keepsNew = dialledByUs === this.cfg.name < peer.name;
        if (keepsNew) this.byAddress.set(peer.address, link);
        (keepsNew ? other : link).socket.end();
    }

    private close(): void {
        for (const { socket } of this.openLinks.values()) socket.destroy();
        this.server.close();
    }
}

function unsentBytesOf({ unsentFrames: unsent }: Link): number {
    return unsent.reduce((sum, frame) => sum + frame.length, 0);
}
