/**
 * What hosts know of requests that were running where the life of an endpoint ended: the evidence on which requests are quarantined.
 *
 * A life is held once, however many hosts saw its end. What hosts tell each other is joined by life: the same news twice, or in another
 * order, comes to the same, but for the time of an ending, of which the earliest that was told is kept.
 *
 * Pure. Times are milliseconds on one clock of the caller's choice.
 *
 * @module
 */

/** A request's part in the end of a life. */
export interface Involved {
    /** How long it had run there, in milliseconds. */
    readonly ranMs: number;
    /** Whether it was begun there although it was known to have been at an ending. */
    readonly wasSuspect: boolean;
    /** Whether it was found to be innocent: it ran to its end since, or an operator said so. */
    readonly cleared: boolean;
}

/** The end of one life of an endpoint. */
export interface Ending {
    /** Name of the life, unique among all lives of all endpoints. */
    readonly life: string;
    readonly at: number;
    /** Version of the endpoint's software; undefined where it is not known. */
    readonly software: string | undefined;
    /** Requests that ran there, by fingerprint. */
    readonly requests: ReadonlyMap<string, Involved>;
}

/** Endings by the names of the lives that ended. */
export type Endings = ReadonlyMap<string, Ending>;

/** An ending as hosts tell each other; ages in place of times, as their clocks differ. */
export interface EndingNews {
    readonly life: string;
    readonly agoMs: number;
    readonly software?: string | undefined;
    readonly requests: readonly RequestNews[];
}

/** A request's part in an ending, as it is told. */
export interface RequestNews extends Involved {
    readonly fingerprint: string;
}

/**
 * Requests of one ending that are kept, those that had run the shortest first: more than an engine has places (24), so that none is
 * left out where endpoints are used as declared.
 */
export const MOST_REQUESTS = 64;

/** An ending as it is told. */
export function newsOfEnding({ life, at, software, requests }: Ending, now: number): EndingNews {
    const told = [...requests].map(([fingerprint, involved]) => ({ fingerprint, ...involved }));
    return { life, agoMs: Math.max(0, now - at), software, requests: told };
}

/** Endings joined with one that was told, and what of it was not known. */
export interface JoinedEnding {
    readonly endings: Endings;
    /** Undefined where all of it was known. */
    readonly news: EndingNews | undefined;
}

/**
 * Takes in an ending that this host saw, or that a peer told.
 *
 * @example
 * ```ts
 * joinEnding(endings, { life: "e1@7", agoMs: 0, requests: [{ fingerprint, ranMs: 120, cleared: false }] }, now).news;
 * ```
 */
export function joinEnding(endings: Endings, told: EndingNews, now: number): JoinedEnding {
    const known = endings.get(told.life);
    const at = now - told.agoMs;
    const requests = new Map(known?.requests);
    const news: RequestNews[] = [];
    for (const { fingerprint, ...involved } of told.requests) {
        const before = requests.get(fingerprint);
        const joined = before ? joinInvolved(before, involved) : involved;
        if (before && isSame(before, joined)) continue;
        requests.set(fingerprint, joined);
        news.push({ fingerprint, ...joined });
    }
    if (known && news.length === 0) return { endings, news: undefined };
    const software = known?.software ?? told.software;
    const ending = { life: told.life, at: Math.min(known?.at ?? at, at), software, requests: bounded(requests) };
    return {
        endings: new Map(endings).set(told.life, ending),
        news: { life: told.life, agoMs: Math.max(0, now - ending.at), software, requests: news },
    };
}

function joinInvolved(a: Involved, b: Involved): Involved {
    return {
        ranMs: Math.max(a.ranMs, b.ranMs),
        wasSuspect: a.wasSuspect || b.wasSuspect,
        cleared: a.cleared || b.cleared,
    };
}

function isSame(a: Involved, b: Involved): boolean {
    return a.ranMs === b.ranMs && a.wasSuspect === b.wasSuspect && a.cleared === b.cleared;
}

function bounded(requests: ReadonlyMap<string, Involved>): ReadonlyMap<string, Involved> {
    if (requests.size <= MOST_REQUESTS) return requests;
    const sorted = [...requests].sort(([a, { ranMs: ranA }], [b, { ranMs: ranB }]) => ranA - ranB || (a < b ? -1 : 1));
    return new Map(sorted.slice(0, MOST_REQUESTS));
}

/**
 * What clears a request of the endings that are known: each of them as news, to be joined here and told.
 *
 * @example
 * ```ts
 * clearingOf(endings, fingerprint, now).length; // in how many endings it was involved and is no more
 * ```
 */
export function clearingOf(endings: Endings, fingerprint: string, now: number): readonly EndingNews[] {
    const news: EndingNews[] = [];
    for (const { life, at, software, requests } of endings.values()) {
        const involved = requests.get(fingerprint);
        if (!involved || involved.cleared) continue;
        news.push({ life, agoMs: now - at, software, requests: [{ fingerprint, ...involved, cleared: true }] });
    }
    return news;
}

/**
 * The name under which the end of a life is told. Where what ran had begun after the known end of the life of that name, the endpoint
 * had started again and its next life was not known yet by its own name.
 *
 * @param beganAt When the first of what ran there was begun.
 *
 * @example
 * ```ts
 * nameOfEnded(endings, "e1@7", now - 120); // "e1@7", or "e1@7#2" where that had ended before
 * ```
 */
export function nameOfEnded(endings: Endings, life: string, beganAt: number): string {
    let name = life;
    for (let number = 2; (endings.get(name)?.at ?? Infinity) < beganAt; number++) name = `${life}#${number}`;
    return name;
}

const FNV_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A number by which two hosts see whether they know of the same endings; their order and times change nothing. */
export function digestOfEndings(endings: Endings): number {
    let digest = 0;
    for (const { life, requests } of endings.values()) {
        for (const [fingerprint, { wasSuspect, cleared }] of requests) {
            digest ^= hashOf(`${life}/${fingerprint}/${wasSuspect}/${cleared}`);
        }
    }
    return digest >>> 0;
}

function hashOf(text: string): number {
    let hash = FNV_BASIS;
    for (let at = 0; at < text.length; at++) hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
    return hash;
}
