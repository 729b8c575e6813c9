/**
 * Writes forwarded answers to callers, and the gateway's own answers where no endpoint has answered.
 *
 * @module
 */
import type { PlatformWire } from "@drumpaddle/protocol";
import type { Ran, RequestError } from "@drumpaddle/request";
import type { ServerResponse } from "node:http";
import { type ApiError, errorBody, toApiError } from "./caller-answer.js";
import { CallerConnection } from "./caller-connection.js";
import type { CallerQueue } from "./caller-queue.js";
import type { AnswerPiece } from "./forward-attempt.js";
import type { Reply } from "./request-driver.js";

/** Retry delay for callers if the error names none, in milliseconds. */
const DEFAULT_RETRY_MS = 250;
const BAD_GATEWAY = 502;
/** Statuses that tell a caller that its call did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** An error that the gateway itself sends. */
export interface OwnAnswer {
    readonly callId: string | undefined;
    readonly err: ApiError;
    /** Whether to close the connection after the answer, if no request behind it waits for its own. */
    readonly close: boolean;
}

/** Replaces a status that says that the call did not run, unless that is proven. */
function statusWithinProof(status: number, ran: Ran): number {
    return ran !== "no" && NOT_RUN_STATUSES.has(status) ? BAD_GATEWAY : status;
}

/** Fields that close the connection after an answer, if no request behind it waits for its own. */
function closeFields(out: ServerResponse): readonly string[] {
    return CallerConnection.of(out).endAfter(out) ? ["Connection", "close"] : [];
}

/** Writes an error of the gateway itself, unless an answer was started. */
export function writeOwnAnswer(out: ServerResponse, wire: PlatformWire, { callId, err, close }: OwnAnswer): void {
    if (out.headersSent || out.destroyed) return;
    const status = statusWithinProof(err.status, err.ran);
    const retryAfterMs = NOT_RUN_STATUSES.has(status) ? err.retryAfterMs ?? DEFAULT_RETRY_MS : undefined;
    const body = JSON.stringify(errorBody(err));
    out.writeHead(status, [
        ...wire.encodeRefusalHead(callId, retryAfterMs),
        "Content-Type",
        "application/json",
        "Content-Length",
        String(Buffer.byteLength(body)),
        ...(close ? closeFields(out) : []),
    ]);
    out.end(body);
}

/**
 * Aborts an answer so that its caller notices. Without chunked encoding the connection is reset: the caller could take
 * its orderly end for the end of an answer without a declared length.
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

/** Dependencies of {@link forwardReply}. */
export interface ForwardReplyDeps {
    readonly out: ServerResponse;
    /** Queues what the caller has not read yet. */
    readonly queue: CallerQueue;
    readonly wire: PlatformWire;
    readonly callId: string;
    /** Whether callers are told to close their connection now. */
    readonly isClosing: () => boolean;
    /** Returns the latest complete error answer of an endpoint, if there was one. */
    readonly failedAnswer: () => AnswerPiece | undefined;
}

/**
 * Creates a reply that forwards pieces as they arrive.
 *
 * @example
 * ```ts
 * const reply = forwardReply({ out: res, queue, wire, callId, isClosing: () => false, failedAnswer: () => undefined });
 * ```
 */
export function forwardReply(deps: ForwardReplyDeps): Reply<AnswerPiece> {
    const { out, queue, wire, callId, isClosing, failedAnswer } = deps;
    const begin = ({ status, headers, length }: AnswerPiece): void => {
        if (out.headersSent) return;
        // Without a length Node writes chunks, the last one at the end of the call: a caller whose connection ends earlier,
        // also because this host was killed, sees that. Callers of HTTP/1.0 get no chunks.
        const framing = length === undefined ? [] : ["Content-Length", String(length)];
        out.writeHead(status, [...headers, ...framing, ...isClosing() ? closeFields(out) : []]);
    };
    const pass = (piece: AnswerPiece): void => {
        begin(piece);
        queue.write(piece.body);
    };
    return {
        forward: pass,
        discard: () => undefined,
        finish: last => {
            if (last) pass(last);
            queue.end();
        },
        fail: (err: RequestError) => {
            // Once the head was sent, only an aborted connection shows that the answer is not complete.
            if (out.headersSent) {
                queue.discard();
                return breakAnswer(out);
            }
            const errorAnswer = failedAnswer();
            if (errorAnswer) {
                pass(errorAnswer);
                queue.end();
                return;
            }
            writeOwnAnswer(out, wire, { callId, err: toApiError(err), close: isClosing() });
        },
    };
}
