/**
 * What operators may ask of the endpoints that a gateway knows: which of them take new work, which halls are evacuated, and
 * which endpoints are cold and for how long, which name a limit, and which can probably not be reached.
 *
 * @module
 */
import { coldUntil, type EndpointView, isCold, isResting, takesNew } from "@drumpaddle/policy";
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
}

/**
 * An endpoint as operators are told of it.
 *
 * @example
 * ```ts
 * listed(view, clock.now()).coldForMs;
 * ```
 */
export function listed(view: EndpointView, now: number): ListedEndpoint {
    const { id, hall, isEvacuated = false } = view.cfg;
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
        const views = placements.flatMap(({ view }) => view.endpoints.values());
        return reply.send({ endpoints: views.map(view => listed(view, now())) });
    });
}
