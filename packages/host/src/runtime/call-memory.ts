/**
 * What one call holds for its caller and its endpoint, and whom it waits for.
 *
 * @module
 */
import { type HeldBytes, HeldKind, type MemoryHolder } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";

/** Who reads slowly. */
export type SlowReader = "caller" | "endpoint";

/** Why a call is given up for the memory that it holds. */
export interface GivenUp {
    /** Whose reading the call waited for; undefined where nobody's. */
    readonly unreadBy: SlowReader | undefined;
    readonly detail: string;
}

/** What a call's account asks of its host's. */
export interface HostAccount {
    readonly isBounded: boolean;
    mayTakeIn(bytes: number): boolean;
    readAhead(): number;
    change(kind: HeldKind, bytes: number): void;
    setHeldBack(isHeldBack: boolean): void;
    close(): void;
}

const NOTHING_HELD: HeldBytes = { body: 0, answer: 0, unread: 0, link: 0 };

/** What one call holds. */
export class CallMemory {
    held: HeldBytes = NOTHING_HELD;
    private readonly openedAt: number;
    /** Since when its caller has taken nothing of what waits for it. */
    private unreadSince: number | undefined;
    private resumeSource: (() => void) | undefined;
    private isClosed = false;
    /** How long its endpoint has taken nothing of its body, in milliseconds; 0 where nothing waits for it. */
    bodyStuckMs: () => number = () => 0;
    /** Told when the answer's source is read on. */
    onRead: () => void = () => undefined;
    /** Ends the call, with a true answer or a visible break. */
    onGiveUp: (givenUp: GivenUp) => void = () => undefined;

    constructor(readonly req: string, private readonly clock: Clock, private readonly host: HostAccount) {
        this.openedAt = clock.now();
    }

    get ageMs(): number {
        return this.clock.now() - this.openedAt;
    }

    /** Takes in so much more of the caller's body, unless there is no room for it. */
    takeIn(bytes: number): boolean {
        if (this.host.isBounded && !this.host.mayTakeIn(bytes)) return false;
        this.hold(HeldKind.Body, this.held.body + bytes);
        return true;
    }

    /** Sets how much is held of a kind. */
    hold(kind: HeldKind, bytes: number): void {
        if (this.isClosed) return;
        const before = this.held[kind];
        if (before === bytes) return;
        this.held = { ...this.held, [kind]: bytes };
        this.host.change(kind, bytes - before);
    }

    /** Sets how much waits for the caller, and whether it has taken something just now. */
    setUnread(bytes: number, took: boolean): void {
        if (bytes === 0) this.unreadSince = undefined;
        else if (took) this.unreadSince = this.clock.now();
        else this.unreadSince ??= this.clock.now();
        this.hold(HeldKind.Unread, bytes);
        if (took) this.readOn();
    }

    /** How much of an answer may be held until it is whole: no bound of its own where nothing is decided by memory. */
    get holdLimit(): number {
        return this.host.isBounded ? this.host.readAhead() : Infinity;
    }

    /** Whether the answer's source may be read on while its caller is behind. */
    private get mayReadAhead(): boolean {
        if (this.held.unread === 0) return true;
        return this.host.isBounded && this.held.unread + this.held.answer < this.host.readAhead();
    }

    /** Calls back when the source may be read on, if it may not be now; returns whether it may be. */
    whenRoom(resume: () => void): boolean {
        if (this.mayReadAhead) return true;
        this.resumeSource = resume;
        this.host.setHeldBack(true);
        return false;
    }

    /** Reads the source on, if it was held back and may be read now. */
    readOn(): void {
        const { resumeSource: onReadOn } = this;
        if (!onReadOn || !this.mayReadAhead) return;
        this.resumeSource = undefined;
        this.host.setHeldBack(false);
        this.onRead();
        onReadOn();
    }

    /** How long its caller has taken nothing of what waits for it, in milliseconds. */
    get callerStuckMs(): number {
        return this.unreadSince === undefined ? 0 : this.clock.now() - this.unreadSince;
    }

    /** Whose reading the call waits for. */
    get unreadBy(): SlowReader | undefined {
        if (this.unreadSince !== undefined) return "caller";
        return this.bodyStuckMs() > 0 ? "endpoint" : undefined;
    }

    /** What it is weighed by. */
    get holder(): MemoryHolder {
        const { body, answer, unread } = this.held;
        return { bytes: body + answer + unread, stuckMs: Math.max(this.callerStuckMs, this.bodyStuckMs()) };
    }

    /** Ends the call for what it holds. */
    giveUp(): void {
        const { unreadBy, holder: { bytes, stuckMs } } = this;
        const forMs = `for ${Math.round(stuckMs)} ms`;
        const why = unreadBy === undefined ? "the host's memory is full" : `its ${unreadBy} has read nothing ${forMs}`;
        const { onGiveUp } = this;
        this.close();
        onGiveUp({ unreadBy, detail: `${why}; ${bytes} bytes were held` });
    }

    /** Ends the account: the call holds nothing any more. */
    close(): void {
        if (this.isClosed) return;
        for (const kind of Object.values(HeldKind)) this.hold(kind, 0);
        this.isClosed = true;
        this.unreadSince = undefined;
        this.resumeSource = undefined;
        this.bodyStuckMs = () => 0;
        this.host.close();
    }
}
