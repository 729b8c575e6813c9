/**
 * The way of a forwarded answer back to its caller, and this system's own answers where there is none.
 *
 * @module
 */
import type { PlatformWire } from "@drumpaddle/protocol";
import type { Ran, RequestError } from "@drumpaddle/request";
import type { ServerResponse } from "node:http";
import { type ApiError, errorBody, toApiError } from "./answer.js";
import type { CallerQueue } from "./caller-queue.js";
import type { AnswerPiece } from "./forward-attempt.js";
import type { Reply } from "./run.js";

/** When a caller is asked to come back where the cause says nothing better, in milliseconds. */
const DEFAULT_RETRY_MS = 250;
const BAD_GATEWAY = 502;
/** Statuses that promise that the call has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** An own answer to a call. */
export interface Refusal {
    readonly callId: string | undefined;
    readonly err: ApiError;
    /** Whether the connection is closed after it. */
    readonly close: boolean;
}

/** The status that says no more than is known: only what has not run may be refused as such. */
function honestStatus(status: number, ran: Ran): number {
    return ran !== "no" && NOT_RUN_STATUSES.has(status) ? BAD_GATEWAY : status;
}

/** Writes an own answer. */
export function writeRefusal(out: ServerResponse, wire: PlatformWire, { callId, err, close }: Refusal): void {
    if (out.headersSent || out.destroyed) return;
    const status = honestStatus(err.status, err.ran);
    const retryAfterMs = NOT_RUN_STATUSES.has(status) ? err.retryAfterMs ?? DEFAULT_RETRY_MS : undefined;
    const body = JSON.stringify(errorBody(err));
    out.writeHead(status, [
        ...wire.writeRefusal(callId, retryAfterMs),
        "Content-Type",
        "application/json",
        "Content-Length",
        String(Buffer.byteLength(body)),
        ...(close ? ["Connection", "close"] : []),
    ]);
    out.end(body);
}

/**
 * Breaks an answer off so that its caller sees it. Without chunks it is reset: the orderly end of the connection would pass
 * for the end of an answer whose length was not told.
 *
 * @example
 * ```ts
 * if (res.headersSent) breakAnswer(res);
 * ```
 */
export function breakAnswer(out: ServerResponse): void {
    const hasNoChunks = out.headersSent && !out.chunkedEncoding && !out.writableFinished;
    if (hasNoChunks) out.socket?.resetAndDestroy();
    out.destroy();
}

/** What a forwarded answer needs to reach its caller. */
export interface ForwardReplyDeps {
    readonly out: ServerResponse;
    /** What waits for the caller. */
    readonly queue: CallerQueue;
    readonly wire: PlatformWire;
    readonly callId: string;
    /** Whether callers are asked to close their connection now. */
    readonly closing: () => boolean;
    /** The latest whole failure of an endpoint, if there was one. */
    readonly failedAnswer: () => AnswerPiece | undefined;
}

/**
 * A reply that passes pieces on as they come.
 *
 * @example
 * ```ts
 * const reply = forwardReply({ out: res, queue, wire, callId, closing: () => false, failedAnswer: () => undefined });
 * ```
 */
export function forwardReply(deps: ForwardReplyDeps): Reply<AnswerPiece> {
    const { out, queue, wire, callId, closing, failedAnswer } = deps;
    const begin = ({ status, headers, length, framed }: AnswerPiece): void => {
        if (out.headersSent) return;
        const framing = length === undefined ? [] : ["Content-Length", String(length)];
        // An answer whose end was never told may be cut: a length or chunks of ours would vouch for it. Without either the
        // connection ends with the answer.
        out.useChunkedEncodingByDefault &&= framed;
        const close = closing() ? ["Connection", "close"] : [];
        out.writeHead(status, [...headers, ...framing, ...close]);
    };
    const pass = (piece: AnswerPiece): void => {
        begin(piece);
        queue.write(piece.body);
    };
    return {
        forward: pass,
        drop: () => undefined,
        finish: last => {
            if (last) pass(last);
            queue.end();
        },
        fail: (err: RequestError) => {
            // Once the head is out, breaking the connection is the only sign that the answer is not whole.
            if (out.headersSent) {
                queue.drop();
                return breakAnswer(out);
            }
            const failed = failedAnswer();
            if (failed) {
                pass(failed);
                queue.end();
                return;
            }
            writeRefusal(out, wire, { callId, err: toApiError(err), close: closing() });
        },
    };
}
