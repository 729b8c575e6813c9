/**
 * Protocol by which the hosts of a hall share the load of endpoints: periodic reports, and questions to the owners of endpoints. The
 * daemon sends the messages over sockets; simulations and benchmarks deliver them directly.
 *
 * All functions are pure: they return the next state, the messages to send, and the events for the host's own scheduler.
 *
 * @module
 */
import {
    advisePlacement,
    type EndpointTable,
    type EndpointView,
    ownerSpeedOf,
    ownPendingPrefill,
    pendingPrefill,
    type PlacementQuestion,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
    stalledStreams,
    type StandbySubject,
    subjectOf,
} from "@drumpaddle/policy";
import {
    decodeLoad,
    dropExpiredLoads,
    EMPTY_ACCOUNT,
    encodeLoad,
    type EndpointLoad,
    type Grant,
    hasChanged,
    LOAD_REPEAT_MS,
    type LoadAccount,
    loadOfOthers,
    type LocalLoad,
    NOTHING_REPORTED,
    planReports,
    recordGrant,
    recordLoads,
    type ReportedLoads,
} from "./load-account.js";
import { EQUAL_WEIGHTS, ownerOf, shardOf, type Weights } from "./ownership.js";
import { decodeSamples, decodeSpeed, encodeSpeed } from "./speed-encoding.js";

/** A host's state of the exchange. */
export interface LoadExchange {
    readonly self: string;
    /** Weights by which live hosts are assigned endpoints to own. */
    readonly weights: Weights;
    /** Loads on this host's own endpoints, as hosts reported them. */
    readonly account: LoadAccount;
    /** This host's last reports to owners. */
    readonly reported: ReportedLoads;
    /** This host's last reports, as an owner, by receiving host. */
    readonly reportedToHosts: ReadonlyMap<string, ReportToHost>;
    /** Cached while hosts, weights and endpoints stay the same: ranking the hosts for all endpoints takes thousands of hashes. */
    readonly owners: OwnersByEndpoint;
    /** Questions without an answer yet, by job. */
    readonly openQuestions: ReadonlyMap<string, { readonly owner: string; readonly at: number }>;
    /** Owners that did not answer in time, with the time until which they are passed over. */
    readonly silentOwners: ReadonlyMap<string, number>;
    /** When this host, as an owner, last reported to the others. */
    readonly reportedToHostsAt: number;
}

/** Endpoints in a shard, on average at most. The owner of a shard places requests on all of its endpoints. */
const ENDPOINTS_PER_OWNER = 64;
/** Number of distinct marks by which the scheduler tells hosts apart. */
const HOST_MARKS = 2 ** 16;
/** An owner that has not answered a question after this is passed over. Answers usually take a few milliseconds. */
const ANSWER_TIMEOUT_MS = 100;
/** For how long a silent owner is passed over. */
const SILENT_OWNER_MS = 2_000;

/** An owner's last report to a host, so that it sends only changes. */
interface ReportToHost {
    /** Last reported load by endpoint, with the time of the report. */
    readonly held: ReadonlyMap<string, { readonly held: EndpointLoad; readonly at: number }>;
    /** Owned and leaving endpoints in the last report, as one string. */
    readonly endpointsKey: string;
    readonly at: number;
}

/** The owners of all endpoints. */
interface OwnersByEndpoint {
    /** The hosts, weights and endpoints from which the owners were computed, as one string. */
    readonly inputsKey: string;
    readonly byEndpoint: ReadonlyMap<string, string | undefined>;
}

/** Messages between the hosts of a hall. */
export type LoadMessage =
    /** Report to an owner: the sender's load on the owner's endpoints. */
    | { readonly kind: "held"; readonly held: readonly EndpointLoad[] }
    /** Report of an owner: the load of hosts other than the receiver, and which of its endpoints announce that they are leaving. */
    | {
        readonly kind: "others";
        readonly others: readonly EndpointLoad[];
        readonly owned: readonly string[];
        readonly leaving: readonly string[];
    }
    /** Asks an owner where to send a request. `stream` is the load that the request will add. */
    | { readonly kind: "question"; readonly job: string; readonly stream: EndpointLoad }
        & Omit<PlacementQuestion, "curve">
    /** An owner's answer. It names no endpoint if none has room. */
    | {
        readonly kind: "answer";
        readonly job: string;
        readonly endpoint?: string;
        readonly standby?: string;
        readonly unread?: number;
        /** Repeats the question's stream, if only a standby was sought; hosts of earlier releases leave it out. */
        readonly standbyOf?: StandbySubject;
    };

/** A message and the name of its receiver. */
export interface AddressedLoadMessage {
    readonly to: string;
    readonly message: LoadMessage;
}

/** Result of a step: the next state, the messages to send, and the events for the host's own scheduler. */
export interface LoadExchangeStep {
    readonly state: LoadExchange;
    readonly send: readonly AddressedLoadMessage[];
    readonly events: readonly SchedulerEvent[];
}

/** Creates the state of a host that has sent and received nothing. */
export function createLoadExchange(self: string): LoadExchange {
    return {
        self,
        weights: EQUAL_WEIGHTS,
        account: EMPTY_ACCOUNT,
        reported: NOTHING_REPORTED,
        reportedToHosts: new Map(),
        owners: { inputsKey: "", byEndpoint: new Map() },
        openQuestions: new Map(),
        silentOwners: new Map(),
        reportedToHostsAt: -Infinity,
    };
}

/** Sets the weights by which hosts own endpoints. Weights of hosts that are not live have no effect. */
export function withOwnerWeights(state: LoadExchange, weights: Weights): LoadExchange {
    return { ...state, weights };
}

/**
 * Returns the owner of an endpoint among live hosts. Endpoints are assigned in shards, so that an owner has several endpoints to choose
 * from when it places a request.
 *
 * @param count Number of all endpoints.
 *
 * @example
 * ```ts
 * endpointOwner("e1", 31, ["k1-a", "k1-b"]);
 * ```
 */
export function endpointOwner(
    endpoint: string,
    count: number,
    live: readonly string[],
    weights: Weights = EQUAL_WEIGHTS,
): string | undefined {
    return ownerOf(`endpoints/${shardOf(endpoint, Math.ceil(count / ENDPOINTS_PER_OWNER))}`, live, weights);
}

function resolveOwners(
    previous: OwnersByEndpoint,
    endpoints: readonly string[],
    live: readonly string[],
    weights: Weights,
): OwnersByEndpoint {
    const weightedHosts = live.map(host => weights.has(host) ? `${host}=${weights.get(host)}` : host);
    const inputsKey = `${weightedHosts.join(",")};${endpoints.join(",")}`;
    if (inputsKey === previous.inputsKey) return previous;
    const count = endpoints.length;
    return {
        inputsKey,
        byEndpoint: new Map(endpoints.map(endpoint => [endpoint, endpointOwner(endpoint, count, live, weights)])),
    };
}

/** Passes over owners that have not answered a question in time, and lets those return whose time is over. */
function expireQuestions(state: LoadExchange, now: number): LoadExchange {
    const late = [...state.openQuestions].filter(([, { at }]) => now - at >= ANSWER_TIMEOUT_MS);
    const hasExpired = [...state.silentOwners].some(([, until]) => now >= until);
    if (late.length === 0 && !hasExpired) return state;
    const openQuestions = new Map([...state.openQuestions].filter(([, { at }]) => now - at < ANSWER_TIMEOUT_MS));
    const silentOwners = new Map([...state.silentOwners].filter(([, until]) => now < until));
    for (const [, { owner }] of late) silentOwners.set(owner, now + SILENT_OWNER_MS);
    return { ...state, openQuestions, silentOwners };
}

/** Returns the live hosts that are not passed over for their silence. */
function answeringHosts({ silentOwners }: LoadExchange, live: readonly string[]): readonly string[] {
    return silentOwners.size === 0 ? live : live.filter(host => !silentOwners.has(host));
}

/**
 * Runs a round: the host reports its load to the owners and, as an owner, reports the load of the others to every live host when that is
 * due. Hosts without load get these reports too, since they must not consider an endpoint idle that is not.
 *
 * @param reportIntervalMs Interval of an owner's reports to hosts. Reports to owners are sent in every round.
 * @param unknownHosts Number of candidate hosts that this host was told of and does not know yet.
 *
 * @example
 * ```ts
 * const intervalMs = ownerReportIntervalMs(live.length);
 * const { state: next, send, events } = runLoadRound(state, scheduler.endpoints, live, now, intervalMs);
 * ```
 */
export function runLoadRound(
    previous: LoadExchange,
    endpoints: EndpointTable,
    live: readonly string[],
    now: number,
    reportIntervalMs = 0,
    unknownHosts = 0,
): LoadExchangeStep {
    const state = expireQuestions(previous, now);
    const views = endpoints.values();
    const loads = views.map(view => localLoad(view, now));
    const owners = resolveOwners(
        state.owners,
        views.map(view => view.cfg.id),
        answeringHosts(state, live),
        state.weights,
    );
    const { state: reported, reports } = planReports(
        state.reported,
        loads,
        endpoint => owners.byEndpoint.get(endpoint),
        now,
    );
    const account = dropExpiredLoads(recordLoads(state.account, state.self, reports.get(state.self) ?? [], now), now);
    const loadMessages = [...reports].filter(([owner]) => owner !== state.self)
        .map(([to, list]): AddressedLoadMessage => ({ to, message: { kind: "held", held: list } }));
    const owned = views.map(view => view.cfg.id).filter(endpoint => owners.byEndpoint.get(endpoint) === state.self);
    const next: LoadExchange = { ...state, account, reported, owners };
    const isDue = now - state.reportedToHostsAt >= reportIntervalMs;
    const { state: after, send: others } = isDue
        ? reportToHosts(next, endpoints, owned, live, now)
        : { state: next, send: [] };
    const events: SchedulerEvent[] = [
        hostsEvent(state.self, live, unknownHosts),
        { kind: "owns", endpoints: owned },
        ...owned.map((endpoint): SchedulerEvent => ({
            kind: "others",
            endpoint,
            others: loadOfOthers(account, endpoint, state.self),
        })),
    ];
    return { state: after, send: [...loadMessages, ...others], events };
}

/**
 * Returns the event that informs a host's scheduler of the live hosts.
 *
 * @param live Sorted names of the live hosts, including this one unless it is leaving.
 * @param unknownHosts Number of candidate hosts that this host was told of and does not know yet.
 */
export function hostsEvent(self: string, live: readonly string[], unknownHosts: number): SchedulerEvent {
    // A leaving host is not in the list and takes the last place.
    const place = live.includes(self) ? live.indexOf(self) : live.length;
    return {
        kind: "hosts",
        count: Math.max(1, live.length),
        place,
        unheard: unknownHosts,
        mark: shardOf(self, HOST_MARKS),
    };
}

/** Returns this host's own load on an endpoint. */
function localLoad(view: EndpointView, now: number): LocalLoad {
    const encoded = encodeLoad(view.cfg.id, {
        streams: view.streams.size,
        unread: ownPendingPrefill(view),
        stalled: stalledStreams(view, now),
        curve: view.curve,
    });
    return { ...encoded, allSamples: view.ownSpeedSums };
}

/** As an owner, reports changes in the load of the others to every live host. */
function reportToHosts(
    state: LoadExchange,
    endpoints: EndpointTable,
    owned: readonly string[],
    live: readonly string[],
    now: number,
): { readonly state: LoadExchange; readonly send: readonly AddressedLoadMessage[] } {
    const leaving = owned.filter(endpoint => endpoints.get(endpoint)?.leavingBy.includes("endpoint"));
    const reportedToHosts = new Map<string, ReportToHost>();
    const send = live.flatMap((to): readonly AddressedLoadMessage[] => {
        if (to === state.self || owned.length === 0) return [];
        const loads = owned.map(endpoint => encodeOthers(state.account, endpoints.get(endpoint), endpoint, to, now));
        const { report, message } = planReportToHost(state.reportedToHosts.get(to), loads, { owned, leaving }, now);
        reportedToHosts.set(to, report);
        return message ? [{ to, message }] : [];
    });
    return { state: { ...state, reportedToHosts, reportedToHostsAt: now }, send };
}

/** Plans an owner's report to one host. The message is undefined if nothing is new and no repeat is due. */
function planReportToHost(
    last: ReportToHost | undefined,
    loads: readonly EndpointLoad[],
    { owned, leaving }: { readonly owned: readonly string[]; readonly leaving: readonly string[] },
    now: number,
): { readonly report: ReportToHost; readonly message: LoadMessage | undefined } {
    const held = new Map(last?.held);
    const others = loads.filter(item => {
        const previous = held.get(item.endpoint);
        return !previous || now - previous.at >= LOAD_REPEAT_MS || hasChanged(previous.held, item);
    });
    for (const item of others) held.set(item.endpoint, { held: item, at: now });
    const endpointsKey = `${owned.join(",")};${leaving.join(",")}`;
    const isRepeatDue = last === undefined || last.endpointsKey !== endpointsKey || now - last.at >= LOAD_REPEAT_MS;
    if (others.length === 0 && !isRepeatDue) return { report: last, message: undefined };
    return { report: { held, endpointsKey, at: now }, message: { kind: "others", others, owned, leaving } };
}

function encodeOthers(
    account: LoadAccount,
    view: EndpointView | undefined,
    endpoint: string,
    host: string,
    now: number,
): EndpointLoad {
    const speed = view && ownerSpeedOf(view.speed, now);
    return {
        ...encodeLoad(endpoint, loadOfOthers(account, endpoint, host)),
        ...(speed ? { speed: encodeSpeed(speed) } : {}),
    };
}

/** Sends the scheduler's question to an endpoint's owner. Nothing is sent if no host is alive, or if the owner is this host. */
export function askOwner(
    previous: LoadExchange,
    action: Extract<SchedulerAction, { kind: "ask" }>,
    endpoints: EndpointTable,
    live: readonly string[],
    now: number,
): LoadExchangeStep {
    const state = expireQuestions(previous, now);
    const { job, endpoint, question: { curve, ...rest } } = action;
    const to = endpointOwner(endpoint, endpoints.values().length, answeringHosts(state, live), state.weights);
    if (to === undefined || to === state.self) return { state, send: [], events: [] };
    const message: LoadMessage = {
        kind: "question",
        job,
        stream: encodeLoad(endpoint, { streams: 1, unread: 0, stalled: 0, curve }),
        ...rest,
    };
    const openQuestions = new Map(state.openQuestions).set(job, { owner: to, at: now });
    return { state: { ...state, openQuestions }, send: [{ to, message }], events: [] };
}

type Handler<K extends LoadMessage["kind"]> = (
    state: LoadExchange,
    from: string,
    message: Extract<LoadMessage, { kind: K }>,
    scheduler: SchedulerState,
    now: number,
) => LoadExchangeStep;

const HANDLERS: { readonly [K in LoadMessage["kind"]]: Handler<K> } = {
    held: (state, from, { held }, _scheduler, now) => {
        const account = recordLoads(state.account, from, held, now);
        const events = held.flatMap(({ endpoint, shown }): readonly SchedulerEvent[] => [
            othersEvent(account, endpoint, state.self),
            ...(shown ? [{ kind: "shown", host: from, endpoint, shown: decodeSamples(shown) } as const] : []),
        ]);
        return { state: { ...state, account }, send: [], events };
    },
    others: (state, _from, { others, owned, leaving }) => ({
        state,
        send: [],
        events: [
            ...others.map((held): SchedulerEvent => ({
                kind: "others",
                endpoint: held.endpoint,
                others: decodeLoad(held),
                speed: held.speed && decodeSpeed(held.speed),
            })),
            ...owned.map((endpoint): SchedulerEvent => ({
                kind: "leaving",
                endpoint,
                source: "endpoint",
                leaving: leaving.includes(endpoint),
            })),
        ],
    }),
    question: (state, from, { job, stream, ...rest }, scheduler, now) => {
        const { curve } = decodeLoad(stream);
        const advice = advisePlacement(scheduler, { ...rest, curve }, now);
        const subject = subjectOf(rest);
        const about = subject ? { standbyOf: subject } : {};
        if (!advice) return { state, send: [{ to: from, message: { kind: "answer", job, ...about } }], events: [] };
        const { endpoint, standby } = advice;
        const grants: readonly Grant[] = [
            ...(endpoint === undefined ? [] : [{ endpoint, kind: "stream", curve } as const]),
            ...(standby === undefined ? [] : [{ endpoint: standby, kind: "copy", curve } as const]),
        ];
        const account = grants.reduce((sum, grant) => recordGrant(sum, from, grant, now), state.account);
        const answer: LoadMessage = {
            kind: "answer",
            job,
            ...(endpoint === undefined ? {} : { endpoint }),
            ...(standby === undefined ? {} : { standby }),
            ...unreadOf(scheduler, endpoint),
            ...about,
        };
        return {
            state: { ...state, account },
            send: [{ to: from, message: answer }],
            events: [
                ...grants.map(grant => othersEvent(account, grant.endpoint, state.self)),
                ...(endpoint === undefined ? [] : [{ kind: "letIn", endpoint } as const]),
            ],
        };
    },
    answer: (state, _from, { job, endpoint, standby, unread, standbyOf }) => {
        const openQuestions = new Map(state.openQuestions);
        openQuestions.delete(job);
        return {
            state: { ...state, openQuestions },
            send: [],
            events: [{ kind: "answer", job, endpoint, standby, unread, standbyOf }],
        };
    },
};

/** Returns the prompt tokens that an endpoint has to read before a new request, for an answer. */
function unreadOf({ endpoints }: SchedulerState, endpoint: string | undefined): { readonly unread?: number } {
    const view = endpoint === undefined ? undefined : endpoints.get(endpoint);
    return view ? { unread: pendingPrefill(view) } : {};
}

function othersEvent(account: LoadAccount, endpoint: string, self: string): SchedulerEvent {
    return { kind: "others", endpoint, others: loadOfOthers(account, endpoint, self) };
}

/**
 * Handles a message of another host.
 *
 * @example
 * ```ts
 * const { state: next, send, events } = receiveLoadMessage(state, "k1-b", message, scheduler, now);
 * ```
 */
export function receiveLoadMessage(
    state: LoadExchange,
    from: string,
    message: LoadMessage,
    scheduler: SchedulerState,
    now: number,
): LoadExchangeStep {
    const handler = HANDLERS[message.kind] as Handler<LoadMessage["kind"]>;
    return handler(state, from, message, scheduler, now);
}
