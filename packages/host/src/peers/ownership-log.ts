/**
 * Reports to operators when this host begins or ceases to own endpoints. An endpoint's owner advises all other hosts on sending
 * requests there.
 *
 * @module
 */
import type { SchedulerEvent } from "@drumpaddle/policy";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";

/** Logs changes of ownership, and counts the owned endpoints. */
export class OwnershipLog {
    private ownedCount = 0;

    constructor(private readonly log: Log, private readonly metrics: Pick<Metrics, "ownedEndpoints">) {}

    /** Reads the owned endpoints from the events of a sharing round. */
    update(events: readonly SchedulerEvent[]): void {
        const ownsEvent = events.find(event => event.kind === "owns");
        if (!ownsEvent) return;
        const { length: owned } = ownsEvent.endpoints;
        this.metrics.ownedEndpoints.set(owned);
        const before = this.ownedCount;
        this.ownedCount = owned;
        // The count alone is not logged: it changes with every endpoint that comes or goes.
        if ((owned > 0) !== (before > 0)) this.log.info({ owned, before }, "endpoints_owned");
    }
}
