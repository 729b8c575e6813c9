/**
 * Keeps what endpoints announced (limit, rest, leaving) after they are no longer declared. During an outage of the
 * store a registration may lapse although its endpoint lives on; when it is declared again, what it announced still
 * applies to that life.
 *
 * @module
 */
import { announcedLeaving, type EndpointView, type KnownLimit, setLeaving } from "./endpoint.js";

/** What one endpoint had announced. */
interface RetainedState {
    readonly said: KnownLimit | undefined;
    readonly leaves: boolean;
    readonly restUntil: number | undefined;
    /** When its declaration disappeared. */
    readonly goneAt: number;
}

/** Announcements of departed endpoints, by endpoint id. */
export type RetainedStates = ReadonlyMap<string, RetainedState>;

/** Longer than any outage of the store: after that no endpoint returns in the same life. */
const RETAIN_MS = 600_000;

/**
 * Adds the announcements of endpoints that are no longer declared, and drops those that are too old.
 *
 * @param gone Endpoints that were declared until now.
 */
export function retainDeparted(before: RetainedStates, gone: readonly EndpointView[], now: number): RetainedStates {
    const worthKeeping = gone.filter(view =>
        view.said !== undefined || view.restUntil !== undefined || announcedLeaving(view)
    );
    if (before.size + worthKeeping.length === 0) return before;
    const kept = [...before].filter(([, { goneAt }]) => now - goneAt < RETAIN_MS);
    const added = worthKeeping.map(view => {
        const { cfg, said, restUntil } = view;
        return [cfg.id, { said, restUntil, leaves: announcedLeaving(view), goneAt: now }] as const;
    });
    return new Map([...kept, ...added]);
}

/** Gives a newly declared endpoint back what it announced before it departed. */
export function restoreRetained(view: EndpointView, states: RetainedStates, now: number): EndpointView {
    const known = states.get(view.cfg.id);
    if (!known) return view;
    const { said, restUntil, leaves } = known;
    return { ...setLeaving(view, "answer", leaves, now), said, restUntil };
}
