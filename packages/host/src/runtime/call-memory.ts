/**
 * The memory that one call holds for its caller and its endpoint, and which of them keeps it waiting.
 *
 * @module
 */
import { type HeldBytes, HeldKind, type MemoryHolder } from "@drumpaddle/policy";
import type { Clock } from "@drumpaddle/protocol";

/** The side of a call that reads too slowly. */
export type SlowReader = "caller" | "endpoint";

/** Why a call is ended to free the memory that it holds. */
export interface GiveUpReason {
    /** The side whose reading the call waited for; undefined if it waited for neither. */
    readonly unreadBy: SlowReader | undefined;
    readonly detail: string;
}

/** The host's memory account, as a call uses it. */
export interface HostAccount {
    /** Whether the host has a memory budget. */
    readonly isBounded: boolean;
    /** Whether the budget has room for so much more of a body. */
    mayReserveBody(bytes: number): boolean;
    /** Bytes that a call may hold by reading ahead of a slow reader. */
    readAheadBytes(): number;
    /** Adds to the bytes that are held of a kind; negative where they were released. */
    changeHeld(kind: HeldKind, bytes: number): void;
    /** Notes whether the call's source is paused. */
    setPaused(isPaused: boolean): void;
    close(): void;
}

const NOTHING_HELD: HeldBytes = { body: 0, answer: 0, unread: 0, link: 0 };

/** Accounts for the bytes that one call holds, and pauses and resumes the source of its answer. */
export class CallMemory {
    held: HeldBytes = NOTHING_HELD;
    private readonly openedAt: number;
    /** When the caller last read something, or when bytes began to wait for it; undefined while none wait. */
    private callerStalledSince: number | undefined;
    /** Resumes the paused source of the answer; undefined while it is not paused. */
    private resumeSource: (() => void) | undefined;
    private isClosed = false;
    /** For how long the endpoint has read nothing of the body, in milliseconds; 0 if nothing waits for it. */
    bodyStuckMs: () => number = () => 0;
    /** Called when the answer's source is resumed. */
    onResume: () => void = () => undefined;
    /** Ends the call, with an error answer or, if its answer has begun, by cutting the connection. */
    onGiveUp: (givenUp: GiveUpReason) => void = () => undefined;

    constructor(readonly req: string, private readonly clock: Clock, private readonly host: HostAccount) {
        this.openedAt = clock.now();
    }

    get ageMs(): number {
        return this.clock.now() - this.openedAt;
    }

    /** Counts so much more of the caller's body; returns false if the budget has no room for it. */
    reserveBody(bytes: number): boolean {
        if (this.host.isBounded && !this.host.mayReserveBody(bytes)) return false;
        this.hold(HeldKind.Body, this.held.body + bytes);
        return true;
    }

    /** Sets how many bytes the call holds of a kind. */
    hold(kind: HeldKind, bytes: number): void {
        if (this.isClosed) return;
        const before = this.held[kind];
        if (before === bytes) return;
        this.held = { ...this.held, [kind]: bytes };
        this.host.changeHeld(kind, bytes - before);
    }

    /** Sets how many bytes wait for the caller, and whether it has just read some. */
    setUnread(bytes: number, hasRead: boolean): void {
        if (bytes === 0) this.callerStalledSince = undefined;
        else if (hasRead) this.callerStalledSince = this.clock.now();
        else this.callerStalledSince ??= this.clock.now();
        this.hold(HeldKind.Unread, bytes);
        if (hasRead) this.resumeIfRoom();
    }

    /** Maximum number of bytes of an answer that may be held until it is complete; unlimited if the host has no budget. */
    get maxHeldAnswerBytes(): number {
        return this.host.isBounded ? this.host.readAheadBytes() : Infinity;
    }

    /** Whether the answer's source may be read although the caller has not read everything yet. */
    private get mayReadAhead(): boolean {
        if (this.held.unread === 0) return true;
        return this.host.isBounded && this.held.unread + this.held.answer < this.host.readAheadBytes();
    }

    /** Returns whether the answer's source may be read now; if not, pauses it and calls `resume` as soon as it may. */
    whenReadable(resume: () => void): boolean {
        if (this.mayReadAhead) return true;
        this.resumeSource = resume;
        this.host.setPaused(true);
        return false;
    }

    /** Resumes the answer's source, if it is paused and may be read now. */
    resumeIfRoom(): void {
        const { resumeSource } = this;
        if (!resumeSource || !this.mayReadAhead) return;
        this.resumeSource = undefined;
        this.host.setPaused(false);
        this.onResume();
        resumeSource();
    }

    /** For how long the caller has read nothing of what waits for it, in milliseconds; 0 if nothing waits. */
    get callerStuckMs(): number {
        return this.callerStalledSince === undefined ? 0 : this.clock.now() - this.callerStalledSince;
    }

    /** The side whose reading the call waits for. */
    get unreadBy(): SlowReader | undefined {
        if (this.callerStalledSince !== undefined) return "caller";
        return this.bodyStuckMs() > 0 ? "endpoint" : undefined;
    }

    /** What the choice of the call to give up depends on. */
    get holder(): MemoryHolder {
        const { body, answer, unread } = this.held;
        return { bytes: body + answer + unread, stuckMs: Math.max(this.callerStuckMs, this.bodyStuckMs()) };
    }

    /** Ends the call to free the memory that it holds. */
    giveUp(): void {
        const { unreadBy, holder: { bytes, stuckMs } } = this;
        const forMs = `for ${Math.round(stuckMs)} ms`;
        const why = unreadBy === undefined ? "the host's memory is full" : `its ${unreadBy} has read nothing ${forMs}`;
        const { onGiveUp } = this;
        this.close();
        onGiveUp({ unreadBy, detail: `${why}; ${bytes} bytes were held` });
    }

    /** Closes the account: releases all bytes, and counts none afterwards. */
    close(): void {
        if (this.isClosed) return;
        for (const kind of Object.values(HeldKind)) this.hold(kind, 0);
        this.isClosed = true;
        this.callerStalledSince = undefined;
        this.resumeSource = undefined;
        this.bodyStuckMs = () => 0;
        this.host.close();
    }
}
