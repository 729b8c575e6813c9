/**
 * One host's part in what the hosts of a hall know of each other's streams: rounds of telling, questions and answers.
 * The daemon carries its messages over sockets, a measurement hands them over directly; both run this.
 *
 * Pure: each function returns the next state, the messages to send, and the events for the host's own decisions.
 *
 * @module
 */
import {
    addCurve,
    type EndpointTable,
    type Others,
    type SchedulerAction,
    type SchedulerEvent,
    unreadTokens,
} from "@drumpaddle/policy";
import {
    type Account,
    curveOf,
    EMPTY_ACCOUNT,
    type Held,
    heldOf,
    isNews,
    judge,
    NOTHING_TOLD,
    othersFor,
    planTelling,
    type Question,
    REPEAT_MS,
    takeHeld,
    type Told,
} from "./load-share.js";
import { ownerOf } from "./ownership.js";

/** What a host keeps of the hall's streams. */
export interface ShareState {
    readonly self: string;
    /** As an owner: what others told. */
    readonly account: Account;
    /** As a holder: what was told to owners. */
    readonly told: Told;
    /** As an owner: what was told to each host of its endpoints. */
    readonly toldOthers: ReadonlyMap<string, ToldOthers>;
    /** Owners by endpoint, kept while hosts and endpoints stay the same: ranking all of them costs thousands of hashes. */
    readonly owners: Owners;
}

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
    /** Asked of an owner before a request is sent to a crowded endpoint. */
    | { readonly kind: "question"; readonly job: string } & Question
    /** An owner's word, with what others than the asker hold on the endpoint. */
    | { readonly kind: "answer"; readonly job: string; readonly granted: boolean; readonly others: Held };

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
        account: EMPTY_ACCOUNT,
        told: NOTHING_TOLD,
        toldOthers: new Map(),
        owners: { basis: "", of: new Map() },
    };
}

/** The owner of an endpoint among live hosts. */
export function endpointOwner(endpoint: string, live: readonly string[]): string | undefined {
    return ownerOf(`endpoint/${endpoint}`, live);
}

function ownersOf(known: Owners, endpoints: readonly string[], live: readonly string[]): Owners {
    const basis = `${live.join(",")};${endpoints.join(",")}`;
    if (basis === known.basis) return known;
    return { basis, of: new Map(endpoints.map(endpoint => [endpoint, endpointOwner(endpoint, live)])) };
}

/**
 * One round: the host tells owners what it holds, and as an owner tells every live host what the others hold. A host that
 * holds nothing yet hears it too, since it must not take an endpoint for empty.
 *
 * @example
 * ```ts
 * const { state: next, send, events } = shareRound(state, scheduler.endpoints, live, now);
 * ```
 */
export function shareRound(
    state: ShareState,
    endpoints: EndpointTable,
    live: readonly string[],
    now: number,
): ShareStep {
    const views = endpoints.values();
    const holdings = views.map(view => heldOf(view.cfg.id, view.streams.size, unreadTokens(view), view.curve));
    const owners = ownersOf(state.owners, views.map(view => view.cfg.id), live);
    const { state: told, toSay } = planTelling(state.told, holdings, endpoint => owners.of.get(endpoint), now);
    const account = takeHeld(state.account, state.self, toSay.get(state.self) ?? [], now);
    const held = [...toSay].filter(([owner]) => owner !== state.self)
        .map(([to, list]): Addressed => ({ to, message: { kind: "held", held: list } }));
    const owned = views.map(view => view.cfg.id).filter(endpoint => owners.of.get(endpoint) === state.self);
    const leaving = owned.filter(endpoint => endpoints.get(endpoint)?.leavingBy.includes("endpoint"));
    const toldOthers = new Map<string, ToldOthers>();
    const others = live.flatMap((to): readonly Addressed[] => {
        if (to === state.self || owned.length === 0) return [];
        const known = owned.map(endpoint => sentOthers(account, endpoint, to, now));
        const { told: next, message } = planOthers(state.toldOthers.get(to), known, { owned, leaving }, now);
        toldOthers.set(to, next);
        return message ? [{ to, message }] : [];
    });
    const events: SchedulerEvent[] = [
        { kind: "hosts", count: Math.max(1, live.length) },
        { kind: "owns", endpoints: owned },
        ...owned.map((endpoint): SchedulerEvent => ({
            kind: "others",
            endpoint,
            others: othersFor(account, endpoint, state.self, now),
        })),
    ];
    return { state: { ...state, account, told, toldOthers, owners }, send: [...held, ...others], events };
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

function sentOthers(account: Account, endpoint: string, host: string, now: number): Held {
    const { streams, unread, curve } = othersFor(account, endpoint, host, now);
    return heldOf(endpoint, streams, unread, curve);
}

function toOthers(held: Held): Others {
    return { streams: held.streams, unread: held.unread, curve: curveOf(held) };
}

/** The question to an endpoint's owner that the host's decisions ask for; none where no owner is alive. */
export function shareAsk(
    state: ShareState,
    action: Extract<SchedulerAction, { kind: "ask" }>,
    endpoints: EndpointTable,
    live: readonly string[],
): ShareStep {
    const { job, endpoint, curve, bounds } = action;
    const to = endpointOwner(endpoint, live);
    const view = endpoints.get(endpoint);
    if (to === undefined || !view) return { state, send: [], events: [] };
    // The stream is already counted in the view: what is held without it is told. It holds its unread prompt.
    const unread = Math.max(0, unreadTokens(view) - curve.mean[0]!);
    const held = heldOf(endpoint, view.streams.size - 1, unread, addCurve(view.curve, curve, -1));
    const message: ShareMessage = { kind: "question", job, held, stream: heldOf(endpoint, 1, 0, curve), bounds };
    return { state, send: [{ to, message }], events: [] };
}

type Handler<K extends ShareMessage["kind"]> = (
    state: ShareState,
    from: string,
    message: Extract<ShareMessage, { kind: K }>,
    endpoints: EndpointTable,
    now: number,
) => ShareStep;

const HANDLERS: { readonly [K in ShareMessage["kind"]]: Handler<K> } = {
    held: (state, from, { held }, _endpoints, now) => ({
        state: { ...state, account: takeHeld(state.account, from, held, now) },
        send: [],
        events: [],
    }),
    others: (state, _from, { others, owned, leaving }) => ({
        state,
        send: [],
        events: [
            ...others.map((held): SchedulerEvent => ({
                kind: "others",
                endpoint: held.endpoint,
                others: toOthers(held),
            })),
            ...owned.map((endpoint): SchedulerEvent => ({
                kind: "leaving",
                endpoint,
                source: "endpoint",
                leaving: leaving.includes(endpoint),
            })),
        ],
    }),
    question: (state, from, { job, held, stream, bounds }, endpoints, now) => {
        const { endpoint } = held;
        const own = endpoints.get(endpoint);
        const mine = own ? [heldOf(endpoint, own.streams.size, unreadTokens(own), own.curve)] : [];
        const fresh = takeHeld(state.account, state.self, mine, now);
        const { account, granted } = judge(fresh, from, { held, stream, bounds }, now);
        const answer: ShareMessage = { kind: "answer", job, granted, others: sentOthers(account, endpoint, from, now) };
        return {
            state: { ...state, account },
            send: [{ to: from, message: answer }],
            events: [{ kind: "others", endpoint, others: othersFor(account, endpoint, state.self, now) }],
        };
    },
    answer: (state, _from, { job, granted, others }) => ({
        state,
        send: [],
        events: [{ kind: "answer", job, granted, others: toOthers(others) }],
    }),
};

/**
 * Takes in a message of another host.
 *
 * @example
 * ```ts
 * const { state: next, send, events } = shareHear(state, "k1-b", message, scheduler.endpoints, now);
 * ```
 */
export function shareHear(
    state: ShareState,
    from: string,
    message: ShareMessage,
    endpoints: EndpointTable,
    now: number,
): ShareStep {
    const handler = HANDLERS[message.kind] as Handler<ShareMessage["kind"]>;
    return handler(state, from, message, endpoints, now);
}
