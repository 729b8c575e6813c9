/**
 * Describes a forwarded call as a job for the scheduler, which decides where and when it runs.
 *
 * @module
 */
import type { Job, JobPolicy, Priority } from "@drumpaddle/policy";
import { plainModel } from "../endpoints/plain-model.js";
import type { ForwardCall, GatewayContext } from "./forward-call.js";

/** Maximum number of calls that wait on a host. */
const MAX_WAITING_CALLS = 500;
/**
 * Probability with which admitted work must fit an engine's memory: above the default of 0.9, as a preemption makes its
 * stream late.
 */
const ADMISSION_QUANTILE = 0.95;
/**
 * Streams that may produce this many tokens, about two seconds of an engine's time, are copied to a standby. Shorter
 * ones are unlikely to lose their engine: in the target fleet one engine in six is reclaimed every 3.3 s.
 */
const BACK_UP_MIN_TOKENS = 256;
const MAX_RANK = 9;
/** Gap target for routes that set none. */
const UNBOUNDED_GAP_MS = 60_000;

/** Returns the rank of a call; the workspace's overrides the route's. */
export function rankOf({ route, workspace }: ForwardCall): number {
    return Math.min(MAX_RANK, workspace?.rank ?? route.rank);
}

function priorityOf(rank: number): Priority {
    if (rank === 0) return "live";
    return rank === 1 ? "normal" : "batch";
}

/** Returns for how long a first event is of use: until the caller leaves or the call times out. */
function usefulForMs({ route, head }: ForwardCall): number {
    const patienceMs = Math.min(route.patienceMs ?? Infinity, route.timeoutMs, head.deadlineMs ?? Infinity);
    return Math.max(route.objectiveMs, patienceMs);
}

function policyOf(call: ForwardCall): JobPolicy {
    const { route } = call;
    return {
        priority: priorityOf(rankOf(call)),
        rank: rankOf(call),
        weight: 1,
        quantile: ADMISSION_QUANTILE,
        gapTargetMs: route.gapMs ?? UNBOUNDED_GAP_MS,
        objectiveMs: Math.max(1, route.objectiveMs),
        weightTail: 1,
        weightStall: 1,
        weightPrefix: 0,
        maxWaitMs: route.objectiveMs,
        usefulMs: usefulForMs(call),
        queueLimit: MAX_WAITING_CALLS,
        // The gateway bounds retries by one budget for all hosts instead.
        retryShare: 0,
    };
}

/**
 * Returns the halls that may serve a call: those in the home regions of both its route and its workspace; undefined if
 * all may.
 */
export function hallsOf(deps: GatewayContext, { route, workspace }: ForwardCall): readonly string[] | undefined {
    const allowedHalls = [route.allowedRegions, workspace?.allowedRegions].flatMap(homes =>
        homes ? [deps.hallsInRegions(homes)] : []
    );
    if (allowedHalls.length === 0) return undefined;
    return allowedHalls.reduce((both, halls) => both.filter(hall => halls.includes(hall)));
}

/** Describes a call as a job for the scheduler. */
export function jobOf(call: ForwardCall, isSuspect: boolean, halls: readonly string[] | undefined): Job {
    const { head, route, workspace, service, engine } = call;
    const { generation } = head;
    return {
        id: head.id,
        group: { workspace: workspace?.name ?? "", service: route.name, model: plainModel(service) },
        promptTokens: generation?.promptTokens ?? 0,
        maxTokens: generation?.maxTokens ?? 1,
        prefix: generation?.parts[0]?.id ?? "",
        prefixTokens: generation?.parts[0]?.tokens ?? 0,
        policy: policyOf(call),
        isSuspect,
        halls,
        tokensPerPiece: engine?.tokensPerEvent,
        backUp: engine?.canBackUp === true && (generation?.maxTokens ?? 0) >= BACK_UP_MIN_TOKENS,
    };
}
