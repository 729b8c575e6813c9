/**
 * Mutations of the promises on what endpoints say, what is said of them, and which lives they have.
 *
 * @module
 */
import type { Mutation } from "./mutation.js";

const POLICY = "packages/policy/test/policy.test.ts";
const CARRY = "packages/policy/test/backups.test.ts";
const LIVES = "platform/test/lives.test.ts";
const ROUTES = "packages/routes/test/registry.test.ts";
const ATTEMPT = "packages/host/src/calls/forward-attempt.ts";
const ENDPOINT = "packages/policy/src/endpoint.ts";
const COLD_SOURCE = "packages/policy/src/cold.ts";
const COLD = "packages/policy/test/cold.test.ts";
const COLD_FLEET = "packages/hall/test/cold.test.ts";
const COLD_AGAIN = "platform/test/cold-again.test.ts";
const REST = "platform/test/endpoint-rest.test.ts";
const REST_POLICY = "packages/policy/test/rest.test.ts";
const LEAVING = "platform/test/endpoint-leaving.test.ts";
const LIMIT_SOURCE = "packages/policy/src/endpoint-limit.ts";
const LOANS = "packages/policy/test/limit-loans.test.ts";
const LIMIT = "packages/policy/test/endpoint-limit.test.ts";
const LIMIT_FLEET = "packages/hall/test/limit.test.ts";
const LIMITS = "platform/test/endpoint-limits.test.ts";
const EVACUATION = "platform/test/evacuation.test.ts";
const ORDERS = "packages/routes/test/evacuation.test.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const ENDPOINT_MUTATIONS: readonly Mutation[] = [
    {
        promise: "an evacuated hall gets nothing new",
        file: ENDPOINT,
        find: " && cfg.isEvacuated !== true",
        replace: "",
        tests: [EVACUATION],
    },
    {
        promise: "nor a stream that goes on from its copy there",
        file: "packages/policy/src/scheduler.ts",
        find: "const isOpen = keeper.cfg.isEvacuated !== true",
        replace: "const isOpen = true",
        tests: [COLD],
    },
    {
        promise: "what a peer tells of evacuations counts",
        file: "packages/host/src/store/deployment-feed.ts",
        find: "adoptPeerEndpoints(this.registry, entries, evacuated, this.deps.clock.now())",
        replace: "adoptPeerEndpoints(this.registry, entries, [], this.deps.clock.now())",
        tests: [EVACUATION],
    },
    {
        promise: "all hosts together keep to what a cold endpoint bears",
        file: COLD_SOURCE,
        find: " || 2 * live <= most",
        replace: "",
        tests: [COLD, COLD_FLEET],
    },
    {
        promise: "nor does a host that has just started let anything in there",
        file: COLD_SOURCE,
        find: "const FLEET_LEARN_MS = 10_000;",
        replace: "const FLEET_LEARN_MS = 0;",
        tests: [COLD],
    },
    {
        promise: "a hall that is taken back is cold",
        file: "packages/routes/src/cold-period.ts",
        find: "Math.max(ownWarmAt, reopenedWarmAt)",
        replace: "ownWarmAt",
        tests: [ORDERS],
    },
    {
        promise: "homes bind",
        file: ENDPOINT,
        find: "halls === undefined || halls.includes(cfg.hall)",
        replace: "true || halls?.includes(cfg.hall) === true",
        tests: [EVACUATION],
    },
    {
        promise: "nor does it after its owner granted a request",
        file: "packages/policy/src/owner-answers.ts",
        find: "!view || !takesNew(view) || isThrottledHere",
        replace: "!view || isThrottledHere",
        tests: [POLICY],
    },
    {
        promise: "lives: an earlier one that is told late changes nothing",
        file: "packages/routes/src/registry.ts",
        find: "if (order === IncarnationOrder.Earlier) return;",
        replace: "",
        tests: [ROUTES],
    },
    {
        promise: "lives: what runs in one that is over does not wait",
        file: ATTEMPT,
        find: 'incarnationSignal.addEventListener("abort", this.onIncarnationOver, { once: true });',
        replace: "",
        tests: [LIVES],
    },
    {
        promise: "lives: no stream goes on at a copy of an earlier one",
        file: "packages/policy/src/scheduler.ts",
        find: "held.reduce(dropBackup, state)",
        replace: "held.length > 0 ? state : state",
        tests: [CARRY, LIVES],
    },
    {
        promise: "lives: a registration that cannot be read names none to use",
        file: "packages/host/src/store/registrations.ts",
        find: 'return { kind: "unreadable", id };',
        replace: "return undefined;",
        tests: [LIVES],
    },
    {
        promise: "limits: all hosts together keep to what an endpoint names",
        file: LIMIT_SOURCE,
        find: "const each = Math.floor(maxRequests / hosts);",
        replace: "const each = maxRequests;",
        tests: [LIMIT, LIMIT_FLEET, LIMITS],
    },
    {
        promise: "limits: a part of the fleet does not hand out what goes to the whole",
        file: LIMIT_SOURCE,
        find:
            "return hearsMajority(fleet) && placeAtEndpoint(endpoint, fleet) < maxRequests % hosts ? each + 1 : each;",
        replace: "return placeAtEndpoint(endpoint, fleet) < maxRequests % hosts ? each + 1 : each;",
        tests: [LIMIT],
    },
    {
        promise: "limits: a host that starts hears of them before it is ready",
        file: "packages/host/src/peers/notice-sharing.ts",
        find: "return this.startupQuery.isReady;",
        replace: "return true;",
        tests: ["packages/host/test/notice-sharing.test.ts"],
    },
    {
        promise: "limits: hosts tell each other",
        file: "packages/host/src/peers/notice-sharing.ts",
        find: "if (notices.length > 0) this.send(this.someOthers(maxHosts), notices, false);",
        replace: "void [maxHosts, notices];",
        tests: [LIMITS],
    },
    {
        promise: "limits: a host to which most callers come borrows shares",
        file: "packages/policy/src/limit-demand.ts",
        find: "return { ...state, refusedForLimits: new Map(state.refusedForLimits).set(model, [...recent, now]) };",
        replace: "return recent.length < 0 ? state : { ...state };",
        tests: [LOANS],
    },
    {
        promise: "limits: a lender gives up what it lends",
        file: "packages/policy/src/endpoint-limit.ts",
        find: "const balance = loanedCount(valid, perS, now) - loanedCount(lent, perS, now);",
        replace: "const balance = loanedCount(valid, perS, now) - 0 * lent.length;",
        tests: [LOANS],
    },
    {
        promise: "limits: a host lends only what it does not use",
        file: "packages/policy/src/limit-demand.ts",
        find: "return Math.max(0, Math.floor(share - Math.max(used, projected) - reserve));",
        replace: "return Math.max(0, Math.floor(share - 0 * Math.max(used, projected, reserve)));",
        tests: [LOANS],
    },
    {
        promise: "limits: what a restarted lender had lent is no longer used",
        file: "packages/policy/src/limit-loans.ts",
        find: "borrowed: borrowed.filter(({ id }) => !isEnded(id))",
        replace: "borrowed: borrowed.filter(({ id }) => id !== String(isEnded))",
        tests: [LOANS],
    },
    {
        promise: "limits: a stream goes on at its copy within them",
        file: "packages/policy/src/scheduler.ts",
        find: "&& limitAdmits(keeper, state.letIn.get(standby) ?? [], state, now);",
        replace: ";",
        tests: [LIMIT],
    },
    {
        promise: "limits: owners let nobody in",
        file: "packages/policy/src/owner-answers.ts",
        find: "(isLimited(view) || isResting(view, now))",
        replace: "isResting(view, now)",
        tests: [LIMIT],
    },
    {
        promise: "limits: what they keep away is refused at once",
        file: "packages/policy/src/refusal.ts",
        find: "const throttledMs = throttlingFor(state, waiting, position, now)?.waitMs ?? 0;",
        replace: "const throttledMs = 0;",
        tests: [LIMITS],
    },
    {
        promise: "limits: another worker's answer names none of this one's",
        file: ATTEMPT,
        find: "if (this.head.id === send.call.id && status !== MISDIRECTED) onSelfReport(status, this.head);",
        replace: "onSelfReport(status, this.head);",
        tests: [LIMITS],
    },
    {
        promise: "limits: one that is over binds nobody",
        file: "packages/host/src/endpoints/endpoint-notices.ts",
        find: "if (!known && said.limitPerS === undefined && said.maxRejectsPerS === undefined) return false;",
        replace: "if (said.limitPerS === undefined && said.maxRejectsPerS === undefined) return false;",
        tests: [LIMITS],
    },
    {
        promise: "says it leaves: nothing new goes there",
        file: "packages/host/src/endpoints/endpoint-notices.ts",
        find: 'for (const placement of this.deps.placements) placement.setLeaving(endpoint, "answer", true);',
        replace: "",
        tests: [LEAVING],
    },
    {
        promise: "says it leaves: hosts tell each other",
        file: "packages/host/src/endpoints/endpoint-notices.ts",
        find: 'const isLeavingNews = leaves && this.applyLeaving(endpoint, "peer");',
        replace: "const isLeavingNews = false;",
        tests: [LEAVING],
    },
    {
        promise: "says it leaves: it holds while its registration comes and goes",
        file: "packages/policy/src/departed-endpoints.ts",
        find: "if (!known) return view;",
        replace: "if (known) return view;",
        tests: [LEAVING],
    },
    {
        promise: "rest: nothing goes to an endpoint that wants it",
        file: "packages/policy/src/endpoint-admission.ts",
        find: "if (isResting(view, now) || !mayAdmit(state, view, now)) return false;",
        replace: "if (!mayAdmit(state, view, now)) return false;",
        tests: [REST],
    },
    {
        promise: "rest: nor what an owner advises",
        file: "packages/policy/src/owner-answers.ts",
        find: "(isLimited(view) || isResting(view, now))",
        replace: "isLimited(view)",
        tests: [REST_POLICY],
    },
    {
        promise: "rest: nor a stream that goes on there",
        file: "packages/policy/src/scheduler.ts",
        find: "&& !isResting(keeper, now)",
        replace: "",
        tests: [REST_POLICY],
    },
    {
        promise: "rest: only a refusal asks for it",
        file: "packages/host/src/endpoints/endpoint-notices.ts",
        find: "if (status === SERVICE_UNAVAILABLE && head.notRun) this.readRetryAfter(endpoint, head);",
        replace: "this.readRetryAfter(endpoint, head);",
        tests: [REST],
    },
    {
        promise: "rest: of several times the last one counts",
        file: ENDPOINT,
        find: "restUntil: Math.max(until, view.restUntil ?? -Infinity)",
        replace: "restUntil: until",
        tests: [REST_POLICY],
    },
    {
        promise: "lives: one that may have begun is taken for cold",
        file: "packages/host/src/endpoints/restart-suspicions.ts",
        find: "placement.suspectRestart(incarnation, SUSPICION_MS);",
        replace: "",
        tests: [COLD_AGAIN],
    },
    {
        promise: "lives: one that may have begun while no host was connected is taken for cold, too",
        file: "packages/host/src/calls/forward-runner.ts",
        find: "return endpoint && deps.settleRestart(endpoint);",
        replace: "return undefined;",
        tests: [COLD_AGAIN],
    },
    {
        promise: "lives: a stream without events makes its host ask whether the engine lives",
        file: ATTEMPT,
        find: "this.firstEvent?.start();",
        replace: "",
        tests: [LIVES],
    },
    {
        promise: "limits: a host with peers is ready when one has answered",
        file: "packages/host/src/peers/startup-query.ts",
        find: "this.deps.hasPeers() ? MAX_WAIT_MS : ALONE_WAIT_MS",
        replace: "ALONE_WAIT_MS",
        tests: ["packages/host/test/startup-query.test.ts", LIMITS],
    },
    {
        promise: "limits: an answer counts once the endpoints are known",
        file: "packages/host/src/peers/notice-sharing.ts",
        find: "if (message.isAll && this.deps.knowsEndpoints())",
        replace: "if (message.isAll)",
        tests: ["packages/host/test/notice-sharing.test.ts"],
    },
    {
        promise: "store: a hall whose hosts were all passed over watches again",
        file: "packages/hall/src/store-watchers.ts",
        find: ": longestPassedOver({ ...state, expectedFrom, storeFailedAt }, ranked);",
        replace: ": picked.watchers;",
        tests: ["packages/hall/test/store-watchers.test.ts"],
    },
    {
        promise: "lives: one that lives on is used in full",
        file: "packages/host/src/endpoints/restart-suspicions.ts",
        find: 'if (sign.kind === "lives" && sign.reportsBirth) placement.suspectRestart(incarnation, undefined);',
        replace: "",
        tests: [COLD_AGAIN],
    },
];
