/**
 * A simulated fleet whose hosts all send to one rate-limited endpoint. Hosts run the real scheduler, load exchange and endpoint notices;
 * delays, partitions, restarts and suspensions follow from a seed.
 *
 * @module
 */
import {
    type AnnouncedLimit,
    createScheduler,
    decide,
    DEFAULT_VARIANT,
    type EndpointCfg,
    type SchedulerEvent,
    type SchedulerState,
} from "@drumpaddle/policy";
import { makeJob } from "../../policy/test/job.js";
import {
    askOwner,
    createLoadExchange,
    type EndpointNotice,
    hostsEvent,
    type LoadExchange,
    type LoadExchangeStep,
    noticesToTell,
    receiveLoadMessage,
    runLoadRound,
    saidFromNotice,
} from "../src/index.js";
import { seeded } from "./fleet.js";

/** The hosts exchange messages for this long before requests arrive. */
const WARMUP_MS = 12_000;
const STEP_MS = 20;
/** Longest delay until a host learns that others have become reachable or unreachable. */
const MAX_DETECTION_MS = 1_400;
/** Longest delay of a message between hosts or of an endpoint's answer, and of a new connection. */
const MAX_DELAY_MS = 90;
const MAX_CONNECT_MS = 500;
/** A host sends a changed notice to this many peers, and repeats all notices to a few peers at an interval. */
const FANOUT = 6;
const REPEAT_FANOUT = 3;
const REPEAT_MS = 1_000;
/** A starting host serves after this even if no peer has answered. */
const MAX_STARTUP_MS = 400;

interface Host {
    readonly name: string;
    state: SchedulerState;
    share: LoadExchange;
    /** Number of its restarts. */
    life: number;
    /** When the endpoint first told its limit to this instance of the host; undefined before that. */
    informedAt: number | undefined;
    /** The partition that it is in. */
    part: number;
    knownHosts: readonly string[];
    suspendedUntil: number;
    servesAt: number;
}

/** A scheduled callback. */
interface Due {
    readonly at: number;
    readonly run: () => void;
}

/** A fleet, its load and its faults. */
export interface Scenario {
    readonly endpoint: EndpointCfg;
    /** Rate limit in requests per second that the endpoint names in its answers, over time; none by default. */
    readonly limitAt?: (now: number) => number | undefined;
    readonly runMs: number;
    readonly hosts: number;
    readonly seed: number;
    /** Requests per second that can only go to the endpoint, because all others are full. */
    readonly perS: number;
    /** Number of partitions that the fleet alternately splits into, and how long each phase lasts. */
    readonly parts: number;
    readonly partMs: number;
    /** Whether hosts are suspended, or restart without any knowledge. */
    readonly suspends: boolean;
    readonly restarts: boolean;
    /** Number of hosts that are alone in their partition. */
    readonly isolated: number;
}

/** A request at the endpoint. */
export interface Arrival {
    readonly at: number;
    /** When the endpoint first told its limit to the sending instance; undefined if it had not. */
    readonly informedAt: number | undefined;
}

/** Runs a scenario and returns the requests that arrived at the endpoint. */
export function simulate(day: Scenario): readonly Arrival[] {
    const random = seeded(day.seed);
    const names = Array.from({ length: day.hosts }, (_, at) => `host-${String(at).padStart(3, "0")}`);
    const { endpoint, limitAt } = day;
    const newScheduler = (): SchedulerState => {
        const variant = { ...DEFAULT_VARIANT, askAlways: true, pace: false };
        return decide(createScheduler(variant), { kind: "endpoints", endpoints: [endpoint] }, 0).state;
    };
    const hosts = names.map((name): Host => ({
        name,
        state: newScheduler(),
        share: createLoadExchange(name),
        life: 0,
        informedAt: undefined,
        part: 0,
        knownHosts: names,
        suspendedUntil: -1,
        servesAt: -Infinity,
    }));
    const byName = new Map(hosts.map(host => [host.name, host]));
    const due: Due[] = [];
    const arrivals: Arrival[] = [];
    let now = -WARMUP_MS;
    const schedule = (ms: number, run: () => void): void => void due.push({ at: now + ms, run });
    const handleEvents = (host: Host, events: readonly SchedulerEvent[]): void => {
        for (const event of events) {
            const { state, actions } = decide(host.state, event, now);
            host.state = state;
            for (const action of actions) {
                if (action.kind === "ask") {
                    applyStep(host, askOwner(host.share, action, host.state.endpoints, host.knownHosts, now));
                }
                if (action.kind !== "dispatch") continue;
                send(host);
                // It ends at once, so that only the rate limit holds requests back.
                handleEvents(host, [{ kind: "ended", job: action.job, outcome: "whole", produced: 1 }]);
            }
        }
    };
    const send = (host: Host): void => {
        const { life } = host;
        schedule(random() * MAX_CONNECT_MS, () => {
            arrivals.push({ at: now, informedAt: host.life === life ? host.informedAt : undefined });
            if (!limitAt) return;
            const limitPerS = limitAt(now);
            schedule(random() * MAX_DELAY_MS, () => {
                if (host.life !== life || host.suspendedUntil > now) return;
                if (limitPerS !== undefined) host.informedAt ??= now;
                applyLimit(host, { limitPerS, at: now });
            });
        });
    };
    const said = (host: Host): AnnouncedLimit | undefined => host.state.endpoints.get(endpoint.id)?.announcedLimit;
    const applyLimit = (host: Host, word: AnnouncedLimit): void => {
        const before = said(host);
        handleEvents(host, [{ kind: "said", endpoint: endpoint.id, said: word }]);
        if (before?.limitPerS === said(host)?.limitPerS) return;
        sendNotices(host, FANOUT, noticesToTell(host.state.endpoints.values(), now));
    };
    const applyNotices = (host: Host, words: readonly EndpointNotice[]): void => {
        for (const { limit } of words) if (limit) applyLimit(host, saidFromNotice(limit, now));
    };
    const sendNotices = (host: Host, most: number, words: readonly EndpointNotice[]): void => {
        if (words.length === 0) return;
        for (let at = 0; at < most; at++) {
            const peer = hosts[Math.floor(random() * hosts.length)]!;
            if (peer === host || !host.knownHosts.includes(peer.name)) continue;
            deliver(host, peer, () => applyNotices(peer, words));
        }
    };
    const deliver = (from: Host, to: Host, run: () => void): void => {
        if (to.part !== from.part) return;
        schedule(random() * MAX_DELAY_MS, () => {
            if (to.suspendedUntil <= now && to.part === from.part) run();
        });
    };
    const applyStep = (host: Host, { state, send, events }: LoadExchangeStep): void => {
        host.share = state;
        handleEvents(host, events);
        for (const { to, message } of send) {
            const peer = byName.get(to);
            if (!peer) continue;
            deliver(
                host,
                peer,
                () => applyStep(peer, receiveLoadMessage(peer.share, host.name, message, peer.state, now)),
            );
        }
    };
    const runRound = (host: Host): void => {
        const unheard = Math.min(3, day.hosts - host.knownHosts.length);
        handleEvents(host, [hostsEvent(host.name, host.knownHosts, unheard)]);
        applyStep(host, runLoadRound(host.share, host.state.endpoints, host.knownHosts, now, 0, unheard));
    };
    const split = (parts: number): void => {
        for (const [at, host] of hosts.entries()) {
            host.part = at < day.isolated && parts > 1 ? 100 + at : Math.floor(random() * parts);
        }
        for (const host of hosts) {
            const { part } = host;
            schedule(random() * MAX_DETECTION_MS, () => {
                host.knownHosts = hosts.filter(other => other.part === part).map(({ name }) => name);
                runRound(host);
            });
        }
    };
    for (const host of hosts) runRound(host);
    let jobs = 0;
    let dueRequests = 0;
    now = 0;
    for (; now < day.runMs; now += STEP_MS) {
        if (now > 0 && now % day.partMs < STEP_MS) split(Math.floor(now / day.partMs) % 2 === 1 ? day.parts : 1);
        for (const { run } of due.filter(({ at }) => at <= now)) run();
        due.splice(0, due.length, ...due.filter(({ at }) => at > now));
        if (day.suspends && random() < 0.05) hosts[Math.floor(random() * day.hosts)]!.suspendedUntil = now + 1_000;
        if (day.restarts && random() < 0.05) restart(hosts[Math.floor(random() * day.hosts)]!);
        for (const host of hosts) {
            const { asked, waiting } = host.state;
            if (host.suspendedUntil <= now && asked.size + waiting.length > 0) handleEvents(host, [{ kind: "tick" }]);
            if (host.suspendedUntil <= now && now % REPEAT_MS < STEP_MS) {
                sendNotices(host, REPEAT_FANOUT, noticesToTell(host.state.endpoints.values(), now));
            }
        }
        dueRequests += day.perS * STEP_MS / 1_000;
        for (; dueRequests >= 1; dueRequests--) {
            const host = hosts[Math.floor(random() * day.hosts)]!;
            if (host.suspendedUntil > now || host.servesAt > now) continue;
            jobs += 1;
            // Refused requests are not retried: the simulation does not measure waiting.
            const job = makeJob(`j${jobs}`, { promptTokens: 1, maxTokens: 1 }, { maxWaitMs: 300 });
            handleEvents(host, [{ kind: "arrive", job, avoid: [], retry: false }]);
        }
    }
    function restart(host: Host): void {
        host.state = newScheduler();
        host.share = createLoadExchange(host.name);
        host.life += 1;
        host.informedAt = undefined;
        host.knownHosts = [host.name];
        runRound(host);
        // It asks a peer for notices, and serves after a while whether or not one has answered.
        host.servesAt = now + MAX_STARTUP_MS;
        schedule(MAX_DELAY_MS, () => {
            const peer = hosts.find(other => other !== host && other.part === host.part && other.suspendedUntil <= now);
            if (!peer || !limitAt) return;
            const words = noticesToTell(peer.state.endpoints.values(), now);
            deliver(peer, host, () => applyNotices(host, words));
        });
        schedule(MAX_DETECTION_MS * random(), () => {
            host.knownHosts = hosts.filter(({ part }) => part === host.part).map(({ name }) => name);
            runRound(host);
        });
    }
    return arrivals;
}

/** Returns the largest number of times within any span of this length. */
export function maxWithin(times: readonly number[], spanMs: number): number {
    const sorted = [...times].sort((a, b) => a - b);
    let most = 0;
    let first = 0;
    for (const [at, time] of sorted.entries()) {
        while (time - sorted[first]! >= spanMs) first += 1;
        most = Math.max(most, at - first + 1);
    }
    return most;
}
