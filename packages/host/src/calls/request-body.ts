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
    | { readonly kind: "timeout" }
    /** The caller left. */
    | { readonly kind: "gone" };

/**
 * Reads a body; never rejects.
 *
 * @example
 * ```ts
 * const body = await readBody(req, 4_000_000, 10_000);
 * if (body.kind === "whole") send(body.bytes);
 * ```
 */
export function readBody(req: IncomingMessage, mostBytes: number, timeoutMs: number): Promise<BodyRead> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        const timer = setTimeout(() => end({ kind: "timeout" }), timeoutMs);
        const end = (read: BodyRead): void => {
            clearTimeout(timer);
            resolve(read);
        };
        req.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > mostBytes) end({ kind: "tooLarge" });
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
