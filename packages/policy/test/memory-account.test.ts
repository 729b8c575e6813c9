import test from "ava";
import {
    acceptsBody,
    adjustHeld,
    budgetOf,
    callToGiveUp,
    createAccount,
    HeldKind,
    isFull,
    isOverBudget,
    type MemoryAccount,
    peerQueueBytes,
    readAheadBytes,
    totalHeld,
} from "../src/index.js";

const BUDGET = 40_000_000;
/** Read-ahead that any answer gets. */
const LEAST_AHEAD = 16_384;

function accountOf(held: Partial<Record<HeldKind, number>>): MemoryAccount {
    return Object.entries(held).reduce(
        (account, [kind, bytes]) => adjustHeld(account, kind as HeldKind, bytes),
        createAccount(BUDGET),
    );
}

/** Lets stalled readers hold as much as they may, in turn, until none may hold more. */
function fillWith(readers: number, account = createAccount(BUDGET)): readonly [MemoryAccount, readonly number[]] {
    const held = Array.from({ length: readers }, () => 0);
    const part = 4_096;
    for (;;) {
        let grew = false;
        for (const [at, bytes] of held.entries()) {
            if (bytes >= readAheadBytes(account)) continue;
            account = adjustHeld(account, HeldKind.Unread, part);
            held[at] = bytes + part;
            grew = true;
        }
        if (!grew) return [account, held];
    }
}

test("the memory budget is a share of what a host has above its baseline, and never zero", t => {
    t.true(budgetOf(602_000_000) > budgetOf(178_000_000));
    t.true(budgetOf(178_000_000) > 0);
    // Beside an idle process there is room for memory that the account does not see.
    t.true(budgetOf(178_000_000) + 75_000_000 < 178_000_000);
    t.true(acceptsBody(createAccount(budgetOf(50_000_000)), 4_000_000));
});

test("the total held is the sum of what was added and released", t => {
    const account = accountOf({ body: 5, answer: 7, unread: 11, link: 13 });
    t.is(totalHeld(account), 36);
    t.is(totalHeld(adjustHeld(account, HeldKind.Answer, -7)), 29);
    t.is(totalHeld(createAccount(BUDGET)), 0);
});

test("a single slow reader gets a large read-ahead", t => {
    // The users' streams have about 100 KB; an answer of 1 MB per second is buffered for more than ten seconds.
    t.true(readAheadBytes(createAccount(BUDGET)) >= 10_000_000);
});

for (const readers of [1, 2, 5, 20, 100, 500]) {
    test(`${readers} stalled readers get equal shares and keep no bodies out`, t => {
        const [account, held] = fillWith(readers);
        t.true(Math.max(...held) - Math.min(...held) <= 8_192);
        t.true(Math.min(...held) >= LEAST_AHEAD);
        t.true(acceptsBody(account, 4_000_000));
        t.false(isOverBudget(account));
    });
}

test("a reader that arrives when others hold their full share still gets a little read-ahead", t => {
    const [account] = fillWith(500);
    t.true(readAheadBytes(account) >= LEAST_AHEAD);
});

test("the largest holder is paused first as the budget fills", t => {
    const held = 6_000_000;
    t.true(readAheadBytes(accountOf({ unread: held })) > held);
    t.true(readAheadBytes(accountOf({ unread: 15_000_000 })) < held);
    t.true(readAheadBytes(accountOf({ body: 36_000_000 })) < held);
});

test("bodies are accepted up to their share, and the rest is kept for answers", t => {
    t.true(acceptsBody(createAccount(BUDGET), 4_000_000));
    const full = accountOf({ body: 30_000_000 });
    t.false(acceptsBody(full, 1));
    t.true(readAheadBytes(full) >= 10_000_000);
});

test("a host that accepts all bodies that it may stays within its budget", t => {
    let account = createAccount(BUDGET);
    while (acceptsBody(account, 4_000_000)) account = adjustHeld(account, HeldKind.Body, 4_000_000);
    t.false(isOverBudget(account));
});

test("messages queued for peers are bounded by their share and by what is left of the budget", t => {
    t.true(peerQueueBytes(createAccount(BUDGET)) <= BUDGET / 8);
    t.is(peerQueueBytes(accountOf({ link: BUDGET / 8 })), 0);
    t.is(peerQueueBytes(accountOf({ body: BUDGET })), 0);
});

test("stalled peers keep neither answers nor bodies out", t => {
    const account = accountOf({ link: BUDGET / 8 });
    t.is(readAheadBytes(account), readAheadBytes(createAccount(BUDGET)));
    t.true(acceptsBody(account, 4_000_000));
});

test("a full budget stays full until it falls below the reopening share", t => {
    t.false(isFull(accountOf({ body: 25_000_000 }), false));
    t.true(isFull(accountOf({ body: 31_000_000 }), false));
    t.true(isFull(accountOf({ body: 25_000_000 }), true));
    t.false(isFull(accountOf({ body: 19_000_000 }), true));
});

/** Calls that hold memory, and which is given up first. */
const FIRST: readonly {
    readonly why: string;
    readonly holders: Readonly<Record<string, { readonly bytes: number; readonly stuckMs: number }>>;
    readonly first: string | undefined;
}[] = [
    {
        why: "of two equally slow the larger",
        holders: { small: { bytes: 10_000, stuckMs: 5_000 }, large: { bytes: 900_000, stuckMs: 5_000 } },
        first: "large",
    },
    {
        why: "of two equally large the slower",
        holders: { slow: { bytes: 10_000, stuckMs: 5_000 }, slower: { bytes: 10_000, stuckMs: 9_000 } },
        first: "slower",
    },
    {
        why: "a slow one before a larger one whose reader keeps reading",
        holders: { quick: { bytes: 4_000_000, stuckMs: 0 }, slow: { bytes: 50_000, stuckMs: 3_000 } },
        first: "slow",
    },
    {
        why: "the largest if no reader is waited for",
        holders: { small: { bytes: 1_000, stuckMs: 0 }, large: { bytes: 2_000, stuckMs: 0 } },
        first: "large",
    },
    { why: "no call that holds nothing", holders: { idle: { bytes: 0, stuckMs: 9_000 } }, first: undefined },
];

for (const { why, holders, first } of FIRST) {
    test(`given up first: ${why}`, t => {
        t.is(callToGiveUp(Object.entries(holders)), first);
        t.is(callToGiveUp(Object.entries(holders).toReversed()), first);
    });
}
