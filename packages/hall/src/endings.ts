/**
 * Records of the requests that were running when an endpoint ended unexpectedly: the evidence on which requests are quarantined, and
 * parts of prompts that requests share.
 *
 * A life of an endpoint is one run of its process. Each life has one record, however many hosts saw its end: hosts merge their records
 * by life. The merge is idempotent and does not depend on the order of the news. Of several reported times it keeps the earliest.
 *
 * All functions are pure. Times are in milliseconds on the clock by which `now` is given.
 *
 * @module
 */

/** How a request, or a part of requests' prompts, was involved in the end of a life. */
export interface Involvement {
    /** How long it had run there, in milliseconds; of several requests with a part, the one that had run for the longest time. */
    readonly ranMs: number;
    /** Whether it was already a suspect, because of an earlier ending, when it began there. */
    readonly wasSuspect: boolean;
    /** Whether it was cleared since: it ran to completion, a request with the part was answered, or an operator lifted its quarantine. */
    readonly cleared: boolean;
    /** Of a part that is a culprit: whether a request without it was answered since, so that not the endpoints are to blame. */
    readonly controlled?: boolean | undefined;
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
    /** Shared parts of the prompts of those requests that had no answer yet, by name. */
    readonly parts: ReadonlyMap<string, Involvement>;
}

/** What can be to blame for an ending: a request, or a part of prompts. */
export const SuspectKind = { Request: "requests", Part: "parts" } as const;
/** One of {@link SuspectKind}; each is the name of the member of {@link Ending} that holds suspects of the kind. */
export type SuspectKind = typeof SuspectKind[keyof typeof SuspectKind];

/** Endings by the name of the life that ended. */
export type Endings = ReadonlyMap<string, Ending>;

/** An ending as hosts send it to each other, with its age instead of its time, because their clocks differ. */
export interface EndingNews {
    readonly life: string;
    readonly agoMs: number;
    readonly software?: string | undefined;
    readonly requests: readonly RequestNews[];
    /** Absent in news of hosts that know of no parts. */
    readonly parts?: readonly RequestNews[] | undefined;
}

/** The involvement of a request, or of a part, in an ending, as hosts send it. */
export interface RequestNews extends Involvement {
    /** Fingerprint of the request, or name of the part. */
    readonly fingerprint: string;
}

/**
 * How many requests of an ending are kept at most, those that had run for the shortest time. An endpoint runs up to 24 requests at once,
 * so none is dropped as long as endpoints are used as declared.
 */
export const MAX_REQUESTS_PER_ENDING = 64;
/** How many parts of an ending are kept at most: those of 24 requests, most of which name three or four. */
export const MAX_PARTS_PER_ENDING = 128;

/** Returns the news by which an ending is sent to peers. */
export function newsOfEnding({ life, at, software, requests, parts }: Ending, now: number): EndingNews {
    return { life, agoMs: Math.max(0, now - at), software, requests: newsOf(requests), parts: newsOf(parts) };
}

function newsOf(involved: ReadonlyMap<string, Involvement>): readonly RequestNews[] {
    return [...involved].map(([fingerprint, involvement]) => ({ fingerprint, ...involvement }));
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
    const requests = mergeInvolved(known?.requests, received.requests, MAX_REQUESTS_PER_ENDING);
    const parts = mergeInvolved(known?.parts, received.parts ?? [], MAX_PARTS_PER_ENDING);
    if (known && requests.added.length + parts.added.length === 0) return { endings, news: undefined };
    const { life } = received;
    const ending = {
        life,
        at: Math.min(known?.at ?? at, at),
        software: known?.software ?? received.software,
        requests: requests.involved,
        parts: parts.involved,
    };
    const agoMs = Math.max(0, now - ending.at);
    return {
        endings: new Map(endings).set(life, ending),
        news: { life, agoMs, software: ending.software, requests: requests.added, parts: parts.added },
    };
}

interface MergedInvolved {
    readonly involved: ReadonlyMap<string, Involvement>;
    readonly added: readonly RequestNews[];
}

/** Merges suspects of one kind. */
function mergeInvolved(
    known: ReadonlyMap<string, Involvement> | undefined,
    received: readonly RequestNews[],
    most: number,
): MergedInvolved {
    const merged = new Map(known);
    const changed = new Set<string>();
    for (const { fingerprint, ...involvement } of received) {
        const before = merged.get(fingerprint);
        const after = before ? mergeInvolvement(before, involvement) : involvement;
        if (before && isSameInvolvement(before, after)) continue;
        merged.set(fingerprint, after);
        changed.add(fingerprint);
    }
    const involved = dropLongestRunning(merged, most);
    return { involved, added: newsOf(involved).filter(({ fingerprint }) => changed.has(fingerprint)) };
}

function mergeInvolvement(a: Involvement, b: Involvement): Involvement {
    return {
        ranMs: Math.max(a.ranMs, b.ranMs),
        wasSuspect: a.wasSuspect || b.wasSuspect,
        cleared: a.cleared || b.cleared,
        ...(a.controlled || b.controlled ? { controlled: true } : {}),
    };
}

function isSameInvolvement(a: Involvement, b: Involvement): boolean {
    return a.ranMs === b.ranMs
        && a.wasSuspect === b.wasSuspect
        && a.cleared === b.cleared
        && a.controlled === b.controlled;
}

function dropLongestRunning(
    involved: ReadonlyMap<string, Involvement>,
    most: number,
): ReadonlyMap<string, Involvement> {
    if (involved.size <= most) return involved;
    const sorted = [...involved].sort(([a, { ranMs: ranA }], [b, { ranMs: ranB }]) => ranA - ranB || (a < b ? -1 : 1));
    return new Map(sorted.slice(0, most));
}

/**
 * Returns the news that clears a request or a part of all known endings, to be merged here and sent to peers.
 *
 * @param software If given, only endings of endpoints that ran this software, or an unknown one, are cleared.
 *
 * @example
 * ```ts
 * clearingNews(endings, fingerprint, now).length; // number of endings that were held against it
 * ```
 */
export function clearingNews(
    endings: Endings,
    fingerprint: string,
    now: number,
    software?: string,
): readonly EndingNews[] {
    const news: EndingNews[] = [];
    for (const ending of endings.values()) {
        const { life, at, requests, parts } = ending;
        if (software !== undefined && ending.software !== undefined && ending.software !== software) continue;
        const cleared = {
            requests: clearedNews(requests, fingerprint),
            parts: clearedNews(parts, fingerprint),
        };
        if (cleared.requests.length + cleared.parts.length === 0) continue;
        news.push({ life, agoMs: now - at, software: ending.software, ...cleared });
    }
    return news;
}

function clearedNews(involved: ReadonlyMap<string, Involvement>, fingerprint: string): readonly RequestNews[] {
    const involvement = involved.get(fingerprint);
    return involvement && !involvement.cleared ? [{ fingerprint, ...involvement, cleared: true }] : [];
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

/**
 * Returns the digest by which two hosts compare the endings that they know. It does not depend on order or times.
 *
 * @param before The endings of which `digest` is the digest; only what differs from them is read.
 *
 * @example
 * ```ts
 * digestOfEndings(endings, new Map(), 0);
 * ```
 */
export function digestOfEndings(endings: Endings, before: Endings, digest: number): number {
    let next = digest;
    for (const ending of endings.values()) {
        const known = before.get(ending.life);
        if (known === ending) continue;
        next ^= digestOfEnding(ending) ^ (known ? digestOfEnding(known) : 0);
    }
    for (const ending of before.values()) {
        if (!endings.has(ending.life)) next ^= digestOfEnding(ending);
    }
    return next >>> 0;
}

function digestOfEnding({ life, requests, parts }: Ending): number {
    let digest = 0;
    for (const involved of [requests, parts]) {
        for (const [fingerprint, { wasSuspect, cleared, controlled }] of involved) {
            digest ^= fnv1a(`${life}/${fingerprint}/${wasSuspect}/${cleared}${controlled ? "/controlled" : ""}`);
        }
    }
    return digest;
}

function fnv1a(text: string): number {
    let hash = FNV_BASIS;
    for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    return hash;
}
