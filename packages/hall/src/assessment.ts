/**
 * Infers from the known endings which requests crash the endpoints that run them.
 *
 * Up to 24 requests run at an endpoint when it ends, and most of them are there by chance. The culprit is identified in two ways: it is
 * involved in every ending that it causes, and of several requests that share the same endings, the one that had run for the shortest
 * time is the most likely, because it had just begun. An ending that one culprit explains does not count against other requests. If
 * many endpoints end at the same moment, there is a common cause (a rack, a hall) and no request is blamed. A request that ran at
 * several endpoints that ended at the same moment gets one ending for all of them, unless it began there as a suspect. Each host
 * derives times from the age of the news, so only times that lie far apart are compared.
 *
 * All functions are pure: two hosts that know the same endings reach the same result. Times are in milliseconds.
 *
 * @module
 */
import type { Ending, Endings } from "./endings.js";

/** A request is quarantined at this many endings. The users set the bound: innocent requests that meet two crashes are not rare. */
export const ENDINGS_TO_QUARANTINE = 3;
/**
 * A culprit has at least this many endings that no other culprit explains. Otherwise a stream that ran beside a culprit twice and met
 * one unrelated crash would be quarantined as well.
 */
const MIN_UNEXPLAINED_ENDINGS = 2;
/** Endings within this time count as simultaneous. Hosts notice one ending a few milliseconds apart, and news takes as long. */
export const SIMULTANEOUS_MS = 250;

/** What the known endings say of a request. */
export interface Assessment {
    readonly fingerprint: string;
    /** Endings that count against it, each life once. */
    readonly endings: readonly Ending[];
    /** When the last ending that it was involved in was, also if that one does not count. */
    readonly lastAt: number;
    /** The longest time that it had run at an ending that counts. */
    readonly ranMs: number;
    /** Whether it is to be quarantined. */
    readonly isCulprit: boolean;
}

/** A request's involvement in one ending. */
interface EndingPart {
    readonly ending: Ending;
    readonly ranMs: number;
    readonly wasSuspect: boolean;
}

/**
 * Assesses all requests that were involved in an ending and not cleared since, by fingerprint.
 *
 * @example
 * ```ts
 * assessRequests(endings).get(fingerprint)?.isGuilty;
 * ```
 */
export function assessRequests(endings: Endings): ReadonlyMap<string, Assessment> {
    const ordered = [...endings.values()].sort((a, b) => a.at - b.at);
    const assessments = [...partsByRequest(ordered)].map(([fingerprint, parts]) =>
        assessmentOf(fingerprint, parts, ordered)
    );
    return new Map(markCulprits(assessments).map(item => [item.fingerprint, item]));
}

function partsByRequest(ordered: readonly Ending[]): ReadonlyMap<string, readonly EndingPart[]> {
    const parts = new Map<string, EndingPart[]>();
    for (const ending of ordered) {
        for (const [fingerprint, { ranMs, wasSuspect, cleared }] of ending.requests) {
            if (cleared) continue;
            const known = parts.get(fingerprint);
            const part = { ending, ranMs, wasSuspect };
            if (known) known.push(part);
            else parts.set(fingerprint, [part]);
        }
    }
    return parts;
}

function assessmentOf(fingerprint: string, parts: readonly EndingPart[], ordered: readonly Ending[]): Assessment {
    const counted: EndingPart[] = [];
    for (const part of parts) {
        if (isMassEnding(fingerprint, part.ending, ordered)) continue;
        const before = counted.at(-1);
        const isSimultaneous = before && !part.wasSuspect && part.ending.at - before.ending.at < SIMULTANEOUS_MS;
        if (!isSimultaneous) counted.push(part);
    }
    return {
        fingerprint,
        endings: counted.map(({ ending }) => ending),
        lastAt: parts.at(-1)!.ending.at,
        ranMs: counted.reduce((most, { ranMs }) => Math.max(most, ranMs), 0),
        isCulprit: false,
    };
}

/** Returns whether the request did not run at most of the endpoints that ended at the same moment. */
function isMassEnding(fingerprint: string, { at }: Ending, ordered: readonly Ending[]): boolean {
    const simultaneous = ordered.filter(other => Math.abs(other.at - at) < SIMULTANEOUS_MS);
    const without = simultaneous.filter(({ requests }) => !requests.has(fingerprint)).length;
    return without > simultaneous.length - without;
}

/** Marks culprits, those with the most endings first: the endings that one of them explains do not count for the next ones. */
function markCulprits(assessments: readonly Assessment[]): readonly Assessment[] {
    const explained = new Set<string>();
    return [...assessments].sort(compareAssessments).map(candidate => {
        const unexplained = candidate.endings.filter(({ life }) => !explained.has(life)).length;
        if (candidate.endings.length < ENDINGS_TO_QUARANTINE || unexplained < MIN_UNEXPLAINED_ENDINGS) return candidate;
        for (const { life } of candidate.endings) explained.add(life);
        return { ...candidate, isCulprit: true };
    });
}

function compareAssessments(a: Assessment, b: Assessment): number {
    return b.endings.length - a.endings.length || a.ranMs - b.ranMs || (a.fingerprint < b.fingerprint ? -1 : 1);
}
