/**
 * Keeps what endpoints announced (limit, rest, leaving) after they are no longer declared. During an outage of the
 * store a registration may expire although the endpoint's process keeps running. When that process is declared again,
 * what it announced still applies.
 *
 * @module
 */
import { announcedLeaving, type EndpointView, type KnownLimit, setLeaving } from "./endpoint.js";

/** What one endpoint had announced when it was last declared. */
interface RetainedState {
    readonly announcedLimit: KnownLimit | undefined;
    readonly isLeaving: boolean;
    readonly restUntil: number | undefined;
    /** When its declaration disappeared. */
    readonly removedAt: number;
}

/** Announcements of departed endpoints, by endpoint id. */
export type RetainedStates = ReadonlyMap<string, RetainedState>;

/** Announcements are kept for longer than any outage of the store: an endpoint that returns later has restarted. */
const RETAIN_MS = 600_000;

/**
 * Adds the announcements of endpoints that are no longer declared, and drops those that are too old.
 *
 * @param removed Endpoints that were declared until now.
 */
export function retainDeparted(
    retained: RetainedStates,
    removed: readonly EndpointView[],
    now: number,
): RetainedStates {
    const worthKeeping = removed.filter(view =>
        view.announcedLimit !== undefined || view.restUntil !== undefined || announcedLeaving(view)
    );
    if (retained.size + worthKeeping.length === 0) return retained;
    const kept = [...retained].filter(([, { removedAt }]) => now - removedAt < RETAIN_MS);
    const added = worthKeeping.map(view => {
        const { cfg, announcedLimit, restUntil } = view;
        return [cfg.id, { announcedLimit, restUntil, isLeaving: announcedLeaving(view), removedAt: now }] as const;
    });
    return new Map([...kept, ...added]);
}

/** Gives a newly declared endpoint back what it announced before it departed. */
export function restoreRetained(view: EndpointView, states: RetainedStates, now: number): EndpointView {
    const known = states.get(view.cfg.id);
    if (!known) return view;
    const { announcedLimit, restUntil, isLeaving } = known;
    return { ...setLeaving(view, "answer", isLeaving, now), announcedLimit, restUntil };
}
