/**
 * Accounts for the bytes that a host holds in memory for callers, endpoints and peers that read slowly, and decides how
 * to stay within a budget: which bodies are accepted, how far an answer is read ahead of its caller, how much may queue
 * for a peer, and which call is given up if that does not suffice.
 *
 * It guards against many readers at once that read slowly or not at all. Each is served as if it were alone while there
 * is room; as the budget fills, the largest holders are paused first.
 *
 * Pure. Sizes are bytes, times milliseconds on the clock by which `now` is given.
 *
 * @module
 */

/** What bytes are held for. */
export const HeldKind = {
    /** A request body, from its arrival until no attempt needs it any more. */
    Body: "body",
    /** An answer that is held back until it is complete, so that the request can be retried elsewhere. */
    Answer: "answer",
    /** Bytes of an answer that were written for a caller but not read by it yet. */
    Unread: "unread",
    /** Messages that wait to be sent to a peer. */
    Link: "link",
} as const;
/** One of {@link HeldKind}. */
export type HeldKind = typeof HeldKind[keyof typeof HeldKind];

/** Bytes held, by kind. */
export type HeldBytes = Readonly<Record<HeldKind, number>>;

/** Memory account of one host. */
export interface MemoryAccount {
    readonly budgetBytes: number;
    readonly held: HeldBytes;
}

/** Bytes that one call holds. */
export interface MemoryHolder {
    readonly bytes: number;
    /** How long its reader, the caller or the endpoint, has read nothing; 0 if the call does not wait for a reader. */
    readonly stuckMs: number;
}

/**
 * Memory that a host needs before it holds anything for calls: the runtime, the program, and its knowledge of the
 * fleet.
 */
const BASELINE_BYTES = 80_000_000;
/**
 * Share of the remaining memory that is budgeted. The rest is for memory that the account does not see: objects and
 * garbage of calls, and the system's buffers of each connection, which hold bytes not read yet.
 */
const BUDGET_SHARE = 0.5;
/** Minimum budget: a host of any size accepts a body of 4 MB, as a caller refused for its size would retry in vain. */
const MIN_BUDGET_BYTES = 6_000_000;
/**
 * Share of the budget that read-ahead of all answers may use, so that callers that do not read cannot keep out request
 * bodies.
 */
const ANSWERS_SHARE = 0.5;
/** Share of the budget for messages to peers: soft state, which is sent again. */
const LINKS_SHARE = 0.125;
/** Bodies are accepted while the total is below this share; the rest is for the answers of running calls. */
const BODIES_SHARE = 0.75;
/** A full budget counts as full until the total falls below this share, so that the log reports each filling once. */
const REOPEN_SHARE = 0.5;
/** Minimum read-ahead of an answer: a stream buffers as much by itself. */
const MIN_READ_AHEAD_BYTES = 16_384;

const NOTHING_HELD: HeldBytes = { body: 0, answer: 0, unread: 0, link: 0 };

/**
 * Returns the budget of a host with so much memory in total.
 *
 * @example
 * ```ts
 * budgetOf(200_000_000); // 60_000_000
 * ```
 */
export function budgetOf(memoryBytes: number): number {
    return Math.max(MIN_BUDGET_BYTES, (memoryBytes - BASELINE_BYTES) * BUDGET_SHARE);
}

/** Creates an empty account. */
export function createAccount(budgetBytes: number): MemoryAccount {
    return { budgetBytes, held: NOTHING_HELD };
}

/** Adds to the bytes held of a kind; a negative number releases bytes. */
export function adjustHeld(account: MemoryAccount, kind: HeldKind, bytes: number): MemoryAccount {
    return { ...account, held: { ...account.held, [kind]: account.held[kind] + bytes } };
}

/** Total of all bytes held. */
export function totalHeld({ held }: MemoryAccount): number {
    return held.body + held.answer + held.unread + held.link;
}

/** Whether so many more bytes of a request body may be accepted. */
export function acceptsBody(account: MemoryAccount, bytes: number): boolean {
    return totalHeld(account) + bytes <= account.budgetBytes * BODIES_SHARE;
}

/**
 * How many bytes of one answer may be held, by reading ahead of its caller or until it is complete. This is a dynamic
 * threshold as used for buffers that many queues share: it is what is left of the answers' share. So one slow reader
 * gets half of that share; n of them get equal parts, with as much again left for the next one. Calls above the
 * threshold wait for their readers.
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

/** How many bytes may queue for one peer before messages to it are dropped: what is left of the links' share. */
export function peerQueueBytes(account: MemoryAccount): number {
    const { budgetBytes, held } = account;
    const left = budgetBytes * LINKS_SHARE - held.link;
    return Math.max(0, Math.min(left, budgetBytes - totalHeld(account)));
}

/** Whether more is held than the budget, so that a call must be given up. */
export function isOverBudget(account: MemoryAccount): boolean {
    return totalHeld(account) > account.budgetBytes;
}

/** Whether the budget is full. A budget that was full remains so until it has fallen below {@link REOPEN_SHARE}. */
export function isFull(account: MemoryAccount, wasFull: boolean): boolean {
    const share = wasFull ? REOPEN_SHARE : BODIES_SHARE;
    return totalHeld(account) > account.budgetBytes * share;
}

/**
 * Returns the call that is given up first: the one with the largest product of bytes held and time in which its reader
 * has read nothing. If no call waits for a reader, the largest.
 *
 * @example
 * ```ts
 * callToGiveUp([["quick", { bytes: 9_000, stuckMs: 0 }], ["slow", { bytes: 9_000, stuckMs: 5_000 }]]); // "slow"
 * ```
 */
export function callToGiveUp<K>(holders: Iterable<readonly [K, MemoryHolder]>): K | undefined {
    let first: K | undefined;
    let most = 0;
    for (const [key, { bytes, stuckMs }] of holders) {
        // A call whose reader has just read still counts by its size.
        const weight = bytes * (stuckMs + 1);
        if (weight <= most) continue;
        most = weight;
        first = key;
    }
    return first;
}
