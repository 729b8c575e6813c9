/**
 * What a host needs to divide an endpoint's request bounds among hosts: the live hosts that share the bound, and the
 * requests that it has admitted itself.
 *
 * @module
 */

import type { LimitLoans } from "./limit-loans.js";

/** What this host knows of the hosts that may send to the same endpoints. */
export interface Fleet {
    /** When this host first heard from other hosts; undefined before that. */
    readonly since: number | undefined;
    /** This host's position among the live hosts, from 0. */
    readonly place: number;
    /** Live hosts, this one included. */
    readonly live: number;
    /** The largest number of hosts known at one time, whether heard from or only named by others. */
    readonly most: number;
    /** When `place` or `live` last changed. */
    readonly changedAt: number;
    /** An integer that differs between most hosts and does not depend on which hosts are heard. */
    readonly mark: number;
}

/** A host that knows of no other host. */
export const ALONE: Fleet = { since: undefined, place: 0, live: 1, most: 1, changedAt: -Infinity, mark: 0 };

/** Times of recent admissions by endpoint, oldest first. Only endpoints that are cold or name a limit are recorded. */
export type RecentAdmissions = ReadonlyMap<string, readonly number[]>;

/** Until when the endpoints of a service count as brittle that have announced nothing, by model. */
export type BrittleServices = ReadonlyMap<string, number>;

/** What decides whether one more request may go to an endpoint that bounds its requests. */
export interface AdmissionBounds {
    readonly fleet: Fleet;
    /** Requests that this host recently admitted to cold or limited endpoints. */
    readonly letIn: RecentAdmissions;
    /** Parts of limits that this host has lent to others, or borrowed from them. */
    readonly loans: LimitLoans;
    /** Services whose endpoints count as brittle. */
    readonly brittleServices: BrittleServices;
    /** When this host became the owner of each endpoint that it owns. */
    readonly ownedSince: ReadonlyMap<string, number>;
}
