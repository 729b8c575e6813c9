/**
 * Until when an endpoint is taken for cold: by its registration's own word, and where that says nothing, for as long as its
 * service declares. What is heard late is counted from when it was heard, so that an endpoint is taken for cold too long
 * and never too short.
 *
 * @module
 */
import type { ServiceCfg } from "./deployment.js";
import type { HallOrders } from "./evacuation.js";
import type { Registered } from "./registry-state.js";

/**
 * When an endpoint is warm, on the clock of the registry's times; -Infinity where it was not cold when it was heard of.
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
    const declared = service?.coldMs ?? 0;
    const own = saidAt + (entry.coldMs ?? declared);
    const reopenedAt = reopened.get(entry.hall);
    // An entry that came after the hall was taken back speaks of now.
    const returned = reopenedAt === undefined || saidAt > reopenedAt ? -Infinity : reopenedAt + declared;
    const until = Math.max(own, returned);
    return until > saidAt ? until : -Infinity;
}
