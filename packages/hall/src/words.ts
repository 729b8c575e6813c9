/**
 * What endpoints say of themselves, as hosts tell each other of it: a host whose part of a limit is nothing gets no answers
 * that would tell it that the limit is over, and one that has just started has heard of none.
 *
 * Pure. Times are milliseconds on each host's own clock; ages travel.
 *
 * @module
 */
import type { EndpointView, Said } from "@drumpaddle/policy";

/** What an endpoint said last, as a peer is told. */
export interface EndpointWord {
    readonly endpoint: string;
    /** Requests a second that it takes from all hosts together; absent where it names no limit. */
    readonly limitPerS?: number;
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
 * wordsToTell(scheduler.endpoints.values(), now); // [{ endpoint: "i-7", limitPerS: 2.3, agoMs: 120 }]
 * ```
 */
export function wordsToTell(views: readonly EndpointView[], now: number): readonly EndpointWord[] {
    return views.flatMap(({ cfg: { id: endpoint }, said }) => {
        if (!said || said.limitPerS === undefined && now - said.at > OVER_TOLD_MS) return [];
        return [wordOf(endpoint, said, now)];
    });
}

/** What an endpoint said, as a peer is told. */
export function wordOf(endpoint: string, { limitPerS, at }: Said, now: number): EndpointWord {
    return { endpoint, agoMs: Math.max(0, now - at), ...(limitPerS === undefined ? {} : { limitPerS }) };
}

/**
 * What an endpoint said, as a peer has told. A message that was held up makes it look newer than it is: what the endpoint says in
 * its next answer, to any host, corrects that.
 */
export function saidOf({ limitPerS, agoMs }: EndpointWord, now: number): Said {
    return { limitPerS, at: now - agoMs };
}
