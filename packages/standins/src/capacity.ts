/**
 * Computes the cost of the control plane at the planned size from measured unit costs ("slopes"): state, messages,
 * bytes, processor time and memory of each role. The formulas are pure, so that a test can check the documented tables
 * against them.
 *
 * @module
 */
import { PROGRESS_EVERY } from "@drumpaddle/policy";

/** The deployment's planned size and its budgets. */
export const PLAN = {
    hosts: 350,
    workers: 940,
    requestsPerS: 7_300,
    tokensPerS: 2_800_000,
    workspaces: 3_200,
    models: 8,
    halls: 6,
    editsPerDay: 520,
    hostsReplacedPerDay: 85,
    /** Budget of each daemon's control plane. */
    budget: { cores: 0.028, memoryMb: 128, bytesPerS: 10_000 },
    /** Capacity of the key-value service. */
    kv: { writesPerS: 100, readsPerS: 2_000 },
} as const;

/**
 * Share of requests for which a host asks an endpoint's owner first, because the endpoint is crowded. The worst case is
 * 1.
 */
const ASKING_SHARE = 0.5;
/** Size of an endpoint's answer to a load request, with its head. */
const LOAD_ANSWER_BYTES = 300;
/** Rate to which the daemon limits its reads of the host list. */
const HOST_LIST_BYTES_PER_S = 700;
const SECONDS_PER_DAY = 86_400;
/** Interval at which a watching host renews its watch and reads the settings' head. */
const WATCHER_READ_INTERVAL_S = 5;
const WATCHERS_PER_HALL = 2;

/** Unit costs, as `npm run bench:capacity` measures them. */
export interface Slopes {
    /** Processor time of one progress event in the scheduler of a host of the planned size, in microseconds. */
    readonly progressUs: number;
    /** Processor time of one request's start and end in the same scheduler, in microseconds. */
    readonly requestUs: number;
    /** Processor time of one round of the load exchange at a host of the planned size, in microseconds. */
    readonly tellRoundUs: number;
    /** Processor time of creating, encoding and decoding one probe of the failure detector, in microseconds. */
    readonly heartbeatUs: number;
    readonly heartbeatBytes: number;
    /** Bytes of one endpoint's entry in `held` and `others`. */
    readonly heldEntryBytes: number;
    /** Bytes of a load message without entries. */
    readonly messageBytes: number;
    /** Processor time of one load request over HTTP, client and stand-in engine together, in microseconds. */
    readonly loadAskUs: number;
    /** Bytes of a host's question to an owner, and of the answer. */
    readonly questionBytes: number;
    readonly answerBytes: number;
    /** Size of the whole settings tree at 3,200 workspaces. */
    readonly treeBytes: number;
    /** Bytes that a host receives for an edit of one workspace. */
    readonly editBytes: number;
    /** Processor time of adopting an edit. */
    readonly adoptMs: number;
    readonly settingsMb: number;
    readonly estimateBytesPerGroup: number;
    readonly limitBytesPerWorkspace: number;
    readonly streamBytes: number;
}

/** A host's share of the planned size. */
export function perHost(): {
    hallHosts: number;
    hallWorkers: number;
    owned: number;
    requestsPerS: number;
    tokensPerS: number;
    streams: number;
} {
    const hallHosts = Math.ceil(PLAN.hosts / PLAN.halls);
    const hallWorkers = Math.ceil(PLAN.workers / PLAN.halls);
    return {
        hallHosts,
        hallWorkers,
        owned: hallWorkers / hallHosts,
        requestsPerS: PLAN.requestsPerS / PLAN.hosts,
        tokensPerS: PLAN.tokensPerS / PLAN.hosts,
        // A stream at the required bound of 44 ms between tokens takes 1 / 0.044 tokens a second.
        streams: PLAN.tokensPerS / PLAN.hosts * 0.044,
    };
}

/** Cost of one role at a host of the planned size. */
export interface RoleCost {
    readonly role: string;
    readonly mechanism: string;
    readonly state: string;
    readonly messagesPerS: number;
    readonly bytesPerS: number;
    readonly cores: number;
    readonly memoryMb: number;
}

const US_PER_S = 1_000_000;
const BYTES_PER_MB = 1_000_000;

/** Messages that a host sends in each probe round: 10.2 messages a second, at 50 to 800 hosts (detector-cost.test). */
export const PROBE_MESSAGES_PER_ROUND = 2.55;

/**
 * Computes the cost of each role. `reportIntervalMs` and `probeIntervalMs` are the intervals that a hall of the planned
 * size uses; `messagesPerRound` is the number of messages in a probe round.
 */
export function roleCosts(
    slopes: Slopes,
    reportIntervalMs: number,
    probeIntervalMs: number,
    messagesPerRound: number,
): readonly RoleCost[] {
    const host = perHost();
    const probeRoundsPerS = 1000 / probeIntervalMs;
    const reportRoundsPerS = 1000 / reportIntervalMs;
    const questionsPerS = host.requestsPerS * ASKING_SHARE;
    const peers = host.hallHosts - 1;
    const editsPerS = PLAN.editsPerDay / SECONDS_PER_DAY;
    // Expected number of endpoints at which this host has streams: with 350 streams on 157 workers nearly all.
    const endpointsInUse = host.hallWorkers * (1 - Math.exp(-host.streams / host.hallWorkers));
    const groups = PLAN.workspaces * PLAN.models;
    return [
        {
            role: "decisions",
            mechanism: "own account of streams, life tables of lengths",
            state: `${Math.round(host.streams)} streams, ${host.hallWorkers} endpoints, ${groups} groups`,
            messagesPerS: 0,
            bytesPerS: 0,
            cores: (host.tokensPerS / PROGRESS_EVERY * slopes.progressUs + host.requestsPerS * slopes.requestUs)
                / US_PER_S,
            memoryMb: (groups * slopes.estimateBytesPerGroup + host.streams * slopes.streamBytes) / BYTES_PER_MB,
        },
        {
            role: "limits",
            mechanism: "shares that add up, token buckets",
            state: `${PLAN.workspaces} workspaces`,
            messagesPerS: 0,
            bytesPerS: 0,
            cores: 0,
            memoryMb: PLAN.workspaces * slopes.limitBytesPerWorkspace / BYTES_PER_MB,
        },
        {
            role: "peer",
            mechanism: "probes of a few hosts and gossip, at a rate that does not grow",
            state: `${peers} members`,
            messagesPerS: probeRoundsPerS * messagesPerRound * 2,
            bytesPerS: probeRoundsPerS * messagesPerRound * slopes.heartbeatBytes,
            cores: probeRoundsPerS * messagesPerRound * 2 * slopes.heartbeatUs / US_PER_S,
            memoryMb: 0.1,
        },
        {
            role: "owner, told",
            mechanism: "holders tell owners what they hold, in rounds",
            state: `${Math.round(host.owned * peers)} entries`,
            messagesPerS: reportRoundsPerS * peers,
            bytesPerS: reportRoundsPerS * (endpointsInUse * slopes.heldEntryBytes + peers * slopes.messageBytes),
            cores: reportRoundsPerS * slopes.tellRoundUs / US_PER_S,
            memoryMb: host.owned * peers * 1_000 / BYTES_PER_MB,
        },
        {
            role: "owner, telling",
            mechanism: "owners tell every host what the others hold, in rounds",
            state: `${host.owned.toFixed(1)} endpoints`,
            messagesPerS: reportRoundsPerS * peers,
            bytesPerS: reportRoundsPerS * peers * (host.owned * slopes.heldEntryBytes + slopes.messageBytes),
            cores: 0,
            memoryMb: 0,
        },
        {
            role: "owner, asked",
            mechanism: "asked before a request goes to a crowded endpoint",
            state: "grants since the last round",
            messagesPerS: questionsPerS * 2,
            bytesPerS: questionsPerS * (slopes.questionBytes + slopes.answerBytes) / 2,
            cores: questionsPerS * 2 * slopes.heartbeatUs / US_PER_S,
            memoryMb: 0,
        },
        {
            role: "endpoint side",
            mechanism: "owners ask their endpoints for load each second",
            state: `${host.owned.toFixed(1)} endpoints`,
            messagesPerS: host.owned * 2,
            bytesPerS: host.owned * LOAD_ANSWER_BYTES,
            cores: host.owned * slopes.loadAskUs / US_PER_S,
            memoryMb: 0,
        },
        {
            role: "host list reader",
            mechanism: "asked for as often as its bytes allow",
            state: "machines of the hall",
            messagesPerS: 0.1,
            bytesPerS: HOST_LIST_BYTES_PER_S,
            cores: 0,
            memoryMb: 0.1,
        },
        {
            role: "settings reader",
            mechanism: "two watchers a hall, the rest by peers, only changed parts",
            state: `${(slopes.treeBytes / BYTES_PER_MB).toFixed(2)} MB of tree`,
            messagesPerS: editsPerS * 3,
            bytesPerS: editsPerS * slopes.editBytes,
            cores: editsPerS * slopes.adoptMs / 1000,
            memoryMb: slopes.settingsMb,
        },
    ];
}

/** Load that all hosts together put on the key-value service. */
export interface KvLoad {
    readonly situation: string;
    readonly readsPerS: number;
    readonly writesPerS: number;
    readonly openWatches: number;
}

/** Situations, by the number of hosts that start within a number of seconds. */
const START_SITUATIONS: readonly { readonly situation: string; readonly hosts: number; readonly withinS: number }[] = [
    { situation: "ordinary day, 85 hosts replaced", hosts: PLAN.hostsReplacedPerDay, withinS: SECONDS_PER_DAY },
    { situation: "a rack of 20 hosts restarts within 10 s", hosts: 20, withinS: 10 },
    { situation: "a hall restarts within 10 s", hosts: Math.ceil(PLAN.hosts / PLAN.halls), withinS: 10 },
    { situation: "everything restarts within 10 s", hosts: PLAN.hosts, withinS: 10 },
];
/** Reads of a starting host: the settings' head, all parts in one call, and a watch until it knows its hall. */
const READS_PER_START = 3;
/** Reads of an edit: it looks up an earlier outcome and reads the head before it writes. */
const READS_PER_EDIT = 3;

/** Computes the load on the key-value service in each situation. */
export function kvLoads(): readonly KvLoad[] {
    const watchers = WATCHERS_PER_HALL * PLAN.halls;
    const editsPerS = PLAN.editsPerDay / SECONDS_PER_DAY;
    const steadyReads = watchers / WATCHER_READ_INTERVAL_S + editsPerS * (READS_PER_EDIT + watchers * 2);
    return START_SITUATIONS.map(({ situation, hosts, withinS }) => ({
        situation,
        readsPerS: steadyReads + hosts * READS_PER_START / withinS,
        writesPerS: editsPerS,
        openWatches: watchers + Math.min(hosts, withinS === SECONDS_PER_DAY ? 0 : hosts),
    }));
}

function row(cells: readonly string[]): string {
    return `| ${cells.join(" | ")} |`;
}

/** Renders the tables for docs/CAPACITY.md. */
export function renderCapacity(
    slopes: Slopes,
    reportIntervalMs: number,
    probeIntervalMs: number,
    messagesPerRound: number,
): string {
    const costs = roleCosts(slopes, reportIntervalMs, probeIntervalMs, messagesPerRound);
    const total = costs.reduce((sum, cost) => ({
        messagesPerS: sum.messagesPerS + cost.messagesPerS,
        bytesPerS: sum.bytesPerS + cost.bytesPerS,
        cores: sum.cores + cost.cores,
        memoryMb: sum.memoryMb + cost.memoryMb,
    }), { messagesPerS: 0, bytesPerS: 0, cores: 0, memoryMb: 0 });
    const { budget } = PLAN;
    const numbersOf = (cost: typeof total): string[] => [
        cost.messagesPerS.toFixed(1),
        cost.bytesPerS.toFixed(0),
        (100 * cost.cores).toFixed(2),
        cost.memoryMb.toFixed(1),
    ];
    const margin = [
        "",
        `${(budget.bytesPerS / total.bytesPerS).toFixed(2)} times`,
        `${(budget.cores / total.cores).toFixed(2)} times`,
        `${(budget.memoryMb / total.memoryMb).toFixed(2)} times`,
    ];
    const lines = [
        row(["role", "mechanism", "state at a host", "messages/s", "bytes/s", "% of a core", "MB"]),
        "|---|---|---|---|---|---|---|",
        ...costs.map(cost => row([cost.role, cost.mechanism, cost.state, ...numbersOf(cost)])),
        row(["**all control**", "", "", ...numbersOf(total)]),
        row(["budget", "", "", "", String(budget.bytesPerS), (100 * budget.cores).toFixed(1), String(budget.memoryMb)]),
        row(["budget is", "", "", ...margin]),
        "",
        row(["key-value service", "reads/s (of 2,000)", "writes/s (of 100)", "waiting watches"]),
        "|---|---|---|---|",
        ...kvLoads().map(cost =>
            row([cost.situation, cost.readsPerS.toFixed(1), cost.writesPerS.toFixed(3), String(cost.openWatches)])
        ),
    ];
    return lines.join("\n");
}
