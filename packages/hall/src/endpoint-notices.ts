/**
 * What endpoints say of themselves, as hosts tell each other of it: a host whose part of a limit is nothing gets no answers
 * that would tell it that the limit is over, and one that has just started has heard of none.
 *
 * Pure. Times are milliseconds on each host's own clock; ages travel.
 *
 * @module
 */
import { type EndpointView, type Said, saysLeaving } from "@drumpaddle/policy";

/** What an endpoint said, as a peer is told. */
export interface EndpointWord {
    readonly endpoint: string;
    /** Whether it said that it is leaving; that holds for its life. */
    readonly leaves: boolean;
    /** What it said last of a limit; absent where it named none lately. */
    readonly limit?: LimitWord;
}

/** What an endpoint said last of the requests that it takes. */
export interface LimitWord {
    /** Requests a second from all hosts together; absent where its limit is over. */
    readonly perS?: number;
    /** How long ago it said so, in milliseconds. */
    readonly agoMs: number;
}

/** That a limit is over is told for this long: by then all hosts have heard of it. */
const OVER_TOLD_MS = 30_000;

/**
 * All that is worth telling of what endpoints said.
 *
 * @example
 * ```ts
 * wordsToTell(scheduler.endpoints.values(), now); // [{ endpoint: "i-7", leaves: false, limit: { perS: 2.3, agoMs: 120 } }]
 * ```
 */
export function wordsToTell(views: readonly EndpointView[], now: number): readonly EndpointWord[] {
    return views.flatMap(view => wordOf(view, now) ?? []);
}

/** What an endpoint said, as a peer is told; undefined where nothing of it is worth telling. */
export function wordOf(view: EndpointView, now: number): EndpointWord | undefined {
    const { cfg: { id: endpoint }, said } = view;
    const leaves = saysLeaving(view);
    const isNews = said && (said.limitPerS !== undefined || now - said.at <= OVER_TOLD_MS);
    if (!isNews) return leaves ? { endpoint, leaves } : undefined;
    const perS = said.limitPerS === undefined ? {} : { perS: said.limitPerS };
    return { endpoint, leaves, limit: { ...perS, agoMs: Math.max(0, now - said.at) } };
}

/**
 * What an endpoint said of its limit, as a peer has told. A message that was held up makes it look newer than it is: what the endpoint
 * says in its next answer, to any host, corrects that.
 */
export function saidOf({ perS, agoMs }: LimitWord, now: number): Said {
    return { limitPerS: perS, at: now - agoMs };
}
