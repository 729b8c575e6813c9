export { advise } from "./advise.js";
export { jobsToEvacuate, keepsCopy } from "./backups.js";
export { allowsRequest, type Breaker, CLOSED, onInconclusive, onResult, onSent, onUnreachable } from "./breaker.js";
export { assess, type Candidate, usableEndpoints } from "./choose.js";
export { coldAllowance, coldUntil, isCold } from "./cold.js";
export { type Demand, demandOf, profileOf, type RequestProfile } from "./demand.js";
export { mayAdmit, maySend } from "./endpoint-admission.js";
export { isLimited, limitShare } from "./endpoint-limit.js";
export { EndpointTable } from "./endpoint-table.js";
export {
    applyOthers,
    applyReport,
    type ColdCfg,
    createEndpoint,
    type EndpointCfg,
    type EndpointView,
    isResting,
    type LeavingSource,
    type LoadReport,
    type Others,
    OTHERS_VALID_MS,
    plannedShare,
    type RunningStream,
    type Said,
    saysLeaving,
    stalledStreams,
    streamCount,
    takesNew,
    unreadAt,
    unreadTokens,
} from "./endpoint.js";
export { ALONE, type Fleet } from "./fleet.js";
export { expectedWaitMs, nextRetryTime, NO_RETRY_TIMES, type RetryTimes, startsInTime } from "./forecast.js";
export { DEFAULT_VARIANT, type Job, type JobPolicy, type Priority, PRIORITY_RANK, type Variant } from "./job.js";
export {
    BUCKET_EDGES,
    chanceToReach,
    createEstimates,
    type LengthEstimates,
    meanLength,
    observe,
    quantileLength,
    type RequestGroup,
    type Survival,
    survivalOf,
    survivalOfKnownLength,
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
export { addCurve, type Curve, HORIZON_TOKENS, peakOf, streamCurve, zeroCurve } from "./memory-curve.js";
export { batchWithin, createPace, observePace, type PaceFit, type PaceLine, paceLine } from "./pace.js";
export { NO_PAUSES, observePauses, pauseChance, type PauseTable } from "./pause-risk.js";
export type { PlacementAdvice, Question } from "./placement-question.js";
export { createPrefillRate, observePrefill, prefillMs, type PrefillRate } from "./prefill-rate.js";
export {
    countRequest,
    createFleetBudget,
    createRetryBudget,
    earnRetry,
    type FleetRetryBudget,
    type RetryBudget,
    spendRepeat,
    spendRetry,
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
    estimateOf,
    observeSpeed,
    type Residual,
    speedAgeMs,
    type SpeedEstimate,
    type SpeedEvidence,
    speedFromOwner,
    type ToldSpeed,
    toldSpeedOf,
    UNKNOWN_SPEED,
} from "./speed-estimate.js";
export {
    comparePool,
    EMPTY_POOL,
    expectedFirstTokenMs,
    expectedGapMs,
    observePool,
    residualOf,
    type Slowness,
    slownessOf,
    type SpeedPool,
    type SpeedPools,
} from "./speed-pool.js";
export {
    addSpeedSample,
    NOTHING_SHOWN,
    samplesFromSums,
    type Shown,
    shownSince,
    type SpeedSample,
} from "./speed-samples.js";
export { type KnownSpeed, knownSpeed, poolKeyOf, poolOf } from "./speed-tracking.js";
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
