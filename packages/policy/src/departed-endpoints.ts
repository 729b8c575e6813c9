/**
 * What endpoints said of themselves outlasts their declaration: the registration of one that lives on may lapse while the
 * store is away and come back, and its word of before still holds for that life.
 *
 * @module
 */
import { type EndpointView, type KnownSaid, saysLeaving, setLeaving } from "./endpoint.js";

/** What one of them had said. */
interface Words {
    readonly said: KnownSaid | undefined;
    readonly leaves: boolean;
    readonly restUntil: number | undefined;
    /** When it was no longer declared. */
    readonly goneAt: number;
}

/** By endpoint. */
export type Remembered = ReadonlyMap<string, Words>;

/** Longer than a store is away: no life comes back after that. */
const KEPT_MS = 600_000;

/**
 * The words of endpoints that are declared no more, with those that were remembered before.
 *
 * @param gone Endpoints that were declared until now.
 */
export function remember(before: Remembered, gone: readonly EndpointView[], now: number): Remembered {
    const spoke = gone.filter(view => view.said !== undefined || view.restUntil !== undefined || saysLeaving(view));
    if (before.size + spoke.length === 0) return before;
    const kept = [...before].filter(([, { goneAt }]) => now - goneAt < KEPT_MS);
    const added = spoke.map(view => {
        const { cfg, said, restUntil } = view;
        return [cfg.id, { said, restUntil, leaves: saysLeaving(view), goneAt: now }] as const;
    });
    return new Map([...kept, ...added]);
}

/** A newly declared endpoint with what it had said before. */
export function recall(view: EndpointView, remembered: Remembered, now: number): EndpointView {
    const words = remembered.get(view.cfg.id);
    if (!words) return view;
    const { said, restUntil, leaves } = words;
    return { ...setLeaving(view, "answer", leaves, now), said, restUntil };
}
