/**
 * Drives the scheduler, which decides where requests run. The scheduler is a pure function; a {@link Placement} holds its state,
 * passes it events and the time, and carries out its actions.
 *
 * @module
 */
import {
    type AnnouncedLimit,
    type BorrowedLoan,
    canContinue,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    endpointSlowness,
    isLimited,
    isResting,
    type Job,
    type JobOutcome,
    type LeavingSource,
    lendableShare,
    type LimitShortfall,
    limitShortfalls,
    limitSpanMs,
    type LoadReport,
    loanMs,
    maySend,
    type RefuseReason,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerOptions,
    type SchedulerState,
    unusedLoans,
    type Variant,
} from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";

/** Receives the decision on one request. */
export interface PlacementListener {
    /** @param backUp Endpoint that is to keep a copy of the request, if there is one. */
    onDispatch(endpoint: string, priority: number, backUp: string | undefined): void;
    onRefuse(reason: RefuseReason, detail: string, retryAfterMs: number): void;
}

/** The scheduler's action that asks an endpoint's owner for advice. */
export type OwnerQueryAction = Extract<SchedulerAction, { kind: "ask" }>;

/** The scheduler's action that copies a running request to another endpoint. */
export type CopyAction = Extract<SchedulerAction, { kind: "copy" }>;

/** Interval of the scheduler's ticks while requests wait. */
const TICK_MS = 50;

/** The scheduler of one host for one kind of service, with its timers and listeners. */
export class Placement {
    private state: SchedulerState;
    /** Listeners of the jobs that await a decision, by job. */
    private readonly listeners = new Map<string, PlacementListener>();
    private readonly timer: NodeJS.Timeout;
    /** Resolvers of the evacuations that await a plan, by job. */
    private readonly pendingEvacuations = new Map<string, (plan: CopyAction | undefined) => void>();
    private queryOwner: (action: OwnerQueryAction) => void = () => undefined;
    private onLeaving: () => void = () => undefined;

    constructor(
        signal: AbortSignal,
        private readonly clock: Clock,
        variant: Variant = DEFAULT_VARIANT,
        seed?: number,
        options?: SchedulerOptions,
    ) {
        this.state = createScheduler(variant, seed, options);
        this.timer = setInterval(() => {
            const { waiting, asked, askedForStandby } = this.state;
            if (waiting.length + asked.size + askedForStandby.size > 0) this.handle({ kind: "tick" });
        }, TICK_MS);
        signal.addEventListener("abort", () => clearInterval(this.timer), { once: true });
    }

    /** The scheduler's state, read-only. */
    get view(): SchedulerState {
        return this.state;
    }

    setEndpoints(endpoints: readonly EndpointCfg[]): void {
        this.handle({ kind: "endpoints", endpoints });
    }

    /** Records whether an endpoint is leaving according to one source; returns whether that source's statement changed. */
    setLeaving(endpoint: string, source: LeavingSource, leaving: boolean): boolean {
        const known = this.state.endpoints.get(endpoint);
        if (!known || known.leavingBy.includes(source) === leaving) return false;
        this.handle({ kind: "leaving", endpoint, source, leaving });
        return true;
    }

    report(endpoint: string, report: LoadReport): void {
        this.handle({ kind: "report", endpoint, report });
    }

    /** Sets the function that sends queries to owners. Without it queries stay unanswered, and the scheduler decides alone. */
    setOwnerQuery(onAsk: (action: OwnerQueryAction) => void): void {
        this.queryOwner = onAsk;
    }

    /** Sets the function that is called when an endpoint is found to be leaving, by any source. */
    setLeavingListener(onLeaving: () => void): void {
        this.onLeaving = onLeaving;
    }

    /**
     * Requests an endpoint for a job. The listener is called exactly once, at once or later.
     *
     * @param avoid Endpoints that must not be chosen.
     * @param retry Whether an earlier attempt of the job has failed.
     */
    submit(job: Job, avoid: readonly string[], retry: boolean, placed: PlacementListener): void {
        this.listeners.set(job.id, placed);
        this.handle({ kind: "arrive", job, avoid, retry });
    }

    /**
     * Requests the endpoint that holds the request's copy, to continue there. The listener is called at once.
     *
     * @param failed Whether the loss of the running attempt is held against its endpoint.
     */
    continueOnStandby(job: string, failed: boolean, placed: PlacementListener): void {
        // Its endpoint is gone, so there is nothing left to copy from.
        this.resolveEvacuation(job, undefined);
        this.listeners.set(job, placed);
        this.handle({ kind: "continue", job, failed });
    }

    /** Where to copy a request whose endpoint is leaving; undefined if no endpoint has room. */
    planEvacuation(job: string): Promise<CopyAction | undefined> {
        return new Promise(resolve => {
            this.pendingEvacuations.set(job, resolve);
            this.handle({ kind: "evacuate", job });
        });
    }

    /** Whether a running request could continue from a copy now. */
    canContinue(job: string): boolean {
        return canContinue(this.state, job, this.clock.now());
    }

    /**
     * Whether this host may send a control call to an endpoint now: not while the endpoint asks for a pause. If the endpoint states
     * a limit, the call counts against it, because the limit covers everything that it is sent.
     */
    admitsControlCall(endpoint: string): boolean {
        const view = this.state.endpoints.get(endpoint);
        const now = this.clock.now();
        if (!view) return true;
        if (!isLimited(view)) return !isResting(view, now);
        if (!maySend(this.state, view, now)) return false;
        this.countAdmission(endpoint);
        return true;
    }

    /** Estimated slowness of an endpoint, as a factor of the mean of its kind; undefined if it is not known to differ from it. */
    slownessOf(endpoint: string): number | undefined {
        const view = this.state.endpoints.get(endpoint);
        const log = view ? endpointSlowness(this.state, view, this.clock.now()).logRatio : 0;
        return log === 0 ? undefined : Number(Math.exp(log).toFixed(2));
    }

    /** The copy of a request failed. */
    copyFailed(job: string): void {
        this.handle({ kind: "copyLost", job });
    }

    /** No connection to an endpoint could be established. */
    unreachable(endpoint: string): void {
        this.handle({ kind: "unreachable", endpoint });
    }

    /** An endpoint has stated its limit, or that it has none. */
    applyAnnouncedLimit(endpoint: string, said: AnnouncedLimit): void {
        this.handle({ kind: "said", endpoint, said });
    }

    /** An endpoint asked this host to send it nothing for a while. */
    pauseFor(endpoint: string, forMs: number): void {
        this.handle({ kind: "rest", endpoint, until: this.clock.now() + forMs });
    }

    /**
     * Treats an endpoint as possibly restarted, and therefore as cold.
     *
     * @param forMs How long the suspicion holds; `undefined` withdraws it.
     */
    suspectRestart(endpoint: string, forMs: number | undefined): void {
        const until = forMs === undefined ? undefined : this.clock.now() + forMs;
        this.handle({ kind: "doubt", endpoint, until });
    }

    /** What this host lacks of the limits of endpoints. */
    limitShortfalls(): readonly LimitShortfall[] {
        return limitShortfalls(this.state, this.clock.now());
    }

    /**
     * Lends a part of this host's share of an endpoint's limit, as far as this host does not need it; returns how many requests within
     * a span it has lent.
     */
    lend(id: string, { endpoint, perS, count }: LimitShortfall): number {
        const now = this.clock.now();
        const lent = Math.min(count, lendableShare(this.state, endpoint, perS, id, now));
        if (lent <= 0) return 0;
        // The borrower counts from its question on, and the last requests that it sends count for one more span.
        const until = now + loanMs(perS) + limitSpanMs(perS);
        this.handle({
            kind: "loan",
            endpoint,
            side: "lent",
            loan: { id, perS, count: lent, hosts: this.state.fleet.most, from: now, until },
        });
        return lent;
    }

    /** Uses a part of another host's share that was asked for at `askedAt`; returns whether this host knows the endpoint's limit. */
    borrow(id: string, { endpoint, perS, count }: LimitShortfall, askedAt: number): boolean {
        if (this.state.endpoints.get(endpoint)?.announcedLimit?.limitPerS !== perS) return false;
        const { most: hosts } = this.state.fleet;
        const loan = { id, perS, count, hosts, from: this.clock.now(), until: askedAt + loanMs(perS) };
        this.handle({ kind: "loan", endpoint, side: "borrowed", loan });
        return true;
    }

    /** Stops using loans that this host does not need, and returns them. */
    endUnusedLoans(): readonly BorrowedLoan[] {
        const now = this.clock.now();
        const unused = unusedLoans(this.state, now);
        for (const { endpoint, loan: { id } } of unused) {
            this.handle({ kind: "loanEnds", endpoint, side: "borrowed", id, at: now });
        }
        return unused;
    }

    /** Stops using what a lender has lent that has restarted since. */
    endLoansOf(isTheirs: (id: string) => boolean): void {
        this.handle({ kind: "lenderRestarted", isTheirs });
    }

    /** Takes back what a borrower has stopped using, once its last requests no longer count. */
    takeBack(id: string, endpoint: string): void {
        const perS = this.state.endpoints.get(endpoint)?.announcedLimit?.limitPerS ?? 0;
        this.handle({ kind: "loanEnds", endpoint, side: "lent", id, at: this.clock.now() + limitSpanMs(perS) });
    }

    /** Counts a request that is sent to an endpoint against its bounds. */
    countAdmission(endpoint: string): void {
        this.handle({ kind: "letIn", endpoint });
    }

    /** Whether the load of an endpoint is limited while it is cold. */
    limitsWhileCold(endpoint: string): boolean {
        return this.state.endpoints.get(endpoint)?.cfg.cold !== undefined;
    }

    /** An endpoint's incarnation has ended, and its copies with it. */
    endIncarnation(endpoint: string): void {
        this.handle({ kind: "lifeOver", endpoint });
    }

    /** Withdraws a waiting request. */
    withdraw(job: string): void {
        this.listeners.delete(job);
        this.handle({ kind: "withdraw", job });
    }

    progress(job: string, produced: number, meanGapMs: number, maxGapMs: number): void {
        this.handle({ kind: "progress", job, produced, meanGapMs, maxGapMs });
    }

    ended(job: string, outcome: JobOutcome, produced: number): void {
        this.resolveEvacuation(job, undefined);
        this.handle({ kind: "ended", job, outcome, produced });
    }

    private resolveEvacuation(job: string, plan: CopyAction | undefined): void {
        const resolve = this.pendingEvacuations.get(job);
        this.pendingEvacuations.delete(job);
        resolve?.(plan);
    }

    /** Passes events to the scheduler that follow from messages of peers. */
    applyEvents(events: readonly SchedulerEvent[]): void {
        for (const event of events) this.handle(event);
    }

    private handle(event: SchedulerEvent): void {
        const { state, actions } = decide(this.state, event, this.clock.now());
        const isLeavingNews = event.kind === "leaving" && event.leaving && state !== this.state;
        this.state = state;
        for (const action of actions) this.carryOut(action);
        if (isLeavingNews) this.onLeaving();
    }

    private carryOut(action: SchedulerAction): void {
        if (action.kind === "ask") {
            this.queryOwner(action);
            return;
        }
        if (action.kind === "copy" || action.kind === "noCopy") {
            this.resolveEvacuation(action.job, action.kind === "copy" ? action : undefined);
            return;
        }
        const listener = this.listeners.get(action.job);
        this.listeners.delete(action.job);
        if (action.kind === "dispatch") listener?.onDispatch(action.endpoint, action.priority, action.backUp);
        else listener?.onRefuse(action.reason, action.detail, action.retryAfterMs);
    }
}

/** Whether an endpoint is leaving, is no longer declared, or is declared without models and so takes no new work. */
export function isLeaving(incarnation: string, ...placements: readonly Placement[]): boolean {
    const views = placements.flatMap(({ view }) => view.endpoints.get(incarnation) ?? []);
    return views.every(({ leavingBy, cfg }) => leavingBy.length > 0 || cfg.models.length === 0);
}
