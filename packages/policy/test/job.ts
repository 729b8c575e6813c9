/**
 * Requests for tests of the scheduler.
 *
 * @module
 */
import type { Job, JobPolicy } from "../src/index.js";

const POLICY: JobPolicy = {
    priority: "normal",
    quantile: 0.95,
    gapTargetMs: 60_000,
    objectiveMs: 1_500,
    weightTail: 1,
    weightStall: 1,
    weightPrefix: 0,
    maxWaitMs: 1_500,
    usefulMs: 1_500,
    rank: 1,
    weight: 1,
    queueLimit: 50,
    retryShare: 0,
};

/**
 * A request with a prompt of 2,000 tokens and up to 500 output tokens; fields of it and of its policy can be
 * overridden.
 */
export function makeJob(id: string, more: Partial<Job> = {}, policy: Partial<JobPolicy> = {}): Job {
    return {
        id,
        group: { workspace: "w", service: "s", model: "m" },
        promptTokens: 2_000,
        maxTokens: 500,
        prefix: "",
        prefixTokens: 0,
        policy: { ...POLICY, ...policy },
        ...more,
    };
}
