/**
 * What operators may ask of the endpoints that a gateway knows: which of them take new work, which halls are evacuated, and
 * which endpoints are cold and for how long, which name a limit, which can probably not be reached, and how slow each is.
 *
 * @module
 */
import {
    coldUntil,
    type EndpointView,
    isCold,
    isResting,
    knownSpeed,
    type SchedulerState,
    takesNew,
} from "@drumpaddle/policy";
import type { FastifyInstance } from "fastify";
import type { Placement } from "../endpoints/placement.js";
import type { Allow } from "./quarantine-api.js";

/** An endpoint, as operators are told of it. */
export interface ListedEndpoint {
    readonly endpoint: string;
    readonly hall: string;
    readonly takesNew: boolean;
    readonly hallEvacuated: boolean;
    /** How much longer it is taken for cold, in milliseconds; 0 where it is warm or nothing bounds a cold one. */
    readonly coldForMs: number;
    /** Requests a second that it takes from all hosts together; absent where it names no limit. */
    readonly limitPerS?: number | undefined;
    /** How much longer it wants nothing from this host, in milliseconds; 0 where it does not rest. */
    readonly restsForMs: number;
    /** Whether this host can probably not reach it: it is tried where nothing else is left. */
    readonly inDoubt: boolean;
    /** Calls of this host that run there. */
    readonly running: number;
    /** Its time for the same work against the mean of its kind, as a factor; 1 where it is not known to differ. */
    readonly slowness: number;
    /** Relative standard error of that; 0 where all of its kind may be alike. */
    readonly slownessError: number;
    /** Time since streams last showed something of its speed, in milliseconds; absent where none did. */
    readonly slownessAgeMs?: number | undefined;
}

/**
 * An endpoint as operators are told of it.
 *
 * @example
 * ```ts
 * listed(view, placement.view, clock.now()).coldForMs;
 * ```
 */
export function listed(view: EndpointView, state: SchedulerState, now: number): ListedEndpoint {
    const { id, hall, isEvacuated = false } = view.cfg;
    const { log, deviation, ageMs } = knownSpeed(state, view, now);
    return {
        endpoint: id,
        hall,
        takesNew: takesNew(view),
        hallEvacuated: isEvacuated,
        coldForMs: isCold(view, now) ? Math.round(coldUntil(view) - now) : 0,
        limitPerS: view.said?.limitPerS,
        restsForMs: isResting(view, now) ? Math.round(view.restUntil! - now) : 0,
        inDoubt: view.isInDoubt,
        running: view.streams.size,
        slowness: Number(Math.exp(log).toFixed(2)),
        slownessError: Number(deviation.toFixed(2)),
        slownessAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
    };
}

/** Adds the call to a server. */
export function serveEndpoints(
    app: FastifyInstance,
    placements: readonly Placement[],
    now: () => number,
    allow: Allow,
): void {
    app.get("/endpoints", (req, reply) => {
        if (!allow(req, reply, "read")) return reply;
        const at = now();
        const endpoints = placements.flatMap(({ view: state }) =>
            state.endpoints.values().map(view => listed(view, state, at))
        );
        return reply.send({ endpoints });
    });
}
