/**
 * What endpoints said of themselves outlasts their declaration: the registration of one that lives on may lapse while the
 * store is away and come back, and its word of before still holds for that life.
 *
 * @module
 */
import { type EndpointView, type KnownLimit, saysLeaving, setLeaving } from "./endpoint.js";

/** What one of them had said. */
interface RetainedState {
    readonly said: KnownLimit | undefined;
    readonly leaves: boolean;
    readonly restUntil: number | undefined;
    /** When it was no longer declared. */
    readonly goneAt: number;
}

/** By endpoint. */
export type RetainedStates = ReadonlyMap<string, RetainedState>;

/** Longer than a store is away: no life comes back after that. */
const RETAIN_MS = 600_000;

/**
 * The words of endpoints that are declared no more, with those that were remembered before.
 *
 * @param gone Endpoints that were declared until now.
 */
export function retainDeparted(before: RetainedStates, gone: readonly EndpointView[], now: number): RetainedStates {
    const worthKeeping = gone.filter(view =>
        view.said !== undefined || view.restUntil !== undefined || saysLeaving(view)
    );
    if (before.size + worthKeeping.length === 0) return before;
    const kept = [...before].filter(([, { goneAt }]) => now - goneAt < RETAIN_MS);
    const added = worthKeeping.map(view => {
        const { cfg, said, restUntil } = view;
        return [cfg.id, { said, restUntil, leaves: saysLeaving(view), goneAt: now }] as const;
    });
    return new Map([...kept, ...added]);
}

/** A newly declared endpoint with what it had said before. */
export function restoreRetained(view: EndpointView, states: RetainedStates, now: number): EndpointView {
    const known = states.get(view.cfg.id);
    if (!known) return view;
    const { said, restUntil, leaves } = known;
    return { ...setLeaving(view, "answer", leaves, now), said, restUntil };
}
