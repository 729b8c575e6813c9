/**
 * A host's position in the history of the platform's store. Revisions grow until the store is restored from an older copy of its data.
 * It then assigns the lost revisions again, and a new epoch distinguishes the two histories.
 *
 * @module
 */

/** A point in the store's history. */
export interface StorePosition {
    /** How often the store was restored from an older copy, by its own count. */
    readonly epoch: number;
    /** Grows with every change within an epoch. */
    readonly revision: number;
}

/** The state of the store's data that a host has. */
export interface StoreProgress extends StorePosition {
    /** Version of the deployment in force, which survives a restore of the store; below 0 if none is known. */
    readonly version: number;
}

/** The position of a host that knows nothing of the store. */
export const NO_POSITION: StorePosition = { epoch: -1, revision: -1 };

/**
 * Returns whether a position comes after another in the store's history.
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
 * Returns whether a host has something that another lacks. A newer deployment suffices, because a restored store may hold an older one.
 *
 * @example
 * ```ts
 * isFurther({ epoch: 2, revision: 38, version: 97 }, { epoch: 2, revision: 38, version: 91 }); // true
 * ```
 */
export function isFurther(progress: StoreProgress, other: StoreProgress): boolean {
    return isAfter(progress, other) || progress.version > other.version;
}
