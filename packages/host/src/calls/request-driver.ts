/**
 * Drives one request: feeds events into the request's state machine and performs the actions that it returns. The
 * driver owns the attempt's connection, the timers and the reply; the state machine makes every decision.
 *
 * @module
 */
import { isProgressDue, type Job, type JobOutcome, type RefuseReason } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import {
    createRequest,
    FailCode,
    type LossCause,
    Phase,
    type RequestAction,
    type RequestCfg,
    type RequestError,
    type RequestEvent,
    type RequestState,
    step,
} from "@drumpaddle/request";
import type { Placement, PlacementListener } from "../endpoints/placement.js";
import type { Withheld } from "../endpoints/request-guard.js";
import type { DispatchKind } from "../runtime/metrics.js";

/** Writes an answer to a caller. The driver calls no method after `finish` or `fail`. */
export interface Reply<T> {
    /** Sends one piece, or holds it if the answer is sent as a whole. */
    forward(piece: T): void;
    /** Discards the held pieces of an attempt that failed; none of them was sent. */
    discard(): void;
    finish(last: T | undefined, tokens: number): void;
    fail(err: RequestError): void;
}

/** Receives what an attempt reports. */
export interface AttemptSink<T> {
    /**
     * Reports an event, with the piece of the answer that belongs to it. Returns whether the event changed the attempt.
     */
    report(event: RequestEvent, piece?: T): boolean;
}

/** An attempt to start. */
export interface AttemptPlan {
    readonly attempt: string;
    readonly endpoint: string;
    readonly priority: number;
    /** Standby endpoint that receives a copy of the generation as it grows. */
    readonly backUp: string | undefined;
    /** Index of the next piece, if `endpoint` continues the generation from the copy that it holds. */
    readonly continueAt: number | undefined;
}

/** Makes the attempts of a request in one protocol. */
export interface AttemptRunner<T> {
    /**
     * Starts an attempt and reports to the sink until the signal aborts. Reports `sending` before the first byte is
     * sent.
     */
    start(plan: AttemptPlan, sink: AttemptSink<T>, signal: AbortSignal): void;
    /** Reconnects to a generation that still runs at the endpoint, from the piece with index `from`. */
    resume(
        attempt: string,
        endpoint: string,
        generation: string,
        from: number,
        sink: AttemptSink<T>,
        signal: AbortSignal,
    ): void;
    /** Asks the endpoint to cancel an attempt; called only if its first byte may have been sent. */
    cancel(attempt: string, endpoint: string, generation: string | undefined): void;
}

/** How a request ended. */
export interface RequestEnd {
    readonly state: RequestState;
    readonly tokens: number;
    readonly err?: RequestError | undefined;
    /** Whether the endpoint answered with an error of its own, which was forwarded. */
    readonly failed: boolean;
    readonly endpoint?: string | undefined;
    /** Stall time: by how much the gaps between pieces exceeded the target, summed, in milliseconds. */
    readonly stallMs: number;
    readonly firstTokenMs?: number | undefined;
    /** Longest gap between two pieces, in milliseconds. */
    readonly longestGapMs: number;
}

/** Dependencies of a {@link RequestDriver}. */
export interface RequestDriverDeps<T> {
    readonly cfg: RequestCfg;
    readonly clock: Clock;
    readonly job: Job;
    readonly placement: Placement;
    readonly runner: AttemptRunner<T>;
    /** Returns why an attempt may not start, if the request guard withholds it; called before each attempt. */
    readonly withholdReason?: (attempt: string, endpoint: string) => Withheld | undefined;
    readonly reply: Reply<T>;
    readonly onGap: (ms: number) => void;
    readonly onDispatch: (kind: DispatchKind) => void;
    readonly onEnd: (end: RequestEnd) => void;
}

/** Maximum delay of the first retry; it doubles with each further attempt. */
const RETRY_BASE_MS = 50;

/**
 * How often the driver asks the guard again while evidence of a crash is pending: whether an endpoint crashed is known
 * within 250 ms.
 */
const MAX_GUARD_CHECKS = 6;

const CODE_OF_REFUSAL: { readonly [K in RefuseReason]: FailCode } = {
    noEndpoint: FailCode.NoEndpoint,
    queueFull: FailCode.Overloaded,
    waitTooLong: FailCode.WaitTooLong,
    limited: FailCode.EndpointsLimited,
    retryBudget: FailCode.Overloaded,
};

/** Drives one request from its admission to its end. */
export class RequestDriver<T> {
    private state: RequestState;
    private currentPiece: T | undefined;
    /** Whether the current event is the refusal of an endpoint. */
    private endpointRefused = false;
    /** Whether the current event is a connection to the endpoint that could not be established. */
    private connectFailed = false;
    private connection: AbortController | undefined;
    /** Listener of the question to the scheduler that is not answered yet. */
    private openQuestion: PlacementListener | undefined;
    private placedEndpoint: string | undefined;
    private priority = 0;
    private readonly startedAt: number;
    private deadlineTimer: NodeJS.Timeout;
    private retryTimer: NodeJS.Timeout | undefined;
    private lastTokenAt = 0;
    private firstTokenMs: number | undefined;
    private stallMs = 0;
    private longestGapMs = 0;
    private gapsSinceProgress = { tokens: 0, sum: 0, max: 0 };

    constructor(private readonly deps: RequestDriverDeps<T>) {
        this.startedAt = deps.clock.now();
        const { state, actions } = createRequest(deps.cfg);
        this.state = state;
        this.deadlineTimer = this.startDeadlineTimer();
        for (const action of actions) this.perform(action);
    }

    get hasEnded(): boolean {
        return this.state.phase === Phase.Ended;
    }

    /** Restarts the deadline timer after the host was suspended, or ends the request if its deadline has passed. */
    onWake(): void {
        clearTimeout(this.deadlineTimer);
        if (this.deps.clock.now() >= this.deps.cfg.deadline) this.handle({ kind: "deadline" });
        else this.deadlineTimer = this.startDeadlineTimer();
    }

    /**
     * Leaves the pause out of the gaps when the host resumes reading an answer that it had paused for a slow caller.
     */
    onReadResumed(): void {
        this.lastTokenAt = this.deps.clock.now();
    }

    private startDeadlineTimer(): NodeJS.Timeout {
        const leftMs = Math.max(0, this.deps.cfg.deadline - this.deps.clock.now());
        return setTimeout(() => this.handle({ kind: "deadline" }), leftMs);
    }

    /** Whether the request waits for an endpoint. */
    get isWaiting(): boolean {
        return this.state.phase === Phase.Waiting;
    }

    /** Handles an event, with the piece of the answer that belongs to it. */
    handle(event: RequestEvent, piece?: T): void {
        this.currentPiece = piece;
        this.endpointRefused = event.kind === "endpointRefused";
        this.connectFailed = event.kind === "lost" && event.cause === "connect";
        const { state, actions } = step(this.state, event);
        this.state = state;
        for (const action of actions) this.perform(action);
    }

    private perform(action: RequestAction): void {
        const handler = this.actions[action.kind] as (action: RequestAction) => void;
        handler(action);
    }

    private readonly actions: {
        readonly [K in RequestAction["kind"]]: (action: Extract<RequestAction, { kind: K }>) => void;
    } = {
        admit: ({ avoid, retry, neverSent }) => {
            // A refusal is not a failure: it must not lead to the endpoint's ejection.
            this.releaseEndpoint(neverSent ? "unreachable" : this.endpointRefused ? "refused" : "failed");
            // An attempt that was never sent put no load on an endpoint: it needs no delay and no share of the retry
            // budget.
            if (!retry || neverSent) return this.submit(avoid, false);
            // Full jitter spreads the retries of requests that lost the same endpoint.
            const maxDelayMs = RETRY_BASE_MS * 2 ** (this.state.attempts - 1);
            this.retryTimer = setTimeout(() => this.submit(avoid, true), Math.random() * maxDelayMs);
        },
        dispatch: action => this.dispatch(action, MAX_GUARD_CHECKS),
        admitCopy: ({ cause }) => {
            this.deps.placement.continueOnStandby(
                this.deps.job.id,
                !NOT_ENDPOINT_FAULT.has(cause),
                this.placementCallbacks(),
            );
        },
        resume: ({ attempt, endpoint, generation, from }) => {
            this.deps.onDispatch("resume");
            this.deps.runner.resume(attempt, endpoint, generation, from, ...this.newConnection(attempt));
        },
        cancel: ({ attempt, endpoint, generation }) => {
            this.connection?.abort();
            if (this.state.record.sent.includes(attempt)) this.deps.runner.cancel(attempt, endpoint, generation);
        },
        forward: ({ index }) => {
            this.recordTokenTimes(index);
            this.deps.reply.forward(this.currentPiece!);
        },
        dropHeld: () => this.deps.reply.discard(),
        complete: ({ tokens, failed = false }) => {
            // An endpoint that fails at once looks idle: if its errors counted as good answers, it would attract more
            // requests.
            this.releaseEndpoint(failed ? "failed" : "whole");
            this.deps.reply.finish(this.currentPiece, tokens);
            this.end(undefined, failed);
        },
        fail: ({ err }) => {
            this.deps.placement.withdraw(this.deps.job.id);
            // An endpoint that sent no token until the deadline has failed; one that was answering has not.
            const wasSilent = err.code === FailCode.DeadlinePassed && !this.state.tokenSeen;
            const outcome = this.connectFailed ? "unreachable" : PLACEMENT_OUTCOME[err.code] ?? "failed";
            this.releaseEndpoint(wasSilent ? "failed" : outcome);
            this.deps.reply.fail(err);
            this.end(err);
        },
    };

    /**
     * Starts an attempt unless the guard withholds the request. While evidence is pending, the driver asks again.
     */
    private dispatch(action: Extract<RequestAction, { kind: "dispatch" }>, checksLeft: number): void {
        const { attempt, endpoint, backUp, continueAt } = action;
        const withheld = this.deps.withholdReason?.(attempt, endpoint);
        if (withheld?.evidencePendingMs && checksLeft > 0) {
            this.retryTimer = setTimeout(() => this.dispatch(action, checksLeft - 1), withheld.evidencePendingMs);
            return;
        }
        // Evidence that is still pending is no reason to refuse: where many callers send the same request, some calls are
        // always interrupted.
        if (withheld && !withheld.evidencePendingMs) return this.handle({ kind: "withheld", ...withheld });
        const again = continueAt === undefined ? "retry" : "continue";
        this.deps.onDispatch(this.state.attempts === 1 ? "first" : again);
        const plan = { attempt, endpoint, priority: this.priority, backUp, continueAt };
        this.deps.runner.start(plan, ...this.newConnection(attempt));
    }

    /** Asks the scheduler for an endpoint. */
    private submit(avoid: readonly string[], retry: boolean): void {
        this.deps.placement.submit(this.deps.job, avoid, retry, this.placementCallbacks());
    }

    /** Makes the listener of a question to the scheduler. Only the first answer to the latest question counts. */
    private placementCallbacks(): PlacementListener {
        const takeAnswer = (): boolean => {
            if (this.openQuestion !== listener) return false;
            this.openQuestion = undefined;
            return true;
        };
        const listener: PlacementListener = {
            onDispatch: (endpoint, priority, backUp) => {
                if (!takeAnswer()) return;
                this.placedEndpoint = endpoint;
                this.priority = priority;
                this.handle({ kind: "admitted", endpoint, backUp });
            },
            onRefuse: (reason, detail, retryAfterMs) => {
                if (!takeAnswer()) return;
                this.handle({ kind: "notAdmitted", code: CODE_OF_REFUSAL[reason], detail, retryAfterMs });
            },
        };
        this.openQuestion = listener;
        return listener;
    }

    /** Makes the sink and signal of a new connection. Its reports are ignored once a newer connection replaces it. */
    private newConnection(attempt: string): [AttemptSink<T>, AbortSignal] {
        this.connection?.abort();
        const connection = new AbortController();
        this.connection = connection;
        const report = (event: RequestEvent, piece?: T): boolean => {
            const before = this.state.attempt;
            if (this.connection !== connection || before?.id !== attempt) return false;
            this.handle(event, piece);
            return this.state.attempt !== before;
        };
        return [{ report }, connection.signal];
    }

    private recordTokenTimes(index: number): void {
        const now = this.deps.clock.now();
        if (index === 0) this.firstTokenMs = now - this.startedAt;
        else {
            const gap = now - this.lastTokenAt;
            this.deps.onGap(gap);
            this.longestGapMs = Math.max(this.longestGapMs, gap);
            this.stallMs += Math.max(0, gap - this.deps.job.policy.gapTargetMs);
            this.gapsSinceProgress.tokens += 1;
            this.gapsSinceProgress.sum += gap;
            this.gapsSinceProgress.max = Math.max(this.gapsSinceProgress.max, gap);
        }
        this.lastTokenAt = now;
        if (isProgressDue(index + 1)) this.reportProgress(index + 1);
    }

    private reportProgress(produced: number): void {
        const { tokens, sum, max } = this.gapsSinceProgress;
        this.gapsSinceProgress = { tokens: 0, sum: 0, max: 0 };
        this.deps.placement.progress(
            this.deps.job.id,
            produced * this.tokensPerPiece,
            tokens === 0 ? 0 : sum / tokens,
            max,
        );
    }

    private releaseEndpoint(outcome: JobOutcome): void {
        if (this.placedEndpoint === undefined) return;
        this.placedEndpoint = undefined;
        const produced = (this.state.attempt?.next ?? 0) * this.tokensPerPiece;
        this.deps.placement.ended(this.deps.job.id, outcome, produced);
    }

    private get tokensPerPiece(): number {
        return this.deps.job.tokensPerPiece ?? 1;
    }

    private end(err: RequestError | undefined, failed = false): void {
        clearTimeout(this.deadlineTimer);
        clearTimeout(this.retryTimer);
        this.openQuestion = undefined;
        // After a complete answer the stream ends by itself, and its connection can be reused.
        if (err) this.connection?.abort();
        // Frees the connection's memory while the caller still reads the answer.
        this.connection = undefined;
        const { state, stallMs, firstTokenMs, longestGapMs } = this;
        this.deps.onEnd({
            state,
            tokens: state.attempt?.next ?? 0,
            err,
            failed,
            endpoint: state.attempt?.endpoint,
            stallMs,
            firstTokenMs,
            longestGapMs,
        });
    }
}

/**
 * Losses that do not count against the endpoint: it was reclaimed, or closed a connection that the caller did not read.
 */
const NOT_ENDPOINT_FAULT: ReadonlySet<LossCause> = new Set(["reclaimed", "unread"]);

/** The outcome of an attempt for the scheduler, for failures that do not mean that the endpoint failed. */
const PLACEMENT_OUTCOME: Partial<Record<FailCode, "cancelled" | "refused">> = {
    [FailCode.CallerGone]: "cancelled",
    [FailCode.DeadlinePassed]: "cancelled",
    [FailCode.EndpointRefused]: "refused",
    [FailCode.Quarantined]: "cancelled",
    [FailCode.OnTrial]: "cancelled",
    [FailCode.MemoryFull]: "cancelled",
    [FailCode.CallerUnread]: "cancelled",
};
