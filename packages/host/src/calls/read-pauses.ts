/**
 * Tracks the times in which the host does not read an endpoint's answer because the caller is slow, so that an endpoint
 * that closes the connection for that reason is not blamed.
 *
 * @module
 */

/** Endpoints wait for a reader for seconds: one that closes the connection after a shorter pause has another reason. */
export const SLOW_READER_MS = 1_000;
/** Pauses that follow each other within this time count as one: the caller is still working off the backlog. */
const SERIES_GAP_MS = 250;

/**
 * The pauses in reading one answer.
 *
 * @example
 * ```ts
 * const pauses = new ReadPauses(() => clock.now());
 * pauses.pause();
 * if (pauses.mayExplainClose) blameNobody();
 * ```
 */
export class ReadPauses {
    /** Start of the current pause; undefined while the answer is read. */
    private pausedAt: number | undefined;
    /** End of the last pause. */
    private resumedAt = -Infinity;
    /** Longest finished pause of the current series. */
    private longestFinishedMs = 0;

    constructor(private readonly now: () => number) {}

    /** The host stops reading the answer; does nothing if it had stopped before. */
    pause(): void {
        if (this.pausedAt !== undefined) return;
        if (!this.hasJustResumed) this.longestFinishedMs = 0;
        this.pausedAt = this.now();
    }

    resume(): void {
        this.longestFinishedMs = this.longestMs;
        this.pausedAt = undefined;
        this.resumedAt = this.now();
    }

    private get hasJustResumed(): boolean {
        return this.now() - this.resumedAt <= SERIES_GAP_MS;
    }

    /** Longest pause of the current series, in milliseconds. */
    get longestMs(): number {
        const pauseMs = this.pausedAt === undefined ? 0 : this.now() - this.pausedAt;
        return Math.max(this.longestFinishedMs, Math.round(pauseMs));
    }

    /** Whether the endpoint may have closed the connection because the answer was not read. */
    get mayExplainClose(): boolean {
        const isCurrent = this.pausedAt !== undefined || this.hasJustResumed;
        return isCurrent && this.longestMs >= SLOW_READER_MS;
    }
}
