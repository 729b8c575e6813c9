/**
 * The halls that the operator has evacuated. Hosts send no new calls to the endpoints of an evacuated hall; running calls
 * continue. Each evacuation is a key in the store: the hall's state follows from the key's latest revision, so that an
 * earlier change that is reported late has no effect.
 *
 * The functions are pure and return the next state. Times are milliseconds on any one clock.
 *
 * @module
 */

/** The evacuated halls and those that were reopened. */
export interface HallEvacuations {
    readonly evacuated: ReadonlySet<string>;
    /** By hall, when this host learnt that its evacuation had ended. The hall's endpoints may have become cold meanwhile. */
    readonly reopenedAt: ReadonlyMap<string, number>;
}

/** The start or the end of a hall's evacuation. */
export type HallEvacuationChange =
    | { readonly kind: "evacuated"; readonly hall: string }
    | { readonly kind: "reopened"; readonly hall: string };

/** No hall is evacuated. */
export const NO_EVACUATIONS: HallEvacuations = { evacuated: new Set(), reopenedAt: new Map() };

/**
 * Applies one change; returns the same object if the hall is already in that state.
 *
 * @example
 * ```ts
 * applyEvacuationChange(NO_EVACUATIONS, { kind: "evacuated", hall: "hall-1" }, now).evacuated.has("hall-1"); // true
 * ```
 */
export function applyEvacuationChange(
    evacuations: HallEvacuations,
    { kind, hall }: HallEvacuationChange,
    now: number,
): HallEvacuations {
    if ((kind === "evacuated") === evacuations.evacuated.has(hall)) return evacuations;
    const evacuated = new Set(evacuations.evacuated);
    const reopened = new Map(evacuations.reopenedAt);
    if (kind === "evacuated") {
        evacuated.add(hall);
        reopened.delete(hall);
    }
    else {
        evacuated.delete(hall);
        reopened.set(hall, now);
    }
    return { evacuated, reopenedAt: reopened };
}

/**
 * Applies a complete read of the evacuated halls; returns the same object if nothing has changed.
 *
 * @example
 * ```ts
 * replaceEvacuations(evacuations, ["hall-2"], now).evacuated.size; // 1
 * ```
 */
export function replaceEvacuations(
    evacuations: HallEvacuations,
    halls: readonly string[],
    now: number,
): HallEvacuations {
    const evacuatedHalls = new Set(halls);
    const ended = [...evacuations.evacuated].filter(hall => !evacuatedHalls.has(hall));
    const changes = [
        ...ended.map((hall): HallEvacuationChange => ({ kind: "reopened", hall })),
        ...halls.map((hall): HallEvacuationChange => ({ kind: "evacuated", hall })),
    ];
    return changes.reduce((sum, change) => applyEvacuationChange(sum, change, now), evacuations);
}
