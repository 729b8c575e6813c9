/**
 * A forwarded call as the decisions on where and when it runs see it.
 *
 * @module
 */
import type { Job, JobPolicy, Priority } from "@drumpaddle/policy";
import { plainModel } from "../endpoints/plain-model.js";
import type { ForwardCall, Forwarding } from "./forward-call.js";

/** Calls that may wait on a host. */
const QUEUE_LIMIT = 500;
/** Chance that admitted work fits an engine's memory: above the product's 0.9, as a preemption loses its stream's time. */
const ADMISSION_QUANTILE = 0.95;
/**
 * A stream is backed up if it may produce this many tokens, about two seconds of an engine of the users'. What ends sooner
 * is unlikely to meet the end of its engine: one in six is taken away every 3.3 s there.
 */
const BACK_UP_TOKENS = 256;
const LARGEST_RANK = 9;
/** Where an engine names no longest pause, pauses bound nothing. */
const ANY_GAP_MS = 60_000;

/** Rank of a call: its workspace's goes before its route's. */
export function rankOf({ route, workspace }: ForwardCall): number {
    return Math.min(LARGEST_RANK, workspace?.rank ?? route.rank);
}

function priorityOf(rank: number): Priority {
    if (rank === 0) return "live";
    return rank === 1 ? "normal" : "batch";
}

/** How long a caller still has a use for a first event: as long as it stays and as the call may be held. */
function usefulMsOf({ route, head }: ForwardCall): number {
    const stays = Math.min(route.patienceMs ?? Infinity, route.timeoutMs, head.deadlineMs ?? Infinity);
    return Math.max(route.objectiveMs, stays);
}

function policyOf(call: ForwardCall): JobPolicy {
    const { route } = call;
    return {
        priority: priorityOf(rankOf(call)),
        rank: rankOf(call),
        weight: 1,
        quantile: ADMISSION_QUANTILE,
        gapTargetMs: route.gapMs ?? ANY_GAP_MS,
        objectiveMs: Math.max(1, route.objectiveMs),
        weightTail: 1,
        weightStall: 1,
        weightPrefix: 0,
        maxWaitMs: route.objectiveMs,
        usefulMs: usefulMsOf(call),
        queueLimit: QUEUE_LIMIT,
        // All hosts share one budget, which is kept apart.
        retryShare: 0,
    };
}

/** Halls that a call may be served in: those of its route's homes and of its workspace's; undefined where all may. */
export function hallsOf(deps: Forwarding, { route, workspace }: ForwardCall): readonly string[] | undefined {
    const bounds = [route.homes, workspace?.homes].flatMap(homes => homes ? [deps.hallsIn(homes)] : []);
    if (bounds.length === 0) return undefined;
    return bounds.reduce((both, halls) => both.filter(hall => halls.includes(hall)));
}

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
        backUp: engine?.canBackUp === true && (generation?.maxTokens ?? 0) >= BACK_UP_TOKENS,
    };
}
