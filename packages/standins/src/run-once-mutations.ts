/**
 * Mutations of the promise that a request which may run once is not run again, and that its stream is decided once.
 *
 * @module
 */
import type { Mutation } from "./mutation.js";

const BACKUPS_SOURCE = "packages/policy/src/backups.ts";
const DISPATCH_SOURCE = "packages/policy/src/dispatch.ts";
const SCHEDULER_SOURCE = "packages/policy/src/scheduler.ts";
const DRIVER_SOURCE = "packages/host/src/calls/request-driver.ts";
const WATCH_SOURCE = "packages/host/src/calls/silence-watch.ts";
const STOPS_SOURCE = "packages/host/src/calls/generation-stops.ts";
const STOP_ELSEWHERE_SOURCE = "packages/host/src/calls/stop-elsewhere.ts";
const PLATFORM_RUNS_ONCE = "platform/test/runs-once.test.ts";
const SETTLED_SOURCE = "packages/host/src/calls/settled-runner.ts";
const CLAIMS_SOURCE = "packages/host/src/calls/idempotency-claims.ts";
const CLAIMS = "packages/host/test/idempotency-claims.test.ts";
const STEP_SOURCE = "packages/request/src/step.ts";
const EXCHANGE_SOURCE = "packages/hall/src/load-exchange.ts";
const HALL = "packages/hall/test/hall.test.ts";
const QUESTIONS = "packages/policy/test/standby-questions.test.ts";
const DRIVER_ORDERS = "packages/host/test/run-once-orders.test.ts";
const REQUEST_ORDERS = "packages/request/test/run-once-orders.test.ts";
const ORDERS = "packages/policy/test/standby-orders.test.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const RUN_ONCE_MUTATIONS: readonly Mutation[] = [
    {
        promise: "runs once: a silent stream goes on elsewhere only once its endpoint has stopped it",
        file: WATCH_SOURCE,
        find: "if (result === StreamStop.Stopped) return this.endWatch(silentMs, why);",
        replace: "return this.endWatch(silentMs, why);",
        tests: [PLATFORM_RUNS_ONCE],
    },
    {
        promise: "runs once: a stream whose connection is lost is stopped where it ran",
        file: STOP_ELSEWHERE_SOURCE,
        find: "lostBy === undefined || isStopped) return undefined;",
        replace: "lostBy !== undefined || isStopped) return undefined;",
        tests: [PLATFORM_RUNS_ONCE],
    },
    {
        promise: "runs once: the order to stop a stream is repeated until it is followed",
        file: STOPS_SOURCE,
        find: "!isSettled(answer); waitMs",
        replace: "false; waitMs",
        tests: [PLATFORM_RUNS_ONCE],
    },
    {
        promise: "runs once: an evacuation does not take the place of a continuation",
        file: SCHEDULER_SOURCE,
        find: `if (awaitsDispatch(state, job)) return { state, actions: [{ kind: "noCopy", job }] };`,
        replace: "",
        tests: [QUESTIONS, ORDERS],
    },
    {
        promise: "runs once: the answer about one standby settles no other question",
        file: DISPATCH_SOURCE,
        find: "if (pending?.purpose !== about.purpose || pending.endpoint !== about.endpoint)",
        replace: "if (!pending)",
        tests: [QUESTIONS, ORDERS],
    },
    {
        promise: "runs once: an owner's answer tells which standby was sought",
        file: EXCHANGE_SOURCE,
        find: "const about = subject ? { standbyOf: subject } : {};",
        replace: "const about = {};",
        tests: [HALL],
    },
    {
        promise: "runs once: an endpoint does not keep the copy of a stream that it runs",
        file: DISPATCH_SOURCE,
        find: "const standby = named === about.endpoint ? undefined : named;",
        replace: "const standby = named;",
        tests: [QUESTIONS, ORDERS],
    },
    {
        promise: "runs once: a stream is not copied from where it is not dispatched yet",
        file: BACKUPS_SOURCE,
        find: `return asked.has(job) || askedForStandby.get(job)?.purpose === "continue";`,
        replace: `return askedForStandby.get(job)?.purpose === "continue";`,
        tests: [QUESTIONS, ORDERS],
    },
    {
        promise: "runs once: a stream that waits for its continuation is not evacuated",
        file: BACKUPS_SOURCE,
        find: "if (job.backUp !== true || awaitsDispatch(state, job.id)) continue;",
        replace: "if (job.backUp !== true) continue;",
        tests: [QUESTIONS],
    },
    {
        promise: "runs once: the scheduler's answer to an earlier question starts nothing",
        file: DRIVER_SOURCE,
        find: "if (this.openQuestion !== listener) return false;",
        replace: "",
        tests: [DRIVER_ORDERS],
    },
    {
        promise: "runs once: an attempt that was given up does not start once a restart is settled",
        file: SETTLED_SOURCE,
        find: "if (!signal.aborted) runner.start(plan, sink, signal);",
        replace: "runner.start(plan, sink, signal);",
        tests: [DRIVER_ORDERS],
    },
    {
        promise: "runs once: an ended request does not ask the guard again",
        file: DRIVER_SOURCE,
        find: "clearTimeout(this.retryTimer);",
        replace: "",
        tests: [DRIVER_ORDERS],
    },
    {
        promise: "runs once: what may have run is not started anew",
        file: STEP_SOURCE,
        find: "return state.cfg.repeatable || proveNotRun(state.record) !== undefined;",
        replace: "return true;",
        tests: [REQUEST_ORDERS],
    },
    {
        promise: "runs once: a stream goes on elsewhere only after its first attempt was cancelled",
        file: STEP_SOURCE,
        find: `actions: [...cancelCurrent(state), { kind: "admitCopy", cause }],`,
        replace: `actions: [{ kind: "admitCopy", cause }],`,
        tests: [REQUEST_ORDERS],
    },
    {
        promise: "runs once: a claim outlives its day though the time of day is set back",
        file: CLAIMS_SOURCE,
        find: "const now = this.clock.now();",
        replace: "const now = Date.now();",
        tests: [CLAIMS],
    },
];
