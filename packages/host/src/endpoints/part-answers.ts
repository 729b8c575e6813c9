/**
 * Remembers which parts that requests share were answered recently: an answer shows that an endpoint has survived them.
 *
 * @module
 */
import type { PartAnswer } from "@drumpaddle/hall";

/** The last answer to a request with a part. */
export interface LastAnswer {
    readonly at: number;
    /** Version of the endpoint's software; undefined if it is unknown. */
    readonly software: string | undefined;
}

/** For how long an answer vouches for a part: well above the time between two requests with a part that many share. */
const PROVEN_MS = 10_000;
const MAX_PARTS = 4_096;
const MAX_ANSWERS = 64;

/** The recent answers of one host. Times are in milliseconds on the clock by which `now` is given. */
export class PartAnswers {
    /** By part, the oldest first. */
    private readonly byPart = new Map<string, LastAnswer>();
    /** The last answers to requests with parts, the oldest first. */
    private readonly answers: PartAnswer[] = [];

    /** Remembers an answer that has begun. */
    add(answer: PartAnswer, software: string | undefined): void {
        const { at, parts } = answer;
        if (parts.length === 0) return;
        this.answers.push(answer);
        if (this.answers.length > MAX_ANSWERS) this.answers.shift();
        for (const part of parts) {
            this.byPart.delete(part);
            this.byPart.set(part, { at, software });
            if (this.byPart.size > MAX_PARTS) this.byPart.delete(this.byPart.keys().next().value!);
        }
    }

    /** The last answers, the oldest first. */
    get recent(): readonly PartAnswer[] {
        return this.answers;
    }

    /** The last answer to a request with a part, if it is remembered. */
    lastTo(part: string): LastAnswer | undefined {
        return this.byPart.get(part);
    }

    /** Whether a request with a part was answered recently. */
    isProven(part: string, now: number): boolean {
        return now - (this.byPart.get(part)?.at ?? -Infinity) < PROVEN_MS;
    }

    /** Forgets answers that vouch for nothing any more. */
    dropExpired(now: number): void {
        for (const part of this.byPart.keys()) {
            if (this.isProven(part, now)) break;
            this.byPart.delete(part);
        }
    }
}
