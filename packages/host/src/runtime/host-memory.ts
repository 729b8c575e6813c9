/**
 * What this host holds for callers, endpoints and peers that read slowly, kept within a budget: the shell around the account
 * of the package `policy`. It carries out what the account decides, and tells of it.
 *
 * @module
 */
import {
    createAccount,
    firstToGiveUp,
    type HeldBytes,
    HeldKind,
    holdMore,
    isFull,
    isOverBudget,
    linkBytes,
    mayTakeIn,
    type MemoryAccount,
    readAheadBytes,
    totalHeld,
} from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import { CallMemory } from "./call-memory.js";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";

/** What the account of a host needs. */
export interface HostMemoryDeps {
    /** Undefined where the host's memory is not given: then nothing is decided by it. */
    readonly budgetBytes: number | undefined;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Sources that are held back are looked at this often while room comes free: a hundred such looks pass before an endpoint loses patience. */
const RESUME_DELAY_MS = 50;
/** Calls that are held back are logged one in this time. */
const LOG_INTERVAL_MS = 1_000;

/** The memory that one host holds for others. */
export class HostMemory {
    private account: MemoryAccount;
    private readonly calls = new Set<CallMemory>();
    private readonly links = new Map<number, number>();
    /** Calls whose sources are held back. */
    private readonly heldBack = new Set<CallMemory>();
    private wasFull = false;
    private isReliefScheduled = false;
    private resumeTimer: NodeJS.Timeout | undefined;
    private lastLoggedAt = -Infinity;
    private suppressedLogs = 0;
    /** Ends the link to a peer, with all that waits for it. */
    onCutLink: (link: number) => void = () => undefined;

    constructor(private readonly deps: HostMemoryDeps) {
        this.account = createAccount(deps.budgetBytes ?? Infinity);
        deps.metrics.watchHeld(() => this.held, deps.budgetBytes);
    }

    /** Whether the host's memory is given and decides. */
    get isBounded(): boolean {
        return this.deps.budgetBytes !== undefined;
    }

    /** What is held now. */
    get held(): HeldBytes {
        return this.account.held;
    }

    /** What a refusal or the end of a call says of the whole. */
    get state(): { readonly held: number; readonly budget: number | undefined } {
        return { held: Math.round(totalHeld(this.account)), budget: this.deps.budgetBytes };
    }

    /**
     * Begins to count what a call holds.
     *
     * @example
     * ```ts
     * const memory = host.memory.open("call-1");
     * if (!memory.takeIn(length)) refuse();
     * ```
     */
    open(req: string): CallMemory {
        const call: CallMemory = new CallMemory(req, this.deps.clock, {
            isBounded: this.isBounded,
            mayTakeIn: bytes => this.mayTakeIn(bytes),
            readAhead: () => readAheadBytes(this.account),
            change: (kind, bytes) => this.change(kind, bytes),
            setHeldBack: isHeldBack => this.setHeldBack(call, isHeldBack),
            close: () => {
                this.calls.delete(call);
                this.heldBack.delete(call);
            },
        });
        this.calls.add(call);
        return call;
    }

    /** How much may wait for one peer; undefined where nothing is decided by memory. */
    linkBytes(): number | undefined {
        return this.isBounded ? linkBytes(this.account) : undefined;
    }

    /** What waits on a link to a peer has changed. */
    setLink(link: number, bytes: number): void {
        const before = this.links.get(link) ?? 0;
        if (bytes === 0) this.links.delete(link);
        else this.links.set(link, bytes);
        this.change(HeldKind.Link, bytes - before);
    }

    private mayTakeIn(bytes: number): boolean {
        if (mayTakeIn(this.account, bytes)) return true;
        this.deps.metrics.countMemoryRefusal();
        return false;
    }

    private change(kind: HeldKind, bytes: number): void {
        if (bytes === 0) return;
        this.account = holdMore(this.account, kind, bytes);
        if (!this.isBounded) return;
        this.updateFull();
        if (bytes < 0) this.scheduleResume();
        else if (isOverBudget(this.account)) this.scheduleRelief();
    }

    private updateFull(): void {
        const full = isFull(this.account, this.wasFull);
        if (full === this.wasFull) return;
        this.wasFull = full;
        const { held } = this;
        this.deps.log.warn(
            { ...held, ...this.state, calls: this.calls.size },
            full ? "memory_full" : "memory_has_room",
        );
    }

    /** Not at once: whoever holds more may be within a step of its own. */
    private scheduleRelief(): void {
        if (this.isReliefScheduled) return;
        this.isReliefScheduled = true;
        queueMicrotask(() => {
            this.isReliefScheduled = false;
            this.relieve();
        });
    }

    /** Gives up what waits for peers, which is sent again, and then calls, until the rest is within the budget. */
    private relieve(): void {
        while (isOverBudget(this.account)) {
            const link = largestLink(this.links);
            if (link !== undefined) {
                this.setLink(link, 0);
                this.onCutLink(link);
                continue;
            }
            const call = firstToGiveUp([...this.calls].map(each => [each, each.holder] as const));
            if (!call) return;
            this.giveUp(call);
        }
    }

    private giveUp(call: CallMemory): void {
        const { req, held, ageMs, unreadBy, holder: { bytes, stuckMs } } = call;
        const { metrics, log } = this.deps;
        metrics.countGivenUp(unreadBy ?? "nobody");
        log.warn({
            req,
            bytes,
            body: held.body,
            answer: held.answer,
            unread: held.unread,
            unread_by: unreadBy,
            stuck_ms: Math.round(stuckMs),
            age_ms: Math.round(ageMs),
            ...this.state,
        }, "call_given_up");
        call.giveUp();
    }

    private setHeldBack(call: CallMemory, isHeldBack: boolean): void {
        if (!isHeldBack) return void this.heldBack.delete(call);
        if (this.heldBack.has(call)) return;
        this.heldBack.add(call);
        if (!this.isBounded) return;
        const now = this.deps.clock.now();
        if (now - this.lastLoggedAt < LOG_INTERVAL_MS) {
            this.suppressedLogs += 1;
            return;
        }
        this.lastLoggedAt = now;
        const { req, ageMs, holder: { bytes } } = call;
        const more = this.suppressedLogs;
        this.suppressedLogs = 0;
        this.deps.log.info({ req, bytes, age_ms: Math.round(ageMs), more, ...this.state }, "call_held_back");
    }

    /** Room that others leave lets sources go on whose own readers take nothing. */
    private scheduleResume(): void {
        if (this.resumeTimer || this.heldBack.size === 0) return;
        this.resumeTimer = setTimeout(() => {
            this.resumeTimer = undefined;
            for (const call of [...this.heldBack]) call.readOn();
        }, RESUME_DELAY_MS);
        this.resumeTimer.unref();
    }
}

function largestLink(links: ReadonlyMap<number, number>): number | undefined {
    return [...links].toSorted(([, a], [, b]) => b - a)[0]?.[0];
}
