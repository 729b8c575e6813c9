/**
 * How many requests go to a cold endpoint: one that has just started, or whose caches are empty, falls over at well above
 * the rate that is declared for it. The bound holds for the sum over all hosts in any second, also while some of them
 * cannot hear the others, so no host's share of it may rest on how many hosts it believes to be alive.
 *
 * The bound is cut in four. Of each endpoint's second,
 *
 * - two quarters are its owner's, who lets others' requests in when they ask: one for it, and one for a host that takes
 *   itself for the owner while views of the hall differ. Who becomes the owner lets nothing in until what the one before let
 *   in no longer counts;
 * - a quarter is for hosts that decide alone, in shares by their place among all that were ever alive at a time, one each
 *   for the first of them where there are more hosts than requests;
 * - a quarter is for streams that go on from the copies that the endpoint keeps: at most so many go on there as fit its
 *   memory, whoever asks for them.
 *
 * A host that hears no more than half of the hosts that it has known lets nothing in but such streams: of several parts of a
 * fleet that cannot hear each other, one at most goes on. Nor does one that has just started: it cannot tell a part of the
 * fleet from the whole.
 *
 * Pure. Times are milliseconds on the scheduler's clock.
 *
 * @module
 */
import type { EndpointView } from "./endpoint.js";
import type { AdmissionBounds, Fleet } from "./fleet.js";

/** Parts of the bound that are kept apart, as the module's text says. */
const BOUND_PARTS = 4;
/**
 * What is let in counts for this long: the second that the bound is for, and as much again for a permit (100 ms) and a
 * connection (500 ms) on their way, so that requests that were let in apart do not arrive together.
 */
const COUNT_WINDOW_MS = 2_000;

/**
 * A host that starts knows the whole fleet after this, unless it is cut off; then it takes what it hears for the whole. Cuts that
 * last longer than this and meet a restart of most of a part's hosts are not covered: platforms restart hosts one by one.
 */
const FLEET_LEARN_MS = 10_000;

/** Whether an endpoint is cold at a time, or may be, as it may have begun another life. */
export function isCold(view: EndpointView, now: number): boolean {
    return view.cfg.cold !== undefined && now < coldUntil(view);
}

/** When an endpoint is warm, as far as it is known. */
export function coldUntil({ cfg, restartDoubtUntil }: EndpointView): number {
    return Math.max(cfg.cold?.until ?? -Infinity, restartDoubtUntil ?? -Infinity);
}

/**
 * Requests that a host may let into a cold endpoint within {@link COUNT_WINDOW_MS}.
 *
 * @param perS The bound over all hosts, in requests a second.
 * @param ownedSince Since when this host has owned the endpoint; undefined where another does.
 *
 * @example
 * ```ts
 * allowance(44, { ...fleet, place: 3, live: 66, most: 66 }, undefined, 20_000); // 1
 * allowance(44, { ...fleet, place: 40, live: 66, most: 66 }, undefined, 20_000); // 0
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
 * Whether this host may send a request to an endpoint now, or let another host's in as its owner, by what the endpoint bears
 * while it is cold: always where it is warm.
 *
 * @param times When it let requests in there.
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
 * Whether a stream may go on from the copy that an endpoint keeps: while it is cold, only if all copies that it can hold may go
 * on within one second.
 *
 * @param promptTokens Prompt of the stream, which its copy holds at least.
 */
export function mayContinueWhileCold(view: EndpointView, promptTokens: number, now: number): boolean {
    if (!isCold(view, now)) return true;
    return view.cfg.memoryTokens / Math.max(1, promptTokens) <= view.cfg.cold!.perS / BOUND_PARTS;
}
