/**
 * Keeps the memory that this host holds for slow callers, endpoints and peers within a budget. Carries out and logs what the
 * account of the package `policy` decides.
 *
 * @module
 */
import {
    acceptsBody,
    adjustHeld,
    callToGiveUp,
    createAccount,
    type HeldBytes,
    HeldKind,
    isFull,
    isOverBudget,
    type MemoryAccount,
    peerQueueBytes,
    readAheadBytes,
    totalHeld,
} from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";
import { CallMemory } from "./call-memory.js";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";

/** What a {@link HostMemory} depends on. */
export interface HostMemoryDeps {
    /** Undefined if the host's memory is not known: then nothing is refused or ended for it. */
    readonly budgetBytes: number | undefined;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
}

/**
 * Delay from the release of memory until paused sources are checked. A hundred such delays pass before an endpoint gives up on a
 * paused answer.
 */
const RESUME_DELAY_MS = 50;
/** Of the calls whose sources are paused, at most one is logged in this time. */
const LOG_INTERVAL_MS = 1_000;

/** Accounts for the memory that one host holds for others. */
export class HostMemory {
    private account: MemoryAccount;
    private readonly calls = new Set<CallMemory>();
    /** Bytes that wait for each peer, by link. */
    private readonly links = new Map<number, number>();
    /** Calls whose sources are paused. */
    private readonly pausedCalls = new Set<CallMemory>();
    private wasFull = false;
    private isReliefScheduled = false;
    private resumeTimer: NodeJS.Timeout | undefined;
    private lastLoggedAt = -Infinity;
    private suppressedLogs = 0;
    /** Closes the link to a peer and drops what waits for it. */
    onCloseLink: (link: number) => void = () => undefined;

    constructor(private readonly deps: HostMemoryDeps) {
        this.account = createAccount(deps.budgetBytes ?? Infinity);
        deps.metrics.exportHeldBytes(() => this.held, deps.budgetBytes);
    }

    /** Whether the host has a memory budget. */
    get isBounded(): boolean {
        return this.deps.budgetBytes !== undefined;
    }

    /** Bytes that are held now, by kind. */
    get held(): HeldBytes {
        return this.account.held;
    }

    /** The bytes held in all and the budget, as log lines give them. */
    get state(): { readonly held: number; readonly budget: number | undefined } {
        return { held: Math.round(totalHeld(this.account)), budget: this.deps.budgetBytes };
    }

    /**
     * Opens the account of a call.
     *
     * @example
     * ```ts
     * const memory = host.memory.open("call-1");
     * if (!memory.reserveBody(length)) refuse();
     * ```
     */
    open(req: string): CallMemory {
        const call: CallMemory = new CallMemory(req, this.deps.clock, {
            isBounded: this.isBounded,
            mayReserveBody: bytes => this.mayReserveBody(bytes),
            readAheadBytes: () => readAheadBytes(this.account),
            changeHeld: (kind, bytes) => this.changeHeld(kind, bytes),
            setPaused: isPaused => this.setPaused(call, isPaused),
            close: () => {
                this.calls.delete(call);
                this.pausedCalls.delete(call);
            },
        });
        this.calls.add(call);
        return call;
    }

    /** Maximum number of bytes that may wait for one peer; undefined if the host has no budget. */
    maxLinkBytes(): number | undefined {
        return this.isBounded ? peerQueueBytes(this.account) : undefined;
    }

    /** Sets how many bytes wait on a link to a peer. */
    setLinkBytes(link: number, bytes: number): void {
        const before = this.links.get(link) ?? 0;
        if (bytes === 0) this.links.delete(link);
        else this.links.set(link, bytes);
        this.changeHeld(HeldKind.Link, bytes - before);
    }

    private mayReserveBody(bytes: number): boolean {
        if (acceptsBody(this.account, bytes)) return true;
        this.deps.metrics.countMemoryRefusal();
        return false;
    }

    private changeHeld(kind: HeldKind, bytes: number): void {
        if (bytes === 0) return;
        this.account = adjustHeld(this.account, kind, bytes);
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

    /** Defers the relief, as the caller of {@link CallMemory.hold} may be in the middle of changing its own state. */
    private scheduleRelief(): void {
        if (this.isReliefScheduled) return;
        this.isReliefScheduled = true;
        queueMicrotask(() => {
            this.isReliefScheduled = false;
            this.relieve();
        });
    }

    /** Drops what waits for peers, which is sent again later, and then ends calls, until the rest fits into the budget. */
    private relieve(): void {
        while (isOverBudget(this.account)) {
            const link = largestLink(this.links);
            if (link !== undefined) {
                this.setLinkBytes(link, 0);
                this.onCloseLink(link);
                continue;
            }
            const call = callToGiveUp([...this.calls].map(each => [each, each.holder] as const));
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

    private setPaused(call: CallMemory, isPaused: boolean): void {
        if (!isPaused) return void this.pausedCalls.delete(call);
        if (this.pausedCalls.has(call)) return;
        this.pausedCalls.add(call);
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

    /** Schedules a check of the paused sources: memory that other calls release lets them be read further. */
    private scheduleResume(): void {
        if (this.resumeTimer || this.pausedCalls.size === 0) return;
        this.resumeTimer = setTimeout(() => {
            this.resumeTimer = undefined;
            for (const call of [...this.pausedCalls]) call.resumeIfRoom();
        }, RESUME_DELAY_MS);
        this.resumeTimer.unref();
    }
}

function largestLink(links: ReadonlyMap<number, number>): number | undefined {
    return [...links].toSorted(([, a], [, b]) => b - a)[0]?.[0];
}
