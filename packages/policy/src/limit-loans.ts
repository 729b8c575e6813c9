/**
 * Loans by which hosts lend each other unused parts of their shares of an announced limit, so that the shares follow the demand.
 *
 * A host whose requests are refused for a limit asks others. A lender gives up a part at once, before the borrower hears of it, and
 * takes it back a span of the limit after the borrower has stopped using it: so all hosts together stay within the limit, also if
 * messages are lost or a host is cut off. A loan ends by itself; a borrower that no longer needs it returns it sooner.
 *
 * Pure. Times are milliseconds on the scheduler's clock.
 *
 * @module
 */

/** A part of a share that this host has lent or borrowed. */
export interface LimitLoan {
    /** Name of the loan, the same at the lender and the borrower. */
    readonly id: string;
    /** The limit for which the part was drawn. The loan is void when the endpoint announces another. */
    readonly perS: number;
    /** Requests within a span of the limit. */
    readonly count: number;
    /** Number of hosts among which this host divided the limit. When that grows, a borrowed part may be another host's. */
    readonly hosts: number;
    readonly from: number;
    readonly until: number;
}

/** The loans of one endpoint's limit. */
export interface EndpointLoans {
    readonly lent: readonly LimitLoan[];
    readonly borrowed: readonly LimitLoan[];
}

/** Loans by endpoint. */
export type LimitLoans = ReadonlyMap<string, EndpointLoans>;

/** Which side of a loan a host is on. */
export type LoanSide = keyof EndpointLoans;

const NO_LOANS: EndpointLoans = { lent: [], borrowed: [] };

/** Returns the loans of an endpoint. */
export function loansOf(loans: LimitLoans, endpoint: string): EndpointLoans {
    return loans.get(endpoint) ?? NO_LOANS;
}

/** Requests within a span that are lent, or borrowed, now. */
export function loanedCount(loans: readonly LimitLoan[], perS: number, now: number): number {
    return loans.reduce((sum, loan) => loan.perS === perS && now < loan.until ? sum + loan.count : sum, 0);
}

/** Adds a loan, and drops those that have ended. */
export function addLoan(loans: LimitLoans, endpoint: string, side: LoanSide, loan: LimitLoan, now: number): LimitLoans {
    const known = loansOf(loans, endpoint);
    const current = known[side].filter(({ id, until }) => id !== loan.id && now < until);
    return new Map(loans).set(endpoint, { ...known, [side]: [...current, loan] });
}

/** Ends all borrowed loans whose ids match. */
export function endBorrowed(loans: LimitLoans, isEnded: (id: string) => boolean): LimitLoans {
    return new Map(
        [...loans].map(([endpoint, { lent, borrowed }]) =>
            [endpoint, { lent, borrowed: borrowed.filter(({ id }) => !isEnded(id)) }] as const
        ),
    );
}

/** Ends a loan at a time, unless it ends sooner. */
export function endLoan(loans: LimitLoans, endpoint: string, side: LoanSide, id: string, at: number): LimitLoans {
    const known = loansOf(loans, endpoint);
    const ended = known[side].map(loan => loan.id === id ? { ...loan, until: Math.min(loan.until, at) } : loan);
    return new Map(loans).set(endpoint, { ...known, [side]: ended });
}
