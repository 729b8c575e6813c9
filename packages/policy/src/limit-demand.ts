/**
 * What a host needs of other hosts' shares of announced limits, and what it can spare of its own.
 *
 * Pure. Times are milliseconds on the scheduler's clock.
 *
 * @module
 */
import { currentLimitShare, isLimited, limitShare, limitSpanMs, type SharingHosts } from "./endpoint-limit.js";
import type { EndpointView } from "./endpoint.js";
import { type LimitLoan, loanedCount, loansOf } from "./limit-loans.js";
import type { SchedulerState } from "./scheduler-state.js";

/** Demand is judged by the last second, and projected onto a limit's span. */
const DEMAND_WINDOW_MS = 1_000;
/** Requests that have waited for this long count as demand. */
const DEMAND_WAIT_MS = 100;
/** A host keeps one in this many requests of its share for callers who come meanwhile, and one at least. */
const RESERVE_DIVISOR = 16;
/** How long a loan lasts, in spans of the limit. */
const LOAN_SPANS = 3;

/** What a host lacks of an endpoint's limit. */
export interface LimitShortfall {
    readonly endpoint: string;
    readonly perS: number;
    /** Requests within a span. */
    readonly count: number;
}

/** A loan with its endpoint. */
export interface BorrowedLoan {
    readonly endpoint: string;
    readonly loan: LimitLoan;
}

/** How long a loan lasts, in milliseconds. */
export function loanMs(perS: number): number {
    return LOAN_SPANS * limitSpanMs(perS);
}

/** Records that a request was refused because all its endpoints limit this host. */
export function recordLimitRefusal(state: SchedulerState, model: string, now: number): SchedulerState {
    const recent = recentRefusals(state, model, now);
    return { ...state, refusedForLimits: new Map(state.refusedForLimits).set(model, [...recent, now]) };
}

function recentRefusals({ refusedForLimits }: SchedulerState, model: string, now: number): readonly number[] {
    return (refusedForLimits.get(model) ?? []).filter(at => now - at < DEMAND_WINDOW_MS);
}

/**
 * What this host lacks of the limits of endpoints for whose models it had to refuse requests lately, or lets some wait.
 *
 * @example
 * ```ts
 * limitShortfalls(state, now); // [{ endpoint: "e1", perS: 60, count: 40 }]
 * ```
 */
export function limitShortfalls(state: SchedulerState, now: number): readonly LimitShortfall[] {
    const shortfalls: LimitShortfall[] = [];
    const waiting = state.waiting.filter(({ since }) => now - since >= DEMAND_WAIT_MS);
    const models = new Set([...state.refusedForLimits.keys(), ...waiting.map(({ job }) => job.group.model)]);
    for (const model of models) {
        const refused = recentRefusals(state, model, now).length;
        const held = waiting.filter(({ job }) => job.group.model === model).length;
        if (refused + held === 0) continue;
        const limited = state.endpoints.values().filter(view => view.cfg.models.includes(model) && isLimited(view));
        for (const { cfg: { id }, announcedLimit } of limited) {
            const perS = announcedLimit!.limitPerS!;
            const inSpan = refused * limitSpanMs(perS) / DEMAND_WINDOW_MS + held;
            const count = Math.ceil(inSpan / limited.length);
            shortfalls.push({ endpoint: id, perS, count });
        }
    }
    return shortfalls;
}

/** How long a host waits for loans before it takes the shares of others for used up, and how long a loan shows that they are not. */
const LOANS_EXPECTED_MS = 500;
const LOAN_NEWS_MS = 1_000;

/**
 * Whether other hosts probably have unused shares of the limits for which this host refuses requests of a model: the shortage has just
 * begun, or one of them has lent a part lately.
 */
export function mayBorrow(state: SchedulerState, model: string, now: number): boolean {
    if (state.fleet.live <= 1) return false;
    const [first = now] = recentRefusals(state, model, now);
    if (now - first < LOANS_EXPECTED_MS) return true;
    return [...state.loans].some(([endpoint, { borrowed }]) =>
        state.endpoints.get(endpoint)?.cfg.models.includes(model) === true
        && borrowed.some(({ from }) => now - from < LOAN_NEWS_MS)
    );
}

/** Requests within a span that this host neither uses nor will probably use, of its share with its loans. */
function unusedShare(view: EndpointView, times: readonly number[], hosts: SharingHosts, now: number): number {
    const perS = view.announcedLimit!.limitPerS!;
    const spanMs = limitSpanMs(perS);
    const share = currentLimitShare(view.cfg.id, perS, hosts, now);
    const used = times.filter(at => now - at < spanMs).length;
    const projected = times.filter(at => now - at < DEMAND_WINDOW_MS).length * spanMs / DEMAND_WINDOW_MS;
    const reserve = Math.max(1, Math.ceil(share / RESERVE_DIVISOR));
    return Math.max(0, Math.floor(share - Math.max(used, projected) - reserve));
}

/**
 * Requests within a span that this host can lend to others: of its own share only, as what it has borrowed ends at another time. Nothing
 * if it has lent a part under this id already.
 *
 * @param perS The limit that the borrower knows; another one than this host knows gets nothing.
 */
export function lendableShare(
    state: SchedulerState,
    endpoint: string,
    perS: number,
    id: string,
    now: number,
): number {
    const view = state.endpoints.get(endpoint);
    const { lent } = loansOf(state.loans, endpoint);
    if (view?.announcedLimit?.limitPerS !== perS || lent.some(loan => loan.id === id)) return 0;
    const own = limitShare(endpoint, perS, state.fleet, now) - loanedCount(lent, perS, now);
    return Math.max(0, Math.min(own, unusedShare(view, state.letIn.get(endpoint) ?? [], state, now)));
}

/** Loans that this host has had for a span and does not use. */
export function unusedLoans(state: SchedulerState, now: number): readonly BorrowedLoan[] {
    return [...state.loans].flatMap(([endpoint, { borrowed }]) => {
        const view = state.endpoints.get(endpoint);
        const perS = view?.announcedLimit?.limitPerS;
        if (!view || perS === undefined) return [];
        let unused = unusedShare(view, state.letIn.get(endpoint) ?? [], state, now);
        return borrowed.flatMap((loan): BorrowedLoan[] => {
            const isSettled = now - loan.from >= limitSpanMs(perS);
            if (loan.perS !== perS || now >= loan.until || !isSettled || loan.count > unused) return [];
            unused -= loan.count;
            return [{ endpoint, loan }];
        });
    });
}
