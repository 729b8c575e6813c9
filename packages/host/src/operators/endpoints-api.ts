/**
 * The operators' list of the endpoints that a gateway knows: whether each takes new requests, is cold, has a limit or is probably
 * unreachable, whether its hall is evacuated, and how slow it is.
 *
 * @module
 */
import {
    coldUntil,
    endpointSlowness,
    type EndpointView,
    isCold,
    isResting,
    type SchedulerState,
    takesNew,
} from "@drumpaddle/policy";
import type { FastifyInstance } from "fastify";
import type { Placement } from "../endpoints/placement.js";
import type { Authorize } from "./quarantine-api.js";

/** An entry of the operators' list of endpoints. */
export interface ListedEndpoint {
    readonly endpoint: string;
    readonly hall: string;
    readonly takesNew: boolean;
    readonly hallEvacuated: boolean;
    /** For how much longer the endpoint counts as cold, in milliseconds; 0 if it is warm or cold endpoints have no limit. */
    readonly coldForMs: number;
    /** Requests per second that the endpoint takes from all hosts together; absent if it reports no limit. */
    readonly limitPerS?: number | undefined;
    /** For how much longer the endpoint wants no requests from this host, in milliseconds; 0 if it takes them. */
    readonly restsForMs: number;
    /** Whether this host probably cannot reach the endpoint, which is then tried only if no other is left. */
    readonly inDoubt: boolean;
    /** Calls of this host that run at the endpoint. */
    readonly running: number;
    /** The endpoint's time for the same work, relative to the mean of its kind; 1 if it is not known to differ. */
    readonly slowness: number;
    /** The relative standard error of `slowness`; 0 if all endpoints of the kind may be equally fast. */
    readonly slownessError: number;
    /** Time since a stream last gave a measure of the endpoint's speed, in milliseconds; absent if none has. */
    readonly slownessAgeMs?: number | undefined;
}

/**
 * The entry of an endpoint in the operators' list.
 *
 * @example
 * ```ts
 * toListedEndpoint(view, placement.view, clock.now()).coldForMs;
 * ```
 */
export function toListedEndpoint(view: EndpointView, state: SchedulerState, now: number): ListedEndpoint {
    const { id, hall, isEvacuated = false } = view.cfg;
    const { logRatio, deviation, ageMs } = endpointSlowness(state, view, now);
    return {
        endpoint: id,
        hall,
        takesNew: takesNew(view),
        hallEvacuated: isEvacuated,
        coldForMs: isCold(view, now) ? Math.round(coldUntil(view) - now) : 0,
        limitPerS: view.announcedLimit?.limitPerS,
        restsForMs: isResting(view, now) ? Math.round(view.restUntil! - now) : 0,
        inDoubt: view.isInDoubt,
        running: view.streams.size,
        slowness: Number(Math.exp(logRatio).toFixed(2)),
        slownessError: Number(deviation.toFixed(2)),
        slownessAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
    };
}

/** Adds the route `/endpoints` to a server. */
export function addEndpointRoutes(
    app: FastifyInstance,
    placements: readonly Placement[],
    now: () => number,
    allow: Authorize,
): void {
    app.get("/endpoints", (req, reply) => {
        if (!allow(req, reply, "read")) return reply;
        const at = now();
        const endpoints = placements.flatMap(({ view: state }) =>
            state.endpoints.values().map(view => toListedEndpoint(view, state, at))
        );
        return reply.send({ endpoints });
    });
}
