export { advisePlacement } from "./advise.js";
export { jobsToEvacuate, keepsCopy } from "./backups.js";
export { allowsRequest, type Breaker, CLOSED, onInconclusive, onResult, onSent, onUnreachable } from "./breaker.js";
export { isBrittle, ownPlaces } from "./brittle.js";
export { assess, type Candidate, usableEndpoints } from "./choose.js";
export { coldAllowance, coldUntil, isCold } from "./cold.js";
export { type Demand, demandOf, profileOf, type RequestProfile } from "./demand.js";
export { mayAdmit, maySend } from "./endpoint-admission.js";
export { currentLimitShare, isLimited, limitShare, limitSpanMs } from "./endpoint-limit.js";
export { EndpointTable } from "./endpoint-table.js";
export {
    announcedLeaving,
    type AnnouncedLimit,
    applyOthers,
    applyReport,
    type ColdCfg,
    createEndpoint,
    type EndpointCfg,
    type EndpointView,
    isResting,
    type LeavingSource,
    type LoadReport,
    OTHERS_VALID_MS,
    type OthersLoad,
    ownPendingPrefill,
    pendingPrefill,
    plannedShare,
    type RunningStream,
    stalledStreams,
    streamCount,
    takesNew,
} from "./endpoint.js";
export { ALONE, type BrittleServices, type Fleet } from "./fleet.js";
export { expectedWaitMs, nextRetryTime, NO_RETRY_TIMES, type RetryTimes, startsInTime } from "./forecast.js";
export { DEFAULT_VARIANT, type Job, type JobPolicy, type Priority, PRIORITY_RANK, type Variant } from "./job.js";
export {
    BUCKET_EDGES,
    chanceToReach,
    createLengthEstimates,
    type LengthEstimates,
    meanLength,
    observeLength,
    quantileLength,
    type RequestGroup,
    type Survival,
    survivalOf,
    survivalOfKnownLength,
} from "./length-estimate.js";
export {
    type BorrowedLoan,
    lendableShare,
    type LimitShortfall,
    limitShortfalls,
    loanMs,
    unusedLoans,
} from "./limit-demand.js";
export { type EndpointLoans, type LimitLoan, type LimitLoans, type LoanSide } from "./limit-loans.js";
export {
    acceptsBody,
    adjustHeld,
    budgetOf,
    callToGiveUp,
    createAccount,
    type HeldBytes,
    HeldKind,
    isFull,
    isOverBudget,
    type MemoryAccount,
    type MemoryHolder,
    peerQueueBytes,
    readAheadBytes,
    totalHeld,
} from "./memory-account.js";
export { addCurve, HORIZON_TOKENS, type MemoryCurve, peakMemory, streamCurve, zeroCurve } from "./memory-curve.js";
export { batchWithin, createPace, observePace, type PaceFit, type PaceLine, paceLine } from "./pace.js";
export { NO_PAUSES, observePauses, pauseChance, type PauseTable } from "./pause-risk.js";
export {
    type PlacementAdvice,
    type PlacementQuestion,
    type StandbyPurpose,
    type StandbyQuestion,
    type StandbySubject,
    subjectOf,
} from "./placement-question.js";
export { createPrefillRate, observePrefill, prefillMs, type PrefillRate } from "./prefill-rate.js";
export {
    countRequest,
    createFleetRetryBudget,
    createRetryBudget,
    earnRetry,
    type FleetRetryBudget,
    type RetryBudget,
    spendFleetRetry,
    spendRetry,
} from "./retry-budget.js";
export {
    createScheduler,
    type Decision,
    type JobOutcome,
    type PendingQuestion,
    type RefuseReason,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerOptions,
    type SchedulerState,
} from "./scheduler-state.js";
export { canContinue, decide, isProgressDue, PROGRESS_EVERY } from "./scheduler.js";
export {
    observeSpeed,
    type OwnerSpeed,
    ownerSpeedOf,
    type Residual,
    speedAgeMs,
    type SpeedEstimate,
    speedEstimateOf,
    type SpeedEvidence,
    speedFromOwner,
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
    NO_SPEED_SUMS,
    samplesFromSums,
    type SpeedSample,
    type SpeedSums,
    speedSumsSince,
} from "./speed-samples.js";
export { type EndpointSlowness, endpointSlowness, poolKeyOf, poolOf } from "./speed-tracking.js";
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
