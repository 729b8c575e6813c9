/**
 * Bounds what waits at brittle endpoints: those that announce that they fail if they have to turn away more than a few requests in a
 * second. Their queues may be short, so all hosts together keep what is sent to one close to its places.
 *
 * Hosts do not know what the others send, so each has a fixed share of an endpoint's places. If there are more hosts than places, each
 * may send one request at a time, spaced so that all hosts together use a part of the places: sends of different hosts then coincide
 * rarely enough.
 *
 * An endpoint that has just started has announced nothing yet. It counts as brittle if another of its service is or was lately.
 *
 * Pure. Times are milliseconds on the scheduler's clock.
 *
 * @module
 */
import { hearsMajority, placeAtEndpoint } from "./endpoint-limit.js";
import type { AnnouncedLimit, EndpointView } from "./endpoint.js";
import type { BrittleServices, Fleet } from "./fleet.js";

/** Hosts that start together have heard from each other after this time. */
const FLEET_LEARN_MS = 3_000;
/** Share of the places that spaced requests may use on average. */
const SPACED_USE = 0.8;
/** Assumed for an endpoint of which no answer is known. */
const DEFAULT_SERVICE_MS = 50;
/** A host that was turned away sends nothing there for this long: the bound on rejections is one by the second. */
const PAUSE_AFTER_REJECTION_MS = 1_000;
/** Weight of the newest service time in the mean. */
const SERVICE_TIME_WEIGHT = 0.1;

/** An endpoint that has announced nothing counts as brittle for this long after the last announcement of its service. */
const SERVICE_MEMORY_MS = 60_000;

/** Records what an endpoint of a service has announced. */
export function recordBrittle(
    services: BrittleServices,
    models: readonly string[],
    { maxRejectsPerS }: AnnouncedLimit,
    now: number,
): BrittleServices {
    if (maxRejectsPerS === undefined && !models.some(model => services.has(model))) return services;
    const next = new Map(services);
    for (const model of models) {
        if (maxRejectsPerS === undefined) next.delete(model);
        else next.set(model, now + SERVICE_MEMORY_MS);
    }
    return next;
}

/** Whether an endpoint is brittle: it says so, or it has announced nothing yet and others of its service have. */
export function isBrittle({ announcedLimit, cfg }: EndpointView, services: BrittleServices, now: number): boolean {
    if (announcedLimit) return announcedLimit.maxRejectsPerS !== undefined;
    return cfg.models.some(model => now < (services.get(model) ?? -Infinity));
}

/** Updates the mean time that an endpoint takes for a request. */
export function observeServiceTime(view: EndpointView, ms: number): EndpointView {
    const { serviceMs = ms } = view;
    return { ...view, serviceMs: serviceMs + SERVICE_TIME_WEIGHT * (ms - serviceMs) };
}

/**
 * Number of requests that this host may have at a brittle endpoint at a time.
 *
 * @example
 * ```ts
 * ownPlaces(view, { ...fleet, place: 0, live: 4, most: 4 }, now); // 2: six places among four hosts
 * ```
 */
export function ownPlaces({ cfg }: EndpointView, fleet: Fleet, now: number): number {
    const places = placesOf(cfg.places);
    const hasLearnt = fleet.since !== undefined && now - fleet.since >= FLEET_LEARN_MS;
    if (!hasLearnt || fleet.most > places) return 1;
    const each = Math.floor(places / fleet.most);
    // Parts of a fleet that cannot hear each other would hand out the remainder twice.
    return hearsMajority(fleet) && placeAtEndpoint(cfg.id, fleet) < places % fleet.most ? each + 1 : each;
}

/** Least time between two requests of this host to a brittle endpoint; 0 if the host has a place of its own there. */
function spacingMs(view: EndpointView, { most }: Fleet): number {
    const places = placesOf(view.cfg.places);
    return most <= places ? 0 : most * serviceMsOf(view) / (places * SPACED_USE);
}

/**
 * Whether this host may send one more request to a brittle endpoint now.
 *
 * @param times When this host sent requests there, oldest first.
 */
export function brittleAdmits(view: EndpointView, times: readonly number[], fleet: Fleet, now: number): boolean {
    return nextSendMs(view, times, fleet, now) === 0 && view.streams.size < ownPlaces(view, fleet, now);
}

/**
 * Times from now at which this host may probably send `count` requests to a brittle endpoint.
 *
 * @param times When this host sent requests there, oldest first.
 */
export function brittleSendTimes(
    view: EndpointView,
    times: readonly number[],
    fleet: Fleet,
    count: number,
    now: number,
): readonly number[] {
    const places = ownPlaces(view, fleet, now);
    const nextMs = nextSendMs(view, times, fleet, now);
    const spacing = spacingMs(view, fleet);
    return Array.from({ length: count }, (_, at) => {
        const rounds = Math.max(0, Math.floor((view.streams.size + at) / places));
        return nextMs + Math.max(rounds * serviceMsOf(view), at * spacing);
    });
}

/** Requests per millisecond that this host may send to a brittle endpoint. */
export function brittleRate(view: EndpointView, fleet: Fleet, now: number): number {
    const byPlaces = ownPlaces(view, fleet, now) / serviceMsOf(view);
    const spacing = spacingMs(view, fleet);
    return spacing === 0 ? byPlaces : Math.min(byPlaces, 1 / spacing);
}

function nextSendMs(view: EndpointView, times: readonly number[], fleet: Fleet, now: number): number {
    const spaced = (times.at(-1) ?? -Infinity) + spacingMs(view, fleet);
    const paused = (view.rejectedAt ?? -Infinity) + PAUSE_AFTER_REJECTION_MS;
    return Math.max(0, Math.max(spaced, paused) - now);
}

function serviceMsOf({ serviceMs = DEFAULT_SERVICE_MS }: EndpointView): number {
    return Math.max(1, serviceMs);
}

function placesOf(places: number | undefined): number {
    return Math.max(1, places ?? 1);
}
