/**
 * Finds out, together with the other hosts of the hall, which other halls and endpoints are unreachable. Each host records from
 * whom it hears, and tells the others of failed connections to endpoints. The rules by which a hall or an endpoint is then in doubt
 * (probably unreachable) stand in `reach` of the package `hall`.
 *
 * @module
 */
import {
    type Doubts,
    doubtsOf,
    EMPTY_REACHABILITY,
    type HallHosts,
    type HallInDoubt,
    type HallMembers,
    type Reachability,
    recordFailedConnection,
    recordHeard,
} from "@drumpaddle/hall";
import type { SchedulerEvent } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { randomSample } from "../runtime/random-sample.js";
import type { ReachPeerMessage } from "./peer-messages.js";

/** An endpoint and the hall where it runs. */
export interface HallEndpoint {
    readonly incarnation: string;
    readonly address: string;
    readonly hall: string;
}

/** Dependencies of {@link ReachSharing}. */
export interface ReachSharingDeps {
    readonly name: string;
    /** This host's own hall; it is never in doubt. */
    readonly hall: string;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Pick<Metrics, "doubtedHalls">;
    /** Live hosts of this hall, including this one. */
    inHall(): readonly string[];
    /** The other halls, with the number of their hosts. */
    otherHalls(): readonly HallHosts[];
    send(names: readonly string[], message: ReachPeerMessage): void;
    /** Passes an event to the schedulers. */
    applyEvent(event: SchedulerEvent): void;
    /** Random numbers in [0, 1) by which receivers are drawn; `Math.random` by default. */
    readonly random?: () => number;
}

/** Number of hosts that each host sends news to. With six, news reaches all but one of a hall's 400 hosts in four hops. */
const FANOUT = 6;

const NO_DOUBTS: Doubts = { halls: [], endpoints: [] };

/** Tracks which other halls and endpoints this host can reach. */
export class ReachSharing {
    private reach: Reachability = EMPTY_REACHABILITY;
    private byAddress: ReadonlyMap<string, HallEndpoint> = new Map();
    private byIncarnation: ReadonlyMap<string, HallEndpoint> = new Map();
    private doubts: Doubts = NO_DOUBTS;
    /** Halls that were in doubt and from which nothing was heard since. */
    private readonly awaitingContact = new Set<string>();

    constructor(private readonly deps: ReachSharingDeps) {}

    /** Sets the known endpoints; keeps those of other halls. */
    setEndpoints(endpoints: readonly HallEndpoint[]): void {
        const others = endpoints.filter(({ hall }) => hall !== this.deps.hall);
        this.byAddress = new Map(others.map(endpoint => [endpoint.address, endpoint]));
        this.byIncarnation = new Map(others.map(endpoint => [endpoint.incarnation, endpoint]));
    }

    /** Called when a message arrived from a host of the given hall. */
    recordContact(hall: string): void {
        if (hall !== this.deps.hall) this.markHeard(hall);
    }

    /** Called when the endpoint at this address answered, or a connection to it was established. */
    endpointAnswered(address: string): void {
        const endpoint = this.byAddress.get(address);
        if (endpoint) this.markHeard(endpoint.hall);
    }

    /** Called when a connection to the endpoint at this address failed. */
    connectionFailed(address: string): void {
        const endpoint = this.byAddress.get(address);
        if (endpoint) this.recordFailure(endpoint, 0);
    }

    /** Handles a failed connection that another host of the hall reports. */
    receive({ endpoint: name, agoMs }: ReachPeerMessage): void {
        const endpoint = this.byIncarnation.get(name);
        if (endpoint) this.recordFailure(endpoint, agoMs);
    }

    /** Called when this host reaches endpoints in another way than before: failures of the way before say nothing any more. */
    onWayChanged(): void {
        const halls = new Set([...this.byIncarnation.values()].map(({ hall }) => hall));
        this.updateAfter([this.deps.hall, ...halls]);
    }

    /** Evaluates again what is in doubt. Called periodically: silence puts a hall in doubt as time passes, and doubts expire. */
    update(): void {
        this.updateAfter([]);
    }

    /**
     * Evaluates what is in doubt, logs changes and informs the schedulers.
     *
     * @param back Halls that were in doubt and have just been heard from.
     */
    private updateAfter(back: readonly string[]): void {
        const { clock, log, metrics } = this.deps;
        const before = this.doubts;
        const found = doubtsOf(this.reach, this.otherHalls(), clock.now());
        this.doubts = found;
        if (found.endpoints.length + before.endpoints.length + back.length === 0) return;
        metrics.doubtedHalls.set(found.halls.length);
        for (const item of found.halls) {
            if (!isHallInDoubt(before, item.hall)) this.logDoubt(item);
            this.awaitingContact.add(item.hall);
        }
        const over = before.halls.filter(({ hall }) => !isHallInDoubt(found, hall));
        for (const { hall } of over) log.info({ hall, heard: back.includes(hall) }, "hall_no_longer_in_doubt");
        // Repeat the event while the doubt lasts, so that it also covers endpoints that have been declared in the meantime.
        const doubted = { halls: found.halls.map(({ hall }) => hall), endpoints: found.endpoints };
        this.deps.applyEvent({ kind: "reach", doubted, back });
    }

    private otherHalls(): readonly HallMembers[] {
        return this.deps.otherHalls().map(members => ({ ...members, endpoints: this.endpointsIn(members.hall) }));
    }

    private endpointsIn(hall: string): number {
        return [...this.byIncarnation.values()].filter(endpoint => endpoint.hall === hall).length;
    }

    private markHeard(hall: string): void {
        const hadLost = [...this.reach.failedEndpoints.values()].some(lost => lost.hall === hall);
        this.reach = recordHeard(this.reach, hall, this.deps.clock.now());
        const isRestored = this.awaitingContact.delete(hall);
        if (hadLost || isRestored) this.updateAfter(isRestored ? [hall] : []);
    }

    private recordFailure(endpoint: HallEndpoint, agoMs: number): void {
        const { incarnation, hall } = endpoint;
        const now = this.deps.clock.now();
        const { state, isNews } = recordFailedConnection(this.reach, incarnation, hall, now - agoMs, now);
        this.reach = state;
        if (!isNews) return;
        // Once the hall is in doubt, further failures are no news to the other hosts.
        if (!isHallInDoubt(this.doubts, hall)) this.passOn({ kind: "unreached", endpoint: incarnation, agoMs });
        this.update();
    }

    private passOn(message: ReachPeerMessage): void {
        const others = this.deps.inHall().filter(name => name !== this.deps.name);
        this.deps.send(randomSample(others, FANOUT, this.deps.random), message);
    }

    private logDoubt({ hall, failedEndpoints, hasAliveMajority, silentMs }: HallInDoubt): void {
        const silent = Number.isFinite(silentMs) ? Math.round(silentMs) : undefined;
        this.deps.log.info(
            { hall, lost_endpoints: failedEndpoints, hosts_relied_on: hasAliveMajority, silent_ms: silent },
            "hall_in_doubt",
        );
    }
}

function isHallInDoubt({ halls }: Doubts, hall: string): boolean {
    return halls.some(item => item.hall === hall);
}
