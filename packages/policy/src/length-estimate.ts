/**
 * Estimates output lengths: the probability that an output reaches each further token, given those already produced.
 *
 * The evidence of a group is a life table over buckets of token counts: how many outputs entered each bucket, and how
 * many ended in it. The Kaplan-Meier estimator (Kaplan and Meier 1958) counts running and cancelled outputs correctly:
 * an output that is still running is evidence of length, not of shortness. A narrow group with little evidence is drawn
 * towards the wider group around it, with the weight of {@link PRIOR_STRENGTH} outputs.
 *
 * @module
 */
import { emptyMap, getIn, setIn, type ShardMap } from "./shard-map.js";

/** Lower edges of the buckets, in tokens: about two per doubling, up to 92,681. */
export const BUCKET_EDGES: readonly number[] = [
    0,
    ...Array.from({ length: 28 }, (_, i) => Math.round(8 * 2 ** (i / 2))),
];
/** Number of outputs of the narrow group that weigh as much as the wider group's rate. */
export const PRIOR_STRENGTH = 8;
/** Probability of ending within a bucket without any evidence: a median of about 180 tokens with a heavy tail. */
const DEFAULT_HAZARD = 0.085;
/** Evidence above this many outputs per bucket is halved, so that old evidence fades. */
const MAX_EVIDENCE = 400;
/** Largest probability of ending in one bucket; keeps logarithms finite. */
const MAX_HAZARD = 0.999;

/** Life table of one group, by bucket. */
interface LifeTable {
    readonly entered: Float32Array;
    readonly ended: Float32Array;
}

/** Life tables of all groups. */
export interface LengthEstimates {
    readonly tables: ShardMap<LifeTable>;
}

/** The group whose outputs are evidence for a request. */
export interface RequestGroup {
    readonly workspace: string;
    readonly service: string;
    readonly model: string;
}

/**
 * Survival function of one group's outputs. `logSurvival[i]` is the logarithm of the probability of reaching
 * `BUCKET_EDGES[i]`.
 */
export interface Survival {
    readonly logSurvival: Float64Array;
    /** The caller's own limit on the output, in tokens. */
    readonly maxTokens: number;
}

/** Creates estimates without evidence. */
export function createLengthEstimates(): LengthEstimates {
    return { tables: emptyMap() };
}

/** Keys of a group and of the wider groups around it, the widest first. */
function groupKeys({ workspace, service, model }: RequestGroup): readonly string[] {
    return ["", `m|${model}`, `s|${service}|${model}`, `w|${workspace}|${service}|${model}`];
}

/** Index of the bucket that contains a token count. */
function bucketOf(tokens: number): number {
    let low = 0;
    let high = BUCKET_EDGES.length - 1;
    while (low < high) {
        const mid = (low + high + 1) >> 1;
        if (BUCKET_EDGES[mid]! <= tokens) low = mid;
        else high = mid - 1;
    }
    return low;
}

/**
 * Records that an output went from `from` to `to` tokens. Call it while a stream runs and once at its end, each time
 * from where the last call stopped.
 *
 * @param ended True if the output ended by itself at `to`; false if it goes on or was cut off.
 *
 * @example
 * ```ts
 * let estimates = observeLength(createLengthEstimates(), group, 0, 64, false);
 * estimates = observeLength(estimates, group, 64, 90, true);
 * ```
 */
export function observeLength(
    estimates: LengthEstimates,
    group: RequestGroup,
    from: number,
    to: number,
    ended: boolean,
): LengthEstimates {
    const first = from === 0 ? 0 : bucketOf(from) + 1;
    const last = bucketOf(to);
    if (first > last && !ended) return estimates;
    let tables = estimates.tables;
    for (const key of groupKeys(group)) {
        tables = setIn(tables, key, addEvidence(getIn(tables, key), first, last, ended));
    }
    return { tables };
}

function addEvidence(table: LifeTable | undefined, first: number, last: number, ended: boolean): LifeTable {
    const entered = table ? table.entered.slice() : new Float32Array(BUCKET_EDGES.length);
    const died = table ? table.ended.slice() : new Float32Array(BUCKET_EDGES.length);
    for (let at = first; at <= last; at++) {
        entered[at]! += 1;
        if (entered[at]! > MAX_EVIDENCE) fade(entered, died, at);
    }
    if (ended) died[last]! += 1;
    return { entered, ended: died };
}

function fade(entered: Float32Array, died: Float32Array, at: number): void {
    entered[at]! /= 2;
    died[at]! /= 2;
}

/**
 * Survival function of a group's outputs by the evidence so far.
 *
 * @example
 * ```ts
 * const lengths = survivalOf(estimates, group, 4096);
 * chanceToReach(lengths, 100, 500); // of those that reached 100 tokens, the share that reaches 500
 * ```
 */
export function survivalOf(estimates: LengthEstimates, group: RequestGroup, maxTokens: number): Survival {
    const tables = groupKeys(group).map(key => getIn(estimates.tables, key));
    const logSurvival = new Float64Array(BUCKET_EDGES.length + 1);
    for (let at = 0; at < BUCKET_EDGES.length; at++) {
        let hazard = DEFAULT_HAZARD;
        for (const table of tables) {
            if (!table) continue;
            hazard = (table.ended[at]! + PRIOR_STRENGTH * hazard) / (table.entered[at]! + PRIOR_STRENGTH);
        }
        logSurvival[at + 1] = logSurvival[at]! + Math.log1p(-Math.min(hazard, MAX_HAZARD));
    }
    return { logSurvival, maxTokens };
}

/** Survival function of an output of known length, for measurements only. */
export function survivalOfKnownLength(tokens: number): Survival {
    return { logSurvival: new Float64Array(BUCKET_EDGES.length + 1), maxTokens: tokens };
}

function logSurvivalAt(survival: Survival, tokens: number): number {
    const at = bucketOf(tokens);
    const low = BUCKET_EDGES[at]!;
    const high = BUCKET_EDGES[at + 1] ?? low * 2;
    const share = Math.min(1, (tokens - low) / (high - low));
    const from = survival.logSurvival[at]!;
    return from + share * (survival.logSurvival[at + 1]! - from);
}

/**
 * Share of the outputs that reached `from` tokens which also reaches `to`.
 *
 * @example
 * ```ts
 * chanceToReach(lengths, 0, 0); // 1
 * ```
 */
export function chanceToReach(survival: Survival, from: number, to: number): number {
    if (to <= from) return 1;
    if (to >= survival.maxTokens) return 0;
    return Math.exp(logSurvivalAt(survival, to) - logSurvivalAt(survival, from));
}

/**
 * Mean length of outputs, in tokens.
 *
 * @example
 * ```ts
 * meanLength(survivalOf(estimates, group, 4096)); // 380
 * ```
 */
export function meanLength(survival: Survival): number {
    let mean = 0;
    let from = 0;
    let reached = 1;
    for (const edge of [...BUCKET_EDGES.slice(1), BUCKET_EDGES.at(-1)! * 2]) {
        const to = Math.min(edge, survival.maxTokens);
        // The value just below the caller's limit: at the limit no output goes on.
        const next = Math.exp(logSurvivalAt(survival, to));
        mean += (to - from) * (reached + next) / 2;
        if (to === survival.maxTokens) break;
        from = to;
        reached = next;
    }
    return mean;
}

/**
 * Length that a given share of outputs does not exceed, given that `from` tokens were reached.
 *
 * @example
 * ```ts
 * quantileLength(lengths, 0, 0.5); // the median
 * ```
 */
export function quantileLength(survival: Survival, from: number, share: number): number {
    let low = from;
    let high = Math.min(survival.maxTokens, BUCKET_EDGES.at(-1)! * 2);
    while (high - low > 1) {
        const mid = Math.floor((low + high) / 2);
        if (chanceToReach(survival, from, mid) > 1 - share) low = mid;
        else high = mid;
    }
    return high;
}
