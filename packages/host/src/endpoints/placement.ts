/**
 * The shell around the decisions on where requests run: keeps their state, hands in time, carries out what they ask.
 *
 * @module
 */
import {
    canGoOn,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    isLimited,
    isResting,
    type Job,
    type JobOutcome,
    knownSpeed,
    type LeavingSource,
    type LoadReport,
    maySend,
    type RefuseReason,
    type Said,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerOptions,
    type SchedulerState,
    type Variant,
} from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";

/** Told what was decided for a request. */
export interface Placed {
    onDispatch(endpoint: string, priority: number, backUp: string | undefined): void;
    onRefuse(reason: RefuseReason, detail: string, retryAfterMs: number): void;
}

/** A question to an endpoint's owner. */
export type OwnerQueryAction = Extract<SchedulerAction, { kind: "ask" }>;

/** A copy to be made. */
export type CopyAction = Extract<SchedulerAction, { kind: "copy" }>;

/** Waiting requests are looked at this often even when nothing happens. */
const TICK_MS = 50;

/** Decisions of one host for one kind of service. */
export class Placement {
    private state: SchedulerState;
    private readonly listeners = new Map<string, Placed>();
    private readonly timer: NodeJS.Timeout;
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
            const { waiting, asked, askedStandby } = this.state;
            if (waiting.length + asked.size + askedStandby.size > 0) this.handle({ kind: "tick" });
        }, TICK_MS);
        signal.addEventListener("abort", () => clearInterval(this.timer), { once: true });
    }

    /** The decisions' state, to be read only. */
    get view(): SchedulerState {
        return this.state;
    }

    setEndpoints(endpoints: readonly EndpointCfg[]): void {
        this.handle({ kind: "endpoints", endpoints });
    }

    /** Takes in a source's word on whether an endpoint is leaving; true if it was news. */
    setLeaving(endpoint: string, source: LeavingSource, leaving: boolean): boolean {
        const known = this.state.endpoints.get(endpoint);
        if (!known || known.leavingBy.includes(source) === leaving) return false;
        this.handle({ kind: "leaving", endpoint, source, leaving });
        return true;
    }

    report(endpoint: string, report: LoadReport): void {
        this.handle({ kind: "report", endpoint, report });
    }

    /** Who carries questions to owners; until then they go unanswered and are decided alone. */
    setOwnerQuery(onAsk: (action: OwnerQueryAction) => void): void {
        this.queryOwner = onAsk;
    }

    /** Who is told when an endpoint is leaving, by whatever source. */
    setLeavingListener(onLeaving: () => void): void {
        this.onLeaving = onLeaving;
    }

    /** Asks for an endpoint; the answer comes at once or later, once. */
    submit(job: Job, avoid: readonly string[], retry: boolean, placed: Placed): void {
        this.listeners.set(job.id, placed);
        this.handle({ kind: "arrive", job, avoid, retry });
    }

    /** Asks for the endpoint that keeps a request's copy; the answer comes at once. */
    continueOn(job: string, failed: boolean, placed: Placed): void {
        // Its endpoint has ended: there is nothing left to copy from.
        this.resolveEvacuation(job, undefined);
        this.listeners.set(job, placed);
        this.handle({ kind: "continue", job, failed });
    }

    /** Where a request whose endpoint is leaving is to be copied to; undefined where no endpoint has room. */
    planEvacuation(job: string): Promise<CopyAction | undefined> {
        return new Promise(resolve => {
            this.pendingEvacuations.set(job, resolve);
            this.handle({ kind: "evacuate", job });
        });
    }

    /** Whether a running request could go on from a copy now. */
    canGoOn(job: string): boolean {
        return canGoOn(this.state, job, this.clock.now());
    }

    /**
     * Whether a question of this host's own may go to an endpoint now: not while it wants rest; counted where it names a limit,
     * which is for all that it is sent.
     */
    mayAsk(endpoint: string): boolean {
        const view = this.state.endpoints.get(endpoint);
        const now = this.clock.now();
        if (!view) return true;
        if (!isLimited(view)) return !isResting(view, now);
        if (!maySend(this.state, view, now)) return false;
        this.handle({ kind: "letIn", endpoint });
        return true;
    }

    /** How slow an endpoint is taken to be, as a factor of the mean of its kind; undefined where it is not known to differ. */
    slownessOf(endpoint: string): number | undefined {
        const view = this.state.endpoints.get(endpoint);
        const log = view ? knownSpeed(this.state, view, this.clock.now()).log : 0;
        return log === 0 ? undefined : Number(Math.exp(log).toFixed(2));
    }

    /** The copy of a request could not be made. */
    copyLost(job: string): void {
        this.handle({ kind: "copyLost", job });
    }

    /** No connection to an endpoint came up. */
    unreachable(endpoint: string): void {
        this.handle({ kind: "unreachable", endpoint });
    }

    /** An endpoint has said something of itself. */
    said(endpoint: string, said: Said): void {
        this.handle({ kind: "said", endpoint, said });
    }

    /** An endpoint wants nothing from this host for a while. */
    pauseFor(endpoint: string, forMs: number): void {
        this.handle({ kind: "rest", endpoint, until: this.clock.now() + forMs });
    }

    /** An endpoint may have begun a later life, for so long; not any more where nothing is given. */
    suspectRestart(endpoint: string, forMs: number | undefined): void {
        const until = forMs === undefined ? undefined : this.clock.now() + forMs;
        this.handle({ kind: "doubt", endpoint, until });
    }

    /** Whether an endpoint is bounded while it is cold. */
    limitsWhileCold(endpoint: string): boolean {
        return this.state.endpoints.get(endpoint)?.cfg.cold !== undefined;
    }

    /** An endpoint's life is over, and its copies with it. */
    endLife(endpoint: string): void {
        this.handle({ kind: "lifeOver", endpoint });
    }

    /** Takes back a request that waits. */
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

    /** Takes in what the hall's hosts know of each other. */
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

/** Whether an endpoint is known to be leaving, or takes no new work for other reasons that were told. */
export function isLeaving(incarnation: string, ...placements: readonly Placement[]): boolean {
    const views = placements.flatMap(({ view }) => view.endpoints.get(incarnation) ?? []);
    return views.every(({ leavingBy, cfg }) => leavingBy.length > 0 || cfg.models.length === 0);
}
