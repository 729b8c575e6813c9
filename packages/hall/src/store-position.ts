/**
 * Where a host stands in what the platform's store tells. Revisions grow until the store comes back from an older copy of its
 * data: it then gives out again what it has lost, and its epoch tells the two histories apart.
 *
 * @module
 */

/** A point in the store's history. */
export interface StorePosition {
    /** How often the store has come back from an older copy, by its own count. */
    readonly epoch: number;
    /** Grows with every change within an epoch. */
    readonly revision: number;
}

/** How far a host is with what the store tells. */
export interface StoreProgress extends StorePosition {
    /** Of the deployment in force, which outlasts the store's copies; below 0 where none is known. */
    readonly version: number;
}

/** Where a host stands that knows nothing. */
export const NO_POSITION: StorePosition = { epoch: -1, revision: -1 };

/**
 * Whether a point in the store's history comes after another.
 *
 * @example
 * ```ts
 * isAfter({ epoch: 2, revision: 38 }, { epoch: 1, revision: 42 }); // true
 * ```
 */
export function isAfter(position: StorePosition, other: StorePosition): boolean {
    if (position.epoch !== other.epoch) return position.epoch > other.epoch;
    return position.revision > other.revision;
}

/**
 * Whether a host knows something that another lacks. A newer deployment counts by itself: the store's copy may hold an older one.
 *
 * @example
 * ```ts
 * isFurther({ epoch: 2, revision: 38, version: 97 }, { epoch: 2, revision: 38, version: 91 }); // true
 * ```
 */
export function isFurther(progress: StoreProgress, other: StoreProgress): boolean {
    return isAfter(progress, other) || progress.version > other.version;
}
