/**
 * Which start of an endpoint is meant: an endpoint keeps its id when it starts again, and then holds and knows nothing of before.
 *
 * @module
 */

/** One start of an endpoint, by its own word. */
export interface Life {
    /** What the endpoint calls itself, in every life. */
    readonly id: string;
    /** When it started, in milliseconds on its own clock; undefined where it does not say. Compared, and nothing else. */
    readonly born: number | undefined;
}

/** How one life stands to another. */
export const LifeOrder = {
    Earlier: "earlier",
    Same: "same",
    Later: "later",
    /** Of another endpoint. */
    Other: "other",
} as const;
/** One of {@link LifeOrder}. */
export type LifeOrder = typeof LifeOrder[keyof typeof LifeOrder];

/**
 * A life's name among all lives of all endpoints.
 *
 * @example
 * ```ts
 * nameOfLife({ id: "i-7", born: 1700 }); // "i-7@1700"
 * ```
 */
export function nameOfLife({ id, born }: Life): string {
    return born === undefined ? id : `${id}@${born}`;
}

/**
 * How a life stands to one that is known. The id alone counts where either does not say when it began.
 *
 * @example
 * ```ts
 * compareLives({ id: "i-7", born: 1700 }, { id: "i-7", born: 1600 }); // "later"
 * ```
 */
export function compareLives(life: Life, known: Life): LifeOrder {
    if (life.id !== known.id) return LifeOrder.Other;
    if (life.born === undefined || known.born === undefined || life.born === known.born) return LifeOrder.Same;
    return life.born > known.born ? LifeOrder.Later : LifeOrder.Earlier;
}
