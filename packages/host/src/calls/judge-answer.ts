/**
 * Judges an endpoint's answer by its head, and whether what continues a stream fits what has gone to the caller: the end of
 * an HTTP answer is the end of the caller's answer only where it is the answer that the caller is owed.
 *
 * @module
 */
import type { AnswerHead } from "@drumpaddle/protocol";

/** What has gone to the caller before an attempt. */
export interface SentBefore {
    readonly pieces: number;
    /** Id of the last event among them; undefined where there was none with an id. */
    readonly lastEvent: string | undefined;
    /** Whether each event's id was one above the id before: then a gap shows that events are missing. */
    readonly idsRiseByOne: boolean;
    /** Whether the end of the caller's answer can be seen in its bytes, by a length or by chunks. */
    readonly framed: boolean;
}

/** What must become of an answer. */
export type Verdict =
    | { readonly kind: "take" }
    | { readonly kind: "refused" }
    | { readonly kind: "invalid"; readonly detail: string };

const OK = 200;
/** Another life of an endpoint answers this to a call that names the one before. */
export const MISDIRECTED = 421;
/** Statuses that tell a caller that its request has not run; an endpoint's are passed on only if it says so itself. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Whether an answer is a stream that is passed on event by event.
 *
 * @example
 * ```ts
 * if (isStream(status, head)) splitter = new EventSplitter();
 * ```
 */
export function isStream(status: number, head: AnswerHead): boolean {
    return status === OK && head.isEventStream;
}

/**
 * What must become of an answer to a call.
 *
 * @param before What of an earlier attempt's answer has gone out; undefined where nothing has.
 *
 * @example
 * ```ts
 * judgeAnswer("call-1", 500, head, before).kind; // "invalid"
 * ```
 */
export function judgeAnswer(call: string, status: number, head: AnswerHead, before: SentBefore | undefined): Verdict {
    if (head.id !== undefined && head.id !== call) return invalid(`an answer to ${head.id}`);
    if (head.notRun || status === MISDIRECTED) return { kind: "refused" };
    if (PROMISES.has(status)) return invalid(`${status} without a word on whether it ran`);
    if (head.encoded) return invalid("an encoded body");
    if (status >= 200 && status < 300) {
        if (head.id === undefined) return invalid("a success that names no call");
        if (!head.sealed) return invalid("a success without a seal");
    }
    return before ? judgeContinuation(status, head, before) : { kind: "take" };
}

function judgeContinuation(status: number, head: AnswerHead, { framed }: SentBefore): Verdict {
    // Only events can follow events: the end of any other answer, such as a whole 500, would pass for the stream's own.
    if (!isStream(status, head)) return invalid(`${status} where a stream was to go on`);
    // Its end may be a cut, and the end of the caller's chunks would vouch for it.
    if (framed && !head.framed) return invalid("a continuation whose end is not told");
    return { kind: "take" };
}

const WHOLE_NUMBER = /^\d+$/;

/** How far an event's id lies above another; undefined where they are no numbers. */
function idsApart(last: string, id: string): bigint | undefined {
    return WHOLE_NUMBER.test(last) && WHOLE_NUMBER.test(id) ? BigInt(id) - BigInt(last) : undefined;
}

/**
 * Whether an event's id is one above the id before.
 *
 * @example
 * ```ts
 * isNext("9", "10"); // true
 * ```
 */
export function isNext(last: string, id: string): boolean {
    return idsApart(last, id) === 1n;
}

/**
 * Whether an event may follow what the caller has. Ids rise; where they have no order, nothing shows that it may.
 *
 * @example
 * ```ts
 * mayFollow({ pieces: 9, lastEvent: "9", framed: true, idsRiseByOne: true }, "11"); // false
 * ```
 */
export function mayFollow({ lastEvent, idsRiseByOne }: SentBefore, id: string): boolean {
    if (lastEvent === undefined) return true;
    return idsRiseByOne ? isNext(lastEvent, id) : (idsApart(lastEvent, id) ?? 0n) > 0n;
}

function invalid(detail: string): Verdict {
    return { kind: "invalid", detail };
}
