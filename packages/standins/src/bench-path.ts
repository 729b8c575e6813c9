/**
 * `npm run bench:path`: measures the overhead of a daemon against direct connections to the same stand-in engines. The
 * daemon runs in its own process, so that its processor time and memory can be measured separately; the engines and the
 * callers share this process.
 *
 * @module
 */
import { TimeHistogram } from "@drumpaddle/host";
import Table from "cli-table3";
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import sade from "sade";
import { Agent } from "undici";
import { type CallerResult, callOnce } from "./caller.js";
import { startEngineFarm } from "./engine-farm.js";

/**
 * Time over which the streams start: 35 a second at 350 streams, above the 21 a second of a host of the planned size.
 */
const RAMP_UP_MS = 10_000;

interface Options {
    readonly streams: number;
    readonly seconds: number;
    readonly rate: number;
    readonly engines: number;
}

/** Resource usage that the daemon's process reports. */
interface Usage {
    readonly cpuMs: number;
    /** Part of `cpuMs` spent in the kernel. */
    readonly kernelMs: number;
    readonly rssBytes: number;
    readonly heapBytes: number;
}

interface PathResult {
    readonly gaps: TimeHistogram;
    readonly firstToken: TimeHistogram;
    tokens: number;
    failures: number;
}

async function runStreams(urls: readonly string[], key: string, options: Options): Promise<PathResult> {
    const total: PathResult = { gaps: new TimeHistogram(), firstToken: new TimeHistogram(), tokens: 0, failures: 0 };
    const dispatcher = new Agent({ connections: options.streams * 2 });
    const output = Math.round(options.seconds * options.rate / options.streams);
    const results: CallerResult[] = await Promise.all(Array.from({ length: options.streams }, async (_, index) => {
        // Staggers the starts, as those of real requests are, so that prefills and tokens don't coincide.
        await new Promise(resolve => setTimeout(resolve, index * RAMP_UP_MS / options.streams));
        const url = urls[index % urls.length]!;
        return callOnce({ url, key, model: "summary-8b", tag: `s${index}`, promptTokens: 200, output, dispatcher });
    }));
    for (const result of results) {
        if (result.outcome !== "whole") total.failures += 1;
        total.tokens += result.tokens;
        if (result.firstTokenMs !== undefined) total.firstToken.record(result.firstTokenMs);
        for (const gap of result.gapsMs) total.gaps.record(gap);
    }
    await dispatcher.close();
    return total;
}

function requestUsage(child: ChildProcess): Promise<Usage> {
    return new Promise(resolve => {
        child.once("message", message => resolve(message as Usage));
        child.send("usage");
    });
}

async function run(options: Options): Promise<void> {
    const farm = await startEngineFarm(options);
    const daemon = fork(
        fileURLToPath(new URL("./bench-daemon.js", import.meta.url)).replace(
            /\.js$/,
            import.meta.url.endsWith(".ts") ? ".ts" : ".js",
        ),
        [farm.kvUrl],
        { execArgv: process.execArgv },
    );
    const url = await new Promise<string>(resolve =>
        daemon.once("message", message => resolve((message as { url: string }).url))
    );
    await runStreams([url], farm.key, { ...options, seconds: 1 });
    const direct = await runStreams(farm.engineUrls, farm.key, options);
    const before = await requestUsage(daemon);
    const startedAt = performance.now();
    const through = await runStreams([url], farm.key, options);
    const wallMs = performance.now() - startedAt;
    const after = await requestUsage(daemon);
    const cpuMs = after.cpuMs - before.cpuMs;
    const rows: [string, string][] = [
        ["streams", String(options.streams)],
        ["answers not whole, direct / through", `${direct.failures} / ${through.failures}`],
        [
            "tokens a second, direct / through",
            `${formatTokensPerS(direct, options)} / ${(through.tokens / wallMs * 1000).toFixed(0)}`,
        ],
        ...(["firstToken", "gaps"] as const).flatMap(name =>
            ([0.5, 0.99] as const).map((share): [string, string] => {
                const [a, b] = [direct[name].quantile(share), through[name].quantile(share)];
                return [
                    `${name} p${share * 100}, direct / through / added ms`,
                    `${a.toFixed(1)} / ${b.toFixed(1)} / ${(b - a).toFixed(1)}`,
                ];
            })
        ),
        ["daemon's processor time for 1,000 tokens, ms", (cpuMs / through.tokens * 1000).toFixed(1)],
        ["of which in the kernel, ms", ((after.kernelMs - before.kernelMs) / through.tokens * 1000).toFixed(1)],
        ["daemon's share of a core", (cpuMs / wallMs).toFixed(3)],
        ["share of a core at 8,000 tokens a second, by that slope", (cpuMs / through.tokens * 8).toFixed(3)],
        ["daemon's memory in all, MB", (after.rssBytes / 1e6).toFixed(0)],
    ];
    const table = new Table({ head: ["measure", "value"], style: { head: [], border: [], compact: true } });
    for (const row of rows) table.push(row);
    process.stdout.write(`${table.toString()}\n`);
    daemon.send("end");
    await farm.stop();
    process.exitCode = direct.failures + through.failures === 0 ? 0 : 1;
}

function formatTokensPerS(result: PathResult, options: Options): string {
    return (result.tokens / (options.seconds + RAMP_UP_MS / 1000)).toFixed(0);
}

sade("bench:path", true)
    .describe("Measures what a daemon adds to a direct connection.")
    .option("--streams", "Open streams", 350)
    .option("--seconds", "About how long each stream runs", 15)
    .option("--engines", "Engines, whose iterations are not in step", 16)
    .option("--rate", "Tokens a second in all", 8_000)
    .example("--streams 350 --rate 8000")
    .action((options: Options) => run(options))
    .parse(process.argv);
