/**
 * Passes the endpoints that deployment and registry name to the schedulers.
 *
 * @module
 */
import type { ColdCfg, EndpointCfg } from "@drumpaddle/policy";
import {
    EndpointState,
    type HallEvacuations,
    type RegisteredEndpoint,
    type Registry,
    type RouteTable,
    type ServiceCfg,
    warmTimeOf,
} from "@drumpaddle/routes";
import type { Placement } from "./placement.js";
import { plainModel } from "./plain-model.js";

/** How far a cold endpoint may be loaded beyond the rate that its service declares. */
export interface ColdLimits {
    /** Factor on the declared rate. */
    readonly over: number;
    /** Requests per second that are added to it. */
    readonly slack: number;
}

function coldCfgOf(
    registered: RegisteredEndpoint,
    service: ServiceCfg | undefined,
    halls: HallEvacuations,
    { over, slack }: ColdLimits,
): ColdCfg | undefined {
    if (service?.coldPerS === undefined) return undefined;
    return { until: warmTimeOf(registered, service, halls), perS: service.coldPerS * over + slack };
}

/**
 * Declares engines and plain endpoints, each to the scheduler of its kind, and marks those that are leaving according to the
 * registry.
 */
export function declareEndpoints(
    table: RouteTable,
    registry: Registry,
    bounds: ColdLimits,
    engines: Placement,
    plain: Placement,
): void {
    const declared = { engines: [] as EndpointCfg[], plain: [] as EndpointCfg[] };
    for (const registered of registry.endpoints.values()) {
        const { entry } = registered;
        const service = table.service(entry.service);
        const endpoint: EndpointCfg = {
            id: entry.incarnation,
            hall: entry.hall,
            models: [plainModel(entry.service)],
            memoryTokens: service?.engine?.memoryTokens ?? 0,
            places: entry.slots,
            isEvacuated: registry.halls.evacuated.has(entry.hall),
            cold: coldCfgOf(registered, service, registry.halls, bounds),
        };
        (service?.engine ? declared.engines : declared.plain).push(endpoint);
    }
    engines.setEndpoints(declared.engines);
    plain.setEndpoints(declared.plain);
    for (const { entry } of registry.endpoints.values()) {
        const leaving = entry.state === EndpointState.Leaving;
        engines.setLeaving(entry.incarnation, "registry", leaving);
        plain.setLeaving(entry.incarnation, "registry", leaving);
    }
}
