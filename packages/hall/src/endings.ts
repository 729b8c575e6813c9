/**
 * Records of the requests that were running when an endpoint ended unexpectedly: the evidence on which requests are quarantined.
 *
 * A life of an endpoint is one run of its process. Each life has one record, however many hosts saw its end: hosts merge their records
 * by life. The merge is idempotent and does not depend on the order of the news. Of several reported times it keeps the earliest.
 *
 * All functions are pure. Times are in milliseconds on the clock by which `now` is given.
 *
 * @module
 */

/** How a request was involved in the end of a life. */
export interface Involvement {
    /** How long it had run there, in milliseconds. */
    readonly ranMs: number;
    /** Whether it was already a suspect, because of an earlier ending, when it began there. */
    readonly wasSuspect: boolean;
    /** Whether it was cleared since: it ran to completion, or an operator lifted its quarantine. */
    readonly cleared: boolean;
}

/** The end of one life of an endpoint. */
export interface Ending {
    /** Name of the life, unique among all lives of all endpoints. */
    readonly life: string;
    readonly at: number;
    /** Version of the endpoint's software; undefined if it is unknown. */
    readonly software: string | undefined;
    /** Requests that ran there, by fingerprint. */
    readonly requests: ReadonlyMap<string, Involvement>;
}

/** Endings by the name of the life that ended. */
export type Endings = ReadonlyMap<string, Ending>;

/** An ending as hosts send it to each other, with its age instead of its time, because their clocks differ. */
export interface EndingNews {
    readonly life: string;
    readonly agoMs: number;
    readonly software?: string | undefined;
    readonly requests: readonly RequestNews[];
}

/** A request's involvement in an ending, as hosts send it. */
export interface RequestNews extends Involvement {
    readonly fingerprint: string;
}

/**
 * How many requests of an ending are kept at most, those that had run for the shortest time. An endpoint runs up to 24 requests at once,
 * so none is dropped as long as endpoints are used as declared.
 */
export const MAX_REQUESTS_PER_ENDING = 64;

/** Returns the news by which an ending is sent to peers. */
export function newsOfEnding({ life, at, software, requests }: Ending, now: number): EndingNews {
    const requestNews = [...requests].map(([fingerprint, involved]) => ({ fingerprint, ...involved }));
    return { life, agoMs: Math.max(0, now - at), software, requests: requestNews };
}

/** Result of {@link mergeEnding}: all endings, and what was new. */
export interface MergedEnding {
    readonly endings: Endings;
    /** Undefined if nothing was new. */
    readonly news: EndingNews | undefined;
}

/**
 * Merges an ending that this host observed, or that a peer sent.
 *
 * @example
 * ```ts
 * const requests = [{ fingerprint, ranMs: 120, wasSuspect: false, cleared: false }];
 * mergeEnding(endings, { life: "e1@7", agoMs: 0, requests }, now).news;
 * ```
 */
export function mergeEnding(endings: Endings, received: EndingNews, now: number): MergedEnding {
    const known = endings.get(received.life);
    const at = now - received.agoMs;
    const requests = new Map(known?.requests);
    const added: RequestNews[] = [];
    for (const { fingerprint, ...involved } of received.requests) {
        const before = requests.get(fingerprint);
        const merged = before ? mergeInvolvement(before, involved) : involved;
        if (before && isSameInvolvement(before, merged)) continue;
        requests.set(fingerprint, merged);
        added.push({ fingerprint, ...merged });
    }
    if (known && added.length === 0) return { endings, news: undefined };
    const software = known?.software ?? received.software;
    const ending = {
        life: received.life,
        at: Math.min(known?.at ?? at, at),
        software,
        requests: dropLongestRunning(requests),
    };
    return {
        endings: new Map(endings).set(received.life, ending),
        news: { life: received.life, agoMs: Math.max(0, now - ending.at), software, requests: added },
    };
}

function mergeInvolvement(a: Involvement, b: Involvement): Involvement {
    return {
        ranMs: Math.max(a.ranMs, b.ranMs),
        wasSuspect: a.wasSuspect || b.wasSuspect,
        cleared: a.cleared || b.cleared,
    };
}

function isSameInvolvement(a: Involvement, b: Involvement): boolean {
    return a.ranMs === b.ranMs && a.wasSuspect === b.wasSuspect && a.cleared === b.cleared;
}

function dropLongestRunning(requests: ReadonlyMap<string, Involvement>): ReadonlyMap<string, Involvement> {
    if (requests.size <= MAX_REQUESTS_PER_ENDING) return requests;
    const sorted = [...requests].sort(([a, { ranMs: ranA }], [b, { ranMs: ranB }]) => ranA - ranB || (a < b ? -1 : 1));
    return new Map(sorted.slice(0, MAX_REQUESTS_PER_ENDING));
}

/**
 * Returns the news that clears a request of all known endings, to be merged here and sent to peers.
 *
 * @example
 * ```ts
 * clearingNews(endings, fingerprint, now).length; // number of endings that were held against it
 * ```
 */
export function clearingNews(endings: Endings, fingerprint: string, now: number): readonly EndingNews[] {
    const news: EndingNews[] = [];
    for (const { life, at, software, requests } of endings.values()) {
        const involved = requests.get(fingerprint);
        if (!involved || involved.cleared) continue;
        news.push({ life, agoMs: now - at, software, requests: [{ fingerprint, ...involved, cleared: true }] });
    }
    return news;
}

/**
 * Returns the name under which the end of a life is recorded. If a life of this name has ended before the requests began, the endpoint
 * has restarted and the name of its new life was not known yet: the name gets a number.
 *
 * @param firstBeganAt When the first of the requests that were running began.
 *
 * @example
 * ```ts
 * nameOfEndedLife(endings, "e1@7", now - 120); // "e1@7", or "e1@7#2" if e1@7 had ended before that time
 * ```
 */
export function nameOfEndedLife(endings: Endings, life: string, firstBeganAt: number): string {
    let name = life;
    for (let number = 2; (endings.get(name)?.at ?? Infinity) < firstBeganAt; number++) name = `${life}#${number}`;
    return name;
}

const FNV_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a digest by which two hosts compare the endings that they know. It does not depend on order or times. */
export function digestOfEndings(endings: Endings): number {
    let digest = 0;
    for (const { life, requests } of endings.values()) {
        for (const [fingerprint, { wasSuspect, cleared }] of requests) {
            digest ^= fnv1a(`${life}/${fingerprint}/${wasSuspect}/${cleared}`);
        }
    }
    return digest >>> 0;
}

function fnv1a(text: string): number {
    let hash = FNV_BASIS;
    for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    return hash;
}
