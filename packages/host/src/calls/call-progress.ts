/**
 * The progress of a forwarded call: the state that its attempts share, and from where a later attempt may continue.
 *
 * @module
 */
import type { Continuation } from "@drumpaddle/protocol";
import type { LossCause } from "@drumpaddle/request";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { ConnectionUse } from "../endpoints/endpoint-connections.js";
import type { CallMemory } from "../runtime/call-memory.js";
import type { AnswerPiece } from "./forward-attempt.js";
import type { Copy } from "./generation-copies.js";
import { isNextId, type SentBefore } from "./judge-answer.js";
import type { AttemptSink } from "./request-driver.js";

/** State that the attempts of a call share. */
export interface CallProgress {
    /** The body to send; also undefined once the call has ended. */
    body: Buffer | undefined;
    /** In milliseconds on the monotonic clock. */
    readonly deadline: number;
    /** When the first byte was sent to an endpoint, in milliseconds on the monotonic clock; undefined if none was. */
    sentAt: number | undefined;
    /** Id of the latest attempt. */
    attemptId: string;
    /** Endpoint of the latest attempt; undefined if it is no longer registered. */
    endpoint: EndpointEntry | undefined;
    /** On which connection the latest attempt was sent; undefined if none of its bytes was. */
    connection: ConnectionUse | undefined;
    /** Connections that carried attempts of the call. */
    readonly usedConnections: Set<number>;
    /** Estimated slowness of that endpoint when the attempt began, as a factor of the mean of its kind. */
    slowness: number | undefined;
    /**
     * Standby endpoint that receives a copy of the generation as it grows. Kept here, as its registration may be gone
     * when it is needed.
     */
    standby: EndpointEntry | undefined;
    /** A copy that was made because the endpoint is leaving; preferred to the one at {@link standby}. */
    copy: Copy | undefined;
    /** Why the connection of the latest attempt was lost after it was sent; undefined if it was not. */
    lostBy: LossCause | undefined;
    /** Whether the endpoint of the latest attempt has answered that it stopped the generation. */
    isStopped: boolean;
    /** Id of the last event that was sent to the caller. */
    lastEventId: string | undefined;
    /** Whether each event's id was one above the id before it; undefined before the second id. */
    idsRiseByOne: boolean | undefined;
    /** Whether a length or chunks mark the end of the answer whose piece was the first; set with that piece. */
    framed: boolean;
    /** Status and framing of the latest answer of an endpoint, and whether it named the call. */
    lastAnswer: { readonly status: number; readonly framed: boolean; readonly namesCall: boolean } | undefined;
    /**
     * How much of the body the endpoint had not read when its attempt was abandoned, and for how long; undefined if it
     * read all.
     */
    bodyUnread: { readonly bytes: number; readonly ms: number } | undefined;
    /** The fingerprint or the part for which the latest attempt was withheld; undefined if it was not. */
    withheldBy: string | undefined;
    /** The latest complete error answer of an endpoint; sent to the caller if no later attempt is answered. */
    failedAnswer: AnswerPiece | undefined;
}

/**
 * Creates the progress of a call of which nothing was sent.
 *
 * @param deadline In milliseconds on the monotonic clock.
 *
 * @example
 * ```ts
 * const progress = createProgress(body, clock.now() + 2_000);
 * ```
 */
export function createProgress(body: Buffer | undefined, deadline: number): CallProgress {
    return {
        body,
        deadline,
        sentAt: undefined,
        attemptId: "",
        endpoint: undefined,
        connection: undefined,
        usedConnections: new Set(),
        slowness: undefined,
        standby: undefined,
        copy: undefined,
        lostBy: undefined,
        isStopped: false,
        lastEventId: undefined,
        idsRiseByOne: undefined,
        framed: true,
        lastAnswer: undefined,
        bodyUnread: undefined,
        withheldBy: undefined,
        failedAnswer: undefined,
    };
}

/**
 * Returns an endpoint that holds a copy of the call, even if its registration is gone.
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
 * Returns what earlier attempts have sent to the caller; undefined if nothing.
 *
 * @param pieces Index of the next piece, if the call continues from a copy.
 *
 * @example
 * ```ts
 * sentBefore(progress, 7)?.lastEventId; // "7"
 * ```
 */
export function sentBefore(progress: CallProgress, pieces: number | undefined): SentBefore | undefined {
    if (pieces === undefined || pieces === 0) return undefined;
    const { lastEventId, framed, idsRiseByOne = false } = progress;
    return { pieces, lastEventId, framed, idsRiseByOne };
}

/**
 * Returns from which copy an endpoint continues a generation: one that its source made, or the one that it received
 * itself.
 *
 * @example
 * ```ts
 * continuationOf(progress, "call-1", standby, undefined).copy; // "call-1"
 * ```
 */
export function continuationOf(
    { lastEventId }: CallProgress,
    callId: string,
    endpoint: EndpointEntry,
    copy: Copy | undefined,
): Continuation {
    if (copy) return { source: copy.source.address, copy: copy.name, lastEvent: lastEventId };
    return { source: endpoint.address, copy: callId, lastEvent: lastEventId };
}

/**
 * Wraps a sink so that it records what later attempts of the call need.
 *
 * @example
 * ```ts
 * startAttempt(connections, wire, { ...attempt, sink: recordProgress(sink, progress, () => clock.now()) });
 * ```
 */
export function recordProgress(
    sink: AttemptSink<AnswerPiece>,
    progress: CallProgress,
    now: () => number,
): AttemptSink<AnswerPiece> {
    return {
        report: (event, piece) => {
            if (event.kind === "sending") progress.sentAt ??= now();
            if (event.kind === "failedAnswer") progress.failedAnswer = piece;
            if (event.kind === "lost" && event.cause !== "connect") progress.lostBy = event.cause;
            const hasAdvanced = sink.report(event, piece);
            if (hasAdvanced && event.kind === "token" && piece) recordPiece(progress, event.index, piece);
            return hasAdvanced;
        },
    };
}

function recordPiece(progress: CallProgress, index: number, { eventId, framed }: AnswerPiece): void {
    if (index === 0) progress.framed = framed;
    if (eventId === undefined) return;
    const { lastEventId, idsRiseByOne = true } = progress;
    if (lastEventId !== undefined) progress.idsRiseByOne = idsRiseByOne && isNextId(lastEventId, eventId);
    progress.lastEventId = eventId;
}

/**
 * Returns the log fields that tell on which connection the latest attempt of a call was sent.
 *
 * @example
 * ```ts
 * log.info({ req, ...connectionFields(progress) }, "call_ended"); // connection=17 connection_calls=4
 * ```
 */
export function connectionFields({ connection: use }: CallProgress): object {
    if (!use) return {};
    return { connection: use.connection, connection_calls: use.calls };
}

/**
 * Returns the log fields that tell who had not read all its bytes when a call ended: the caller or the endpoint.
 *
 * @example
 * ```ts
 * log.info({ req, ...unreadFields(memory, progress) }, "call_ended"); // unread_by=caller unread=81920
 * ```
 */
export function unreadFields({ held: { unread } }: CallMemory, { bodyUnread }: CallProgress): object {
    if (unread > 0) return { unread_by: "caller", unread };
    return bodyUnread ? { unread_by: "endpoint", unread: bodyUnread.bytes, unread_ms: bodyUnread.ms } : {};
}
