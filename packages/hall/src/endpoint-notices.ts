/**
 * Notices by which hosts pass on what endpoints announce in their answers: rate limits, and that they are leaving. A host whose share of
 * a rate limit is zero gets no answers and would not learn that the limit is lifted; a host that has just started knows of no limit.
 *
 * All functions are pure. Times are in milliseconds on each host's own clock; hosts send each other ages.
 *
 * @module
 */
import { announcedLeaving, type AnnouncedLimit, type EndpointView } from "@drumpaddle/policy";

/** What an endpoint announced, as hosts send it to peers. */
export interface EndpointNotice {
    readonly endpoint: string;
    /** Whether it announced that it is leaving. That holds until its process ends. */
    readonly leaves: boolean;
    /** Its last announcement of a rate limit; absent if there was none lately. */
    readonly limit?: LimitNotice;
}

/** An endpoint's announcement of its rate limit, or of the limit's end. */
export interface LimitNotice {
    /** Requests per second from all hosts together; absent if the limit is lifted. */
    readonly perS?: number;
    /** Requests per second that it can turn away without failing; absent if it announces no such bound. */
    readonly maxRejectsPerS?: number;
    /** Age of the announcement in milliseconds. */
    readonly agoMs: number;
}

/** The end of a limit is told to peers for this long. By then all hosts know it. */
const LIMIT_END_TOLD_MS = 30_000;

/**
 * Returns the notices of all endpoints that have announced something.
 *
 * @example
 * ```ts
 * noticesToTell(scheduler.endpoints.values(), now); // [{ endpoint: "i-7", leaves: false, limit: { perS: 2.3, agoMs: 120 } }]
 * ```
 */
export function noticesToTell(views: readonly EndpointView[], now: number): readonly EndpointNotice[] {
    return views.flatMap(view => noticeOf(view, now) ?? []);
}

/** Returns the notice of one endpoint, or undefined if there is nothing to tell. */
export function noticeOf(view: EndpointView, now: number): EndpointNotice | undefined {
    const { cfg: { id: endpoint }, announcedLimit: said } = view;
    const leaves = announcedLeaving(view);
    const isBound = said?.limitPerS !== undefined || said?.maxRejectsPerS !== undefined;
    const isNews = said && (isBound || now - said.at <= LIMIT_END_TOLD_MS);
    if (!isNews) return leaves ? { endpoint, leaves } : undefined;
    const perS = said.limitPerS === undefined ? {} : { perS: said.limitPerS };
    const rejects = said.maxRejectsPerS === undefined ? {} : { maxRejectsPerS: said.maxRejectsPerS };
    return { endpoint, leaves, limit: { ...perS, ...rejects, agoMs: Math.max(0, now - said.at) } };
}

/**
 * Converts a peer's notice of a limit to an announcement of the endpoint. If the message was delayed, the announcement seems newer than
 * it is. The endpoint's next answer to any host corrects that.
 */
export function saidFromNotice({ perS, maxRejectsPerS, agoMs }: LimitNotice, now: number): AnnouncedLimit {
    return { limitPerS: perS, maxRejectsPerS, at: now - agoMs };
}
