/**
 * Which running requests are given a copy after they began: those that began while memory was crowded, or whose standby is
 * gone.
 *
 * A copy is worth what would be lost without it, times the chance that the request's endpoint ends without notice before the
 * request does; it costs the time that links carry it. Where endpoints do not end without notice, none is made.
 *
 * @module
 */
import { jobsToEvacuate, keepsCopy } from "./carry.js";
import { isUnreachable } from "./choose.js";
import { wantsBackup } from "./dispatch.js";
import { type EndpointView, type Running } from "./endpoint.js";
import { quantileLength } from "./estimate.js";
import type { SchedulerState } from "./scheduler-state.js";
import { getIn } from "./shard-map.js";

/** What was observed of endpoints' ends and of copies. Times are milliseconds. */
export interface CopyEvidence {
    /** Endings without notice of one endpoint in one second. */
    readonly lossesPerS: number;
    /** Time that a copy takes for each token of the request's memory, its wait for the links included. */
    readonly msPerToken: number;
    /** Time that a copy takes to be brought up to date, and how often it is. */
    readonly refreshMs: number;
    readonly refreshEveryMs: number;
}

/** A request that is to be given a copy. */
export interface LateCopy {
    readonly job: string;
    /** Where it runs. */
    readonly from: string;
    /** Time of the request's work that is expected to be lost without a copy, in milliseconds. */
    readonly atStakeMs: number;
    /** Time that links are expected to carry the copy, in milliseconds. */
    readonly costMs: number;
}

/** What is to be done, or why nothing is. */
export type LatePlan =
    | ({ readonly kind: "copy" } & LateCopy)
    /** `noLosses`: no endpoint ended without notice. `notice`: copies at a notice go first. `covered`: none lacks a copy. */
    | { readonly kind: "none"; readonly reason: "noLosses" | "notice" | "covered" | "notWorth" };

/**
 * The request that has most to lose without a copy, if one is worth it now.
 *
 * @param isBusy Whether a request is being copied, or was tried in vain a moment ago; and whether an endpoint is making a copy.
 *
 * @example
 * ```ts
 * const plan = planLateCopy(state, evidence, { job: id => tried.has(id), source: id => copying.has(id) }, now);
 * ```
 */
export function planLateCopy(
    state: SchedulerState,
    evidence: CopyEvidence,
    isBusy: { readonly job: (id: string) => boolean; readonly source: (id: string) => boolean },
    now: number,
): LatePlan {
    if (evidence.lossesPerS <= 0) return { kind: "none", reason: "noLosses" };
    if (jobsToEvacuate(state, now).length > 0) return { kind: "none", reason: "notice" };
    let best: LateCopy | undefined;
    let lacking = false;
    for (const view of state.endpoints.values()) {
        if (isBusy.source(view.cfg.id) || view.closingSince !== undefined || isUnreachable(view, now)) continue;
        for (const running of view.streams.values()) {
            if (!lacksCopy(state, running, now) || isBusy.job(running.job.id)) continue;
            lacking = true;
            const copy = assessCopy(view, running, evidence, now);
            if (copy.atStakeMs > copy.costMs && copy.atStakeMs > (best?.atStakeMs ?? 0)) best = copy;
        }
    }
    return best ? { kind: "copy", ...best } : { kind: "none", reason: lacking ? "notWorth" : "covered" };
}

function lacksCopy(state: SchedulerState, { job, started }: Running, now: number): boolean {
    if (!started || !wantsBackup(state, job)) return false;
    const standby = getIn(state.backedUp, job.id);
    return standby === undefined || !keepsCopy(state, job.id, standby, now);
}

/** What a copy of a running request is worth and costs. */
function assessCopy({ cfg }: EndpointView, running: Running, evidence: CopyEvidence, now: number): LateCopy {
    const { job, survival, produced, dispatchedAt } = running;
    const { lossesPerS, msPerToken, refreshMs, refreshEveryMs } = evidence;
    const spentMs = now - dispatchedAt;
    const moreTokens = quantileLength(survival, produced, 0.5) - produced;
    const leftMs = moreTokens * spentMs / Math.max(1, produced);
    const lossChance = 1 - Math.exp(-lossesPerS * leftMs / MS_PER_S);
    // A loss comes halfway through what is left, on average.
    const atStakeMs = lossChance * (spentMs + leftMs / 2);
    const refreshes = Math.floor(leftMs / refreshEveryMs);
    const costMs = msPerToken * (job.promptTokens + produced) + refreshes * refreshMs;
    return { job: job.id, from: cfg.id, atStakeMs, costMs };
}

const MS_PER_S = 1_000;

/** Share of the time of endpoints' links that late copies of all hosts together may take: the rest is for those that cannot wait. */
const LINK_SHARE = 0.25;

/**
 * Time from one late copy of a host to its next, so that those of all hosts keep to their share of the links.
 *
 * @param copyMs Time that a copy takes.
 * @param sources Endpoints that copies are made from.
 *
 * @example
 * ```ts
 * lateCopySpacingMs(200, 30, 60); // 1600
 * ```
 */
export function lateCopySpacingMs(copyMs: number, sources: number, hosts: number): number {
    return copyMs * hosts / (LINK_SHARE * Math.max(1, sources));
}
