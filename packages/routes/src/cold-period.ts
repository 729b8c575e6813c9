/**
 * How long an endpoint counts as cold: for the time that its registration declares or, without one, for the time that its
 * service declares. The time runs from when the host learnt of it, so that a late report makes the cold period too long but
 * never too short.
 *
 * @module
 */
import type { ServiceCfg } from "./deployment.js";
import type { HallEvacuations } from "./evacuation.js";
import type { RegisteredEndpoint } from "./registry-state.js";

/**
 * Returns when an endpoint becomes warm, on the clock of the registry's times; -Infinity if it is not cold at all.
 *
 * @example
 * ```ts
 * const isCold = now < warmTimeOf(registered, service, registry.halls);
 * ```
 */
export function warmTimeOf(
    { entry, announcedAt }: RegisteredEndpoint,
    service: Pick<ServiceCfg, "coldMs"> | undefined,
    { reopenedAt }: HallEvacuations,
): number {
    const declaredColdMs = service?.coldMs ?? 0;
    const ownWarmAt = announcedAt + (entry.coldMs ?? declaredColdMs);
    const hallReopenedAt = reopenedAt.get(entry.hall);
    // A registration that arrived after the hall was reopened already reflects the evacuation.
    const reopenedWarmAt = hallReopenedAt === undefined || announcedAt > hallReopenedAt
        ? -Infinity
        : hallReopenedAt + declaredColdMs;
    const warmTime = Math.max(ownWarmAt, reopenedWarmAt);
    return warmTime > announcedAt ? warmTime : -Infinity;
}
