/**
 * Which requests end the endpoints that run them, judged from the endings that are known.
 *
 * Up to 24 requests run where one is to blame, and most of them are at one ending by chance. Two things tell them apart: the one to
 * blame is at every ending that it causes, and where several were at the same endings, the one that had run the shortest is the
 * likelier: it was just begun. What is explained by one is not held against the others. Many endpoints that end at one moment
 * have a cause of their own (a rack, a hall), and nobody is to blame; a request that ran at several of them was at one ending, unless
 * it was begun there as a suspect. Of times only those far apart are compared, as each host knows them by the age of its news.
 *
 * Pure: two hosts that know the same endings judge alike. Times are milliseconds.
 *
 * @module
 */
import type { Ending, Endings } from "./endings.js";

/** Endings after which a request is quarantined: the users' bound, as a request that crossed the way of two crashes is no rarity. */
export const ENDINGS_TO_QUARANTINE = 3;
/**
 * Endings of a request that nothing else explains, at the least: a stream that was beside a guilty request twice and met one crash of
 * another cause is not quarantined for it.
 */
const UNEXPLAINED_LEAST = 2;
/** Endpoints that end within this time end together: what each host sees of one end is a few milliseconds apart, and news takes as long. */
export const MOMENT_MS = 250;

/** What is held against a request. */
export interface Charge {
    readonly fingerprint: string;
    /** Endings that count against it, each life once. */
    readonly endings: readonly Ending[];
    /** When the last of them was. */
    readonly lastAt: number;
    /** The longest that it had run at one of them. */
    readonly ranMs: number;
    readonly isGuilty: boolean;
}

interface Part {
    readonly ending: Ending;
    readonly ranMs: number;
    readonly wasSuspect: boolean;
}

/**
 * Judges all requests that were at an ending and were not cleared.
 *
 * @example
 * ```ts
 * judge(endings).get(fingerprint)?.isGuilty;
 * ```
 */
export function judge(endings: Endings): ReadonlyMap<string, Charge> {
    const ordered = [...endings.values()].sort((a, b) => a.at - b.at);
    const charges = [...partsOf(ordered)].map(([fingerprint, parts]) => chargeOf(fingerprint, parts, ordered));
    return new Map(blame(charges).map(charge => [charge.fingerprint, charge]));
}

function partsOf(ordered: readonly Ending[]): ReadonlyMap<string, readonly Part[]> {
    const parts = new Map<string, Part[]>();
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

function chargeOf(fingerprint: string, parts: readonly Part[], ordered: readonly Ending[]): Charge {
    const counted: Part[] = [];
    for (const part of parts) {
        if (endedWithMany(fingerprint, part.ending, ordered)) continue;
        const before = counted.at(-1);
        const sameOccasion = before && !part.wasSuspect && part.ending.at - before.ending.at < MOMENT_MS;
        if (!sameOccasion) counted.push(part);
    }
    return {
        fingerprint,
        endings: counted.map(({ ending }) => ending),
        lastAt: parts.at(-1)!.ending.at,
        ranMs: counted.reduce((most, { ranMs }) => Math.max(most, ranMs), 0),
        isGuilty: false,
    };
}

/** Whether most of the endpoints that ended at that moment did not run the request. */
function endedWithMany(fingerprint: string, { at }: Ending, ordered: readonly Ending[]): boolean {
    const together = ordered.filter(other => Math.abs(other.at - at) < MOMENT_MS);
    const without = together.filter(({ requests }) => !requests.has(fingerprint)).length;
    return without > together.length - without;
}

/** Finds out who is guilty, the most involved first: what one of them explains is not held against those behind it. */
function blame(charges: readonly Charge[]): readonly Charge[] {
    const explained = new Set<string>();
    return [...charges].sort(compareCharges).map(charge => {
        const unexplained = charge.endings.filter(({ life }) => !explained.has(life)).length;
        if (charge.endings.length < ENDINGS_TO_QUARANTINE || unexplained < UNEXPLAINED_LEAST) return charge;
        for (const { life } of charge.endings) explained.add(life);
        return { ...charge, isGuilty: true };
    });
}

function compareCharges(a: Charge, b: Charge): number {
    return b.endings.length - a.endings.length || a.ranMs - b.ranMs || (a.fingerprint < b.fingerprint ? -1 : 1);
}
