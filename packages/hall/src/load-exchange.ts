/**
 * One host's part in what the hosts of a hall know of each other's streams: rounds of telling, questions and answers.
 * The daemon carries its messages over sockets, a measurement hands them over directly; both run this.
 *
 * Pure: each function returns the next state, the messages to send, and the events for the host's own decisions.
 *
 * @module
 */
import {
    advise,
    type EndpointTable,
    type EndpointView,
    type Question,
    type SchedulerAction,
    type SchedulerEvent,
    type SchedulerState,
    stalledStreams,
    toldSpeedOf,
    unreadAt,
    unreadTokens,
} from "@drumpaddle/policy";
import {
    type Account,
    addGrant,
    dropStale,
    EMPTY_ACCOUNT,
    type Grant,
    type Held,
    heldOf,
    type Holding,
    isNews,
    NOTHING_TOLD,
    othersFor,
    othersOf,
    planTelling,
    REPEAT_MS,
    takeHeld,
    type Told,
} from "./load-account.js";
import { EQUAL, ownerOf, shardOf, type Weights } from "./ownership.js";
import { shownOf, speedOf, speedWords } from "./speed-encoding.js";

/** What a host keeps of the hall's streams. */
export interface ShareState {
    readonly self: string;
    /** By which live hosts own endpoints. */
    readonly weights: Weights;
    /** As an owner: what others told. */
    readonly account: Account;
    /** As a holder: what was told to owners. */
    readonly told: Told;
    /** As an owner: what was told to each host of its endpoints. */
    readonly toldOthers: ReadonlyMap<string, ToldOthers>;
    /** Owners by endpoint, kept while hosts and endpoints stay the same: ranking all of them costs thousands of hashes. */
    readonly owners: Owners;
    /** Questions that owners have not answered. */
    readonly open: ReadonlyMap<string, { readonly owner: string; readonly at: number }>;
    /** Owners that did not answer, until when others are asked in their place. */
    readonly silent: ReadonlyMap<string, number>;
    /** When this host, as an owner, last told the others what is held. */
    readonly toldOthersAt: number;
}

/** Endpoints of one owner at most, on average: it chooses among all of them at once. */
const ENDPOINTS_PER_OWNER = 64;
/** Marks that hosts are told apart by. */
const MARKS = 2 ** 16;
/** A question is answered in a few milliseconds; an owner that took longer is passed over for a while. */
const ANSWER_MS = 100;
const SILENT_MS = 2_000;

/** What an owner told one host last, so that it says only what is new. */
interface ToldOthers {
    readonly held: ReadonlyMap<string, { readonly held: Held; readonly at: number }>;
    /** Which endpoints were said to be owned and leaving, and when. */
    readonly basis: string;
    readonly at: number;
}

interface Owners {
    /** What the map was worked out from. */
    readonly basis: string;
    readonly of: ReadonlyMap<string, string | undefined>;
}

/** Messages between the hosts of a hall. */
export type ShareMessage =
    /** Told to an owner: what the sender holds on endpoints. */
    | { readonly kind: "held"; readonly held: readonly Held[] }
    /** Told by an owner: what others than the receiver hold, and which of its endpoints say that they are leaving. */
    | {
        readonly kind: "others";
        readonly others: readonly Held[];
        readonly owned: readonly string[];
        readonly leaving: readonly string[];
    }
    /** Asked of an owner: where is a request to go? `stream` is what it will hold. */
    | { readonly kind: "question"; readonly job: string; readonly stream: Held } & Omit<Question, "curve">
    /** An owner's word; no endpoint where none has room. */
    | {
        readonly kind: "answer";
        readonly job: string;
        readonly endpoint?: string;
        readonly standby?: string;
        readonly unread?: number;
    };

/** A message with the host that it goes to. */
export interface Addressed {
    readonly to: string;
    readonly message: ShareMessage;
}

/** What follows from one step. */
export interface ShareStep {
    readonly state: ShareState;
    readonly send: readonly Addressed[];
    readonly events: readonly SchedulerEvent[];
}

/** A host that has told and heard nothing. */
export function createShare(self: string): ShareState {
    return {
        self,
        weights: EQUAL,
        account: EMPTY_ACCOUNT,
        told: NOTHING_TOLD,
        toldOthers: new Map(),
        owners: { basis: "", of: new Map() },
        open: new Map(),
        silent: new Map(),
        toldOthersAt: -Infinity,
    };
}

/** The state in which hosts own endpoints by these weights; those that are not live count for nothing. */
export function withWeights(state: ShareState, weights: Weights): ShareState {
    return { ...state, weights };
}

/**
 * The owner of an endpoint among live hosts. One host owns so many endpoints together that its advice is a choice.
 *
 * @param count Endpoints in all.
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
    weights: Weights = EQUAL,
): string | undefined {
    return ownerOf(`endpoints/${shardOf(endpoint, Math.ceil(count / ENDPOINTS_PER_OWNER))}`, live, weights);
}

function ownersOf(known: Owners, endpoints: readonly string[], live: readonly string[], weights: Weights): Owners {
    const rated = live.map(host => weights.has(host) ? `${host}=${weights.get(host)}` : host);
    const basis = `${rated.join(",")};${endpoints.join(",")}`;
    if (basis === known.basis) return known;
    const count = endpoints.length;
    return { basis, of: new Map(endpoints.map(endpoint => [endpoint, endpointOwner(endpoint, count, live, weights)])) };
}

/** The state in which owners that left a question unanswered are passed over for a while. */
function passOverSilent(state: ShareState, now: number): ShareState {
    const late = [...state.open].filter(([, { at }]) => now - at >= ANSWER_MS);
    const lapsed = [...state.silent].some(([, until]) => now >= until);
    if (late.length === 0 && !lapsed) return state;
    const open = new Map([...state.open].filter(([, { at }]) => now - at < ANSWER_MS));
    const silent = new Map([...state.silent].filter(([, until]) => now < until));
    for (const [, { owner }] of late) silent.set(owner, now + SILENT_MS);
    return { ...state, open, silent };
}

/** Live hosts that answer. */
function answering({ silent }: ShareState, live: readonly string[]): readonly string[] {
    return silent.size === 0 ? live : live.filter(host => !silent.has(host));
}

/**
 * One round: the host tells owners what it holds and, when that is due, as an owner tells every live host what the others
 * hold. A host that holds nothing yet hears it too, since it must not take an endpoint for empty.
 *
 * @param othersEveryMs How often an owner tells hosts; owners are told in every round.
 * @param unheard Hosts that this one was told of and has not heard of yet.
 *
 * @example
 * ```ts
 * const { state: next, send, events } = shareRound(state, scheduler.endpoints, live, now, tellEvery(live.length));
 * ```
 */
export function shareRound(
    before: ShareState,
    endpoints: EndpointTable,
    live: readonly string[],
    now: number,
    othersEveryMs = 0,
    unheard = 0,
): ShareStep {
    const state = passOverSilent(before, now);
    const views = endpoints.values();
    const holdings = views.map(view => ownHeld(view, now));
    const owners = ownersOf(state.owners, views.map(view => view.cfg.id), answering(state, live), state.weights);
    const { state: told, toSay } = planTelling(state.told, holdings, endpoint => owners.of.get(endpoint), now);
    const account = dropStale(takeHeld(state.account, state.self, toSay.get(state.self) ?? [], now), now);
    const held = [...toSay].filter(([owner]) => owner !== state.self)
        .map(([to, list]): Addressed => ({ to, message: { kind: "held", held: list } }));
    const owned = views.map(view => view.cfg.id).filter(endpoint => owners.of.get(endpoint) === state.self);
    const next: ShareState = { ...state, account, told, owners };
    const isDue = now - state.toldOthersAt >= othersEveryMs;
    const { state: after, send: others } = isDue
        ? tellOthers(next, endpoints, owned, live, now)
        : { state: next, send: [] };
    const events: SchedulerEvent[] = [
        hostsEvent(state.self, live, unheard),
        { kind: "owns", endpoints: owned },
        ...owned.map((endpoint): SchedulerEvent => ({
            kind: "others",
            endpoint,
            others: othersFor(account, endpoint, state.self),
        })),
    ];
    return { state: after, send: [...held, ...others], events };
}

/**
 * What a host's decisions are told of the live hosts.
 *
 * @param live Live hosts in order, itself included unless it is leaving.
 * @param unheard Hosts that it was told of and has not heard of yet.
 */
export function hostsEvent(self: string, live: readonly string[], unheard: number): SchedulerEvent {
    // One that is leaving takes the last place.
    const place = live.includes(self) ? live.indexOf(self) : live.length;
    return { kind: "hosts", count: Math.max(1, live.length), place, unheard, mark: shardOf(self, MARKS) };
}

/** What this host holds on an endpoint. */
function ownHeld(view: EndpointView, now: number): Holding {
    const held = heldOf(view.cfg.id, {
        streams: view.streams.size,
        unread: unreadTokens(view),
        stalled: stalledStreams(view, now),
        curve: view.curve,
    });
    return { ...held, allShown: view.shown };
}

/** As an owner, tells every live host what is new of what the others hold. */
function tellOthers(
    state: ShareState,
    endpoints: EndpointTable,
    owned: readonly string[],
    live: readonly string[],
    now: number,
): { readonly state: ShareState; readonly send: readonly Addressed[] } {
    const leaving = owned.filter(endpoint => endpoints.get(endpoint)?.leavingBy.includes("endpoint"));
    const toldOthers = new Map<string, ToldOthers>();
    const send = live.flatMap((to): readonly Addressed[] => {
        if (to === state.self || owned.length === 0) return [];
        const known = owned.map(endpoint => sentOthers(state.account, endpoints.get(endpoint), endpoint, to, now));
        const { told, message } = planOthers(state.toldOthers.get(to), known, { owned, leaving }, now);
        toldOthers.set(to, told);
        return message ? [{ to, message }] : [];
    });
    return { state: { ...state, toldOthers, toldOthersAt: now }, send };
}

/** What of an owner's knowledge is worth saying to one host now; nothing where nothing is new. */
function planOthers(
    last: ToldOthers | undefined,
    known: readonly Held[],
    { owned, leaving }: { readonly owned: readonly string[]; readonly leaving: readonly string[] },
    now: number,
): { readonly told: ToldOthers; readonly message: ShareMessage | undefined } {
    const held = new Map(last?.held);
    const others = known.filter(item => {
        const before = held.get(item.endpoint);
        return !before || now - before.at >= REPEAT_MS || isNews(before.held, item);
    });
    for (const item of others) held.set(item.endpoint, { held: item, at: now });
    const basis = `${owned.join(",")};${leaving.join(",")}`;
    const repeats = last === undefined || last.basis !== basis || now - last.at >= REPEAT_MS;
    if (others.length === 0 && !repeats) return { told: last, message: undefined };
    return { told: { held, basis, at: now }, message: { kind: "others", others, owned, leaving } };
}

function sentOthers(
    account: Account,
    view: EndpointView | undefined,
    endpoint: string,
    host: string,
    now: number,
): Held {
    const speed = view && toldSpeedOf(view.speed, now);
    return { ...heldOf(endpoint, othersFor(account, endpoint, host)), ...(speed ? { speed: speedWords(speed) } : {}) };
}

/** The question to an endpoint's owner that the host's decisions ask for; none where no owner is alive. */
export function shareAsk(
    before: ShareState,
    action: Extract<SchedulerAction, { kind: "ask" }>,
    endpoints: EndpointTable,
    live: readonly string[],
    now: number,
): ShareStep {
    const state = passOverSilent(before, now);
    const { job, endpoint, question: { curve, ...rest } } = action;
    const to = endpointOwner(endpoint, endpoints.values().length, answering(state, live), state.weights);
    if (to === undefined || to === state.self) return { state, send: [], events: [] };
    const message: ShareMessage = {
        kind: "question",
        job,
        stream: heldOf(endpoint, { streams: 1, unread: 0, stalled: 0, curve }),
        ...rest,
    };
    const open = new Map(state.open).set(job, { owner: to, at: now });
    return { state: { ...state, open }, send: [{ to, message }], events: [] };
}

type Handler<K extends ShareMessage["kind"]> = (
    state: ShareState,
    from: string,
    message: Extract<ShareMessage, { kind: K }>,
    scheduler: SchedulerState,
    now: number,
) => ShareStep;

const HANDLERS: { readonly [K in ShareMessage["kind"]]: Handler<K> } = {
    held: (state, from, { held }, _scheduler, now) => {
        const account = takeHeld(state.account, from, held, now);
        const events = held.flatMap(({ endpoint, shown }): readonly SchedulerEvent[] => [
            othersEvent(account, endpoint, state.self),
            ...(shown ? [{ kind: "shown", host: from, endpoint, shown: shownOf(shown) } as const] : []),
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
                others: othersOf(held),
                speed: held.speed && speedOf(held.speed),
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
        const { curve } = othersOf(stream);
        const advice = advise(scheduler, { ...rest, curve }, now);
        if (!advice) return { state, send: [{ to: from, message: { kind: "answer", job } }], events: [] };
        const { endpoint, standby } = advice;
        const grants: readonly Grant[] = [
            ...(endpoint === undefined ? [] : [{ endpoint, kind: "stream", curve } as const]),
            ...(standby === undefined ? [] : [{ endpoint: standby, kind: "copy", curve } as const]),
        ];
        const account = grants.reduce((sum, grant) => addGrant(sum, from, grant, now), state.account);
        const answer: ShareMessage = {
            kind: "answer",
            job,
            ...(endpoint === undefined ? {} : { endpoint }),
            ...(standby === undefined ? {} : { standby }),
            ...unreadOf(scheduler, endpoint),
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
    answer: (state, _from, { job, endpoint, standby, unread }) => {
        const open = new Map(state.open);
        open.delete(job);
        return { state: { ...state, open }, send: [], events: [{ kind: "answer", job, endpoint, standby, unread }] };
    },
};

/** What is unread at an endpoint before a request that is sent there, for an answer. */
function unreadOf({ endpoints }: SchedulerState, endpoint: string | undefined): { readonly unread?: number } {
    const view = endpoint === undefined ? undefined : endpoints.get(endpoint);
    return view ? { unread: unreadAt(view) } : {};
}

function othersEvent(account: Account, endpoint: string, self: string): SchedulerEvent {
    return { kind: "others", endpoint, others: othersFor(account, endpoint, self) };
}

/**
 * Takes in a message of another host.
 *
 * @example
 * ```ts
 * const { state: next, send, events } = shareHear(state, "k1-b", message, scheduler, now);
 * ```
 */
export function shareHear(
    state: ShareState,
    from: string,
    message: ShareMessage,
    scheduler: SchedulerState,
    now: number,
): ShareStep {
    const handler = HANDLERS[message.kind] as Handler<ShareMessage["kind"]>;
    return handler(state, from, message, scheduler, now);
}
