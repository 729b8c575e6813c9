import test from "ava";
import {
    createRequest,
    type LossCause,
    Phase,
    type RequestAction,
    type RequestCfg,
    type RequestEvent,
    type RequestState,
    step,
} from "../src/index.js";

const CFG: RequestCfg = { id: "r", repeatable: false, streamed: true, maxAttempts: 1, maxResumes: 0, deadline: 1e9 };

interface Driven {
    readonly state: RequestState;
    /** Actions of the last event. */
    readonly actions: readonly RequestAction[];
}

function drive(events: readonly RequestEvent[], cfg: Partial<RequestCfg> = {}): Driven {
    return events.reduce<Driven>(({ state }, event) => step(state, event), createRequest({ ...CFG, ...cfg }));
}

const admitted = (endpoint: string, backUp?: string): RequestEvent => ({ kind: "admitted", endpoint, backUp });
const sending = (attempt: string): RequestEvent => ({ kind: "sending", attempt });
const token = (attempt: string, index: number): RequestEvent => ({
    kind: "token",
    attempt,
    generation: attempt,
    index,
});
const lost = (attempt: string, cause: LossCause): RequestEvent => ({
    kind: "lost",
    attempt,
    cause,
    detail: "it broke",
});

const RUNNING = [admitted("e1", "e2"), sending("r.1"), token("r.1", 0), token("r.1", 1)];

for (const cause of ["reset", "idle", "reclaimed"] as const) {
    test(`a generation with a copy that is lost by ${cause} is cancelled and continues at the next token`, t => {
        const broken = drive([...RUNNING, lost("r.1", cause)]);
        t.deepEqual(broken.actions.map(action => action.kind), ["cancel", "admitCopy"]);
        const { actions } = step(broken.state, admitted("e2", "e3"));
        t.deepEqual(actions, [{ kind: "dispatch", attempt: "r.2", endpoint: "e2", backUp: "e3", continueAt: 2 }]);
    });
}

for (const cause of ["connect", "invalid", "resumeRefused"] as const) {
    test(`after a loss by ${cause} a generation does not continue from its copy`, t => {
        const { state } = drive([...RUNNING, lost("r.1", cause)]);
        t.is(state.phase, Phase.Ended);
    });
}

test("a continuation forwards each token once: earlier tokens are dropped, and a gap ends the request", t => {
    const going = [...RUNNING, lost("r.1", "reset"), admitted("e2"), sending("r.2")];
    t.deepEqual(drive([...going, token("r.2", 1)]).actions, []);
    t.deepEqual(drive([...going, token("r.2", 2)]).actions, [{ kind: "forward", index: 2 }]);
    t.is(drive([...going, token("r.2", 3)]).state.phase, Phase.Ended);
    t.deepEqual(drive([...going, token("r.1", 2)]).actions, [], "tokens of the earlier attempt are ignored");
});

test("a continued generation completes with the count of all its tokens", t => {
    const events = [
        ...RUNNING,
        lost("r.1", "reset"),
        admitted("e2"),
        sending("r.2"),
        token("r.2", 2),
        { kind: "finished", attempt: "r.2", generation: "r.2", total: 3 } as const,
    ];
    t.deepEqual(drive(events).actions, [{ kind: "complete", tokens: 3 }]);
});

test("if no copy is left, the caller is told of the loss, and not that nothing ran", t => {
    const { actions } = drive([...RUNNING, lost("r.1", "reset"), {
        kind: "notAdmitted",
        code: "no_endpoint",
        detail: "none",
    }]);
    t.like(actions, [{ kind: "fail", err: { code: "endpoint_lost", ran: "yes", detail: "it broke; none" } }]);
});

test("a refusal by the standby does not prove that nothing ran before", t => {
    const { actions } = drive([
        ...RUNNING,
        lost("r.1", "reset"),
        admitted("e2"),
        sending("r.2"),
        { kind: "endpointRefused", attempt: "r.2", detail: "no such copy" },
    ]);
    t.like(actions, [{ kind: "fail", err: { ran: "yes" } }]);
});

test("a generation continues from a copy that was made while it ran, but not from a copy of another attempt", t => {
    const alone = [admitted("e1"), sending("r.1"), token("r.1", 0)];
    const copied = (attempt: string): RequestEvent => ({ kind: "copied", attempt, endpoint: "e9" });
    t.is(drive([...alone, lost("r.1", "reset")]).state.phase, Phase.Ended);
    t.is(drive([...alone, copied("r.0"), lost("r.1", "reset")]).state.phase, Phase.Ended);
    t.true(drive([...alone, copied("r.1"), lost("r.1", "reset")]).actions.some(({ kind }) => kind === "admitCopy"));
});

test("a caller that leaves while the request waits for the copy ends the request", t => {
    const { state } = drive([...RUNNING, lost("r.1", "reset"), { kind: "callerGone" }]);
    t.is(state.phase, Phase.Ended);
});

test("attempts that were never sent do not count against maxAttempts and have a bound of their own", t => {
    const events: RequestEvent[] = [];
    for (let at = 1; at <= 4; at++) {
        events.push(admitted(`e${at}`), lost(`r.${at}`, "connect"));
        if (at < 4) t.like(drive(events).actions.at(-1), { kind: "admit", neverSent: true });
    }
    t.like(drive(events).actions.at(-1), { kind: "fail", err: { ran: "no" } });
});

test("an endpoint's error answer never follows what was sent to the caller, whether the request is repeatable or not", t => {
    for (const repeatable of [false, true]) {
        const failed: RequestEvent = { kind: "failedAnswer", attempt: "r.2", generation: "r.2" };
        const { actions } = drive([...RUNNING, lost("r.1", "reset"), admitted("e2"), sending("r.2"), failed], {
            repeatable,
        });
        t.like(actions.at(-1), { kind: "fail", err: { code: "endpoint_invalid_answer", ran: "yes" } });
        t.false(actions.some(({ kind }) => kind === "complete"));
    }
});

test("an endpoint's error answer is forwarded unless the request may be retried elsewhere", t => {
    const failed: RequestEvent = { kind: "failedAnswer", attempt: "r.1", generation: "r.1" };
    const begun = [admitted("e1"), sending("r.1"), failed];
    // Exactly one action, as each would write the answer's bytes.
    t.deepEqual(drive(begun).actions, [{ kind: "complete", tokens: 1, failed: true }]);
    t.like(drive(begun, { repeatable: true, maxAttempts: 2 }).actions.at(-1), { kind: "admit", retry: true });
});
