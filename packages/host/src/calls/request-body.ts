/**
 * Reads a caller's body whole, within a size and a time, so that nothing half-sent reaches an endpoint.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** What became of a body. */
export type BodyRead =
    | { readonly kind: "whole"; readonly bytes: Buffer | undefined }
    | { readonly kind: "tooLarge" }
    /** This host has no memory left for it. */
    | { readonly kind: "noRoom" }
    | { readonly kind: "timeout" }
    /** The caller left. */
    | { readonly kind: "gone" };

/** Bounds on a body. */
export interface BodyBounds {
    readonly mostBytes: number;
    readonly timeoutMs: number;
    /** Whether there is room for so much more, asked for each part of a body whose head does not tell its length. */
    readonly takeIn: (bytes: number) => boolean;
    /** Aborts when there is no room any more for what came. */
    readonly signal: AbortSignal;
}

/**
 * The length that a request's head tells of its body: 0 where it has none, undefined where only its end tells it.
 *
 * @example
 * ```ts
 * lengthTold(req); // 5_120
 * ```
 */
export function lengthTold({ headers }: Pick<IncomingMessage, "headers">): number | undefined {
    if (headers["transfer-encoding"] !== undefined) return undefined;
    return Number(headers["content-length"] ?? 0);
}

/**
 * Reads a body; never rejects.
 *
 * @example
 * ```ts
 * const body = await readBody(req, { mostBytes: 4_000_000, timeoutMs: 10_000, takeIn: () => true, signal });
 * if (body.kind === "whole") send(body.bytes);
 * ```
 */
export function readBody(
    req: IncomingMessage,
    { mostBytes, timeoutMs, takeIn, signal }: BodyBounds,
): Promise<BodyRead> {
    const isTold = lengthTold(req) !== undefined;
    return new Promise(resolve => {
        let chunks: Buffer[] = [];
        let isOver = false;
        let bytes = 0;
        const timer = setTimeout(() => end({ kind: "timeout" }), timeoutMs);
        const end = (read: BodyRead): void => {
            clearTimeout(timer);
            isOver = true;
            chunks = [];
            resolve(read);
        };
        signal.addEventListener("abort", () => end({ kind: "noRoom" }), { once: true });
        req.on("data", (chunk: Buffer) => {
            // What comes behind a refusal is read and forgotten, so that its caller gets to reading the answer.
            if (isOver) return;
            bytes += chunk.length;
            if (bytes > mostBytes) end({ kind: "tooLarge" });
            else if (!isTold && !takeIn(chunk.length)) end({ kind: "noRoom" });
            else chunks.push(chunk);
        });
        req.on("end", () => end({ kind: "whole", bytes: bodyOf(chunks) }));
        req.on("error", () => end({ kind: "gone" }));
        req.on("close", () => end({ kind: "gone" }));
    });
}

function bodyOf(chunks: readonly Buffer[]): Buffer | undefined {
    if (chunks.length === 0) return undefined;
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
