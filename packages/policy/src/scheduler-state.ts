/**
 * The scheduler's types: the state of one host, the events that it handles, and the actions that follow.
 *
 * @module
 */
import type { RetainedStates } from "./departed-endpoints.js";
import { EndpointTable } from "./endpoint-table.js";
import type { AnnouncedLimit, EndpointCfg, EndpointView, LeavingSource, LoadReport, OthersLoad } from "./endpoint.js";
import { type AdmissionBounds, ALONE } from "./fleet.js";
import { NO_RETRY_TIMES, type RetryTimes } from "./forecast.js";
import { DEFAULT_VARIANT, type Job, type Variant } from "./job.js";
import { createLengthEstimates, type LengthEstimates } from "./length-estimate.js";
import type { LimitLoan, LoanSide } from "./limit-loans.js";
import type { PlacementQuestion, StandbySubject } from "./placement-question.js";
import { createPrefillRate, type PrefillRate } from "./prefill-rate.js";
import type { DrainRate, WaitingRequest } from "./queue-order.js";
import { createRetryBudget, type FleetRetryBudget, type RetryBudget } from "./retry-budget.js";
import { emptyMap, type ShardMap } from "./shard-map.js";
import type { OwnerSpeed } from "./speed-estimate.js";
import type { SpeedPools } from "./speed-pool.js";
import type { SpeedSums } from "./speed-samples.js";

/** Everything that one host knows for its decisions. */
export interface SchedulerState extends AdmissionBounds {
    readonly variant: Variant;
    /** Live hosts of the hall, this one included. */
    readonly hosts: number;
    readonly endpoints: EndpointTable;
    /** Announcements of endpoints that are no longer declared. */
    readonly remembered: RetainedStates;
    readonly waiting: readonly WaitingRequest[];
    readonly estimates: LengthEstimates;
    readonly retryBudget: RetryBudget;
    /** Bounds repeated sends instead of `retryBudget` if all hosts share one budget. */
    readonly fleetRetryBudget: FleetRetryBudget | undefined;
    /** Hall whose endpoints are preferred; undefined if all endpoints are in one hall. */
    readonly hall: string | undefined;
    readonly drainRate: DrainRate | undefined;
    readonly prefillRate: PrefillRate;
    readonly speeds: SpeedPools;
    readonly retryTimes: RetryTimes;
    /** Endpoint of each running request, or of one whose endpoint's owner is being asked. */
    readonly placed: ShardMap<string>;
    /** Standby, the endpoint that keeps the copy, of each running request that has one. */
    readonly standbys: ShardMap<string>;
    /** Endpoints that this host owns. */
    readonly owned: ReadonlySet<string>;
    /** Requests for which an owner was asked and has not answered yet. */
    readonly asked: ReadonlyMap<string, PendingQuestion>;
    /**
     * Running requests for which an owner was asked for a standby. A continuation takes the place of an evacuation,
     * whose source is lost; an evacuation never takes the place of a continuation.
     */
    readonly askedForStandby: ReadonlyMap<string, PendingStandbyQuestion>;
    /** When requests were refused lately because all endpoints limit this host, by model, oldest first. */
    readonly refusedForLimits: ReadonlyMap<string, readonly number[]>;
    /** Counter of choices: the turn of round robin and the seed of two random choices. */
    readonly turn: number;
}

/** A request that waits for an owner's answer. Its stream is already counted at the endpoint that was asked for. */
export interface PendingQuestion {
    readonly waiting: WaitingRequest;
    readonly endpoint: string;
    readonly at: number;
}

/** A running request for which an owner was asked for the next standby. */
export interface PendingStandbyQuestion extends StandbySubject {
    readonly at: number;
}

/** How a dispatched request ended at its endpoint. */
export type JobOutcome = "whole" | "cancelled" | "refused" | "failed" | "unreachable";

/** Events that a host passes to its scheduler. */
export type SchedulerEvent =
    | { readonly kind: "endpoints"; readonly endpoints: readonly EndpointCfg[] }
    | { readonly kind: "leaving"; readonly endpoint: string; readonly source: LeavingSource; readonly leaving: boolean }
    | { readonly kind: "report"; readonly endpoint: string; readonly report: LoadReport }
    /**
     * Number of live hosts of the hall, this host's position among them and its mark, and how many more hosts are named
     * but not heard.
     */
    | {
        readonly kind: "hosts";
        readonly count: number;
        readonly place?: number;
        readonly unheard?: number;
        readonly mark?: number;
    }
    /** As the owner, this host has admitted another host's request to an endpoint. */
    | { readonly kind: "letIn"; readonly endpoint: string }
    /** The endpoints that this host owns. */
    | { readonly kind: "owns"; readonly endpoints: readonly string[] }
    /**
     * An owner's answer about a request: its endpoint and the standby for its copy; no endpoint if none has capacity.
     */
    | {
        readonly kind: "answer";
        readonly job: string;
        readonly endpoint: string | undefined;
        readonly standby: string | undefined;
        /** Prompt tokens that the endpoint still has to prefill by the owner's account. */
        readonly unread?: number | undefined;
        /** Set if the question was for a standby only. */
        readonly standbyOf?: StandbySubject | undefined;
    }
    /** What other hosts hold at an endpoint, sent by its owner, and the owner's estimate of its speed. */
    | {
        readonly kind: "others";
        readonly endpoint: string;
        readonly others: OthersLoad;
        readonly speed?: OwnerSpeed | undefined;
    }
    /** Sent to this host as the owner: the speed samples of another host's streams since its last message. */
    | { readonly kind: "shown"; readonly host: string; readonly endpoint: string; readonly shown: SpeedSums }
    | { readonly kind: "arrive"; readonly job: Job; readonly avoid: readonly string[]; readonly retry: boolean }
    /**
     * A stream has progressed: tokens so far, and the mean and largest gap since the last such event, in milliseconds.
     */
    | {
        readonly kind: "progress";
        readonly job: string;
        readonly produced: number;
        readonly meanGapMs: number;
        readonly maxGapMs: number;
    }
    | { readonly kind: "ended"; readonly job: string; readonly outcome: JobOutcome; readonly produced: number }
    /**
     * A request's endpoint broke off: the request should continue where its copy is kept. `failed`: whether the
     * endpoint is to blame.
     */
    | { readonly kind: "continue"; readonly job: string; readonly failed: boolean }
    /** A request's endpoint is leaving: another endpoint should take a copy if there is capacity. */
    | { readonly kind: "evacuate"; readonly job: string }
    /** An endpoint has announced a limit, or that it has none. */
    | { readonly kind: "said"; readonly endpoint: string; readonly said: AnnouncedLimit }
    /** This host lends a part of its share of an endpoint's limit to another host, or borrows one. */
    | { readonly kind: "loan"; readonly endpoint: string; readonly side: LoanSide; readonly loan: LimitLoan }
    /** A loan ends at this time, if not sooner. */
    | {
        readonly kind: "loanEnds";
        readonly endpoint: string;
        readonly side: LoanSide;
        readonly id: string;
        readonly at: number;
    }
    /** The lenders of these loans have restarted: they no longer know what they have lent, and will use it themselves. */
    | { readonly kind: "lenderRestarted"; readonly isTheirs: (id: string) => boolean }
    /** An endpoint asked this host to send it nothing until then. */
    | { readonly kind: "rest"; readonly endpoint: string; readonly until: number }
    /** An endpoint may have restarted: it counts as cold until this time; undefined once the doubt is resolved. */
    | { readonly kind: "doubt"; readonly endpoint: string; readonly until: number | undefined }
    /** A connection to an endpoint failed, other than for a dispatched request. */
    | { readonly kind: "unreachable"; readonly endpoint: string }
    /**
     * All halls and single endpoints that can probably not be reached from this host, and halls that are heard again.
     */
    | {
        readonly kind: "reach";
        readonly doubted: { readonly halls: readonly string[]; readonly endpoints: readonly string[] };
        readonly back: readonly string[];
    }
    /**
     * An endpoint has restarted: the copies that it kept are gone. The end of each of its streams is reported
     * separately.
     */
    | { readonly kind: "lifeOver"; readonly endpoint: string }
    /** A request's copy could not be made. */
    | { readonly kind: "copyLost"; readonly job: string }
    /** The caller left before its request was placed. */
    | { readonly kind: "withdraw"; readonly job: string }
    | { readonly kind: "tick" };

/** Why a request is refused. */
export type RefuseReason = "noEndpoint" | "queueFull" | "waitTooLong" | "limited" | "retryBudget";

/** Actions that the host should carry out. */
export type SchedulerAction =
    | {
        readonly kind: "dispatch";
        readonly job: string;
        readonly endpoint: string;
        readonly priority: number;
        /** Endpoint that should keep a copy of the stream as it grows. */
        readonly backUp: string | undefined;
    }
    /** Ask the endpoint's owner where the request should go; the answer comes back as an `answer` event. */
    | {
        readonly kind: "ask";
        readonly job: string;
        readonly endpoint: string;
        readonly question: PlacementQuestion;
    }
    /** No endpoint has capacity for the requested copy. */
    | { readonly kind: "noCopy"; readonly job: string }
    /** Copy a running request's memory from one endpoint to another. */
    | { readonly kind: "copy"; readonly job: string; readonly from: string; readonly to: string }
    | {
        readonly kind: "refuse";
        readonly job: string;
        readonly reason: RefuseReason;
        readonly detail: string;
        readonly retryAfterMs: number;
    };

/** The next state and the actions to carry out. */
export interface Decision {
    readonly state: SchedulerState;
    readonly actions: readonly SchedulerAction[];
}

/** Options that differ between hosts. */
export interface SchedulerOptions {
    readonly hall?: string | undefined;
    readonly retries?: FleetRetryBudget | undefined;
}

/**
 * Creates the state of a scheduler that knows of no endpoint yet.
 *
 * @example
 * ```ts
 * let { state } = decide(createScheduler(), { kind: "endpoints", endpoints }, now);
 * ```
 */
export function createScheduler(
    variant: Variant = DEFAULT_VARIANT,
    seed = 1,
    { hall, retries }: SchedulerOptions = {},
): SchedulerState {
    return {
        variant,
        hall,
        fleetRetryBudget: retries,
        hosts: 1,
        endpoints: EndpointTable.of([]),
        remembered: new Map(),
        waiting: [],
        estimates: createLengthEstimates(),
        retryBudget: createRetryBudget(),
        drainRate: undefined,
        prefillRate: createPrefillRate(),
        speeds: new Map(),
        retryTimes: NO_RETRY_TIMES,
        placed: emptyMap(),
        standbys: emptyMap(),
        owned: new Set(),
        ownedSince: new Map(),
        fleet: ALONE,
        letIn: new Map(),
        loans: new Map(),
        refusedForLimits: new Map(),
        brittleServices: new Map(),
        asked: new Map(),
        askedForStandby: new Map(),
        turn: seed,
    };
}

/** Returns the state with one endpoint changed; an unknown endpoint changes nothing. */
export function updateEndpoint(
    state: SchedulerState,
    id: string,
    change: (view: EndpointView) => EndpointView,
): SchedulerState {
    const view = state.endpoints.get(id);
    if (!view) return state;
    return { ...state, endpoints: state.endpoints.with(id, change(view)) };
}
