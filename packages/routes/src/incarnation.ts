/**
 * Incarnations of an endpoint. An endpoint that restarts keeps its id but has lost all its state, so hosts treat each start as a
 * separate incarnation.
 *
 * @module
 */

/** Identifies one incarnation of an endpoint, as the endpoint declares it. */
export interface IncarnationId {
    /** Id of the endpoint, the same in every incarnation. */
    readonly id: string;
    /** When it started, in milliseconds on the endpoint's clock; undefined if not declared. Only compared with other values of the same endpoint. */
    readonly born: number | undefined;
}

/** How one incarnation relates to another. */
export const IncarnationOrder = {
    Earlier: "earlier",
    Same: "same",
    Later: "later",
    /** An incarnation of another endpoint. */
    Other: "other",
} as const;
/** One of {@link IncarnationOrder}. */
export type IncarnationOrder = typeof IncarnationOrder[keyof typeof IncarnationOrder];

/**
 * Returns the name of an incarnation, which is unique among the incarnations of all endpoints.
 *
 * @example
 * ```ts
 * incarnationOf({ id: "i-7", born: 1700 }); // "i-7@1700"
 * ```
 */
export function incarnationOf({ id, born }: IncarnationId): string {
    return born === undefined ? id : `${id}@${born}`;
}

/**
 * Compares a given incarnation with a known one. If either does not declare its start time, only the ids are compared.
 *
 * @example
 * ```ts
 * compareIncarnations({ id: "i-7", born: 1700 }, { id: "i-7", born: 1600 }); // "later"
 * ```
 */
export function compareIncarnations(given: IncarnationId, known: IncarnationId): IncarnationOrder {
    if (given.id !== known.id) return IncarnationOrder.Other;
    if (given.born === undefined || known.born === undefined || given.born === known.born) return IncarnationOrder.Same;
    return given.born > known.born ? IncarnationOrder.Later : IncarnationOrder.Earlier;
}
