/**
 * Lets the shares of announced limits follow the callers: a host that has to refuse requests for the limits of endpoints asks other
 * hosts to lend it what they do not use. The rules stand in `limit-loans` and `limit-demand` of the package `policy`.
 *
 *     a --limitAsk (what it lacks)--> some hosts, each of which lends what it can spare, for a time
 *     b --limitLend (what it lends)--> a
 *     a --limitReturn (a loan that it no longer uses)--> b
 *     b, after it has started: --limitReset (what it lent in an earlier life is over)--> all that it hears of
 *
 * @module
 */
import type { LimitShortfall } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import type { Placement } from "../endpoints/placement.js";
import type { Log } from "../runtime/log.js";
import { randomSample } from "../runtime/random-sample.js";
import { repeat } from "../runtime/repeat.js";
import { type LimitPeerMessage, MAX_ITEMS } from "./peer-messages.js";

/** Dependencies of {@link LimitLending}. */
export interface LimitLendingDeps {
    readonly name: string;
    readonly clock: Clock;
    readonly log: Log;
    readonly signal: AbortSignal;
    readonly placements: readonly Placement[];
    /** Live hosts of the scope, including this one. */
    live(): readonly string[];
    send(names: readonly string[], message: LimitPeerMessage): void;
}

/** Interval at which a host asks for what it lacks, and returns what it does not use. */
const INTERVAL_MS = 250;
/** How many hosts are asked at a time; the next time others are. */
const ASKED_HOSTS = 16;
/** A loan that arrives this long after it was asked for is returned: others were asked meanwhile. */
const ANSWER_TIMEOUT_MS = 1_000;
/** A host that starts uses no share of its own for this long; meanwhile it tells its peers that its earlier loans are over. */
const RESET_MS = 3_000;
/** Loans are logged at most this often. */
const LOG_INTERVAL_MS = 1_000;

const NOTHING_MOVED = { asked: 0, borrowed: 0, lent: 0, returned: 0 };

/** Asks, lends and returns for this host. */
export class LimitLending {
    private questions = 0;
    /** When each question was asked, by its number. */
    private readonly askedAt = new Map<string, number>();
    private readonly startedAt: number;
    /** Peers that were told that this host has started. */
    private readonly told = new Set<string>();
    /** Requests within the limits' spans that were asked for, borrowed, lent and returned since the last log line. */
    private moved = NOTHING_MOVED;
    private loggedAt = -Infinity;

    constructor(private readonly deps: LimitLendingDeps) {
        this.startedAt = deps.clock.now();
        repeat(() => this.tick(), () => INTERVAL_MS, deps.signal);
    }

    private tick(): void {
        const now = this.deps.clock.now();
        for (const [question, at] of this.askedAt) {
            if (now - at >= ANSWER_TIMEOUT_MS) this.askedAt.delete(question);
        }
        if (now - this.startedAt < RESET_MS) this.reset();
        this.returnUnused();
        const wants = this.deps.placements.flatMap(placement => placement.limitShortfalls()).slice(0, MAX_ITEMS);
        if (wants.length > 0) this.ask(wants, now);
        this.logMoved(now);
    }

    private ask(wants: readonly LimitShortfall[], now: number): void {
        const { name } = this.deps;
        const hosts = randomSample(this.deps.live().filter(other => other !== name), ASKED_HOSTS);
        if (hosts.length === 0) return;
        this.questions += 1;
        const question = `${name}/${this.questions}`;
        this.askedAt.set(question, now);
        const each = wants.map(want => ({ ...want, count: Math.ceil(want.count / hosts.length) }));
        this.deps.send(hosts, { kind: "limitAsk", question, wants: each });
        this.count("asked", wants);
    }

    private reset(): void {
        const untold = this.deps.live().filter(other => other !== this.deps.name && !this.told.has(other));
        if (untold.length === 0) return;
        for (const other of untold) this.told.add(other);
        this.deps.send(untold, { kind: "limitReset" });
    }

    private returnUnused(): void {
        for (const placement of this.deps.placements) {
            for (const { endpoint, loan } of placement.endUnusedLoans()) {
                this.sendBack(loan.id, [endpoint]);
                this.count("returned", [loan]);
            }
        }
    }

    /** Returns loans to the host that lent them, which stands last in their id. */
    private sendBack(id: string, endpoints: readonly string[]): void {
        this.deps.send([lenderOf(id)], { kind: "limitReturn", id, endpoints });
    }

    /** Handles a message of a peer. */
    receive(from: string, message: LimitPeerMessage): void {
        const handler = this.handlers[message.kind] as (from: string, message: LimitPeerMessage) => void;
        handler(from, message);
    }

    private readonly handlers: {
        readonly [K in LimitPeerMessage["kind"]]: (
            from: string,
            message: Extract<LimitPeerMessage, { kind: K }>,
        ) => void;
    } = {
        limitAsk: (from, { question, wants }) => {
            const id = loanId(question, this.deps.name);
            const loans = wants.flatMap(want => {
                const count = this.deps.placements.reduce(
                    (lent, placement) => lent > 0 ? lent : placement.lend(id, want),
                    0,
                );
                return count > 0 ? [{ ...want, count }] : [];
            });
            if (loans.length > 0) this.deps.send([from], { kind: "limitLend", question, loans });
            this.count("lent", loans);
        },
        limitLend: (from, { question, loans }) => {
            const id = loanId(question, from);
            const askedAt = this.askedAt.get(question);
            const unused = loans.filter(loan =>
                askedAt === undefined || !this.deps.placements.some(placement => placement.borrow(id, loan, askedAt))
            );
            if (unused.length > 0) this.sendBack(id, unused.map(({ endpoint }) => endpoint));
            this.count("borrowed", loans.filter(loan => !unused.includes(loan)));
        },
        limitReset: from => {
            for (const placement of this.deps.placements) placement.endLoansOf(id => lenderOf(id) === from);
        },
        limitReturn: (_from, { id, endpoints }) => {
            for (const endpoint of endpoints) {
                for (const placement of this.deps.placements) placement.takeBack(id, endpoint);
            }
        },
    };

    private count(what: keyof typeof NOTHING_MOVED, shares: readonly { readonly count: number }[]): void {
        const requests = shares.reduce((sum, { count }) => sum + count, 0);
        this.moved = { ...this.moved, [what]: this.moved[what] + requests };
    }

    private logMoved(now: number): void {
        const hasMoved = Object.values(this.moved).some(requests => requests > 0);
        if (!hasMoved || now - this.loggedAt < LOG_INTERVAL_MS) return;
        this.loggedAt = now;
        this.deps.log.info(this.moved, "limit_shares_moved");
        this.moved = NOTHING_MOVED;
    }
}

function loanId(question: string, lender: string): string {
    return `${question} ${lender}`;
}

function lenderOf(id: string): string {
    return id.slice(id.lastIndexOf(" ") + 1);
}
