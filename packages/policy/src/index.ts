export { advise } from "./advise.js";
export { jobsToEvacuate, keepsCopy } from "./backups.js";
export { type Breaker, CLOSED, mayUse, onResult, onUnreachable, onUnused, onUse } from "./breaker.js";
export { assess, type Candidate, usable } from "./choose.js";
export { allowance, coldUntil, isCold } from "./cold.js";
export { type Demand, demandOf, type Wanted, wantedOf } from "./demand.js";
export { mayLetIn, maySend } from "./endpoint-admission.js";
export { isLimited, limitPart } from "./endpoint-limit.js";
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
    unreadAt,
    unreadTokens,
} from "./endpoint.js";
export { ALONE, type Fleet } from "./fleet.js";
export { beginsInTime, nextReturn, NO_RETURNS, type Returns, roomIn } from "./forecast.js";
export { DEFAULT_VARIANT, type Job, type JobPolicy, type Priority, PRIORITY_RANK, type Variant } from "./job.js";
export {
    chanceToReach,
    createEstimates,
    EDGES,
    type Estimates,
    type Group,
    knownLength,
    meanLength,
    observe,
    quantileLength,
    type Survival,
    survivalOf,
} from "./length-estimate.js";
export {
    budgetOf,
    createAccount,
    firstToGiveUp,
    type HeldBytes,
    HeldKind,
    holdMore,
    isFull,
    isOverBudget,
    linkBytes,
    mayTakeIn,
    type MemoryAccount,
    type MemoryHolder,
    readAheadBytes,
    totalHeld,
} from "./memory-account.js";
export { addCurve, type Curve, HORIZON, peakOf, streamCurve, zeroCurve } from "./memory-curve.js";
export { batchWithin, createPace, observePace, type PaceFit, type PaceLine, paceLine } from "./pace.js";
export { NO_PAUSES, observePauses, pauseChance, type PauseTable } from "./pause-risk.js";
export type { Advice, Question } from "./placement-question.js";
export { createReadingRate, observeReading, readingMs, type ReadingRate } from "./prefill-rate.js";
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
export {
    type Estimate,
    estimateOf,
    observeSpeed,
    type Residual,
    type Speed,
    speedAge,
    takeToldSpeed,
    type ToldSpeed,
    toldSpeedOf,
    UNKNOWN_SPEED,
} from "./speed-estimate.js";
export {
    comparePool,
    EMPTY_POOL,
    expectedFirstMs,
    expectedGapMs,
    observePool,
    residualOf,
    type Slowness,
    slownessOf,
    type SpeedPool,
    type SpeedPools,
} from "./speed-pool.js";
export { addShown, NOTHING_SHOWN, type Sample, samplesOf, type Shown, shownSince } from "./speed-samples.js";
export { kindOf, type KnownSpeed, knownSpeed, poolOf } from "./speed-tracking.js";
export {
    createLimits,
    type LimitRefusal,
    type LimitState,
    reserve,
    type ReserveResult,
    settle,
    type Settlement,
    type WorkspaceLimits,
} from "./workspace-limits.js";
