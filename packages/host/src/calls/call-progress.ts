/**
 * How far a forwarded call has come: what its attempts share, and from where a later attempt may go on.
 *
 * @module
 */
import type { Continuation } from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { CallMemory } from "../runtime/call-memory.js";
import type { Copy } from "./copies.js";
import type { AnswerPiece } from "./forward-attempt.js";
import { isNext, type SentBefore } from "./judge-answer.js";
import type { AttemptSink } from "./run.js";

/** What a call's attempts share. */
export interface CallProgress {
    /** Undefined too once no attempt needs it any more. */
    body: Buffer | undefined;
    /** When the call is given up, on the monotonic clock. */
    readonly deadline: number;
    /** Id of the latest attempt. */
    attempt: string;
    /** Endpoint of the latest attempt; undefined where it is no longer registered. */
    endpoint: EndpointEntry | undefined;
    /** How slow that endpoint was taken to be when the attempt began, as a factor of the mean of its kind. */
    slowness: number | undefined;
    /** Endpoint that keeps the copy: its registration may be gone by the time that it is needed. */
    standby: EndpointEntry | undefined;
    /** A copy that was made because the endpoint is leaving; goes before the one that grows with the generation. */
    copy: Copy | undefined;
    /** Id of the last event that went to the caller. */
    lastEvent: string | undefined;
    /** Whether each event's id was one above the id before; undefined while only one was seen. */
    idsRiseByOne: boolean | undefined;
    /** Whether the end of the caller's answer can be seen in its bytes; known with its first piece. */
    framed: boolean;
    /** The latest answer of an endpoint. */
    answered: { readonly status: number; readonly framed: boolean } | undefined;
    /** What an endpoint had left unread of the body when its attempt was given up, and for how long; undefined where it read all. */
    bodyUnread: { readonly bytes: number; readonly ms: number } | undefined;
    /** The latest whole failure of an endpoint; goes to the caller where no attempt after it is answered. */
    failedAnswer: AnswerPiece | undefined;
}

/**
 * A call of which nothing has been sent.
 *
 * @param deadline When it is given up, in milliseconds on the monotonic clock.
 *
 * @example
 * ```ts
 * const progress = beginCall(body, clock.now() + 2_000);
 * ```
 */
export function beginCall(body: Buffer | undefined, deadline: number): CallProgress {
    return {
        body,
        deadline,
        attempt: "",
        endpoint: undefined,
        slowness: undefined,
        standby: undefined,
        copy: undefined,
        lastEvent: undefined,
        idsRiseByOne: undefined,
        framed: true,
        answered: undefined,
        bodyUnread: undefined,
        failedAnswer: undefined,
    };
}

/**
 * The endpoint that keeps the call's copy, if it is this one; it is known here also when its registration is gone.
 *
 * @example
 * ```ts
 * const endpoint = knownStandby(progress, incarnation) ?? registered(incarnation);
 * ```
 */
export function knownStandby({ copy, standby }: CallProgress, incarnation: string): EndpointEntry | undefined {
    return [copy?.standby, standby].find(entry => entry?.incarnation === incarnation);
}

/**
 * What of earlier attempts has gone to the caller; undefined where nothing has.
 *
 * @param pieces Index of the next piece, where the call goes on from a copy.
 *
 * @example
 * ```ts
 * sentBefore(progress, 7)?.lastEvent; // "7"
 * ```
 */
export function sentBefore(progress: CallProgress, pieces: number | undefined): SentBefore | undefined {
    if (pieces === undefined || pieces === 0) return undefined;
    const { lastEvent, framed, idsRiseByOne = false } = progress;
    return { pieces, lastEvent, framed, idsRiseByOne };
}

/**
 * Where a generation goes on from: a copy that its source made, or the one that grew at the endpoint itself.
 *
 * @example
 * ```ts
 * continuationOf(progress, "call-1", standby, undefined).copy; // "call-1"
 * ```
 */
export function continuationOf(
    { lastEvent }: CallProgress,
    callId: string,
    endpoint: EndpointEntry,
    copy: Copy | undefined,
): Continuation {
    if (copy) return { source: copy.source.address, copy: copy.name, lastEvent };
    return { source: endpoint.address, copy: callId, lastEvent };
}

/**
 * A sink that records what later attempts of a call need to know of this one.
 *
 * @example
 * ```ts
 * startAttempt(connections, wire, { ...attempt, sink: recordProgress(sink, progress) });
 * ```
 */
export function recordProgress(sink: AttemptSink<AnswerPiece>, progress: CallProgress): AttemptSink<AnswerPiece> {
    return {
        event: (event, piece) => {
            if (event.kind === "failedAnswer") progress.failedAnswer = piece;
            const moved = sink.event(event, piece);
            if (moved && event.kind === "token" && piece) recordPiece(progress, event.index, piece);
            return moved;
        },
    };
}

function recordPiece(progress: CallProgress, index: number, { event, framed }: AnswerPiece): void {
    if (index === 0) progress.framed = framed;
    if (event === undefined) return;
    const { lastEvent, idsRiseByOne = true } = progress;
    if (lastEvent !== undefined) progress.idsRiseByOne = idsRiseByOne && isNext(lastEvent, event);
    progress.lastEvent = event;
}

/**
 * Whose reading a call waited for as it ended, and what had not been read.
 *
 * @example
 * ```ts
 * log.info({ req, ...unreadOf(memory, progress) }, "call_ended"); // unread_by=caller unread=81920
 * ```
 */
export function unreadOf({ held: { unread } }: CallMemory, { bodyUnread }: CallProgress): object {
    if (unread > 0) return { unread_by: "caller", unread };
    return bodyUnread ? { unread_by: "endpoint", unread: bodyUnread.bytes, unread_ms: bodyUnread.ms } : {};
}
