/**
 * The account of what a host holds in its memory for callers, endpoints and peers that read slowly, and the decisions that keep
 * it within a budget: which bodies are taken in, how far an answer is read ahead of its caller, what may wait for a peer, and
 * what is given up where all that does not suffice.
 *
 * The load that it answers: many readers at once that take their bytes slowly or not at all. Each may be served as if it were
 * alone while there is room; as the budget fills, the largest holders are stopped first.
 *
 * Pure. Sizes are bytes, times milliseconds on the caller's clock.
 *
 * @module
 */

/** What bytes are held for. */
export const HeldKind = {
    /** A caller's body, from its arrival until no attempt needs it any more. */
    Body: "body",
    /** An answer that is held until it is whole, so that it may be asked for elsewhere. */
    Answer: "answer",
    /** What was passed on to a caller that has not taken it yet. */
    Unread: "unread",
    /** What waits to be sent to a peer. */
    Link: "link",
} as const;
/** One of {@link HeldKind}. */
export type HeldKind = typeof HeldKind[keyof typeof HeldKind];

/** Bytes by what they are held for. */
export type HeldBytes = Readonly<Record<HeldKind, number>>;

/** The account of one host. */
export interface MemoryAccount {
    readonly budgetBytes: number;
    readonly held: HeldBytes;
}

/** What one call holds. */
export interface MemoryHolder {
    readonly bytes: number;
    /** How long its reader has taken nothing, be it its caller or its endpoint; 0 where nobody is waited for. */
    readonly stuckMs: number;
}

/** What a host needs before it holds anything for a call: the runtime, the program, and what it knows of a fleet. */
const BASELINE_BYTES = 80_000_000;
/**
 * The budget's part of what is left above that. The other half is for what no account sees: objects and garbage of calls, and the
 * system's buffers of each connection, in which what is not read yet waits.
 */
const BUDGET_SHARE = 0.5;
/** A host of any size can take in a body of 4 MB: who is refused it would come back in vain. */
const MIN_BUDGET_BYTES = 6_000_000;
/** Answers together may hold this part of the budget by reading ahead, so that readers who do not read keep no bodies out. */
const ANSWERS_SHARE = 0.5;
/** What waits for peers may hold this part: it is soft state, which is sent again. */
const LINKS_SHARE = 0.125;
/** Bodies are taken in up to this part; the rest is for the answers of calls that run. */
const BODIES_SHARE = 0.75;
/** A budget that was full has room again below this part: the log tells of each filling once. */
const REOPEN_SHARE = 0.5;
/** Any answer is read ahead this far: a stream buffers as much by itself. */
const MIN_READ_AHEAD_BYTES = 16_384;

const NOTHING_HELD: HeldBytes = { body: 0, answer: 0, unread: 0, link: 0 };

/**
 * The budget of a host with so much memory in all.
 *
 * @example
 * ```ts
 * budgetOf(200_000_000); // 60_000_000
 * ```
 */
export function budgetOf(memoryBytes: number): number {
    return Math.max(MIN_BUDGET_BYTES, (memoryBytes - BASELINE_BYTES) * BUDGET_SHARE);
}

/** An account of a host that holds nothing. */
export function createAccount(budgetBytes: number): MemoryAccount {
    return { budgetBytes, held: NOTHING_HELD };
}

/** The account after what is held of a kind grew by some bytes, or shrank. */
export function holdMore(account: MemoryAccount, kind: HeldKind, bytes: number): MemoryAccount {
    return { ...account, held: { ...account.held, [kind]: account.held[kind] + bytes } };
}

/** All that is held. */
export function totalHeld({ held }: MemoryAccount): number {
    return held.body + held.answer + held.unread + held.link;
}

/** Whether so much more of a body may be taken in. */
export function mayTakeIn(account: MemoryAccount, bytes: number): boolean {
    return totalHeld(account) + bytes <= account.budgetBytes * BODIES_SHARE;
}

/**
 * How much may be held of one answer, by reading ahead of its caller or until it is whole: a dynamic threshold, as of buffers that
 * many queues share. It is what the answers' part has left, so one slow reader gets half of it, and n of them an equal part
 * each with as much again left for the next; those above it wait for their readers.
 *
 * @example
 * ```ts
 * readAheadBytes(createAccount(60_000_000)); // 30_000_000
 * ```
 */
export function readAheadBytes(account: MemoryAccount): number {
    const { budgetBytes, held } = account;
    const left = budgetBytes * ANSWERS_SHARE - held.answer - held.unread;
    return Math.max(MIN_READ_AHEAD_BYTES, Math.min(left, budgetBytes - totalHeld(account)));
}

/** How much may wait for one peer before what is sent to it is dropped: what the links' part has left. */
export function linkBytes(account: MemoryAccount): number {
    const { budgetBytes, held } = account;
    const left = budgetBytes * LINKS_SHARE - held.link;
    return Math.max(0, Math.min(left, budgetBytes - totalHeld(account)));
}

/** Whether more is held than the budget: something has to be given up. */
export function isOverBudget(account: MemoryAccount): boolean {
    return totalHeld(account) > account.budgetBytes;
}

/** Whether the budget is full: it takes in nothing new. One that was full is so until it has room again. */
export function isFull(account: MemoryAccount, wasFull: boolean): boolean {
    const share = wasFull ? REOPEN_SHARE : BODIES_SHARE;
    return totalHeld(account) > account.budgetBytes * share;
}

/**
 * Which call is given up first: the one that holds most for the longest time in which its reader took nothing. Where nobody's
 * reader is waited for, the largest.
 *
 * @example
 * ```ts
 * firstToGiveUp([["quick", { bytes: 9_000, stuckMs: 0 }], ["slow", { bytes: 9_000, stuckMs: 5_000 }]]); // "slow"
 * ```
 */
export function firstToGiveUp<K>(holders: Iterable<readonly [K, MemoryHolder]>): K | undefined {
    let first: K | undefined;
    let most = 0;
    for (const [key, { bytes, stuckMs }] of holders) {
        // One that just took something still counts by its size.
        const weight = bytes * (stuckMs + 1);
        if (weight <= most) continue;
        most = weight;
        first = key;
    }
    return first;
}
