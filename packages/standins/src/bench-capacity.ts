/**
 * `npm run bench:capacity`: measures the unit costs ("slopes") for docs/CAPACITY.md and prints them with the tables
 * computed from them; `--write` also writes both into the page.
 *
 * @module
 */
import {
    createDetector,
    createLoadExchange,
    type Detector,
    encodeLoad,
    type EndpointLoad,
    endpointOwner,
    type MemberNews,
    ownerReportIntervalMs,
    receiveDetectorMessage,
    receiveLoadMessage,
    runLoadRound,
    Status,
    tickDetector,
} from "@drumpaddle/hall";
import { Directory } from "@drumpaddle/host";
import {
    createLengthEstimates,
    createLimits,
    createScheduler,
    decide,
    type Job,
    observeLength,
    PROGRESS_EVERY,
    reserve,
    type SchedulerEvent,
    type SchedulerState,
} from "@drumpaddle/policy";
import { encodeFrame, fetchEngineLoad, type FrameMessage, FrameReader } from "@drumpaddle/protocol";
import { adoptSnapshot, type SettingsInForce, snapshotOf, type Tree } from "@drumpaddle/settings";
import { readFileSync, writeFileSync } from "node:fs";
import { Agent } from "undici";
import { perHost, PLAN, PROBE_MESSAGES_PER_ROUND, renderCapacity, type Slopes } from "./capacity.js";
import { EngineServer } from "./engine-server.js";
import { PROFILES } from "./variants.js";

const PLAN_HOST = perHost();
const PROBE_INTERVAL_MS = 250;
const US_PER_MS = 1_000;
const BYTES_PER_MB = 1_000_000;
const PAGE = new URL("../../../docs/CAPACITY.md", import.meta.url);
/** The text above this mark is written by hand and kept. */
const MARK = "<!-- printed by npm run bench:capacity -- --write -->";

/** A single collection leaves some garbage of the preceding call. */
const GC_ROUNDS = 4;

/** Measures the mean processor time of a call, in microseconds, after some calls to warm up. */
function timeUs(times: number, run: (index: number) => void): number {
    for (let index = 0; index < times / 5; index++) run(index);
    const before = process.cpuUsage();
    for (let index = 0; index < times; index++) run(index);
    const { user, system } = process.cpuUsage(before);
    return (user + system) / times;
}

/** Measures the memory that a value takes, in bytes. Without `--expose-gc` the result is imprecise. */
function heapOf<T>(make: () => T): { readonly bytes: number; readonly value: T } {
    const gc = (globalThis as { gc?: () => void }).gc ?? (() => undefined);
    const collect = (): void => {
        for (let round = 0; round < GC_ROUNDS; round++) gc();
    };
    collect();
    const before = process.memoryUsage();
    const value = make();
    collect();
    const after = process.memoryUsage();
    return { bytes: Math.max(0, after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers), value };
}

function createJob(id: string, index: number): Job {
    return {
        id,
        group: { workspace: `w${index % PLAN.workspaces}`, service: "s", model: `m${index % PLAN.models}` },
        promptTokens: 500,
        maxTokens: 4_000,
        prefix: "",
        prefixTokens: 0,
        policy: { ...PROFILES.clayhollow, priority: "normal" },
    };
}

/** Creates the scheduler of a host of the planned size, with its streams running. */
function createPlanHost(): { state: SchedulerState; handle: (event: SchedulerEvent, now: number) => void } {
    const models = Array.from({ length: PLAN.models }, (_, index) => `m${index}`);
    const endpoints = Array.from(
        { length: PLAN_HOST.hallWorkers },
        (_, index) => ({ id: `engine-${index}`, hall: "h", models, memoryTokens: 800_000 }),
    );
    const host = {
        state: decide(createScheduler(), { kind: "endpoints", endpoints }, -100_000).state,
        handle(event: SchedulerEvent, now: number): void {
            host.state = decide(host.state, event, now).state;
        },
    };
    for (let index = 0; index < PLAN_HOST.streams; index++) {
        host.handle({ kind: "arrive", job: createJob(`r${index}`, index), avoid: [], retry: false }, index);
    }
    return host;
}

function measureScheduler(): Pick<Slopes, "progressUs" | "requestUs" | "streamBytes"> {
    const measured = heapOf(createPlanHost);
    const host = measured.value;
    const streams = Math.floor(PLAN_HOST.streams);
    const produced = new Map<number, number>();
    const progressUs = timeUs(20_000, index => {
        const stream = index % streams;
        const next = ((produced.get(stream) ?? 0) + PROGRESS_EVERY) % 3_500;
        produced.set(stream, next);
        host.handle(
            { kind: "progress", job: `r${stream}`, produced: next, meanGapMs: 25, maxGapMs: 30 },
            1_000 + index,
        );
    });
    const requestUs = timeUs(2_000, index => {
        const id = `n${index}`;
        host.handle({ kind: "arrive", job: createJob(id, index), avoid: [], retry: false }, 100_000 + index);
        host.handle({ kind: "ended", job: id, outcome: "whole", produced: 200 }, 100_000 + index);
    });
    return { progressUs, requestUs, streamBytes: measured.bytes / streams };
}

function encodeAndDecode(message: FrameMessage): void {
    new FrameReader().push(encodeFrame(message));
}

function createPlanDetector(): Detector {
    const memberOf = (index: number): MemberNews => ({
        name: `hall-1-${String(index).padStart(2, "0")}`,
        hall: "hall-1",
        scope: "hall-1",
        address: `10.0.1.${index}:7080`,
        start: 1_000_000 + index,
        incarnation: 0,
        status: Status.Alive,
        leaving: false,
        forMs: 0,
    });
    const env = { now: 0, intervalMs: PROBE_INTERVAL_MS, random: () => 0.5 };
    const news = Array.from({ length: PLAN_HOST.hallHosts - 1 }, (_, index) => memberOf(index + 1));
    return receiveDetectorMessage(createDetector(memberOf(0), []), "10.0.1.1:7080", { kind: "members", news }, env)
        .state;
}

/** Measures creating, encoding and decoding a probe of the failure detector. */
function measureDetector(): Pick<Slopes, "heartbeatUs" | "heartbeatBytes"> {
    let state = createPlanDetector();
    const messageOf = (round: number): FrameMessage => {
        const step = tickDetector(state, {
            now: round * PROBE_INTERVAL_MS,
            intervalMs: PROBE_INTERVAL_MS,
            random: () => 0.5,
        });
        // Treats all probed hosts as having answered.
        state = { ...step.state, unanswered: new Map() };
        const [first] = step.send;
        const message = { ...first!.message, store: [1, 520, 520, 100] };
        return message;
    };
    const heartbeatBytes = encodeFrame(messageOf(1)).length;
    const heartbeatUs = timeUs(3_000, index => encodeAndDecode(messageOf(index + 2)));
    return { heartbeatBytes, heartbeatUs };
}

function measureLoadExchange(): Pick<
    Slopes,
    "tellRoundUs" | "heldEntryBytes" | "messageBytes" | "questionBytes" | "answerBytes"
> {
    const host = createPlanHost();
    const hosts = Array.from({ length: PLAN_HOST.hallHosts }, (_, index) => `hall-1-${String(index).padStart(2, "0")}`);
    const currentLoads = (): EndpointLoad[] =>
        [...host.state.endpoints.values()].map(view =>
            encodeLoad(view.cfg.id, { streams: view.streams.size, unread: 0, stalled: 0, curve: view.curve })
        );
    const sampleLoads = currentLoads().filter(held => held.streams > 0).slice(0, 10);
    const emptyBytes = encodeFrame({ kind: "held", held: [] } as FrameMessage).length;
    const heldEntryBytes = (encodeFrame({ kind: "held", held: sampleLoads } as FrameMessage).length - emptyBytes)
        / sampleLoads.length;
    const sampleLoad = sampleLoads[0]!;
    const demand = {
        model: "m",
        promptTokens: 1_200,
        prefix: "",
        prefixTokens: 0,
        gapTargetMs: 44,
        objectiveMs: 1_900,
        weightTail: 1,
        weightStall: 1,
        weightPrefix: 1,
    };
    const job = "1b8f9c1e-9d0a-4ad0-a7bc-f3a9d6a0a6c2";
    let exchange = createLoadExchange(hosts[0]!);
    const owned = host.state.endpoints.values().map(view => view.cfg.id).filter(id =>
        endpointOwner(id, host.state.endpoints.values().length, hosts) === hosts[0]
    );
    const others = owned.map(endpoint => ({ ...sampleLoad, endpoint }));
    // A host's round: it encodes its own messages, and decodes and handles the messages of every other host.
    const tellRoundUs = timeUs(60, index => {
        const now = index * ownerReportIntervalMs(PLAN_HOST.hallHosts);
        const round = runLoadRound(exchange, host.state.endpoints, hosts, now);
        exchange = round.state;
        for (const { message } of round.send) encodeFrame(message);
        for (const event of round.events) host.handle(event, 500_000 + now);
        for (const from of hosts.slice(1)) {
            for (
                const message of [{ kind: "held", held: others }, {
                    kind: "others",
                    others,
                    owned: [],
                    leaving: [],
                }] as const
            ) {
                encodeAndDecode(message);
                const step = receiveLoadMessage(exchange, from, message, host.state, now);
                exchange = step.state;
                for (const event of step.events) host.handle(event, 500_000 + now);
            }
        }
    });
    return {
        tellRoundUs,
        heldEntryBytes,
        messageBytes: emptyBytes,
        questionBytes: encodeFrame(
            {
                kind: "question",
                job,
                stream: sampleLoad,
                demand,
                z: 1.2816,
                hall: "hall-1",
                exclude: [],
                backUp: false,
            } as FrameMessage,
        ).length,
        answerBytes: encodeFrame({ kind: "answer", job, endpoint: sampleLoad.endpoint } as FrameMessage).length,
    };
}

/** Creates the settings tree of the planned size: each workspace has two settings and two keys of its own. */
function createPlanTree(): Tree {
    const tree: Record<string, Record<string, string>> = { "root": { attempts: "3" }, "service/s": { kind: "engine" } };
    for (let index = 0; index < PLAN.halls; index++) tree[`hall/hall-${index}`] = { region: `region-${index % 2}` };
    for (let index = 0; index < PLAN.models; index++) tree[`model/m${index}`] = { service: "s" };
    for (let index = 0; index < PLAN.workers; index++) {
        tree[`endpoint/engine-${index}`] = {
            "url": `http://10.1.${index >> 8}.${index & 255}:8000`,
            "service": "s",
            "hall": `hall-${index % PLAN.halls}`,
            "models": "m0,m1",
            "memory-tokens": "800000",
        };
    }
    for (let index = 0; index < PLAN.workspaces; index++) {
        tree[`workspace/w${index}`] = { "tokens-per-minute": String(100_000 + index), "open-streams": "40" };
        for (const number of [1, 2]) {
            tree[`key/w${index}-${number}`] = { workspace: `w${index}`, hash: `${index}${number}`.padStart(64, "0") };
        }
    }
    return tree;
}

function measureSettings(): Pick<Slopes, "treeBytes" | "editBytes" | "adoptMs" | "settingsMb"> {
    const tree = createPlanTree();
    const first = snapshotOf(1, tree);
    const next = snapshotOf(2, { ...tree, "workspace/w7": { ...tree["workspace/w7"], "open-streams": "41" } });
    const changed = Object.keys(next.parts).filter(name => next.parts[name] !== first.parts[name]);
    const size = (snapshot: typeof first, names: readonly string[]): number =>
        JSON.stringify(snapshot.head).length + names.reduce((sum, name) => sum + snapshot.parts[name]!.length, 0);
    const adopted = heapOf(() => {
        const result = adoptSnapshot(undefined, snapshotOf(1, createPlanTree()), 0);
        if (result.kind !== "adopted") throw new Error(result.kind);
        return { inForce: result.inForce, directory: new Directory(result.inForce, "hall-0") };
    });
    const current: SettingsInForce = adopted.value.inForce;
    const adoptUs = timeUs(10, () => {
        const result = adoptSnapshot(current, next, 0);
        if (result.kind === "adopted") new Directory(result.inForce, "hall-0", adopted.value.directory);
    });
    return {
        treeBytes: size(first, Object.keys(first.parts)),
        editBytes: size(next, changed),
        adoptMs: adoptUs / US_PER_MS,
        // Doubled: the old settings remain in memory while requests that started under them are running.
        settingsMb: 2 * adopted.bytes / BYTES_PER_MB,
    };
}

function measureMemory(): Pick<Slopes, "estimateBytesPerGroup" | "limitBytesPerWorkspace"> {
    const groups = PLAN.workspaces * PLAN.models;
    const estimates = heapOf(() => {
        let all = createLengthEstimates();
        for (let index = 0; index < groups; index++) {
            all = observeLength(
                all,
                {
                    workspace: `w${index % PLAN.workspaces}`,
                    service: "s",
                    model: `m${index % PLAN.models}-${Math.floor(index / PLAN.workspaces)}`,
                },
                0,
                300,
                true,
            );
        }
        return all;
    });
    const limits = heapOf(() => {
        let all = createLimits();
        for (let index = 0; index < PLAN.workspaces; index++) {
            const taken = reserve(
                all,
                `r${index}`,
                `w${index}`,
                { requestsPerMinute: 100, tokensPerMinute: 100_000, openStreams: 40 },
                500,
                0,
            );
            if (taken.ok) all = taken.state;
        }
        return all;
    });
    return { estimateBytesPerGroup: estimates.bytes / groups, limitBytesPerWorkspace: limits.bytes / PLAN.workspaces };
}

async function measureLoadRequest(): Promise<Pick<Slopes, "loadAskUs">> {
    const engine = await EngineServer.start({ name: "e", models: ["m"] });
    const agent = new Agent();
    const { signal } = new AbortController();
    const times = 2_000;
    const ask = (): Promise<unknown> => fetchEngineLoad(agent, engine.url, 1_000, signal);
    for (let index = 0; index < times / 5; index++) await ask();
    const before = process.cpuUsage();
    for (let index = 0; index < times; index++) await ask();
    const { user, system } = process.cpuUsage(before);
    await agent.close();
    await engine.stop();
    return { loadAskUs: (user + system) / times };
}

function roundSlopes(slopes: Slopes): Slopes {
    const entries = Object.entries(slopes).map(([name, value]) => [name, Number((value as number).toPrecision(3))]);
    return Object.fromEntries(entries) as Slopes;
}

// Measures memory first, while the heap holds little else.
const slopes = roundSlopes({
    ...measureMemory(),
    ...measureSettings(),
    ...measureScheduler(),
    ...measureDetector(),
    ...measureLoadExchange(),
    ...await measureLoadRequest(),
});
const table = renderCapacity(
    slopes,
    ownerReportIntervalMs(PLAN_HOST.hallHosts),
    PROBE_INTERVAL_MS,
    PROBE_MESSAGES_PER_ROUND,
);
const printed = `\`\`\`json\n${JSON.stringify(slopes, undefined, 2)}\n\`\`\`\n\n${table}\n`;
process.stdout.write(printed);
if (process.argv.includes("--write")) {
    const page = readFileSync(PAGE, "utf8");
    writeFileSync(PAGE, `${page.slice(0, page.indexOf(MARK))}${MARK}\n\n${printed}`);
}
