/**
 * The handshake of a connection between hosts. Each side sends a `hello` with a nonce, then proves with a MAC over the other's nonce
 * that it knows a shared secret.
 *
 * After the handshake a connection either carries frames of the mesh, or it is a stream: HTTP requests of the host that dialled it. The
 * MACs of a stream also cover who dialled, so that a proof of one side cannot be passed on as that of the other.
 *
 * @module
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import type { FrameMessage } from "./peer-codec.js";

/** The first message of each side. */
export interface Hello extends FrameMessage {
    readonly kind: "hello";
    readonly version: number;
    readonly name: string;
    readonly address: string;
    readonly nonce: Uint8Array;
    /** Whether the host that dialled asks for a stream. */
    readonly stream?: boolean;
    /** Whether the host that was dialled accepts streams. */
    readonly acceptsStreams?: boolean;
}

/** The second message of each side. */
export interface Proof extends FrameMessage {
    readonly kind: "proof";
    readonly mac: Uint8Array;
}

/** What a MAC proves about its sender: a peer of the mesh, or one side of a stream. */
export const ProofRole = { Mesh: "", StreamDialler: "stream-dialler", StreamAcceptor: "stream-acceptor" } as const;
export type ProofRole = typeof ProofRole[keyof typeof ProofRole];

/** Length of a nonce. */
export const NONCE_BYTES = 16;

/** Whether a received `hello` has all members in their types. */
export function isCompleteHello({ name, address, nonce }: Hello): boolean {
    return typeof name === "string" && typeof address === "string" && nonce instanceof Uint8Array;
}

/**
 * Creates the proof of a host.
 *
 * @param nonce The nonce of the other side.
 */
export function createProof(secret: string, nonce: Uint8Array, name: string, role: ProofRole): Proof {
    return { kind: "proof", mac: computeMac(secret, nonce, name, role) };
}

/** Whether a proof was made with one of the secrets, for this nonce, by the host of this name in this role. */
export function isValidProof(
    secrets: readonly string[],
    nonce: Uint8Array,
    name: string,
    role: ProofRole,
    { mac }: Proof,
): boolean {
    return secrets.some(secret => equalBytes(computeMac(secret, nonce, name, role), mac));
}

function computeMac(secret: string, nonce: Uint8Array, name: string, role: ProofRole): Buffer {
    return createHmac("sha256", secret).update(nonce).update(name).update(role).digest();
}

function equalBytes(a: Uint8Array, b: unknown): boolean {
    return b instanceof Uint8Array && a.length === b.length && timingSafeEqual(a, b);
}
