/**
 * `npm run bench:policy`: compares variants of the scheduling policy on the same simulated traffic and engines, over
 * several seeds.
 *
 * @module
 */
import type { JobPolicy } from "@drumpaddle/policy";
import Table from "cli-table3";
import { writeFileSync } from "node:fs";
import sade from "sade";
import { type ExperimentResult, runExperiment } from "./experiment.js";
import { DEPLOYMENTS, generateTraffic } from "./traffic.js";
import { PROFILES, type VariantName, VARIANTS } from "./variants.js";

/** The first seed for reports. Lower seeds are for tuning, so that reports use traffic that nothing was tuned on. */
const FIRST_REPORTED_SEED = 1_000;
const LAG_MS = [500, 5_000] as const;
const REPORT_LOSS = 0.1;

interface Options {
    readonly profile: keyof typeof DEPLOYMENTS;
    readonly weights?: keyof typeof PROFILES;
    readonly policy: string;
    readonly seeds: number;
    readonly tuning?: boolean;
    readonly seconds: number;
    readonly engines: number;
    readonly hosts: number;
    readonly scale: number;
    readonly lose?: boolean;
    readonly json?: string;
    readonly quantile?: number;
    readonly gap?: number;
    readonly tell?: number;
    readonly loss?: number;
}

/** Columns of the table. Lower is better, except for `good` and `within 90 %`. */
const COLUMNS: readonly {
    readonly head: string;
    readonly valueOf: (m: ExperimentResult) => number;
    readonly digits: number;
}[] = [
    { head: "preempt", valueOf: m => m.preemptions, digits: 0 },
    { head: "stall s", valueOf: m => m.stallS, digits: 1 },
    { head: "p50 ms", valueOf: m => m.gaps.quantile(0.5), digits: 1 },
    { head: "p99", valueOf: m => m.gaps.quantile(0.99), digits: 1 },
    { head: "p99.9", valueOf: m => m.gaps.quantile(0.999), digits: 1 },
    { head: "stream p99.9 p95", valueOf: m => m.streamTails.quantile(0.95), digits: 1 },
    { head: "first p95 s", valueOf: m => m.firstToken.quantile(0.95) / 1000, digits: 2 },
    { head: "live p95 s", valueOf: m => m.liveFirstToken.quantile(0.95) / 1000, digits: 2 },
    { head: "within 90 %", valueOf: m => 100 * m.within90, digits: 1 },
    { head: "good %", valueOf: m => 100 * m.good / m.arrivals, digits: 2 },
    { head: "refused %", valueOf: m => 100 * m.refused / m.arrivals, digits: 2 },
    { head: "peer B/s", valueOf: m => m.peerBytesPerS, digits: 0 },
    { head: "broken", valueOf: m => m.broken, digits: 0 },
];

function median(values: readonly number[]): number {
    const sorted = values.toSorted((a, b) => a - b);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function cell(values: readonly number[], digits: number): string {
    const shown = median(values).toFixed(digits);
    if (values.length === 1) return shown;
    return `${shown} (${Math.min(...values).toFixed(digits)}..${Math.max(...values).toFixed(digits)})`;
}

/** Returns the profile's policy with the values that flags override. */
function policyOf({ profile, weights, quantile, gap }: Options): Omit<JobPolicy, "priority"> {
    const base = PROFILES[weights ?? profile];
    return { ...base, quantile: quantile ?? base.quantile, gapTargetMs: gap ?? base.gapTargetMs };
}

function runVariant(name: VariantName, options: Options, seeds: readonly number[]): readonly ExperimentResult[] {
    return seeds.map(seed => {
        const durationMs = options.seconds * 1000;
        return runExperiment({
            arrivals: generateTraffic(DEPLOYMENTS[options.profile], durationMs, options.scale, seed),
            variant: VARIANTS[name],
            policy: policyOf(options),
            engines: options.engines,
            hosts: options.hosts,
            seed,
            loadReportLagMs: LAG_MS,
            loadReportLoss: REPORT_LOSS,
            ...(options.tell === undefined ? {} : { reportIntervalMs: options.tell }),
            messageLoss: options.loss ?? 0,
            engineLossAt: options.lose ? durationMs / 2 : undefined,
        });
    });
}

function run(options: Options): void {
    const first = options.tuning ? 1 : FIRST_REPORTED_SEED;
    const seeds = Array.from({ length: options.seeds }, (_, index) => first + index);
    const names = (options.policy === "all" ? Object.keys(VARIANTS) : options.policy.split(",")) as VariantName[];
    const unknown = names.filter(name => !Object.hasOwn(VARIANTS, name));
    if (unknown.length > 0 || !Object.hasOwn(DEPLOYMENTS, options.profile)) {
        process.stderr.write(
            `unknown policy or profile: ${[...unknown, options.profile].join(", ")}; policies: ${
                Object.keys(VARIANTS).join(", ")
            }\n`,
        );
        process.exitCode = 2;
        return;
    }
    const { profile, engines, hosts, scale, seconds } = options;
    process.stdout.write(
        `profile ${profile}, weights ${
            options.weights ?? profile
        }, ${engines} engines, ${hosts} hosts, scale ${scale}, ${seconds} s, seeds ${seeds[0]}..${seeds.at(-1)}\n`,
    );
    const table = new Table({
        head: ["policy", ...COLUMNS.map(column => column.head)],
        style: { head: [], border: [], compact: true },
    });
    const raw: Record<string, number[][]> = {};
    for (const name of names) {
        const measured = runVariant(name, options, seeds);
        table.push([name, ...COLUMNS.map(({ valueOf: of, digits }) => cell(measured.map(of), digits))]);
        raw[name] = measured.map(m => COLUMNS.map(({ valueOf: of }) => of(m)));
    }
    process.stdout.write(`${table.toString()}\n`);
    if (options.json !== undefined) {
        writeFileSync(
            options.json,
            JSON.stringify({ columns: COLUMNS.map(({ head }) => head), raw }, undefined, 1),
        );
    }
}

sade("bench:policy", true)
    .describe("Measures the decisions on crowded engines.")
    .option("--profile", "Traffic: kigali or clayhollow", "kigali")
    .option("--weights", "Weights of a profile; the traffic's own if not given")
    .option("--policy", "Variants, comma-separated, or all", "round-robin,least-outstanding,drumpaddle,oracle")
    .option("--seeds", "How many seeds", 5)
    .option("--tuning", "Use the seeds for tuning in place of those for reports")
    .option("--seconds", "Length of the traffic", 180)
    .option("--engines", "Engines", 10)
    .option("--hosts", "Entry hosts", 1)
    .option("--scale", "Multiplies the traffic's rates", 2)
    .option("--lose", "Lose a third of the engines half way")
    .option("--quantile", "Admission quantile in place of the profile's")
    .option("--gap", "Planned gap in milliseconds in place of the profile's")
    .option("--tell", "Milliseconds between messages of a host to owners, and of owners to hosts")
    .option("--loss", "Share of messages between hosts that are lost", 0)
    .option("--json", "Also write the figures to this file")
    .example("--profile kigali --policy drumpaddle,oracle --seeds 5")
    .action((options: Options) => run(options))
    .parse(process.argv);
