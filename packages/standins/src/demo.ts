/**
 * The demo: runs three daemons in three halls, with their stand-ins, in one process and sends them traffic of both
 * deployments.
 *
 * `npm run demo` runs for about ten seconds and exits 0 only if every answer was whole; `npm run demo -- --serve`
 * sends no traffic and serves until SIGTERM.
 *
 * @module
 */
import { TimeHistogram } from "@drumpaddle/host";
import Table from "cli-table3";
import { Agent } from "undici";
import { type CallerResult, callOnce } from "./caller.js";
import { type LocalCluster, startLocalCluster } from "./local-cluster.js";
import { type Arrival, CLAYHOLLOW, type Deployment, generateTraffic, KIGALI } from "./traffic.js";

const HALLS = ["hall-1", "hall-2", "hall-3"];
const ENGINES_PER_HALL = 3;
const TRAFFIC_MS = 8_000;
const SEED = 7;
/** The required bound on the time between tokens; the time above it counts as stall time. */
const GAP_TARGET_MS = 44;
/** Limits the outputs, so that the demo ends soon after the last arrival. */
const MAX_OUTPUT_TOKENS = 400;
const FIRST_PORTS = { callers: 8080, operators: 9080 };

interface DeploymentResult {
    readonly gaps: TimeHistogram;
    readonly firstToken: TimeHistogram;
    stallMs: number;
    answers: number;
    readonly failures: CallerResult[];
}

function createDeploymentResult(): DeploymentResult {
    return { gaps: new TimeHistogram(), firstToken: new TimeHistogram(), stallMs: 0, answers: 0, failures: [] };
}

function recordAnswer(totals: DeploymentResult, result: CallerResult): void {
    totals.answers += 1;
    if (result.outcome !== "whole") totals.failures.push(result);
    if (result.firstTokenMs !== undefined) totals.firstToken.record(result.firstTokenMs);
    for (const gap of result.gapsMs) {
        totals.gaps.record(gap);
        totals.stallMs += Math.max(0, gap - GAP_TARGET_MS);
    }
}

async function sendAtArrival(
    cluster: LocalCluster,
    arrival: Arrival,
    index: number,
    dispatcher: Agent,
): Promise<CallerResult> {
    await new Promise(resolve => setTimeout(resolve, arrival.at));
    return callOnce({
        url: cluster.hosts[index % cluster.hosts.length]!.daemon.callersUrl,
        key: cluster.keyOf(arrival.requestClass.workspace),
        model: arrival.requestClass.model,
        tag: arrival.id,
        promptTokens: arrival.promptTokens,
        output: Math.min(arrival.output, MAX_OUTPUT_TOKENS),
        prefix: arrival.prefix,
        dispatcher,
    });
}

async function runDeployment(
    cluster: LocalCluster,
    deployment: Deployment,
    dispatcher: Agent,
    onAnswer: () => void,
): Promise<DeploymentResult> {
    const totals = createDeploymentResult();
    const arrivals = generateTraffic(deployment, TRAFFIC_MS, 1, SEED);
    await Promise.all(arrivals.map(async (arrival, index) => {
        recordAnswer(totals, await sendAtArrival(cluster, arrival, index, dispatcher));
        onAnswer();
    }));
    return totals;
}

function countPreemptions(cluster: LocalCluster): number {
    return cluster.engines.reduce((sum, { server }) => sum + server.model.load().preemptions, 0);
}

async function runTraffic(cluster: LocalCluster): Promise<boolean> {
    const dispatcher = new Agent({ connections: 500 });
    let answers = 0;
    const progress = setInterval(() => process.stderr.write(`\r${answers} answers so far `), 200);
    const onAnswer = (): void => void (answers += 1);
    const [kigali, clayhollow] = await Promise.all([
        runDeployment(cluster, KIGALI, dispatcher, onAnswer),
        runDeployment(cluster, CLAYHOLLOW, dispatcher, onAnswer),
    ]);
    clearInterval(progress);
    process.stderr.write("\r");
    await dispatcher.close();
    const table = new Table({
        head: ["deployment", "answers", "whole", "stall ms/answer", "p50 gap ms", "p99", "p99.9", "first token p95 ms"],
        style: { head: [], border: [] },
    });
    for (const [name, m] of [["kigali", kigali], ["clayhollow", clayhollow]] as const) {
        const gaps = [0.5, 0.99, 0.999].map(share => m.gaps.quantile(share).toFixed(1));
        const whole = m.answers - m.failures.length;
        table.push([
            name,
            m.answers,
            whole,
            (m.stallMs / m.answers).toFixed(1),
            ...gaps,
            m.firstToken.quantile(0.95).toFixed(0),
        ]);
    }
    process.stdout.write(
        `${table.toString()}\npreemptions on all engines: ${countPreemptions(cluster)}\nseed: ${SEED}\n`,
    );
    const failures = [...kigali.failures, ...clayhollow.failures];
    for (const failure of failures.slice(0, 5)) {
        process.stdout.write(`not whole: ${JSON.stringify({ ...failure, gapsMs: undefined })}\n`);
    }
    return failures.length === 0;
}

function printAddresses(cluster: LocalCluster): void {
    for (const { name, daemon } of cluster.hosts) {
        process.stdout.write(`${name} callers ${daemon.callersUrl}\n${name} operators ${daemon.operatorsUrl}\n`);
    }
    process.stdout.write(`workspace key ${cluster.keyOf("members")}\noperator token ${cluster.operatorToken}\n`);
}

async function main(): Promise<void> {
    const serve = process.argv.includes("--serve");
    const quiet = (): void => undefined;
    const log = serve ? (line: string): void => void process.stderr.write(`${line}\n`) : quiet;
    const ports = serve ? { ports: FIRST_PORTS } : {};
    const cluster = await startLocalCluster({ halls: HALLS, enginesPerHall: ENGINES_PER_HALL, log, ...ports });
    printAddresses(cluster);
    if (!serve) {
        const whole = await runTraffic(cluster);
        await cluster.stop();
        process.exitCode = whole ? 0 : 1;
        return;
    }
    process.on("SIGTERM", () => {
        void Promise.all(cluster.hosts.map(host => host.daemon.stop())).then(() => process.exit(0));
    });
}

await main();
