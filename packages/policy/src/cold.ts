/**
 * Bounds the requests to a cold endpoint. One that has just started, or whose caches are empty, is overwhelmed by
 * requests well above the rate that is declared for it. The bound holds for the sum over all hosts in any second, also
 * while some hosts cannot hear the others, so no host's share may depend on how many hosts it believes to be alive.
 *
 * The bound is divided into quarters:
 *
 * - Two quarters belong to the endpoint's owner, which also admits requests of hosts that ask it. The second of them
 *   covers a host that takes itself for the owner while hosts disagree on who is alive. A new owner admits nothing
 *   until the admissions of the one before no longer count.
 * - One quarter is for hosts that decide without the owner. It is shared by position among the largest number of hosts
 *   known at one time; if there are more hosts than requests, the first hosts get one each.
 * - One quarter is for streams that continue from copies that the endpoint keeps. At most as many continue there as fit
 *   its memory, whichever host asks.
 *
 * A host that hears no more than half of the hosts that it has known admits only such continued streams, so of several
 * parts of a fleet that cannot hear each other at most one admits new requests. The same holds for a host that has just
 * started, as it cannot tell a part of the fleet from the whole.
 *
 * Pure. Times are milliseconds on the scheduler's clock.
 *
 * @module
 */
import type { EndpointView } from "./endpoint.js";
import type { AdmissionBounds, Fleet } from "./fleet.js";

/** Parts into which the bound is divided; see the module's description. */
const BOUND_PARTS = 4;
/**
 * An admission counts for this long: the second to which the bound applies, and as much again because a permit (100 ms)
 * and a connection (500 ms) may be on their way, so that requests admitted at different times do not arrive together.
 */
const COUNT_WINDOW_MS = 2_000;

/**
 * A host that starts has heard from the whole fleet after this time, unless it is cut off; then it takes what it hears
 * for the whole fleet. A partition that outlasts this time while most hosts of one side restart is not covered:
 * platforms restart hosts one by one.
 */
const FLEET_LEARN_MS = 10_000;

/** Whether an endpoint is cold, or may be because it may have restarted. */
export function isCold(view: EndpointView, now: number): boolean {
    return view.cfg.cold !== undefined && now < coldUntil(view);
}

/** When an endpoint will be warm, as far as this host knows. */
export function coldUntil({ cfg, restartDoubtUntil }: EndpointView): number {
    return Math.max(cfg.cold?.until ?? -Infinity, restartDoubtUntil ?? -Infinity);
}

/**
 * Number of requests that a host may admit to a cold endpoint within {@link COUNT_WINDOW_MS}.
 *
 * @param perS The bound over all hosts, in requests per second.
 * @param ownedSince When this host became the endpoint's owner; undefined if it is not.
 *
 * @example
 * ```ts
 * coldAllowance(44, { ...fleet, place: 3, live: 66, most: 66 }, undefined, 20_000); // 1
 * coldAllowance(44, { ...fleet, place: 40, live: 66, most: 66 }, undefined, 20_000); // 0
 * ```
 */
export function coldAllowance(perS: number, fleet: Fleet, ownedSince: number | undefined, now: number): number {
    const { since, place, live, most } = fleet;
    if (since === undefined || now - since < FLEET_LEARN_MS || 2 * live <= most) return 0;
    const part = Math.floor(perS / BOUND_PARTS);
    if (ownedSince !== undefined) return now - ownedSince < COUNT_WINDOW_MS ? 0 : part;
    return Math.floor(part / most) + (place < part % most ? 1 : 0);
}

/**
 * Whether the cold bound allows one more request now, be it this host's own or, if it is the owner, another host's.
 * Always true for a warm endpoint.
 *
 * @param times When this host admitted requests there.
 */
export function coldAdmits(
    view: EndpointView,
    times: readonly number[],
    { fleet, ownedSince }: Pick<AdmissionBounds, "fleet" | "ownedSince">,
    now: number,
): boolean {
    if (!isCold(view, now)) return true;
    const { id, cold } = view.cfg;
    const counted = times.filter(at => now - at < COUNT_WINDOW_MS);
    return counted.length < coldAllowance(cold!.perS, fleet, ownedSince.get(id), now);
}

/**
 * Whether a stream may continue from the copy that an endpoint keeps. While the endpoint is cold, only if all copies
 * that its memory can hold may continue within one second.
 *
 * @param promptTokens Prompt tokens of the stream; its copy holds at least these.
 */
export function mayContinueWhileCold(view: EndpointView, promptTokens: number, now: number): boolean {
    if (!isCold(view, now)) return true;
    return view.cfg.memoryTokens / Math.max(1, promptTokens) <= view.cfg.cold!.perS / BOUND_PARTS;
}
