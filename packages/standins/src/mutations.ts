/**
 * Mutations of the promises to callers and operators.
 *
 * @module
 */
import { CONNECTION_MUTATIONS } from "./connection-mutations.js";
import { ENDPOINT_MUTATIONS } from "./endpoint-mutations.js";
import { HOST_MUTATIONS } from "./host-mutations.js";
import { MEMORY_MUTATIONS } from "./memory-mutations.js";
import type { Mutation } from "./mutation.js";
import { QUARANTINE_MUTATIONS } from "./quarantine-mutations.js";
import { RELAY_MUTATIONS } from "./relay-mutations.js";
import { RUN_ONCE_MUTATIONS } from "./run-once-mutations.js";
import { SPEED_MUTATIONS } from "./speed-mutations.js";
import { STORE_MUTATIONS } from "./store-mutations.js";

const FAULTS = "packages/standins/test/faults.test.ts";
const ENGINES = "packages/standins/test/engine-faults.test.ts";
const PLAIN = "packages/standins/test/plain.test.ts";
const SPREAD = "packages/standins/test/spread.test.ts";
const POLICY = "packages/policy/test/policy.test.ts";
const SETTINGS = "packages/settings/test/settings.test.ts";
const HALL = "packages/hall/test/hall.test.ts";
const GATEWAY = "platform/test/gateway.test.ts";
const UNFRAMED = "platform/test/unframed-answers.test.ts";
const CODEC = "platform/test/codec.test.ts";
const CONNECTIONS = "packages/host/test/endpoint-connections.test.ts";
const CONTINUE = "packages/request/test/continue.test.ts";
const CARRY = "packages/policy/test/backups.test.ts";
const FOLLOWING = "packages/hall/test/store-watchers.test.ts";
const DETECTOR = "packages/hall/test/detector.test.ts";
const SOAK = "platform/test/soak.test.ts";
const ROUTES = "packages/routes/test/registry.test.ts";
const SUSPENDED = "platform/test/suspended.test.ts";
const CLOCK = "packages/protocol/src/clock.ts";
const JUDGE = "packages/host/src/calls/judge-answer.ts";
const DECLARE = "packages/host/src/endpoints/declare-endpoints.ts";
const STEP = "packages/request/src/step.ts";
const ENDPOINT = "packages/policy/src/endpoint.ts";
const PROOF = "packages/request/src/proof.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const MUTATIONS: readonly Mutation[] = [
    ...CONNECTION_MUTATIONS,
    ...ENDPOINT_MUTATIONS,
    ...HOST_MUTATIONS,
    ...RELAY_MUTATIONS,
    ...SPEED_MUTATIONS,
    ...STORE_MUTATIONS,
    ...MEMORY_MUTATIONS,
    ...QUARANTINE_MUTATIONS,
    ...RUN_ONCE_MUTATIONS,
    {
        promise: "each token once",
        file: STEP,
        find: `if (event.index < current.next) return withoutActions(countDiscard(state, "duplicate"));`,
        replace: "",
        tests: [FAULTS],
    },
    {
        promise: "in order, none missing",
        file: STEP,
        find: "if (event.index > current.next) {",
        replace: "if (event.index > current.next + 1) {",
        tests: [FAULTS],
    },
    {
        promise: "from a single generation",
        file: STEP,
        find: `if (generation !== event.generation) return withoutActions(countDiscard(state, "otherGeneration"));`,
        replace: "",
        tests: [FAULTS],
    },
    {
        promise: "no second attempt once anything went out",
        file: STEP,
        find: "if (state.committed || sent.length >= state.cfg.maxAttempts ||",
        replace: "if (sent.length >= state.cfg.maxAttempts ||",
        tests: [FAULTS],
    },
    {
        promise: "the answer of another request is never taken",
        file: STEP,
        find: "return isCurrent(state, attempt) && state.record.sent.includes(attempt);",
        replace: 'return state.record.sent.length > 0 || attempt !== "";',
        tests: [FAULTS],
    },
    {
        promise: "not run is proven",
        file: PROOF,
        find: "const allRefused = record.sent.every(",
        replace: "const allRefused = record.sent.length === 1 || record.sent.every(",
        tests: [FAULTS],
    },
    {
        promise: "not repeatable runs at most once",
        file: STEP,
        find: "return state.cfg.repeatable || proveNotRun(state.record) !== undefined;",
        replace: "return true;",
        tests: [FAULTS],
    },
    {
        promise: "a key is claimed once over all hosts",
        file: "packages/host/src/calls/idempotency-claims.ts",
        find: "conditions: [{ key, modRevision: 0 }],",
        replace: "conditions: [],",
        tests: [PLAIN],
    },
    {
        promise: "a leaving endpoint gets nothing new",
        file: ENDPOINT,
        find: "leavingBy.length === 0 && cfg.models.length > 0",
        replace: "cfg.models.length > 0",
        tests: [POLICY],
    },
    {
        promise: "a planned stop cuts nothing",
        file: "packages/host/src/daemon.ts",
        find: 'await Promise.all([host.openRequests.drain(), pause(cfg["callers.still-served"])]);',
        replace: "void host.openRequests.drain();",
        tests: [ENGINES],
    },
    {
        promise: "a stopping host still answers callers that the balancer sends",
        file: "packages/host/src/daemon.ts",
        find: 'await Promise.all([host.openRequests.drain(), pause(cfg["callers.still-served"])]);',
        replace: "await host.openRequests.drain();",
        tests: [ENGINES],
    },
    {
        promise: "a call ends at its limit while its connection is coming up",
        file: "packages/protocol/src/time-limit.ts",
        find: "Promise.race([run(controller.signal), rejectedOnAbort])",
        replace: "run(controller.signal)",
        tests: ["packages/protocol/test/time-limit.test.ts"],
    },
    {
        promise: "settings never go back",
        file: "packages/settings/src/adopt.ts",
        find: "if (head.version < inForce.version) return",
        replace: "if (head.version < 0) return",
        tests: [SETTINGS],
    },
    {
        promise: "of racing edits of one key one wins",
        file: "packages/settings/src/edit.ts",
        find: "if (current !== change.before && current !== change.after) {",
        replace: 'if (current === "") {',
        tests: [SETTINGS, SPREAD],
    },
    {
        promise: "an edit is one edit",
        file: "packages/host/src/store/settings-store.ts",
        find: 'if (done.value !== undefined) return { kind: "accepted", version: done.value, snapshot: undefined };',
        replace: "",
        tests: [SPREAD],
    },
    {
        promise: "shares of a limit add up to it",
        file: "packages/hall/src/limit-share.ts",
        find: "return Math.floor(limit * (index + 1) / of) - Math.floor(limit * index / of);",
        replace: "return Math.ceil(limit / of);",
        tests: [HALL],
    },
    {
        promise: "two askers cannot both have the last room",
        file: "packages/hall/src/load-account.ts",
        find: "load: addLoad(previous, granted, 1), at: now };",
        replace: "load: previous, at: now };",
        tests: [HALL],
    },
    {
        promise: "a generation never runs at two endpoints",
        file: STEP,
        find: 'actions: [...cancelCurrent(state), { kind: "admitCopy", cause }],',
        replace: 'actions: [{ kind: "admitCopy", cause }],',
        tests: [CONTINUE],
    },
    {
        promise: "a forwarded answer is the call's own",
        file: JUDGE,
        find: "if (head.id !== undefined && head.id !== id)",
        replace: 'if (head.id === "")',
        tests: [GATEWAY],
    },
    {
        promise: "a forwarded success is an endpoint's",
        file: JUDGE,
        find: "if (!head.sealed)",
        replace: "if (head.sealed === undefined)",
        tests: [GATEWAY],
    },
    {
        promise: "an endpoint's status promises only what it says",
        file: JUDGE,
        find: "if (NOT_RUN_STATUSES.has(status))",
        replace: "if (status === 0)",
        tests: [GATEWAY],
    },
    {
        promise: "settings that cannot be read again end no process",
        file: "packages/host/src/main.ts",
        find: "return { ok: false, reasons: [`${options.config}: ${(err as Error).message}`] };",
        replace: "throw err;",
        tests: ["packages/host/test/main.test.ts"],
    },
    {
        promise: "a cut answer without a length does not look whole",
        file: "packages/host/src/calls/forward-reply.ts",
        find: "out.writeHead(status, [...headers, ...framing, ...isClosing() ? closeFields(out) : []]);",
        replace:
            "out.useChunkedEncodingByDefault = false; out.writeHead(status, [...headers, ...framing, ...isClosing() ? closeFields(out) : []]);",
        tests: [UNFRAMED],
    },
    {
        promise: "nor does a stream without a length that ended inside an event",
        file: "packages/host/src/calls/forward-attempt.ts",
        find: "return isPartial && (this.attempt.alreadySent !== undefined || this.head?.framed === false);",
        replace: "return isPartial && this.attempt.alreadySent !== undefined;",
        tests: [UNFRAMED],
    },
    {
        promise: "nor does one that was reset",
        file: "packages/host/src/endpoints/endpoint-connections.ts",
        find: "sink.onEnd(!connection.failed);",
        replace: "sink.onEnd(true);",
        tests: [CONNECTIONS],
    },
    {
        promise: "only whole events are passed on",
        file: "packages/protocol/src/event-splitter.ts",
        find: "        this.append(chunk.subarray(start));",
        replace:
            "        if (start < chunk.length) events.push({ bytes: chunk.subarray(start), id: undefined, hasData: true });",
        tests: [GATEWAY],
    },
    {
        promise: "a caller's key goes no further",
        file: "platform/src/headers.ts",
        find: "const SYSTEM_HEADERS: ReadonlySet<string> = new Set([\n    HEADER.key,",
        replace: "const SYSTEM_HEADERS: ReadonlySet<string> = new Set<string>([",
        tests: [CODEC],
    },
    {
        promise: "a deployment never goes back",
        file: "packages/host/src/store/deployment-feed.ts",
        find: "if (known !== undefined && version <= known) {",
        replace: "if (known !== undefined && version === known) {",
        tests: [GATEWAY],
    },
    {
        promise: "what is learnt of endpoints is logged, whoever tells it",
        file: "packages/host/src/store/deployment-feed.ts",
        find: "if (this.endpointsRead) logDifferences(",
        replace: "if (!this.endpointsRead) logDifferences(",
        tests: ["packages/host/test/deployment-feed.test.ts"],
    },
    {
        promise: "registrations that lapse in an outage are kept",
        file: "packages/routes/src/registry.ts",
        find: "return mayHaveLapsed(registry, now) && entry.state",
        replace: "return now < 0 && entry.state",
        tests: [ROUTES],
    },
    {
        promise: "all hosts together stay within the budget of repeated sends",
        file: "packages/policy/src/retry-budget.ts",
        find: "budget.slack / maxHosts",
        replace: "budget.slack",
        tests: [CARRY],
    },
    {
        promise: "a registered endpoint that leaves gets nothing new",
        file: DECLARE,
        find: "const leaving = entry.state === EndpointState.Leaving;",
        replace: "const leaving = entry.state === undefined;",
        tests: [GATEWAY],
    },
    {
        promise: "soak: a registered endpoint that leaves gets nothing new",
        file: DECLARE,
        find: "const leaving = entry.state === EndpointState.Leaving;",
        replace: "const leaving = entry.state === undefined;",
        tests: [SOAK],
    },
    {
        promise: "soak: a refusal as not run is true",
        file: "packages/host/src/calls/forward-reply.ts",
        find: 'return ran !== "no" && NOT_RUN_STATUSES.has(status) ? BAD_GATEWAY : status;',
        replace: 'return ran === "yes" ? BAD_GATEWAY : 503;',
        tests: [SOAK],
    },
    {
        promise: "soak: a planned stop cuts nothing that runs",
        file: "packages/host/src/gateway.ts",
        find: 'await pause(cfg["callers.still-served"]);',
        replace: "return await kill();",
        tests: [SOAK],
    },
    {
        promise: "a watcher that the store does not answer is passed over",
        file: "packages/hall/src/store-watchers.ts",
        find: "? !hasStoreFailed",
        replace: "? true",
        tests: [FOLLOWING],
    },
    {
        promise: "a host that hears of no watcher watches by itself",
        file: "packages/hall/src/store-watchers.ts",
        find: 'now < watchUntil ? "alone" : undefined',
        replace: "undefined",
        tests: [FOLLOWING],
    },
    {
        promise: "a watcher that is passed over says so",
        file: "packages/hall/src/store-watchers.ts",
        find: "state.wasWatcher && hears === false",
        replace: "false",
        tests: [FOLLOWING],
    },
    {
        promise: "a host that stays behind asks a peer",
        file: "packages/hall/src/store-watchers.ts",
        find: "const asks = missing !== undefined && isBehind",
        replace: "const asks = false && missing !== undefined",
        tests: [FOLLOWING],
    },
    {
        promise: "a suspected host denies it",
        file: "packages/hall/src/membership.ts",
        find: "incarnation: news.incarnation + 1,",
        replace: "",
        tests: [DETECTOR],
    },
    {
        promise: "a host that does not answer is tried by others before it is suspected",
        file: "packages/hall/src/detector.ts",
        find: "const INDIRECT_PROBERS = 2;",
        replace: "const INDIRECT_PROBERS = 0;",
        tests: [DETECTOR],
    },
    {
        promise: "a refused caller comes back when the overload has probably ended",
        file: "packages/policy/src/forecast.ts",
        find: "retryTimes.last + intervalMs, recoveryAt)",
        replace: "retryTimes.last + intervalMs)",
        tests: ["packages/policy/test/overload.test.ts"],
    },
    {
        promise: "an owner that does not answer is passed over",
        file: "packages/hall/src/load-exchange.ts",
        find: "for (const [, { owner }] of late) silentOwners.set(owner, now + SILENT_OWNER_MS);",
        replace: "",
        tests: [HALL],
    },
    {
        promise: "suspended: a deadline that passed meanwhile ends its call at the wake",
        file: "packages/host/src/gateway.ts",
        find: "openRequests.onWake();",
        replace: "",
        tests: [SUSPENDED],
    },
    {
        promise: "suspended: connections that idled are not used",
        file: "packages/host/src/gateway.ts",
        find: "connections.closeAllIdle();\n        feed.onWake(",
        replace: "feed.onWake(",
        tests: [SUSPENDED],
    },
    {
        promise: "suspended: nothing is served by what was known before",
        file: "packages/host/src/calls/forward.ts",
        find: "if (!table || deps.isStale())",
        replace: "if (!table)",
        tests: [SUSPENDED],
    },
    {
        promise: "suspended: a host that is cut off serves again",
        file: "packages/host/src/store/deployment-feed.ts",
        find: "this.deps.clock.now() - wokeAt < MAX_STALE_MS",
        replace: "wokeAt > 0",
        tests: [SUSPENDED],
    },
    {
        promise: "suspended: a step of the time of day counts for nothing",
        file: CLOCK,
        find: "if (Math.abs(gainedMs - jumpMs) <= JUMP_TOLERANCE_MS) suspendedMs = gainedMs;",
        replace: "suspendedMs = jumpMs;",
        tests: ["packages/protocol/test/clock.test.ts"],
    },
    {
        promise: "half a request reaches no endpoint",
        file: "packages/host/src/calls/request-body.ts",
        find: "else chunks.push(chunk);",
        replace: 'else end({ kind: "whole", bytes: chunk });',
        tests: [GATEWAY],
    },
];
