/**
 * A fleet whose hosts all want one endpoint that bounds what it is sent: hosts decide, ask owners and tell each other by the
 * modules that they run, with delays, cuts, restarts and suspensions drawn by seed.
 *
 * @module
 */
import {
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    type Said,
    type SchedulerEvent,
    type SchedulerState,
} from "@drumpaddle/policy";
import { makeJob } from "../../policy/test/job.js";
import {
    createShare,
    type EndpointWord,
    hostsEvent,
    saidOf,
    shareAsk,
    shareHear,
    shareRound,
    type ShareState,
    type ShareStep,
    wordsToTell,
} from "../src/index.js";
import { seeded } from "./fleet.js";

/** The fleet has known itself for a while when the requests come. */
const CALM_MS = 12_000;
const STEP_MS = 20;
/** Hosts find out so much later, at most, who is alive. */
const DETECTED_MS = 1_400;
/** A message between hosts, a connection that comes up, an answer. */
const LATE_MS = 90;
const CONNECT_MS = 500;
/** As hosts tell each other what endpoints say: a change to so many, and all again to so many others every so often. */
const FANOUT = 6;
const AGAIN_FANOUT = 3;
const AGAIN_MS = 1_000;
/** A host that starts is ready without an answer after this. */
const ASK_MOST_MS = 400;

interface Host {
    readonly name: string;
    state: SchedulerState;
    share: ShareState;
    /** Counts its starts. */
    life: number;
    /** When the endpoint first told this life its limit; undefined before that. */
    toldAt: number | undefined;
    /** Which part of the fleet it hears, and from when it believes so. */
    part: number;
    hears: readonly string[];
    asleepUntil: number;
    servesAt: number;
}

interface Due {
    readonly at: number;
    readonly run: () => void;
}

/** How the fleet fares. */
export interface Day {
    readonly endpoint: EndpointCfg;
    /** Requests a second that the endpoint names as its limit in answers of a time; none if not given. */
    readonly limitAt?: (now: number) => number | undefined;
    readonly runMs: number;
    readonly hosts: number;
    readonly seed: number;
    /** Requests a second that want the endpoint: all others are full. */
    readonly perS: number;
    /** Parts that the fleet falls into, and how long it stays so. */
    readonly parts: number;
    readonly partMs: number;
    /** Whether hosts are suspended, or start anew and know nothing. */
    readonly sleeps: boolean;
    readonly restarts: boolean;
    /** Hosts that cannot hear anybody. */
    readonly lonely: number;
}

/** A request at the endpoint. */
export interface Arrival {
    readonly at: number;
    /** When the endpoint had first told its host's life the limit; undefined where it had not. */
    readonly toldAt: number | undefined;
}

/** Requests at the endpoint, in order. */
export function play(day: Day): readonly Arrival[] {
    const random = seeded(day.seed);
    const names = Array.from({ length: day.hosts }, (_, at) => `host-${String(at).padStart(3, "0")}`);
    const { endpoint, limitAt } = day;
    const begin = (): SchedulerState => {
        const variant = { ...DEFAULT_VARIANT, askAlways: true, pace: false };
        return decide(createScheduler(variant), { kind: "endpoints", endpoints: [endpoint] }, 0).state;
    };
    const hosts = names.map((name): Host => ({
        name,
        state: begin(),
        share: createShare(name),
        life: 0,
        toldAt: undefined,
        part: 0,
        hears: names,
        asleepUntil: -1,
        servesAt: -Infinity,
    }));
    const byName = new Map(hosts.map(host => [host.name, host]));
    const due: Due[] = [];
    const arrivals: Arrival[] = [];
    let now = -CALM_MS;
    const later = (ms: number, run: () => void): void => void due.push({ at: now + ms, run });
    const feed = (host: Host, events: readonly SchedulerEvent[]): void => {
        for (const event of events) {
            const { state, actions } = decide(host.state, event, now);
            host.state = state;
            for (const action of actions) {
                if (action.kind === "ask") {
                    follow(host, shareAsk(host.share, action, host.state.endpoints, host.hears, now));
                }
                if (action.kind !== "dispatch") continue;
                send(host);
                // It ends at once, so that nothing but the bound keeps off what comes.
                feed(host, [{ kind: "ended", job: action.job, outcome: "whole", produced: 1 }]);
            }
        }
    };
    const send = (host: Host): void => {
        const { life } = host;
        later(random() * CONNECT_MS, () => {
            arrivals.push({ at: now, toldAt: host.life === life ? host.toldAt : undefined });
            if (!limitAt) return;
            const limitPerS = limitAt(now);
            later(random() * LATE_MS, () => {
                if (host.life !== life || host.asleepUntil > now) return;
                if (limitPerS !== undefined) host.toldAt ??= now;
                hear(host, { limitPerS, at: now });
            });
        });
    };
    const said = (host: Host): Said | undefined => host.state.endpoints.get(endpoint.id)?.said;
    const hear = (host: Host, word: Said): void => {
        const before = said(host);
        feed(host, [{ kind: "said", endpoint: endpoint.id, said: word }]);
        if (before?.limitPerS === said(host)?.limitPerS) return;
        tell(host, FANOUT, wordsToTell(host.state.endpoints.values(), now));
    };
    const hearWords = (host: Host, words: readonly EndpointWord[]): void => {
        for (const { limit } of words) if (limit) hear(host, saidOf(limit, now));
    };
    const tell = (host: Host, most: number, words: readonly EndpointWord[]): void => {
        if (words.length === 0) return;
        for (let at = 0; at < most; at++) {
            const peer = hosts[Math.floor(random() * hosts.length)]!;
            if (peer === host || !host.hears.includes(peer.name)) continue;
            deliver(host, peer, () => hearWords(peer, words));
        }
    };
    const deliver = (from: Host, to: Host, run: () => void): void => {
        if (to.part !== from.part) return;
        later(random() * LATE_MS, () => {
            if (to.asleepUntil <= now && to.part === from.part) run();
        });
    };
    const follow = (host: Host, { state, send, events }: ShareStep): void => {
        host.share = state;
        feed(host, events);
        for (const { to, message } of send) {
            const peer = byName.get(to);
            if (!peer) continue;
            deliver(host, peer, () => follow(peer, shareHear(peer.share, host.name, message, peer.state, now)));
        }
    };
    const tellHosts = (host: Host): void => {
        const unheard = Math.min(3, day.hosts - host.hears.length);
        feed(host, [hostsEvent(host.name, host.hears, unheard)]);
        follow(host, shareRound(host.share, host.state.endpoints, host.hears, now, 0, unheard));
    };
    const split = (parts: number): void => {
        for (const [at, host] of hosts.entries()) {
            host.part = at < day.lonely && parts > 1 ? 100 + at : Math.floor(random() * parts);
        }
        for (const host of hosts) {
            const { part } = host;
            later(random() * DETECTED_MS, () => {
                host.hears = hosts.filter(other => other.part === part).map(({ name }) => name);
                tellHosts(host);
            });
        }
    };
    for (const host of hosts) tellHosts(host);
    let jobs = 0;
    let owed = 0;
    now = 0;
    for (; now < day.runMs; now += STEP_MS) {
        if (now > 0 && now % day.partMs < STEP_MS) split(Math.floor(now / day.partMs) % 2 === 1 ? day.parts : 1);
        for (const { run } of due.filter(({ at }) => at <= now)) run();
        due.splice(0, due.length, ...due.filter(({ at }) => at > now));
        if (day.sleeps && random() < 0.05) hosts[Math.floor(random() * day.hosts)]!.asleepUntil = now + 1_000;
        if (day.restarts && random() < 0.05) restart(hosts[Math.floor(random() * day.hosts)]!);
        for (const host of hosts) {
            const { asked, waiting } = host.state;
            if (host.asleepUntil <= now && asked.size + waiting.length > 0) feed(host, [{ kind: "tick" }]);
            if (host.asleepUntil <= now && now % AGAIN_MS < STEP_MS) {
                tell(host, AGAIN_FANOUT, wordsToTell(host.state.endpoints.values(), now));
            }
        }
        owed += day.perS * STEP_MS / 1_000;
        for (; owed >= 1; owed--) {
            const host = hosts[Math.floor(random() * day.hosts)]!;
            if (host.asleepUntil > now || host.servesAt > now) continue;
            jobs += 1;
            // Each comes once: waiting is not what is looked at.
            const job = makeJob(`j${jobs}`, { promptTokens: 1, maxTokens: 1 }, { maxWaitMs: 300 });
            feed(host, [{ kind: "arrive", job, avoid: [], retry: false }]);
        }
    }
    function restart(host: Host): void {
        host.state = begin();
        host.share = createShare(host.name);
        host.life += 1;
        host.toldAt = undefined;
        host.hears = [host.name];
        tellHosts(host);
        // It asks a peer, and serves when one has answered or after a while.
        host.servesAt = now + ASK_MOST_MS;
        later(LATE_MS, () => {
            const peer = hosts.find(other => other !== host && other.part === host.part && other.asleepUntil <= now);
            if (!peer || !limitAt) return;
            const words = wordsToTell(peer.state.endpoints.values(), now);
            deliver(peer, host, () => hearWords(host, words));
        });
        later(DETECTED_MS * random(), () => {
            host.hears = hosts.filter(({ part }) => part === host.part).map(({ name }) => name);
            tellHosts(host);
        });
    }
    return arrivals;
}

/** The most that came within any span of this length. */
export function mostWithin(times: readonly number[], spanMs: number): number {
    const sorted = [...times].sort((a, b) => a - b);
    let most = 0;
    let first = 0;
    for (const [at, time] of sorted.entries()) {
        while (time - sorted[first]! >= spanMs) first += 1;
        most = Math.max(most, at - first + 1);
    }
    return most;
}
