/**
 * `npm run bench:quarantine`: simulates random days with requests that crash the endpoints that run them, with and
 * without the quarantine.
 *
 * @module
 */
import Table from "cli-table3";
import sade from "sade";
import { type QuarantineDayCfg, type QuarantineResult, simulateQuarantineDay } from "./quarantine-model.js";

interface Options {
    readonly days: number;
    readonly hosts: string;
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
            isQuarantineOn,
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

function run({ days, hosts }: Options): void {
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
    for (const count of hosts.split(",").map(Number)) {
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
    .example("--days 20 --hosts 6,60,400")
    .action(run)
    .parse(process.argv);
