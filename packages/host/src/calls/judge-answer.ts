/**
 * Decides by its head whether an endpoint's answer may be forwarded, and whether the continuation of a stream fits what
 * was sent to the caller: a caller takes the end of any answer for the end of the one that it asked for.
 *
 * @module
 */
import type { AnswerHead } from "@drumpaddle/protocol";

/** What earlier attempts of a call have sent to the caller. */
export interface SentBefore {
    readonly pieces: number;
    /** Id of the last event among them that had an id. */
    readonly lastEventId: string | undefined;
    /** Whether each id was one above the id before it, so that a gap means missing events. */
    readonly idsRiseByOne: boolean;
    /** Whether a length or chunks marked the end of the first attempt's answer. */
    readonly framed: boolean;
}

/** How to handle an answer. */
export type Verdict =
    | { readonly kind: "accept" }
    | { readonly kind: "refused" }
    | { readonly kind: "invalid"; readonly detail: string };

const OK = 200;
/** The statuses that HTTP has (RFC 9110, section 15), and the first that is not one of an interim answer. */
const MIN_STATUS = 100;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
/** The status with which an endpoint refuses a call that names an earlier incarnation of it. */
export const MISDIRECTED = 421;
/**
 * Statuses that tell a caller that its request did not run. An endpoint's answer with one of them is valid only if it
 * also states that.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Whether an answer with this status is followed by another one to the same call.
 *
 * @example
 * ```ts
 * isInterim(103); // true
 * ```
 */
export function isInterim(status: number): boolean {
    return status >= MIN_STATUS && status < MIN_FINAL_STATUS;
}

/**
 * Whether a final answer may have this status. Clients may be unable to read any other, so an endpoint's is not forwarded.
 *
 * @example
 * ```ts
 * isFinalStatus(0); // false
 * ```
 */
export function isFinalStatus(status: number): boolean {
    return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/**
 * Whether an answer is a stream that is forwarded event by event.
 *
 * @example
 * ```ts
 * if (isStream(status, head)) splitter = new EventSplitter();
 * ```
 */
export function isStream(status: number, head: AnswerHead): boolean {
    return status === OK && head.isEventStream;
}

/** A call as it was sent to an endpoint. */
export interface SentCall {
    readonly id: string;
    /** How many calls its connection has carried, this one included. */
    readonly connectionCalls: number;
    /** What earlier attempts have sent to the caller; undefined if nothing. */
    readonly before: SentBefore | undefined;
}

/**
 * Decides how to handle an answer to a call.
 *
 * @example
 * ```ts
 * judgeAnswer({ id: "call-1", connectionCalls: 1, before }, 500, head).kind; // "invalid"
 * ```
 */
export function judgeAnswer({ id, connectionCalls, before }: SentCall, status: number, head: AnswerHead): Verdict {
    if (!isFinalStatus(status)) return invalid(`the status ${status}`);
    if (head.id !== undefined && head.id !== id) return invalid(`an answer to ${head.id}`);
    if (head.notRun || status === MISDIRECTED) {
        // It may be a surplus answer to an earlier call on the connection.
        const mayBeOfAnother = head.id === undefined && connectionCalls > 1;
        return mayBeOfAnother ? invalid("a refusal that names no call") : { kind: "refused" };
    }
    if (NOT_RUN_STATUSES.has(status)) return invalid(`${status} without a word on whether it ran`);
    if (head.hasContentEncoding) return invalid("an encoded body");
    if (status >= 200 && status < 300) {
        if (head.id === undefined) return invalid("a success that names no call");
        if (!head.sealed) return invalid("a success without a seal");
    }
    return before ? judgeContinuation(status, head, before) : { kind: "accept" };
}

function judgeContinuation(status: number, head: AnswerHead, { framed }: SentBefore): Verdict {
    // Only events can follow events: the caller would take the end of any other answer, such as a 500, for the end of
    // the stream.
    if (!isStream(status, head)) return invalid(`${status} where a stream was to go on`);
    // A cut may look like the orderly end of a continuation without framing. Only a stream that began without framing
    // depends on such an end anyway.
    if (framed && !head.framed) return invalid("a continuation whose end is not told");
    return { kind: "accept" };
}

const WHOLE_NUMBER = /^\d+$/;

/** Returns by how much an event's id exceeds another; undefined if they are not whole numbers. */
function idDifference(last: string, id: string): bigint | undefined {
    return WHOLE_NUMBER.test(last) && WHOLE_NUMBER.test(id) ? BigInt(id) - BigInt(last) : undefined;
}

/**
 * Whether an event's id is one above the id before it.
 *
 * @example
 * ```ts
 * isNextId("9", "10"); // true
 * ```
 */
export function isNextId(last: string, id: string): boolean {
    return idDifference(last, id) === 1n;
}

/**
 * Whether an event with an id can follow what was sent to the caller. Its id must exceed the last one that was sent,
 * and by just one if all ids did so far. Ids that are not numbers have no order, so no event can follow them.
 *
 * @example
 * ```ts
 * canFollow({ pieces: 9, lastEventId: "9", framed: true, idsRiseByOne: true }, "11"); // false
 * ```
 */
export function canFollow({ lastEventId, idsRiseByOne }: SentBefore, id: string): boolean {
    if (lastEventId === undefined) return true;
    return idsRiseByOne ? isNextId(lastEventId, id) : (idDifference(lastEventId, id) ?? 0n) > 0n;
}

function invalid(detail: string): Verdict {
    return { kind: "invalid", detail };
}
