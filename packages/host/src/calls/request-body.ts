/**
 * Reads the complete body of a request within a size and a time limit, so that no partial body reaches an endpoint.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** The result of reading a body. */
export type BodyRead =
    | { readonly kind: "whole"; readonly bytes: Buffer | undefined }
    | { readonly kind: "tooLarge" }
    /** The host has no memory left for the body. */
    | { readonly kind: "noRoom" }
    | { readonly kind: "timeout" }
    /** The caller closed the connection. */
    | { readonly kind: "gone" };

/** Limits on a body. */
export interface BodyLimits {
    readonly maxBytes: number;
    readonly timeoutMs: number;
    /** Reserves memory for more bytes, if there is room; called for each chunk of a body without a declared length. */
    readonly reserve: (bytes: number) => boolean;
    /** Aborts when the host needs the memory of the body back. */
    readonly signal: AbortSignal;
}

/**
 * Returns the length of a request's body by its head: 0 without a body, undefined for a chunked one.
 *
 * @example
 * ```ts
 * declaredLength(req); // 5_120
 * ```
 */
export function declaredLength({ headers }: Pick<IncomingMessage, "headers">): number | undefined {
    if (headers["transfer-encoding"] !== undefined) return undefined;
    return Number(headers["content-length"] ?? 0);
}

/**
 * Reads a body; never rejects.
 *
 * @example
 * ```ts
 * const body = await readBody(req, { maxBytes: 4_000_000, timeoutMs: 10_000, reserve: () => true, signal });
 * if (body.kind === "whole") send(body.bytes);
 * ```
 */
export function readBody(
    req: IncomingMessage,
    { maxBytes, timeoutMs, reserve, signal }: BodyLimits,
): Promise<BodyRead> {
    const isLengthDeclared = declaredLength(req) !== undefined;
    return new Promise(resolve => {
        let chunks: Buffer[] = [];
        let hasEnded = false;
        let bytes = 0;
        const timer = setTimeout(() => end({ kind: "timeout" }), timeoutMs);
        const end = (read: BodyRead): void => {
            clearTimeout(timer);
            hasEnded = true;
            chunks = [];
            resolve(read);
        };
        signal.addEventListener("abort", () => end({ kind: "noRoom" }), { once: true });
        req.on("data", (chunk: Buffer) => {
            // After a refusal the rest of the body is read and discarded, so that the caller gets to read the answer.
            if (hasEnded) return;
            bytes += chunk.length;
            if (bytes > maxBytes) end({ kind: "tooLarge" });
            else if (!isLengthDeclared && !reserve(chunk.length)) end({ kind: "noRoom" });
            else chunks.push(chunk);
        });
        req.on("end", () => end({ kind: "whole", bytes: joinChunks(chunks) }));
        req.on("error", () => end({ kind: "gone" }));
        req.on("close", () => end({ kind: "gone" }));
    });
}

function joinChunks(chunks: readonly Buffer[]): Buffer | undefined {
    if (chunks.length === 0) return undefined;
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
