export { advise } from "./advise.js";
export { type Breaker, CLOSED, mayUse, onResult, onUnreachable, onUnused, onUse } from "./breaker.js";
export { jobsToEvacuate, keepsCopy } from "./carry.js";
export { assess, type Candidate, usable } from "./choose.js";
export { allowance, coldUntil, isCold } from "./cold.js";
export { addCurve, type Curve, HORIZON, peakOf, streamCurve, zeroCurve } from "./curve.js";
export { type Demand, demandOf, type Wanted, wantedOf } from "./demand.js";
export { EndpointTable } from "./endpoint-table.js";
export {
    type ColdCfg,
    createEndpoint,
    type EndpointCfg,
    type EndpointView,
    isResting,
    type LeavingSource,
    type LoadReport,
    type Others,
    plannedShare,
    type Running,
    type Said,
    saysLeaving,
    stalledStreams,
    streamCount,
    takeOthers,
    takeReport,
    takesNew,
    TOLD_VALID_MS,
    unreadTokens,
} from "./endpoint.js";
export {
    chanceToReach,
    createEstimates,
    EDGES,
    type Estimates,
    type Group,
    knownLength,
    observe,
    quantileLength,
    type Survival,
    survivalOf,
} from "./estimate.js";
export { ALONE, type Fleet } from "./fleet.js";
export { beginsInTime, nextReturn, NO_RETURNS, type Returns, roomIn } from "./forecast.js";
export { DEFAULT_VARIANT, type Job, type JobPolicy, type Priority, PRIORITY_RANK, type Variant } from "./job.js";
export { mayLetIn, maySend } from "./let-in.js";
export { isLimited, limitPart } from "./limit.js";
export {
    createLimits,
    type LimitRefusal,
    type LimitState,
    reserve,
    type ReserveResult,
    settle,
    type Settlement,
    type WorkspaceLimits,
} from "./limits.js";
export { batchWithin, createPace, observePace, type PaceFit, type PaceLine, paceLine } from "./pace.js";
export type { Advice, Question } from "./question.js";
export { createReadingRate, observeReading, readingMs, type ReadingRate } from "./reading.js";
export {
    countRequest,
    createFleetBudget,
    createRetryBudget,
    earnRetry,
    type FleetBudget,
    type RetryBudget,
    spendRetry,
    takeRepeat,
} from "./retry-budget.js";
export {
    type Asked,
    createScheduler,
    type Decision,
    type JobOutcome,
    type RefuseReason,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerOptions,
    type SchedulerState,
} from "./scheduler-state.js";
export { canGoOn, decide, isProgressDue, PROGRESS_EVERY } from "./scheduler.js";
