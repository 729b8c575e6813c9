/**
 * How long an answer was left unread for its caller, so that an endpoint that breaks it off for that is not blamed.
 *
 * @module
 */

/** Who reads nothing for this long is slow: endpoints bear it for seconds, so one that breaks off sooner has a reason of its own. */
export const UNREAD_MS = 1_000;
/** Time to read what lay unread, and to meet the end that came behind it. */
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
    /** Since when the answer is or was last held back. */
    private heldBackAt: number | undefined;
    /** When it was read on; undefined while it is held back. */
    private readOnAt: number | undefined;

    constructor(private readonly now: () => number) {}

    /** Nothing more is read, if anything was until now. */
    holdBack(): void {
        const isHeldBack = this.heldBackAt !== undefined && this.readOnAt === undefined;
        if (!isHeldBack) this.heldBackAt = this.now();
        this.readOnAt = undefined;
    }

    readOn(): void {
        this.readOnAt = this.now();
    }

    /** How long it is or was last held back, in milliseconds. */
    get ms(): number {
        if (this.heldBackAt === undefined) return 0;
        return Math.round((this.readOnAt ?? this.now()) - this.heldBackAt);
    }

    /** Whether an end that shows now may be its endpoint's answer to being left unread. */
    get mayBeCutOff(): boolean {
        const { readOnAt } = this;
        const isRecent = readOnAt === undefined || this.now() - readOnAt <= READ_ON_MS;
        return isRecent && this.ms >= UNREAD_MS;
    }
}
