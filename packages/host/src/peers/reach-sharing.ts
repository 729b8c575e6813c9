/**
 * How hosts of a hall find out together what of other halls they cannot reach: each takes note of whom it hears, and tells the others of
 * connections to endpoints that failed. What follows is decided in `reach` of the package `hall`.
 *
 * @module
 */
import {
    type DoubtedHall,
    type Doubts,
    doubtsOf,
    type HallHosts,
    type HallMembers,
    hearHall,
    loseEndpoint,
    NOTHING_FOUND,
    type Reach,
} from "@drumpaddle/hall";
import type { SchedulerEvent } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";
import { someOf } from "../runtime/some-of.js";
import type { ReachPeerMessage } from "./peer-messages.js";

/** An endpoint as far as its hall is concerned. */
export interface PlacedEndpoint {
    readonly incarnation: string;
    readonly address: string;
    readonly hall: string;
}

/** What sharing needs of the peers. */
export interface ReachSharingDeps {
    readonly name: string;
    /** This host's own hall, which is never in doubt. */
    readonly hall: string;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Pick<Metrics, "doubtedHalls">;
    /** Live hosts of this hall, itself included. */
    inHall(): readonly string[];
    /** Hosts of other halls. */
    otherHalls(): readonly HallHosts[];
    send(names: readonly string[], message: ReachPeerMessage): void;
    /** Tells the decisions. */
    applyEvent(event: SchedulerEvent): void;
    /** Draws whom news is told; the system's where it is absent. */
    readonly random?: () => number;
}

/** By each to six others, news is at all but one of 400 hosts of a hall after four passes. */
const FANOUT = 6;

const NO_DOUBTS: Doubts = { halls: [], endpoints: [] };

/** One host's part in finding it out. */
export class ReachSharing {
    private reach: Reach = NOTHING_FOUND;
    private byAddress: ReadonlyMap<string, PlacedEndpoint> = new Map();
    private byName: ReadonlyMap<string, PlacedEndpoint> = new Map();
    private doubts: Doubts = NO_DOUBTS;
    /** Halls that were in doubt and have not been heard since. */
    private readonly awaitingContact = new Set<string>();

    constructor(private readonly deps: ReachSharingDeps) {}

    /** Takes in which endpoints there are. */
    setEndpoints(endpoints: readonly PlacedEndpoint[]): void {
        const others = endpoints.filter(({ hall }) => hall !== this.deps.hall);
        this.byAddress = new Map(others.map(endpoint => [endpoint.address, endpoint]));
        this.byName = new Map(others.map(endpoint => [endpoint.incarnation, endpoint]));
    }

    /** A message came from a host of a hall. */
    heardHost(hall: string): void {
        if (hall !== this.deps.hall) this.markHeard(hall);
    }

    /** An endpoint answered, or a connection to it came up. */
    answered(address: string): void {
        const endpoint = this.byAddress.get(address);
        if (endpoint) this.markHeard(endpoint.hall);
    }

    /** A connection to an endpoint failed. */
    failed(address: string): void {
        const endpoint = this.byAddress.get(address);
        if (endpoint) this.recordFailure(endpoint, 0);
    }

    /** Takes in what another host of the hall found out. */
    receive({ endpoint: name, agoMs }: ReachPeerMessage): void {
        const endpoint = this.byName.get(name);
        if (endpoint) this.recordFailure(endpoint, agoMs);
    }

    /** Looks anew what is in doubt: silence becomes a doubt as time passes, and time ends one. */
    look(): void {
        this.updateAfter([]);
    }

    /** @param back Halls that were in doubt and have just been heard. */
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
        // Told again while it lasts, for endpoints that are declared meanwhile.
        const doubted = { halls: found.halls.map(({ hall }) => hall), endpoints: found.endpoints };
        this.deps.applyEvent({ kind: "reach", doubted, back });
    }

    private otherHalls(): readonly HallMembers[] {
        return this.deps.otherHalls().map(members => ({ ...members, endpoints: this.endpointsIn(members.hall) }));
    }

    private endpointsIn(hall: string): number {
        return [...this.byName.values()].filter(endpoint => endpoint.hall === hall).length;
    }

    private markHeard(hall: string): void {
        const hadLost = [...this.reach.lost.values()].some(lost => lost.hall === hall);
        this.reach = hearHall(this.reach, hall, this.deps.clock.now());
        const isRestored = this.awaitingContact.delete(hall);
        if (hadLost || isRestored) this.updateAfter(isRestored ? [hall] : []);
    }

    private recordFailure(endpoint: PlacedEndpoint, agoMs: number): void {
        const { incarnation, hall } = endpoint;
        const now = this.deps.clock.now();
        const { state, isNews } = loseEndpoint(this.reach, incarnation, hall, now - agoMs, now);
        this.reach = state;
        if (!isNews) return;
        // Once the hall is in doubt the others know enough.
        if (!isHallInDoubt(this.doubts, hall)) this.passOn({ kind: "unreached", endpoint: incarnation, agoMs });
        this.look();
    }

    private passOn(message: ReachPeerMessage): void {
        const others = this.deps.inHall().filter(name => name !== this.deps.name);
        this.deps.send(someOf(others, FANOUT, this.deps.random), message);
    }

    private logDoubt({ hall, lost, hasHosts, silentMs }: DoubtedHall): void {
        const silent = Number.isFinite(silentMs) ? Math.round(silentMs) : undefined;
        this.deps.log.info(
            { hall, lost_endpoints: lost, hosts_relied_on: hasHosts, silent_ms: silent },
            "hall_in_doubt",
        );
    }
}

function isHallInDoubt({ halls }: Doubts, hall: string): boolean {
    return halls.some(item => item.hall === hall);
}
