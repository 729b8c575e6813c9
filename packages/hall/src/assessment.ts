/**
 * Infers from the known endings which requests, and which parts of prompts, crash the endpoints that run them.
 *
 * Up to 24 requests run at an endpoint when it ends, and most of them are there by chance. The culprit is identified in two ways: it is
 * involved in every ending that it causes, and of several requests that share the same endings, the one that had run for the shortest
 * time is the most likely, because it had just begun. An ending that one culprit explains does not count against other requests. If
 * many endpoints end at the same moment, there is a common cause (a rack, a hall) and no request is blamed. A request that ran at
 * several endpoints that ended at the same moment gets one ending for all of them, unless it began there as a suspect. Each host
 * derives times from the age of the news, so only times that lie far apart are compared.
 *
 * A part that many requests share may be at every ending, whatever its cause. It differs from a culprit in that requests with it are
 * answered meanwhile, which clears it, and in that one of the requests with it had usually run for longer. Two parts that always come
 * together cannot be told apart by endings: the culprit then names the others as its alternatives, and a request with only some of them
 * may be tried.
 *
 * All functions are pure: two hosts that know the same endings reach the same result. Times are in milliseconds.
 *
 * @module
 */
import { type Ending, type Endings, SuspectKind } from "./endings.js";

/** A suspect is quarantined at this many endings. The users set the bound: innocent requests that meet two crashes are not rare. */
export const ENDINGS_TO_QUARANTINE = 3;
/**
 * A culprit has at least this many endings that no other culprit explains. Otherwise a stream that ran beside a culprit twice and met
 * one unrelated crash would be quarantined as well.
 */
const MIN_UNEXPLAINED_ENDINGS = 2;
/** Endings within this time count as simultaneous. Hosts notice one ending a few milliseconds apart, and news takes as long. */
export const SIMULTANEOUS_MS = 250;

/** Names of parts of prompts start with this. Other parts, such as bodies, are not held by nearly all requests. */
const PROMPT_PART = "part:";

/** What the known endings say of a request, or of a part of prompts. */
export interface Assessment {
    /** Fingerprint of the request, or name of the part. */
    readonly fingerprint: string;
    readonly kind: SuspectKind;
    /** Endings that count against it, each life once. */
    readonly endings: readonly Ending[];
    /** When the last ending that it was involved in was, also if that one does not count. */
    readonly lastAt: number;
    /** The longest time that it had run at an ending that counts. */
    readonly ranMs: number;
    /** Whether it is to be quarantined. */
    readonly isCulprit: boolean;
    /** Whether a request without the part was answered since its first ending; true also where that is not asked for. */
    readonly isControlled: boolean;
    /** Other parts that explain the endings of a culpable part as well. */
    readonly alternatives: readonly string[];
}

/** The involvement of a suspect in one ending. */
interface EndingPart {
    readonly ending: Ending;
    readonly ranMs: number;
    readonly wasSuspect: boolean;
    readonly controlled: boolean;
}

/** A suspect with all endings that it was involved in and not cleared of. */
interface Suspect {
    readonly fingerprint: string;
    readonly kind: SuspectKind;
    readonly parts: readonly EndingPart[];
}

/** A part that was involved in enough endings to be a culprit. */
interface RepeatedPart {
    readonly fingerprint: string;
    readonly parts: readonly EndingPart[];
    /** Names of the lives that ended. */
    readonly lives: ReadonlySet<string>;
}

/** Assessments by fingerprint or name of a part. */
export type Assessments = ReadonlyMap<string, Assessment>;

/**
 * Assesses all requests and parts that were involved in an ending and not cleared since.
 *
 * @example
 * ```ts
 * assessSuspects(endings).get(fingerprint)?.isCulprit;
 * ```
 */
export function assessSuspects(endings: Endings): Assessments {
    const ordered = [...endings.values()].sort((a, b) => a.at - b.at);
    const simultaneous = new Map(ordered.map((ending, index) => [ending, simultaneousWith(ordered, index)] as const));
    const suspects = [...suspectsOf(ordered, SuspectKind.Request), ...suspectsOf(ordered, SuspectKind.Part)]
        .map(suspect => withoutMassEndings(suspect, simultaneous));
    const assessments = markCulprits(suspects.map(assessmentOf));
    const repeatedParts = suspects.filter(({ kind, parts }) =>
        kind === SuspectKind.Part && parts.length >= ENDINGS_TO_QUARANTINE
    ).map(({ fingerprint, parts }): RepeatedPart => ({
        fingerprint,
        parts,
        lives: new Set(parts.map(({ ending }) => ending.life)),
    }));
    return new Map(assessments.map(item => [item.fingerprint, withAlternatives(item, repeatedParts)]));
}

/** Returns the endings at about the same time as one of them, including it. */
function simultaneousWith(ordered: readonly Ending[], index: number): readonly Ending[] {
    const { at } = ordered[index]!;
    let from = index;
    while (from > 0 && at - ordered[from - 1]!.at < SIMULTANEOUS_MS) from -= 1;
    let to = index + 1;
    while (to < ordered.length && ordered[to]!.at - at < SIMULTANEOUS_MS) to += 1;
    return ordered.slice(from, to);
}

function suspectsOf(ordered: readonly Ending[], kind: SuspectKind): readonly Suspect[] {
    const found = new Map<string, EndingPart[]>();
    for (const ending of ordered) {
        for (const [fingerprint, { ranMs, wasSuspect, cleared, controlled = false }] of ending[kind]) {
            if (cleared) continue;
            const known = found.get(fingerprint);
            const part = { ending, ranMs, wasSuspect, controlled };
            if (known) known.push(part);
            else found.set(fingerprint, [part]);
        }
    }
    return [...found].map(([fingerprint, parts]) => ({ fingerprint, kind, parts }));
}

/**
 * Drops endings of which most of the simultaneous ones were without the suspect. If all were, the last ending is still known by
 * {@link Assessment.lastAt}.
 */
function withoutMassEndings(
    suspect: Suspect,
    simultaneous: ReadonlyMap<Ending, readonly Ending[]>,
): Suspect & { readonly lastAt: number } {
    const { fingerprint, kind, parts } = suspect;
    const isMassEnding = ({ ending }: EndingPart): boolean => {
        const all = simultaneous.get(ending)!;
        if (all.length === 1) return false;
        const without = all.filter(other => !other[kind].has(fingerprint)).length;
        return without > all.length - without;
    };
    return { ...suspect, lastAt: parts.at(-1)!.ending.at, parts: parts.filter(part => !isMassEnding(part)) };
}

function assessmentOf({ fingerprint, kind, parts, lastAt }: Suspect & { readonly lastAt: number }): Assessment {
    const counted: EndingPart[] = [];
    for (const part of parts) {
        const before = counted.at(-1);
        const isSimultaneous = before && !part.wasSuspect && part.ending.at - before.ending.at < SIMULTANEOUS_MS;
        if (!isSimultaneous) counted.push(part);
    }
    return {
        fingerprint,
        kind,
        endings: counted.map(({ ending }) => ending),
        lastAt,
        ranMs: counted.reduce((most, { ranMs }) => Math.max(most, ranMs), 0),
        isCulprit: false,
        isControlled: !fingerprint.startsWith(PROMPT_PART) || parts.some(({ controlled }) => controlled),
        alternatives: [],
    };
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

/** The same request that crashed endpoints repeatedly goes before the parts of its prompt: they may be sound in other requests. */
function compareAssessments(a: Assessment, b: Assessment): number {
    return b.endings.length - a.endings.length
        || a.ranMs - b.ranMs
        || Number(a.kind === SuspectKind.Part) - Number(b.kind === SuspectKind.Part)
        || (a.fingerprint < b.fingerprint ? -1 : 1);
}

function withAlternatives(assessment: Assessment, repeatedParts: readonly RepeatedPart[]): Assessment {
    const { fingerprint, kind, isCulprit } = assessment;
    if (!isCulprit || kind !== SuspectKind.Part) return assessment;
    const own = repeatedParts.find(part => part.fingerprint === fingerprint)!;
    const alternatives = repeatedParts.filter(other => other !== own && mayExplain(other, own))
        .map(other => other.fingerprint);
    return { ...assessment, alternatives };
}

/**
 * Whether another part may be to blame for the endings of a culpable one. One ending may be left over that the culprit met by chance,
 * unless the culprit ran on trial there, where little else ran.
 */
function mayExplain({ lives }: RepeatedPart, { parts }: RepeatedPart): boolean {
    if (lives.size <= parts.length - MIN_UNEXPLAINED_ENDINGS) return false;
    const leftOver = parts.filter(({ ending }) => !lives.has(ending.life));
    return leftOver.length < MIN_UNEXPLAINED_ENDINGS && leftOver.every(({ wasSuspect }) => !wasSuspect);
}
