/**
 * How long an endpoint counts as cold: for the time that its registration declares or, without one, for the time that its
 * service declares. The time runs from when the host learnt of it, so that a late report makes the cold period too long but
 * never too short.
 *
 * @module
 */
import type { ServiceCfg } from "./deployment.js";
import type { HallOrders } from "./evacuation.js";
import type { Registered } from "./registry-state.js";

/**
 * Returns when an endpoint becomes warm, on the clock of the registry's times; -Infinity if it is not cold at all.
 *
 * @example
 * ```ts
 * const isCold = now < warmAt(registered, service, registry.halls);
 * ```
 */
export function warmAt(
    { entry, saidAt }: Registered,
    service: Pick<ServiceCfg, "coldMs"> | undefined,
    { reopened }: HallOrders,
): number {
    const declaredColdMs = service?.coldMs ?? 0;
    const ownWarmAt = saidAt + (entry.coldMs ?? declaredColdMs);
    const reopenedAt = reopened.get(entry.hall);
    // A registration that arrived after the hall was reopened already reflects the evacuation.
    const reopenedWarmAt = reopenedAt === undefined || saidAt > reopenedAt ? -Infinity : reopenedAt + declaredColdMs;
    const warmTime = Math.max(ownWarmAt, reopenedWarmAt);
    return warmTime > saidAt ? warmTime : -Infinity;
}
