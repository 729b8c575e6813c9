/**
 * Watches a stream that has sent no event yet. Reading a long prompt takes its time, so silence alone is no sign of a loss here;
 * but an endpoint that has ended or begun a later incarnation will never send one.
 *
 * @module
 */

/** When the endpoint of a stream without events is probed, and how. */
export interface FirstEventCfg {
    /** Time without an event after which the endpoint is probed, and between two probes, in milliseconds. */
    readonly probeAfterMs: number;
    /** Time for which this host has received nothing from the endpoint, on any connection. */
    readonly endpointSilentMs: () => number;
    /** Probes the endpoint; resolves to whether the incarnation that runs the stream has certainly ended. */
    readonly hasEnded: () => Promise<boolean>;
}

/**
 * Watches one stream until its first event.
 *
 * @example
 * ```ts
 * const watch = new FirstEventWatch(cfg, detail => lose(detail));
 * watch.start();
 * ```
 */
export class FirstEventWatch {
    private timer: NodeJS.Timeout | undefined;
    private isStopped = false;

    constructor(private readonly cfg: FirstEventCfg, private readonly onLost: (detail: string) => void) {}

    /** Starts the watch; called when the request is sent. */
    start(): void {
        this.schedule(this.cfg.probeAfterMs);
    }

    /** Stops the watch for good. */
    stop(): void {
        this.isStopped = true;
        clearTimeout(this.timer);
    }

    private schedule(ms: number): void {
        this.timer = setTimeout(() => void this.check(), ms);
    }

    private async check(): Promise<void> {
        const { probeAfterMs, endpointSilentMs, hasEnded } = this.cfg;
        const leftMs = probeAfterMs - endpointSilentMs();
        if (leftMs > 0) return this.schedule(leftMs);
        const ended = await hasEnded();
        if (this.isStopped) return;
        if (ended) this.onLost("its endpoint ended before the first event");
        else this.schedule(probeAfterMs);
    }
}
