/**
 * Tells operators when a host begins or ceases to own endpoints: who owns them advises all others where their requests go.
 *
 * @module
 */
import type { SchedulerEvent } from "@drumpaddle/policy";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";

/** What a host owned when it was last looked at. */
export class OwnershipLog {
    private ownedCount = 0;

    constructor(private readonly log: Log, private readonly metrics: Pick<Metrics, "ownedEndpoints">) {}

    /** Takes in what a round has found this host to own. */
    update(events: readonly SchedulerEvent[]): void {
        const ownsEvent = events.find(event => event.kind === "owns");
        if (!ownsEvent) return;
        const { length: owned } = ownsEvent.endpoints;
        this.metrics.ownedEndpoints.set(owned);
        const before = this.ownedCount;
        this.ownedCount = owned;
        // How many there are changes with every endpoint that comes or goes.
        if ((owned > 0) !== (before > 0)) this.log.info({ owned, before }, "endpoints_owned");
    }
}
