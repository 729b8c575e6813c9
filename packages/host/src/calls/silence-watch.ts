/**
 * Watches a running stream for silence: an endpoint may disappear without closing its connection.
 *
 * @module
 */

/** What a probe shows about the endpoint of a silent stream. */
export const EndpointSign = {
    /** It answers, so that it notices at once when the stream's connection closes. */
    Serves: "serves",
    /** It accepts connections without answering, or could not be asked: it may be held up, and go on with the stream. */
    Unsure: "unsure",
    /** Its process has ended, or its machine is not reached. */
    Gone: "gone",
} as const;
/** One of {@link EndpointSign}. */
export type EndpointSign = typeof EndpointSign[keyof typeof EndpointSign];

/** What an endpoint did when it was told to stop a stream. */
export const StreamStop = {
    /** It has stopped. */
    Stopped: "stopped",
    /** It has answered that it did not, or that it does not run the stream. */
    NotStopped: "notStopped",
    /** It gave no answer. */
    Unknown: "unknown",
} as const;
/** One of {@link StreamStop}. */
export type StreamStop = typeof StreamStop[keyof typeof StreamStop];

/** When a silent stream counts as lost. Times are milliseconds since its last event. */
export interface SilenceCfg {
    /** The watch probes the endpoint for the first time after this time; if the endpoint is gone, the stream is lost. */
    readonly probeAfterMs: number;
    /** The stream is stopped after this time if its endpoint serves. */
    readonly lostAfterMs: number;
    /** The stream is stopped after this time if it is not sure that its endpoint is gone. */
    readonly unsureAfterMs: number;
    /** The time for which the host was awake; a suspended host receives nothing. */
    awakeMs(): number;
    /** Probes the endpoint. */
    probe(): Promise<EndpointSign>;
    /** Tells the endpoint to stop the stream. Unless it has, the stream may still run there and must not go on elsewhere. */
    stop(): Promise<StreamStop>;
    /** Whether the stream can continue elsewhere now; if not, silence is no reason to end it. */
    canContinue(): boolean;
}

/** A timer that fires later than this shows that the event loop was blocked, so that events may wait to be read. */
const LATE_TIMER_MS = 20;
/** Time for a blocked event loop to read what waits before the watch checks again. */
const RECHECK_MS = 10;

const WHY_LOST: { readonly [K in EndpointSign]: string } = {
    [EndpointSign.Gone]: "no sign of life",
    [EndpointSign.Serves]: "its endpoint lives",
    [EndpointSign.Unsure]: "its endpoint may be held up",
};

/**
 * Watches one stream, from its first event.
 *
 * @example
 * ```ts
 * const watch = new SilenceWatch(cfg, detail => lose(detail));
 * watch.onEvent();
 * ```
 */
export class SilenceWatch {
    private readonly timers = new Set<NodeJS.Timeout>();
    /** Checks that are due once waiting input was read. */
    private readonly immediates = new Set<NodeJS.Immediate>();
    private lastEventAt = 0;
    private paused = false;
    private isProbing = false;
    /** Settles when what an order to stop has shown was handled; undefined if none is under way. */
    private stopping: Promise<void> | undefined;
    private lastStop: StreamStop | undefined;

    constructor(private readonly cfg: SilenceCfg, private readonly onLost: (detail: string) => void) {}

    /** Restarts the watch after an event. */
    onEvent(): void {
        this.lastEventAt = this.cfg.awakeMs();
        if (!this.stopping) this.lastStop = undefined;
        this.stop();
        this.schedule(this.cfg.probeAfterMs, () => this.probeEndpoint());
    }

    /**
     * Returns a promise that settles once it is known whether the endpoint has stopped the stream; undefined if nothing is awaited. The
     * end of a stream that was stopped is not that of its answer.
     */
    whenStopKnown(): Promise<void> | undefined {
        return this.stopping;
    }

    /** Whether the endpoint may have stopped the stream: it did not answer the order, and sent nothing since. */
    get mayHaveStopped(): boolean {
        return this.lastStop === StreamStop.Unknown;
    }

    /** Suspends the watch while the host does not read the stream because the caller is slow. */
    pause(): void {
        this.stop();
        this.paused = true;
    }

    /** Restarts the watch when the host reads the stream again. */
    resume(): void {
        if (this.paused) this.onEvent();
    }

    /** Stops the watch until the next event. */
    stop(): void {
        this.paused = false;
        this.isProbing = false;
        for (const timer of this.timers) clearTimeout(timer);
        for (const immediate of this.immediates) clearImmediate(immediate);
        this.timers.clear();
        this.immediates.clear();
    }

    /**
     * Calls back after a time, and {@link RECHECK_MS} later if the event loop was blocked when it was due. It delays
     * only once, as the loop may be blocked again and again.
     */
    private schedule(ms: number, then: () => void): void {
        const dueAt = this.cfg.awakeMs() + ms;
        this.runAfterReads(ms, () => {
            const isLate = this.cfg.awakeMs() - dueAt > LATE_TIMER_MS;
            if (isLate) this.runAfterReads(RECHECK_MS, then);
            else then();
        });
    }

    /**
     * Calls back after a time and after the input that has arrived by then was read. Node runs timers before it reads,
     * so a busy host would otherwise take its own delay for a silence.
     */
    private runAfterReads(ms: number, then: () => void): void {
        const timer = setTimeout(() => {
            const immediate = setImmediate(() => {
                this.immediates.delete(immediate);
                then();
            });
            this.timers.delete(timer);
            this.immediates.add(immediate);
        }, ms);
        this.timers.add(timer);
    }

    private get silentMs(): number {
        return this.cfg.awakeMs() - this.lastEventAt;
    }

    private probeEndpoint(): void {
        const { lastEventAt, cfg } = this;
        if (!cfg.canContinue()) return this.probeLater();
        this.isProbing = true;
        void cfg.probe().then(sign => {
            const isOver = !this.isProbing || this.lastEventAt !== lastEventAt;
            if (!isOver) this.onSign(sign);
        });
    }

    /** Each sign is only as old as the decision: an endpoint that answered may have been held up since. */
    private onSign(sign: EndpointSign): void {
        const { lostAfterMs, unsureAfterMs } = this.cfg;
        this.isProbing = false;
        if (sign === EndpointSign.Gone) return this.reportGone();
        const stopAt = sign === EndpointSign.Serves ? lostAfterMs : unsureAfterMs;
        if (this.silentMs >= stopAt) return this.stopStream(WHY_LOST[sign]);
        const nextAt = Math.min(stopAt, this.silentMs + lostAfterMs);
        this.schedule(nextAt - this.silentMs, () => this.probeEndpoint());
    }

    /** Has the endpoint stop the stream, which is lost once it has, whatever came meanwhile. */
    private stopStream(why: string): void {
        // The copy may have disappeared, or become unusable, since the endpoint was probed.
        if (this.stopping || !this.cfg.canContinue()) return this.probeLater();
        const { lastEventAt, silentMs } = this;
        this.isProbing = true;
        this.stopping = this.cfg.stop().then(result => {
            this.stopping = undefined;
            this.lastStop = result;
            if (result === StreamStop.Stopped) return this.endWatch(silentMs, why);
            const isOver = !this.isProbing || this.lastEventAt !== lastEventAt;
            if (isOver) return;
            this.isProbing = false;
            this.schedule(this.cfg.lostAfterMs, () => this.probeEndpoint());
        });
    }

    private probeLater(): void {
        this.schedule(this.cfg.probeAfterMs, () => this.probeEndpoint());
    }

    private reportGone(): void {
        // The copy may have disappeared, or become unusable, since the endpoint was probed.
        if (!this.cfg.canContinue()) return this.probeLater();
        this.endWatch(this.silentMs, WHY_LOST[EndpointSign.Gone]);
    }

    private endWatch(silentMs: number, why: string): void {
        this.stop();
        this.onLost(`no event for ${Math.round(silentMs)} ms, ${why}`);
    }
}
