/**
 * How long an answer was left unread for its caller, so that an endpoint that breaks it off for that is not blamed.
 *
 * @module
 */

/** Who reads nothing for this long is slow: endpoints bear it for seconds, so one that breaks off sooner has a reason of its own. */
export const UNREAD_MS = 1_000;
/** Pauses that follow each other within this time are one spell: what lay unread is read in it, at the caller's pace. */
const READ_ON_MS = 250;

/**
 * The times in which one answer was held back.
 *
 * @example
 * ```ts
 * const unread = new UnreadAnswer(() => clock.now());
 * unread.holdBack();
 * if (unread.mayBeCutOff) blameNobody();
 * ```
 */
export class UnreadAnswer {
    /** Since when the answer is held back; undefined while it is read. */
    private heldBackAt: number | undefined;
    /** When it was read on last. */
    private readOnAt = -Infinity;
    /** The longest pause of this spell. */
    private longestMs = 0;

    constructor(private readonly now: () => number) {}

    /** Nothing more is read, if anything was until now. */
    holdBack(): void {
        if (this.heldBackAt !== undefined) return;
        if (!this.wasReadJustNow) this.longestMs = 0;
        this.heldBackAt = this.now();
    }

    readOn(): void {
        this.longestMs = this.ms;
        this.heldBackAt = undefined;
        this.readOnAt = this.now();
    }

    private get wasReadJustNow(): boolean {
        return this.now() - this.readOnAt <= READ_ON_MS;
    }

    /** How long it was left unread in this spell, in milliseconds. */
    get ms(): number {
        const pauseMs = this.heldBackAt === undefined ? 0 : this.now() - this.heldBackAt;
        return Math.max(this.longestMs, Math.round(pauseMs));
    }

    /** Whether an end that shows now may be its endpoint's answer to being left unread. */
    get mayBeCutOff(): boolean {
        const isOfSpell = this.heldBackAt !== undefined || this.wasReadJustNow;
        return isOfSpell && this.ms >= UNREAD_MS;
    }
}
