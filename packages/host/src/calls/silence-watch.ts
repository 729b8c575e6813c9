/**
 * Watches a stream that has begun: one that falls silent may be lost, as its endpoint may be gone without a word.
 *
 * @module
 */

/** When a stream that has begun and falls silent is taken for lost. Times are milliseconds since its last event. */
export interface SilenceCfg {
    /** Its endpoint is asked for a sign of life after this: one that gives none is lost. */
    readonly askMs: number;
    /** Lost after this, whatever the endpoint says. */
    readonly lostMs: number;
    /** The time that this host was awake: while it was not, nothing could be heard. */
    awake(): number;
    /** Whether the endpoint gives a sign of life. */
    answers(): Promise<boolean>;
    /** Whether the stream may go on elsewhere now: where it may not, silence is no reason to end it. */
    canGoOn(): boolean;
}

/** A timer that fires later than this shows that the host itself was held up: events may wait to be read. */
const HELD_UP_MS = 20;
/** Time for a host that was held up to read what waits, before it looks again. */
const LOOK_AGAIN_MS = 10;

/**
 * The watch over one stream; it begins with the first event.
 *
 * @example
 * ```ts
 * const watch = new SilenceWatch(cfg, detail => lose(detail));
 * watch.heard();
 * ```
 */
export class SilenceWatch {
    private readonly timers = new Set<NodeJS.Timeout>();
    /** Looks that are due as soon as what waits to be read has been. */
    private readonly looks = new Set<NodeJS.Immediate>();
    private lastEventAt = 0;
    private paused = false;

    constructor(private readonly cfg: SilenceCfg, private readonly onLost: (detail: string) => void) {}

    /** An event came. */
    heard(): void {
        this.lastEventAt = this.cfg.awake();
        this.stop();
        this.wait(this.cfg.askMs, () => this.ask());
    }

    /** Nothing is read while the caller takes nothing: the stream is held back here, not silent there. */
    pause(): void {
        this.stop();
        this.paused = true;
    }

    /** The caller takes bytes again. */
    resume(): void {
        if (this.paused) this.heard();
    }

    /** Ends the watch, until another event comes. */
    stop(): void {
        this.paused = false;
        for (const timer of this.timers) clearTimeout(timer);
        for (const look of this.looks) clearImmediate(look);
        this.timers.clear();
        this.looks.clear();
    }

    /** Calls back after a time, or a little later where the host was held up when it was due: once, as it may always be. */
    private wait(ms: number, then: () => void): void {
        const dueAt = this.cfg.awake() + ms;
        this.after(ms, () => {
            const heldUp = this.cfg.awake() - dueAt > HELD_UP_MS;
            if (heldUp) this.after(LOOK_AGAIN_MS, then);
            else then();
        });
    }

    /**
     * Calls back after a time, unless an event comes. Node runs timers before it reads: what has come by then is read first, as a
     * busy host would else take its own delay for a silence.
     */
    private after(ms: number, then: () => void): void {
        const timer = setTimeout(() => {
            const look = setImmediate(() => {
                this.looks.delete(look);
                then();
            });
            this.timers.delete(timer);
            this.looks.add(look);
        }, ms);
        this.timers.add(timer);
    }

    private get silentMs(): number {
        return this.cfg.awake() - this.lastEventAt;
    }

    private ask(): void {
        const { lastEventAt, cfg } = this;
        if (!cfg.canGoOn()) return this.askLater();
        this.wait(Math.max(0, cfg.lostMs - this.silentMs), () => this.lose("its endpoint lives"));
        void cfg.answers().then(answers => {
            if (!answers && this.lastEventAt === lastEventAt && this.timers.size + this.looks.size > 0) {
                this.lose("no sign of life");
            }
        });
    }

    private askLater(): void {
        this.wait(this.cfg.askMs, () => this.ask());
    }

    private lose(why: string): void {
        this.stop();
        // Its copy went, or may not be used any more, since its endpoint was asked.
        if (!this.cfg.canGoOn()) return this.askLater();
        this.onLost(`no event for ${Math.round(this.silentMs)} ms, ${why}`);
    }
}
