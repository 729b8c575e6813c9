/**
 * What one host knows for its decisions, what it is told and what follows: the values that the scheduler works on.
 *
 * @module
 */
import type { RetainedStates } from "./departed-endpoints.js";
import { EndpointTable } from "./endpoint-table.js";
import type { EndpointCfg, EndpointView, LeavingSource, LoadReport, Others, Said } from "./endpoint.js";
import { type AdmissionBounds, ALONE } from "./fleet.js";
import { NO_RETRY_TIMES, type RetryTimes } from "./forecast.js";
import { DEFAULT_VARIANT, type Job, type Variant } from "./job.js";
import { createEstimates, type LengthEstimates } from "./length-estimate.js";
import type { Question } from "./placement-question.js";
import { createPrefillRate, type PrefillRate } from "./prefill-rate.js";
import type { DrainRate, WaitingRequest } from "./queue-order.js";
import { createRetryBudget, type FleetRetryBudget, type RetryBudget } from "./retry-budget.js";
import { emptyMap, type ShardMap } from "./shard-map.js";
import type { ToldSpeed } from "./speed-estimate.js";
import type { SpeedPools } from "./speed-pool.js";
import type { Shown } from "./speed-samples.js";

/** All that one host knows for its decisions. */
export interface SchedulerState extends AdmissionBounds {
    readonly variant: Variant;
    /** Live hosts of the hall, this one included. */
    readonly hosts: number;
    readonly endpoints: EndpointTable;
    /** What endpoints said that are declared no more. */
    readonly remembered: RetainedStates;
    readonly waiting: readonly WaitingRequest[];
    readonly estimates: LengthEstimates;
    readonly retryBudget: RetryBudget;
    /** Bounds repeated sends in place of `retries`, where hosts share one budget. */
    readonly fleetRetryBudget: FleetRetryBudget | undefined;
    /** Hall whose endpoints are preferred; undefined where all are of one hall. */
    readonly hall: string | undefined;
    readonly drainRate: DrainRate | undefined;
    readonly prefillRate: PrefillRate;
    readonly speeds: SpeedPools;
    readonly retryTimes: RetryTimes;
    /** Endpoint of each running request. */
    readonly placed: ShardMap<string>;
    /** Endpoint that keeps a copy of each running request that has one. */
    readonly standbys: ShardMap<string>;
    /** Endpoints that this host owns. */
    readonly owned: ReadonlySet<string>;
    /** Requests whose endpoint's owner was asked and has not answered. */
    readonly asked: ReadonlyMap<string, Asked>;
    /** Running requests for which an owner was asked who keeps their copy. */
    readonly askedStandby: ReadonlyMap<string, PendingStandbyAsk>;
    /** Turn of round robin, and the seed of two choices; advances with each choice. */
    readonly turn: number;
}

/** A request that waits for an owner's word; its stream is already counted on the endpoint. */
export interface Asked {
    readonly waiting: WaitingRequest;
    readonly endpoint: string;
    readonly at: number;
}

/** A running request whose next standby an owner was asked for. */
export interface PendingStandbyAsk {
    /** `evacuate`: its endpoint is leaving. `continue`: it goes on at another endpoint as soon as the standby is known. */
    readonly purpose: "evacuate" | "continue";
    readonly at: number;
}

/** How a dispatched request ended at its endpoint. */
export type JobOutcome = "whole" | "cancelled" | "refused" | "failed" | "unreachable";

/** What a host tells its decisions. */
export type SchedulerEvent =
    | { readonly kind: "endpoints"; readonly endpoints: readonly EndpointCfg[] }
    | { readonly kind: "leaving"; readonly endpoint: string; readonly source: LeavingSource; readonly leaving: boolean }
    | { readonly kind: "report"; readonly endpoint: string; readonly report: LoadReport }
    /** How many hosts of the hall are alive, this host's place among them and its mark, and how many more are named and not heard of. */
    | {
        readonly kind: "hosts";
        readonly count: number;
        readonly place?: number;
        readonly unheard?: number;
        readonly mark?: number;
    }
    /** As an owner, this host has let another host's request into an endpoint. */
    | { readonly kind: "letIn"; readonly endpoint: string }
    /** Which endpoints this host owns. */
    | { readonly kind: "owns"; readonly endpoints: readonly string[] }
    /** An owner's word on a request: where it goes and who keeps its copy; no endpoint where none has room. */
    | {
        readonly kind: "answer";
        readonly job: string;
        readonly endpoint: string | undefined;
        readonly standby: string | undefined;
        /** Prompt tokens that are unread at the endpoint by the owner's account. */
        readonly unread?: number | undefined;
    }
    /** What other hosts hold on an endpoint, as told by its owner, and what it knows of its speed. */
    | {
        readonly kind: "others";
        readonly endpoint: string;
        readonly others: Others;
        readonly speed?: ToldSpeed | undefined;
    }
    /** Told to this host as an owner: what another host's streams showed of an endpoint's speed since it last told. */
    | { readonly kind: "shown"; readonly host: string; readonly endpoint: string; readonly shown: Shown }
    | { readonly kind: "arrive"; readonly job: Job; readonly avoid: readonly string[]; readonly retry: boolean }
    /** A stream went on: tokens so far, and mean and largest gap since the last such event, in milliseconds. */
    | {
        readonly kind: "progress";
        readonly job: string;
        readonly produced: number;
        readonly meanGapMs: number;
        readonly maxGapMs: number;
    }
    | { readonly kind: "ended"; readonly job: string; readonly outcome: JobOutcome; readonly produced: number }
    /** A request's endpoint broke off: it is to go on where its copy is kept. `failed`: the endpoint is to blame. */
    | { readonly kind: "continue"; readonly job: string; readonly failed: boolean }
    /** A request's endpoint is leaving: another is to take a copy, if there is room. */
    | { readonly kind: "evacuate"; readonly job: string }
    /** An endpoint has said something of itself. */
    | { readonly kind: "said"; readonly endpoint: string; readonly said: Said }
    /** An endpoint wants nothing from this host until then. */
    | { readonly kind: "rest"; readonly endpoint: string; readonly until: number }
    /** An endpoint may have begun a later life; until this time, or no longer where it is over. */
    | { readonly kind: "doubt"; readonly endpoint: string; readonly until: number | undefined }
    /** No connection to an endpoint came up, other than for a request that was dispatched to it. */
    | { readonly kind: "unreachable"; readonly endpoint: string }
    /** What can probably not be reached from here, all of it: halls, and single endpoints; and halls that were heard again. */
    | {
        readonly kind: "reach";
        readonly doubted: { readonly halls: readonly string[]; readonly endpoints: readonly string[] };
        readonly back: readonly string[];
    }
    /** An endpoint has begun a later life: what it held is gone. Its streams are told to have ended by themselves. */
    | { readonly kind: "lifeOver"; readonly endpoint: string }
    /** The copy of a request could not be made. */
    | { readonly kind: "copyLost"; readonly job: string }
    /** A caller left before its request was placed. */
    | { readonly kind: "withdraw"; readonly job: string }
    | { readonly kind: "tick" };

/** Why a request is refused. */
export type RefuseReason = "noEndpoint" | "queueFull" | "waitTooLong" | "limited" | "retryBudget";

/** What a host is asked to do. */
export type SchedulerAction =
    | {
        readonly kind: "dispatch";
        readonly job: string;
        readonly endpoint: string;
        readonly priority: number;
        /** Where a copy of the stream is to be kept as it grows. */
        readonly backUp: string | undefined;
    }
    /** Ask the endpoint's owner where the request is to go; answer with an `answer` event. */
    | {
        readonly kind: "ask";
        readonly job: string;
        readonly endpoint: string;
        readonly question: Question;
    }
    /** No endpoint has room for the copy that was asked for. */
    | { readonly kind: "noCopy"; readonly job: string }
    /** Copy a running request's memory from one endpoint to the other. */
    | { readonly kind: "copy"; readonly job: string; readonly from: string; readonly to: string }
    | {
        readonly kind: "refuse";
        readonly job: string;
        readonly reason: RefuseReason;
        readonly detail: string;
        readonly retryAfterMs: number;
    };

/** The next state and what to do. */
export interface Decision {
    readonly state: SchedulerState;
    readonly actions: readonly SchedulerAction[];
}

/** What differs from host to host. */
export interface SchedulerOptions {
    readonly hall?: string | undefined;
    readonly retries?: FleetRetryBudget | undefined;
}

/**
 * Decisions that know of no endpoint yet.
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
        estimates: createEstimates(),
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
        asked: new Map(),
        askedStandby: new Map(),
        turn: seed,
    };
}

/** The state with one endpoint changed; an unknown one changes nothing. */
export function updateEndpoint(
    state: SchedulerState,
    id: string,
    change: (view: EndpointView) => EndpointView,
): SchedulerState {
    const view = state.endpoints.get(id);
    if (!view) return state;
    return { ...state, endpoints: state.endpoints.with(id, change(view)) };
}
