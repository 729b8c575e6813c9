/**
 * `npm run bench:quarantine`: simulates random days with requests that crash the endpoints that run them, with and
 * without the quarantine, and days with parts of prompts that do, by several ways of judging parts.
 *
 * @module
 */
import Table from "cli-table3";
import sade from "sade";
import {
    PART_RULES,
    type PartRules,
    type QuarantineDayCfg,
    type QuarantineResult,
    simulateQuarantineDay,
} from "./quarantine-model.js";

interface Options {
    readonly days: number;
    readonly hosts: string;
    /** Which table is printed: `requests`, `parts`, or both if it is not given. */
    readonly only?: string;
    /** Ways to judge parts, of {@link WAYS}; all if it is not given. */
    readonly ways?: string;
}

/** Endpoints per host: the lowest ratio among the users' fleets. */
const ENDPOINTS_PER_HOST = 0.7;
const MIN_ENDPOINTS = 8;
/** Kinds of days, by what crashes endpoints: fatal requests, single crashes and failures of racks. */
const DAY_KINDS = [
    { name: "three guilty", fatalRequests: 3, crashes: 2, rackFailures: 0 },
    { name: "three guilty, racks", fatalRequests: 3, crashes: 2, rackFailures: 3 },
    { name: "none guilty, racks", fatalRequests: 0, crashes: 6, rackFailures: 6 },
] as const;
/** Simulated duration of a day. */
const DAY_SECONDS = 60;

function sum(results: readonly QuarantineResult[], countOf: (result: QuarantineResult) => number): number {
    return results.reduce((total, result) => total + countOf(result), 0);
}

/** Formats a quantile, without values that are NaN; `-` if there is none. */
function quantile(values: readonly number[], share: number): string {
    const sorted = values.filter(value => !Number.isNaN(value)).sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]?.toFixed(0) ?? "-";
}

/** Simulates days of one kind, and returns their row of the table. */
function simulateRow(
    hosts: number,
    kind: typeof DAY_KINDS[number],
    isQuarantineOn: boolean,
    days: number,
): readonly string[] {
    const { name, ...dayCfg } = kind;
    const endpoints = Math.max(MIN_ENDPOINTS, Math.round(hosts * ENDPOINTS_PER_HOST));
    const results = Array.from({ length: days }, (_, index): QuarantineResult => {
        const day: QuarantineDayCfg = {
            seed: index + 1,
            hosts,
            endpoints,
            seconds: DAY_SECONDS,
            badParts: 0,
            hasCompanions: false,
            isQuarantineOn,
            partRules: PART_RULES,
            ...dayCfg,
        };
        return simulateQuarantineDay(day);
    });
    const fatalCount = kind.fatalRequests * days;
    const harmlessCount = sum(results, result => result.harmlessRequests);
    const per10000 = (count: number): string => (10_000 * count / harmlessCount).toFixed(2);
    const propagationTimes = results.flatMap(({ propagationMs }) => propagationMs);
    return [
        String(hosts),
        name,
        isQuarantineOn ? "with" : "without",
        fatalCount === 0 ? "-" : (sum(results, ({ crashesByFatal }) => crashesByFatal) / fatalCount).toFixed(1),
        fatalCount === 0
            ? "-"
            : (sum(results, ({ runsAfterThreshold }) => runsAfterThreshold) / fatalCount).toFixed(2),
        per10000(sum(results, ({ lostStreams }) => lostStreams)),
        per10000(sum(results, ({ harmlessQuarantined }) => harmlessQuarantined)),
        per10000(sum(results, ({ harmlessDeferred }) => harmlessDeferred)),
        isQuarantineOn ? quantile(propagationTimes, 0.5) : "-",
        isQuarantineOn ? quantile(propagationTimes, 1) : "-",
        isQuarantineOn ? String(propagationTimes.filter(Number.isNaN).length) : "-",
    ];
}

/** Days on which parts of prompts crash endpoints, beside crashes of other causes. */
const PART_DAYS = [
    { name: "one bad part", badParts: 1, hasCompanions: false, fatalRequests: 0, crashes: 2, rackFailures: 0 },
    {
        name: "one, beside a sound one",
        badParts: 1,
        hasCompanions: true,
        fatalRequests: 0,
        crashes: 2,
        rackFailures: 0,
    },
    {
        name: "two bad, one guilty, racks",
        badParts: 2,
        hasCompanions: false,
        fatalRequests: 1,
        crashes: 6,
        rackFailures: 3,
    },
    { name: "none bad, racks", badParts: 0, hasCompanions: false, fatalRequests: 0, crashes: 12, rackFailures: 6 },
] as const;

/** Ways to judge parts, by name. */
const WAYS: Readonly<Record<string, PartRules>> = {
    "whole requests only": { ...PART_RULES, areJudged: false },
    "cleared by whole answers": { ...PART_RULES, clearsAtFirstEvent: false, chargesAnswering: true },
    "answering ones charged": { ...PART_RULES, chargesAnswering: true },
    "all suspects one at a time": { ...PART_RULES, trustsProven: false },
    "as the daemons": PART_RULES,
};

/** Simulates days with bad parts, and returns their row of the table. */
function simulatePartRow(hosts: number, day: typeof PART_DAYS[number], way: string, days: number): readonly string[] {
    const { name, ...dayCfg } = day;
    const endpoints = Math.max(MIN_ENDPOINTS, Math.round(hosts * ENDPOINTS_PER_HOST));
    const results = Array.from({ length: days }, (_, index): QuarantineResult =>
        simulateQuarantineDay({
            seed: index + 1,
            hosts,
            endpoints,
            seconds: DAY_SECONDS,
            isQuarantineOn: true,
            partRules: WAYS[way]!,
            ...dayCfg,
        }));
    const partCount = day.badParts * days;
    const harmlessCount = sum(results, ({ harmlessRequests }) => harmlessRequests);
    const per10000 = (count: number): string => (10_000 * count / harmlessCount).toFixed(2);
    const perPart = (count: number): string => partCount === 0 ? "-" : (count / partCount).toFixed(2);
    return [
        String(hosts),
        name,
        way,
        perPart(sum(results, ({ crashesByParts }) => crashesByParts)),
        partCount === 0 ? "-" : String(Math.max(...results.map(({ crashesByParts }) => crashesByParts / day.badParts))),
        perPart(sum(results, ({ latePartRuns }) => latePartRuns)),
        per10000(sum(results, ({ harmlessQuarantined }) => harmlessQuarantined)),
        per10000(sum(results, ({ harmlessDeferred }) => harmlessDeferred)),
    ];
}

function printPartTable(sizes: readonly number[], days: number, ways: readonly string[]): void {
    const table = new Table({
        head: [
            "hosts",
            "day",
            "parts",
            "crashes for each part",
            "most on a day",
            "begun 3 s after the fifth",
            "refused of 10,000",
            "asked back of 10,000",
        ],
        style: { head: [], border: [], compact: true },
    });
    for (const hosts of sizes) {
        for (const day of PART_DAYS) {
            for (const way of ways) table.push([...simulatePartRow(hosts, day, way, days)]);
        }
    }
    process.stdout.write(`${table.toString()}\n`);
}

function run({ days, hosts, only, ways }: Options): void {
    const sizes = hosts.split(",").map(Number);
    if (only !== "parts") printRequestTable(sizes, days);
    if (only !== "requests") printPartTable(sizes, days, ways?.split(",") ?? Object.keys(WAYS));
}

function printRequestTable(sizes: readonly number[], days: number): void {
    const table = new Table({
        head: [
            "hosts",
            "day",
            "quarantine",
            "ended for each guilty",
            "begun after its third",
            "streams lost of 10,000",
            "refused of 10,000",
            "asked back of 10,000",
            "known at all p50 ms",
            "most ms",
            "never",
        ],
        style: { head: [], border: [], compact: true },
    });
    for (const count of sizes) {
        for (const kind of DAY_KINDS) {
            for (const isQuarantineOn of [false, true]) table.push([...simulateRow(count, kind, isQuarantineOn, days)]);
        }
    }
    process.stdout.write(`${table.toString()}\n`);
}

sade("bench:quarantine", true)
    .describe("Plays drawn days with requests that end the endpoints that run them.")
    .option("--days", "Days of each kind", 20)
    .option("--hosts", "Sizes of the fleet", "6,60")
    .option("--only", "requests or parts: one table instead of both")
    .option("--ways", "Ways to judge parts, separated by commas; all by default")
    .example("--days 20 --hosts 6,60,400")
    .action(run)
    .parse(process.argv);
