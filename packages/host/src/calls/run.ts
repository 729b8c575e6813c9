/**
 * One request as it is served: the shell around the request's state machine. It owns the attempt's connection, the
 * timers and the way to the caller; every decision is the machine's.
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
import type { Placed, Placement } from "../endpoints/placement.js";
import type { Withheld } from "../endpoints/request-guard.js";
import type { DispatchKind } from "../runtime/metrics.js";

/** Where an answer goes. All calls are made in order; after `finish` or `fail` there are none. */
export interface Reply<T> {
    /** Passes one piece on. */
    forward(piece: T): void;
    /** Forgets all that was passed on, which the caller has not seen. */
    drop(): void;
    finish(last: T | undefined, tokens: number): void;
    fail(err: RequestError): void;
}

/** What an attempt reports to the run that started it. */
export interface AttemptSink<T> {
    /** Returns whether the event moved the request on. */
    event(event: RequestEvent, piece?: T): boolean;
}

/** One attempt as it was decided. */
export interface AttemptPlan {
    readonly attempt: string;
    readonly endpoint: string;
    readonly priority: number;
    /** Endpoint that keeps a copy of the generation as it grows. */
    readonly backUp: string | undefined;
    /** Index of the next piece, where the generation goes on from the copy that `endpoint` keeps. */
    readonly continueAt: number | undefined;
}

/** How attempts of one protocol are made. */
export interface AttemptRunner<T> {
    /** Starts an attempt and reports until the signal ends it. Reports `sending` before its first byte leaves. */
    start(plan: AttemptPlan, sink: AttemptSink<T>, signal: AbortSignal): void;
    resume(
        attempt: string,
        endpoint: string,
        generation: string,
        from: number,
        sink: AttemptSink<T>,
        signal: AbortSignal,
    ): void;
    cancel(attempt: string, endpoint: string, generation: string | undefined): void;
}

/** What a run is told of itself when it has ended. */
export interface RunEnd {
    readonly state: RequestState;
    readonly tokens: number;
    readonly err?: RequestError | undefined;
    /** Whether the answer that went out is its endpoint's own failure. */
    readonly failed: boolean;
    readonly endpoint?: string | undefined;
    /** Stall time: the sum of what its gaps lie above the target, in milliseconds. */
    readonly stallMs: number;
    readonly firstTokenMs?: number | undefined;
    /** Longest pause between two pieces, in milliseconds. */
    readonly longestGapMs: number;
}

/** What a run needs. */
export interface RunDeps<T> {
    readonly cfg: RequestCfg;
    readonly clock: Clock;
    readonly job: Job;
    readonly placement: Placement;
    readonly runner: AttemptRunner<T>;
    /** Why an attempt may not be begun; asked before each of them. */
    readonly withhold?: (attempt: string, endpoint: string) => Withheld | undefined;
    readonly reply: Reply<T>;
    readonly onGap: (ms: number) => void;
    readonly onDispatch: (kind: DispatchKind) => void;
    readonly onEnd: (end: RunEnd) => void;
}

/** A first retry waits up to this long, each further one up to twice as long as the one before. */
const RETRY_BASE_MS = 50;

/** How often it is asked whether a request is withheld while that is not certain: an end is found out within 250 ms. */
const MOST_SURE_ASKS = 6;

const REFUSE_CODE: { readonly [K in RefuseReason]: FailCode } = {
    noEndpoint: FailCode.NoEndpoint,
    queueFull: FailCode.Overloaded,
    waitTooLong: FailCode.WaitTooLong,
    limited: FailCode.EndpointsLimited,
    retryBudget: FailCode.Overloaded,
};

/** A running request. */
export class Run<T> {
    private state: RequestState;
    private piece: T | undefined;
    /** Whether the event at hand is an endpoint's refusal. */
    private refused = false;
    /** Whether it is that no connection to the endpoint came up. */
    private unreachable = false;
    private connection: AbortController | undefined;
    private placedAt: string | undefined;
    private priority = 0;
    private readonly startedAt: number;
    private deadlineTimer: NodeJS.Timeout;
    private retryTimer: NodeJS.Timeout | undefined;
    private lastTokenAt = 0;
    private firstTokenMs: number | undefined;
    private stallMs = 0;
    private longestGapMs = 0;
    private sinceProgress = { tokens: 0, sum: 0, max: 0 };

    constructor(private readonly deps: RunDeps<T>) {
        this.startedAt = deps.clock.now();
        const { state, actions } = createRequest(deps.cfg);
        this.state = state;
        this.deadlineTimer = this.untilDeadline();
        for (const action of actions) this.carryOut(action);
    }

    /** Whether it has ended. */
    get ended(): boolean {
        return this.state.phase === Phase.Ended;
    }

    /** Looks at the time anew, after the host was suspended: a deadline that has passed ends the request at once. */
    woke(): void {
        clearTimeout(this.deadlineTimer);
        if (this.deps.clock.now() >= this.deps.cfg.deadline) this.event({ kind: "deadline" });
        else this.deadlineTimer = this.untilDeadline();
    }

    /** Its answer is read on after it was held back for its caller: that pause was not its endpoint's. */
    readOn(): void {
        this.lastTokenAt = this.deps.clock.now();
    }

    private untilDeadline(): NodeJS.Timeout {
        const leftMs = Math.max(0, this.deps.cfg.deadline - this.deps.clock.now());
        return setTimeout(() => this.event({ kind: "deadline" }), leftMs);
    }

    /** Whether it waits for an endpoint. */
    get waiting(): boolean {
        return this.state.phase === Phase.Waiting;
    }

    /** Takes in an event, with the piece of an answer that belongs to it. */
    event(event: RequestEvent, piece?: T): void {
        this.piece = piece;
        this.refused = event.kind === "endpointRefused";
        this.unreachable = event.kind === "lost" && event.cause === "connect";
        const { state, actions } = step(this.state, event);
        this.state = state;
        for (const action of actions) this.carryOut(action);
    }

    private carryOut(action: RequestAction): void {
        const handler = this.actions[action.kind] as (action: RequestAction) => void;
        handler(action);
    }

    private readonly actions: {
        readonly [K in RequestAction["kind"]]: (action: Extract<RequestAction, { kind: K }>) => void;
    } = {
        admit: ({ avoid, retry, neverLeft }) => {
            // An endpoint that has no room and says so has not failed: it must not be ejected for it.
            this.leave(neverLeft ? "unreachable" : this.refused ? "refused" : "failed");
            // What never left costs no endpoint anything: it is neither a retry nor in need of a pause.
            if (!retry || neverLeft) return this.submit(avoid, false);
            // Full jitter: requests that lost the same endpoint do not all come back at one instant.
            const most = RETRY_BASE_MS * 2 ** (this.state.attempts - 1);
            this.retryTimer = setTimeout(() => this.submit(avoid, true), Math.random() * most);
        },
        dispatch: action => this.dispatch(action, MOST_SURE_ASKS),
        admitCopy: ({ cause }) => {
            this.deps.placement.continueOn(this.deps.job.id, !BLAMELESS.has(cause), this.whenPlaced());
        },
        resume: ({ attempt, endpoint, generation, from }) => {
            this.deps.onDispatch("resume");
            this.deps.runner.resume(attempt, endpoint, generation, from, ...this.connect(attempt));
        },
        cancel: ({ attempt, endpoint, generation }) => {
            this.connection?.abort();
            if (this.state.record.sent.includes(attempt)) this.deps.runner.cancel(attempt, endpoint, generation);
        },
        forward: ({ index }) => {
            this.measureToken(index);
            this.deps.reply.forward(this.piece!);
        },
        dropHeld: () => this.deps.reply.drop(),
        complete: ({ tokens, failed = false }) => {
            // An endpoint that fails at once looks idle: taken for good answers, its failures would keep it in use.
            this.leave(failed ? "failed" : "whole");
            this.deps.reply.finish(this.piece, tokens);
            this.end(undefined, failed);
        },
        fail: ({ err }) => {
            this.deps.placement.withdraw(this.deps.job.id);
            // An endpoint that said nothing until the deadline has failed; one that was answering has not.
            const silent = err.code === FailCode.DeadlinePassed && !this.state.tokenSeen;
            const outcome = this.unreachable ? "unreachable" : OUTCOME_OF[err.code] ?? "failed";
            this.leave(silent ? "failed" : outcome);
            this.deps.reply.fail(err);
            this.end(err);
        },
    };

    /** Begins an attempt, unless its request is withheld; where that is not certain yet, it is asked again. */
    private dispatch(action: Extract<RequestAction, { kind: "dispatch" }>, asks: number): void {
        const { attempt, endpoint, backUp, continueAt } = action;
        const withheld = this.deps.withhold?.(attempt, endpoint);
        if (withheld?.sureMs && asks > 0) {
            this.retryTimer = setTimeout(() => this.dispatch(action, asks - 1), withheld.sureMs);
            return;
        }
        // What is not certain by then is no ground to refuse: of calls that many send alike, others break off all the time.
        if (withheld && !withheld.sureMs) return this.event({ kind: "withheld", ...withheld });
        const again = continueAt === undefined ? "retry" : "continue";
        this.deps.onDispatch(this.state.attempts === 1 ? "first" : again);
        const plan = { attempt, endpoint, priority: this.priority, backUp, continueAt };
        this.deps.runner.start(plan, ...this.connect(attempt));
    }

    /** Asks the decisions for an endpoint. */
    private submit(avoid: readonly string[], retry: boolean): void {
        this.deps.placement.submit(this.deps.job, avoid, retry, this.whenPlaced());
    }

    private whenPlaced(): Placed {
        return {
            onDispatch: (endpoint, priority, backUp) => {
                this.placedAt = endpoint;
                this.priority = priority;
                this.event({ kind: "admitted", endpoint, backUp });
            },
            onRefuse: (reason, detail, retryAfterMs) => {
                this.event({ kind: "notAdmitted", code: REFUSE_CODE[reason], detail, retryAfterMs });
            },
        };
    }

    /** A new connection for an attempt: its sink goes quiet when a newer connection takes the attempt over. */
    private connect(attempt: string): [AttemptSink<T>, AbortSignal] {
        this.connection?.abort();
        const connection = new AbortController();
        this.connection = connection;
        const event = (event: RequestEvent, piece?: T): boolean => {
            const before = this.state.attempt;
            if (this.connection !== connection || before?.id !== attempt) return false;
            this.event(event, piece);
            return this.state.attempt !== before;
        };
        return [{ event }, connection.signal];
    }

    private measureToken(index: number): void {
        const now = this.deps.clock.now();
        if (index === 0) this.firstTokenMs = now - this.startedAt;
        else {
            const gap = now - this.lastTokenAt;
            this.deps.onGap(gap);
            this.longestGapMs = Math.max(this.longestGapMs, gap);
            this.stallMs += Math.max(0, gap - this.deps.job.policy.gapTargetMs);
            this.sinceProgress.tokens += 1;
            this.sinceProgress.sum += gap;
            this.sinceProgress.max = Math.max(this.sinceProgress.max, gap);
        }
        this.lastTokenAt = now;
        if (isProgressDue(index + 1)) this.reportProgress(index + 1);
    }

    private reportProgress(produced: number): void {
        const { tokens, sum, max } = this.sinceProgress;
        this.sinceProgress = { tokens: 0, sum: 0, max: 0 };
        this.deps.placement.progress(
            this.deps.job.id,
            produced * this.tokensPerPiece,
            tokens === 0 ? 0 : sum / tokens,
            max,
        );
    }

    private leave(outcome: JobOutcome): void {
        if (this.placedAt === undefined) return;
        this.placedAt = undefined;
        const produced = (this.state.attempt?.next ?? 0) * this.tokensPerPiece;
        this.deps.placement.ended(this.deps.job.id, outcome, produced);
    }

    private get tokensPerPiece(): number {
        return this.deps.job.tokensPerPiece ?? 1;
    }

    private end(err: RequestError | undefined, failed = false): void {
        clearTimeout(this.deadlineTimer);
        clearTimeout(this.retryTimer);
        // A whole answer's stream ends by itself in a moment, and its connection can be used again; only others are cut.
        if (err) this.connection?.abort();
        // Nor is anything of it kept while its caller still reads.
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

/** Losses that are not held against the endpoint: it was reclaimed, or cut off what its caller did not read. */
const BLAMELESS: ReadonlySet<LossCause> = new Set(["reclaimed", "unread"]);

/** What a failure says of its endpoint, where it does not say that the endpoint failed. */
const OUTCOME_OF: Partial<Record<FailCode, "cancelled" | "refused">> = {
    [FailCode.CallerGone]: "cancelled",
    [FailCode.DeadlinePassed]: "cancelled",
    [FailCode.EndpointRefused]: "refused",
    [FailCode.Quarantined]: "cancelled",
    [FailCode.OnTrial]: "cancelled",
    [FailCode.MemoryFull]: "cancelled",
    [FailCode.CallerUnread]: "cancelled",
};
