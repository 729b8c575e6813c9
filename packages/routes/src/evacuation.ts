/**
 * Which halls the operator has evacuated: while an evacuation stands, nothing new goes to the hall's endpoints; what runs
 * there runs on. An order stands as a key of the store, so that a hall's state follows from the key with the highest
 * revision, and one order told late never comes back into force.
 *
 * Pure: each function returns the next state. Times are milliseconds on one clock of the caller's choice.
 *
 * @module
 */

/** What is known of evacuated halls. */
export interface HallOrders {
    readonly evacuated: ReadonlySet<string>;
    /** When the evacuation of a hall was found to be taken back: its endpoints may have become cold meanwhile. */
    readonly reopened: ReadonlyMap<string, number>;
}

/** What became of a hall's evacuation. */
export type HallChange =
    | { readonly kind: "evacuated"; readonly hall: string }
    | { readonly kind: "reopened"; readonly hall: string };

/** No hall is evacuated. */
export const NO_ORDERS: HallOrders = { evacuated: new Set(), reopened: new Map() };

/**
 * The orders after one of them changed; the same value where nothing did.
 *
 * @example
 * ```ts
 * orderHall(NO_ORDERS, { kind: "evacuated", hall: "hall-1" }, now).evacuated.has("hall-1"); // true
 * ```
 */
export function orderHall(orders: HallOrders, { kind, hall }: HallChange, now: number): HallOrders {
    if ((kind === "evacuated") === orders.evacuated.has(hall)) return orders;
    const evacuated = new Set(orders.evacuated);
    const reopened = new Map(orders.reopened);
    if (kind === "evacuated") {
        evacuated.add(hall);
        reopened.delete(hall);
    }
    else {
        evacuated.delete(hall);
        reopened.set(hall, now);
    }
    return { evacuated, reopened };
}

/**
 * The orders after all evacuations that stand were read; the same value where nothing changed.
 *
 * @example
 * ```ts
 * replaceOrders(orders, ["hall-2"], now).evacuated.size; // 1
 * ```
 */
export function replaceOrders(orders: HallOrders, halls: readonly string[], now: number): HallOrders {
    const standing = new Set(halls);
    const over = [...orders.evacuated].filter(hall => !standing.has(hall));
    const changes = [
        ...over.map((hall): HallChange => ({ kind: "reopened", hall })),
        ...halls.map((hall): HallChange => ({ kind: "evacuated", hall })),
    ];
    return changes.reduce((sum, change) => orderHall(sum, change, now), orders);
}
