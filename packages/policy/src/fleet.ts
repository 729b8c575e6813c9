/**
 * What bounds on an endpoint's requests are judged by: the hosts that may send to it, and what this host has let in.
 *
 * @module
 */

/** What this host knows of the hosts that may send to the same endpoints. */
export interface Fleet {
    /** When this host first heard of others; undefined before that. */
    readonly since: number | undefined;
    /** This host's place among the live hosts, from 0. */
    readonly place: number;
    /** Live hosts, this one included. */
    readonly live: number;
    /** The most that were alive or named at a time. */
    readonly most: number;
    /** When `place` or `live` last became another. */
    readonly changedAt: number;
    /** A whole number that tells this host from most others, whatever it hears of them. */
    readonly mark: number;
}

/** A host that knows of no other. */
export const ALONE: Fleet = { since: undefined, place: 0, live: 1, most: 1, changedAt: -Infinity, mark: 0 };

/** Times at which requests were let in, by endpoint; the oldest first. Only of endpoints that are bounded. */
export type RecentAdmissions = ReadonlyMap<string, readonly number[]>;

/** By what it is judged whether one more request may be sent to an endpoint that bounds them. */
export interface AdmissionBounds {
    readonly fleet: Fleet;
    /** What this host has let into cold or limited endpoints. */
    readonly letIn: RecentAdmissions;
    /** Since when this host has owned each of its endpoints. */
    readonly ownedSince: ReadonlyMap<string, number>;
}
